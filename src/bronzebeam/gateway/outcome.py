"""Final answers to callers, with the log lines and metrics of requests."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from attrs import define, field

from bronzebeam.gateway.base_attempt import BaseAttempt
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.retry_delay import retry_after_seconds
from bronzebeam.transport.caller_request import end_to_end_headers
from bronzebeam.transport.http_reply import Headers, HttpReply
from bronzebeam.units import MS_PER_SECOND

RETRY_AFTER: Final = b"Retry-After"
MAX_LOGGED_ITEMS: Final = 8  # keeps the log line short if many shards failed


@define(kw_only=True, eq=False, repr=False)
class Outcome:
    """
    How a request ended, for its log line.

    :ivar cause: cause of the failure; empty if there is none.
    :ivar included: number of shards in the answer; None outside a fan-out.
    :ivar missing: shards that are not in the answer, each with its cause.
    :ivar peers: delegations that were late or failed.
    :ivar steps: monotonic times of the steps of a fan-out, by the name of their field.
    :ivar details: further fields of the log line.
    """

    attempts: Sequence[BaseAttempt]
    cause: str = ""
    included: int | None = None
    missing: Sequence[str] = ()
    peers: Sequence[str] = ()
    steps: Mapping[str, float | None] = field(factory=dict)
    details: Mapping[str, Any] = field(factory=dict)

    def log(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        *,
        status: int | None,
        good: bool,
    ) -> None:
        """
        Write the log line of the request.

        :param status: status of the answer; None if there was no answer.
        :param good: served in full and in time; fewer of these lines are logged.
        """
        if not routed.is_for_peer:
            context.served.record_end(status=status, cause=self.cause)
        now_seconds = context.loop.time()
        request = routed.request
        elapsed_ms = (now_seconds - request.arrived_at_seconds) * MS_PER_SECOND
        fields: dict[str, Any] = {
            "request": routed.metadata.attempt_id.decode("latin-1"),
            "route": routed.route.name,
            "version": routed.version,
            "status": status,
            "elapsed_ms": round(elapsed_ms, 1),
        }
        if routed.account is not None:
            fields["account"] = routed.account.name
        if now_seconds > routed.target_at_seconds:
            fields["late_ms"] = round(
                (now_seconds - routed.target_at_seconds) * MS_PER_SECOND, 1
            )
        if not good:
            fields["target_ms"] = routed.ms_after_arrival(routed.target_at_seconds)
            if not routed.is_for_peer:
                fields["round_trip_ms"] = round(request.round_trip_ms, 1)
                fields["new_connection"] = request.is_first
            for name, at_seconds in self.steps.items():
                if at_seconds is not None:
                    fields[name] = routed.ms_after_arrival(at_seconds)
        if self.cause:
            fields["cause"] = self.cause
        fields.update(self.details)
        if self.included is not None:
            fields["included"] = self.included
        if self.missing:
            fields["missing"] = ",".join(self.missing[:MAX_LOGGED_ITEMS])
        if self.peers:
            fields["peers"] = ",".join(self.peers)
        fields["attempts"] = self._describe_attempts()
        context.log.request("request_ended", good=good, **fields)

    def _describe_attempts(self) -> str:
        """Describe the attempts; those of a fan-out only if they did not succeed."""
        if self.included is None:
            chosen = list(self.attempts)
        else:
            chosen = [item for item in self.attempts if item.cause or not item.reply]
        described = [item.describe() for item in chosen[:MAX_LOGGED_ITEMS]]
        return ",".join(described) or str(len(self.attempts))


def answer_reply(
    context: GatewayContext, routed: RoutedRequest, reply: HttpReply, outcome: Outcome
) -> None:
    """Answer the caller with a replica's reply."""
    good = reply.status < 400 and context.loop.time() <= routed.target_at_seconds
    outcome.log(context, routed, status=reply.status, good=good)
    context.metrics.count_response(routed, status=reply.status, now=context.loop.time())
    routed.request.respond(
        status=reply.status, headers=end_to_end_headers(reply.headers), body=reply.body
    )


def answer_merged(
    context: GatewayContext,
    routed: RoutedRequest,
    *,
    headers: Headers,
    body: bytes,
    outcome: Outcome,
) -> None:
    """Answer the caller with the merged replies of shards."""
    late = context.loop.time() > routed.target_at_seconds
    outcome.log(context, routed, status=200, good=not late and not outcome.missing)
    context.metrics.count_response(routed, status=200, now=context.loop.time())
    routed.request.respond(status=200, headers=headers, body=body)


def answer_failure(
    context: GatewayContext,
    routed: RoutedRequest,
    *,
    status: int,
    outcome: Outcome,
    return_seconds: float | None = None,
) -> None:
    """
    Answer the caller that the request was not served.

    :param status: 503 if the request has certainly not run, otherwise 502 or 504.
    :param return_seconds: time after which it can be served; None if unknown.
    """
    if status == 503:
        routed.give_back_token()
    seconds = None
    if status in (502, 503):
        seconds = retry_after_seconds(
            target_latency_ms=routed.route.target_latency_ms, rng=context.rng
        )
        if return_seconds is not None:
            seconds = max(seconds, return_seconds)
    _answer_unserved(context, routed, status, outcome, seconds)


def answer_no_room(
    context: GatewayContext,
    routed: RoutedRequest,
    *,
    outcome: Outcome,
    return_seconds: float,
) -> None:
    """
    Answer the caller that the request was not started for lack of room.

    :param return_seconds: time after which there is room, with jitter.
    """
    routed.give_back_token()
    _answer_unserved(context, routed, 503, outcome, return_seconds)


def _answer_unserved(
    context: GatewayContext,
    routed: RoutedRequest,
    status: int,
    outcome: Outcome,
    return_seconds: float | None,
) -> None:
    headers: Headers = []
    if return_seconds is not None:
        headers.append((RETRY_AFTER, b"%.3f" % return_seconds))
    outcome.log(context, routed, status=status, good=False)
    context.metrics.count_response(routed, status=status, now=context.loop.time())
    routed.request.respond(
        status=status, headers=headers, body=outcome.cause.encode() + b"\n"
    )
