"""Persistent record of the departure of the upstream on this host.

The record is a row of the table and, while the table does not respond, a state of other
daemons, so that a restarted daemon sends no new work to an upstream that is leaving.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

import msgspec

from flamingohead.core.departures import DepartureTracker
from flamingohead.core.errors import ExecutionStatus, Refusal
from flamingohead.core.members import Departure, UpstreamStatus
from flamingohead.core.upstreams import FINAL_SEQUENCE, Announcement
from flamingohead.decoding import DECODING_ERRORS, Name, Number
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.core.members import Member
    from flamingohead.core.rows import Row
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

# Below the 1 s that the upstream waits for the acknowledgement.
RECORD_TIMEOUT_SECONDS = 0.6
# A table that responds has stored the departure by then.
COPY_DELAY_SECONDS = 0.2
COPY_TIMEOUT_SECONDS = 0.35
# Peers that are asked to hold a departure; some of them may be unreachable.
COPY_TARGETS = 4
RETRY_SECONDS = 0.3
POLL_INTERVAL_SECONDS = 0.02


class _DepartureRow(msgspec.Struct):
    name: Name
    incarnation: Number
    # Missing in rows of earlier builds.
    recorded_at: Number = 0


_ROW_DECODER = msgspec.json.Decoder(_DepartureRow)


class DepartureService:
    """Record the incarnation of the upstream that gets no new work."""

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._key = f"departures/{host_id}"
        self._tracker = DepartureTracker()
        self._is_safe = asyncio.Event()
        # The row as read last, unless a write may have changed it since.
        self._row: Row | None = None
        self._is_row_known = False
        self._write_task: asyncio.Task | None = None
        self._copy_task: asyncio.Task | None = None
        self._load_task: asyncio.Task | None = None

    async def start(self) -> None:
        self._kernel.get("eras").listeners.append(self._handle_store_restored)
        gossip = self._kernel.get("gossip")
        gossip.departure_listeners.append(self._handle_returned_departure)
        self._load_task = asyncio.get_running_loop().create_task(self._load())

    async def stop(self) -> None:
        for task in (self._load_task, self._write_task, self._copy_task):
            if task is not None:
                task.cancel()

    @property
    def knows_earlier(self) -> bool:
        """Return whether the departures before the start of this daemon are known."""
        now = time.monotonic()
        if self._kernel.get("gossip").has_joined:
            self._tracker.note_joined(now)
        return self._tracker.knows_earlier(now)

    async def wait_for_earlier(self, deadline: float) -> bool:
        """Wait until ``knows_earlier``; return it at the deadline (monotonic)."""
        while not self.knows_earlier and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self.knows_earlier

    async def record(self, name: str) -> bool:
        """Record the departure of an upstream; return whether it survives a restart.

        Returns in time for its acknowledgement. The write goes on in the background.
        """
        incarnation = self._kernel.get("upstreams").get_incarnation(name)
        if incarnation is None:
            return True
        if self._tracker.record(name, incarnation, round(time.time() * 1000)):
            self._update_safety()
            self._kernel.get("gossip").set_departure(self._tracker.latest)
            self._start_write()
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
                await self._wait_until_safe()
        except TimeoutError:
            log_event(logger, Event.DEPARTURE_NOT_KEPT, upstream=name)
            return False
        if not self._tracker.is_stored:
            log_event(logger, Event.DEPARTURE_NOT_STORED, upstream=name)
        return True

    async def _wait_until_safe(self) -> None:
        """Wait for the table, and after a short time for copies of peers instead."""
        try:
            async with asyncio.timeout(COPY_DELAY_SECONDS):
                await self._is_safe.wait()
        except TimeoutError:
            self._start_copies()
            await self._is_safe.wait()

    def _handle_store_restored(self) -> None:
        """Write the departure again, since the restored store may lack it."""
        self._tracker.handle_store_restored()
        self._is_row_known = False
        self._update_safety()
        if self._tracker.latest is not None:
            self._start_write()

    def _update_safety(self) -> None:
        peers = len(self._kernel.get("gossip").membership.members)
        if self._tracker.is_safe(peers):
            self._is_safe.set()
        else:
            self._is_safe.clear()

    # Table

    def _start_write(self) -> None:
        if self._write_task is None or self._write_task.done():
            loop = asyncio.get_running_loop()
            self._write_task = loop.create_task(self._write_until_stored())

    async def _write_until_stored(self) -> None:
        while not self._tracker.is_stored:
            departure = self._tracker.latest
            if await self._write(json.dumps(asdict(departure)).encode()):
                self._tracker.confirm_stored(departure)
                self._update_safety()
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _write(self, value: bytes) -> bool:
        """Replace the row as it was read; return whether the table holds the value.

        The condition also holds off an earlier write without a response, which the
        table may still perform.
        """
        if not self._is_row_known and not await self._read_row():
            return False
        row = self._row
        if row is not None and row.value == value:
            return True
        table = self._kernel.get("table")
        self._is_row_known = False
        if row is None:
            result = await table.insert(self._key, value)
        else:
            result = await table.update(self._key, value, row.tag)
        if isinstance(result, Refusal):
            self._is_row_known = result.ran is ExecutionStatus.NO
        return result is True

    async def _read_row(self) -> bool:
        row = await self._kernel.get("table").read(self._key)
        if isinstance(row, Refusal):
            return False
        self._row, self._is_row_known = row, True
        return True

    async def _load(self) -> None:
        while not await self._read_row():
            await asyncio.sleep(RETRY_SECONDS)
        if self._row is not None:
            self._apply_row(self._row.value)
        self._tracker.note_table_read(time.monotonic())

    def _apply_row(self, value: bytes) -> None:
        try:
            row = _ROW_DECODER.decode(value)
        except DECODING_ERRORS as error:
            log_event(
                logger, Event.ANNOUNCEMENT_MALFORMED, upstream=self._key, error=error
            )
            return
        departure = Departure(row.recorded_at, row.name, row.incarnation)
        if self._tracker.adopt(departure, is_stored=True):
            self._kernel.get("gossip").set_departure(departure)
        self._end_upstream(departure)

    # Peers

    def _start_copies(self) -> None:
        if self._copy_task is None or self._copy_task.done():
            loop = asyncio.get_running_loop()
            self._copy_task = loop.create_task(self._hand_over_copies())

    async def _hand_over_copies(self) -> None:
        departure = self._tracker.latest
        members = self._kernel.get("gossip").membership.choose_members(COPY_TARGETS)
        await asyncio.gather(
            *(self._hand_over_copy(member, departure) for member in members)
        )

    async def _hand_over_copy(self, member: Member, departure: Departure) -> None:
        kept = await self._kernel.get("peers").hand_over_departure(
            member.peer_address, departure, timeout=COPY_TIMEOUT_SECONDS
        )
        if kept:
            self._tracker.confirm_copy(member.host_id, departure)
            self._update_safety()

    def _handle_returned_departure(self, departure: Departure) -> None:
        """Take over the departure that an earlier daemon of this host recorded."""
        log_event(
            logger,
            Event.DEPARTURE_RETURNED,
            upstream=departure.name,
            incarnation=departure.incarnation,
        )
        if self._tracker.adopt(departure, is_stored=False):
            self._start_write()
        self._end_upstream(departure)

    def _end_upstream(self, departure: Departure) -> None:
        self._kernel.get("upstreams").announce(
            Announcement(
                departure.name,
                "",
                "",
                1,
                UpstreamStatus.GONE,
                departure.incarnation,
                FINAL_SEQUENCE,
            )
        )
