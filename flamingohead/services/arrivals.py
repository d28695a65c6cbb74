"""Confirmation of the upstream of this host after the start of its daemon."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Protocol

from flamingohead.core.lifecycle.arrivals import ArrivalTracker, Health
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.core.lifecycle.arrivals import HealthResponse
    from flamingohead.core.upstreams import Announcement
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.02


class HealthProbe(Protocol):
    """Ask the upstream of this host for its health."""

    async def send(self) -> HealthResponse: ...


class ArrivalService:
    """Detect a ready upstream at the start, and confirm its first heartbeat.

    Heartbeats are 1 to 2 s apart. Without the detection, a restarted daemon could not
    use the slots of its upstream until the next heartbeat. ``delay`` is the longest
    delay of a heartbeat in seconds.
    """

    def __init__(self, kernel: Kernel, probe: HealthProbe, *, delay: float) -> None:
        self._kernel = kernel
        self._probe = probe
        self._tracker = ArrivalTracker(round(time.time() * 1000), delay)
        self._detection: asyncio.Task | None = None
        self._request: asyncio.Task[HealthResponse] | None = None

    async def start(self) -> None:
        self._detection = asyncio.get_running_loop().create_task(self._detect())

    async def stop(self) -> None:
        for task in (self._detection, self._request):
            if task is not None:
                task.cancel()

    def may_apply(self, announcement: Announcement) -> bool:
        """Return whether a heartbeat can be applied without asking anyone."""
        upstreams = self._kernel.get("upstreams")
        known_incarnation = upstreams.get_incarnation(announcement.name)
        if self._tracker.needs_confirmation(announcement, known_incarnation):
            return False
        return self._kernel.get("departures").knows_earlier

    async def confirm(self, announcement: Announcement, deadline: float) -> bool:
        """Return by the deadline (monotonic) whether a heartbeat can be applied."""
        if not await self._kernel.get("departures").wait_for_earlier(deadline):
            log_event(logger, Event.HEARTBEAT_POSTPONED, upstream=announcement.name)
            return False
        if self._tracker.record(announcement, time.monotonic()):
            return True
        if self.may_apply(announcement):
            return True
        try:
            async with asyncio.timeout_at(self._convert_to_loop_time(deadline)):
                response = await asyncio.shield(self._send_probe())
        except TimeoutError:
            response = None
        if response is not None and response.confirms(announcement):
            return True
        log_event(
            logger,
            Event.HEARTBEAT_UNCONFIRMED,
            upstream=announcement.name,
            incarnation=announcement.incarnation,
            sequence=announcement.sequence,
            health="unknown" if response is None else response.health.value,
        )
        self._kernel.get("metrics").count("beat.unconfirmed")
        return False

    @staticmethod
    def _convert_to_loop_time(deadline: float) -> float:
        return asyncio.get_running_loop().time() + deadline - time.monotonic()

    async def _detect(self) -> None:
        while not self._kernel.get("configuration").is_ready:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        while not self._kernel.get("departures").knows_earlier:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        upstreams = self._kernel.get("upstreams")
        if not upstreams.is_empty:
            return
        response = await asyncio.shield(self._send_probe())
        if response.health is not Health.READY:
            return
        if upstreams.is_empty:
            upstreams.announce(response.announcement)
        if response.busy_count:
            # Keeps the slots of requests that an earlier daemon of this host has sent.
            slots = self._kernel.get("slots")
            slots.inherit(response.announcement.name, response.busy_count)

    def _send_probe(self) -> asyncio.Task[HealthResponse]:
        """Send a health request, or join the one under way."""
        if self._request is None or self._request.done():
            self._kernel.get("metrics").count("upstream.probed")
            loop = asyncio.get_running_loop()
            self._request = loop.create_task(self._probe.send())
        return self._request
