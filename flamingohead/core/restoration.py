"""Restoration of log records that the store has lost.

A store that was restored from a backup lacks the newest records of the log, while
daemons still have them. Rows are inserted only if they do not exist, so that any number
of daemons may restore the log concurrently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.storage import InsertRecord, ReadLog, StoreChange, UnreadableRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingohead.core.storage import Procedure
    from flamingohead.core.versions import VersionRecord


def restore_log(records: Sequence[VersionRecord]) -> Procedure[int | Refusal]:
    """Insert the records that the log lacks; return the number of inserted ones.

    The versions of ``records`` are consecutive. If the log contains a different record
    for one of them, return a refusal with ``VERSION_CONFLICT`` and insert no further
    records.
    """
    if not records:
        return 0
    rows = (yield ReadLog(records[0].version - 1, len(records))).value
    if isinstance(rows, Refusal):
        return rows
    rows_by_version = {row.version: row for row in rows}
    inserted = 0
    for record in records:
        row = rows_by_version.get(record.version)
        if row is None:
            stored = (yield StoreChange(record)).value
            if isinstance(stored, Refusal):
                return stored
            result = (yield InsertRecord(stored)).value
            if isinstance(result, Refusal):
                return result
            inserted += result
        elif _is_different(row, record):
            detail = f"the log holds another version {record.version}"
            return Refusal(ErrorKind.VERSION_CONFLICT, detail)
    return inserted


def _is_different(row: VersionRecord | UnreadableRow, record: VersionRecord) -> bool:
    if isinstance(row, UnreadableRow):
        return False
    return row.snapshot_digest != record.snapshot_digest
