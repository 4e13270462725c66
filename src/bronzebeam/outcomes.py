"""Tagged outcomes of a caller's request."""

from dataclasses import dataclass, field
from typing import Any, ClassVar


@dataclass(frozen=True, kw_only=True)
class MissingShard:
    """
    A shard that an answer does not include.

    :ivar shard: number of the shard in the snapshot's shard map.
    :ivar reason: cause in the fixed vocabulary of docs/callers.md.
    """

    shard: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class Coverage:
    """
    What a search answer was drawn from.

    :ivar index_version: the one index version that every hit comes from.
    :ivar shard_count: size of that version's shard map, the denominator.
    :ivar included: shards whose whole reply is in the answer.
    :ivar missing: every other shard, each with its reason.
    """

    index_version: int
    shard_count: int
    included: tuple[int, ...]
    missing: tuple[MissingShard, ...] = ()

    @property
    def complete(self) -> bool:
        return len(self.included) == self.shard_count


@dataclass(frozen=True, kw_only=True)
class Answered:
    """
    The whole answer: a complete search, or a call that ran.

    :ivar result: hits of a search or the backend server's reply to a call.
    :ivar coverage: set for a search only.
    """

    tag: ClassVar[str] = "answered"
    result: Any
    coverage: Coverage | None = None


@dataclass(frozen=True, kw_only=True)
class Partial:
    """A search answer that lacks some shards, as the service's policy allows."""

    tag: ClassVar[str] = "partial"
    result: Any
    coverage: Coverage


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """
    The request reached no backend server, or each said that it did not run it.

    :ivar reason: cause in the fixed vocabulary of docs/callers.md.
    :ivar retry_after_ms: when to come back; None if the same request never succeeds.
    :ivar detail: sentence for a person.
    """

    tag: ClassVar[str] = "not_run"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """The request may have run: bytes left, and no backend server's word came back."""

    tag: ClassVar[str] = "outcome_unknown"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """
    The request is held off by policy, for instance while it is quarantined.

    :ivar ran: whether parts of it may have run before the refusal.
    :ivar coverage: what a search had reached, if it got so far.
    """

    tag: ClassVar[str] = "refused"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""
    ran: bool = False
    coverage: Coverage | None = None


Outcome = Answered | Partial | NotRun | OutcomeUnknown | Refused
