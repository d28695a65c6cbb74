"""The configuration row of the platform's store, followed as it changes."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.following import FollowPace
from flamingohead.events import Event, log_event
from flamingohead.platform.documents import DocumentReader
from flamingohead.platform.store import HistoryDropped, RowPage, StoredRow

if TYPE_CHECKING:
    from flamingohead.core.eras import StoreVersion
    from flamingohead.core.resources import Snapshot
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TABLE = "op"
CONFIGURATION_KEY = "config"
# The platform allows 30 s. A connection that has gone silent is noticed before, by its
# keep-alive probes.
FEED_WAIT_SECONDS = 25.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0


class ConfigurationFeed:
    """Hand each configuration that operators write to the configuration service."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._task: asyncio.Task | None = None
        self._question: asyncio.Task | None = None
        self._was_dropped = False
        self._retry_wait = FIRST_RETRY_SECONDS
        self._documents = DocumentReader()
        self._pace = FollowPace()

    async def start(self) -> None:
        self._kernel.get("eras").listeners.append(self._interrupt)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        self._interrupt()

    async def _run(self) -> None:
        while True:
            version = await self._read()
            while version is not None:
                version = await self._follow_if_needed(version)
            await self._wait()

    async def read(self) -> None:
        """Read the newest configuration once."""
        await self._read()

    async def _follow_if_needed(self, version: StoreVersion) -> StoreVersion | None:
        """Follow the row, or read it when others no longer do so for this daemon."""
        subscription = self._kernel.get("subscription")
        if subscription.is_needed:
            return await self._follow(version)
        await subscription.wait_until_needed()
        return await self._read()

    async def _read(self) -> StoreVersion | None:
        """Read the row; return the store's version, or ``None`` if that failed."""
        asked_at = time.monotonic()
        page = await self._kernel.get("store").read_rows(
            TABLE, "", first_key=CONFIGURATION_KEY, limit=1
        )
        if isinstance(page, Refusal):
            self._note_failure()
            return None
        self._take_rows(page.rows, asked_at)
        return page.version

    def _interrupt(self) -> None:
        """End the open question, which may never be answered any more."""
        if self._question is not None:
            self._question.cancel()

    async def _ask(self, version: StoreVersion) -> RowPage | HistoryDropped | Refusal:
        question = self._kernel.get("store").follow_rows(
            TABLE, version, wait=FEED_WAIT_SECONDS
        )
        self._question = asyncio.get_running_loop().create_task(question)
        # Unlike the feed's own end, that of the question is no error here.
        await asyncio.wait([self._question])
        if self._question.cancelled():
            return HistoryDropped()
        return self._question.result()

    async def _follow(self, version: StoreVersion) -> StoreVersion | None:
        asked_at = time.monotonic()
        page = await self._ask(version)
        was_dropped, self._was_dropped = self._was_dropped, False
        if isinstance(page, HistoryDropped):
            if was_dropped:
                await self._wait()
            self._was_dropped = True
            return await self._read()
        if isinstance(page, Refusal):
            self._note_failure()
            return None
        changed = self._take_rows(page.rows, asked_at)
        now = time.monotonic()
        next_at = self._pace.note_answer(asked_at=asked_at, now=now, changed=changed)
        if next_at > now:
            await asyncio.sleep(next_at - now)
        return page.version

    def _take_rows(self, rows: tuple[StoredRow, ...], asked_at: float) -> bool:
        """Take the newest configuration among the rows; tell whether there was one."""
        self._retry_wait = FIRST_RETRY_SECONDS
        self._kernel.get("subscription").note_source(reached=True)
        configuration = self._kernel.get("configuration")
        values = [r for r in rows if r.key == CONFIGURATION_KEY and r.value is not None]
        if values:
            row = values[-1]
            read_at = time.monotonic()
            snapshot = self._documents.read(row.value)
            self._log_read(snapshot, row, asked_at, read_at)
            if isinstance(snapshot, Refusal):
                configuration.reject_document(
                    configuration.replica.version + 1, snapshot
                )
            else:
                self._check_content(snapshot, configuration.replica.snapshot)
                configuration.receive_document(snapshot)
        found = bool(values or configuration.replica.version)
        configuration.finish_source_read(succeeded=True, found=found)
        return bool(values)

    def _check_content(self, found: Snapshot, held: Snapshot) -> None:
        """Report a version that the source has given out twice."""
        if found.version == held.version and found.resources != held.resources:
            log_event(logger, Event.SOURCE_DIFFERS, version=found.version)

    def _log_read(
        self,
        snapshot: Snapshot | Refusal,
        row: StoredRow,
        asked_at: float,
        read_at: float,
    ) -> None:
        self._kernel.get("metrics").count("source.bytes", len(row.value))
        refused = isinstance(snapshot, Refusal)
        log_event(
            logger,
            Event.SOURCE_READ,
            held=self._kernel.get("configuration").replica.version,
            found="unreadable" if refused else snapshot.version,
            seconds=round(read_at - asked_at, 3),
            decoding_seconds=round(time.monotonic() - read_at, 3),
            bytes=len(row.value),
            row=row.version,
        )

    def _note_failure(self) -> None:
        self._kernel.get("subscription").note_source(reached=False)
        self._kernel.get("configuration").finish_source_read(succeeded=False)

    async def _wait(self) -> None:
        await asyncio.sleep(random.uniform(0.5, 1.0) * self._retry_wait)
        self._retry_wait = min(2 * self._retry_wait, LONGEST_RETRY_SECONDS)
