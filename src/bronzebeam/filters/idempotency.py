"""Filter that runs non-idempotent requests at most once for each idempotency key."""

import secrets
from collections.abc import Callable
from typing import Any, Final

import anyio

from bronzebeam.clock import Clock
from bronzebeam.controllers.claim_changes import ClaimUndecided, LogEvent, ignore_event
from bronzebeam.controllers.claims import ClaimsController
from bronzebeam.controllers.owned_keys import (
    KeySpent,
    OwnedKeys,
    OwnerRoute,
    UnknownKey,
    VoidKey,
)
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.filters.idempotency_outcomes import (
    ATTEMPT_INTERRUPTED,
    CLAIM_IN_PROGRESS,
    DEADLINE_PASSED_AFTER_CLAIM,
    DEADLINE_PASSED_BEFORE_CLAIM,
    KEY_EXPIRED,
    KEY_REUSED,
    KEY_UNKNOWN,
    OWNER_UNREACHABLE,
)
from bronzebeam.outcomes import NotRun, Outcome, OutcomeUnknown, Refused
from bronzebeam.routing.claims import (
    BucketFull,
    ClaimGranted,
    InProgress,
    KeyReused,
    Recorded,
)
from bronzebeam.routing.idempotency_keys import (
    CallerKey,
    KeyValidity,
    OwnedKey,
    check_key_validity,
    describe_key,
    parse_key,
)
from bronzebeam.routing.recorded_outcomes import decode_outcome, encode_outcome

NONCE_BYTES: Final = 16


def new_nonce() -> str:
    """Return a random identifier for one attempt."""
    return secrets.token_hex(NONCE_BYTES)


def assume_resend(request: CallerRequest) -> bool:
    """Treat every request as a possible resend."""
    return False


class IdempotencyFilter:
    """
    Runs a non-idempotent request only while it holds the claim on its key.

    :param owner_route: forwards requests to the entries that minted their keys; None
        disables forwarding.
    :param is_first_attempt: whether the caller asserts that it never sent the key
        before. It only affects which outcome is reported, never what is run.
    :param log: called with the event's name and fields.
    """

    def __init__(
        self,
        *,
        claims: ClaimsController,
        owned_keys: OwnedKeys,
        clock: Clock,
        owner_route: OwnerRoute | None = None,
        is_first_attempt: Callable[[CallerRequest], bool] = assume_resend,
        make_nonce: Callable[[], str] = new_nonce,
        log: LogEvent = ignore_event,
    ) -> None:
        self._claims = claims
        self._owned_keys = owned_keys
        self._clock = clock
        self._owner_route = owner_route
        self._is_first_attempt = is_first_attempt
        self._make_nonce = make_nonce
        self._log = log

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`; call `proceed` at most once, and only with the claim."""
        if request.idempotent:
            return await proceed(request)
        outcome = await self._dispatch(request, proceed, forward=True)
        self._log_outcome(request, outcome)
        return outcome

    async def apply_forwarded(
        self, request: CallerRequest, proceed: Handler
    ) -> Outcome:
        """Answer a request that another entry forwarded; never forward it again."""
        if request.idempotent:
            return await proceed(request)
        outcome = await self._dispatch(request, proceed, forward=False)
        self._log_outcome(request, outcome)
        return outcome

    async def _dispatch(
        self, request: CallerRequest, proceed: Handler, *, forward: bool
    ) -> Outcome:
        if request.idempotency_key is None:
            return self._not_run_outcome(
                "key_missing", detail="An Idempotency-Key is required."
            )
        key = parse_key(request.idempotency_key)
        if key is None:
            return self._not_run_outcome(
                "key_malformed",
                detail="The key must be a UUIDv7 or one we minted.",
            )
        if isinstance(key, CallerKey):
            return await self._apply_caller_key(request, key, proceed)
        if key.incarnation == self._owned_keys.incarnation:
            return await self._apply_owned_key(request, key, proceed)
        if not forward or self._owner_route is None:
            return OWNER_UNREACHABLE
        outcome = await self._owner_route.forward(
            incarnation=key.incarnation, request=request
        )
        return OWNER_UNREACHABLE if outcome is None else outcome

    async def _apply_caller_key(
        self, request: CallerRequest, key: CallerKey, proceed: Handler
    ) -> Outcome:
        refusal = self._reject_invalid_key(key)
        if refusal is not None:
            return refusal
        nonce = self._make_nonce()
        decision = await self._claims.claim(
            key=key,
            fingerprint=request.fingerprint,
            nonce=nonce,
            deadline_at_seconds=request.deadline_at_seconds,
        )
        match decision:
            case ClaimGranted():
                return await self._run_claimed(request, key, nonce, proceed)
            case Recorded(outcome=recorded):
                return decode_outcome(recorded)
            case KeyReused():
                return KEY_REUSED
            case BucketFull():
                return self._not_run_outcome(
                    "claims_full",
                    detail="Too many keys of one minute; use a new key.",
                )
            case ClaimUndecided():
                return self._undecided_outcome(request, key, decision)
            case _:
                return CLAIM_IN_PROGRESS

    def _reject_invalid_key(self, key: CallerKey) -> Outcome | None:
        now_seconds = self._clock.wall_seconds()
        match check_key_validity(key, now_seconds=now_seconds):
            case KeyValidity.VALID:
                return None
            case KeyValidity.EXPIRED:
                return KEY_EXPIRED
            case KeyValidity.AHEAD:
                return OutcomeUnknown(
                    reason="key_ahead",
                    retry_after_ms=int((key.created_at_seconds - now_seconds) * 1000),
                    detail="The key's time is ahead of this entry's clock.",
                )
            case KeyValidity.IMPOSSIBLE:
                return self._not_run_outcome(
                    "key_ahead",
                    detail="The key's time is ahead; check your clock.",
                )

    async def _run_claimed(
        self, request: CallerRequest, key: CallerKey, nonce: str, proceed: Handler
    ) -> Outcome:
        # The process may have been paused since the key was checked, and the bucket
        # with an earlier claim deleted. In that case the key is expired by now.
        refusal = self._reject_invalid_key(key)
        if refusal is None and self._is_past_deadline(request):
            refusal = DEADLINE_PASSED_AFTER_CLAIM
        if refusal is not None:
            self._claims.release(key=key, fingerprint=request.fingerprint, nonce=nonce)
            return refusal
        try:
            outcome = await proceed(request)
        except BaseException:
            self._record(request, key, nonce, ATTEMPT_INTERRUPTED)
            raise
        if not _is_known_not_run(outcome):
            self._record(request, key, nonce, outcome)
            return outcome
        released = self._claims.release(
            key=key, fingerprint=request.fingerprint, nonce=nonce
        )
        with anyio.CancelScope(deadline=request.deadline_at_seconds):
            await released.settled.wait()
        return outcome

    def _record(
        self, request: CallerRequest, key: CallerKey, nonce: str, outcome: Outcome
    ) -> None:
        self._claims.record(
            key=key,
            fingerprint=request.fingerprint,
            nonce=nonce,
            outcome=encode_outcome(outcome),
        )

    async def _apply_owned_key(
        self, request: CallerRequest, key: OwnedKey, proceed: Handler
    ) -> Outcome:
        if self._is_past_deadline(request):
            return DEADLINE_PASSED_BEFORE_CLAIM
        match self._owned_keys.spend(key, fingerprint=request.fingerprint):
            case KeySpent():
                return await self._run_owned(request, key, proceed)
            case Recorded(outcome=recorded):
                return decode_outcome(recorded)
            case KeyReused():
                return KEY_REUSED
            case VoidKey(reason=reason):
                return self._not_run_outcome(reason, detail="The key was not run.")
            case UnknownKey():
                return KEY_UNKNOWN
            case InProgress():
                return CLAIM_IN_PROGRESS

    async def _run_owned(
        self, request: CallerRequest, key: OwnedKey, proceed: Handler
    ) -> Outcome:
        try:
            outcome = await proceed(request)
        except BaseException:
            self._owned_keys.record_outcome(key, ATTEMPT_INTERRUPTED)
            raise
        if _is_known_not_run(outcome):
            self._owned_keys.restore(key)
        else:
            self._owned_keys.record_outcome(key, outcome)
        return outcome

    def _undecided_outcome(
        self, request: CallerRequest, key: CallerKey, decision: ClaimUndecided
    ) -> Outcome:
        # After a pause the store may show no claim because the bucket was deleted.
        refusal = self._reject_invalid_key(key)
        if refusal is not None:
            return refusal
        retry_after_ms = self._claims.retry_after_ms
        if decision.seen_unclaimed or self._is_first_attempt(request):
            return self._not_run_outcome(decision.reason, retry_after_ms=retry_after_ms)
        return OutcomeUnknown(
            reason=decision.reason,
            retry_after_ms=retry_after_ms,
            detail="This attempt was not sent; an earlier one under the key may have.",
        )

    def _not_run_outcome(
        self, reason: str, *, retry_after_ms: int | None = None, detail: str = ""
    ) -> NotRun:
        offered_key = self._owned_keys.mint()
        extra: dict[str, Any] = {}
        if offered_key is not None:
            extra["offered_key"] = offered_key
        return NotRun(
            reason=reason, retry_after_ms=retry_after_ms, detail=detail, extra=extra
        )

    def _is_past_deadline(self, request: CallerRequest) -> bool:
        return self._clock.monotonic_seconds() >= request.deadline_at_seconds

    def _log_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun | OutcomeUnknown | Refused):
            self._log(
                "booking_" + outcome.tag,
                request_id=request.request_id,
                key=describe_key(request.idempotency_key),
                reason=outcome.reason,
            )


def _is_known_not_run(outcome: Outcome) -> bool:
    if isinstance(outcome, Refused):
        return not outcome.ran
    return isinstance(outcome, NotRun)
