"""The version log: records, the digest chain and the local replica."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from flamingohead.core.changes import Change, apply_change, compare_resources
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_SNAPSHOT, Snapshot
from flamingohead.core.validation import validate_snapshot

KEPT_RECORDS = 256
KEPT_RESOURCES = 10_000
# Changes of the source kept for those who missed them; a storm brings two a second.
KEPT_SOURCE_RECORDS = 16


@dataclass(frozen=True)
class VersionRecord:
    """Describe one accepted version.

    ``change`` is ``None`` while the change is only known by ``change_digest``
    in the object store. ``snapshot_object`` is the digest of the object that holds
    the whole snapshot, or empty. With neither a change nor its digest, the version
    is taken from its whole snapshot alone. ``accepted_at`` is in seconds since the
    epoch. A record with a ``base_version`` tells what changes with a version that the
    source numbers itself; the source vouches for it, and there are no digests.
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
    def applies_to(self) -> int:
        """Return the version that the change applies to."""
        return self.base_version or self.version - 1


def build_record(
    base: Snapshot,
    change: Change,
    *,
    change_id: str,
    author: str,
    accepted_at: float,
) -> VersionRecord | Refusal:
    """Return the record that follows ``base``, or the reason it is invalid."""
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
    """Return the record that turns one version of the source into another."""
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
    """Keep the last changes in their order, for daemons that missed some."""

    def __init__(self) -> None:
        self._records: dict[int, VersionRecord] = {}

    @property
    def newest(self) -> VersionRecord | None:
        """Return the record of the newest version, if there is one."""
        return next(reversed(self._records.values()), None)

    def add(self, record: VersionRecord) -> None:
        """Add the newest record; one on another base starts anew."""
        newest = self.newest
        if newest is not None and newest.version != record.base_version:
            self._records.clear()
        self._records[record.base_version] = record
        while len(self._records) > KEPT_SOURCE_RECORDS:
            del self._records[next(iter(self._records))]

    def clear(self) -> None:
        """Forget every record."""
        self._records.clear()

    def list_after(self, version: int) -> list[VersionRecord]:
        """Return the records that lead on from a version, if it was held here."""
        found: list[VersionRecord] = []
        while version in self._records:
            found.append(self._records[version])
            version = found[-1].version
        return found


class Replica:
    """Hold the snapshot in force on one daemon and the records behind it.

    The version only grows. A record or snapshot is taken whole or refused.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        self.snapshot = snapshot
        self.records: OrderedDict[int, VersionRecord] = OrderedDict()
        self.source_records = RecordChain()
        self._kept_resources = 0

    @property
    def version(self) -> int:
        return self.snapshot.version

    def take_record(self, record: VersionRecord) -> Snapshot | Refusal | None:
        """Apply the next record; return the new snapshot.

        ``None`` means that the record is old or not the next one.
        """
        if record.applies_to != self.version or record.change is None:
            return None
        if record.version <= self.version:
            return None
        if record.base_version:
            return self._take_source_record(record)
        if record.parent_digest != self.snapshot.digest:
            return Refusal(
                ErrorKind.INVALID_CONFIGURATION,
                f"version {record.version} does not follow the digest held",
            )
        snapshot = apply_change(self.snapshot, record.change, version=record.version)
        refusal = check_snapshot(snapshot, record.snapshot_digest, base=self.snapshot)
        if refusal is not None:
            return refusal
        self._remember_record(record)
        self.snapshot = snapshot
        return snapshot

    def _take_source_record(self, record: VersionRecord) -> Snapshot | Refusal:
        """Apply a record of the source, which has no digests."""
        snapshot = apply_change(self.snapshot, record.change, version=record.version)
        refusal = check_snapshot(snapshot, None, base=self.snapshot)
        if refusal is not None:
            return refusal
        self.source_records.add(record)
        return self._replace_snapshot(snapshot)

    def take_snapshot(
        self, snapshot: Snapshot, digest: bytes | None = None
    ) -> Snapshot | Refusal:
        """Replace the snapshot by a newer whole one.

        An older or equal snapshot leaves the one held in force. One that comes from its
        source itself needs no ``digest``.
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
        """Take a snapshot to which no kept record leads."""
        self.records.clear()
        self._kept_resources = 0
        self.snapshot = snapshot
        return snapshot

    def list_records_after(self, version: int) -> list[VersionRecord] | None:
        """Return the records after ``version``; ``None`` if some are not kept."""
        if version >= self.version:
            return []
        if version + 1 not in self.records:
            return None
        return [self.records[n] for n in range(version + 1, self.version + 1)]

    def _remember_record(self, record: VersionRecord) -> None:
        self.records[record.version] = record
        self._kept_resources += record.change.count_resources()
        while len(self.records) > KEPT_RECORDS or self._kept_resources > KEPT_RESOURCES:
            _, dropped = self.records.popitem(last=False)
            self._kept_resources -= dropped.change.count_resources()


def check_snapshot(
    snapshot: Snapshot, digest: bytes | None, *, base: Snapshot | None = None
) -> Refusal | None:
    """Return why a snapshot can't be taken, or ``None``; ``base`` is a valid one."""
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
