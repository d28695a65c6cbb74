"""Discrete-event simulation of the request path with a virtual clock.

There is one daemon per upstream; calls are spread evenly over the daemons.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks.policy_baseline import create_policy
from flamingohead.core.balancing import Candidate
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.retries import may_repeat_on_same_upstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from flamingohead.core.resources import Rank

HOP_SECONDS = 0.001
TICK_SECONDS = 0.02
COLD_FACTOR = 4.0
UPSTREAM_QUEUE_LIMIT = 40
START_TIME = 100.0
WARM_UP_SECONDS = 15.0


@dataclass(frozen=True)
class Work:
    """Describe the calls of one rank; times in seconds, rate in calls per second."""

    rank: Rank
    service_time: float
    timeout: float
    rate: float
    idempotent: bool = True


@dataclass
class UpstreamModel:
    """Model an upstream with slots and a queue in front of them.

    ``slots`` may be lower than ``announced``, as other clients use the upstream too.
    """

    name: str
    announced: int
    slots: int
    is_cold: bool = False
    is_frozen: bool = False
    is_draining: bool = False
    is_dead: bool = False
    misreports_load: bool = False
    in_use: int = 0
    queue: deque = field(default_factory=deque)


@dataclass
class Outcome:
    """Count the calls of one rank by outcome."""

    sent: int = 0
    answered: int = 0
    in_target: int = 0
    refused: int = 0
    attempts: int = 0


@dataclass(eq=False)
class _Call:
    work: Work
    sent_at: float
    deadline: float
    caller: int
    candidate: Candidate | None = None
    attempt: object = None
    ticket: Ticket | None = None
    excluded: frozenset = frozenset()
    attempts: int = 0
    has_ended: bool = False
    is_measured: bool = True


class MeshModel:
    """Simulate calls through balancers, admission and upstream models."""

    def __init__(
        self,
        upstreams: list[UpstreamModel],
        work: list[Work],
        *,
        policy: str,
        random: Random,
    ) -> None:
        self.now = START_TIME
        self.upstreams = upstreams
        self.outcomes = {item.rank.name: Outcome() for item in work}
        self._work = work
        self._random = random
        self._events: list = []
        self._sequence = itertools.count()
        self._policy = create_policy(policy, upstreams, work, random)
        members = [_build_member(upstream) for upstream in upstreams]
        for balancer in self._policy.balancers:
            balancer.set_members(members, START_TIME - WARM_UP_SECONDS)
        for upstream in upstreams:
            if upstream.is_cold:
                self._restart(upstream, members)

    def _restart(self, upstream: UpstreamModel, members: list[Member]) -> None:
        remaining = [m for m in members if m.host_id != upstream.name]
        for balancer in self._policy.balancers:
            balancer.set_members(remaining, START_TIME)
            balancer.set_members(members, START_TIME)

    def run(self, seconds: float, measured_from: float) -> None:
        """Send calls for ``seconds``; count those sent from ``measured_from`` on."""
        ends_at = START_TIME + seconds
        for item in self._work:
            if item.rate > 0:
                wait = self._random.expovariate(item.rate)
                self._schedule_at(START_TIME + wait, self._arrive, item, ends_at)
        self._measured_from = START_TIME + measured_from
        self._schedule_at(START_TIME + TICK_SECONDS, self._tick, ends_at + 20)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def _schedule_at(self, time: float, function: Callable, *arguments) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), function, arguments))

    # Callers

    def _arrive(self, work: Work, ends_at: float) -> None:
        wait = self._random.expovariate(work.rate)
        if self.now + wait < ends_at:
            self._schedule_at(self.now + wait, self._arrive, work, ends_at)
        caller = self._random.randrange(len(self.upstreams))
        call = _Call(work, self.now, self.now + work.timeout, caller)
        call.is_measured = self.now >= self._measured_from
        if call.is_measured:
            self.outcomes[work.rank.name].sent += 1
        self._policy.get_budget(call).record_request(self.now)
        self._start_attempt(call, None)

    def _start_attempt(self, call: _Call, refusal: Refusal | None) -> None:
        balancer = self._policy.balancers[call.caller]
        service = call.work.rank.service
        chosen = balancer.choose(
            service,
            self.now,
            excluded=call.excluded,
            idempotent=call.work.idempotent,
        )
        if chosen is None and refusal and may_repeat_on_same_upstream(refusal):
            chosen = balancer.choose(service, self.now)
        if chosen is None:
            self._end_call(call, refusal or Refusal(ErrorKind.NO_UPSTREAM))
            return
        call.candidate = chosen
        call.attempts += 1
        call.has_ended = False
        call.attempt = balancer.start(chosen, call.work.rank.name, self.now)
        if call.is_measured:
            self.outcomes[call.work.rank.name].attempts += 1
        self._schedule_at(self.now + HOP_SECONDS, self._offer, call)

    def _finish_attempt(self, call: _Call, refusal: Refusal | None) -> None:
        balancer = self._policy.balancers[call.caller]
        balancer.finish(call.attempt, self.now, refusal)
        if refusal is None:
            self._end_call(call, None)
            return
        call.excluded |= {call.candidate.key}
        allowed = self.now < call.deadline and self._policy.get_budget(
            call
        ).allow_retry(
            refusal,
            self.now,
            attempts=call.attempts,
            idempotent=call.work.idempotent,
        )
        if allowed:
            self._start_attempt(call, refusal)
        else:
            self._end_call(call, refusal)

    def _end_call(self, call: _Call, refusal: Refusal | None) -> None:
        if not call.is_measured:
            return
        outcome = self.outcomes[call.work.rank.name]
        if refusal is not None:
            outcome.refused += 1
            return
        outcome.answered += 1
        target = call.work.rank.target_ms / 1000
        outcome.in_target += self.now - call.sent_at <= target

    # Host of the upstream

    def _offer(self, call: _Call) -> None:
        index = int(call.candidate.host_id)
        upstream = self.upstreams[index]
        if upstream.is_dead:
            self._respond(call, Refusal(ErrorKind.HOST_UNREACHABLE))
            return
        if upstream.is_draining:
            self._respond(call, Refusal(ErrorKind.DRAINING))
            return
        call.ticket = Ticket(call.work.rank.name, call.deadline)
        result = self._policy.admissions[index].offer(call.ticket, self.now)
        call.ticket.call = call
        if isinstance(result, Refusal):
            self._respond(call, result)
        elif result:
            self._dispatch(call)

    def _respond(self, call: _Call, refusal: Refusal | None) -> None:
        self._schedule_at(self.now + HOP_SECONDS, self._finish_attempt, call, refusal)

    def _tick(self, ends_at: float) -> None:
        for index in range(len(self.upstreams)):
            self._apply_result(self._policy.admissions[index].advance(self.now))
        if self.now < ends_at and self._events:
            self._schedule_at(self.now + TICK_SECONDS, self._tick, ends_at)

    def _apply_result(self, result) -> None:
        for ticket in result.admitted:
            self._dispatch(ticket.call)
        for ticket in result.expired:
            self._respond(ticket.call, Refusal(ErrorKind.DEADLINE_UNREACHABLE))

    def _release(self, call: _Call, refusal: Refusal | None) -> None:
        if call.has_ended:
            return
        call.has_ended = True
        index = int(call.candidate.host_id)
        self._policy.record(index, call.ticket, self.now, refusal)
        self._apply_result(
            self._policy.admissions[index].release(call.ticket, self.now)
        )
        self._respond(call, refusal)

    # Upstream

    def _dispatch(self, call: _Call) -> None:
        upstream = self.upstreams[int(call.candidate.host_id)]
        timeout = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
        self._schedule_at(call.deadline, self._release, call, timeout)
        if upstream.is_frozen:
            return
        if upstream.in_use < upstream.slots:
            self._start_service(upstream, call)
        elif len(upstream.queue) < UPSTREAM_QUEUE_LIMIT:
            upstream.queue.append(call)
        else:
            self._release(call, Refusal(ErrorKind.UPSTREAM_SHED))

    def _start_service(self, upstream: UpstreamModel, call: _Call) -> None:
        upstream.in_use += 1
        mean = call.work.service_time
        seconds = 0.5 * mean + self._random.expovariate(2 / mean)
        if upstream.is_cold and self.now < START_TIME + 5:
            seconds *= COLD_FACTOR
        self._schedule_at(self.now + seconds, self._complete, upstream, call)

    def _complete(self, upstream: UpstreamModel, call: _Call) -> None:
        upstream.in_use -= 1
        self._release(call, None)
        while upstream.queue and upstream.in_use < upstream.slots:
            queued = upstream.queue.popleft()
            if not queued.has_ended:
                self._start_service(upstream, queued)


def _build_member(upstream: UpstreamModel) -> Member:
    state = UpstreamState(
        upstream.name, "service", UpstreamStatus.READY, upstream.announced
    )
    return Member(upstream.name, "makola", "", "", 1, upstreams=(state,))
