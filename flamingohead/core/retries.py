"""Retry budgets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal

MAX_ATTEMPTS = 3
WINDOW_SECONDS = 10.0


class RetryClass(Enum):
    """Classify retries by the load that they cause.

    ``MOVE``: the failed attempt never reached the upstream, so a retry adds no load to
    the upstreams. ``OVERLOAD``: the attempt was refused by a queue, which costs the
    host little. ``REPEAT``: the upstream worked on the attempt.
    """

    MOVE = "move"
    OVERLOAD = "overload"
    REPEAT = "repeat"


RETRY_CLASSES: dict[ErrorKind, RetryClass] = {
    ErrorKind.HOST_UNREACHABLE: RetryClass.MOVE,
    ErrorKind.UPSTREAM_UNREACHABLE: RetryClass.MOVE,
    ErrorKind.DRAINING: RetryClass.MOVE,
    ErrorKind.QUEUE_FULL: RetryClass.OVERLOAD,
    ErrorKind.DEADLINE_UNREACHABLE: RetryClass.OVERLOAD,
    ErrorKind.UPSTREAM_SHED: RetryClass.REPEAT,
    ErrorKind.UPSTREAM_CUT: RetryClass.REPEAT,
    ErrorKind.UPSTREAM_TIMEOUT: RetryClass.REPEAT,
    ErrorKind.HOST_CUT: RetryClass.REPEAT,
}


@dataclass(frozen=True)
class Allowance:
    """Set the tokens per first attempt, the initial tokens and their maximum."""

    tokens_per_request: float
    tokens_at_start: float
    max_tokens: float


# If each of nine levels repeats 1.5 % of its calls, the load of the last level grows to
# 1.015 ** 9 = 1.14 times that without retries, even if the levels do not coordinate.
ALLOWANCES: dict[RetryClass, Allowance] = {
    RetryClass.MOVE: Allowance(0.5, 10.0, 20.0),
    RetryClass.OVERLOAD: Allowance(0.1, 1.0, 10.0),
    RetryClass.REPEAT: Allowance(0.015, 1.0, 10.0),
}


class ExpiringTokens:
    """Hold tokens that expire one window after the window they were earned in."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        self._allowance = allowance
        self._ends_at = now + WINDOW_SECONDS
        self._current = allowance.tokens_at_start
        self._previous = 0.0

    def earn(self, now: float) -> None:
        """Add the tokens of one request."""
        self._rotate(now)
        remaining = self._allowance.max_tokens - self._current - self._previous
        self._current += max(0.0, min(remaining, self._allowance.tokens_per_request))

    def spend(self, now: float) -> bool:
        """Spend one token, the oldest first; return whether there was one."""
        self._rotate(now)
        if self._current + self._previous < 1:
            return False
        from_previous = min(1.0, self._previous)
        self._previous -= from_previous
        self._current -= 1 - from_previous
        return True

    def _rotate(self, now: float) -> None:
        if now < self._ends_at:
            return
        is_next_window = now < self._ends_at + WINDOW_SECONDS
        self._previous = self._current if is_next_window else 0.0
        self._current = 0.0
        self._ends_at = now + WINDOW_SECONDS


class RetryBudget:
    """Allow retries as a fraction of the requests made.

    ``is_retry`` marks a request that is itself a retry by a caller: it earns no tokens,
    and only retries of the class ``MOVE`` are allowed for it.
    """

    def __init__(self, now: float) -> None:
        self._tokens = {
            kind: ExpiringTokens(allowance, now)
            for kind, allowance in ALLOWANCES.items()
        }

    def record_request(self, now: float, *, is_retry: bool = False) -> None:
        """Earn the tokens of a first attempt."""
        if is_retry:
            return
        for tokens in self._tokens.values():
            tokens.earn(now)

    def allow_retry(
        self,
        refusal: Refusal,
        now: float,
        *,
        attempts: int,
        idempotent: bool,
        is_retry: bool = False,
    ) -> bool:
        """Spend a token if a failed request may be retried; return whether it may."""
        retry_class = RETRY_CLASSES.get(refusal.kind)
        if retry_class is None or attempts >= MAX_ATTEMPTS:
            return False
        if refusal.ran is not ExecutionStatus.NO and not idempotent:
            return False
        if is_retry and retry_class is not RetryClass.MOVE:
            return False
        return self._tokens[retry_class].spend(now)


def may_repeat_on_same_upstream(refusal: Refusal) -> bool:
    """Return whether a retry on the same upstream may succeed."""
    return RETRY_CLASSES.get(refusal.kind) is RetryClass.REPEAT


@dataclass(frozen=True)
class SharedBudgetSettings:
    """Set the limit on repeated requests for a service by all daemons together.

    In any ``window`` of seconds they may repeat ``ratio`` times the number of requests,
    plus ``slack``. Each daemon uses only the fraction ``safety_factor`` of its share.
    """

    ratio: float
    slack: float
    window: float
    safety_factor: float = 0.75


@dataclass
class _ServiceUsage:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """Limit repeats by this daemon so that all daemons stay within a common budget.

    The budget protects against upstreams that fail many requests of all callers at
    once. The daemons do not coordinate: each spends in proportion to its own requests,
    plus an equal share of the slack. The share is based on the largest number of
    daemons ever observed, since unreachable daemons may still spend their shares.
    """

    def __init__(self, settings: SharedBudgetSettings) -> None:
        self._settings = settings
        self._max_daemons = 1
        self._services: dict[str, _ServiceUsage] = {}

    def observe_daemon_count(self, count: int) -> None:
        """Update the number of daemons that share the budget; it never decreases."""
        self._max_daemons = max(self._max_daemons, count)

    def record_request(self, service: str, now: float) -> None:
        """Record a request of a caller."""
        usage = self._services.setdefault(service, _ServiceUsage())
        usage.requests.append(now)
        self._expire(usage, now)

    def spend(self, service: str, now: float) -> bool:
        """Record a repeat if the budget allows it; return whether it does."""
        usage = self._services.setdefault(service, _ServiceUsage())
        self._expire(usage, now)
        settings = self._settings
        allowed = (
            settings.ratio * len(usage.requests) + settings.slack / self._max_daemons
        )
        if len(usage.repeats) + 1 > settings.safety_factor * allowed:
            return False
        usage.repeats.append(now)
        return True

    def _expire(self, usage: _ServiceUsage, now: float) -> None:
        start = now - self._settings.window
        for timestamps in (usage.requests, usage.repeats):
            while timestamps and timestamps[0] <= start:
                timestamps.popleft()
