"""Grants for the large request bodies that other daemons offer to this host."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from flamingohead.core.errors import Refusal
from flamingohead.core.transfers.links import MAX_UNSCHEDULED_BYTES
from flamingohead.core.transfers.schedule import Transfer, TransferSchedule
from flamingohead.events import Event, log_event
from flamingohead.services.relay import RELAY_UPSTREAM, read_relayed_call

if TYPE_CHECKING:
    from flamingohead.core.calls import Call
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest

logger = logging.getLogger(__name__)


class GatedConnection(Protocol):
    """Receive the decision on the body of the request that is being read."""

    def grant_body(self, bytes_per_second: float | None = None) -> None: ...

    def refuse_body(self, refusal: Refusal) -> None: ...


class BodyGate:
    """Let the bodies that connections wait for begin in the order of the schedule."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._schedule = TransferSchedule()
        self._transfers: dict[GatedConnection, Transfer] = {}
        self._connections: dict[Transfer, GatedConnection] = {}
        self._handle: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Grant nothing more."""
        self._cancel_timer()

    def estimate_wait(self) -> float | None:
        """Return the seconds until another body would begin, or ``None``."""
        return self._schedule.estimate_wait(time.monotonic()) or None

    def offer(
        self,
        connection: GatedConnection,
        request: IncomingRequest,
        length: int | None,
        *,
        waits: bool,
    ) -> Refusal | None:
        """Process the head of a request with a body; return a refusal of it.

        If the sender ``waits``, the connection is told when the body may begin.
        """
        now = time.monotonic()
        self._update_link()
        if length is None or length <= MAX_UNSCHEDULED_BYTES:
            if waits:
                connection.grant_body()
            return None
        if not waits:
            self._schedule.add_unscheduled(length, now)
            return None
        call = read_relayed_call(request, now)
        if isinstance(call, Refusal):
            return call
        transfer = Transfer(length, call.deadline)
        upstream = (request.get_header(RELAY_UPSTREAM) or b"").decode("latin-1")
        refusal = None
        if upstream:
            refusal = self._describe_service(transfer, upstream, call)
        if refusal is None:
            refusal = self._schedule.offer(transfer, now)
        if refusal is not None:
            self._log_refusal(call, length, refusal)
            return refusal
        self._transfers[connection] = transfer
        self._connections[transfer] = connection
        # Not at once: the connection is still parsing the head.
        self._schedule_advance(now)
        return None

    def end(self, connection: GatedConnection) -> None:
        """Record that a connection has read a body, or doesn't wait for it any more."""
        transfer = self._transfers.pop(connection, None)
        if transfer is None:
            return
        del self._connections[transfer]
        self._schedule.end(transfer)
        self._schedule_advance(time.monotonic())

    def _describe_service(
        self, transfer: Transfer, upstream: str, call: Call
    ) -> Refusal | None:
        """Add what the upstream needs for a call; return its refusal if it is full."""
        slots = self._kernel.get("slots")
        refusal = slots.check(upstream, call)
        if refusal is not None:
            return refusal
        rank = self._kernel.get("configuration").routes.find_rank(
            call.service, call.rank
        )
        if rank is not None:
            transfer.order = rank.order
            transfer.target_deadline = time.monotonic() + rank.target_ms / 1000
        transfer.service_seconds = slots.get_expected_service_time(upstream, call.rank)
        return None

    def _update_link(self) -> None:
        member = self._kernel.get("gossip").membership.local_member
        self._schedule.link.mbps = member.link_mbps

    def _schedule_advance(self, now: float) -> None:
        next_at = self._schedule.get_next_time(now)
        self._cancel_timer()
        if next_at is not None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(max(0.0, next_at - now), self._advance)

    def _cancel_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _advance(self) -> None:
        self._handle = None
        result = self._schedule.advance(time.monotonic())
        metrics = self._kernel.get("metrics")
        for transfer in result.granted:
            metrics.count("bodies.granted")
            self._connections[transfer].grant_body(self._schedule.bytes_per_second)
        for transfer, refusal in result.refused:
            metrics.count("bodies.expired")
            self._connections[transfer].refuse_body(refusal)
        self._schedule_advance(time.monotonic())

    def _log_refusal(self, call: Call, length: int, refusal: Refusal) -> None:
        self._kernel.get("metrics").count("bodies.refused")
        log_event(
            logger,
            Event.BODY_NOT_GRANTED,
            request=call.request_id,
            service=call.service,
            body_bytes=length,
            waiting=self._schedule.count_waiting(),
            reason=refusal.kind.value,
            detail=refusal.detail,
        )
