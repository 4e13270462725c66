"""The way of a caller's request to its route."""

from typing import Final

from attrs import define, field

from bronzebeam.gateway.admission import Admission
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.forward import ForwardedRequest
from bronzebeam.gateway.gather import FanOutRequest
from bronzebeam.gateway.gather_answers import CallerAnswers
from bronzebeam.gateway.outcome import Outcome, answer_failure
from bronzebeam.gateway.routed import RoutedRequest, request_fingerprint
from bronzebeam.gateway.suspect_reports import QUARANTINE_SECONDS
from bronzebeam.routing.fan_out_timing import remaining_target_ms
from bronzebeam.routing.hedge_timing import hedge_delay_ms
from bronzebeam.routing.retry_delay import retry_after_seconds
from bronzebeam.transport.caller_request import CallerRequest
from bronzebeam.transport.http_reply import Headers
from bronzebeam.units import MS_PER_SECOND

CALLER_WORK_MS: Final = 1.5  # the caller's and this instance's own share of the time
DEADLINE_MARGIN_MS: Final = 5.0  # the final answer reaches a caller that still waits
RETURNING_AFTER_MS: Final = 15.0  # more than a caller needs to open a connection
START_WAIT_SECONDS: Final = 0.15  # the store is read in a tenth of this
START_RETRY_MS: Final = 400.0  # a process reads its configuration in less


@define(kw_only=True, eq=False, repr=False)
class Router:
    """
    Finds the route of each request and starts its handling.

    :ivar started_at_seconds: monotonic time at which the process started.
    :ivar _waiting: requests that came before the first configuration was read.
    """

    context: GatewayContext
    admission: Admission
    started_at_seconds: float
    _waiting: list[CallerRequest] = field(factory=list)

    def handle(self, request: CallerRequest) -> None:
        """Route a request; bad ones are answered at once."""
        table = self.context.state.table
        if table is None:
            self._wait_for_configuration(request)
            return
        facts = self.context.header_codec.read_request(request.headers)
        if not facts.attempt_id:
            self._refuse(request, 400, "attempt_id_missing")
            return
        host = request.header(b"host").decode("latin-1")
        route = table.find(host=host, path=request.path)
        if route is None:
            self._refuse(request, 404, "no_route")
            return
        suspects = self.context.state.suspects
        if suspects and suspects.is_quarantined(request_fingerprint(request)):
            self._refuse(request, 503, "quarantined", return_seconds=QUARANTINE_SECONDS)
            return
        remaining_ms = facts.remaining_ms
        if remaining_ms is None:
            remaining_ms = route.timeout_ms
        elapsed_ms = self.context.state.earlier_attempts_ms(route, remaining_ms)
        limit_ms = min(remaining_ms - DEADLINE_MARGIN_MS, route.timeout_ms)
        target_ms = remaining_target_ms(
            target_latency_ms=route.target_latency_ms
            - request.round_trip_ms
            - CALLER_WORK_MS,
            elapsed_ms=elapsed_ms,
            typical_ms=self.context.state.typical_latency(route).typical_ms,
        )
        arrived_at = request.arrived_at_seconds
        routed = RoutedRequest(
            request=request,
            metadata=facts,
            route=route,
            version=table.version,
            deadline_at_seconds=arrived_at + limit_ms / MS_PER_SECOND,
            target_at_seconds=arrived_at + target_ms / MS_PER_SECOND,
            head=self.context.header_codec.request_head(request),
        )
        ticket = self.admission.enter(
            table=table, route=route, returning=elapsed_ms > RETURNING_AFTER_MS
        )
        if ticket is None:
            self._refuse_overload(routed)
        elif route.shards:
            FanOutRequest(
                context=self.context,
                routed=routed,
                answers=CallerAnswers(context=self.context, routed=routed),
                may_delegate=True,
                ticket=ticket,
                hedge_after_ms=hedge_delay_ms(
                    typical_ms=self.context.state.typical_latency(route).typical_ms,
                    target_latency_ms=route.target_latency_ms,
                    is_fan_out=True,
                ),
            ).start()
        else:
            ForwardedRequest(
                context=self.context,
                routed=routed,
                service=self.context.state.next_service(route),
                ticket=ticket,
            ).start()

    def on_first_configuration(self) -> None:
        """Handle the requests that waited for the first configuration."""
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if not request.gone:
                self.handle(request)

    def _wait_for_configuration(self, request: CallerRequest) -> None:
        loop = self.context.loop
        if loop.time() - self.started_at_seconds > START_WAIT_SECONDS:
            self._refuse(request, 503, "no_configuration")
            return
        if not self._waiting:
            loop.call_at(
                self.started_at_seconds + START_WAIT_SECONDS, self._refuse_waiting
            )
        self._waiting.append(request)

    def _refuse_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if not request.gone:
                self._refuse(request, 503, "no_configuration")

    def _refuse_overload(self, routed: RoutedRequest) -> None:
        limit = self.admission.limit_of(routed.route)
        in_flight = limit.in_flight if limit is not None else 0
        answer_failure(
            self.context,
            routed,
            status=503,
            outcome=Outcome(attempts=(), cause=f"overload_in_flight_{in_flight}"),
        )

    def _refuse(
        self,
        request: CallerRequest,
        status: int,
        reason: str,
        *,
        return_seconds: float | None = None,
    ) -> None:
        headers: Headers = []
        if status == 503:
            if return_seconds is None:
                return_seconds = retry_after_seconds(
                    target_latency_ms=START_RETRY_MS, rng=self.context.rng
                )
            headers.append((b"Retry-After", b"%.3f" % return_seconds))
        facts = self.context.header_codec.read_request(request.headers)
        table = self.context.state.table
        self.context.log.request(
            "request_refused",
            good=False,
            request=facts.attempt_id.decode("latin-1"),
            status=status,
            cause=reason,
            host=request.header(b"host").decode("latin-1"),
            path=request.path.decode("latin-1"),
            version=table.version if table is not None else None,
        )
        self.context.metrics.count_refusal(reason)
        request.answer(status=status, headers=headers, body=reason.encode() + b"\n")
