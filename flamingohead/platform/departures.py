"""The leave of the upstream on this host, kept in the store through a restart."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import LAST_SEQUENCE, Announcement
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

# The upstream waits a second for its acknowledgement.
RECORD_TIMEOUT_SECONDS = 0.6
RETRY_SECONDS = 0.3


class Departures:
    """Remember which start of the upstream has been told that it gets no new work."""

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._key = f"departures/{host_id}"
        self._recorded: tuple[str, int] | None = None
        self._task: asyncio.Task | None = None
        self.is_loaded = False

    async def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._load())

    async def stop(self) -> None:
        self._task.cancel()

    async def record(self, name: str) -> None:
        """Keep the leave of an upstream; returns in time for its acknowledgement."""
        incarnation = self._kernel.get("upstreams").get_incarnation(name)
        if incarnation is None or self._recorded == (name, incarnation):
            return
        value = json.dumps({"name": name, "incarnation": incarnation}).encode()
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
                result = await self._kernel.get("table").replace(self._key, value)
        except TimeoutError:
            result = None
        if result is True:
            self._recorded = name, incarnation
        else:
            log_event(logger, Event.DEPARTURE_NOT_KEPT, upstream=name)

    async def _load(self) -> None:
        while True:
            row = await self._kernel.get("table").read(self._key)
            if not isinstance(row, Refusal):
                break
            await asyncio.sleep(RETRY_SECONDS)
        if row is not None:
            self._take(row.value)
        self.is_loaded = True

    def _take(self, value: bytes) -> None:
        try:
            body = json.loads(value)
            name, incarnation = str(body["name"]), int(body["incarnation"])
        except (ValueError, KeyError, TypeError) as error:
            log_event(logger, Event.BEAT_MALFORMED, upstream=self._key, error=error)
            return
        self._kernel.get("upstreams").announce(
            Announcement(
                name, "", "", 1, UpstreamStatus.GONE, incarnation, LAST_SEQUENCE
            )
        )
