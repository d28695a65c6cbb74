"""Queues that serve callers in turn."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

MAX_CALLERS = 256
OTHER_CALLERS = "\0other"

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Serve callers round robin, and each caller's items in order of arrival.

    Callers beyond ``MAX_CALLERS`` share one place. Every operation takes constant
    time.
    """

    def __init__(self) -> None:
        self._callers: OrderedDict[str, OrderedDict[T, None]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_callers(self) -> int:
        """Return how many callers wait."""
        return len(self._callers)

    def count_items(self, caller: str) -> int:
        """Return how many items of a caller wait."""
        return len(self._callers.get(self._find_place(caller), ()))

    def push(self, caller: str, item: T) -> str:
        """Add an item; return the place that ``remove`` needs."""
        place = self._find_place(caller)
        self._callers.setdefault(place, OrderedDict())[item] = None
        self._length += 1
        return place

    def pop(self) -> T:
        """Remove and return the oldest item of the caller whose turn it is."""
        place, items = next(iter(self._callers.items()))
        item, _ = items.popitem(last=False)
        self._length -= 1
        if items:
            self._callers.move_to_end(place)
        else:
            del self._callers[place]
        return item

    def peek(self) -> T:
        """Return the item that ``pop`` would remove."""
        items = next(iter(self._callers.values()))
        return next(iter(items))

    def remove(self, place: str, item: T) -> None:
        """Remove an item from its place."""
        items = self._callers[place]
        del items[item]
        self._length -= 1
        if not items:
            del self._callers[place]

    def _find_place(self, caller: str) -> str:
        if caller in self._callers or len(self._callers) < MAX_CALLERS:
            return caller
        return OTHER_CALLERS
