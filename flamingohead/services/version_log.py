"""The configuration service of a daemon whose source is the version log."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.acceptance import Acceptance, Accepted, ChangeRequest
from flamingohead.core.dissemination import ReadTable
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.recovery import Recovery, read_records, read_stored_snapshot
from flamingohead.core.restoration import restore_log
from flamingohead.core.storage import (
    ApplyRecords,
    ApplySnapshot,
    CatchUp,
    Reply,
    ReportDamaged,
)
from flamingohead.events import Event, log_event
from flamingohead.services.configuration import ConfigurationService
from flamingohead.services.log import OPERATIONS

if TYPE_CHECKING:
    from flamingohead.core.dissemination import Dissemination, DisseminationEffect
    from flamingohead.core.resources import Resource, Snapshot
    from flamingohead.core.storage import Operation, Procedure
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

ACCEPT_TIMEOUT_SECONDS = 6.0
# Jitter of the daemons that restore lost records, and of their retries.
RESTORE_JITTER_SECONDS = 1.0


class VersionLogService(ConfigurationService):
    """Read new records of the version log, and append the changes of operators."""

    def __init__(self, kernel: Kernel, dissemination: Dissemination) -> None:
        super().__init__(kernel, dissemination)
        self._recovery_task: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._kernel.get("eras").listeners.append(self._handle_store_restored)

    def _handle_store_restored(self) -> None:
        self._spawn(self._restore_log())

    async def _restore_log(self) -> None:
        """Restore the records that the log lost when the store was restored."""
        while True:
            # All daemons detect the restored store at about the same time.
            await asyncio.sleep(self._random.uniform(0.5, 1.0) * RESTORE_JITTER_SECONDS)
            records = tuple(self.replica.records.values())
            outcome = await self._run_procedure(restore_log(records))
            if not isinstance(outcome, Refusal):
                log_event(logger, Event.LOG_RESTORED, inserted=outcome)
                return
            if outcome.kind is ErrorKind.VERSION_CONFLICT:
                log_event(logger, Event.LOG_CONFLICT, reason=outcome.detail)
                return

    def _perform(self, effect: DisseminationEffect) -> None:
        if isinstance(effect, ReadTable):
            self._spawn(self.catch_up())
        else:
            super()._perform(effect)

    # The log

    async def catch_up(self) -> Refusal | None:
        """Read the log to its end; return a refusal if that fails.

        Concurrent callers share one read.
        """
        if self._recovery_task is None or self._recovery_task.done():
            self._recovery_task = self._spawn(self._read_log_to_end())
        return await asyncio.shield(self._recovery_task)

    async def _read_log_to_end(self) -> Refusal | None:
        refusal = await self._run_procedure(Recovery(self.replica.version).run())
        self.record_source_read(succeeded=refusal is None)
        return refusal

    async def read_records(
        self, after: int, limit: int
    ) -> list[VersionRecord] | Refusal:
        """Return up to ``limit`` records after a version, with their changes."""
        return await self._run_procedure(read_records(after, limit))

    async def read_stored_snapshot(self, version: int) -> Snapshot | Refusal:
        """Return the newest stored snapshot that is at most as new as ``version``."""
        return await self._run_procedure(read_stored_snapshot(version))

    async def accept(
        self,
        resources: list[Resource],
        *,
        change_id: str,
        author: str,
        base_version: int,
    ) -> Accepted | Refusal:
        """Accept ``resources`` as the version that follows ``base_version``.

        The result is ``VERSION_CONFLICT`` if another change was accepted after
        ``base_version``. After ``CHANGE_OUTCOME_UNKNOWN``, the caller may retry with
        the same change id and base version.
        """
        request = ChangeRequest(
            tuple(resources),
            change_id,
            author,
            base_version,
            accepted_at=time.time(),
            deadline=time.monotonic() + ACCEPT_TIMEOUT_SECONDS,
        )
        outcome = await self._run_procedure(
            Acceptance(request, random=self._random).run()
        )
        if isinstance(outcome, Refusal):
            return outcome
        log_event(
            logger,
            Event.VERSION_ACCEPTED,
            version=outcome.version,
            change=change_id,
            author=author,
        )
        self._spawn(self.catch_up())
        return outcome

    # Procedures

    async def _run_procedure(self, procedure: Procedure):
        """Perform the operations that a procedure yields; return its result."""
        try:
            operation = next(procedure)
            while True:
                value = await self._perform_operation(operation)
                operation = procedure.send(Reply(value, time.monotonic()))
        except StopIteration as end:
            return end.value

    async def _perform_operation(self, operation: Operation):
        if isinstance(operation, ApplyRecords):
            return self._apply_records(operation.records)
        if isinstance(operation, ApplySnapshot):
            return self._apply_snapshot(operation.snapshot, operation.digest)
        if isinstance(operation, ReportDamaged):
            now = time.monotonic()
            self._run(
                self._dissemination.report_rejected(
                    operation.version, operation.refusal, now
                )
            )
            return None
        if isinstance(operation, CatchUp):
            return await self.catch_up() or self.replica.snapshot
        return await OPERATIONS[type(operation)](self._kernel, operation)
