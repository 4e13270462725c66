"""How the result of a fan-out is told: to a caller, or to a peer."""

from collections.abc import Sequence
from typing import Protocol

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.outcome import Outcome, answer_failure, answer_merged
from bronzebeam.gateway.peer_codec import RESULT_HEADER, encode_result
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.gateway.shard_run import ShardRun


class GatherAnswers(Protocol):
    """
    Tells the result of a fan-out.

    :ivar empty_allowed: an answer without any shard is of use.
    """

    empty_allowed: bool

    def still_working(self) -> None:
        """Tell that the answer takes longer than usual."""

    def answer(
        self, shards: Sequence[ShardRun], *, records: bytes, outcome: Outcome
    ) -> None:
        """Tell the records of the shards that have a reply."""

    def fail(self, *, status: int, outcome: Outcome) -> None:
        """Tell that there is no answer."""


@define(kw_only=True, eq=False, repr=False)
class CallerAnswers:
    """Answers the caller of the request; satisfies `GatherAnswers`."""

    context: GatewayContext
    routed: RoutedRequest
    empty_allowed: bool = False

    def still_working(self) -> None:
        """Leave a caller alone."""

    def answer(
        self, shards: Sequence[ShardRun], *, records: bytes, outcome: Outcome
    ) -> None:
        """Answer with the records and the signatures of their shards."""
        signatures = [run.signature for run in shards if run.signature is not None]
        headers = self.context.header_codec.merged_headers(
            attempt_id=self.routed.metadata.attempt_id,
            signatures=signatures,
            missing=len(shards) - len(signatures),
        )
        answer_merged(
            self.context, self.routed, headers=headers, body=records, outcome=outcome
        )

    def fail(self, *, status: int, outcome: Outcome) -> None:
        """Answer that the request was not served."""
        answer_failure(self.context, self.routed, status=status, outcome=outcome)


@define(kw_only=True, eq=False, repr=False)
class PeerAnswers:
    """Answers the peer that has handed over the shards; satisfies `GatherAnswers`."""

    context: GatewayContext
    routed: RoutedRequest
    empty_allowed: bool = True

    def still_working(self) -> None:
        """Tell the peer that this instance lives, so that it waits."""
        self.routed.request.tell_processing()

    def answer(
        self, shards: Sequence[ShardRun], *, records: bytes, outcome: Outcome
    ) -> None:
        """Answer with the records, and with what is known of each shard."""
        if outcome.missing:
            outcome.log(self.context, self.routed, status=200, good=False)
        signatures = [run.signature for run in shards]
        self.routed.request.answer(
            status=200,
            headers=[(RESULT_HEADER, encode_result(signatures))],
            body=records,
        )

    def fail(self, *, status: int, outcome: Outcome) -> None:
        """Answer that no shard has replied."""
        outcome.log(self.context, self.routed, status=status, good=False)
        self.routed.request.answer(status=status, headers=[], body=b"")
