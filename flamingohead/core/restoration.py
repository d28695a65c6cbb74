"""Writing records again that the log has lost.

A store that came back from an earlier copy lacks the newest records of the log, while
daemons still hold them. Rows are inserted under the condition of their absence, so that
any number of daemons may do it at once.
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
    """Insert the records that the log lacks; return how many were inserted.

    ``records`` follow one another. A log that holds another record under one of their
    versions is left alone: ``VERSION_CONFLICT``.
    """
    if not records:
        return 0
    rows = (yield ReadLog(records[0].version - 1, len(records))).value
    if isinstance(rows, Refusal):
        return rows
    held = {row.version: row for row in rows}
    inserted = 0
    for record in records:
        row = held.get(record.version)
        if row is None:
            stored = (yield StoreChange(record)).value
            if isinstance(stored, Refusal):
                return stored
            result = (yield InsertRecord(stored)).value
            if isinstance(result, Refusal):
                return result
            inserted += result
        elif _differs(row, record):
            detail = f"the log holds another version {record.version}"
            return Refusal(ErrorKind.VERSION_CONFLICT, detail)
    return inserted


def _differs(row: VersionRecord | UnreadableRow, record: VersionRecord) -> bool:
    if isinstance(row, UnreadableRow):
        return False
    return row.snapshot_digest != record.snapshot_digest
