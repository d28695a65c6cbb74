"""The part of its requests that each caller is served, compared with that of all.

Round robin gives every caller the same number of turns. Under overload, a caller that
has a large part of all requests would then be refused nearly all of them, even if it
sends no more than usual. Callers below a floor are therefore served first.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# A caller is served before its turn while a smaller part of its requests is served than
# this fraction of the part for all callers. The requirement is 0.25.
FLOOR = 0.3
HALF_LIFE_SECONDS = 4.0
# Recent requests of a caller from which on its part is compared.
MIN_REQUESTS = 8.0
MAX_CALLERS = 256
# Weights grow with time, so that older requests count less; they are scaled back before
# they become too large for a float.
MAX_WEIGHT = 2.0**60


@dataclass(eq=False)
class _Counts:
    offered: float = 0.0
    served: float = 0.0


class ServiceFloors:
    """Count the offered and served requests of callers, recent ones more."""

    def __init__(self) -> None:
        self._callers: OrderedDict[str, _Counts] = OrderedDict()
        self._total = _Counts()
        self._weight = 1.0
        self._updated_at = 0.0

    def __len__(self) -> int:
        return len(self._callers)

    def record_offer(self, caller: str, now: float) -> None:
        """Count a request that was offered, whether or not it is refused."""
        self._advance(now)
        counts = self._callers.setdefault(caller, _Counts())
        self._callers.move_to_end(caller)
        counts.offered += self._weight
        self._total.offered += self._weight
        if len(self._callers) > MAX_CALLERS:
            self._callers.popitem(last=False)

    def record_service(self, caller: str, now: float) -> None:
        """Count a request that got a slot."""
        self._advance(now)
        counts = self._callers.get(caller)
        if counts is not None:
            counts.served += self._weight
        self._total.served += self._weight

    def get_deficit(self, caller: str) -> float:
        """Return how far a caller is below the floor, from 0 (not) to 1.

        Requests without a caller can't be told apart and have no floor.
        """
        counts = self._callers.get(caller)
        if not caller or counts is None or not self._total.served:
            return 0.0
        if counts.offered < MIN_REQUESTS * self._weight:
            return 0.0
        floor = FLOOR * self._total.served / self._total.offered
        return max(0.0, 1 - counts.served / counts.offered / floor)

    def _advance(self, now: float) -> None:
        elapsed = min(max(0.0, now - self._updated_at), 30 * HALF_LIFE_SECONDS)
        self._updated_at = max(now, self._updated_at)
        self._weight *= 2 ** (elapsed / HALF_LIFE_SECONDS)
        if self._weight > MAX_WEIGHT:
            for counts in (self._total, *self._callers.values()):
                counts.offered /= self._weight
                counts.served /= self._weight
            self._weight = 1.0
