"""Attempts of a call: selection of an upstream and retries within a budget."""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.connection_reuse import get_max_idle_seconds
from flamingohead.core.ejection import OVERLOAD_KINDS
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.retries import RetryBudget, may_repeat_on_same_upstream
from flamingohead.events import Event, log_event
from flamingohead.services.relay import (
    RelaySink,
    build_relay_request,
    convert_to_host_refusal,
)

if TYPE_CHECKING:
    from flamingohead.core.balancing import Balancer, Candidate, HealthChange
    from flamingohead.core.calls import Call
    from flamingohead.core.overflow import Overflow
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_server import ServerResponse

logger = logging.getLogger(__name__)

ATTEMPT_HEADER = b"request-attempt"


class AttemptService:
    """Try a call on one upstream after another until one has responded."""

    def __init__(self, kernel: Kernel, balancer: Balancer, overflow: Overflow) -> None:
        self._kernel = kernel
        self._balancer = balancer
        self._overflow = overflow
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._host_id = ""

    async def start(self) -> None:
        self._host_id = self._kernel.get("gossip").membership.local_member.host_id

    async def stop(self) -> None:
        pass

    def set_members(self, members) -> None:
        """Set the members of the failure domain as candidates."""
        self._balancer.set_members(members, time.monotonic())

    async def serve(self, call: Call, response: ServerResponse) -> Refusal | None:
        """Serve a call; return the final refusal, or ``None`` after a response."""
        self._kernel.get("metrics").count(f"calls.{call.service}.{call.rank}")
        budget = self._get_budget(call)
        is_retry = _is_retry(call)
        budget.record_request(time.monotonic(), is_retry=is_retry)
        refusal: Refusal | None = None
        excluded: set[tuple[str, str]] = set()
        attempts = 0
        while True:
            candidate = self._choose(call, excluded, refusal)
            if candidate is None:
                return refusal or Refusal(
                    ErrorKind.NO_UPSTREAM, f"no upstream of {call.service!r}"
                )
            if refusal is not None:
                self._kernel.get("metrics").count_retry(refusal)
                call = _mark_attempt(call, attempts + 1)
            attempts += 1
            earlier = ExecutionStatus.NO if refusal is None else refusal.ran
            refusal = await self._attempt(candidate, call, response)
            if refusal is None or response.started:
                return refusal
            refusal = refusal.merge_ran(earlier)
            excluded.add(candidate.key)
            now = time.monotonic()
            if now >= call.deadline or not budget.allow_retry(
                refusal,
                now,
                attempts=attempts,
                idempotent=call.idempotent,
                is_retry=is_retry,
            ):
                return refusal

    def _get_budget(self, call: Call) -> RetryBudget:
        name = call.service, call.rank
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(time.monotonic())
        return self._budgets[name]

    def _choose(
        self, call: Call, excluded: set, refusal: Refusal | None
    ) -> Candidate | None:
        now = time.monotonic()
        chosen = None
        is_local_full = self._is_local_full(call, refusal)
        if is_local_full:
            chosen = self._choose_remote(call, excluded, now)
        if chosen is None:
            chosen = self._balancer.choose(
                call.service,
                now,
                excluded=frozenset(excluded),
                idempotent=call.idempotent,
            )
        if chosen is None and not is_local_full:
            chosen = self._choose_remote(call, excluded, now)
        if chosen is None and refusal is not None:
            if may_repeat_on_same_upstream(refusal):
                chosen = self._balancer.choose(call.service, now)
        return chosen

    def _is_local_full(self, call: Call, refusal: Refusal | None) -> bool:
        """Return whether an overload refusal should move a call to another domain."""
        if refusal is None or refusal.kind not in OVERLOAD_KINDS:
            return False
        return self._overflow.is_active(call.service)

    def _choose_remote(self, call: Call, excluded: set, now: float) -> Candidate | None:
        summaries = self._kernel.get("summaries").list_remote(call.service)
        chosen = self._overflow.choose(
            call.service, summaries, now, excluded=frozenset(excluded)
        )
        if chosen is not None:
            self._kernel.get("metrics").count(f"overflow.{call.service}")
        return chosen

    async def _attempt(
        self, candidate: Candidate, call: Call, response: ServerResponse
    ) -> Refusal | None:
        attempt = self._balancer.start(candidate, call.rank, time.monotonic())
        refusal: Refusal | None = Refusal(ErrorKind.INTERNAL, "attempt cancelled")
        try:
            if candidate.host_id == self._host_id:
                slots = self._kernel.get("slots")
                refusal = await slots.execute(candidate.upstream, call, response)
            else:
                refusal = await self._relay(candidate, call, response)
            return refusal
        finally:
            now = time.monotonic()
            change = self._balancer.finish(
                attempt, now, refusal, status=response.status
            )
            if self._overflow.is_remote(candidate):
                self._overflow.record_remote_outcome(candidate, refusal, now)
            else:
                self._overflow.record_local_outcome(call.service, refusal)
            if change is not None:
                self._report(change, refusal)

    def _report(self, change: HealthChange, refusal: Refusal | None) -> None:
        event = Event.UPSTREAM_EJECTED if change.ejected else Event.UPSTREAM_READMITTED
        default_reason = "server_error" if change.ejected else "answered"
        reason = default_reason if refusal is None else refusal.kind.value
        log_event(
            logger,
            event,
            upstream=change.candidate.upstream,
            host=change.candidate.host_id,
            reason=reason,
        )
        name = "ejected" if change.ejected else "readmitted"
        self._kernel.get("metrics").count(f"balancing.{name}.{reason}")

    async def _relay(
        self, candidate: Candidate, call: Call, response: ServerResponse
    ) -> Refusal | None:
        sink = RelaySink(response)
        request = build_relay_request(candidate, call, time.monotonic())
        refusal = await self._kernel.get("http_client").send(
            candidate.relay_address,
            request,
            sink,
            max_idle_seconds=get_max_idle_seconds(
                idempotent=call.idempotent, to_upstream=False
            ),
            on_connection=sink.attach,
        )
        if refusal is None:
            return sink.refusal
        return convert_to_host_refusal(refusal)


def _is_retry(call: Call) -> bool:
    """Return whether a caller further up the call chain marked this as a retry."""
    values = [value for name, value in call.headers if name == ATTEMPT_HEADER]
    return any(value != b"1" for value in values)


def _mark_attempt(call: Call, attempt: int) -> Call:
    """Return the call with a header that passes its attempt number downstream."""
    headers = tuple(h for h in call.headers if h[0] != ATTEMPT_HEADER)
    return replace(call, headers=(*headers, (ATTEMPT_HEADER, b"%d" % attempt)))
