"""Queues that serve callers round robin."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

MAX_CALLERS = 256
OTHER_CALLERS = "\0other"

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Serve callers round robin, and each caller's items in order of arrival.

    Callers beyond ``MAX_CALLERS`` share one bucket. Every operation takes constant
    time.
    """

    def __init__(self) -> None:
        self._callers: OrderedDict[str, OrderedDict[T, None]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_callers(self) -> int:
        """Return the number of callers with queued items."""
        return len(self._callers)

    def count_items(self, caller: str) -> int:
        """Return the number of queued items of a caller."""
        return len(self._callers.get(self._choose_bucket(caller), ()))

    def push(self, caller: str, item: T) -> str:
        """Add an item; return the key of its bucket, to be passed to ``remove``."""
        bucket = self._choose_bucket(caller)
        self._callers.setdefault(bucket, OrderedDict())[item] = None
        self._length += 1
        return bucket

    def pop(self) -> T:
        """Remove and return the oldest item of the next caller."""
        bucket, items = next(iter(self._callers.items()))
        item, _ = items.popitem(last=False)
        self._length -= 1
        if items:
            self._callers.move_to_end(bucket)
        else:
            del self._callers[bucket]
        return item

    def peek(self) -> T:
        """Return the item that ``pop`` would remove."""
        items = next(iter(self._callers.values()))
        return next(iter(items))

    def remove(self, bucket: str, item: T) -> None:
        """Remove an item from its bucket."""
        items = self._callers[bucket]
        del items[item]
        self._length -= 1
        if not items:
            del self._callers[bucket]

    def _choose_bucket(self, caller: str) -> str:
        if caller in self._callers or len(self._callers) < MAX_CALLERS:
            return caller
        return OTHER_CALLERS
