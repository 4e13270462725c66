"""Instance list that the live entries read in turns and share as a gossip topic."""

from collections.abc import Callable
from itertools import islice
from typing import Any, Final

import orjson
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.controllers.membership import InstanceListReceived, MembershipController
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
MAX_TOPIC_BYTES: Final = 131_072
MAX_PUSH_BYTES: Final = 16_384
MAX_PUSHED_PAYLOADS: Final = 8
LEAVING_HOLD_SECONDS: Final = 10.0


@define(kw_only=True, eq=False)
class InstanceTopic:
    """
    Reads the instance list in this entry's turn, and merges what other entries read.

    Implements `InstanceList` and `GossipTopic`; only `fetch` is asynchronous.

    :ivar source: the instance list to read.
    :ivar membership: decides when it is this entry's turn, and receives the list.
    :ivar publish: pushes a payload of the topic to peers.
    :ivar reads: number of reads of the list started.
    """

    source: InstanceList
    clock: Clock
    membership: MembershipController | None = None
    publish: Callable[[str, Any], None] = lambda name, payload: None
    reads: int = field(default=0, init=False)
    _records: InstanceRecords = field(factory=dict, init=False)
    _listed: tuple[ListedInstance, ...] = field(default=(), init=False)
    _digest: str = field(default=digest_instances({}), init=False)
    _updated_at_seconds: dict[str, float] = field(factory=dict, init=False)
    _last_read_failed: bool = field(default=True, init=False)
    _partial_deltas: int = field(default=0, init=False)

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """
        Read the list if it is this entry's turn, else return the list as last known.

        :raises InstanceListUnavailable: if the last read failed, and no update came
            from a peer since.
        """
        if not self._is_own_turn():
            if self._last_read_failed:
                raise InstanceListUnavailable("the last read failed")
            return self._listed
        self.reads += 1
        self._last_read_failed = True
        started_at_seconds = self.clock.monotonic_seconds()
        instances = await self.source.fetch()
        self._last_read_failed = False
        self._apply_read(instances, started_at_seconds)
        return self._listed

    def digest(self) -> Any:
        """Return hashes of all records and of each bucket of records."""
        return self._digest

    def delta(self, since: Any) -> Any:
        """
        Return records that differ from those of the digest `since`; None if none do.

        Records above the topic's size limit are sent in later exchanges.
        """
        if not isinstance(since, str):
            raise FindingsError(
                subject=TOPIC,
                findings=(Finding(place="", message="the digest is not a string"),),
            )
        differing = differing_instances(self._records, self._digest, since)
        payloads = _split_payloads(differing, MAX_TOPIC_BYTES)
        if not payloads:
            return None
        if len(payloads) > 1:
            self._partial_deltas += 1
        return payloads[self._partial_deltas % len(payloads)]

    def merge(self, payload: Any) -> bool:
        """Merge the records of a peer; return whether any was new."""
        updates = self._merge_records(records_from_json(payload))
        if not updates:
            return False
        self._last_read_failed = False
        if self.membership is not None:
            self.membership.post(
                InstanceListReceived(instances=self._listed, is_poll=False)
            )
        return True

    def _is_own_turn(self) -> bool:
        if self.membership is None or not self._records:
            return True
        return self.membership.should_read_list_at(self.clock.wall_seconds())

    def _apply_read(
        self, instances: tuple[ListedInstance, ...], started_at_seconds: float
    ) -> None:
        had_records = bool(self._records)
        hold_start = self.clock.monotonic_seconds() - LEAVING_HOLD_SECONDS
        updated_at = self._updated_at_seconds
        updates = self._merge_records(
            changed_records(
                self._records,
                instances,
                now_ms=int(self.clock.wall_seconds() * MS_PER_SECOND),
                unaffected={
                    name for name, at in updated_at.items() if at > started_at_seconds
                },
                known_leaving={
                    name
                    for name, record in self._records.items()
                    if record.item is not None
                    and record.item.state is InstanceState.LEAVING
                    and updated_at.get(name, 0.0) > hold_start
                },
            )
        )
        if not had_records:
            return
        for payload in islice(
            _split_payloads(updates, MAX_PUSH_BYTES), MAX_PUSHED_PAYLOADS
        ):
            self.publish(TOPIC, payload)

    def _merge_records(self, received: InstanceRecords) -> InstanceRecords:
        merged, updates = merge_instances(self._records, received)
        if not updates:
            return updates
        now = self.clock.monotonic_seconds()
        self._records = limit_instances(merged)
        updated_at = {**self._updated_at_seconds, **dict.fromkeys(updates, now)}
        self._updated_at_seconds = {
            name: at for name, at in updated_at.items() if name in self._records
        }
        self._digest = digest_instances(self._records)
        self._listed = tuple(
            record.item
            for _, record in sorted(self._records.items())
            if record.item is not None
        )
        return updates


def _split_payloads(records: InstanceRecords, max_bytes: int) -> list[dict[str, Any]]:
    """Split `records` into payloads of at most `max_bytes` each."""
    payloads: list[dict[str, Any]] = []
    free_bytes = 0
    for name, record in sorted(records.items()):
        value = record_to_json(record)
        size = len(orjson.dumps({name: value}))
        if size > max_bytes:
            continue
        if size > free_bytes:
            payloads.append({})
            free_bytes = max_bytes
        payloads[-1][name] = value
        free_bytes -= size
    return payloads
