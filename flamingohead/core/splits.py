"""Division of the requests of a route between its pools by weight.

The load it answers: configurations that move a service step by step, where each part
must see its share of the requests also over a short time and at a low rate, which
drawing at random would not give.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.resources import WeightedPool

MAX_ROUTES = 4096


class SplitTurns:
    """Give turns to the parts of each split in proportion to their weights."""

    def __init__(self) -> None:
        self._credits: dict[tuple[WeightedPool, ...], list[float]] = {}

    def choose(self, split: tuple[WeightedPool, ...]) -> str:
        """Return the pool whose turn it is (smooth weighted round robin)."""
        credits = self._credits.get(split)
        if credits is None:
            if len(self._credits) >= MAX_ROUTES:
                self._credits.clear()
            credits = self._credits[split] = [0.0] * len(split)
        total = sum(part.weight for part in split)
        for index, part in enumerate(split):
            credits[index] += part.weight
        chosen = max(range(len(split)), key=credits.__getitem__)
        credits[chosen] -= total
        return split[chosen].pool
