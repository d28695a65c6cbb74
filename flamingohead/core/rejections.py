"""Configuration versions that a daemon rejected, and their retry times."""

from __future__ import annotations

from dataclasses import dataclass

from flamingohead.core.errors import Refusal

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
MAX_REJECTIONS = 16


@dataclass(frozen=True)
class Rejection:
    """Describe a rejected version; the detail of the refusal names the resource."""

    version: int
    refusal: Refusal
    times: int
    retry_at: float


class RejectionLog:
    """Record rejected versions until a newer one is applied."""

    def __init__(self) -> None:
        self._rejections: dict[int, Rejection] = {}

    def add(self, version: int, refusal: Refusal, now: float) -> bool:
        """Record a rejection; return whether it is the first one for this reason."""
        previous = self._rejections.get(version)
        times = 1 if previous is None else previous.times + 1
        backoff = min(
            INITIAL_BACKOFF_SECONDS * 2 ** min(times - 1, 10), MAX_BACKOFF_SECONDS
        )
        rejection = Rejection(version, refusal, times, now + backoff)
        self._rejections[version] = rejection
        while len(self._rejections) > MAX_REJECTIONS:
            del self._rejections[min(self._rejections)]
        return previous is None or previous.refusal.detail != refusal.detail

    def is_postponed(self, version: int, now: float) -> bool:
        """Return whether a version must wait after a rejection of it or a later one."""
        return any(
            rejected >= version and now < rejection.retry_at
            for rejected, rejection in self._rejections.items()
        )

    def remove_up_to(self, version: int) -> None:
        """Remove the rejections of versions up to and including ``version``."""
        for rejected in [v for v in self._rejections if v <= version]:
            del self._rejections[rejected]

    def list_all(self) -> list[Rejection]:
        return [self._rejections[version] for version in sorted(self._rejections)]
