"""Handling of requests that peers relay, since they can't reach the replicas."""

import asyncio

from attrs import define, field

from bronzebeam.gateway.attempt import Attempt
from bronzebeam.gateway.base_attempt import AttemptResult, BaseAttempt
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.outcome import Outcome
from bronzebeam.gateway.peer_codec import (
    IMPAIRED_HEADER,
    RELAY_HEADER,
    RELAYED_HEADER,
    MalformedDelegation,
    RelayOutcome,
    RelayRequest,
    decode_relay,
    encode_relay_outcome,
)
from bronzebeam.gateway.peer_request import reject_peer_request, route_peer_request
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_state import NO_REPLICA
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import HttpRequest, end_to_end_headers
from bronzebeam.transport.http_reply import Headers


@define(kw_only=True, eq=False, repr=False)
class RelayRequestHandler:
    """Handles relayed requests: sends each to one replica, and passes its reply on."""

    context: GatewayContext

    def handle(self, request: HttpRequest) -> None:
        """Handle a request; it needs no route in this instance's configuration."""
        try:
            relay = decode_relay(request.header(RELAY_HEADER))
        except MalformedDelegation as error:
            reject_peer_request(self.context, request, cause=str(error))
            return
        routed = route_peer_request(
            self.context,
            request,
            make_route=lambda timeout_ms: _route_from(relay, timeout_ms=timeout_ms),
            target_ms=relay.target_latency_ms,
            regions=relay.regions,
        )
        if routed is None:
            return
        RelayedRequest(
            context=self.context, routed=routed, service=relay.service
        ).start()


@define(kw_only=True, eq=False, repr=False)
class RelayedRequest:
    """
    One request that is sent to one replica for a peer.

    The peer repeats and hedges, so this instance sends it once. Another replica is
    tried only if nothing was sent to the first one.
    """

    context: GatewayContext
    routed: RoutedRequest
    service: str
    _attempts: list[Attempt] = field(factory=list)
    _tried: set[Replica] = field(factory=set)
    _done: bool = False
    _timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the request to a replica."""
        self.routed.request.on_disconnect = self._on_peer_disconnected
        self.routed.request.on_stop = self._on_deadline
        self._timer = self.context.loop.call_at(
            self.routed.deadline_at_seconds, self._on_deadline
        )
        self._send(NO_REPLICA)

    def on_attempt_ended(self, attempt: BaseAttempt, result: AttemptResult) -> None:
        """Pass the replica's reply on, or say how the attempt ended."""
        if self._done:
            return
        if result is AttemptResult.NOT_SENT:
            self._send(attempt.cause)
            return
        assert isinstance(attempt, Attempt)
        headers: Headers = []
        status, body = 502, attempt.cause.encode() + b"\n"
        replica = None
        if result is not AttemptResult.UNKNOWN and attempt.reply is not None:
            replica = attempt.replica.record
            headers = end_to_end_headers(attempt.reply.headers)
            status, body = attempt.reply.status, attempt.reply.body
        self._respond(
            result,
            attempt.cause,
            status=status,
            headers=headers,
            body=body,
            connection_lost=attempt.connection_lost,
            replica=replica,
        )
        attempt.drop_reply()

    def _send(self, cause: str) -> None:
        """
        Send the request to a replica that was not tried before.

        :param cause: why that is not possible, if there is none.
        """
        state = self.context.state
        choice = state.choose_replica(
            service=self.service,
            excluded=self._tried,
            route=self.routed.route,
            domains=self.routed.replica_domains,
        )
        if choice is None:
            next_use = state.replicas.next_use(
                self.service, self.routed.replica_domains
            )
            cause = next_use.cause or cause
            self._respond(AttemptResult.NOT_SENT, cause, status=503)
            return
        self._tried.add(choice.replica)
        attempt = Attempt(
            context=self.context,
            routed=self.routed,
            replica=choice.replica,
            handler=self,
        )
        self._attempts.append(attempt)
        attempt.send()

    def _respond(
        self,
        result: AttemptResult,
        cause: str,
        *,
        status: int,
        headers: Headers | None = None,
        body: bytes = b"",
        connection_lost: bool = False,
        replica: ReplicaRecord | None = None,
    ) -> None:
        self._finish()
        outcome = RelayOutcome(
            result=result.value,
            cause=cause,
            connection_lost=connection_lost,
            replica="" if replica is None else replica.replica,
            started_at_ms=0 if replica is None else replica.started_at_ms,
        )
        all_headers = [
            *(headers or ()),
            (RELAYED_HEADER, encode_relay_outcome(outcome)),
        ]
        if self.context.state.replicas.links.is_impaired:
            all_headers.append((IMPAIRED_HEADER, b"1"))
        if result is not AttemptResult.ANSWERED:
            self._outcome(cause).log(
                self.context, self.routed, status=status, good=False
            )
        self.routed.request.respond(status=status, headers=all_headers, body=body)

    def _on_deadline(self) -> None:
        if self._done:
            return
        sent = any(item.reached_replica for item in self._attempts)
        self._respond(
            AttemptResult.UNKNOWN if sent else AttemptResult.NOT_SENT,
            "deadline_passed",
            status=504 if sent else 503,
        )

    def _on_peer_disconnected(self) -> None:
        if self._done:
            return
        self._finish()
        if self.routed.route.idempotent:
            for attempt in self._attempts:
                attempt.abandon()
        self._outcome("caller_left").log(
            self.context, self.routed, status=None, good=False
        )

    def _finish(self) -> None:
        self._done = True
        self.routed.request.on_disconnect = None
        if self._timer is not None:
            self._timer.cancel()
        for attempt in self._attempts:
            if not attempt.ended:
                attempt.discard()

    def _outcome(self, cause: str) -> Outcome:
        return Outcome(attempts=self._attempts, cause=cause)


def _route_from(relay: RelayRequest, *, timeout_ms: float) -> Route:
    return Route(
        name=relay.route,
        host="",
        path_prefix=b"",
        idempotent=relay.idempotent,
        timeout_ms=timeout_ms,
        target_latency_ms=relay.target_latency_ms,
        max_attempts=1,
        priority=0,
    )
