"""Acceptance of an operator's change as the next version of the log.

A change based on version B can only become version B + 1, so the row of B + 1 alone
determines its outcome: the row is absent, contains this change or contains another one.
Whatever fails, the operator receives one of these results: accepted, refused, unknown.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.changes import compute_change
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_DIGEST, Resource, Snapshot
from flamingohead.core.storage import (
    CatchUp,
    IndexSnapshot,
    InsertRecord,
    ReadLog,
    StoreChange,
    StoreSnapshot,
    UnreadableRow,
    Wait,
)
from flamingohead.core.versions import VersionRecord, build_record, check_snapshot

if TYPE_CHECKING:
    from random import Random

    from flamingohead.core.storage import Operation, Procedure

SNAPSHOT_PERIOD = 100
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


@dataclass(frozen=True)
class ChangeRequest:
    """Request that ``resources`` become the version after ``base_version``.

    ``accepted_at`` is in seconds since the epoch; ``deadline`` refers to the clock used
    in replies.
    """

    resources: tuple[Resource, ...]
    change_id: str
    author: str
    base_version: int
    accepted_at: float
    deadline: float


@dataclass(frozen=True)
class Accepted:
    """Report the version under which a change was accepted.

    ``changed`` is false if ``version`` already had the requested content, so that no
    new version was created.
    """

    version: int
    change_id: str
    accepted_at: float
    changed: bool = True


class _DeadlinePassedError(Exception):
    """Abort a procedure whose outcome can't be determined before its deadline."""


class Acceptance:
    """Add one change to the log; ``run`` is the procedure."""

    def __init__(self, request: ChangeRequest, *, random: Random) -> None:
        self._request = request
        self._random = random
        self._base_record: VersionRecord | None = None
        self._reason = ""

    def run(self) -> Procedure[Accepted | Refusal]:
        """Yield operations until the outcome is known or the deadline has passed."""
        try:
            outcome = yield from self._find_outcome()
            if outcome is None:
                outcome = yield from self._propose()
        except _DeadlinePassedError:
            return self._describe_unknown()
        return outcome

    def _find_outcome(self) -> Procedure[Accepted | Refusal | None]:
        """Read the rows of the base version and of the next one."""
        base_version = self._request.base_version
        rows = yield from self._retry(
            ReadLog(max(base_version - 1, 0), 2), _is_readable
        )
        found = {row.version: row for row in rows}
        self._base_record = found.get(base_version)
        record = found.get(base_version + 1)
        if record is None:
            return None
        if record.change_id != self._request.change_id:
            return _describe_conflict(record)
        if record.snapshot_digest != self._compute_target_digest():
            return Refusal(
                ErrorKind.VERSION_CONFLICT,
                f"change id {record.change_id!r} was used for another sheet, accepted "
                f"as version {record.version}",
            )
        return Accepted(record.version, record.change_id, record.accepted_at)

    def _propose(self) -> Procedure[Accepted | Refusal]:
        base = yield from self._fetch_base()
        if base is None:
            return (yield from self._propose_snapshot())
        if not isinstance(base, Snapshot):
            return base
        change = compute_change(base, self._request.resources)
        if change.is_empty:
            return self._accept_unchanged()
        record = build_record(
            base,
            change,
            change_id=self._request.change_id,
            author=self._request.author,
            accepted_at=self._request.accepted_at,
        )
        if isinstance(record, Refusal):
            return record
        if record.version % SNAPSHOT_PERIOD == 0:
            record = yield from self._store_snapshot(record)
        record = yield from self._retry(StoreChange(record))
        return (yield from self._insert(record))

    def _propose_snapshot(self) -> Procedure[Accepted | Refusal]:
        """Propose a full snapshot, independent of a base that can't be activated."""
        snapshot = self._build_target_snapshot()
        refusal = check_snapshot(snapshot, snapshot.digest)
        if refusal is not None:
            return refusal
        record = VersionRecord(
            version=snapshot.version,
            parent_digest=self._base_record.snapshot_digest,
            snapshot_digest=snapshot.digest,
            change_id=self._request.change_id,
            author=self._request.author,
            accepted_at=self._request.accepted_at,
            change=None,
        )
        record = yield from self._store_snapshot(record)
        return (yield from self._insert(record))

    def _fetch_base(self) -> Procedure[Snapshot | Accepted | Refusal | None]:
        """Return the base snapshot, verified against its row in the log.

        Return ``None`` if the base version is in the log but can't be activated.
        """
        version = self._request.base_version
        if version > 0 and self._base_record is None:
            detail = f"base version {version} is not in the log"
            return Refusal(ErrorKind.VERSION_CONFLICT, detail)
        snapshot = yield from self._retry(
            CatchUp(), lambda result: _is_damaged(result) or result.version >= version
        )
        if isinstance(snapshot, Refusal):
            return None
        if snapshot.version > version:
            # Read the row of the next version again: either another writer was faster,
            # or the log has lost rows that this daemon still has.
            outcome = yield from self._find_outcome()
            if outcome is not None:
                return outcome
            self._reason = f"the log lacks version {version + 1}, which is in force"
            raise _DeadlinePassedError
        expected = self._base_record.snapshot_digest if version else EMPTY_DIGEST
        if snapshot.digest != expected:
            self._reason = f"version {version} held here differs from the log"
            raise _DeadlinePassedError
        return snapshot

    def _store_snapshot(self, record: VersionRecord) -> Procedure[VersionRecord]:
        snapshot = self._build_target_snapshot()
        digest = yield from self._retry(StoreSnapshot(snapshot))
        return replace(record, snapshot_object=digest)

    def _insert(self, record: VersionRecord) -> Procedure[Accepted | Refusal]:
        wait = INITIAL_BACKOFF_SECONDS
        while True:
            reply = yield InsertRecord(record)
            outcome: Accepted | Refusal | None
            if reply.value is True:
                outcome = Accepted(record.version, record.change_id, record.accepted_at)
            else:
                outcome = yield from self._find_outcome()
            if isinstance(outcome, Accepted) and record.snapshot_object:
                yield IndexSnapshot(record)
            if outcome is not None:
                return outcome
            wait = yield from self._back_off(reply.now, wait)

    def _retry(self, operation: Operation, is_usable=None) -> Procedure:
        """Retry an operation until it succeeds and return its value."""
        wait = INITIAL_BACKOFF_SECONDS
        while True:
            reply = yield operation
            if isinstance(reply.value, Refusal) and not _is_damaged(reply.value):
                self._reason = reply.value.detail
            elif is_usable is None or is_usable(reply.value):
                return reply.value
            wait = yield from self._back_off(reply.now, wait)

    def _back_off(self, now: float, wait: float) -> Procedure[float]:
        """Wait with jitter; return the next, longer wait in seconds."""
        until = now + self._random.uniform(0.5, 1.0) * wait
        if until >= self._request.deadline:
            raise _DeadlinePassedError
        yield Wait(until)
        return min(wait * 2, MAX_BACKOFF_SECONDS)

    def _accept_unchanged(self) -> Accepted:
        record = self._base_record
        accepted_at = record.accepted_at if record else self._request.accepted_at
        return Accepted(
            self._request.base_version,
            self._request.change_id,
            accepted_at,
            changed=False,
        )

    def _build_target_snapshot(self) -> Snapshot:
        resources = {r.key: r for r in self._request.resources}
        return Snapshot.build(self._request.base_version + 1, resources)

    def _compute_target_digest(self) -> bytes:
        return self._build_target_snapshot().digest

    def _describe_unknown(self) -> Refusal:
        return Refusal(
            ErrorKind.CHANGE_OUTCOME_UNKNOWN,
            f"{self._reason or 'no answer in time'}; ask again with change id "
            f"{self._request.change_id!r} and base version "
            f"{self._request.base_version}",
        )


def _is_damaged(value: object) -> bool:
    """Return whether a value reports a version that can never be activated."""
    if not isinstance(value, Refusal):
        return False
    return value.kind is ErrorKind.INVALID_CONFIGURATION


def _is_readable(rows: list) -> bool:
    return not any(isinstance(row, UnreadableRow) for row in rows)


def _describe_conflict(winner: VersionRecord) -> Refusal:
    return Refusal(
        ErrorKind.VERSION_CONFLICT,
        f"version {winner.version} was taken by {winner.author!r} with change "
        f"{winner.change_id!r}",
    )
