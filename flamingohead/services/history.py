"""The history of configuration versions, read from the version log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.changes import Change, apply_change, compute_change
from flamingohead.core.differences import Difference, describe_change
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import Snapshot

if TYPE_CHECKING:
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

SCAN_LIMIT = 500
MAX_LISTED_VERSIONS = 1000


@dataclass(frozen=True)
class VersionSummary:
    """Describe an accepted version; ``accepted_at`` is in seconds since the epoch."""

    version: int
    change_id: str
    author: str
    accepted_at: float
    touched: int


class HistoryService:
    """Read and compare earlier versions from the version log."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    async def list_versions(self, limit: int) -> list[VersionSummary] | Refusal:
        """Return the newest ``limit`` versions, newest first."""
        configuration = self._kernel.get("configuration")
        refusal = await configuration.catch_up()
        if refusal is not None:
            return refusal
        newest = configuration.replica.version
        records = await self._read_records(newest - limit, newest)
        if isinstance(records, Refusal):
            return records
        return [_summarize(record) for record in reversed(records)]

    async def read_snapshot(self, version: int) -> Snapshot | Refusal:
        """Return the snapshot of a version."""
        current = self._kernel.get("configuration").replica.snapshot
        if current.version == version:
            return current
        snapshot = await self._kernel.get("configuration").read_stored_snapshot(version)
        if isinstance(snapshot, Refusal):
            return snapshot
        records = await self._read_records(snapshot.version, version)
        if isinstance(records, Refusal):
            return records
        for record in records:
            if record.change is None:
                return _refuse_damaged_snapshot(record)
            snapshot = apply_change(snapshot, record.change, version=record.version)
        if snapshot.version != version:
            return Refusal(ErrorKind.NOT_FOUND, f"there is no version {version}")
        return snapshot

    async def compare(self, before: int, after: int) -> list[Difference] | Refusal:
        """Return the differences between two versions."""
        first = await self.read_snapshot(before)
        if isinstance(first, Refusal):
            return first
        second = await self.read_snapshot(after)
        if isinstance(second, Refusal):
            return second
        change = compute_change(first, second.resources.values())
        return describe_change(first.resources, change)

    async def _read_records(
        self, after: int, last: int
    ) -> list[VersionRecord] | Refusal:
        configuration = self._kernel.get("configuration")
        records: list[VersionRecord] = []
        position = max(after, 0)
        while position < last:
            limit = min(SCAN_LIMIT, last - position)
            page = await configuration.read_records(position, limit)
            if isinstance(page, Refusal):
                return page
            if not page:
                break
            records += page
            position = page[-1].version
        return records


def _refuse_damaged_snapshot(record: VersionRecord) -> Refusal:
    detail = f"version {record.version} is kept as a whole snapshot, which is damaged"
    return Refusal(ErrorKind.NOT_FOUND, detail)


def _summarize(record: VersionRecord) -> VersionSummary:
    change = record.change or Change()
    touched = len(change.upserts) + len(change.removals)
    return VersionSummary(
        record.version, record.change_id, record.author, record.accepted_at, touched
    )
