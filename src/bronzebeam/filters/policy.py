"""What the end of the chain asks of the controllers while a query runs."""

from typing import Protocol

from bronzebeam.documents.model import ServiceSpec
from bronzebeam.routing.hedging import FailureKind, SubRequestState


class ExtraLoadPolicy(Protocol):
    """Hedges and retries of each service, on one budget."""

    def hedge_delay_seconds(
        self, service: ServiceSpec, now_seconds: float
    ) -> float | None:
        """Return how long a sub-request runs before a hedge; None for never."""

    def record_first_attempts(
        self, service: ServiceSpec, count: int, now_seconds: float
    ) -> None:
        """Count `count` first sub-requests."""

    def record_latency(
        self, service: ServiceSpec, latency_ms: float, now_seconds: float
    ) -> None:
        """Record the time that a first sub-request took or was waited for."""

    def allow_hedge(
        self, service: ServiceSpec, state: SubRequestState, now_seconds: float
    ) -> bool:
        """Decide on a hedge and take it from the budget."""

    def allow_retry(
        self,
        service: ServiceSpec,
        state: SubRequestState,
        failure: FailureKind,
        now_seconds: float,
    ) -> bool:
        """Decide on a retry and take it from the budget."""


class QuarantinePolicy(Protocol):
    """Knows the requests that make backend servers crash."""

    def remaining_quarantine_ms(
        self, fingerprint: str, now_seconds: float
    ) -> int | None:
        """Return how long `fingerprint` stays quarantined, None if it is not."""

    def is_suspect(self, fingerprint: str, now_seconds: float) -> bool:
        """Tell whether `fingerprint` is to run on one replica at a time."""

    async def wait_until_losses_applied(self) -> None:
        """Wait until every loss reported so far is taken in."""
