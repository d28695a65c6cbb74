"""Limits of organisations: tokens for requests, and the messages that bring them."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.messages import MAX_DATAGRAM_BYTES, estimate_envelope_size
from flamingohead.core.organisations.allocation import (
    HANDOVER_SECONDS,
    SEQUENCE_BITS,
    TOKEN_LIFETIME,
    Allocator,
    choose_allocator,
    choose_candidates,
    sees_majority,
)
from flamingohead.core.organisations.messages import QuotaGrant, QuotaRequest
from flamingohead.core.organisations.quotas import (
    REPEAT_SECONDS,
    TICK_SECONDS,
    Decision,
    Quotas,
)
from flamingohead.core.resources import ORGANISATION_KIND, Organisation
from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

    from flamingohead.core.calls import Call
    from flamingohead.core.messages import Datagram
    from flamingohead.core.organisations.allocation import QuotaTolerance
    from flamingohead.core.organisations.messages import QuotaDemand
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

# A request waits this long for a grant. A refusal that comes later is expensive for
# callers with latency targets from 400 ms; with 60 ms, stalls of 0.1 s of the allocator
# led to the refusal of 4 in 100 requests below the limit, with 90 ms of 1.4.
MAX_WAIT_SECONDS = 0.09
# Bytes of a demand or a share beside the name of the organisation.
_NUMBERS_BYTES = 26
MEMBERS_PERIOD_SECONDS = 0.5
# A daemon that has joined no other grants nothing for this long, unless the store names
# no other host: daemons that start during a cut know nobody on the other side.
ALONE_SECONDS = 30.0
LOG_PERIOD_SECONDS = 10.0
MAX_LOGGED_ORGANISATIONS = 5


def read_clock() -> float:
    """Return the time in seconds of a clock that runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class QuotaService:
    """Admit requests of organisations by tokens, and allocate the limits of some."""

    def __init__(self, kernel: Kernel, host_id: str, tolerance: QuotaTolerance) -> None:
        self._kernel = kernel
        self._host_id = host_id
        self._quotas = Quotas(host_id, tolerance)
        self._allocator = Allocator(host_id, tolerance)
        self._ticks = PeriodicTimer(self._tick)
        self._limits: dict[str, Organisation] = {}
        self._snapshot: object = None
        self._candidates: tuple[str, ...] = ()
        self._chosen: dict[str, str] = {}
        # Allocators that another one is about to follow, and when daemons change to it.
        self._replaced: dict[str, tuple[str, float]] = {}
        self._waiting: dict[str, deque[asyncio.Future]] = defaultdict(deque)
        self._flush_handle: asyncio.Handle | None = None
        self._repeat_handle: asyncio.TimerHandle | None = None
        # Sequence numbers differ between processes on the same host.
        self._sequence = random.SystemRandom().getrandbits(39) << SEQUENCE_BITS
        # Allocator and time of requests without an answer, by sequence number.
        self._pending: dict[int, tuple[str, float]] = {}
        self._started_at = self._ticked_at = read_clock()
        self._members_read_at = 0.0
        self._refused: Counter[str] = Counter()
        self._logged_at = 0.0
        self._silence_logged_at: dict[str, float] = {}

    async def start(self) -> None:
        self._kernel.get("configuration").listeners.append(self._apply_limits)
        self._kernel.get("gossip").listeners.append(self._receive)
        self._ticks.start(TICK_SECONDS, now=True)

    async def stop(self) -> None:
        self._ticks.stop()
        for handle in (self._flush_handle, self._repeat_handle):
            if handle is not None:
                handle.cancel()

    # Requests

    async def admit(self, organisation: str, deadline: float) -> Refusal | None:
        """Use a token of an organisation, or return a refusal.

        ``deadline`` is on the monotonic clock.
        """
        self._apply_limits()
        if not self._quotas.has_limit(organisation):
            return None
        decision = self._quotas.decide(organisation, read_clock())
        if decision is Decision.WAIT:
            timeout = min(MAX_WAIT_SECONDS, deadline - time.monotonic())
            decision = await self._wait_for_grant(organisation, timeout)
        if decision is Decision.ADMIT:
            return None
        return self._refuse(organisation, decision)

    async def serve(
        self, service: object, call: Call, response: ServerResponse
    ) -> Refusal | None:
        """Serve an admitted call; return its token if it did not run."""
        admitted_at = read_clock()
        refusal = await service.serve(call, response)
        if refusal is not None and refusal.ran is ExecutionStatus.NO:
            self._quotas.release(call.organisation, admitted_at, read_clock())
            self._wake(call.organisation)
        return refusal

    async def _wait_for_grant(self, organisation: str, timeout: float) -> Decision:
        future = asyncio.get_running_loop().create_future()
        self._waiting[organisation].append(future)
        self._quotas.change_waiting(organisation, 1)
        self._kernel.get("metrics").count("quota.waited")
        self._schedule_flush()
        try:
            await asyncio.wait((future,), timeout=max(0.0, timeout))
            if not future.done():
                # The grant may have arrived while this process did not run: uvloop runs
                # timers before it reads from sockets.
                await asyncio.sleep(0)
            if future.done():
                return future.result()
            return self._quotas.decide_late(organisation, read_clock())
        except asyncio.CancelledError:
            # The caller left after the token had been used for it.
            if future.done() and future.result() is Decision.ADMIT:
                now = read_clock()
                self._quotas.release(organisation, now, now)
            raise
        finally:
            self._quotas.change_waiting(organisation, -1)
            queue = self._waiting[organisation]
            if future in queue:
                queue.remove(future)

    def _wake(self, organisation: str) -> None:
        """Admit waiting requests with the tokens held, the oldest first."""
        queue = self._waiting.get(organisation)
        while queue:
            future = queue[0]
            if not future.done():
                if not self._quotas.take_for_waiting(organisation, read_clock()):
                    return
                future.set_result(Decision.ADMIT)
            queue.popleft()

    def _refuse_waiting(self, organisation: str) -> None:
        """Refuse the requests that wait although the limit is exhausted."""
        queue = self._waiting.get(organisation, ())
        while queue:
            future = queue.popleft()
            if not future.done():
                decision = self._quotas.decide_late(organisation, read_clock())
                future.set_result(decision)

    def _refuse(self, organisation: str, decision: Decision) -> Refusal:
        metrics = self._kernel.get("metrics")
        now = read_clock()
        allocator = self._choose(organisation, now)
        if decision is Decision.UNREACHABLE:
            metrics.count("quota.unreachable")
            self._log_silence(organisation, allocator, now)
            detail = f"the allocator {allocator!r} of the limit does not grant"
        else:
            metrics.count("quota.refused")
            self._refused[organisation] += 1
            detail = f"limit reached, allocated by {allocator!r}"
        retry_at = self._quotas.compute_retry_at(organisation, decision, now)
        return Refusal(
            ErrorKind.ORGANISATION_OVER_LIMIT,
            f"{organisation}: {detail}",
            retry_at=time.monotonic() + (retry_at - now),
        )

    def _log_silence(self, organisation: str, allocator: str, now: float) -> None:
        logged_at = self._silence_logged_at.get(allocator)
        if logged_at is None or now - logged_at >= LOG_PERIOD_SECONDS:
            self._silence_logged_at[allocator] = now
            log_event(
                logger,
                Event.ALLOCATOR_SILENT,
                allocator=allocator,
                organisation=organisation,
            )

    # Configuration and members

    def _apply_limits(self) -> None:
        snapshot = self._kernel.get("configuration").routes.snapshot
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        if not snapshot.version:
            return
        limits = {
            organisation.name: organisation
            for organisation in snapshot.list_kind(ORGANISATION_KIND)
            if organisation.rate_per_second > 0
        }
        if limits != self._limits or not limits:
            now = read_clock()
            self._limits = limits
            self._quotas.set_limits(limits, now)
            self._allocator.set_limits(limits, now)
            self._report_owned()
            for organisation in list(self._waiting):
                self._wake(organisation)

    def _tick(self) -> None:
        now = read_clock()
        elapsed, self._ticked_at = now - self._ticked_at, now
        self._apply_limits()
        if not self._limits:
            return
        if now - self._members_read_at >= MEMBERS_PERIOD_SECONDS:
            self._members_read_at = now
            self._update_members(now)
        self._quotas.tick(now, max(elapsed, TICK_SECONDS))
        for sequence, (_, sent_at) in list(self._pending.items()):
            if now - sent_at > TOKEN_LIFETIME:
                del self._pending[sequence]
        self._flush()
        if now - self._logged_at >= LOG_PERIOD_SECONDS:
            self._logged_at = now
            self._log_refused()

    def _update_members(self, now: float) -> None:
        membership = self._kernel.get("gossip").membership
        members = membership.list_all()
        usable = membership.members
        candidates = choose_candidates(members)
        if candidates != self._candidates:
            self._candidates = candidates
            self._change_allocators(usable, now)
        could_grant = self._allocator.has_majority
        majority = self._knows_members(now) and sees_majority(members)
        self._allocator.set_members(
            candidates, {self._host_id, *usable}, now, majority=majority
        )
        if self._allocator.has_majority is not could_grant:
            log_event(
                logger, Event.MAJORITY_CHANGED, granting=self._allocator.has_majority
            )
        if self._allocator.take_pause():
            log_event(logger, Event.ALLOCATOR_PAUSED)
        self._report_owned()

    def _change_allocators(self, usable: Container[str], now: float) -> None:
        """Choose allocators anew; replaced ones that go on for a time are kept."""
        previous = {name: self._choose(name, now) for name in self._chosen}
        self._chosen.clear()
        until = now + HANDOVER_SECONDS
        self._replaced = {
            name: (allocator, until)
            for name, allocator in previous.items()
            if allocator in usable or allocator == self._host_id
        }

    def _knows_members(self, now: float) -> bool:
        return (
            self._kernel.get("gossip").has_joined
            or self._kernel.get("bootstrap").is_only_host
            or now - self._started_at >= ALONE_SECONDS
        )

    def _report_owned(self) -> None:
        count = len(self._allocator.owned)
        gauges = self._kernel.get("metrics").gauges
        if gauges.get("quota.allocated", 0) != count:
            self._kernel.get("metrics").set_gauge("quota.allocated", count)
            log_event(
                logger,
                Event.ALLOCATIONS_CHANGED,
                organisations=count,
                allocators=len(self._candidates),
            )

    def _log_refused(self) -> None:
        if self._refused:
            most = self._refused.most_common(MAX_LOGGED_ORGANISATIONS)
            log_event(
                logger,
                Event.LIMIT_REACHED,
                refused=", ".join(f"{name} {count}" for name, count in most),
                total=self._refused.total(),
            )
            self._refused.clear()

    def _choose(self, organisation: str, now: float) -> str:
        replaced = self._replaced.get(organisation)
        if replaced is not None:
            if now < replaced[1]:
                return replaced[0]
            del self._replaced[organisation]
        allocator = self._chosen.get(organisation)
        if allocator is None:
            allocator = choose_allocator(organisation, self._candidates)
            self._chosen[organisation] = allocator
        return allocator

    # Messages

    def _schedule_flush(self) -> None:
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self._run_flush)

    def _run_flush(self) -> None:
        self._flush_handle = None
        self._flush()

    def _flush(self) -> None:
        now = read_clock()
        messages = self._quotas.collect_demands(
            lambda organisation: self._choose(organisation, now), now
        )
        for allocator, demands in messages.items():
            for batch in self._split(demands):
                self._send_request(allocator, batch, now)
        if self._repeat_handle is None and any(self._waiting.values()):
            loop = asyncio.get_running_loop()
            self._repeat_handle = loop.call_later(REPEAT_SECONDS, self._repeat)

    def _repeat(self) -> None:
        self._repeat_handle = None
        self._flush()

    def _split(self, demands: Iterable[QuotaDemand]) -> Iterator[tuple]:
        """Yield demands in groups that fit into a datagram, as their shares do."""
        local_member = self._kernel.get("gossip").membership.local_member
        room = MAX_DATAGRAM_BYTES - estimate_envelope_size(local_member)
        batch, size = [], 0
        for demand in demands:
            needed = len(demand.organisation.encode()) + _NUMBERS_BYTES
            if batch and size + needed > room:
                yield tuple(batch)
                batch, size = [], 0
            batch.append(demand)
            size += needed
        if batch:
            yield tuple(batch)

    def _send_request(
        self, allocator: str, demands: tuple[QuotaDemand, ...], now: float
    ) -> None:
        self._sequence += 1
        request = QuotaRequest(demands)
        if allocator == self._host_id:
            grant = self._allocator.grant(request, allocator, self._sequence, now)
            if grant is not None:
                self._apply_grant(grant, allocator, now)
            return
        gossip = self._kernel.get("gossip")
        member = gossip.membership.members.get(allocator)
        if member is None:
            return
        self._pending[self._sequence] = (allocator, now)
        self._kernel.get("metrics").count("quota.requests_sent")
        gossip.send_remote(member.peer_address, self._sequence, request)

    def _receive(self, datagram: Datagram) -> None:
        body = datagram.body
        if isinstance(body, QuotaGrant):
            pending = self._pending.pop(datagram.sequence, None)
            if pending is not None and pending[0] == datagram.sender:
                self._apply_grant(body, *pending)
        elif isinstance(body, QuotaRequest):
            self._answer(datagram, body)

    def _answer(self, datagram: Datagram, request: QuotaRequest) -> None:
        self._apply_limits()
        grant = self._allocator.grant(
            request, datagram.sender, datagram.sequence, read_clock()
        )
        self._kernel.get("metrics").count("quota.requests_received")
        if grant is not None:
            self._kernel.get("gossip").send_remote(
                datagram.sender_address, datagram.sequence, grant
            )

    def _apply_grant(self, grant: QuotaGrant, source: str, sent_at: float) -> None:
        now = read_clock()
        for share in grant.shares:
            replaced = self._replaced.get(share.organisation)
            grants = self._quotas.receive(share, source, sent_at, now)
            if not grants and replaced is not None and replaced[0] == source:
                del self._replaced[share.organisation]
            self._wake(share.organisation)
            if share.retry_after_ms:
                self._refuse_waiting(share.organisation)
        if any(self._waiting.get(share.organisation) for share in grant.shares):
            self._schedule_flush()
