"""Weighted distribution of the requests of a route over its pools.

During a gradual migration of a service, each pool must receive its share of the
requests even over a short time and at a low rate. Random choice would not guarantee
that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.resources import WeightedPool

MAX_SPLITS = 4096


class WeightedRoundRobin:
    """Choose the pools of each split in proportion to their weights."""

    def __init__(self) -> None:
        self._credits: dict[tuple[WeightedPool, ...], list[float]] = {}

    def choose(self, split: tuple[WeightedPool, ...]) -> str:
        """Return the next pool of a split by smooth weighted round robin."""
        credits = self._credits.get(split)
        if credits is None:
            if len(self._credits) >= MAX_SPLITS:
                self._credits.clear()
            credits = self._credits[split] = [0.0] * len(split)
        total = sum(weighted_pool.weight for weighted_pool in split)
        for index, weighted_pool in enumerate(split):
            credits[index] += weighted_pool.weight
        chosen = max(range(len(split)), key=credits.__getitem__)
        credits[chosen] -= total
        return split[chosen].pool
