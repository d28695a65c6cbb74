"""The life cycle of upstreams on this host, from their announcements."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.upstreams import (
    ENDING_STAGES,
    Announcement,
    UpstreamChanged,
    UpstreamRegistry,
    UpstreamSettings,
    UpstreamStage,
)
from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD_SECONDS = 0.1


class UpstreamService:
    """Track the life cycle of the upstreams on this host, and update their slots."""

    def __init__(
        self, kernel: Kernel, settings: UpstreamSettings = UpstreamSettings()
    ) -> None:
        self._kernel = kernel
        self._registry = UpstreamRegistry(settings)
        self._ticks = PeriodicTimer(self._tick)

    async def start(self) -> None:
        self._ticks.start(TICK_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self._ticks.stop()

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream has announced itself yet."""
        return self._registry.is_empty

    def get_incarnation(self, name: str) -> int | None:
        """Return the incarnation of a known upstream."""
        return self._registry.get_incarnation(name)

    def is_leaving(self, name: str) -> bool:
        """Return whether the newest incarnation of an upstream drains or is gone."""
        return self._registry.get_stage(name) in ENDING_STAGES

    def announce(self, announcement: Announcement) -> Refusal | None:
        """Apply an announcement; it has taken effect when this returns."""
        result = self._registry.announce(announcement, time.monotonic())
        if isinstance(result, Refusal):
            return result
        self._apply_changes(result)
        self._update_slots(announcement.name)
        return None

    def end_upstream(self, name: str) -> None:
        """Record that an upstream has reported that it leaves."""
        # An incarnation is the wall-clock time of a start in milliseconds.
        incarnation = round(time.time() * 1000)
        changes = self._registry.end_upstream(
            name, time.monotonic(), incarnation=incarnation
        )
        self._apply_changes(changes)

    def _tick(self) -> None:
        now = time.monotonic()
        self._apply_changes(self._registry.tick(now))
        for name, upstream in list(self._kernel.get("slots").upstreams.items()):
            load = upstream.admission.in_use / max(1, upstream.admission.limit)
            if self._registry.set_load(name, load, now):
                self._update_slots(name)

    def _apply_changes(self, changes: list[UpstreamChanged]) -> None:
        for change in changes:
            name = change.announcement.name
            log_event(
                logger,
                Event.UPSTREAM_CHANGED,
                upstream=name,
                service=change.announcement.service,
                status=change.stage.name,
                previous=change.previous.name,
                incarnation=change.announcement.incarnation,
                sequence=change.announcement.sequence,
            )
            self._kernel.get("metrics").count(f"upstream.{change.stage.value}")
            if change.stage in (UpstreamStage.GONE, UpstreamStage.LOST):
                self._kernel.get("slots").remove(name)

    def _update_slots(self, name: str) -> None:
        for state in self._registry.list_states():
            if state.name == name:
                address = self._registry.get_address(name)
                self._kernel.get("slots").announce(state, address)
