"""What follows a failed attempt of a request: another attempt, or its final answer.

The load it answers: full hosts that refuse at once, hosts and upstreams that go away
under a request, and upstreams that fail part of their requests. An offer that was
refused at a host's admission never reached an upstream and costs the upstreams
nothing; a repeated execution draws on the retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from flamingohead.core.ejection import OVERLOAD_KINDS
from flamingohead.core.errors import ErrorKind, Ran, Refusal

if TYPE_CHECKING:
    from flamingohead.core.candidates import UpstreamKey

# Hosts that may refuse to run a request at once before it waits at one of them.
MAX_OFFERS = 2
# Hosts at which a request may be refused the place in the queue.
MAX_QUEUES = 2
# Hosts that may turn out to be gone or draining.
MAX_MOVES = 4

# A few slots come free in this time, for requests that wait; a queue does not empty.
FULL_PERIOD_SECONDS = 0.04
FULL_KINDS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.DEADLINE_UNREACHABLE})

MOVE_KINDS = frozenset(
    {
        ErrorKind.HOST_UNREACHABLE,
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.DRAINING,
    }
)


class Step(Enum):
    """Name what follows a failed attempt."""

    MOVE = "move"
    REPEAT = "repeat"
    GIVE_UP = "give_up"


@dataclass
class AttemptPlan:
    """Follow the attempts of one request; ``max_upstreams`` may be sent it."""

    idempotent: bool
    max_upstreams: int
    deadline: float
    excluded: set[UpstreamKey] = field(default_factory=set)
    upstreams: int = 0
    retry_at: float | None = None
    _offers: int = 0
    _queues: int = 0
    _moves: int = 0
    _last: Refusal | None = None

    @property
    def must_wait(self) -> bool:
        """Tell whether offers without waiting are used up."""
        return self._offers >= MAX_OFFERS

    @property
    def last_refusal(self) -> Refusal | None:
        """Return the refusal of the last attempt."""
        return self._last

    def record(
        self, key: UpstreamKey, refusal: Refusal, now: float, *, waited: bool
    ) -> Step:
        """Take the refusal of an attempt, and return what to do.

        ``REPEAT`` means that an upstream took work for it, so that another attempt
        draws on the retry budget.
        """
        self._last = refusal
        self.excluded.add(key)
        if refusal.retry_at is not None:
            earlier = self.retry_at is None or refusal.retry_at < self.retry_at
            self.retry_at = refusal.retry_at if earlier else self.retry_at
        if now >= self.deadline:
            return Step.GIVE_UP
        if refusal.kind in OVERLOAD_KINDS and refusal.kind is not (
            ErrorKind.UPSTREAM_SHED
        ):
            return self._record_full(waited)
        if refusal.kind in MOVE_KINDS:
            self._moves += 1
            return Step.MOVE if self._moves <= MAX_MOVES else Step.GIVE_UP
        self.upstreams += 1
        if refusal.ran is not Ran.NO and not self.idempotent:
            return Step.GIVE_UP
        if self.upstreams >= self.max_upstreams:
            return Step.GIVE_UP
        return Step.REPEAT

    def _record_full(self, waited: bool) -> Step:
        if not waited:
            self._offers += 1
            if self.must_wait:
                # A host that had no slot a moment ago may still have the best queue.
                self.excluded.clear()
            return Step.MOVE
        self._queues += 1
        return Step.MOVE if self._queues < MAX_QUEUES else Step.GIVE_UP

    def conclude(self) -> Refusal | None:
        """Return the final refusal, with the earliest time to come back."""
        last = self._last
        if last is None or self.retry_at is None or last.ran is not Ran.NO:
            return last
        return Refusal(last.kind, last.detail, self.retry_at, last.ran_override)


class FullServices:
    """Remember for a moment that no host had room in its queue for a rank.

    The load it answers: a flood in which every request would be offered to several
    full hosts, which costs all of them more than the refusal. A slot that comes free
    meanwhile goes to a request that waits. ``period`` is in seconds.
    """

    def __init__(self, period: float = FULL_PERIOD_SECONDS) -> None:
        self._period = period
        self._known: dict[tuple[str, str], tuple[float, Refusal]] = {}

    def record(self, service: str, rank: str, refusal: Refusal, now: float) -> None:
        """Take the final refusal of a request that was offered to hosts."""
        if refusal.kind in FULL_KINDS:
            self._known[service, rank] = now + self._period, refusal

    def find(self, service: str, rank: str, now: float) -> Refusal | None:
        """Return the refusal that a new request would meet, if one is known."""
        until, refusal = self._known.get((service, rank), (now, None))
        if now < until:
            return refusal
        self._known.pop((service, rank), None)
        return None
