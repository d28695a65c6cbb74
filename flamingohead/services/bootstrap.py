"""Joins to the failure domain and host rows in the table, driven by the core."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from flamingohead.addresses import check_address
from flamingohead.core.bootstrap import (
    Bootstrap,
    DeleteRow,
    HostRow,
    JoinPeers,
    Phase,
    ReadRows,
    WriteRow,
)
from flamingohead.core.errors import Refusal
from flamingohead.decoding import DECODING_ERRORS
from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

HOST_PREFIX = "hosts/"
# Prefix, group and host id.
ROW_KEY_PARTS = 3
# Year 2286, beyond the life of any row.
MAX_WALL_SECONDS = 1e10
TICK_PERIOD_SECONDS = 0.1
SCAN_LIMIT = 1000
# A store that does not respond must not delay the end of the process.
STOP_TIMEOUT_SECONDS = 0.2


class HostRowBody(msgspec.Struct):
    """Describe the value of a host row; ``written_at`` is wall-clock time."""

    peer_address: str
    written_at: Annotated[float, Meta(ge=0, le=MAX_WALL_SECONDS)] = 0.0

    def __post_init__(self) -> None:
        check_address(self.peer_address)


_ROW_DECODER = msgspec.json.Decoder(HostRowBody)


class BootstrapService:
    """Join the failure domain, and maintain its host rows in the table."""

    def __init__(self, kernel: Kernel, bootstrap: Bootstrap) -> None:
        self._kernel = kernel
        self._bootstrap = bootstrap
        self._ticks = PeriodicTimer(self._tick)
        self._tasks: set[asyncio.Task] = set()
        # Whether the rows as read last name no other host of the group.
        self.is_only_host = False

    async def start(self) -> None:
        self._ticks.start(TICK_PERIOD_SECONDS, now=True)

    async def stop(self) -> None:
        self._ticks.stop()
        for task in self._tasks:
            task.cancel()
        if self._bootstrap.has_row:
            host_id = self._get_membership().local_member.host_id
            try:
                # If this times out, peers delete the row of the removed host.
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await self._delete_row(host_id)
            except TimeoutError:
                log_event(logger, Event.HOST_ROW_NOT_DELETED, host=host_id)

    def note_removed(self, host_id: str) -> None:
        """Record that a member of the failure domain died or left."""
        members = self._get_membership().members
        self._bootstrap.note_removed(host_id, members, time.monotonic())

    def handle_store_restored(self) -> None:
        """Process a restore of the store, which may have brought back older rows."""
        self._run(self._bootstrap.handle_store_restored())

    # Effects

    def _tick(self) -> None:
        members = self._get_membership().members
        self._run(self._bootstrap.tick(time.monotonic(), members))

    def _run(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, ReadRows):
                self._spawn(self._read_rows())
            elif isinstance(effect, JoinPeers):
                self._spawn(self._join_peers(effect.addresses))
            elif isinstance(effect, WriteRow):
                self._spawn(self._write_row())
            elif isinstance(effect, DeleteRow):
                log_event(logger, Event.HOST_ROW_DELETED, host=effect.host_id)
                self._spawn(self._delete_row(effect.host_id))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join_peers(self, addresses: tuple[str, ...]) -> None:
        peers = self._kernel.get("peers")
        results = await asyncio.gather(*(peers.join(a) for a in addresses))
        joined = any(result.joined for result in results)
        previous_phase = self._bootstrap.phase
        self._bootstrap.finish_join(results, time.monotonic())
        metrics = self._kernel.get("metrics")
        if joined:
            metrics.count("join.done")
        else:
            metrics.count("join.failed")
        if joined and previous_phase is not Phase.JOINED:
            count = self._get_membership().count_members()
            log_event(logger, Event.DOMAIN_JOINED, members=count)

    # Rows

    async def _read_rows(self) -> None:
        """Read the rows of all groups; rows of other groups are used as contacts."""
        group = self._get_membership().local_member.gossip_group
        scanned = await self._kernel.get("table").scan(HOST_PREFIX, limit=SCAN_LIMIT)
        rows = (
            None if isinstance(scanned, Refusal) else self._decode_rows(scanned, group)
        )
        if rows is not None and len(scanned) == SCAN_LIMIT:
            # The scan may be incomplete.
            rows = None
        own_id = self._get_membership().local_member.host_id
        self.is_only_host = rows is not None and {r.host_id for r in rows} <= {own_id}
        members = self._get_membership().members
        self._run(self._bootstrap.receive_rows(rows, members, time.monotonic()))

    def _decode_rows(self, scanned, group: str) -> list[HostRow]:
        """Decode the rows of a group; add the hosts of other groups as contacts."""
        rows: list[HostRow] = []
        for row in scanned:
            parts = row.key.split("/")
            try:
                if len(parts) != ROW_KEY_PARTS:
                    raise msgspec.ValidationError(f"key {row.key!r}")
                body = _ROW_DECODER.decode(row.value)
            except DECODING_ERRORS as error:
                self._kernel.get("metrics").count("host_row.malformed")
                log_event(
                    logger, Event.HOST_ROW_MALFORMED, row=row.key[:80], error=error
                )
                continue
            _, row_group, host_id = parts
            if row_group == group:
                rows.append(HostRow(host_id, body.peer_address, body.written_at))
            else:
                remote = self._kernel.get("summaries").remote
                remote.add_contact(row_group, body.peer_address, time.monotonic())
        return rows

    async def _write_row(self) -> None:
        local_member = self._get_membership().local_member
        body = HostRowBody(
            peer_address=local_member.peer_address, written_at=time.time()
        )
        value = msgspec.json.encode(body)
        table = self._kernel.get("table")
        key = self._get_row_key(local_member.host_id)
        self._kernel.get("metrics").count("host_row.written")
        written = await table.insert(key, value)
        if written is False:
            row = await table.read(key)
            if not isinstance(row, Refusal) and row is not None:
                written = await table.update(key, value, row.tag)
        if written is True:
            self._bootstrap.has_row = True

    async def _delete_row(self, host_id: str) -> None:
        self._kernel.get("metrics").count("host_row.deleted")
        await self._kernel.get("table").delete(self._get_row_key(host_id))

    def _get_row_key(self, host_id: str) -> str:
        local_member = self._get_membership().local_member
        return f"{HOST_PREFIX}{local_member.gossip_group}/{host_id}"

    def _get_membership(self):
        return self._kernel.get("gossip").membership
