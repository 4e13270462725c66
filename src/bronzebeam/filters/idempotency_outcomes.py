"""Constant outcomes of the idempotency filter."""

from typing import Final

from bronzebeam.outcomes import NotRun, OutcomeUnknown

RESEND_RETRY_AFTER_MS: Final = 500

ATTEMPT_INTERRUPTED: Final = OutcomeUnknown(
    reason="attempt_interrupted",
    detail="The attempt was cut off after it may have been sent.",
)
CLAIM_IN_PROGRESS: Final = OutcomeUnknown(
    reason="claim_in_progress",
    retry_after_ms=RESEND_RETRY_AFTER_MS,
    detail="Another attempt under the key holds the claim.",
)
KEY_EXPIRED: Final = OutcomeUnknown(
    reason="key_expired",
    detail="Not run now; whether an earlier attempt ran is no longer recorded.",
)
KEY_REUSED: Final = NotRun(
    reason="key_reused",
    detail="The key belongs to a request with another payload.",
)
KEY_UNKNOWN: Final = OutcomeUnknown(
    reason="key_unknown",
    detail="The owner no longer knows the key; it may have run.",
)
DEADLINE_PASSED_AFTER_CLAIM: Final = NotRun(
    reason="deadline_exceeded",
    retry_after_ms=0,
    detail="The deadline passed before the request was sent.",
)
DEADLINE_PASSED_BEFORE_CLAIM: Final = OutcomeUnknown(
    reason="deadline_exceeded",
    retry_after_ms=0,
    detail="This attempt was not sent; an earlier one under the key may have.",
)
OWNER_UNREACHABLE: Final = OutcomeUnknown(
    reason="owner_unreachable",
    retry_after_ms=RESEND_RETRY_AFTER_MS,
    detail="Only the entry that minted the key can tell; it did not answer.",
)
