"""The closed list of error kinds and the table from kind to answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """State whether the refused request ran on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Name each reason for which a request or an operation is refused."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    NO_ROUTE = "no_route"
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
class ErrorAnswer:
    """Describe the answer given for an error kind.

    ``retry_after_ms`` is the default time after which a retry makes sense;
    ``None`` means that the same request will be refused again.
    """

    status: int
    ran: Ran
    retry_after_ms: int | None


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.MALFORMED_REQUEST: ErrorAnswer(400, Ran.NO, None),
    ErrorKind.REQUEST_TOO_LARGE: ErrorAnswer(413, Ran.NO, None),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, Ran.NO, None),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, Ran.NO, None),
    ErrorKind.NO_ROUTE: ErrorAnswer(404, Ran.NO, None),
    ErrorKind.NO_CONFIGURATION: ErrorAnswer(503, Ran.NO, 1000),
    ErrorKind.SERVICE_OBSERVED: ErrorAnswer(503, Ran.NO, None),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(503, Ran.NO, 1000),
    ErrorKind.QUEUE_FULL: ErrorAnswer(503, Ran.NO, 500),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(503, Ran.NO, 500),
    ErrorKind.DEADLINE_PASSED: ErrorAnswer(504, Ran.NO, 100),
    ErrorKind.UPSTREAM_SHED: ErrorAnswer(503, Ran.NO, 500),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorAnswer(503, Ran.NO, 500),
    ErrorKind.UPSTREAM_CUT: ErrorAnswer(502, Ran.UNKNOWN, 500),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorAnswer(504, Ran.UNKNOWN, 500),
    ErrorKind.UPSTREAM_MALFORMED: ErrorAnswer(502, Ran.UNKNOWN, 500),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(502, Ran.YES, 500),
    ErrorKind.HOST_UNREACHABLE: ErrorAnswer(503, Ran.NO, 500),
    ErrorKind.HOST_CUT: ErrorAnswer(502, Ran.UNKNOWN, 500),
    ErrorKind.DRAINING: ErrorAnswer(503, Ran.NO, 100),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(428, Ran.NO, None),
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(409, Ran.UNKNOWN, 500),
    ErrorKind.KEY_OUTCOME_UNKNOWN: ErrorAnswer(409, Ran.UNKNOWN, None),
    ErrorKind.KEY_REUSED: ErrorAnswer(422, Ran.UNKNOWN, None),
    ErrorKind.KEY_SUPERSEDED: ErrorAnswer(409, Ran.NO, None),
    ErrorKind.KEY_ANSWER_NOT_KEPT: ErrorAnswer(409, Ran.YES, None),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(410, Ran.UNKNOWN, None),
    ErrorKind.KEY_HOME_UNREACHABLE: ErrorAnswer(503, Ran.UNKNOWN, None),
    ErrorKind.KEY_SCOPE_INVALID: ErrorAnswer(400, Ran.NO, None),
    ErrorKind.KEY_LIMIT_REACHED: ErrorAnswer(503, Ran.NO, 1000),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAnswer(503, Ran.UNKNOWN, 2000),
    ErrorKind.VERSION_CONFLICT: ErrorAnswer(409, Ran.NO, 100),
    ErrorKind.CHANGE_OUTCOME_UNKNOWN: ErrorAnswer(503, Ran.UNKNOWN, 1000),
    ErrorKind.INVALID_CONFIGURATION: ErrorAnswer(422, Ran.NO, None),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(503, Ran.UNKNOWN, 2000),
    ErrorKind.INTERNAL: ErrorAnswer(500, Ran.UNKNOWN, None),
}


@dataclass(frozen=True)
class Refusal:
    """Carry the reason for which an operation was refused.

    Refusals are returned as values, not raised. ``retry_at`` is a deadline in
    seconds on the clock of the process that made the refusal. ``ran_override``
    replaces the table's statement where more, or less, is known of this attempt.
    ``key_checked`` states that no attempt under the request's idempotency key, up
    to and including this one, has run or can still run.
    """

    kind: ErrorKind
    detail: str = ""
    retry_at: float | None = None
    ran_override: Ran | None = None
    key_checked: bool = False

    @property
    def answer(self) -> ErrorAnswer:
        return ERROR_ANSWERS[self.kind]

    @property
    def ran(self) -> Ran:
        return self.ran_override or self.answer.ran

    def compute_retry_after_ms(self, now: float) -> int | None:
        """Return the milliseconds until a retry makes sense, or ``None``."""
        if self.retry_at is None:
            return self.answer.retry_after_ms
        return max(0, round((self.retry_at - now) * 1000))
