"""The decisions of daemons over a deployment's load, on a virtual clock."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from benchmarks.event_queue import EventQueue
from benchmarks.worst_load_result import Result
from flamingohead.core import attempts
from flamingohead.core.admission import Admission
from flamingohead.core.attempts import AttemptTracker, OverloadCache, Step
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport, Placement, PlacementRequest
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank
from flamingohead.core.retries import SharedBudgetSettings, SharedRetryBudget

if TYPE_CHECKING:
    from benchmarks.worst_load_site import Change, Day, Kind
    from flamingohead.core.admission import AdmissionResult
    from flamingohead.core.placement import PlacementChoice

LOCAL_SECONDS = 0.0003
REMOTE_SECONDS = 0.0015
TICK_SECONDS = 0.05
# Callers honour a time to return up to this part of what they have left.
RETURN_PART = 1 / 3
COLD_SECONDS = 3.0
COLD_FACTOR = 2.0
# Cost of a caller that came back and was refused again, as a part of its credit.
REFUSED_AGAIN_COST = 0.3
BUDGET = SharedBudgetSettings(ratio=0.2, slack=58, window=10.0)


@dataclass(eq=False)
class _Host:
    """Hold an upstream, its daemon's admission and what the daemon learned."""

    name: str
    domain: str
    service: str
    speed: float
    admission: Admission
    placement: Placement
    full: OverloadCache
    budget: SharedRetryBudget
    started_at: float = -100.0
    is_gone: bool = False
    waiting: dict[Ticket, _Request] = field(default_factory=dict)


@dataclass(eq=False)
class _Request:
    """Follow one attempt of a caller, or one nested call."""

    kind: Kind
    first_at: float
    deadline: float
    entry: _Host
    plan: AttemptTracker
    returns: int
    parent: _Request | None = None
    owner: _Host | None = None
    choice: PlacementChoice | None = None
    placed: object = None
    ticket: Ticket | None = None
    # What is left of its work when the call that it makes has ended, in seconds.
    rest: float = 0.0


class Model:
    """Play one day with one seed.

    ``policy`` is "system", or what it is compared with: "fifo" gives all ranks one
    order, "always_wait" makes no offer without waiting, "no_refusal" lets requests
    that can't be served in time wait until their deadline.
    """

    def __init__(self, day: Day, seed: int, *, policy: str = "system") -> None:
        self._day = day
        self._policy = policy
        self._random = Random(seed)
        self._queue = EventQueue()
        self._ranks = tuple(_build_rank(kind) for kind in day.list_kinds())
        self._hosts: dict[str, _Host] = {}
        for place in day.list_hosts():
            self._add_host(*place)
        self.result = Result()
        self._publish()

    def run(self) -> Result:
        """Play the day; return what callers earned."""
        day = self._day
        for kind in day.kinds:
            if kind.rate:
                self._queue.schedule(0.0, self._arrive, kind)
        for change in day.changes:
            self._queue.schedule(change.at, self._change, change)
        self._queue.schedule(TICK_SECONDS, self._tick)
        self._queue.run_until(day.seconds + 10.0, lambda: False)
        return self.result

    # The deployment

    def _add_host(
        self, name: str, domain: str, service: str, speed: float = 1.0
    ) -> _Host:
        day = self._day
        placement = Placement(domain, random=self._random)
        budget = SharedRetryBudget(BUDGET)
        budget.observe_daemon_count(len(day.list_hosts()))
        ranks = tuple(rank for rank in self._ranks if rank.service == service)
        if self._policy == "fifo":
            ranks = tuple(replace(rank, order=1) for rank in ranks)
        admission = Admission(slots=day.slots, ranks=ranks)
        # Read here, since a changed constant isn't seen by a default.
        full = OverloadCache(attempts.OVERLOAD_CACHE_SECONDS)
        host = _Host(name, domain, service, speed, admission, placement, full, budget)
        self._hosts[name] = host
        return host

    def _publish(self) -> None:
        members = [
            Member(
                host_id=host.name,
                failure_domain=host.domain,
                peer_address=host.name,
                relay_address=host.name,
                incarnation=1,
                group="mesh",
                upstreams=(
                    UpstreamState(
                        host.name, host.service, UpstreamStatus.READY, self._day.slots
                    ),
                ),
            )
            for host in self._hosts.values()
            if not host.is_gone
        ]
        for host in self._hosts.values():
            host.placement.set_members(members, self._queue.now)

    def _change(self, change: Change) -> None:
        if change.leaves:
            present = [
                host
                for host in self._hosts.values()
                if host.service == change.service and not host.is_gone
            ]
            for host in present[: change.leaves]:
                host.is_gone = True
                for ticket in list(host.waiting):
                    if host.admission.cancel(ticket):
                        request = host.waiting.pop(ticket)
                        self._refuse(request, Refusal(ErrorKind.DRAINING))
        for _ in range(change.joins):
            name = f"{change.service}-{len(self._hosts)}"
            domain = self._random.choice(self._day.domains)
            host = self._add_host(name, domain, change.service)
            host.started_at = self._queue.now
        self._publish()

    # Callers

    def _arrive(self, kind: Kind) -> None:
        now = self._queue.now
        if now >= self._day.seconds:
            return
        rate = kind.rate * self._day.get_factor(kind, now)
        self._queue.schedule(self._random.expovariate(rate), self._arrive, kind)
        present = [host for host in self._hosts.values() if not host.is_gone]
        entry = self._random.choice(present)
        self._send(kind, now, now + kind.deadline, entry, returns=kind.returns)

    def _send(
        self, kind: Kind, first_at: float, deadline: float, entry: _Host, **fields
    ) -> None:
        plan = AttemptTracker(kind.safe, max_upstreams=2, deadline=deadline)
        request = _Request(kind, first_at, deadline, entry, plan, **fields)
        now = self._queue.now
        entry.budget.record_request(kind.service, now)
        known = entry.full.find(kind.service, kind.rank_name, now)
        if known is not None and request.parent is None and self._policy == "system":
            self._conclude(request, known)
            return
        self._place(request)

    def _conclude(self, request: _Request, refusal: Refusal | None) -> None:
        """End an attempt: an answer, a return of the caller, or a loss."""
        now = self._queue.now
        if request.parent is not None:
            self._end_nested(request.parent, refusal)
            return
        kind = request.kind
        if refusal is None:
            late = now > request.first_at + kind.target
            credit = kind.late_worth if late else kind.worth
            self.result.add(kind, request.first_at, credit)
            return
        returns = refusal.ran is ExecutionStatus.NO or kind.safe
        if request.returns and returns and now < request.deadline:
            wait = (refusal.retry_at or now) - now
            wait = min(max(wait, 0.01), RETURN_PART * (request.deadline - now))
            if self._random.random() < kind.impatient:
                wait = 0.02
            self._queue.schedule(wait, self._return, request)
            return
        if request.returns < kind.returns and refusal.ran is ExecutionStatus.NO:
            self.result.again += REFUSED_AGAIN_COST * kind.worth
        self.result.add(kind, request.first_at, 0.0)

    def _return(self, request: _Request) -> None:
        self._send(
            request.kind,
            request.first_at,
            request.deadline,
            request.entry,
            returns=request.returns - 1,
        )

    # The first daemon

    def _place(self, request: _Request) -> None:
        entry, kind, now = request.entry, request.kind, self._queue.now
        demand = PlacementRequest(kind.service, kind.rank_name, kind.bulky)
        choice = self._choose(request, demand)
        if choice is None:
            refusal = request.plan.build_final_refusal() or Refusal(
                ErrorKind.NO_UPSTREAM
            )
            entry.full.record(kind.service, kind.rank_name, refusal, now)
            self._conclude(request, refusal)
            return
        request.choice = choice
        request.placed = entry.placement.start(choice.candidate, kind.rank_name, now)
        request.owner = self._hosts[choice.candidate.host_id]
        self._queue.schedule(self._get_hop(request), self._offer, request)

    def _choose(
        self, request: _Request, demand: PlacementRequest
    ) -> PlacementChoice | None:
        excluded = frozenset(request.plan.excluded)
        must_wait = request.plan.must_wait or self._policy == "always_wait"
        return request.entry.placement.choose(
            demand, self._queue.now, excluded=excluded, must_wait=must_wait
        )

    def _get_hop(self, request: _Request) -> float:
        near = request.entry.domain == request.owner.domain
        return LOCAL_SECONDS if near else REMOTE_SECONDS

    def _take_refusal(self, request: _Request, refusal: Refusal) -> None:
        entry, kind, now = request.entry, request.kind, self._queue.now
        self._report(request, None)
        entry.placement.finish(request.placed, now, refusal)
        key = request.choice.candidate.key
        step = request.plan.record(key, refusal, now, waited=request.choice.may_wait)
        if step is Step.REPEAT and not entry.budget.spend(kind.service, now):
            step = Step.GIVE_UP
        if step is not Step.GIVE_UP:
            self._place(request)
            return
        final = request.plan.build_final_refusal()
        entry.full.record(kind.service, kind.rank_name, final, now)
        self._conclude(request, final)

    def _report(self, request: _Request, slot_time_ms: float | None) -> None:
        admission = request.owner.admission
        rank = request.kind.rank_name
        load = LoadReport(
            admission.in_use, admission.count_ahead(rank), admission.limit, slot_time_ms
        )
        candidate = request.choice.candidate
        request.entry.placement.record_load_report(
            candidate, rank, load, self._queue.now
        )

    # The daemon that owns the slots

    def _offer(self, request: _Request) -> None:
        host, now = request.owner, self._queue.now
        if host.is_gone:
            self._refuse(request, Refusal(ErrorKind.DRAINING))
            return
        nested = request.parent is not None
        ticket = Ticket(request.kind.rank_name, request.deadline, nested=nested)
        request.ticket = ticket
        may_wait = request.choice.may_wait
        result = host.admission.offer(ticket, now, may_wait=may_wait)
        if isinstance(result, Refusal):
            if self._policy == "no_refusal" and may_wait:
                result = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
                wait = max(0.0, request.deadline - now)
                self._queue.schedule(wait, self._refuse, request, result)
                return
            self._refuse(request, result)
        elif result:
            self._run(request)
        else:
            host.waiting[ticket] = request

    def _refuse(self, request: _Request, refusal: Refusal) -> None:
        self._queue.schedule(
            self._get_hop(request), self._take_refusal, request, refusal
        )

    def _run(self, request: _Request) -> None:
        host, kind, now = request.owner, request.kind, self._queue.now
        seconds = kind.draw_work(self._random) / host.speed
        seconds *= self._day.get_slowdown(host.service, now)
        if now - host.started_at < COLD_SECONDS:
            seconds *= COLD_FACTOR
        if kind.calls is not None and self._random.random() < kind.call_share:
            half = seconds / 2
            self._queue.schedule(half, self._call, request, half)
        else:
            self._queue.schedule(seconds, self._complete, request, None)

    def _call(self, request: _Request, rest: float) -> None:
        request.rest = rest
        self._send(
            request.kind.calls,
            self._queue.now,
            request.deadline,
            request.owner,
            returns=0,
            parent=request,
        )

    def _end_nested(self, parent: _Request, refusal: Refusal | None) -> None:
        if refusal is None:
            self._queue.schedule(parent.rest, self._complete, parent, None)
        else:
            failed = Refusal(
                ErrorKind.UPSTREAM_FAILED, ran_override=ExecutionStatus.UNKNOWN
            )
            self._complete(parent, failed)

    def _complete(self, request: _Request, failure: Refusal | None) -> None:
        host, now = request.owner, self._queue.now
        slot_time_ms = 1000 * (now - request.ticket.admitted_at)
        self._apply(host, host.admission.release(request.ticket, now))
        if now > request.deadline:
            failure = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
        request.entry.placement.finish(request.placed, now, failure)
        self._report(request, slot_time_ms)
        if failure is not None and request.parent is None:
            # The failure of a call would be met again elsewhere.
            self.result.add(request.kind, request.first_at, 0.0)
            return
        self._conclude(request, failure)

    def _apply(self, host: _Host, turn: AdmissionResult) -> None:
        for ticket in turn.admitted:
            self._run(host.waiting.pop(ticket))
        for ticket in turn.expired:
            request = host.waiting.pop(ticket)
            self._refuse(request, Refusal(ErrorKind.DEADLINE_UNREACHABLE))

    def _tick(self) -> None:
        for host in self._hosts.values():
            if host.waiting:
                self._apply(host, host.admission.advance(self._queue.now))
        self._queue.schedule(TICK_SECONDS, self._tick)


def _build_rank(kind: Kind) -> Rank:
    return Rank(
        name=kind.rank_name,
        service=kind.service,
        order=kind.order,
        target_ms=round(1000 * kind.target),
        worth=kind.worth,
        share=0.0,
    )
