"""Retry budgets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from flamingohead.core.errors import ErrorKind, Ran, Refusal

MAX_ATTEMPTS = 3
WINDOW_SECONDS = 10.0


class RetryClass(Enum):
    """Name what a retry costs.

    ``MOVE``: the upstream never saw the failed attempt, so that a retry adds no
    load to the upstreams. ``OVERLOAD``: an attempt refused in a queue, which
    costs a host little. ``REPEAT``: the upstream took work for the attempt.
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
    """Set the tokens earned by a first attempt, held at start and at most."""

    tokens_per_request: float
    tokens_at_start: float
    maximum_tokens: float


# Nine levels that each repeat 1.5 % of their calls make 1.015 ** 9 = 1.14 times
# the ordinary load of the last level, even if no level knows of the others.
ALLOWANCES: dict[RetryClass, Allowance] = {
    RetryClass.MOVE: Allowance(0.5, 10.0, 20.0),
    RetryClass.OVERLOAD: Allowance(0.1, 1.0, 10.0),
    RetryClass.REPEAT: Allowance(0.015, 1.0, 10.0),
}


class ExpiringTokens:
    """Hold tokens that expire at the end of the window after their own."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        self._allowance = allowance
        self._ends_at = now + WINDOW_SECONDS
        self._current = allowance.tokens_at_start
        self._previous = 0.0

    def earn(self, now: float) -> None:
        """Add the tokens of one request."""
        self._rotate(now)
        room = self._allowance.maximum_tokens - self._current - self._previous
        self._current += max(0.0, min(room, self._allowance.tokens_per_request))

    def spend(self, now: float) -> bool:
        """Take one token, the oldest first; return whether there was one."""
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

    ``is_retry`` marks a request that a caller further out already retries: it
    earns nothing and is only moved, never repeated.
    """

    def __init__(self, now: float) -> None:
        self._tokens = {
            kind: ExpiringTokens(allowance, now)
            for kind, allowance in ALLOWANCES.items()
        }

    def record_request(self, now: float, *, is_retry: bool = False) -> None:
        """Earn the share of a retry that a first attempt allows."""
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
        """Spend a token if a failed request may be tried again."""
        retry_class = RETRY_CLASSES.get(refusal.kind)
        if retry_class is None or attempts >= MAX_ATTEMPTS:
            return False
        if refusal.ran is not Ran.NO and not idempotent:
            return False
        if is_retry and retry_class is not RetryClass.MOVE:
            return False
        return self._tokens[retry_class].spend(now)


def may_repeat_on_same_upstream(refusal: Refusal) -> bool:
    """Tell whether a retry on the same upstream may succeed."""
    return RETRY_CLASSES.get(refusal.kind) is RetryClass.REPEAT


@dataclass(frozen=True)
class SharedBudgetSettings:
    """Set what all daemons together may repeat of the requests for a service.

    In any ``window`` of seconds they may make ``ratio`` times the requests, and
    ``slack`` more; each daemon uses ``part`` of what would be its own.
    """

    ratio: float
    slack: float
    window: float
    part: float = 0.75


@dataclass
class _ServiceUse:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class SharedRetryBudget:
    """Allow repeats by this daemon so that all daemons stay within one budget.

    The load it answers: upstreams that fail much of their work at every caller at
    once. Nobody is asked: a daemon spends on its own requests and on its part of the
    slack. The part is of the most daemons ever seen, since those that are out of sight
    may still spend theirs.
    """

    def __init__(self, settings: SharedBudgetSettings) -> None:
        self._settings = settings
        self._daemons = 1
        self._services: dict[str, _ServiceUse] = {}

    def set_daemons(self, count: int) -> None:
        """Take the number of daemons that are seen."""
        self._daemons = max(self._daemons, count)

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        use = self._services.setdefault(service, _ServiceUse())
        use.requests.append(now)
        self._forget(use, now)

    def spend(self, service: str, now: float) -> bool:
        """Count a repeat if there is room for it; return whether there was."""
        use = self._services.setdefault(service, _ServiceUse())
        self._forget(use, now)
        settings = self._settings
        allowed = settings.ratio * len(use.requests) + settings.slack / self._daemons
        if len(use.repeats) + 1 > settings.part * allowed:
            return False
        use.repeats.append(now)
        return True

    def _forget(self, use: _ServiceUse, now: float) -> None:
        start = now - self._settings.window
        for times in (use.requests, use.repeats):
            while times and times[0] <= start:
                times.popleft()
