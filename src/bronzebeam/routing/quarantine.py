"""Quarantine of requests that crash every backend server that runs them."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import Final

from attrs import define, evolve, field, frozen

CONFLICT_SECONDS: Final = 5.0
CLEARED_SECONDS: Final = 60.0
INITIAL_QUARANTINE_SECONDS: Final = 60.0
MAX_QUARANTINE_SECONDS: Final = 3600.0
MAX_CLEARED: Final = 4096
MAX_LOSSES: Final = 32
MAX_RECORDS: Final = 1024
QUARANTINE_RETENTION_SECONDS: Final = 3600.0
SUSPECT_RETENTION_SECONDS: Final = 300.0


class QuarantineState(Enum):
    """
    How requests with a fingerprint may run.

    `SUSPECT`: solo, which means on one replica at a time, without hedges, and only on
    a replica where this entry has nothing else in flight. `QUARANTINED`: not at all
    until the release.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@frozen(kw_only=True)
class LostReplica:
    """
    A replica that was lost while requests of this entry were in flight on it.

    :ivar in_flight: fingerprints that were in flight on it.
    :ivar solo: those of them that were sent solo, as suspects.
    :ivar at_seconds: monotonic time of the loss.
    """

    replica: str
    in_flight: frozenset[str]
    solo: frozenset[str]
    at_seconds: float


@frozen(kw_only=True)
class QuarantineRecord:
    """
    State of one fingerprint, shared by the fleet; the higher of two records wins.

    :ivar quarantines: number of quarantines so far; 0 for a suspect.
    :ivar released_at_seconds: wall time at which the last quarantine ends, or at
        which the fingerprint became a suspect.
    :ivar lifted: a successful reply has cleared the fingerprint since.
    :ivar crashed_replica: replica whose loss led to the last quarantine.
    """

    fingerprint: str
    quarantines: int
    released_at_seconds: float
    lifted: bool = False
    crashed_replica: str = ""

    @property
    def rank(self) -> tuple[int, float, bool, str, str]:
        """Key by which records are ordered; higher ones win a merge and are kept."""
        return (
            self.quarantines,
            self.released_at_seconds,
            self.lifted,
            self.crashed_replica,
            self.fingerprint,
        )

    @property
    def confirmed(self) -> bool:
        return self.quarantines > 0 and not self.lifted

    def is_retained(self, wall_seconds: float) -> bool:
        """Whether the record is still to be stored at `wall_seconds`."""
        retention_seconds = (
            QUARANTINE_RETENTION_SECONDS
            if self.confirmed
            else SUSPECT_RETENTION_SECONDS
        )
        return wall_seconds < self.released_at_seconds + retention_seconds

    def conflicts_with(self, other: "QuarantineRecord") -> bool:
        """
        Whether entries quarantined both fingerprints for the loss of one replica.

        At most one of them can be the cause, so both remain suspects.
        """
        return (
            self.confirmed
            and other.confirmed
            and self.fingerprint != other.fingerprint
            and self.crashed_replica == other.crashed_replica
            and abs(_quarantined_at(self) - _quarantined_at(other)) <= CONFLICT_SECONDS
        )


def quarantine_seconds(quarantines: int) -> float:
    """Return the length of the nth quarantine: doubling, bounded."""
    doublings = min(max(quarantines, 1) - 1, 16)
    return min(
        INITIAL_QUARANTINE_SECONDS * float(1 << doublings), MAX_QUARANTINE_SECONDS
    )


def merge_records(
    *sets: Iterable[QuarantineRecord], max_records: int = MAX_RECORDS
) -> list[QuarantineRecord]:
    """
    Merge sets of records; commutative, associative and idempotent.

    :param max_records: number of records to keep, those of the highest rank.
    """
    merged: dict[str, QuarantineRecord] = {}
    for records in sets:
        for record in records:
            current = merged.get(record.fingerprint)
            if current is None or current.rank < record.rank:
                merged[record.fingerprint] = record
    ranked = sorted(merged.values(), key=lambda item: item.rank, reverse=True)
    return ranked[:max_records]


def solo_order(fingerprint: str, shards: int) -> list[int]:
    """
    Return the order in which a suspect runs on the shards, one at a time.

    It differs between fingerprints, so that suspects from different entries are
    rarely on the same replica.
    """
    hashed = [hashlib.blake2b(f"{fingerprint}/{n}".encode()) for n in range(shards)]
    return sorted(range(shards), key=lambda shard: hashed[shard].digest())


def _quarantined_at(record: QuarantineRecord) -> float:
    return record.released_at_seconds - quarantine_seconds(record.quarantines)


@define(kw_only=True)
class Quarantine:
    """
    Suspect and quarantined fingerprints, as known to one entry.

    A fingerprint in flight on a lost replica becomes a suspect. It is quarantined if
    it is then sent solo and that replica is lost too, with no other possible cause in
    flight. Losses of requests that were not sent solo are not enough: one fan-out can
    crash a replica of each shard at once, along with harmless requests on them.
    """

    _records: dict[str, QuarantineRecord] = field(factory=dict, init=False)
    _losses: dict[str, list[frozenset[str]]] = field(factory=dict, init=False)
    _cleared: OrderedDict[str, float] = field(factory=OrderedDict, init=False)

    @property
    def records(self) -> tuple[QuarantineRecord, ...]:
        """Records to be sent to peers."""
        return tuple(self._records.values())

    @property
    def cleared_count(self) -> int:
        """Number of fingerprints stored as recently answered."""
        return len(self._cleared)

    def state_of(self, fingerprint: str, *, wall_seconds: float) -> QuarantineState:
        """Return how `fingerprint` may run at `wall_seconds`."""
        record = self._records.get(fingerprint)
        if record is None or record.lifted or not record.is_retained(wall_seconds):
            return QuarantineState.CLEAR
        if wall_seconds < record.released_at_seconds and self._is_confirmed(record):
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def remaining_quarantine_ms(self, fingerprint: str, *, wall_seconds: float) -> int:
        """Return the time to the fingerprint's release; 0 if it is not quarantined."""
        state = self.state_of(fingerprint, wall_seconds=wall_seconds)
        if state is not QuarantineState.QUARANTINED:
            return 0
        released_at_seconds = self._records[fingerprint].released_at_seconds
        return math.ceil((released_at_seconds - wall_seconds) * 1000)

    def observe_success(self, fingerprint: str, *, now_seconds: float) -> None:
        """
        Record a successful reply to `fingerprint`, which clears it.

        :param now_seconds: monotonic time.
        """
        self._cleared[fingerprint] = now_seconds
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        if fingerprint in self._records:
            self._lift(fingerprint)

    def observe_loss(self, lost: LostReplica, *, wall_seconds: float) -> str | None:
        """
        Record the loss of a replica; must be called once per loss.

        :return: the fingerprint that is quarantined as a result, if any.
        """
        self._retain(self._records.values(), wall_seconds)
        candidates = frozenset(
            name
            for name in lost.in_flight
            if not self._is_cleared(name, lost.at_seconds)
        )
        # If a confirmed fingerprint was in flight, it is the cause, not the others.
        causes = candidates & self._confirmed_names()
        if not causes:
            self._add_suspects(candidates, wall_seconds)
            causes = candidates
        if len(causes) != 1 or not causes <= lost.solo:
            return None
        [cause] = causes
        if (
            self.state_of(cause, wall_seconds=wall_seconds)
            is not QuarantineState.SUSPECT
        ):
            return None
        self._quarantine(cause, lost.replica, wall_seconds)
        return cause

    def merge(
        self, records: Iterable[QuarantineRecord], *, wall_seconds: float
    ) -> None:
        """Merge the records of a peer, and drop those that have expired."""
        merged = merge_records(self._records.values(), records)
        self._retain(merged, wall_seconds)
        self._clear_explained()

    def _retain(self, records: Iterable[QuarantineRecord], wall_seconds: float) -> None:
        self._records = {
            record.fingerprint: record
            for record in records
            if record.is_retained(wall_seconds)
        }
        self._losses = {
            name: losses
            for name, losses in self._losses.items()
            if name in self._records and not self._records[name].lifted
        }

    def _add_suspects(self, candidates: frozenset[str], wall_seconds: float) -> None:
        suspects = []
        for name in candidates:
            losses = self._losses.setdefault(name, [])
            if len(losses) < MAX_LOSSES:
                losses.append(candidates)
            current = self._records.get(name)
            if current is None or current.lifted:
                suspects.append(
                    QuarantineRecord(
                        fingerprint=name,
                        quarantines=current.quarantines if current else 0,
                        released_at_seconds=wall_seconds,
                    )
                )
        self._retain(merge_records(self._records.values(), suspects), wall_seconds)

    def _quarantine(self, name: str, replica: str, wall_seconds: float) -> None:
        current = self._records[name]
        for other in list(self._records.values()):
            if current.conflicts_with(other):
                self._lift(other.fingerprint)
        quarantines = current.quarantines + 1
        self._records[name] = evolve(
            current,
            quarantines=quarantines,
            released_at_seconds=wall_seconds + quarantine_seconds(quarantines),
            crashed_replica=replica,
        )
        self._clear_explained()

    def _clear_explained(self) -> None:
        """Clear suspects whose losses all had a confirmed fingerprint in flight."""
        confirmed = self._confirmed_names()
        for name in self._losses.keys() - confirmed if confirmed else ():
            losses = [names for names in self._losses[name] if not names & confirmed]
            self._losses[name] = losses
            if not losses:
                self._lift(name)

    def _lift(self, name: str) -> None:
        self._records[name] = evolve(self._records[name], lifted=True)

    def _is_cleared(self, name: str, now_seconds: float) -> bool:
        at_seconds = self._cleared.get(name, -math.inf)
        return now_seconds - at_seconds < CLEARED_SECONDS

    def _is_confirmed(self, record: QuarantineRecord) -> bool:
        others = self._records.values()
        return record.confirmed and not any(
            record.conflicts_with(other) for other in others
        )

    def _confirmed_names(self) -> frozenset[str]:
        return frozenset(
            record.fingerprint
            for record in self._records.values()
            if self._is_confirmed(record)
        )
