"""Simulation of daemons under the load of a deployment, with a virtual clock."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from benchmarks.event_queue import EventQueue
from benchmarks.worst_load_result import Result
from flamingohead.core import attempts
from flamingohead.core.admission import Admission
from flamingohead.core.attempts import AttemptTracker, OverloadCache, Step
from flamingohead.core.capacity.service_times import ServiceTimes
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport, Placement, PlacementRequest
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank
from flamingohead.core.retries import SharedBudgetSettings, SharedRetryBudget

if TYPE_CHECKING:
    from benchmarks.worst_load_site import Day, MembershipChange, RequestKind
    from flamingohead.core.admission import AdmissionResult
    from flamingohead.core.placement import PlacementChoice

LOCAL_SECONDS = 0.0003
REMOTE_SECONDS = 0.0015
TICK_SECONDS = 0.05
# Callers honour a requested retry delay up to this fraction of their remaining time.
MAX_RETRY_DELAY_FRACTION = 1 / 3
COLD_SECONDS = 3.0
COLD_FACTOR = 2.0
# Penalty for a caller whose retry was refused too, as a fraction of its credit.
REPEATED_REFUSAL_PENALTY = 0.3
# Refusals cost nothing up to the first part of the target, and the full value of the
# request from the second one on.
FREE_REFUSAL = 1 / 8
LATE_REFUSAL = 3 / 4
BUDGET = SharedBudgetSettings(ratio=0.2, slack=58, window=10.0)


@dataclass(eq=False)
class _Host:
    """Store an upstream, and the admission, placement and caches of its daemon."""

    name: str
    domain: str
    service: str
    speed: float
    admission: Admission
    placement: Placement
    overload_cache: OverloadCache
    budget: SharedRetryBudget
    started_at: float = -100.0
    is_removed: bool = False
    waiting: dict[Ticket, _Request] = field(default_factory=dict)
    times: ServiceTimes = field(default_factory=lambda: ServiceTimes(-100.0))
    running: set[Ticket] = field(default_factory=set)


@dataclass(eq=False)
class _Request:
    """Track one attempt of a caller, or one nested call."""

    kind: RequestKind
    first_sent_at: float
    deadline: float
    entry_host: _Host
    tracker: AttemptTracker
    retries: int
    parent: _Request | None = None
    owner: _Host | None = None
    choice: PlacementChoice | None = None
    placed_attempt: object = None
    ticket: Ticket | None = None
    # Time at which the last attempt of the caller was sent.
    sent_at: float = 0.0
    # Work left to do after its nested call has ended, in seconds.
    remaining_seconds: float = 0.0
    organisation: str = ""


class OverloadModel:
    """Simulate one day with one seed.

    ``policy`` is "system" or an alternative: "fifo" gives all ranks the same order,
    "always_wait" allows queueing on every offer, "one_caller" does not tell
    organisations apart, "no_refusal" keeps requests that can't
    be served in time waiting until their deadline.
    """

    def __init__(self, day: Day, seed: int, *, policy: str = "system") -> None:
        self._day = day
        self._policy = policy
        self._random = Random(seed)
        self._queue = EventQueue()
        self._ranks = tuple(_build_rank(kind) for kind in day.list_kinds())
        self._hosts: dict[str, _Host] = {}
        for host in day.list_hosts():
            self._add_host(*host)
        self.result = Result()
        self._publish()

    def run(self) -> Result:
        """Simulate the day; return the credit earned by callers."""
        day = self._day
        for kind in day.kinds:
            if kind.rate:
                self._queue.schedule(0.0, self._arrive, kind)
        for change in day.changes:
            self._queue.schedule(change.at, self._apply_change, change)
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
        # Read here, as a default argument would not reflect an overridden constant.
        overload_cache = OverloadCache(attempts.OVERLOAD_CACHE_SECONDS)
        host = _Host(
            name, domain, service, speed, admission, placement, overload_cache, budget
        )
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
            if not host.is_removed
        ]
        for host in self._hosts.values():
            host.placement.set_members(members, self._queue.now)

    def _apply_change(self, change: MembershipChange) -> None:
        if change.removed:
            active_hosts = [
                host
                for host in self._hosts.values()
                if host.service == change.service and not host.is_removed
            ]
            for host in active_hosts[: change.removed]:
                host.is_removed = True
                for ticket in list(host.waiting):
                    if host.admission.cancel(ticket):
                        request = host.waiting.pop(ticket)
                        self._refuse(request, Refusal(ErrorKind.DRAINING))
        for _ in range(change.added):
            name = f"{change.service}-{len(self._hosts)}"
            domain = self._random.choice(self._day.domains)
            host = self._add_host(name, domain, change.service)
            host.started_at = self._queue.now
            host.times = ServiceTimes(self._queue.now)
            host.running.clear()
        self._publish()

    # Callers

    def _arrive(self, kind: RequestKind) -> None:
        now = self._queue.now
        if now >= self._day.seconds:
            return
        rate = kind.rate * self._day.get_factor(kind, now)
        organisation = ""
        if self._day.organisations:
            weights = self._day.list_organisation_weights(now)
            rate *= sum(weights)
            (number,) = self._random.choices(range(len(weights)), weights)
            organisation = f"o{number}"
        self._queue.schedule(self._random.expovariate(rate), self._arrive, kind)
        active_hosts = [host for host in self._hosts.values() if not host.is_removed]
        entry_host = self._random.choice(active_hosts)
        self._send(
            kind,
            now,
            now + kind.deadline,
            entry_host,
            retries=kind.retries,
            organisation=organisation,
        )

    def _send(
        self,
        kind: RequestKind,
        first_sent_at: float,
        deadline: float,
        entry_host: _Host,
        **fields,
    ) -> None:
        tracker = AttemptTracker(kind.idempotent, max_upstreams=2, deadline=deadline)
        request = _Request(kind, first_sent_at, deadline, entry_host, tracker, **fields)
        now = request.sent_at = self._queue.now
        entry_host.budget.record_request(kind.service, now)
        cached = entry_host.overload_cache.find(
            kind.service,
            kind.rank_name,
            now,
            organisation=self._get_caller(request),
        )
        if cached is not None and request.parent is None and self._policy == "system":
            self._end_attempt(request, cached)
            return
        self._place(request)

    def _end_attempt(self, request: _Request, refusal: Refusal | None) -> None:
        """End an attempt with a response, a retry by the caller, or a failure."""
        now = self._queue.now
        if request.parent is not None:
            self._end_nested(request.parent, refusal)
            return
        kind = request.kind
        if refusal is None:
            late = now > request.first_sent_at + kind.target
            credit = kind.late_worth if late else kind.worth
            self._add_result(request, credit)
            return
        may_retry = refusal.ran is ExecutionStatus.NO or kind.idempotent
        if request.retries and may_retry and now < request.deadline:
            wait = (refusal.retry_at or now) - now
            wait = min(
                max(wait, 0.01), MAX_RETRY_DELAY_FRACTION * (request.deadline - now)
            )
            if self._random.random() < kind.early_retry_share:
                wait = 0.02
            self._queue.schedule(wait, self._retry, request)
            return
        if request.retries < kind.retries and refusal.ran is ExecutionStatus.NO:
            self.result.penalty += REPEATED_REFUSAL_PENALTY * kind.worth
        self._add_result(request, 0.0)

    def _retry(self, request: _Request) -> None:
        self._send(
            request.kind,
            request.first_sent_at,
            request.deadline,
            request.entry_host,
            retries=request.retries - 1,
            organisation=request.organisation,
        )

    def _get_caller(self, request: _Request) -> str:
        return "" if self._policy == "one_caller" else request.organisation

    def _add_result(self, request: _Request, credit: float) -> None:
        kind = request.kind
        self.result.add(kind, request.first_sent_at, credit)
        if request.organisation:
            self.result.add_organisation(
                request.organisation, credit / kind.worth, answered=credit > 0
            )
        if not credit:
            elapsed = (self._queue.now - request.sent_at) / kind.target
            cost = (elapsed - FREE_REFUSAL) / (LATE_REFUSAL - FREE_REFUSAL)
            self.result.refusal_cost += kind.worth * min(1.0, max(0.0, cost))

    # The first daemon

    def _place(self, request: _Request) -> None:
        entry_host, kind, now = request.entry_host, request.kind, self._queue.now
        placement_request = PlacementRequest(kind.service, kind.rank_name, kind.bulky)
        choice = self._choose(request, placement_request)
        if isinstance(choice, Refusal):
            refusal = request.tracker.build_final_refusal() or choice
            self._record_overload(request, refusal)
            self._end_attempt(request, refusal)
            return
        request.choice = choice
        request.placed_attempt = entry_host.placement.start(
            choice.candidate, kind.rank_name, now
        )
        request.owner = self._hosts[choice.candidate.host_id]
        self._queue.schedule(self._get_latency(request), self._offer, request)

    def _choose(
        self, request: _Request, placement_request: PlacementRequest
    ) -> PlacementChoice | Refusal:
        excluded = frozenset(request.tracker.excluded)
        must_wait = request.tracker.must_wait or self._policy == "always_wait"
        return request.entry_host.placement.choose(
            placement_request, self._queue.now, excluded=excluded, must_wait=must_wait
        )

    def _get_latency(self, request: _Request) -> float:
        is_local = request.entry_host.domain == request.owner.domain
        return LOCAL_SECONDS if is_local else REMOTE_SECONDS

    def _handle_refusal(self, request: _Request, refusal: Refusal) -> None:
        entry_host, kind, now = request.entry_host, request.kind, self._queue.now
        self._record_load_report(request, None)
        entry_host.placement.finish(request.placed_attempt, now, refusal)
        key = request.choice.candidate.key
        step = request.tracker.record(key, refusal, now, waited=request.choice.may_wait)
        if step is Step.REPEAT and not entry_host.budget.spend(kind.service, now):
            step = Step.GIVE_UP
        if step is not Step.GIVE_UP:
            self._place(request)
            return
        final = request.tracker.build_final_refusal()
        self._record_overload(request, final)
        self._end_attempt(request, final)

    def _record_overload(self, request: _Request, refusal: Refusal) -> None:
        kind = request.kind
        request.entry_host.overload_cache.record(
            kind.service,
            kind.rank_name,
            refusal,
            self._queue.now,
            organisation=self._get_caller(request),
        )

    def _record_load_report(self, request: _Request, held_ms: float | None) -> None:
        admission = request.owner.admission
        rank = request.kind.rank_name
        running = ((t.rank, t.admitted_at) for t in request.owner.running)
        load = LoadReport(
            admission.in_use,
            admission.count_ahead(rank),
            admission.limit,
            held_ms,
            request.owner.times.estimate(rank, self._queue.now, running),
        )
        candidate = request.choice.candidate
        request.entry_host.placement.record_load_report(
            candidate, rank, load, self._queue.now
        )

    # The daemon that owns the slots

    def _offer(self, request: _Request) -> None:
        host, now = request.owner, self._queue.now
        if host.is_removed:
            self._refuse(request, Refusal(ErrorKind.DRAINING))
            return
        nested = request.parent is not None
        ticket = Ticket(
            request.kind.rank_name,
            request.deadline,
            self._get_caller(request),
            nested=nested,
        )
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
            self._start_work(request)
        else:
            host.waiting[ticket] = request
            self._apply_result(host, host.admission.review(now))

    def _refuse(self, request: _Request, refusal: Refusal) -> None:
        self._queue.schedule(
            self._get_latency(request), self._handle_refusal, request, refusal
        )

    def _start_work(self, request: _Request) -> None:
        host, kind, now = request.owner, request.kind, self._queue.now
        host.running.add(request.ticket)
        seconds = kind.draw_work(self._random) / host.speed
        seconds *= self._day.get_slowdown(host.service, now)
        if now - host.started_at < COLD_SECONDS:
            seconds *= COLD_FACTOR
        if kind.nested_kind is not None and self._random.random() < kind.nested_share:
            half = seconds / 2
            self._queue.schedule(half, self._start_nested, request, half)
        else:
            self._queue.schedule(seconds, self._complete, request, None)

    def _start_nested(self, request: _Request, remaining_seconds: float) -> None:
        request.remaining_seconds = remaining_seconds
        self._send(
            request.kind.nested_kind,
            self._queue.now,
            request.deadline,
            request.owner,
            retries=0,
            parent=request,
            organisation=request.organisation,
        )

    def _end_nested(self, parent: _Request, refusal: Refusal | None) -> None:
        if refusal is None:
            self._queue.schedule(parent.remaining_seconds, self._complete, parent, None)
        else:
            failed = Refusal(
                ErrorKind.UPSTREAM_FAILED, ran_override=ExecutionStatus.UNKNOWN
            )
            self._complete(parent, failed)

    def _complete(self, request: _Request, failure: Refusal | None) -> None:
        host, now = request.owner, self._queue.now
        held_ms = 1000 * (now - request.ticket.admitted_at)
        host.running.discard(request.ticket)
        host.times.record(
            request.ticket.rank, held_ms / 1000, now, is_complete=failure is None
        )
        self._apply_result(host, host.admission.release(request.ticket, now))
        if now > request.deadline:
            failure = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
        request.entry_host.placement.finish(request.placed_attempt, now, failure)
        self._record_load_report(request, held_ms)
        if failure is not None and request.parent is None:
            # A failed nested call would fail on any other host too.
            self._add_result(request, 0.0)
            return
        self._end_attempt(request, failure)

    def _apply_result(self, host: _Host, result: AdmissionResult) -> None:
        for ticket in result.admitted:
            self._start_work(host.waiting.pop(ticket))
        for ticket in result.expired:
            request = host.waiting.pop(ticket)
            self._refuse(request, Refusal(ErrorKind.DEADLINE_UNREACHABLE))
        for ticket, refusal in result.refused:
            self._refuse(host.waiting.pop(ticket), refusal)

    def _tick(self) -> None:
        for host in self._hosts.values():
            if host.waiting:
                self._apply_result(host, host.admission.advance(self._queue.now))
                self._apply_result(host, host.admission.review(self._queue.now))
        self._queue.schedule(TICK_SECONDS, self._tick)


def _build_rank(kind: RequestKind) -> Rank:
    return Rank(
        name=kind.rank_name,
        service=kind.service,
        order=kind.order,
        target_ms=round(1000 * kind.target),
        worth=kind.worth,
        share=0.0,
    )
