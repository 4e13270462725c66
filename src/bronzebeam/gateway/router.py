"""Routing of callers' requests."""

import math
from functools import partial
from typing import Final

from attrs import define, field

from bronzebeam.gateway.admission import Admission, AdmissionPermit
from bronzebeam.gateway.competing_admission import CompetingAdmission
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.fan_out import FanOutRequest
from bronzebeam.gateway.fan_out_responder import CallerResponder
from bronzebeam.gateway.forward import ReplicaRequest
from bronzebeam.gateway.header_codec import RequestMetadata
from bronzebeam.gateway.outcome import Outcome, answer_failure
from bronzebeam.gateway.peer_codec import without_peer_headers
from bronzebeam.gateway.peer_request import DEADLINE_PASSED
from bronzebeam.gateway.quota_gate import QuotaGate
from bronzebeam.gateway.routed_request import RoutedRequest, request_fingerprint
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.answer_size import transmission_ms
from bronzebeam.routing.crash_suspects import QUARANTINE_SECONDS
from bronzebeam.routing.fan_out_timing import remaining_target_ms
from bronzebeam.routing.hedge_timing import hedge_delay_ms
from bronzebeam.routing.regions import combine_regions
from bronzebeam.routing.retry_delay import retry_after_seconds
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.routing.stop_timing import can_be_answered
from bronzebeam.transport.caller_request import STOPPING, HttpRequest
from bronzebeam.transport.http_reply import Headers
from bronzebeam.units import MS_PER_SECOND

CALLER_OVERHEAD_MS: Final = 1.5  # processing time of the caller and this instance
DEADLINE_MARGIN_MS: Final = 5.0  # for the answer to reach the caller in time
# A caller whose deadline is nearer by more than this is retrying; opening a connection
# takes it less time.
RETRY_DETECTION_MS: Final = 15.0
STARTUP_TIMEOUT_SECONDS: Final = 0.15  # ten times as long as reading the store takes
STARTUP_RETRY_MS: Final = 400.0  # an instance reads its configuration in less time
MISSING_KEY: Final = "missing_key"
UNKNOWN_KEY: Final = "unknown_key"
NO_SERVICE: Final = "no_service"
INTERNAL_ERROR: Final = "internal_error"
KEY_UNCONFIRMED: Final = "key_unconfirmed"


@define(kw_only=True, eq=False, repr=False)
class Router:
    """
    Finds the route of each request and starts its handling.

    :ivar started_at_seconds: monotonic time at which the process started.
    :ivar configuration_bound_seconds: see `GatewaySettings`.
    :ivar competing_admission: used instead of `admission` where there are accounts.
    :ivar _queued: requests that arrived before the first configuration was read.
    """

    context: GatewayContext
    admission: Admission
    quotas: QuotaGate
    started_at_seconds: float
    configuration_bound_seconds: float
    competing_admission: CompetingAdmission = field(init=False)
    _queued: list[HttpRequest] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.competing_admission = CompetingAdmission(context=self.context)

    def handle(self, request: HttpRequest) -> None:
        """Route a request, or reject it at once."""
        self.context.served.record_received(self.context.loop.time())
        self._route_or_fail(request)

    def _route_or_fail(self, request: HttpRequest) -> None:
        try:
            self._route(request)
        except Exception as error:
            self._fail(request, error)

    def _fail(self, request: HttpRequest, error: Exception) -> None:
        """Answer a request that met a fault of the program; the others go on."""
        self.context.loop.call_exception_handler({"exception": error, "protocol": self})
        self.context.served.record_end(status=None, cause=INTERNAL_ERROR)
        request.respond(status=500, headers=[], body=b"internal error\n")

    def _route(self, request: HttpRequest) -> None:
        table = self.context.state.table
        if table is None:
            self._queue_until_configured(request)
            return
        # Headers between peers are theirs alone: a caller's would reach a peer with the
        # delegation of its request.
        request.headers = without_peer_headers(request.headers)
        metadata = self.context.header_codec.read_request(request.headers)
        if not metadata.attempt_id:
            self._reject(request, 400, "attempt_id_missing")
            return
        host = request.header(b"host").decode("latin-1")
        route = table.find(host=host, path=request.path)
        if route is None:
            self._reject(request, 404, "no_route")
            return
        account = table.account_by_key(metadata.key)
        if account is None and table.accounts and not route.is_public:
            self._reject_key(request, metadata.key)
            return
        suspects = self.context.state.suspects
        if suspects and suspects.is_quarantined(request_fingerprint(request)):
            self._reject(request, 503, "quarantined", return_seconds=QUARANTINE_SECONDS)
            return
        routed = self._routed_request(request, metadata, table, route, account)
        cause = self._refusal_cause(routed, metadata)
        if cause:
            outcome = Outcome(attempts=(), cause=cause)
            answer_failure(self.context, routed, status=503, outcome=outcome)
            return
        if account is not None and account.is_limited:
            self.quotas.admit(routed, account, lambda: self._start(routed, table))
        else:
            self._start(routed, table)

    def on_first_configuration(self) -> None:
        """Handle the requests that were queued until the first configuration."""
        queued, self._queued = self._queued, []
        for request in queued:
            if not request.disconnected and not request.responded:
                self._route_or_fail(request)

    def _routed_request(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        table: RouteTable,
        route: Route,
        account: Account | None,
    ) -> RoutedRequest:
        """Return the request with its route, and the times at which it is due."""
        remaining_ms = metadata.remaining_ms
        if remaining_ms is None:
            remaining_ms = route.timeout_ms
        elapsed_ms = self.context.state.earlier_attempts_ms(route, remaining_ms)
        # A caller's time starts before it opens a connection, which is one round trip.
        opening_ms = request.round_trip_ms if request.is_first else 0.0
        limit_ms = min(remaining_ms - DEADLINE_MARGIN_MS, route.timeout_ms)
        is_retry = elapsed_ms > RETRY_DETECTION_MS
        to_target_ms = partial(
            time_to_target_ms,
            route,
            typical_ms=self.context.state.typical_latency(route).typical_ms,
            link_bits_per_second=self.context.link_bits_per_second,
            round_trip_ms=request.round_trip_ms,
        )
        target_ms = to_target_ms(elapsed_ms=max(elapsed_ms, opening_ms))
        arrived_at = request.arrived_at_seconds
        answer_by = self.context.answer_by_seconds
        regions = combine_regions(route.regions, account.regions if account else ())
        return RoutedRequest(
            request=request,
            metadata=metadata,
            route=route,
            version=table.version,
            deadline_at_seconds=min(arrived_at + limit_ms / MS_PER_SECOND, answer_by),
            target_at_seconds=min(arrived_at + target_ms / MS_PER_SECOND, answer_by),
            head=self.context.header_codec.request_head(
                request, account=b"" if account is None else account.name.encode()
            ),
            account=account,
            regions=regions,
            replica_domains=self.context.state.regions.domains_in(regions),
            is_retry=is_retry,
            is_past_target=is_retry and target_ms >= to_target_ms(),
        )

    def _refusal_cause(self, routed: RoutedRequest, metadata: RequestMetadata) -> str:
        """Return why a request can't be served, or not in time; empty if it can."""
        route, now_seconds = routed.route, self.context.loop.time()
        if not route.services:
            return NO_SERVICE
        answer_by_seconds = self.context.answer_by_seconds
        if answer_by_seconds == math.inf:
            # The process may have been suspended since the request came.
            return DEADLINE_PASSED if now_seconds >= routed.deadline_at_seconds else ""
        is_in_time = can_be_answered(
            remaining_ms=(answer_by_seconds - now_seconds) * MS_PER_SECOND,
            limit_ms=min(metadata.remaining_ms or route.timeout_ms, route.timeout_ms),
            typical_ms=self.context.state.typical_latency(route).typical_ms,
        )
        return "" if is_in_time else STOPPING

    def _start(self, routed: RoutedRequest, table: RouteTable) -> None:
        """Admit the request and send it, or refuse it at once."""
        if table.accounts:
            self.competing_admission.submit(routed, table=table, start=self._send)
            return
        permit = self.admission.admit(
            table=table, route=routed.route, is_retry=routed.is_retry
        )
        if permit is None:
            self._reject_overload(routed)
        else:
            self._send(routed, permit)

    def _send(self, routed: RoutedRequest, permit: AdmissionPermit) -> None:
        try:
            self._send_admitted(routed, permit)
        except Exception as error:
            permit.release(elapsed_ms=None, now_seconds=self.context.loop.time())
            self._fail(routed.request, error)

    def _send_admitted(self, routed: RoutedRequest, permit: AdmissionPermit) -> None:
        route = routed.route
        if route.shards:
            FanOutRequest(
                context=self.context,
                routed=routed,
                responder=CallerResponder(context=self.context, routed=routed),
                may_delegate=True,
                permit=permit,
                hedge_after_ms=hedge_delay_ms(
                    typical_ms=self.context.state.typical_latency(route).typical_ms,
                    target_latency_ms=route.target_latency_ms,
                    is_fan_out=True,
                ),
            ).start()
        else:
            ReplicaRequest(
                context=self.context,
                routed=routed,
                service=self.context.state.next_service(route),
                permit=permit,
            ).start()

    def _queue_until_configured(self, request: HttpRequest) -> None:
        loop = self.context.loop
        if loop.time() - self.started_at_seconds > STARTUP_TIMEOUT_SECONDS:
            self._reject(request, 503, "no_configuration")
            return
        if not self._queued:
            loop.call_at(
                self.started_at_seconds + STARTUP_TIMEOUT_SECONDS, self._reject_queued
            )
        self._queued.append(request)

    def _reject_queued(self) -> None:
        queued, self._queued = self._queued, []
        for request in queued:
            if not request.disconnected:
                self._reject(request, 503, "no_configuration")

    def _reject_key(self, request: HttpRequest, key: bytes) -> None:
        """Refuse a request without a key, or whose key belongs to no account."""
        if not key:
            self._reject(request, 401, MISSING_KEY)
            return
        state = self.context.state
        age_seconds = self.context.loop.time() - state.synced_at_seconds
        if age_seconds <= self.configuration_bound_seconds:
            self._reject(request, 401, UNKNOWN_KEY)
        else:
            # The key may have been added since; other instances may know it.
            self._reject(request, 503, KEY_UNCONFIRMED)

    def _reject_overload(self, routed: RoutedRequest) -> None:
        limit = self.admission.limit_for(routed.route)
        in_flight = limit.in_flight if limit is not None else 0
        answer_failure(
            self.context,
            routed,
            status=503,
            outcome=Outcome(attempts=(), cause=f"overload_in_flight_{in_flight}"),
        )

    def _reject(
        self,
        request: HttpRequest,
        status: int,
        reason: str,
        *,
        return_seconds: float | None = None,
    ) -> None:
        headers: Headers = []
        if status == 503:
            if return_seconds is None:
                return_seconds = retry_after_seconds(
                    target_latency_ms=STARTUP_RETRY_MS, rng=self.context.rng
                )
            headers.append((b"Retry-After", b"%.3f" % return_seconds))
        metadata = self.context.header_codec.read_request(request.headers)
        table = self.context.state.table
        self.context.log.request(
            "request_refused",
            good=False,
            request=metadata.attempt_id.decode("latin-1"),
            status=status,
            cause=reason,
            host=request.header(b"host").decode("latin-1"),
            path=request.path.decode("latin-1"),
            version=table.version if table is not None else None,
        )
        self.context.served.record_end(status=None, cause=reason)
        self.context.metrics.count_rejection(reason)
        request.respond(status=status, headers=headers, body=reason.encode() + b"\n")


def time_to_target_ms(
    route: Route,
    *,
    typical_ms: float,
    link_bits_per_second: float,
    round_trip_ms: float = 0.0,
    elapsed_ms: float = 0.0,
) -> float:
    """
    Return the time from the arrival of a request to when its answer has to leave.

    :param typical_ms: usual reply time of the route.
    :param link_bits_per_second: see `GatewaySettings`.
    :param round_trip_ms: network round-trip time to the caller.
    :param elapsed_ms: time that the caller has spent before it sent the request.
    """
    return remaining_target_ms(
        target_latency_ms=route.target_latency_ms
        - round_trip_ms
        - CALLER_OVERHEAD_MS
        - transmission_ms(
            shard_count=len(route.shards),
            top_records=route.top_records,
            link_bits_per_second=link_bits_per_second,
        ),
        elapsed_ms=elapsed_ms,
        typical_ms=typical_ms,
    )
