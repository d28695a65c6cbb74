"""Model of uneven upstreams and of several senders, with a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.capacity.service_times import ServiceTimes
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport, Placement, PlacementRequest

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "stall-ledger"
RANK = "urgent"
SLOTS = 6
QUEUE = 24
LOCAL_SECONDS = 0.0002
REMOTE_SECONDS = 0.0009


@dataclass(eq=False)
class Host:
    """Describe a host: ``slowness`` by time and ``crowding`` by busy slots."""

    name: str
    domain: str = "makola"
    slowness: Callable[[float], float] = lambda now: 1.0
    crowding: Callable[[int], float] = lambda busy: 1.0
    times: ServiceTimes = field(default_factory=lambda: ServiceTimes(-100.0))
    running: dict[int, float] = field(default_factory=dict)
    waiting: list = field(default_factory=list)
    served: Counter = field(default_factory=Counter)
    limit: int = SLOTS
    reports_pace: bool = False

    def build_member(self) -> Member:
        state = UpstreamState(f"u-{self.name}", SERVICE, UpstreamStatus.READY, SLOTS)
        return Member(self.name, self.domain, "p", "r", 1, upstreams=(state,))


@dataclass
class Result:
    """Count requests, and those within the target, elsewhere and refused."""

    total: int = 0
    in_target: int = 0
    remote: int = 0
    refused: int = 0
    latencies: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        return self.in_target / max(self.total, 1)


class Replay:
    """Replay Poisson arrivals at senders, each with a placement of its own."""

    def __init__(
        self,
        hosts: list[Host],
        senders: list[str],
        rate: Callable[[str, float], float],
        *,
        work: float = 0.05,
        target: float = 0.25,
        reports_speed: bool = True,
        seed: int = 1,
        placement_type: type = Placement,
    ) -> None:
        # Two placements are compared with the same arrivals.
        self._random = random.Random(seed)
        self._arrivals: dict[Placement, random.Random] = {}
        self._hosts = {host.name: host for host in hosts}
        self._rate, self._work, self._target = rate, work, target
        self._reports_speed = reports_speed
        self._events: list = []
        self._numbers = itertools.count()
        self.result = Result()
        self._warmup = 0.0
        members = [host.build_member() for host in hosts]
        self._senders = []
        for number, domain in enumerate(senders):
            view = placement_type(domain, random=random.Random(seed * 1000 + number))
            view.set_members(members, -100.0)
            self._senders.append((domain, view))
            self._arrivals[view] = random.Random(f"{seed}-{number}")

    def run(self, seconds: float, *, warmup: float = 0.0) -> Result:
        self._warmup = warmup
        for domain, view in self._senders:
            self._schedule_arrival(0.0, domain, view)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now >= seconds:
                break
            action(now, *arguments)
        return self.result

    def _at(self, when: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def _schedule_arrival(self, now: float, domain: str, view: Placement) -> None:
        rate = self._rate(domain, now)
        when = now + (self._arrivals[view].expovariate(rate) if rate else 0.1)
        self._at(when, self._arrive, domain, view, rate > 0)

    def _arrive(self, now: float, domain: str, view: Placement, is_request) -> None:
        self._schedule_arrival(now, domain, view)
        if is_request:
            self.result.total += now >= self._warmup
            self._place(now, domain, view, now, 0, frozenset())

    def _place(self, now, domain, view, sent_at, attempts, excluded) -> None:
        request = PlacementRequest(
            SERVICE, RANK, target_deadline=sent_at + self._target
        )
        must_wait = attempts >= 2
        choice = view.choose(request, now, excluded=excluded, must_wait=must_wait)
        if isinstance(choice, Refusal) or attempts >= 4:
            self.result.refused += sent_at >= self._warmup
            return
        host = self._hosts[choice.candidate.host_id]
        attempt = view.start(choice.candidate, RANK, now)
        delay = LOCAL_SECONDS if host.domain == domain else REMOTE_SECONDS
        state = domain, view, sent_at, attempts, excluded, choice, attempt, delay
        self._at(now + delay, self._offer, host, state)

    def _offer(self, now: float, host: Host, state: tuple) -> None:
        may_wait = state[5].may_wait
        if len(host.running) < host.limit and not host.waiting:
            self._begin(now, host, state)
        elif may_wait and len(host.waiting) < QUEUE:
            host.waiting.append(state)
        else:
            self._at(now + state[7], self._refuse, host, state, self._report(host, now))

    def _begin(self, now: float, host: Host, state: tuple) -> None:
        number = next(self._numbers)
        host.running[number] = now
        host.served[int(now / 0.1)] += 1
        seconds = self._work * self._random.lognormvariate(-0.08, 0.4)
        seconds *= host.slowness(now) * host.crowding(len(host.running))
        self._at(now + seconds, self._end, host, number, state)

    def _end(self, now: float, host: Host, number: int, state: tuple) -> None:
        held = now - host.running[number]
        report = self._report(host, now, held)
        del host.running[number]
        if host.reports_pace:
            host.times.record_pace(host.slowness(now), now)
        host.times.record(RANK, held, now, pace=host.times.estimate_pace(now))
        while host.waiting and len(host.running) < host.limit:
            self._begin(now, host, host.waiting.pop(0))
        self._at(now + state[7], self._respond, host, state, report)

    def _report(self, host: Host, now: float, held: float | None = None) -> LoadReport:
        held_ms = None if held is None else 1000 * held
        load = len(host.running), len(host.waiting), host.limit, held_ms
        running = ((RANK, started_at) for started_at in host.running.values())
        times = host.times.estimate(RANK, now, running)
        if times is None or not self._reports_speed:
            return LoadReport(*load)
        return LoadReport(*load, times)

    def _respond(self, now: float, host: Host, state: tuple, report) -> None:
        domain, view, sent_at, _, _, choice, attempt, _ = state
        view.record_load_report(choice.candidate, RANK, report, now)
        view.finish(attempt, now, None, status=200)
        if sent_at >= self._warmup:
            self.result.latencies.append(now - sent_at)
            self.result.in_target += now - sent_at <= self._target
            self.result.remote += host.domain != domain

    def _refuse(self, now: float, host: Host, state: tuple, report) -> None:
        domain, view, sent_at, attempts, excluded, choice, attempt, _ = state
        view.record_load_report(choice.candidate, RANK, report, now)
        view.finish(attempt, now, Refusal(ErrorKind.QUEUE_FULL))
        excluded = frozenset() if attempts == 1 else excluded | {choice.candidate.key}
        self._place(now, domain, view, sent_at, attempts + 1, excluded)
