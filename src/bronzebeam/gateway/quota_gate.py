"""Admits requests of limited accounts once they have a token, and refuses others."""

from collections.abc import Callable
from functools import partial
from typing import Final

from attrs import define, field

from bronzebeam.gateway.account_queue import GrantedBy, QuotaRefusal, TokenRequest
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.outcome import RETRY_AFTER, Outcome, answer_failure
from bronzebeam.gateway.quota_asker import QuotaAsker
from bronzebeam.gateway.quota_introduction import KNOWN, UNKNOWN
from bronzebeam.gateway.quota_message import (
    Introduction,
    MalformedQuotaMessage,
    decode_question,
    encode_grant,
)
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.accounts import Account
from bronzebeam.telemetry.decisions import LineRateLimiter
from bronzebeam.transport.caller_request import STOPPING, HttpRequest
from bronzebeam.units import MS_PER_SECOND

QUOTA_EXCEEDED: Final = "quota_exceeded"
TOO_MANY_REQUESTS: Final = 429
# Callers that are refused together don't come back together.
JITTER_RATIO: Final = 0.25
MIN_JITTER_SECONDS: Final = 0.01
# Refusals are normal while an account is over its quota, and may be thousands a second;
# lines about faults must not be lost to them.
REFUSAL_LINES_PER_SECOND: Final = 20.0
REFUSAL_LINES_BURST: Final = 100.0
MAX_NAMED_ACCOUNTS: Final = 20  # in metrics, those with the highest rates
OTHER_ACCOUNTS: Final = "other"


@define(kw_only=True, eq=False, repr=False)
class QuotaGate:
    """
    Lets requests of limited accounts pass with a token.

    :ivar _named: accounts that metrics name, of one version of the configuration.
    :ivar _unlogged_count: refusals since the last log line of one.
    """

    context: GatewayContext
    asker: QuotaAsker
    _named: frozenset[str] = frozenset()
    _named_version: int = 0
    _refusal_lines: LineRateLimiter = field(
        factory=lambda: LineRateLimiter(
            per_second=REFUSAL_LINES_PER_SECOND, burst=REFUSAL_LINES_BURST
        )
    )
    _unlogged_count: int = 0

    def admit(
        self, routed: RoutedRequest, account: Account, start: Callable[[], None]
    ) -> None:
        """Start a request as soon as it has a token, or refuse it."""
        token_request = TokenRequest(
            on_granted=partial(self._on_granted, routed, account, start),
            on_refused=partial(self._on_refused, routed, account),
        )
        routed.request.on_disconnect = partial(
            self._on_disconnected, routed, token_request
        )
        routed.request.on_stop = partial(self._on_stop, routed, token_request)
        self.asker.request(account, token_request)

    def handle_message(self, request: HttpRequest) -> None:
        """Answer a peer that asks for tokens."""
        try:
            question = decode_question(request.body)
        except MalformedQuotaMessage as error:
            self.context.log.event("malformed_quota_message", cause=str(error))
            request.respond(status=400, headers=[], body=b"")
            return
        if isinstance(question, Introduction):
            is_known = self.context.state.quota_members.acknowledge(
                question.instance, makes_way=question.makes_way
            )
            body = KNOWN if is_known else UNKNOWN
        else:
            body = encode_grant(self.asker.answer(question))
        request.respond(status=200, headers=[], body=body)

    def _on_granted(
        self,
        routed: RoutedRequest,
        account: Account,
        start: Callable[[], None],
        expires_at_seconds: float,
        role: GrantedBy,
    ) -> None:
        routed.request.on_disconnect = None
        routed.return_token = partial(
            self.asker.give_back, account.name, expires_at_seconds
        )
        self.context.metrics.quotas.count_granted(
            self._metric_name(account), role.value
        )
        start()

    def _on_refused(
        self, routed: RoutedRequest, account: Account, refusal: QuotaRefusal
    ) -> None:
        context = self.context
        retry_seconds = max(0.0, refusal.retry_after_seconds)
        jitter_seconds = max(MIN_JITTER_SECONDS, JITTER_RATIO * retry_seconds)
        retry_seconds += context.rng.random() * jitter_seconds
        now_seconds = context.loop.time()
        if self._refusal_lines.try_take(now_seconds):
            context.log.event(
                "request_refused",
                request=routed.metadata.attempt_id.decode("latin-1"),
                route=routed.route.name,
                version=routed.version,
                status=TOO_MANY_REQUESTS,
                cause=QUOTA_EXCEEDED,
                account=account.name,
                decided_by=refusal.role.value,
                tokens=refusal.granted_count,
                rate=account.rate_per_second,
                burst=account.burst_count,
                retry_ms=round(retry_seconds * MS_PER_SECOND),
                elapsed_ms=routed.ms_after_arrival(now_seconds),
                left_out=self._unlogged_count,
            )
            self._unlogged_count = 0
        else:
            self._unlogged_count += 1
        context.served.record_end(status=None, cause=QUOTA_EXCEEDED)
        context.metrics.quotas.count_refused(
            self._metric_name(account), refusal.role.value
        )
        context.metrics.count_response(
            routed, status=TOO_MANY_REQUESTS, now=now_seconds
        )
        routed.request.respond(
            status=TOO_MANY_REQUESTS,
            headers=[(RETRY_AFTER, b"%.3f" % retry_seconds)],
            body=QUOTA_EXCEEDED.encode() + b"\n",
        )

    def _on_disconnected(
        self, routed: RoutedRequest, token_request: TokenRequest
    ) -> None:
        token_request.cancelled = True
        self.context.metrics.count_caller_disconnect(routed.route)

    def _on_stop(self, routed: RoutedRequest, token_request: TokenRequest) -> None:
        """Refuse a request that waits, since the process is about to exit."""
        token_request.cancelled = True
        outcome = Outcome(attempts=(), cause=STOPPING)
        answer_failure(self.context, routed, status=503, outcome=outcome)

    def _metric_name(self, account: Account) -> str:
        table = self.context.state.table
        if table is not None and table.version != self._named_version:
            self._named_version = table.version
            limited = [item for item in table.accounts if item.is_limited]
            limited.sort(key=lambda item: (-item.rate_per_second, item.name))
            self._named = frozenset(item.name for item in limited[:MAX_NAMED_ACCOUNTS])
        return account.name if account.name in self._named else OTHER_ACCOUNTS
