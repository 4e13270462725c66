"""Interfaces of the controllers that decide on hedges, retries and quarantine."""

from typing import Protocol

from bronzebeam.documents.model import ServiceSpec
from bronzebeam.routing.hedging import FailureKind, SubRequestState


class ExtraLoadPolicy(Protocol):
    """Decides on hedges and retries; both share one budget for each service."""

    def hedge_delay_seconds(
        self, service: ServiceSpec, now_seconds: float
    ) -> float | None:
        """Return how long to wait before a hedge; None disables hedges."""

    def record_first_attempts(
        self, service: ServiceSpec, count: int, now_seconds: float
    ) -> None:
        """Count `count` first attempts of sub-requests."""

    def record_latency(
        self, service: ServiceSpec, latency_ms: float, now_seconds: float
    ) -> None:
        """Record the latency so far of a first attempt, answered or cancelled."""

    def allow_hedge(
        self, service: ServiceSpec, state: SubRequestState, now_seconds: float
    ) -> bool:
        """Return whether a hedge may be sent, and charge it to the budget."""

    def allow_retry(
        self,
        service: ServiceSpec,
        state: SubRequestState,
        failure: FailureKind,
        now_seconds: float,
    ) -> bool:
        """Return whether a retry may be sent, and charge it to the budget."""


class QuarantinePolicy(Protocol):
    """Tracks requests that crash backend servers, by fingerprint."""

    def remaining_quarantine_ms(
        self, fingerprint: str, now_seconds: float
    ) -> int | None:
        """Return how long `fingerprint` stays quarantined; None if it is not."""

    def is_suspect(self, fingerprint: str, now_seconds: float) -> bool:
        """Return whether `fingerprint` must run on one replica at a time."""

    async def wait_until_losses_applied(self) -> None:
        """Wait until every replica loss reported so far has been processed."""
