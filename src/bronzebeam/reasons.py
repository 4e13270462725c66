"""The fixed vocabulary of reasons in answers, logs and metrics."""

from enum import StrEnum


class Reason(StrEnum):
    """Why a request, or a shard of it, was not answered; see docs/callers.md."""

    # What the caller has to change.
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_OPERATION = "unknown_operation"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    BODY_MALFORMED = "body_malformed"
    BAD_REQUEST = "bad_request"
    DEADLINE_MALFORMED = "deadline_malformed"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_TOO_LONG = "deadline_too_long"
    CLASS_UNKNOWN = "class_unknown"
    CALLER_MALFORMED = "caller_malformed"
    REQUEST_ID_MALFORMED = "request_id_malformed"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_AHEAD = "key_ahead"
    KEY_UNKNOWN = "key_unknown"
    CLAIM_IN_PROGRESS = "claim_in_progress"

    # What the tier holds off for a while.
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    OWNER_LEAVING = "owner_leaving"
    OWNER_OVERLOADED = "owner_overloaded"
    OWNER_UNREACHABLE = "owner_unreachable"

    # What went wrong on the way to the backend servers.
    NO_REPLICA = "no_replica"
    NO_CONNECTION = "no_connection"
    VERSION_GONE = "version_gone"
    BELOW_MINIMUM_COVERAGE = "below_minimum_coverage"
    TIMEOUT = "timeout"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ATTEMPT_INTERRUPTED = "attempt_interrupted"
    CONNECTION_LOST = "connection_lost"
    WRONG_REPLY = "wrong_reply"
    TRUNCATED_REPLY = "truncated_reply"
    BACKEND_ERROR = "backend_error"
    INTERNAL_ERROR = "internal_error"
