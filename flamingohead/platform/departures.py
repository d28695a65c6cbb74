"""Persistent record of the leave of the upstream on this host.

The record is a row of the store, so that a restarted daemon sends no new work to an
upstream that is leaving.
"""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import FINAL_SEQUENCE, Announcement
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

# Below the 1 s that the upstream waits for the acknowledgement.
RECORD_TIMEOUT_SECONDS = 0.6
RETRY_SECONDS = 0.3


@dataclass(frozen=True)
class _Leave:
    """Identify the incarnation of an upstream that gets no new work."""

    name: str
    incarnation: int


class DepartureService:
    """Record the incarnation of the upstream that gets no new work."""

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._key = f"departures/{host_id}"
        self._leave: _Leave | None = None
        self._is_stored = asyncio.Event()
        self._write_task: asyncio.Task | None = None
        self._load_task: asyncio.Task | None = None
        self.is_loaded = False

    async def start(self) -> None:
        self._kernel.get("eras").listeners.append(self._handle_store_restored)
        self._load_task = asyncio.get_running_loop().create_task(self._load())

    async def stop(self) -> None:
        self._load_task.cancel()
        if self._write_task is not None:
            self._write_task.cancel()

    async def record(self, name: str) -> None:
        """Store the leave of an upstream.

        Returns in time for its acknowledgement, also if the store has not responded by
        then; the write goes on in the background.
        """
        incarnation = self._kernel.get("upstreams").get_incarnation(name)
        if incarnation is None:
            return
        leave = _Leave(name, incarnation)
        if leave != self._leave:
            self._leave = leave
            self._start_write()
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
                await self._is_stored.wait()
        except TimeoutError:
            log_event(logger, Event.DEPARTURE_NOT_STORED, upstream=name)

    def _handle_store_restored(self) -> None:
        """Write the leave again, since the restored store may lack it."""
        if self._leave is not None:
            self._start_write()

    def _start_write(self) -> None:
        self._is_stored.clear()
        if self._write_task is None or self._write_task.done():
            loop = asyncio.get_running_loop()
            self._write_task = loop.create_task(self._write_until_stored())

    async def _write_until_stored(self) -> None:
        while not self._is_stored.is_set():
            leave = self._leave
            value = json.dumps(asdict(leave)).encode()
            result = await self._kernel.get("table").replace(self._key, value)
            if result is not True:
                await asyncio.sleep(RETRY_SECONDS)
            elif leave == self._leave:
                self._is_stored.set()

    async def _load(self) -> None:
        while True:
            row = await self._kernel.get("table").read(self._key)
            if not isinstance(row, Refusal):
                break
            await asyncio.sleep(RETRY_SECONDS)
        if row is not None:
            self._apply_stored_leave(row.value)
        self.is_loaded = True

    def _apply_stored_leave(self, value: bytes) -> None:
        try:
            body = json.loads(value)
            leave = _Leave(str(body["name"]), int(body["incarnation"]))
        except (ValueError, KeyError, TypeError) as error:
            log_event(
                logger, Event.ANNOUNCEMENT_MALFORMED, upstream=self._key, error=error
            )
            return
        if self._leave is None:
            self._leave = leave
            self._is_stored.set()
        self._kernel.get("upstreams").announce(
            Announcement(
                leave.name,
                "",
                "",
                1,
                UpstreamStatus.GONE,
                leave.incarnation,
                FINAL_SEQUENCE,
            )
        )
