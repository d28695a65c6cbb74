"""Simulation of nested calls in which every level retries failed calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from flamingohead.core.errors import Refusal

if TYPE_CHECKING:
    from random import Random

    from flamingohead.core.errors import ErrorKind


class Budget(Protocol):
    """Decide on retries, with the interface of ``RetryBudget``."""

    def record_request(self, now: float, *, is_retry: bool = False) -> None: ...

    def allow_retry(
        self,
        refusal: Refusal,
        now: float,
        *,
        attempts: int,
        idempotent: bool,
        is_retry: bool = False,
    ) -> bool: ...


class NestedCalls:
    """Count the calls that reach the last level.

    A call of the last level fails with probability ``failure_chance``, from 0 to 1.
    ``marks`` states whether applications propagate the mark of a retried request to
    the calls that they make for it.
    """

    def __init__(
        self,
        budgets: list[Budget],
        *,
        failure_chance: float,
        kind: ErrorKind,
        propagates_retry_mark: bool,
        random: Random,
    ) -> None:
        self._budgets = budgets
        self._failure_chance = failure_chance
        self._refusal = Refusal(kind)
        self._marks = propagates_retry_mark
        self._random = random
        self.leaf_calls = 0

    def run(self, *, seconds: float, rate: float) -> float:
        """Make ``rate`` calls a second; return the mean leaf calls for each."""
        count = int(seconds * rate)
        for number in range(count):
            self._call(0, number / rate, is_retry=False)
        return self.leaf_calls / count

    def _call(self, level: int, now: float, *, is_retry: bool) -> bool:
        """Return whether the call failed."""
        if level == len(self._budgets):
            self.leaf_calls += 1
            return self._random.random() < self._failure_chance
        budget = self._budgets[level]
        budget.record_request(now, is_retry=is_retry)
        attempts = 1
        while self._call(
            level + 1, now, is_retry=self._marks and (is_retry or attempts > 1)
        ):
            if not budget.allow_retry(
                self._refusal,
                now,
                attempts=attempts,
                idempotent=True,
                is_retry=is_retry,
            ):
                return True
            attempts += 1
        return False
