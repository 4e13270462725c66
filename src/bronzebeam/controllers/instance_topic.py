"""The instance list as the live entries read it in turns."""

from collections.abc import Callable
from itertools import islice
from typing import Any, Final

import orjson
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.controllers.membership import InstancesListed, MembershipController
from bronzebeam.findings import Finding, FindingsError
from bronzebeam.routing.instance_records import (
    InstanceRecords,
    changed_records,
    differing_instances,
    digest_instances,
    limit_instances,
    merge_instances,
    record_to_json,
    records_from_json,
)
from bronzebeam.transport.instance_list import (
    InstanceList,
    InstanceListUnavailable,
    InstanceState,
    ListedInstance,
)
from bronzebeam.units import MS_PER_SECOND

TOPIC: Final = "instances"
TOPIC_MOST_BYTES: Final = 131_072
PUSH_MOST_BYTES: Final = 16_384
MOST_PUSHED_PAYLOADS: Final = 8
HOLD_LEAVING_SECONDS: Final = 10.0


@define(kw_only=True, eq=False)
class InstanceTopic:
    """
    Reads the list in this entry's turn, and merges what other entries read.

    Implements `InstanceList` and `NewsTopic`; only `fetch` waits.

    :ivar source: the list itself.
    :ivar membership: tells this entry's turns, and takes the list.
    :ivar publish: pushes a payload of the topic to peers.
    :ivar reads: reads of the list begun.
    """

    source: InstanceList
    clock: Clock
    membership: MembershipController | None = None
    publish: Callable[[str, Any], None] = lambda name, payload: None
    reads: int = field(default=0, init=False)
    _records: InstanceRecords = field(factory=dict, init=False)
    _listed: tuple[ListedInstance, ...] = field(default=(), init=False)
    _digest: str = field(default=digest_instances({}), init=False)
    _learnt_at_seconds: dict[str, float] = field(factory=dict, init=False)
    _failed: bool = field(default=True, init=False)
    _cut_deltas: int = field(default=0, init=False)

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """
        Read the list if it is this entry's turn; else return what peers read.

        :raises InstanceListUnavailable: if the last read failed, and peers have said
            nothing new since.
        """
        if not self._is_turn():
            if self._failed:
                raise InstanceListUnavailable("the last read failed")
            return self._listed
        self.reads += 1
        self._failed = True
        begun_seconds = self.clock.monotonic_seconds()
        instances = await self.source.fetch()
        self._failed = False
        self._take_read(instances, begun_seconds)
        return self._listed

    def digest(self) -> Any:
        """Return a hash of the records and of each bucket of them."""
        return self._digest

    def delta(self, since: Any) -> Any:
        """
        Return records that differ from those of the digest `since`; None if none do.

        What exceeds the topic's bound waits for later exchanges.
        """
        if not isinstance(since, str):
            raise FindingsError(
                subject=TOPIC,
                findings=(Finding(place="", message="the digest is no text"),),
            )
        differing = differing_instances(self._records, self._digest, since)
        payloads = _payloads(differing, TOPIC_MOST_BYTES)
        if not payloads:
            return None
        if len(payloads) > 1:
            self._cut_deltas += 1
        return payloads[self._cut_deltas % len(payloads)]

    def merge(self, payload: Any) -> bool:
        """Take in what a peer read; tell whether any was news."""
        news = self._keep(records_from_json(payload))
        if not news:
            return False
        self._failed = False
        if self.membership is not None:
            self.membership.post(InstancesListed(instances=self._listed, polled=False))
        return True

    def _is_turn(self) -> bool:
        if self.membership is None or not self._records:
            return True
        return self.membership.reads_list_at(self.clock.wall_seconds())

    def _take_read(
        self, instances: tuple[ListedInstance, ...], begun_seconds: float
    ) -> None:
        known = bool(self._records)
        held_since = self.clock.monotonic_seconds() - HOLD_LEAVING_SECONDS
        learnt = self._learnt_at_seconds
        news = self._keep(
            changed_records(
                self._records,
                instances,
                now_ms=int(self.clock.wall_seconds() * MS_PER_SECOND),
                unaffected={name for name, at in learnt.items() if at > begun_seconds},
                known_leaving={
                    name
                    for name, record in self._records.items()
                    if record.item is not None
                    and record.item.state is InstanceState.LEAVING
                    and learnt.get(name, 0.0) > held_since
                },
            )
        )
        if not known:
            return
        for payload in islice(_payloads(news, PUSH_MOST_BYTES), MOST_PUSHED_PAYLOADS):
            self.publish(TOPIC, payload)

    def _keep(self, arrived: InstanceRecords) -> InstanceRecords:
        merged, news = merge_instances(self._records, arrived)
        if not news:
            return news
        now = self.clock.monotonic_seconds()
        self._records = limit_instances(merged)
        learnt = {**self._learnt_at_seconds, **dict.fromkeys(news, now)}
        self._learnt_at_seconds = {
            name: at for name, at in learnt.items() if name in self._records
        }
        self._digest = digest_instances(self._records)
        self._listed = tuple(
            record.item
            for _, record in sorted(self._records.items())
            if record.item is not None
        )
        return news


def _payloads(records: InstanceRecords, most_bytes: int) -> list[dict[str, Any]]:
    """Return `records` in payloads of at most `most_bytes` each."""
    payloads: list[dict[str, Any]] = []
    room = 0
    for name, record in sorted(records.items()):
        value = record_to_json(record)
        size = len(orjson.dumps({name: value}))
        if size > most_bytes:
            continue
        if size > room:
            payloads.append({})
            room = most_bytes
        payloads[-1][name] = value
        room -= size
    return payloads
