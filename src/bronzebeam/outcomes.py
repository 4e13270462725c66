"""Possible outcomes of a caller's request, each with its tag on the wire."""

from dataclasses import dataclass, field
from typing import Any, ClassVar


@dataclass(frozen=True, kw_only=True)
class MissingShard:
    """
    A shard that an answer does not include.

    :ivar shard: number of the shard in the snapshot's shard map.
    :ivar reason: one of the reasons listed in docs/callers.md.
    """

    shard: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class Coverage:
    """
    The index version and shards that a search answer comes from.

    :ivar index_version: the single index version that all hits come from.
    :ivar shard_count: size of that version's shard map, the denominator.
    :ivar included: shards whose complete reply is in the answer.
    :ivar missing: all other shards, each with its reason.
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
    A complete answer: a search over all shards, or a call that ran.

    :ivar result: hits of a search or the backend server's reply to a call.
    :ivar coverage: set for a search only.
    """

    tag: ClassVar[str] = "answered"
    result: Any
    coverage: Coverage | None = None


@dataclass(frozen=True, kw_only=True)
class Partial:
    """A search answer without some shards, as allowed by the service's policy."""

    tag: ClassVar[str] = "partial"
    result: Any
    coverage: Coverage


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """
    The request reached no backend server, or all replied that they did not run it.

    :ivar reason: one of the reasons listed in docs/callers.md.
    :ivar retry_after_ms: delay before a retry; None if a retry can't succeed.
    :ivar detail: human-readable explanation.
    """

    tag: ClassVar[str] = "not_run"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """The request may have run: it was sent, but no backend server replied."""

    tag: ClassVar[str] = "outcome_unknown"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """
    The request is refused by policy, for instance while it is quarantined.

    :ivar ran: whether parts of it may have run before the refusal.
    :ivar coverage: coverage of a search when it was refused, if it had started.
    """

    tag: ClassVar[str] = "refused"
    reason: str
    retry_after_ms: int | None = None
    detail: str = ""
    ran: bool = False
    coverage: Coverage | None = None


Outcome = Answered | Partial | NotRun | OutcomeUnknown | Refused
