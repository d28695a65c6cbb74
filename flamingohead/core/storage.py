"""Platform operations that the procedures of the core request.

A procedure is a generator that yields one operation at a time and is sent a ``Reply``.
It does no I/O itself, so that tests can delay, drop or reorder events between any two
steps.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from flamingohead.core.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Generator

    from flamingohead.core.resources import Snapshot
    from flamingohead.core.versions import VersionRecord


@dataclass(frozen=True)
class UnreadableRow:
    """Represent a row of the log whose value can't be decoded."""

    version: int
    reason: str


@dataclass(frozen=True)
class ReadLog:
    """Read up to ``limit`` rows after ``after``.

    The reply is a list of records and ``UnreadableRow``s, or a refusal.
    """

    after: int
    limit: int


@dataclass(frozen=True)
class InsertRecord:
    """Insert the row of a version unless it exists.

    The reply is ``True`` if the row was inserted.
    """

    record: VersionRecord


@dataclass(frozen=True)
class StoreChange:
    """Move a change that is too large for a row to the object store.

    The reply is the record to insert, or a refusal if the object can't be read
    back.
    """

    record: VersionRecord


@dataclass(frozen=True)
class LoadChange:
    """Read the change of a record; the reply is ``None`` if it is damaged."""

    record: VersionRecord


@dataclass(frozen=True)
class StoreSnapshot:
    """Write a complete snapshot; the reply is the digest of its object."""

    snapshot: Snapshot


@dataclass(frozen=True)
class LoadSnapshot:
    """Read the snapshot that a record refers to; the reply is ``None`` if damaged."""

    record: VersionRecord


@dataclass(frozen=True)
class ListSnapshots:
    """Read the records of stored snapshots up to a version, newest first."""

    limit: int
    up_to: int | None = None


@dataclass(frozen=True)
class IndexSnapshot:
    """Add the stored snapshot of a record to the index of snapshots."""

    record: VersionRecord


@dataclass(frozen=True)
class ApplyRecords:
    """Offer records to the replica; the reply is its version afterwards."""

    records: tuple[VersionRecord, ...]


@dataclass(frozen=True)
class ApplySnapshot:
    """Offer a snapshot to the replica; the reply is its version afterwards."""

    snapshot: Snapshot
    digest: bytes


@dataclass(frozen=True)
class ReportDamaged:
    """Report that the platform's stored data of a version is unusable."""

    version: int
    refusal: Refusal


@dataclass(frozen=True)
class CatchUp:
    """Advance the replica to the end of the log; the reply is its snapshot."""


@dataclass(frozen=True)
class Wait:
    """Wait until a time on the clock of ``Reply.now``."""

    until: float


Operation = (
    ReadLog
    | InsertRecord
    | StoreChange
    | LoadChange
    | StoreSnapshot
    | LoadSnapshot
    | ListSnapshots
    | IndexSnapshot
    | ApplyRecords
    | ApplySnapshot
    | ReportDamaged
    | CatchUp
    | Wait
)


@dataclass(frozen=True)
class Reply:
    """Carry the result of an operation and the time at which it ended."""

    value: Any
    now: float


if TYPE_CHECKING:
    from typing import TypeVar

    Result = TypeVar("Result")
    Procedure = Generator[Operation, Reply, Result]
