"""Retry budgets."""

from __future__ import annotations

from dataclasses import dataclass

from flamingohead.core.errors import Ran, Refusal


@dataclass(frozen=True)
class RetrySettings:
    """Set the tokens earned by a request, the most held, and the attempts."""

    tokens_per_request: float = 0.1
    maximum_tokens: float = 10.0
    maximum_attempts: int = 3


class RetryBudget:
    """Allow retries as a fraction of the requests made."""

    def __init__(self, settings: RetrySettings = RetrySettings()) -> None:
        self._settings = settings
        self._tokens = settings.maximum_tokens

    def record_request(self) -> None:
        """Earn the share of a retry that a first attempt allows."""
        earned = self._tokens + self._settings.tokens_per_request
        self._tokens = min(earned, self._settings.maximum_tokens)

    def allow_retry(self, refusal: Refusal, *, attempts: int, idempotent: bool) -> bool:
        """Spend a token if a failed request may be tried again."""
        if attempts >= self._settings.maximum_attempts:
            return False
        if refusal.answer.retry_after_ms is None:
            return False
        if refusal.ran is not Ran.NO and not idempotent:
            return False
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
