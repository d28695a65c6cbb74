"""Replay of the load of many organisations on one upstream, with a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from flamingohead.core.admission import Admission
from flamingohead.core.errors import Refusal
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank

TICK_SECONDS = 0.05
NETWORK_SECONDS = 0.001
# Refusals cost nothing up to this part of the target, and the full value of the request
# from the second one on.
FREE_REFUSAL_FRACTION = 1 / 8
LATE_REFUSAL_FRACTION = 3 / 4


@dataclass(frozen=True)
class Sender:
    """Describe the requests of an organisation; times in seconds.

    ``factor`` multiplies the rate at a time. A refused request is sent again once, at
    the time that the refusal names, if ``retries`` is set.
    """

    name: str
    rate: float
    rank: str = "lookup"
    deadline: float = 2.0
    nested: bool = False
    retries: bool = False
    factor: Callable[[float], float] = field(default=lambda now: 1.0)


@dataclass(eq=False)
class _Request:
    sender: Sender
    sent_at: float
    is_retry: bool = False


@dataclass
class LoadResult:
    """Count the outcomes of requests by organisation.

    ``good`` were answered within their target. ``refused_after`` holds the times after
    which requests were refused, as a fraction of the target, and ``returned_at`` the
    times at which refused requests were sent again. ``idle_seconds`` is the time for
    which a slot was free while a ticket waited.
    """

    sent: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    good: Counter = field(default_factory=Counter)
    refused_after: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    returned_at: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refused_twice: Counter = field(default_factory=Counter)
    idle_seconds: float = 0.0

    def get_good_fraction(self, *names: str) -> float:
        """Return the part of the requests that were answered within their target."""
        sent = sum(self.sent[name] for name in names)
        return sum(self.good[name] for name in names) / max(sent, 1)

    def count_late_refusals(self, *names: str) -> int:
        """Return the number of refusals that cost the full value of the request."""
        times = itertools.chain.from_iterable(self.refused_after[n] for n in names)
        return sum(time >= LATE_REFUSAL_FRACTION for time in times)

    def compute_refusal_cost(self, *names: str) -> float:
        """Return the cost of all refusals, in values of a request."""
        times = itertools.chain.from_iterable(self.refused_after[n] for n in names)
        width = LATE_REFUSAL_FRACTION - FREE_REFUSAL_FRACTION
        return sum(
            min(1.0, max(0.0, (time - FREE_REFUSAL_FRACTION) / width)) for time in times
        )


class SharedLoad:
    """Offer the requests of organisations to the admission of one upstream.

    ``draw_work`` returns the time for which a request occupies a slot.
    """

    def __init__(
        self,
        senders: list[Sender],
        ranks: tuple[Rank, ...],
        *,
        slots: int,
        draw_work: Callable[[Random, float], float],
        seed: int,
    ) -> None:
        self.admission = Admission(slots=slots, ranks=ranks)
        self.result = LoadResult()
        self._targets = {rank.name: rank.target_ms / 1000 for rank in ranks}
        self._senders = senders
        self._draw_work = draw_work
        # Separate generators, so that admission does not change the load.
        self._arrivals = {s.name: Random(f"{seed} {s.name}") for s in senders}
        self._random = Random(seed)
        self._events: list = []
        self._sequence = itertools.count()
        self._requests: dict[Ticket, _Request] = {}
        self._now = 0.0

    def run(self, seconds: float) -> LoadResult:
        """Replay the load; return the outcomes after all requests have ended."""
        for sender in self._senders:
            self._schedule_arrival(sender)
        self._schedule(TICK_SECONDS, self._tick)
        self._seconds = seconds
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if self._has_idle_slot():
                self.result.idle_seconds += now - self._now
            self._now = now
            action(*arguments)
        return self.result

    def _has_idle_slot(self) -> bool:
        waiting = sum(ticket.state.value == "waiting" for ticket in self._requests)
        return waiting > 0 and self.admission.in_use < self.admission.limit

    def _schedule(self, delay: float, action: Callable, *arguments) -> None:
        event = (self._now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, sender: Sender) -> None:
        if self._now >= self._seconds:
            return
        self._schedule_arrival(sender)
        self.result.sent[sender.name] += 1
        self._offer(_Request(sender, self._now))

    def _schedule_arrival(self, sender: Sender) -> None:
        rate = sender.rate * sender.factor(self._now)
        delay = self._arrivals[sender.name].expovariate(rate)
        self._schedule(delay, self._arrive, sender)

    def _offer(self, request: _Request) -> None:
        sender = request.sender
        deadline = self._now + sender.deadline
        ticket = Ticket(sender.rank, deadline, sender.name, nested=sender.nested)
        result = self.admission.offer(ticket, self._now)
        if isinstance(result, Refusal):
            self._refuse(request, result)
        else:
            self._requests[ticket] = request
            if result:
                self._start(ticket)
            else:
                self._review()

    def _review(self) -> None:
        self._apply(self.admission.review(self._now))

    def _apply(self, result) -> None:
        for ticket in result.admitted:
            self._start(ticket)
        for ticket in result.expired:
            self._refuse(self._requests.pop(ticket), None)
        for ticket, refusal in result.refused:
            self._refuse(self._requests.pop(ticket), refusal)

    def _start(self, ticket: Ticket) -> None:
        self._schedule(self._draw_work(self._random, self._now), self._end, ticket)

    def _end(self, ticket: Ticket) -> None:
        request = self._requests.pop(ticket)
        name, elapsed = request.sender.name, self._now - request.sent_at
        self.result.served[name] += 1
        if elapsed <= self._targets[request.sender.rank]:
            self.result.good[name] += 1
        self._apply(self.admission.release(ticket, self._now))

    def _refuse(self, request: _Request, refusal: Refusal | None) -> None:
        sender = request.sender
        elapsed = self._now - request.sent_at
        target = self._targets[sender.rank]
        if request.is_retry:
            self.result.refused_twice[sender.name] += 1
            return
        self.result.refused_after[sender.name].append(elapsed / target)
        if sender.retries and refusal is not None and refusal.retry_at is not None:
            delay = max(0.0, refusal.retry_at - self._now)
            self._schedule(delay, self._return, sender)

    def _return(self, sender: Sender) -> None:
        self.result.returned_at[sender.name].append(self._now)
        self._offer(_Request(sender, self._now, is_retry=True))

    def _tick(self) -> None:
        self._apply(self.admission.advance(self._now))
        self._review()
        if self._events:
            self._schedule(TICK_SECONDS, self._tick)
