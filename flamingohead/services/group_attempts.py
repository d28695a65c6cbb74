"""Attempts of a call in a group whose daemons each know every member."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.attempts import AttemptTracker, OverloadCache, Step
from flamingohead.core.connection_reuse import get_max_idle_seconds
from flamingohead.core.ejection import is_server_error
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.placement import LoadReport, PlacementRequest
from flamingohead.core.readiness import ServingReadiness
from flamingohead.core.transfers.links import MAX_UNSCHEDULED_BYTES
from flamingohead.events import Event, log_event
from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.relay import (
    RelaySink,
    build_relay_request,
    convert_to_host_refusal,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.calls import Call
    from flamingohead.core.placement import Comparison, Placement, PlacementChoice
    from flamingohead.core.retries import SharedRetryBudget
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

# A new daemon discovers its peers within some tens of milliseconds.
MAX_DISCOVERY_WAIT_SECONDS = 0.3
DISCOVERY_POLL_SECONDS = 0.02


class GroupAttemptService:
    """Try a call on the upstreams of the group until one has responded."""

    def __init__(
        self, kernel: Kernel, placement: Placement, budget: SharedRetryBudget
    ) -> None:
        self._kernel = kernel
        self._placement = placement
        self._budget = budget
        self._host_id = ""
        self._readiness = ServingReadiness()
        self._is_ready = False
        self._overload_cache = OverloadCache()

    async def start(self) -> None:
        self._host_id = self._kernel.get("gossip").membership.local_member.host_id
        self._placement.set_host(self._host_id)

    async def stop(self) -> None:
        pass

    def has_other_host(self, service: str) -> bool:
        """Return whether another host serves a service and is not about to stop."""
        return self._placement.has_other_host(service, self._host_id)

    def describe(
        self,
        request: PlacementRequest,
        organisation: str,
        now: float,
        max_compared: int,
    ) -> tuple[Refusal | None, Refusal | None, Comparison]:
        """Return what a request would meet now, without a change.

        These are the refusal in the overload cache, that for a body which arrives too
        late, and the comparison of the upstreams.
        """
        cached = self._overload_cache.peek(
            request.service, request.rank, now, organisation=organisation
        )
        refusal = self._placement.check_body(request, now)
        comparison = self._placement.compare(request, now, max_compared=max_compared)
        return cached, refusal, comparison

    def check_body(self, call: Call, body_bytes: int) -> Refusal | None:
        """Return a refusal if the body of a new call would arrive too late."""
        now = time.monotonic()
        if body_bytes <= MAX_UNSCHEDULED_BYTES:
            return None
        return self._placement.check_body(
            replace(_build_placement_request(call), body_bytes=body_bytes), now
        )

    def has_upstream(self, services: Iterable[str]) -> bool:
        """Return whether one of the services has an upstream, or may still get one."""
        present = self._placement.list_services()
        return not self.can_serve() or any(name in present for name in services)

    def can_serve(self) -> bool:
        """Return whether all routed services are discovered, or the grace is over."""
        if self._is_ready:
            return True
        routed = self._kernel.get("configuration").routes.list_services()
        present = set(self._placement.list_services())
        self._is_ready = self._readiness.check(routed, present, time.monotonic())
        return self._is_ready

    async def _wait_for_upstream(self, call: Call) -> None:
        """Wait for a first upstream while this daemon still discovers its peers."""
        wait_until = min(time.monotonic() + MAX_DISCOVERY_WAIT_SECONDS, call.deadline)
        while time.monotonic() < wait_until and not self.can_serve():
            if call.service in self._placement.list_services():
                return
            await asyncio.sleep(DISCOVERY_POLL_SECONDS)

    def set_members(self, members) -> None:
        """Set the members of the group as candidates."""
        members = list(members)
        self._placement.set_members(members, time.monotonic())
        self._budget.observe_daemon_count(sum(member.is_usable for member in members))

    async def serve(self, call: Call, response: ServerResponse) -> Refusal | None:
        """Serve a call; return the final refusal, or ``None`` after a response."""
        self._kernel.get("metrics").count(f"calls.{call.service}.{call.rank}")
        self._budget.record_request(call.service, time.monotonic())
        cached_refusal = self._overload_cache.find(
            call.service,
            call.rank,
            time.monotonic(),
            organisation=call.organisation,
        )
        if cached_refusal is not None and not call.parent:
            self._kernel.get("metrics").count("refusal.known")
            return cached_refusal
        placement_request = _build_placement_request(call)
        tracker = AttemptTracker(call.idempotent, call.max_attempts, call.deadline)
        failed_response: BufferedResponse | None = None
        await self._wait_for_upstream(call)
        while tracker.start():
            choice = self._placement.choose(
                placement_request,
                time.monotonic(),
                excluded=frozenset(tracker.excluded),
                must_wait=tracker.must_wait,
            )
            if isinstance(choice, Refusal):
                if tracker.last_refusal is None:
                    return choice
                break
            buffered = BufferedResponse(response)
            refusal = await self._attempt(choice, call, buffered)
            if refusal is None and not self._may_replace(call, buffered):
                buffered.deliver()
                return None
            if response.started:
                return refusal
            if refusal is None:
                failed_response = buffered
                detail = f"the upstream answered {buffered.status}"
                refusal = Refusal(ErrorKind.UPSTREAM_FAILED, detail)
            self._record_attempt(call, tracker, choice, refusal)
        if failed_response is not None:
            failed_response.deliver()
            return None
        refusal = tracker.build_final_refusal()
        self._overload_cache.record(
            call.service,
            call.rank,
            refusal,
            time.monotonic(),
            organisation=call.organisation,
        )
        return refusal

    def _may_replace(self, call: Call, buffered: BufferedResponse) -> bool:
        """Return whether a response may be replaced by that of another upstream."""
        if not is_server_error(buffered.status) or buffered.has_refused_nested_call:
            # A nested call of another upstream would be refused as well.
            return False
        return call.idempotent

    def _record_attempt(
        self,
        call: Call,
        tracker: AttemptTracker,
        choice: PlacementChoice,
        refusal: Refusal,
    ) -> None:
        """Record a failed attempt; the tracker allows another one, or none."""
        now = time.monotonic()
        key = choice.candidate.key
        step = tracker.record(key, refusal, now, waited=choice.may_wait)
        if step is Step.REPEAT and not self._budget.spend(call.service, now):
            self._kernel.get("metrics").count("retry.over_budget")
            tracker.give_up()
            return
        if step is Step.GIVE_UP:
            return
        self._kernel.get("metrics").count_retry(refusal)
        if step is Step.REPEAT:
            log_event(
                logger,
                Event.REQUEST_RETRIED,
                request=call.request_id,
                upstream=choice.candidate.upstream,
                reason=refusal.kind.value,
                detail=refusal.detail,
                attempts=tracker.upstreams,
            )

    async def _attempt(
        self, choice: PlacementChoice, call: Call, buffered: BufferedResponse
    ) -> Refusal | None:
        candidate = choice.candidate
        call = replace(call, may_wait=choice.may_wait)
        attempt = self._placement.start(
            candidate,
            call.rank,
            time.monotonic(),
            body_bytes=len(call.body) if call.large_body else 0,
        )
        refusal: Refusal | None = Refusal(ErrorKind.INTERNAL, "attempt cancelled")
        try:
            if candidate.host_id == self._host_id:
                refusal = await self._execute(choice, call, buffered)
            else:
                refusal = await self._relay(choice, call, buffered)
            return refusal
        finally:
            self._placement.finish(
                attempt, time.monotonic(), refusal, status=buffered.status
            )

    async def _execute(
        self, choice: PlacementChoice, call: Call, buffered: BufferedResponse
    ) -> Refusal | None:
        slots = self._kernel.get("slots")
        upstream = choice.candidate.upstream
        refusal = await slots.execute(upstream, call, buffered)
        report = slots.report_load(upstream, call.rank, buffered.held_ms)
        if report is not None:
            self._record_load(choice, call, report)
        return refusal

    async def _relay(
        self, choice: PlacementChoice, call: Call, buffered: BufferedResponse
    ) -> Refusal | None:
        def on_load(report: LoadReport) -> None:
            self._record_load(choice, call, report)

        sink = RelaySink(buffered, on_load)
        request = build_relay_request(choice.candidate, call, time.monotonic())
        refusal = await self._kernel.get("http_client").send(
            choice.candidate.relay_address,
            request,
            sink,
            max_idle_seconds=get_max_idle_seconds(
                idempotent=call.idempotent, to_upstream=False
            ),
            on_connection=sink.attach,
        )
        if refusal is None:
            buffered.has_refused_nested_call = sink.has_refused_nested_call
            return sink.refusal
        return convert_to_host_refusal(refusal)

    def _record_load(
        self, choice: PlacementChoice, call: Call, report: LoadReport
    ) -> None:
        now = time.monotonic()
        self._placement.record_load_report(choice.candidate, call.rank, report, now)


def _build_placement_request(call: Call) -> PlacementRequest:
    return PlacementRequest(
        call.service,
        call.rank,
        call.bulky,
        call.target_deadline,
        body_bytes=len(call.body) if call.large_body else 0,
        deadline=call.deadline,
    )
