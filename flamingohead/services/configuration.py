"""The configuration held by this daemon: polling, pulling, accepting."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from twisted.internet.task import LoopingCall

from flamingohead.core.changes import compute_change
from flamingohead.core.dissemination import (
    ActivateSnapshot,
    Dissemination,
    PullFromPeer,
    PushRecord,
    ReadTable,
    ReportRejected,
)
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.routing import RouteTable
from flamingohead.core.versions import VersionRecord, build_record
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec, peers_pb2 as pb

if TYPE_CHECKING:
    from flamingohead.core.resources import Resource
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD = 0.05
SCAN_LIMIT = 100
MAX_INLINE_CHANGE_BYTES = 64 * 1024
LOG_PREFIX = "log/"


@dataclass(frozen=True)
class Accepted:
    """Report the version under which a change was accepted."""

    version: int
    change_id: str
    accepted_at: float


def get_log_key(version: int) -> str:
    """Return the table key of a version; keys sort by version."""
    return f"{LOG_PREFIX}{version:012d}"


class ConfigurationService:
    """Keep the replica current and accept changes of operators."""

    def __init__(self, kernel: Kernel, dissemination: Dissemination) -> None:
        self._kernel = kernel
        self._dissemination = dissemination
        self._ticks = LoopingCall(self._tick)
        self._tasks: set[asyncio.Task] = set()
        self._reading = False
        self.routes = RouteTable(dissemination.replica.snapshot)
        self.activated_at = 0.0

    @property
    def replica(self):
        return self._dissemination.replica

    async def start(self) -> None:
        self._ticks.start(TICK_PERIOD, now=True)

    async def stop(self) -> None:
        self._ticks.stop()
        for task in self._tasks:
            task.cancel()

    # Events

    def receive_record(self, record: VersionRecord) -> None:
        """Take a record pushed by a peer."""
        now = time.monotonic()
        self._run(self._dissemination.receive_records([record], now))

    def receive_peer_version(self, address: str, version: int) -> None:
        """Note the version that a peer holds."""
        now = time.monotonic()
        self._run(self._dissemination.receive_peer_version(address, version, now))

    def _tick(self) -> None:
        members = self._kernel.get("gossip").membership.count_members()
        self._run(self._dissemination.tick(time.monotonic(), members=members))

    # Effects

    def _run(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, ReadTable):
                self._spawn(self._read_table())
            elif isinstance(effect, PullFromPeer):
                self._spawn(self._pull(effect))
            elif isinstance(effect, PushRecord):
                self._kernel.get("gossip").push_record(effect.record, effect.fanout)
            elif isinstance(effect, ActivateSnapshot):
                self._activate(effect.snapshot)
            elif isinstance(effect, ReportRejected):
                self._report_rejected(effect)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _activate(self, snapshot) -> None:
        self.routes = RouteTable(snapshot)
        self.activated_at = time.time()
        membership = self._kernel.get("gossip").membership
        membership.set_version(snapshot.version, snapshot.digest)
        self._kernel.get("metrics").set_gauge("version", snapshot.version)
        self._kernel.get("slots").set_routes(self.routes)
        log_event(logger, Event.VERSION_ACTIVATED, version=snapshot.version)

    def _report_rejected(self, effect: ReportRejected) -> None:
        self._kernel.get("metrics").count("version.rejected")
        log_event(
            logger,
            Event.VERSION_REJECTED,
            version=effect.version,
            reason=effect.refusal.detail,
        )

    async def _read_table(self) -> None:
        if self._reading:
            return
        self._reading = True
        try:
            await self.catch_up()
        finally:
            self._reading = False

    async def _pull(self, effect: PullFromPeer) -> None:
        request = pb.PullRequest(version=effect.version)
        try:
            reply = await self._kernel.get("peers").call(
                effect.address, "Pull", request
            )
            if isinstance(reply, Refusal):
                return
            now = time.monotonic()
            if reply.HasField("snapshot"):
                snapshot = codec.decode_snapshot(reply.snapshot)
                self._run(
                    self._dissemination.receive_snapshot(
                        snapshot, reply.snapshot.digest, now
                    )
                )
            records = [codec.decode_record(record) for record in reply.records]
            self._run(self._dissemination.receive_records(records, now))
        finally:
            self._dissemination.finish_pull()

    # The log

    async def catch_up(self) -> Refusal | None:
        """Read the log to its end; return a refusal if it can't be read."""
        while True:
            after = get_log_key(self.replica.version)
            rows = await self._kernel.get("table").scan(
                LOG_PREFIX, after=after, limit=SCAN_LIMIT
            )
            if isinstance(rows, Refusal):
                return rows
            records = []
            for row in rows:
                record = await self.load_record(row.value)
                if isinstance(record, Refusal):
                    return record
                records.append(record)
            before = self.replica.version
            self._run(self._dissemination.receive_records(records, time.monotonic()))
            if len(rows) < SCAN_LIMIT or self.replica.version == before:
                return None

    async def load_record(self, data: bytes) -> VersionRecord | Refusal:
        """Decode a row of the log, with its change read from the object store."""
        try:
            record = codec.parse_record(data)
            if record.change is not None:
                return record
            body = await self._kernel.get("objects").read(
                f"changes/{record.change_digest.hex()}"
            )
            if isinstance(body, Refusal):
                return body
            if body is None or hashlib.sha256(body).digest() != record.change_digest:
                detail = f"change of version {record.version} is missing or corrupted"
                return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
            return replace(record, change=codec.parse_change(body))
        except codec.CodecError as error:
            return Refusal(ErrorKind.INVALID_CONFIGURATION, str(error))

    async def accept(
        self,
        resources: list[Resource],
        *,
        change_id: str,
        author: str,
        base_version: int,
    ) -> Accepted | Refusal:
        """Accept the change from the newest version to ``resources``.

        ``base_version`` is the version that the operator saw. A change accepted
        after it by somebody else leads to ``VERSION_CONFLICT``. The same change
        id may be asked for again after a lost answer.
        """
        refusal = await self.catch_up()
        if refusal is not None:
            return refusal
        known = self._find_change(change_id, base_version)
        if known is not None:
            return known
        snapshot = self.replica.snapshot
        if snapshot.version != base_version:
            return self._describe_conflict(base_version + 1)
        change = compute_change(snapshot, resources)
        if change.is_empty:
            return Accepted(snapshot.version, change_id, self.activated_at)
        record = build_record(
            snapshot,
            change,
            change_id=change_id,
            author=author,
            accepted_at=time.time(),
        )
        if isinstance(record, Refusal):
            return record
        return await self._insert(record)

    async def _insert(self, record: VersionRecord) -> Accepted | Refusal:
        stored = await self._offload_change(record)
        if isinstance(stored, Refusal):
            return stored
        data = codec.encode_record(stored).SerializeToString()
        inserted = await self._kernel.get("table").insert(
            get_log_key(record.version), data
        )
        if isinstance(inserted, Refusal):
            return await self._resolve_insert(record, inserted)
        if not inserted:
            return await self._resolve_insert(record, None)
        return self._confirm(record)

    async def _offload_change(self, record: VersionRecord) -> VersionRecord | Refusal:
        body = codec.encode_change(record.change).SerializeToString()
        if len(body) <= MAX_INLINE_CHANGE_BYTES:
            return record
        digest = hashlib.sha256(body).digest()
        written = await self._kernel.get("objects").write(
            f"changes/{digest.hex()}", body
        )
        if isinstance(written, Refusal):
            return written
        return replace(record, change=None, change_digest=digest)

    async def _resolve_insert(
        self, record: VersionRecord, refusal: Refusal | None
    ) -> Accepted | Refusal:
        row = await self._kernel.get("table").read(get_log_key(record.version))
        if isinstance(row, Refusal):
            return row
        if row is None:
            return refusal or Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE, "the row of the winner is not readable"
            )
        if codec.parse_record(row.value).change_id == record.change_id:
            return self._confirm(record)
        await self.catch_up()
        return self._describe_conflict(record.version)

    def _confirm(self, record: VersionRecord) -> Accepted:
        log_event(
            logger,
            Event.VERSION_ACCEPTED,
            version=record.version,
            change=record.change_id,
            author=record.author,
        )
        self.receive_record(record)
        return Accepted(record.version, record.change_id, record.accepted_at)

    def _find_change(self, change_id: str, after: int) -> Accepted | None:
        for record in self.replica.list_records_after(after) or []:
            if record.change_id == change_id:
                return Accepted(record.version, change_id, record.accepted_at)
        return None

    def _describe_conflict(self, version: int) -> Refusal:
        records = self.replica.list_records_after(version - 1) or []
        winner = records[0] if records else None
        detail = f"version {version} was taken"
        if winner is not None:
            detail += f" by {winner.author!r} with change {winner.change_id}"
        return Refusal(ErrorKind.VERSION_CONFLICT, detail)
