"""Error kinds and the response for each of them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

BAD_GATEWAY = 502
# Statuses by which a caller learns that a request was not executed and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class ExecutionStatus(Enum):
    """State whether a refused request was executed by an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"

    def merge(self, other: ExecutionStatus) -> ExecutionStatus:
        """Return the state of a request whose attempts have these two states."""
        for status in (ExecutionStatus.YES, ExecutionStatus.UNKNOWN):
            if status in (self, other):
                return status
        return ExecutionStatus.NO


class ErrorKind(Enum):
    """Enumerate the reasons for which a request or an operation is refused."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    NO_ROUTE = "no_route"
    API_KEY_UNKNOWN = "api_key_unknown"
    CALLER_UNKNOWN = "caller_unknown"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    ORGANISATION_OVER_LIMIT = "organisation_over_limit"
    NO_CONFIGURATION = "no_configuration"
    SERVICE_OBSERVED = "service_observed"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_CUT = "upstream_cut"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_MALFORMED = "upstream_malformed"
    UPSTREAM_FAILED = "upstream_failed"
    HOST_UNREACHABLE = "host_unreachable"
    HOST_CUT = "host_cut"
    DRAINING = "draining"
    KEY_REQUIRED = "key_required"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_SUPERSEDED = "key_superseded"
    KEY_ANSWER_NOT_KEPT = "key_answer_not_kept"
    KEY_EXPIRED = "key_expired"
    KEY_HOME_UNREACHABLE = "key_home_unreachable"
    KEY_SCOPE_INVALID = "key_scope_invalid"
    KEY_LIMIT_REACHED = "key_limit_reached"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    VERSION_CONFLICT = "version_conflict"
    CHANGE_OUTCOME_UNKNOWN = "change_outcome_unknown"
    INVALID_CONFIGURATION = "invalid_configuration"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorResponse:
    """Describe the response for an error kind.

    ``retry_after_ms`` is the default time after which a retry may succeed; ``None``
    means that the same request will be refused again.
    """

    status: int
    ran: ExecutionStatus
    retry_after_ms: int | None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, ExecutionStatus.NO, None),
    ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(413, ExecutionStatus.NO, None),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, ExecutionStatus.NO, None),
    ErrorKind.NOT_FOUND: ErrorResponse(404, ExecutionStatus.NO, None),
    ErrorKind.NO_ROUTE: ErrorResponse(404, ExecutionStatus.NO, None),
    ErrorKind.API_KEY_UNKNOWN: ErrorResponse(401, ExecutionStatus.NO, None),
    ErrorKind.CALLER_UNKNOWN: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.CONFIGURATION_UNCONFIRMED: ErrorResponse(503, ExecutionStatus.NO, 1000),
    ErrorKind.ORGANISATION_OVER_LIMIT: ErrorResponse(429, ExecutionStatus.NO, 1000),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, ExecutionStatus.NO, 1000),
    ErrorKind.SERVICE_OBSERVED: ErrorResponse(503, ExecutionStatus.NO, None),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, ExecutionStatus.NO, 1000),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, ExecutionStatus.NO, 100),
    ErrorKind.UPSTREAM_SHED: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.UPSTREAM_CUT: ErrorResponse(502, ExecutionStatus.UNKNOWN, 500),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(504, ExecutionStatus.UNKNOWN, 500),
    ErrorKind.UPSTREAM_MALFORMED: ErrorResponse(502, ExecutionStatus.UNKNOWN, 500),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, ExecutionStatus.YES, 500),
    ErrorKind.HOST_UNREACHABLE: ErrorResponse(503, ExecutionStatus.NO, 500),
    ErrorKind.HOST_CUT: ErrorResponse(502, ExecutionStatus.UNKNOWN, 500),
    ErrorKind.DRAINING: ErrorResponse(503, ExecutionStatus.NO, 100),
    ErrorKind.KEY_REQUIRED: ErrorResponse(428, ExecutionStatus.NO, None),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(409, ExecutionStatus.UNKNOWN, 500),
    ErrorKind.KEY_OUTCOME_UNKNOWN: ErrorResponse(409, ExecutionStatus.UNKNOWN, None),
    ErrorKind.KEY_REUSED: ErrorResponse(422, ExecutionStatus.UNKNOWN, None),
    ErrorKind.KEY_SUPERSEDED: ErrorResponse(409, ExecutionStatus.NO, None),
    ErrorKind.KEY_ANSWER_NOT_KEPT: ErrorResponse(409, ExecutionStatus.YES, None),
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, ExecutionStatus.UNKNOWN, None),
    ErrorKind.KEY_HOME_UNREACHABLE: ErrorResponse(503, ExecutionStatus.UNKNOWN, None),
    ErrorKind.KEY_SCOPE_INVALID: ErrorResponse(400, ExecutionStatus.NO, None),
    ErrorKind.KEY_LIMIT_REACHED: ErrorResponse(503, ExecutionStatus.NO, 1000),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, ExecutionStatus.UNKNOWN, 2000),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, ExecutionStatus.NO, 100),
    ErrorKind.CHANGE_OUTCOME_UNKNOWN: ErrorResponse(503, ExecutionStatus.UNKNOWN, 1000),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(422, ExecutionStatus.NO, None),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, ExecutionStatus.UNKNOWN, 2000),
    ErrorKind.INTERNAL: ErrorResponse(500, ExecutionStatus.UNKNOWN, None),
}


@dataclass(frozen=True)
class Refusal:
    """Describe why an operation was refused.

    Refusals are returned as values, not raised. ``retry_at`` is in seconds on the
    monotonic clock of the process that created the refusal. ``ran_override`` replaces
    the default of the error kind if more, or less, is known about this attempt.
    ``key_checked`` states that no attempt with the request's idempotency key, up to and
    including this one, was executed or can still be executed.
    """

    kind: ErrorKind
    detail: str = ""
    retry_at: float | None = None
    ran_override: ExecutionStatus | None = None
    key_checked: bool = False

    @property
    def answer(self) -> ErrorResponse:
        return ERROR_RESPONSES[self.kind]

    @property
    def ran(self) -> ExecutionStatus:
        return self.ran_override or self.answer.ran

    @property
    def caller_status(self) -> int:
        """Return the status for a caller, who must not take "unknown" for "not run"."""
        status = self.answer.status
        if status in NOT_RUN_STATUSES and self.ran is not ExecutionStatus.NO:
            return BAD_GATEWAY
        return status

    def merge_ran(self, earlier: ExecutionStatus) -> Refusal:
        """Return the refusal of a request with this one and earlier attempts."""
        ran = self.ran.merge(earlier)
        if ran is self.ran:
            return self
        return replace(self, ran_override=ran, key_checked=False)

    def compute_retry_after_ms(self, now: float) -> int | None:
        """Return the milliseconds after which a retry may succeed, or ``None``."""
        if self.retry_at is None:
            return self.answer.retry_after_ms
        return max(0, round((self.retry_at - now) * 1000))
