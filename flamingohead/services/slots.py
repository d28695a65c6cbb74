"""Admission, dispatch and release of requests to the upstreams of this host."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.admission import Admission, AdmissionResult
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport
from flamingohead.core.rank_queues import Ticket
from flamingohead.events import Event, log_event
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.dispatch import ResponseRelay, dispatch_call
from flamingohead.services.local_upstream import (
    CANCELLED,
    LocalUpstream,
    ServiceEnd,
    record_end,
    report_speeds,
)
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.core.calls import Call
    from flamingohead.core.routing import RouteTable
    from flamingohead.core.stopping import StopSchedule
    from flamingohead.kernel import Kernel
    from flamingohead.services.dialects import Dialect
    from flamingohead.services.http_server import ServerResponse

logger = logging.getLogger(__name__)

SERVING = (UpstreamStatus.READY, UpstreamStatus.LEAVING)
# Waiting tickets are admitted when a slot is released. The periodic check only ends
# expired tickets, and runs only while tickets are waiting.
TICK_PERIOD_SECONDS = 0.05
REPORT_PERIOD_SECONDS = 1.0
# A leaving upstream must get no new requests after a few seconds.
DRAIN_TIMEOUT_SECONDS = 2.0


class SlotService:
    """Manage the slots of the upstreams of this host."""

    def __init__(
        self,
        kernel: Kernel,
        dialect: Dialect = PRODUCT_DIALECT,
        *,
        drain_timeout: float = DRAIN_TIMEOUT_SECONDS,
        adapts_limits: bool = False,
    ) -> None:
        self._kernel = kernel
        self._dialect = dialect
        self._drain_timeout = drain_timeout
        self._adapts_limits = adapts_limits
        self.upstreams: dict[str, LocalUpstream] = {}
        # Upstreams that stopped announcing while they worked on requests.
        self._lost: dict[str, LocalUpstream] = {}
        self._routes: RouteTable | None = None
        self._ticks = PeriodicTimer(self._tick)
        self._reports = PeriodicTimer(self._report_queues)
        self._operator_drains: set[str] = set()
        self._is_leaving = False
        self._stop: StopSchedule | None = None
        self._is_closed = False
        self._running: Counter[str] = Counter()
        # Organisations of the running requests, by request id.
        self._organisations: dict[str, str] = {}
        self._failed_parents: set[str] = set()

    async def start(self) -> None:
        self._reports.start(REPORT_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self._ticks.stop()
        self._reports.stop()
        for upstream in (*self.upstreams.values(), *self._lost.values()):
            if upstream.expiry is not None:
                upstream.expiry.cancel()

    # Upstreams

    def announce(self, state: UpstreamState, address: str) -> None:
        """Add or update the state of an upstream of this host."""
        known = self.upstreams.get(state.name) or self._restore(state.name, address)
        if known is None or known.address != address:
            if known is not None:
                self._remove(state.name)
            ranks = self._routes.list_ranks(state.service) if self._routes else ()
            admission = Admission(slots=state.slots, ranks=ranks)
            self.upstreams[state.name] = LocalUpstream(
                state, address, admission, self._adapts_limits
            )
        else:
            known.state = state
            known.limiter.set_slots(state.slots)
            self._set_limit(known, time.monotonic())
            if state.status is UpstreamStatus.DRAINING:
                self._begin_drain(known)
            else:
                known.drain_deadline = math.inf
        self._publish()

    def _restore(self, name: str, address: str) -> LocalUpstream | None:
        """Return an upstream that was lost while it worked on requests, if it is known.

        Its slots are still in use; a new record would send it more than it can take.
        """
        lost = self._lost.pop(name, None)
        if lost is None or lost.address != address:
            return None
        if self._routes is not None:
            lost.admission.set_ranks(self._routes.list_ranks(lost.state.service))
        self.upstreams[name] = lost
        return lost

    def remove(self, name: str) -> None:
        """Remove an upstream that has stopped or is lost."""
        if name in self.upstreams:
            self._remove(name)
            self._publish()

    def set_drain(self, name: str, *, draining: bool) -> bool:
        """Start or end an operator's drain; return whether the upstream exists."""
        if name not in self.upstreams:
            return False
        if draining:
            self._operator_drains.add(name)
        else:
            self._operator_drains.discard(name)
        self._publish()
        return True

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Start no request from now on that the stop would abort."""
        self._stop = schedule
        for upstream in self.upstreams.values():
            tickets = [t for t in upstream.waiters if t.deadline > schedule.ends_at]
            self._refuse_tickets(upstream, tickets, "is about to stop")

    def step_back(self) -> None:
        """Request that other daemons send only what no other host can serve."""
        self._is_leaving = True
        self._publish()

    def leave(self) -> None:
        """Refuse waiting and new requests, so that they are tried elsewhere."""
        self._is_closed = True
        for name, upstream in self.upstreams.items():
            self._refuse_waiting(upstream)

    def get_status(self, name: str) -> UpstreamStatus:
        """Return the status of an upstream, including drains by operators."""
        status = self.upstreams[name].state.status
        if status is UpstreamStatus.READY and self._is_leaving:
            return UpstreamStatus.LEAVING
        if status is UpstreamStatus.READY and name in self._operator_drains:
            return UpstreamStatus.DRAINING
        return status

    def set_routes(self, routes: RouteTable) -> None:
        """Apply the ranks of a new configuration."""
        self._routes = routes
        for upstream in self.upstreams.values():
            upstream.admission.set_ranks(routes.list_ranks(upstream.state.service))

    def _begin_drain(self, upstream: LocalUpstream) -> None:
        """Refuse the tickets that can't be admitted before the drain deadline."""
        if upstream.drain_deadline < math.inf:
            return
        now = time.monotonic()
        upstream.drain_deadline = now + self._drain_timeout
        tickets = upstream.admission.list_unreachable(upstream.drain_deadline, now)
        self._refuse_tickets(upstream, tickets, "drains")

    def _end_drain(self, upstream: LocalUpstream, now: float) -> None:
        if now >= upstream.drain_deadline:
            self._refuse_tickets(upstream, list(upstream.waiters), "has drained")

    def _publish(self) -> None:
        states = [
            replace(upstream.state, status=self.get_status(name))
            for name, upstream in self.upstreams.items()
        ]
        self._kernel.get("gossip").set_upstreams(states)

    def _tick(self) -> None:
        now = time.monotonic()
        with_waiters = [u for u in self.upstreams.values() if u.waiters]
        if not with_waiters:
            self._ticks.stop()
        for upstream in with_waiters:
            self._apply(upstream, upstream.admission.advance(now))
            self._apply(upstream, upstream.admission.review(now))
            self._end_drain(upstream, now)

    def _report_queues(self) -> None:
        """Set the gauges of requests waiting and running, by service and rank."""
        if self._routes is None:
            return
        metrics = self._kernel.get("metrics")
        for service in {u.state.service for u in self.upstreams.values()}:
            admissions = [
                upstream.admission
                for upstream in self.upstreams.values()
                if upstream.state.service == service
            ]
            for rank in self._routes.list_ranks(service):
                waiting = sum(a.count_waiting(rank.name) for a in admissions)
                running = sum(a.count_in_use(rank.name) for a in admissions)
                metrics.set_gauge(f"queue.{service}.{rank.name}", waiting)
                metrics.set_gauge(f"running.{service}.{rank.name}", running)
            report_speeds(metrics, service, self.upstreams.values())

    # Calls

    async def execute(
        self, upstream_name: str, call: Call, response: ServerResponse
    ) -> Refusal | None:
        """Execute a call on a local upstream; return ``None`` after a response."""
        refusal = self._check_status(upstream_name) or self.check_stop(call)
        if refusal is not None:
            return refusal
        upstream = self.upstreams[upstream_name]
        request_id = call.request_id
        self._running[request_id] += 1
        self._organisations[request_id] = call.organisation
        try:
            if call.claimed or not call.is_keyed:
                return await self._run(upstream, call, self._relay(response))
            return await self._kernel.get("keys").execute_once(
                call,
                response,
                lambda recording: self._run(upstream, call, self._relay(recording)),
                check=lambda: self._check(upstream, call),
            )
        finally:
            response.has_refused_nested_call = self.has_refused_nested_call(request_id)
            self._running[request_id] -= 1
            if not self._running[request_id]:
                del self._running[request_id]
                del self._organisations[request_id]
                self._failed_parents.discard(request_id)

    def check(self, upstream_name: str, call: Call) -> Refusal | None:
        """Return the refusal that ``execute`` would give now, or ``None``."""
        refusal = self._check_status(upstream_name) or self.check_stop(call)
        return refusal or self._check(self.upstreams[upstream_name], call)

    def _check_status(self, upstream_name: str) -> Refusal | None:
        is_known = upstream_name in self.upstreams
        status = self.get_status(upstream_name) if is_known else None
        if self._is_closed or status not in SERVING:
            return Refusal(ErrorKind.DRAINING, f"{upstream_name} takes no new work")
        return None

    def get_expected_service_time(self, upstream_name: str, rank: str) -> float:
        """Return the mean service time of a rank in seconds, 0 if it is not known."""
        upstream = self.upstreams.get(upstream_name)
        if upstream is None:
            return 0.0
        return upstream.admission.get_expected_service_time(rank)

    def check_stop(self, call: Call) -> Refusal | None:
        """Return a refusal if a stop of this daemon may abort a call."""
        if self._stop is None:
            return None
        latest_start = self._stop.compute_latest_start(
            call.deadline, relayed=call.relayed
        )
        if time.monotonic() <= latest_start:
            return None
        return Refusal(
            ErrorKind.DRAINING,
            "the daemon stops before the deadline",
            self._stop.ends_at,
        )

    def is_running(self, request_id: str) -> bool:
        """Return whether an upstream of this host executes a request with this id."""
        return request_id in self._running

    def get_organisation(self, request_id: str) -> str | None:
        """Return the organisation of a running request; ``None`` if it doesn't run."""
        return self._organisations.get(request_id)

    def record_nested_refusal(self, parent: str) -> None:
        """Record that a nested call of a running request was refused."""
        if parent in self._running:
            self._failed_parents.add(parent)

    def has_refused_nested_call(self, request_id: str) -> bool:
        """Return whether a nested call of a running request was refused."""
        return request_id in self._failed_parents

    def report_load(
        self, name: str, rank: str, held_ms: float | None
    ) -> LoadReport | None:
        """Return the load of a local upstream for a rank; ``None`` if it is unknown."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return None
        admission = upstream.admission
        times = upstream.estimate_times(rank, time.monotonic())
        return LoadReport(
            admission.in_use,
            admission.count_ahead(rank),
            admission.limit,
            held_ms,
            times,
        )

    def _relay(self, response: ServerResponse) -> ResponseRelay:
        return ResponseRelay(response, self._dialect)

    def _check(self, upstream: LocalUpstream, call: Call) -> Refusal | None:
        ticket = self._build_ticket(upstream, call)
        return upstream.admission.check(ticket, time.monotonic())

    async def _run(
        self, upstream: LocalUpstream, call: Call, relay: ResponseRelay
    ) -> Refusal | None:
        ticket = self._build_ticket(upstream, call)
        if ticket.deadline <= time.monotonic() < call.deadline:
            return Refusal(ErrorKind.DRAINING, "the stop leaves no time for it")
        refusal = await self._admit(upstream, ticket, may_wait=call.may_wait)
        if refusal is not None:
            return refusal
        relay.record_admission(ticket.admitted_at)
        upstream.running.add(ticket)
        pace = upstream.times.estimate_pace(ticket.admitted_at)
        in_use = upstream.admission.in_use
        refusal = CANCELLED
        try:
            refusal = await dispatch_call(
                self._kernel,
                upstream.address,
                call,
                relay,
                upstream=upstream.state.name,
                dialect=self._dialect,
            )
            return refusal
        finally:
            end = ServiceEnd(call.request_id, ticket, relay, refusal, pace, in_use)
            record_end(upstream, end)
            if end.is_abandoned:
                self._kernel.get("metrics").count("upstream.abandoned")
            self._expire_abandoned(upstream)
            self._release(upstream, ticket)

    def _forget_lost(self, upstream: LocalUpstream) -> None:
        """Forget a lost upstream that has ended its requests."""
        name = upstream.state.name
        is_idle = not upstream.running and not upstream.abandoned.count
        if is_idle and self._lost.get(name) is upstream:
            del self._lost[name]

    def _set_limit(self, upstream: LocalUpstream, now: float) -> None:
        limit = upstream.compute_limit()
        self._apply(upstream, upstream.admission.set_limit(limit, now))

    def inherit(self, name: str, busy_count: int) -> None:
        """Keep slots for the requests that an upstream has from an earlier daemon."""
        upstream = self.upstreams.get(name)
        if upstream is None or not upstream.adapts_limit:
            return
        count = min(busy_count - upstream.admission.in_use, upstream.state.slots)
        if count > 0:
            upstream.abandoned.inherit(count, time.monotonic())
            self._expire_abandoned(upstream)

    def _expire_abandoned(self, upstream: LocalUpstream) -> None:
        now = time.monotonic()
        next_at = upstream.abandoned.expire(now)
        self._set_limit(upstream, now)
        self._forget_lost(upstream)
        if upstream.expiry is not None:
            upstream.expiry.cancel()
            upstream.expiry = None
        if next_at is not None and not self._is_closed:
            loop = asyncio.get_running_loop()
            upstream.expiry = loop.call_later(
                max(0.0, next_at - now), self._expire_abandoned, upstream
            )

    async def _admit(
        self, upstream: LocalUpstream, ticket: Ticket, *, may_wait: bool
    ) -> Refusal | None:
        now = time.monotonic()
        result = upstream.admission.offer(ticket, now, may_wait=may_wait)
        if isinstance(result, Refusal):
            return result
        if result:
            return None
        future = asyncio.get_running_loop().create_future()
        upstream.waiters[ticket] = future
        if not self._ticks.is_running:
            self._ticks.start(TICK_PERIOD_SECONDS)
        self._apply(upstream, upstream.admission.review(now))
        try:
            return await future
        except asyncio.CancelledError:
            if not upstream.admission.cancel(ticket):
                self._release(upstream, ticket)
            raise
        finally:
            upstream.waiters.pop(ticket, None)

    def _release(self, upstream: LocalUpstream, ticket: Ticket) -> None:
        now = time.monotonic()
        # After the drain deadline, the slot must not go to a waiting ticket.
        self._end_drain(upstream, now)
        self._apply(upstream, upstream.admission.release(ticket, now))

    def _apply(self, upstream: LocalUpstream, result: AdmissionResult) -> None:
        for ticket in result.admitted:
            self._resolve(upstream, ticket, None)
        for ticket in result.expired:
            refusal = Refusal(ErrorKind.DEADLINE_UNREACHABLE, "queued too long")
            self._resolve(upstream, ticket, refusal)
        for ticket, refusal in result.refused:
            self._record_refused(upstream, ticket, refusal)
            self._resolve(upstream, ticket, refusal)

    def _record_refused(
        self, upstream: LocalUpstream, ticket: Ticket, refusal: Refusal
    ) -> None:
        self._kernel.get("metrics").count(f"waiting_refused.{refusal.kind.value}")
        log_event(
            logger,
            Event.WAITING_REFUSED,
            upstream=upstream.state.name,
            rank=ticket.rank,
            caller=ticket.caller,
            reason=refusal.detail,
        )

    def _remove(self, name: str) -> None:
        """Remove an upstream and refuse its waiting tickets."""
        upstream = self.upstreams.pop(name)
        self._refuse_waiting(upstream)
        if upstream.running or upstream.abandoned.count:
            self._lost[name] = upstream

    def _refuse_waiting(self, upstream: LocalUpstream) -> None:
        self._refuse_tickets(upstream, list(upstream.waiters), "is gone")

    def _refuse_tickets(
        self, upstream: LocalUpstream, tickets: list[Ticket], reason: str
    ) -> None:
        """Refuse waiting tickets, so that they are tried elsewhere."""
        for ticket in tickets:
            if upstream.admission.cancel(ticket):
                detail = f"{upstream.state.name} {reason}"
                refusal = Refusal(ErrorKind.DRAINING, detail)
                self._resolve(upstream, ticket, refusal)

    def _resolve(
        self, upstream: LocalUpstream, ticket: Ticket, result: Refusal | None
    ) -> None:
        future = upstream.waiters.get(ticket)
        if future is not None and not future.done():
            future.set_result(result)

    def _build_ticket(self, upstream: LocalUpstream, call: Call) -> Ticket:
        # Callers of the platform are not trusted to name themselves: many names would
        # take the turns of organisations.
        named_caller = call.caller if self._dialect.reads_keys else ""
        return Ticket(
            call.rank,
            self._compute_ticket_deadline(upstream, call),
            call.organisation or named_caller,
            nested=bool(call.parent),
        )

    def _compute_ticket_deadline(self, upstream: LocalUpstream, call: Call) -> float:
        if self._stop is None:
            return call.deadline
        latest_start = self._stop.compute_latest_start(
            call.deadline, relayed=call.relayed
        )
        if latest_start >= call.deadline:
            return call.deadline
        # A request may take twice its expected time before the stop aborts it.
        service_time = upstream.admission.get_expected_service_time(call.rank)
        return min(latest_start + service_time, self._stop.ends_at - service_time)
