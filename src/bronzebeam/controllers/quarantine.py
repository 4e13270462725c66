"""Quarantine of requests that crash backend servers."""

from collections.abc import Callable
from typing import Any, Final

import anyio
from attrs import asdict, define, frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.findings import FindingsError, one_finding
from bronzebeam.routing.quarantine import (
    LostReplica,
    Quarantine,
    QuarantineRecord,
    QuarantineState,
)
from bronzebeam.telemetry.logs import log_event
from bronzebeam.transport.attempt import AttemptLost
from bronzebeam.transport.backend_pool import AttemptEvent
from bronzebeam.transport.backend_protocol import BackendReply

TOPIC: Final = "quarantine"
MAX_TOPIC_BYTES: Final = 16_384
LOSS_DEDUPLICATION_SECONDS: Final = 1.0
MAX_TRACKED_LOSSES: Final = 1024


@frozen(kw_only=True)
class QuarantineRecordsReceived:
    """Quarantine records from a peer."""

    records: tuple[QuarantineRecord, ...]


@frozen(kw_only=True)
class FlushRequested:
    """Requests that `done` be set once all earlier messages are handled."""

    done: anyio.Event


QuarantineMessage = AttemptEvent | QuarantineRecordsReceived | FlushRequested
Publish = Callable[[str, Any], None]


@define(kw_only=True)
class _Loss:
    at_seconds: float
    in_flight: frozenset[str]


class QuarantineController(Controller[QuarantineMessage]):
    """
    Determines from the outcomes of attempts which requests to quarantine.

    Requests are identified by their fingerprint. Implements `QuarantinePolicy`.

    :param publish: pushes a payload of a topic to peers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        publish: Publish = lambda name, payload: None,
    ) -> None:
        super().__init__()
        self._clock = clock
        self.publish = publish
        self._quarantine = Quarantine()
        self._losses: dict[str, _Loss] = {}

    @property
    def records(self) -> tuple[QuarantineRecord, ...]:
        return self._quarantine.records

    def remaining_quarantine_ms(
        self, fingerprint: str, now_seconds: float
    ) -> int | None:
        """Return how long `fingerprint` stays quarantined; None if it is not."""
        wall = self._clock.wall_seconds()
        return (
            self._quarantine.remaining_quarantine_ms(fingerprint, wall_seconds=wall)
            or None
        )

    def is_suspect(self, fingerprint: str, now_seconds: float) -> bool:
        """Return whether `fingerprint` may run on only one replica at a time."""
        wall = self._clock.wall_seconds()
        state = self._quarantine.state_of(fingerprint, wall_seconds=wall)
        return state is QuarantineState.SUSPECT

    async def wait_until_losses_applied(self) -> None:
        """Wait until all losses reported so far are applied."""
        marker = FlushRequested(done=anyio.Event())
        self.post(marker)
        await marker.done.wait()

    async def handle(self, message: QuarantineMessage) -> None:
        """Apply one message to the state."""
        if isinstance(message, FlushRequested):
            message.done.set()
        elif isinstance(message, QuarantineRecordsReceived):
            wall = self._clock.wall_seconds()
            self._quarantine.merge(message.records, wall_seconds=wall)
        elif message.attempt.fingerprint:
            self._handle_attempt_event(message)

    def _handle_attempt_event(self, event: AttemptEvent) -> None:
        now = self._clock.monotonic_seconds()
        match event.outcome:
            case BackendReply():
                self._quarantine.observe_success(
                    event.attempt.fingerprint, now_seconds=now
                )
            case AttemptLost(reason="connection_lost", sent=True):
                self._record_loss(event, now)

    def _record_loss(self, event: AttemptEvent, now: float) -> None:
        """
        Record the loss of a replica.

        Each of its broken connections reports the loss. A report that follows another
        within `LOSS_DEDUPLICATION_SECONDS` counts only for requests in flight that the
        other did not contain.
        """
        recent = self._losses.get(event.replica)
        if recent is not None and now - recent.at_seconds < LOSS_DEDUPLICATION_SECONDS:
            if event.in_flight <= recent.in_flight:
                return
            new_in_flight = event.in_flight - recent.in_flight
        else:
            new_in_flight = event.in_flight
        if len(self._losses) >= MAX_TRACKED_LOSSES:
            self._losses.pop(next(iter(self._losses)))
        self._losses[event.replica] = _Loss(at_seconds=now, in_flight=event.in_flight)
        lost = LostReplica(
            replica=event.replica,
            in_flight=new_in_flight,
            solo=event.solo & new_in_flight,
            at_seconds=now,
        )
        quarantined = self._quarantine.observe_loss(
            lost, wall_seconds=self._clock.wall_seconds()
        )
        log_event("replica_lost", replica=event.replica, in_flight=len(new_in_flight))
        if quarantined is not None:
            log_event(
                "request_quarantined", fingerprint=quarantined, replica=event.replica
            )
        self.publish(TOPIC, _to_json(self._records_for(new_in_flight)))

    def _records_for(self, fingerprints: frozenset[str]) -> list[QuarantineRecord]:
        return [item for item in self.records if item.fingerprint in fingerprints]


@define(kw_only=True)
class QuarantineTopic:
    """Gossip topic that shares the quarantine records with peers."""

    controller: QuarantineController

    def digest(self) -> Any:
        """Return the version of the record of each fingerprint."""
        return {
            record.fingerprint: _record_version(record)
            for record in self.controller.records
        }

    def delta(self, since: Any) -> Any:
        """Return the records that differ from the digest `since`; None if none do."""
        if not isinstance(since, dict):
            raise _malformed("the digest is not an object")
        differing = [
            record
            for record in self.controller.records
            if since.get(record.fingerprint) != _record_version(record)
        ]
        return _to_json(differing) if differing else None

    def merge(self, payload: Any) -> bool:
        """Merge the records of a peer; return whether any was new."""
        records = _from_json(payload)
        known = set(self.controller.records)
        updates = tuple(record for record in records if record not in known)
        if updates:
            self.controller.post(QuarantineRecordsReceived(records=updates))
        return bool(updates)


def _record_version(record: QuarantineRecord) -> list[Any]:
    return [record.quarantines, record.released_at_seconds, record.lifted]


def _to_json(records: list[QuarantineRecord]) -> list[dict[str, Any]]:
    return [asdict(record) for record in records]


def _from_json(payload: Any) -> list[QuarantineRecord]:
    if not isinstance(payload, list):
        raise _malformed("the payload is not a list")
    try:
        return [
            QuarantineRecord(
                fingerprint=str(item["fingerprint"]),
                quarantines=int(item["quarantines"]),
                released_at_seconds=float(item["released_at_seconds"]),
                lifted=bool(item["lifted"]),
                crashed_replica=str(item["crashed_replica"]),
            )
            for item in payload
        ]
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise _malformed(f"a record is malformed: {error!r}") from error


def _malformed(message: str) -> FindingsError:
    return one_finding(subject=TOPIC, message=message)
