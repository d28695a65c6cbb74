"""Recovery of a replica from the log and the object store of the platform.

A replica that is far behind starts from the newest usable stored snapshot. If an object
is damaged, recovery falls back to an older snapshot, or skips the damaged version by
means of a newer one. While the object store is unavailable, a short gap is read from
the log alone, and a long gap is left to pulls from peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_SNAPSHOT, Snapshot
from flamingohead.core.storage import (
    ApplyRecords,
    ApplySnapshot,
    ListSnapshots,
    LoadChange,
    LoadSnapshot,
    ReadLog,
    ReportDamaged,
    UnreadableRow,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.storage import Procedure
    from flamingohead.core.versions import VersionRecord

PAGE_ROWS = 100
SNAPSHOT_CANDIDATES = 3
MAX_LOG_READ = 1_000
DAMAGED_CHANGE = "its change is missing or corrupted in the object store"


class Recovery:
    """Read the log from a version to its end; ``run`` is the procedure."""

    def __init__(self, version: int) -> None:
        self._version = version
        self._snapshots_tried = False

    def run(self) -> Procedure[Refusal | None]:
        """Return ``None`` once the end of the log is reached, or why it can't be."""
        if self._version == 0:
            refusal = yield from self._apply_stored_snapshot()
            if refusal is not None:
                return refusal
        while True:
            rows = (yield ReadLog(self._version, PAGE_ROWS)).value
            if isinstance(rows, Refusal):
                return rows
            problem = yield from self._apply_rows(rows)
            if problem is None and len(rows) < PAGE_ROWS:
                return None
            previous_version = self._version
            if problem is not None:
                yield from self._apply_newest_snapshot(reversed(rows))
            if self._version == previous_version:
                refusal = yield from self._apply_stored_snapshot()
                if refusal is not None:
                    return refusal
            if problem is not None and self._version == previous_version:
                return problem

    def _apply_rows(self, rows: list) -> Procedure[Refusal | None]:
        """Apply rows in order up to the first that can't be applied."""
        records: list[VersionRecord] = []
        problem: Refusal | None = None
        for row in rows:
            record = yield from self._load_record(row)
            if isinstance(record, Refusal):
                problem = record
                break
            records.append(record)
        if records:
            self._version = (yield ApplyRecords(tuple(records))).value
            if self._version < records[-1].version:
                problem = _describe_damage(self._version + 1, "it was not taken")
        return problem

    def _load_record(
        self, row: VersionRecord | UnreadableRow
    ) -> Procedure[VersionRecord | Refusal]:
        if isinstance(row, UnreadableRow):
            return (yield from self._report_damage(row.version, row.reason))
        if row.change is not None:
            return row
        if not row.change_digest:
            return _describe_damage(row.version, "it is kept as a whole snapshot only")
        record = (yield LoadChange(row)).value
        if record is None:
            return (yield from self._report_damage(row.version, DAMAGED_CHANGE))
        return record

    def _apply_stored_snapshot(self) -> Procedure[Refusal | None]:
        """Apply the newest usable stored snapshot if it is newer than the replica's."""
        if self._snapshots_tried:
            return None
        self._snapshots_tried = True
        rows = (yield ListSnapshots(SNAPSHOT_CANDIDATES)).value
        if isinstance(rows, Refusal):
            return rows
        return (yield from self._apply_newest_snapshot(rows))

    def _apply_newest_snapshot(
        self, rows: Iterable[VersionRecord | UnreadableRow]
    ) -> Procedure[Refusal | None]:
        """Apply the first usable stored snapshot that one of ``rows`` refers to."""
        for row in rows:
            if isinstance(row, UnreadableRow) or row.version <= self._version:
                continue
            if not row.snapshot_object:
                continue
            snapshot = (yield LoadSnapshot(row)).value
            if isinstance(snapshot, Refusal):
                is_near = row.version - self._version <= MAX_LOG_READ
                return None if is_near else snapshot
            if snapshot is None:
                yield from self._report_damage(
                    row.version, "its stored snapshot is damaged"
                )
                continue
            version = (yield ApplySnapshot(snapshot, row.snapshot_digest)).value
            if version >= row.version:
                self._version = version
                return None
        return None

    def _report_damage(self, version: int, reason: str) -> Procedure[Refusal]:
        refusal = _describe_damage(version, reason)
        yield ReportDamaged(version, refusal)
        return refusal


def read_records(after: int, limit: int) -> Procedure[list[VersionRecord] | Refusal]:
    """Return log records with their changes, or why one of them can't be read."""
    rows = (yield ReadLog(after, limit)).value
    if isinstance(rows, Refusal):
        return rows
    records = []
    for row in rows:
        if isinstance(row, UnreadableRow):
            return _describe_damage(row.version, row.reason)
        record = row
        if row.change is None and row.change_digest:
            record = (yield LoadChange(row)).value
        if record is None:
            return _describe_damage(row.version, DAMAGED_CHANGE)
        if isinstance(record, Refusal):
            return record
        records.append(record)
    return records


def read_stored_snapshot(version: int) -> Procedure[Snapshot | Refusal]:
    """Return the newest usable stored snapshot up to ``version``, or the empty one."""
    rows = (yield ListSnapshots(SNAPSHOT_CANDIDATES, up_to=version)).value
    if isinstance(rows, Refusal):
        return rows
    for row in rows:
        if isinstance(row, UnreadableRow):
            continue
        snapshot = (yield LoadSnapshot(row)).value
        if isinstance(snapshot, Snapshot) and snapshot.digest == row.snapshot_digest:
            return snapshot
    return EMPTY_SNAPSHOT


def _describe_damage(version: int, reason: str) -> Refusal:
    return Refusal(ErrorKind.INVALID_CONFIGURATION, f"version {version}: {reason}")
