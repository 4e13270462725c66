"""Constant outcomes of the idempotency filter."""

from typing import Final

from bronzebeam.outcomes import NotRun, OutcomeUnknown

RESEND_RETRY_AFTER_MS: Final = 500

ATTEMPT_INTERRUPTED: Final = OutcomeUnknown(
    reason="attempt_interrupted",
    detail="The attempt was interrupted after it may have been sent.",
)
CLAIM_IN_PROGRESS: Final = OutcomeUnknown(
    reason="claim_in_progress",
    retry_after_ms=RESEND_RETRY_AFTER_MS,
    detail="Another attempt with the key is in progress.",
)
KEY_EXPIRED: Final = OutcomeUnknown(
    reason="key_expired",
    detail="Not run now; the outcome of any earlier attempt is no longer stored.",
)
KEY_REUSED: Final = NotRun(
    reason="key_reused",
    detail="The key was already used for a request with a different payload.",
)
KEY_UNKNOWN: Final = OutcomeUnknown(
    reason="key_unknown",
    detail="The minting entry no longer knows the key; the request may have run.",
)
DEADLINE_PASSED_AFTER_CLAIM: Final = NotRun(
    reason="deadline_exceeded",
    retry_after_ms=0,
    detail="The deadline passed before the request was sent.",
)
DEADLINE_PASSED_BEFORE_CLAIM: Final = OutcomeUnknown(
    reason="deadline_exceeded",
    retry_after_ms=0,
    detail="This attempt was not sent; an earlier one may have run.",
)
OWNER_UNREACHABLE: Final = OutcomeUnknown(
    reason="owner_unreachable",
    retry_after_ms=RESEND_RETRY_AFTER_MS,
    detail="The entry that minted the key did not answer; only it knows the outcome.",
)
