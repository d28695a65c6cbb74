"""Queues that serve callers round robin."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from flamingohead.core.service_floors import ServiceFloors

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MAX_CALLERS = 256
OTHER_CALLERS = "\0other"
# Weight of one turn of a caller in the mean number of tickets served between its turns.
OVERTAKING_SMOOTHING = 0.2

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
        return len(self._callers.get(self.get_bucket(caller), ()))

    def count_by_bucket(self) -> dict[str, int]:
        """Return the number of queued items of each bucket."""
        return {bucket: len(items) for bucket, items in self._callers.items()}

    def list_items(self, bucket: str) -> list[T]:
        """Return the queued items of a bucket, the oldest first."""
        return list(self._callers.get(bucket, ()))

    def find_longest(self) -> tuple[str, T]:
        """Return the bucket with the most items and the newest item of it."""
        bucket = max(self._callers, key=lambda name: len(self._callers[name]))
        return bucket, next(reversed(self._callers[bucket]))

    def push(self, caller: str, item: T) -> str:
        """Add an item; return the key of its bucket, to be passed to ``remove``."""
        bucket = self.get_bucket(caller)
        self._callers.setdefault(bucket, OrderedDict())[item] = None
        self._length += 1
        return bucket

    def pop(self, bucket: str | None = None) -> T:
        """Remove and return the oldest item of a bucket, by default the next one."""
        if bucket is None:
            bucket = next(iter(self._callers))
        items = self._callers[bucket]
        item, _ = items.popitem(last=False)
        self._length -= 1
        if items:
            self._callers.move_to_end(bucket)
        else:
            del self._callers[bucket]
        return item

    def peek(self, bucket: str | None = None) -> T | None:
        """Return the item that ``pop`` would remove, or ``None``."""
        if bucket is None:
            bucket = next(iter(self._callers), "")
        return next(iter(self._callers.get(bucket, ())), None)

    def remove(self, bucket: str, item: T) -> None:
        """Remove an item from its bucket."""
        items = self._callers[bucket]
        del items[item]
        self._length -= 1
        if not items:
            del self._callers[bucket]

    def get_bucket(self, caller: str) -> str:
        """Return the key of the bucket to which an item of a caller is added."""
        if caller in self._callers or len(self._callers) < MAX_CALLERS:
            return caller
        return OTHER_CALLERS


@dataclass(eq=False)
class Flow:
    """Hold the queued tickets of one caller in a :class:`Rotation`.

    ``overtaking`` is the mean number of tickets of other callers that are served
    between two turns of this one. The queued tickets do not show it: a caller that
    sends little is served soon after it arrives and is rarely seen waiting.
    """

    waiting: int = 0
    overtaking: float = 0.0
    served_before: int = 0


class Rotation:
    """Order the callers of all ranks of the same urgency round robin."""

    def __init__(self) -> None:
        self._flows: OrderedDict[str, Flow] = OrderedDict()
        self._served = 0
        # Mean over the callers, assumed for one that has not had two turns.
        self._overtaking = 0.0
        self.floors = ServiceFloors()

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[str]:
        return iter(self._flows)

    def choose_next(self) -> str:
        """Return the bucket to be served next: one below the floor, or the first."""
        first = next(iter(self._flows))
        if len(self._flows) == 1:
            return first
        lowest = max(self._flows, key=self.floors.get_deficit)
        return lowest if self.floors.get_deficit(lowest) else first

    def get_flow(self, bucket: str) -> Flow:
        """Return the flow of a bucket, an empty one if nothing is queued in it."""
        return self._flows.get(bucket) or Flow()

    def add(self, bucket: str, count: int = 1) -> None:
        """Count tickets that were queued; a new caller's turn is the last one."""
        flow = self._flows.get(bucket)
        if flow is None:
            flow = Flow(overtaking=self._overtaking, served_before=self._served)
            self._flows[bucket] = flow
        flow.waiting += count

    def remove(self, bucket: str) -> None:
        """Count a ticket that left its queue without being served."""
        flow = self._flows[bucket]
        flow.waiting -= 1
        if not flow.waiting:
            del self._flows[bucket]

    def record_turn(self, bucket: str) -> None:
        """Count a ticket that was served; the caller's next turn is the last one."""
        flow = self._flows[bucket]
        others = self._served - flow.served_before
        flow.overtaking += OVERTAKING_SMOOTHING * (others - flow.overtaking)
        if flow.waiting > 1:
            self._overtaking += OVERTAKING_SMOOTHING * (others - self._overtaking)
        self._served += 1
        flow.served_before = self._served
        self._flows.move_to_end(bucket)
        self.remove(bucket)

    def set_counts(self, counts: Mapping[str, int]) -> None:
        """Replace the numbers of queued tickets; known callers keep their turns."""
        for bucket in [name for name in self._flows if not counts.get(name)]:
            del self._flows[bucket]
        for bucket, count in counts.items():
            self.add(bucket, count - self.get_flow(bucket).waiting)

    def count_ahead(self, bucket: str) -> int:
        """Return the number of queued tickets that are served before a new one."""
        own = self.get_flow(bucket).waiting
        ahead, rounds = own, own + 1
        for name, flow in self._flows.items():
            if name == bucket:
                # Callers whose turn comes later are served once less.
                rounds = own
            else:
                ahead += min(flow.waiting, rounds)
        return ahead

    def count_before(self, bucket: str) -> int:
        """Return the number of callers whose turn is before that of a bucket."""
        return next((n for n, b in enumerate(self._flows) if b == bucket), len(self))

    def is_flooding(self, waiting: int) -> bool:
        """Return whether a caller with this many queued tickets has the most of all.

        A caller is compared with others only.
        """
        return len(self._flows) > 1 and waiting > 1 and waiting == self._longest()

    def _longest(self) -> int:
        return max((flow.waiting for flow in self._flows.values()), default=0)

    def count_waiting(self) -> int:
        """Return the number of queued tickets of all callers."""
        return sum(flow.waiting for flow in self._flows.values())
