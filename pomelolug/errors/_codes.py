"""Stable error codes and the fixed set of request outcomes."""

import enum

__all__ = ["ErrorCode", "Outcome"]


class Outcome(enum.Enum):
    """Whether a request was executed, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


class ErrorCode(enum.Enum):
    """Stable codes used in error bodies, logs and metric labels."""

    # The request is invalid or not permitted.
    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    HEADERS_TOO_LARGE = "headers_too_large"
    KEY_REQUIRED = "key_required"
    KEY_MALFORMED = "key_malformed"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    QUARANTINED = "quarantined"

    # The request is a duplicate of a non-idempotent request.
    IN_PROGRESS = "in_progress"
    ALREADY_ANSWERED = "already_answered"
    OUTCOME_UNKNOWN = "outcome_unknown"

    # The request cannot be served or completed now.
    NO_CONFIGURATION = "no_configuration"
    NO_GROUP = "no_group"
    QUEUE_FULL = "queue_full"
    SERVER_LIMIT = "server_limit"
    SERVER_COLD = "server_cold"
    SERVER_PAUSED = "server_paused"
    ZONES_EVACUATED = "zones_evacuated"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ACCOUNT_LIMIT = "account_limit"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_LOST = "backend_lost"
    STREAM_CUT = "stream_cut"
    CALLER_TOO_SLOW = "caller_too_slow"
    CALLER_LEFT = "caller_left"
    DRAINING = "draining"
    MEMORY_LIMIT = "memory_limit"
    CONNECTION_LIMIT = "connection_limit"

    # The platform or a peer failed, the input is invalid or an invariant is violated.
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    APPEND_UNKNOWN = "append_unknown"
    LOG_REGRESSED = "log_regressed"
    LOG_INCOMPLETE = "log_incomplete"
    CONFIGURATION_INVALID = "configuration_invalid"
    CONFIGURATION_RACED = "configuration_raced"
    SETTINGS_INVALID = "settings_invalid"
    PEER_UNAUTHENTICATED = "peer_unauthenticated"
    PEER_PROTOCOL = "peer_protocol"
    MESSAGE_TOO_LARGE = "message_too_large"
    INVARIANT_VIOLATED = "invariant_violated"
