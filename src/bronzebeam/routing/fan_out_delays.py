"""Delays around the cut-off of a fan-out, as an instance measures them."""

from typing import Final

from attrs import define, field

QUANTILE: Final = 0.9  # of the delays is expected to be at most the estimate
STEP_MS: Final = 1.0
MIN_DELAY_MS: Final = 0.5
MAX_DELAY_MS: Final = 20.0
# Before the first observations; those of an instance with half a processor core.
INITIAL_ANSWER_DELAY_MS: Final = 1.5
INITIAL_PEER_DELAY_MS: Final = 5.0
MAX_PEER_DELAY_SHARE: Final = 0.25  # of the time that is left when a peer is asked


@define(kw_only=True, eq=False, repr=False)
class DelayEstimate:
    """
    Running high quantile of a delay that depends on the hardware and the load.

    :ivar delay_ms: current estimate.
    """

    delay_ms: float

    def observe(self, delay_ms: float) -> None:
        """Record one delay."""
        step_ms = QUANTILE if delay_ms > self.delay_ms else QUANTILE - 1.0
        self.delay_ms = min(
            max(self.delay_ms + step_ms * STEP_MS, MIN_DELAY_MS), MAX_DELAY_MS
        )


@define(kw_only=True, eq=False, repr=False)
class FanOutDelays:
    """
    The delays that a fan-out allows for, so that its answer is in time.

    :ivar answer: from the cut-off until the answer is written.
    :ivar peers: from a peer's cut-off until its reply has been read. Counted from when
        the peer was asked, so it includes both ways.
    """

    answer: DelayEstimate = field(
        factory=lambda: DelayEstimate(delay_ms=INITIAL_ANSWER_DELAY_MS)
    )
    peers: DelayEstimate = field(
        factory=lambda: DelayEstimate(delay_ms=INITIAL_PEER_DELAY_MS)
    )

    def peer_cutoff_ms(self, remaining_ms: float) -> float:
        """
        Return the time after which a peer answers without the shards that it lacks.

        :param remaining_ms: time until the cut-off of the instance that asks it.
        """
        allowed_ms = min(self.peers.delay_ms, remaining_ms * MAX_PEER_DELAY_SHARE)
        return max(1.0, remaining_ms - allowed_ms)
