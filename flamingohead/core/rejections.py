"""Versions that a daemon could not take, and when to try them again."""

from __future__ import annotations

from dataclasses import dataclass

from flamingohead.core.errors import Refusal

FIRST_RETRY_WAIT = 1.0
MAX_RETRY_WAIT = 60.0
MAX_REJECTIONS = 16


@dataclass(frozen=True)
class Rejection:
    """Name a version that was not taken; the detail names the resource."""

    version: int
    refusal: Refusal
    times: int
    retry_at: float


class RejectionLog:
    """Remember rejected versions until a newer one is held."""

    def __init__(self) -> None:
        self._rejections: dict[int, Rejection] = {}

    def add(self, version: int, refusal: Refusal, now: float) -> bool:
        """Note a rejection; return whether it is the first for this reason."""
        known = self._rejections.get(version)
        times = 1 if known is None else known.times + 1
        wait = min(FIRST_RETRY_WAIT * 2 ** min(times - 1, 10), MAX_RETRY_WAIT)
        rejection = Rejection(version, refusal, times, now + wait)
        self._rejections[version] = rejection
        while len(self._rejections) > MAX_REJECTIONS:
            del self._rejections[min(self._rejections)]
        return known is None or known.refusal.detail != refusal.detail

    def postpones(self, version: int, now: float) -> bool:
        """Tell whether a version waits, as it or a later one was rejected lately."""
        return any(
            rejected >= version and now < rejection.retry_at
            for rejected, rejection in self._rejections.items()
        )

    def clear_up_to(self, version: int) -> None:
        """Forget the rejections of versions that are behind."""
        for rejected in [v for v in self._rejections if v <= version]:
            del self._rejections[rejected]

    def list_all(self) -> list[Rejection]:
        return [self._rejections[version] for version in sorted(self._rejections)]
