"""Fakes of the core's interfaces, for tests of procedures under faults."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from flamingohead.core.dissemination import Dissemination
from flamingohead.core.recovery import Recovery
from flamingohead.core.resources import Pool, Rank, Route, Service
from flamingohead.core.storage import (
    ApplyRecords,
    ApplySnapshot,
    CatchUp,
    IndexSnapshot,
    InsertRecord,
    ListSnapshots,
    LoadChange,
    LoadSnapshot,
    ReadLog,
    Reply,
    ReportDamaged,
    StoreChange,
    StoreSnapshot,
)
from flamingohead.core.versions import Replica

if TYPE_CHECKING:
    from flamingohead.core.resources import Resource, Snapshot
    from flamingohead.core.storage import Operation, Procedure
    from flamingohead.core.versions import VersionRecord

WRITE_OPERATIONS = (InsertRecord, StoreChange, StoreSnapshot, IndexSnapshot)


def create_service_resources(name: str, *, timeout_ms: int = 1000) -> list[Resource]:
    """Return the resources of a service with one pool, rank and route."""
    return [
        Service(name),
        Pool(f"{name}-pool", name),
        Rank("urgent", name, 0, 50, 1.0, 0.5),
        Route(
            f"{name}-route",
            name,
            f"/{name}",
            ("GET",),
            f"{name}-pool",
            "urgent",
            timeout_ms,
            True,
        ),
    ]


class FakePlatform:
    """Store the version log, the snapshot index and the objects in memory."""

    def __init__(self, *, inline_limit: int = 6) -> None:
        self.log: dict[int, VersionRecord] = {}
        self.index: dict[int, VersionRecord] = {}
        self.objects: dict[bytes, object] = {}
        self._inline_limit = inline_limit
        self._handlers = {
            ReadLog: self._read_log,
            InsertRecord: self._insert,
            StoreChange: self._store_change,
            LoadChange: self._load_change,
            StoreSnapshot: self._store_snapshot,
            LoadSnapshot: self._load_snapshot,
            ListSnapshots: self._list_snapshots,
            IndexSnapshot: self._index_snapshot,
        }

    def perform(self, operation: Operation):
        """Perform an operation without any fault."""
        return self._handlers[type(operation)](operation)

    def _read_log(self, operation: ReadLog):
        versions = sorted(v for v in self.log if v > operation.after)
        return [self.log[v] for v in versions[: operation.limit]]

    def _insert(self, operation: InsertRecord) -> bool:
        record = operation.record
        return self.log.setdefault(record.version, record) is record

    def _store_change(self, operation: StoreChange) -> VersionRecord:
        record = operation.record
        if len(record.change.upserts) <= self._inline_limit:
            return record
        digest = hashlib.sha256(repr(record.change).encode()).digest()
        self.objects[digest] = record.change
        return replace(record, change=None, change_digest=digest)

    def _load_change(self, operation: LoadChange):
        change = self.objects.get(operation.record.change_digest)
        return None if change is None else replace(operation.record, change=change)

    def _store_snapshot(self, operation: StoreSnapshot) -> bytes:
        digest = hashlib.sha256(operation.snapshot.digest).digest()
        self.objects[digest] = operation.snapshot
        return digest

    def _load_snapshot(self, operation: LoadSnapshot) -> Snapshot | None:
        return self.objects.get(operation.record.snapshot_object)

    def _list_snapshots(self, operation: ListSnapshots):
        versions = sorted(self.index, reverse=True)
        if operation.up_to is not None:
            versions = [v for v in versions if v <= operation.up_to]
        return [self.index[v] for v in versions[: operation.limit]]

    def _index_snapshot(self, operation: IndexSnapshot) -> bool:
        record = replace(operation.record, change=None)
        return self.index.setdefault(record.version, record) is record


class FakeDaemon:
    """Perform operations on a replica, and all others on the platform."""

    def __init__(self, platform: FakePlatform, *, seed: int = 0) -> None:
        self.platform = platform
        self.dissemination = Dissemination(Replica(), random=Random(seed))
        self.effects: list = []

    @property
    def replica(self) -> Replica:
        return self.dissemination.replica

    def perform(self, operation: Operation, now: float = 0.0):
        """Perform an operation without any fault."""
        if isinstance(operation, ApplyRecords):
            effects = self.dissemination.receive_records(operation.records, now)
        elif isinstance(operation, ApplySnapshot):
            effects = self.dissemination.receive_snapshot(
                operation.snapshot, operation.digest, now
            )
        elif isinstance(operation, ReportDamaged):
            effects = self.dissemination.report_rejected(
                operation.version, operation.refusal, now
            )
        elif isinstance(operation, CatchUp):
            return self.catch_up(now) or self.replica.snapshot
        else:
            return self.platform.perform(operation)
        self.effects += effects
        return self.replica.version

    def catch_up(self, now: float = 0.0):
        """Run a recovery without faults; return its refusal or ``None``."""
        runner = ProcedureRunner(Recovery(self.replica.version).run())
        while runner.operation is not None:
            runner.reply(self.perform(runner.operation, now), now)
        return runner.result


class ProcedureRunner:
    """Advance a procedure one operation at a time."""

    def __init__(self, procedure: Procedure) -> None:
        self._procedure = procedure
        self.result = None
        self.operation: Operation | None = next(procedure)

    def reply(self, value, now: float = 0.0) -> None:
        """Send the result of the current operation, and advance to the next one."""
        try:
            self.operation = self._procedure.send(Reply(value, now))
        except StopIteration as end:
            self.operation = None
            self.result = end.value
