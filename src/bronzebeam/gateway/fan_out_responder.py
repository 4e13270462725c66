"""Responders: they send the result of a fan-out to a caller or to a peer."""

from collections.abc import Sequence
from typing import Protocol

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.load_codec import LOAD_HEADER, ReplicaReading, encode_readings
from bronzebeam.gateway.outcome import Outcome, answer_failure, answer_merged
from bronzebeam.gateway.peer_codec import (
    IMPAIRED_HEADER,
    LEAVING_HEADER,
    RESULT_HEADER,
    UNREACHABLE_HEADER,
    encode_leaving,
    encode_result,
    encode_services,
)
from bronzebeam.gateway.replica_set import REPLICAS_UNREACHABLE
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_state import ShardState
from bronzebeam.transport.http_reply import Headers


class FanOutResponder(Protocol):
    """
    Sends the result of a fan-out.

    :ivar allows_empty: an answer without any shard may be sent.
    """

    allows_empty: bool

    def on_delay(self) -> None:
        """Handle that the answer takes longer than usual."""

    def answer(
        self, shards: Sequence[ShardState], *, records: bytes, outcome: Outcome
    ) -> None:
        """Send the merged records of the shards that have replied."""

    def fail(
        self,
        shards: Sequence[ShardState],
        *,
        status: int,
        outcome: Outcome,
        return_seconds: float | None,
    ) -> None:
        """
        Send a failure.

        :param return_seconds: time after which the request can be served; None if
            unknown.
        """


@define(kw_only=True, eq=False, repr=False)
class CallerResponder:
    """Answers the caller of the request; implements `FanOutResponder`."""

    context: GatewayContext
    routed: RoutedRequest
    allows_empty: bool = False

    def on_delay(self) -> None:
        """Do nothing; callers get no interim replies."""

    def answer(
        self, shards: Sequence[ShardState], *, records: bytes, outcome: Outcome
    ) -> None:
        """Answer with the records, and the signatures of their shards."""
        signatures = [
            shard.signature for shard in shards if shard.signature is not None
        ]
        headers = self.context.header_codec.merged_headers(
            attempt_id=self.routed.metadata.attempt_id,
            signatures=signatures,
            missing=len(shards) - len(signatures),
        )
        answer_merged(
            self.context, self.routed, headers=headers, body=records, outcome=outcome
        )

    def fail(
        self,
        shards: Sequence[ShardState],
        *,
        status: int,
        outcome: Outcome,
        return_seconds: float | None,
    ) -> None:
        """Answer that the request was not served."""
        answer_failure(
            self.context,
            self.routed,
            status=status,
            outcome=outcome,
            return_seconds=return_seconds,
        )


@define(kw_only=True, eq=False, repr=False)
class PeerResponder:
    """Answers the peer that delegated the shards; implements `FanOutResponder`."""

    context: GatewayContext
    routed: RoutedRequest
    allows_empty: bool = True

    def on_delay(self) -> None:
        """Send an interim reply, so that the peer doesn't consider this one lost."""
        self.routed.request.send_processing()

    def answer(
        self, shards: Sequence[ShardState], *, records: bytes, outcome: Outcome
    ) -> None:
        """Answer with the records, and the signature of each shard that replied."""
        if outcome.missing:
            outcome.log(self.context, self.routed, status=200, good=False)
        signatures = [shard.signature for shard in shards]
        headers: Headers = [(RESULT_HEADER, encode_result(signatures))]
        headers.extend(self._reach_headers(shards))
        leaving = self.context.state.replicas.announced_leaving(
            self.routed.route.shards
        )
        if leaving:
            headers.append((LEAVING_HEADER, encode_leaving(leaving)))
        if self.context.state.replicas.states_load:
            headers.extend(self._load_headers(shards))
        self.routed.request.respond(status=200, headers=headers, body=records)

    def fail(
        self,
        shards: Sequence[ShardState],
        *,
        status: int,
        outcome: Outcome,
        return_seconds: float | None,
    ) -> None:
        """Answer with the status of the failure."""
        outcome.log(self.context, self.routed, status=status, good=False)
        self.routed.request.respond(
            status=status, headers=self._reach_headers(shards), body=b""
        )

    def _reach_headers(self, shards: Sequence[ShardState]) -> Headers:
        """Return the headers that say what this instance does not reach."""
        headers: Headers = []
        if self.context.state.replicas.links.is_impaired:
            headers.append((IMPAIRED_HEADER, b"1"))
        unreachable = [
            shard.service for shard in shards if shard.cause == REPLICAS_UNREACHABLE
        ]
        if unreachable:
            headers.append((UNREACHABLE_HEADER, encode_services(unreachable)))
        return headers

    def _load_headers(self, shards: Sequence[ShardState]) -> Headers:
        """Return the header with the load of the replicas that were asked, if known."""
        readings = [
            ReplicaReading(
                replica=attempt.replica.record.replica,
                started_at_ms=attempt.replica.record.started_at_ms,
                reading=attempt.replica.reading,
            )
            for shard in shards
            for attempt in shard.attempts
            if attempt.replica.reading is not None
        ]
        value = encode_readings(readings, now_seconds=self.context.loop.time())
        return [(LOAD_HEADER, value)] if value else []
