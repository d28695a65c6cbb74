"""Version log: records, the digest chain and the local replica."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from flamingohead.core.changes import Change, apply_change, compare_resources
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_SNAPSHOT, Snapshot
from flamingohead.core.validation import validate_snapshot

MAX_RECORDS = 256
MAX_RECORD_RESOURCES = 10_000
# Source changes retained for daemons that missed them; in a burst of changes there are
# two per second.
MAX_SOURCE_RECORDS = 16


@dataclass(frozen=True)
class VersionRecord:
    """Describe one accepted version.

    ``change`` is ``None`` while the change has not been loaded from the object store,
    where ``change_digest`` identifies it. ``snapshot_object`` is the digest of the
    object that contains the full snapshot, or empty. Without a change and its digest,
    the version is only available as a full snapshot. ``accepted_at`` is in seconds
    since the epoch. A record with a ``base_version`` describes a version that the
    source numbers itself; such a record is trusted on the authority of the source and
    has no digests.
    """

    version: int
    parent_digest: bytes
    snapshot_digest: bytes
    change_id: str
    author: str
    accepted_at: float
    change: Change | None
    change_digest: bytes = b""
    snapshot_object: bytes = b""
    base_version: int = 0

    @property
    def required_version(self) -> int:
        """Return the version that the change has to be applied to."""
        return self.base_version or self.version - 1


def build_record(
    base: Snapshot,
    change: Change,
    *,
    change_id: str,
    author: str,
    accepted_at: float,
) -> VersionRecord | Refusal:
    """Return the record of the version after ``base``, or why it is invalid."""
    snapshot = apply_change(base, change, version=base.version + 1)
    problems = validate_snapshot(snapshot, base=base)
    if problems:
        detail = "; ".join(f"{p.key.kind} {p.key.name}: {p.message}" for p in problems)
        return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
    return VersionRecord(
        version=snapshot.version,
        parent_digest=base.digest,
        snapshot_digest=snapshot.digest,
        change_id=change_id,
        author=author,
        accepted_at=accepted_at,
        change=change,
    )


def build_source_record(base: Snapshot, snapshot: Snapshot) -> VersionRecord:
    """Return the record that leads from one version of the source to another."""
    return VersionRecord(
        version=snapshot.version,
        parent_digest=b"",
        snapshot_digest=b"",
        change_id="",
        author="",
        accepted_at=0.0,
        change=compare_resources(base, snapshot.resources),
        base_version=base.version,
    )


class RecordChain:
    """Retain the most recent source records in order, for daemons that missed some."""

    def __init__(self) -> None:
        self._records: dict[int, VersionRecord] = {}

    @property
    def newest(self) -> VersionRecord | None:
        """Return the record of the newest version, or ``None`` if there is none."""
        return next(reversed(self._records.values()), None)

    def add(self, record: VersionRecord) -> None:
        """Append a record; restart the chain if it does not follow the newest one."""
        newest = self.newest
        if newest is not None and newest.version != record.base_version:
            self._records.clear()
        self._records[record.base_version] = record
        while len(self._records) > MAX_SOURCE_RECORDS:
            del self._records[next(iter(self._records))]

    def clear(self) -> None:
        """Remove all records."""
        self._records.clear()

    def list_after(self, version: int) -> list[VersionRecord]:
        """Return the records after ``version``; none if it is not in the chain."""
        successors: list[VersionRecord] = []
        while version in self._records:
            successors.append(self._records[version])
            version = successors[-1].version
        return successors


class Replica:
    """Maintain the active snapshot of a daemon and the records that led to it.

    The version never decreases. A record or snapshot is applied completely or refused.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        self.snapshot = snapshot
        self.records: OrderedDict[int, VersionRecord] = OrderedDict()
        self.source_records = RecordChain()
        self._retained_resource_count = 0

    @property
    def version(self) -> int:
        return self.snapshot.version

    def apply_record(self, record: VersionRecord) -> Snapshot | Refusal | None:
        """Apply the next record and return the new snapshot, or why it is refused.

        Return ``None`` if the record is outdated, has no change or is not the next one.
        """
        if record.required_version != self.version or record.change is None:
            return None
        if record.version <= self.version:
            return None
        if record.base_version:
            return self._apply_source_record(record)
        if record.parent_digest != self.snapshot.digest:
            return Refusal(
                ErrorKind.INVALID_CONFIGURATION,
                f"version {record.version} does not follow the digest held",
            )
        snapshot = apply_change(self.snapshot, record.change, version=record.version)
        refusal = check_snapshot(snapshot, record.snapshot_digest, base=self.snapshot)
        if refusal is not None:
            return refusal
        self._add_record(record)
        self.snapshot = snapshot
        return snapshot

    def _apply_source_record(self, record: VersionRecord) -> Snapshot | Refusal:
        """Apply a record of the source; such records have no digests."""
        snapshot = apply_change(self.snapshot, record.change, version=record.version)
        refusal = check_snapshot(snapshot, None, base=self.snapshot)
        if refusal is not None:
            return refusal
        self.source_records.add(record)
        return self._replace_snapshot(snapshot)

    def apply_snapshot(
        self, snapshot: Snapshot, digest: bytes | None = None
    ) -> Snapshot | Refusal:
        """Replace the active snapshot with a newer one.

        A snapshot that is not newer leaves the active one in place. A snapshot that was
        read directly from the source needs no ``digest``.
        """
        if snapshot.version <= self.version:
            return self.snapshot
        refusal = check_snapshot(snapshot, digest, base=self.snapshot)
        if refusal is not None:
            return refusal
        if digest is None and self.version:
            self.source_records.add(build_source_record(self.snapshot, snapshot))
        else:
            self.source_records.clear()
        return self._replace_snapshot(snapshot)

    def _replace_snapshot(self, snapshot: Snapshot) -> Snapshot:
        """Activate a snapshot and clear the records, which do not lead to it."""
        self.records.clear()
        self._retained_resource_count = 0
        self.snapshot = snapshot
        return snapshot

    def list_records_after(self, version: int) -> list[VersionRecord] | None:
        """Return the records after ``version``; ``None`` if some are not retained."""
        if version >= self.version:
            return []
        if version + 1 not in self.records:
            return None
        return [self.records[n] for n in range(version + 1, self.version + 1)]

    def _add_record(self, record: VersionRecord) -> None:
        self.records[record.version] = record
        self._retained_resource_count += record.change.count_resources()
        while (
            len(self.records) > MAX_RECORDS
            or self._retained_resource_count > MAX_RECORD_RESOURCES
        ):
            _, evicted = self.records.popitem(last=False)
            self._retained_resource_count -= evicted.change.count_resources()


def check_snapshot(
    snapshot: Snapshot, digest: bytes | None, *, base: Snapshot | None = None
) -> Refusal | None:
    """Return why a snapshot can't be activated, or ``None``; ``base`` must be valid."""
    if digest is not None and snapshot.digest != digest:
        return Refusal(
            ErrorKind.INVALID_CONFIGURATION,
            f"version {snapshot.version} does not match its digest",
        )
    problems = validate_snapshot(snapshot, base=base)
    if problems:
        first = problems[0]
        return Refusal(
            ErrorKind.INVALID_CONFIGURATION,
            f"version {snapshot.version}: {first.key.kind} {first.key.name!r}: "
            f"{first.message}",
        )
    return None
