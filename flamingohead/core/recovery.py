"""Catching up with the log from the platform.

A replica that is far behind starts from the newest usable whole snapshot; a damaged
object leads to an older snapshot, or past the damaged version to a newer one. While
the object store is away, a short gap is read from the log alone; a long one is left
to the peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_SNAPSHOT, Snapshot
from flamingohead.core.storage import (
    ListSnapshots,
    LoadChange,
    LoadSnapshot,
    ReadLog,
    ReportDamaged,
    TakeRecords,
    TakeSnapshot,
    UnreadableRow,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.storage import Procedure
    from flamingohead.core.versions import VersionRecord

PAGE_ROWS = 100
SNAPSHOT_CANDIDATES = 3
MAX_LOG_GAP = 1_000
DAMAGED_CHANGE = "its change is missing or corrupted in the object store"


class Recovery:
    """Read the log to its end from the version held; ``run`` is the procedure."""

    def __init__(self, held: int) -> None:
        self._held = held
        self._snapshots_tried = False

    def run(self) -> Procedure[Refusal | None]:
        """Return ``None`` once the end of the log is held, or why it is not."""
        if self._held == 0:
            refusal = yield from self._take_stored_snapshot()
            if refusal is not None:
                return refusal
        while True:
            rows = (yield ReadLog(self._held, PAGE_ROWS)).value
            if isinstance(rows, Refusal):
                return rows
            problem = yield from self._take_rows(rows)
            if problem is None and len(rows) < PAGE_ROWS:
                return None
            before = self._held
            if problem is not None:
                yield from self._take_newest(reversed(rows))
            if self._held == before:
                refusal = yield from self._take_stored_snapshot()
                if refusal is not None:
                    return refusal
            if problem is not None and self._held == before:
                return problem

    def _take_rows(self, rows: list) -> Procedure[Refusal | None]:
        """Take rows in order up to the first that can't be taken."""
        records: list[VersionRecord] = []
        problem: Refusal | None = None
        for row in rows:
            record = yield from self._load_record(row)
            if isinstance(record, Refusal):
                problem = record
                break
            records.append(record)
        if records:
            self._held = (yield TakeRecords(tuple(records))).value
            if self._held < records[-1].version:
                problem = _describe_damage(self._held + 1, "it was not taken")
        return problem

    def _load_record(
        self, row: VersionRecord | UnreadableRow
    ) -> Procedure[VersionRecord | Refusal]:
        if isinstance(row, UnreadableRow):
            return (yield from self._report(row.version, row.reason))
        if row.change is not None:
            return row
        if not row.change_digest:
            return _describe_damage(row.version, "it is kept as a whole snapshot only")
        record = (yield LoadChange(row)).value
        if record is None:
            return (yield from self._report(row.version, DAMAGED_CHANGE))
        return record

    def _take_stored_snapshot(self) -> Procedure[Refusal | None]:
        """Take the newest usable stored snapshot that is newer than the one held."""
        if self._snapshots_tried:
            return None
        self._snapshots_tried = True
        rows = (yield ListSnapshots(SNAPSHOT_CANDIDATES)).value
        if isinstance(rows, Refusal):
            return rows
        return (yield from self._take_newest(rows))

    def _take_newest(
        self, rows: Iterable[VersionRecord | UnreadableRow]
    ) -> Procedure[Refusal | None]:
        """Take the first usable stored snapshot that rows name."""
        for row in rows:
            if isinstance(row, UnreadableRow) or row.version <= self._held:
                continue
            if not row.snapshot_object:
                continue
            snapshot = (yield LoadSnapshot(row)).value
            if isinstance(snapshot, Refusal):
                is_near = row.version - self._held <= MAX_LOG_GAP
                return None if is_near else snapshot
            if snapshot is None:
                yield from self._report(row.version, "its stored snapshot is damaged")
                continue
            held = (yield TakeSnapshot(snapshot, row.snapshot_digest)).value
            if held >= row.version:
                self._held = held
                return None
        return None

    def _report(self, version: int, reason: str) -> Procedure[Refusal]:
        refusal = _describe_damage(version, reason)
        yield ReportDamaged(version, refusal)
        return refusal


def read_records(after: int, limit: int) -> Procedure[list[VersionRecord] | Refusal]:
    """Return records of the log with their changes, or why one can't be read."""
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
    """Return the newest usable stored snapshot up to a version, or the empty one."""
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
