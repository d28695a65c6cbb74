"""Feed of the configuration row of the platform's store."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.following import RequestPacer, RetryBackoff
from flamingohead.events import Event, log_event
from flamingohead.platform.documents import DocumentReader, decode_version
from flamingohead.platform.store import HistoryUnavailable, RowPage, StoredRow
from flamingohead.services.revocation import (
    StoreDocumentRead,
    StoreResponse,
    read_boot_time,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.eras import StoreVersion
    from flamingohead.core.following import SourceTimeouts
    from flamingohead.core.resources import Snapshot
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TABLE = "op"
CONFIGURATION_KEY = "config"


class ConfigurationFeed:
    """Pass each configuration that operators write to the configuration service."""

    def __init__(self, kernel: Kernel, timeouts: SourceTimeouts) -> None:
        self._kernel = kernel
        self._timeouts = timeouts
        self._task: asyncio.Task | None = None
        self._request: asyncio.Task | None = None
        self._reading: asyncio.Task[StoreVersion | None] | None = None
        self._lacked_history = False
        self._backoff = RetryBackoff(
            random=random.Random(), max_seconds=timeouts.max_backoff_seconds
        )
        self._reader = DocumentReader()
        self._pacer = RequestPacer()
        self._last_document: StoreDocumentRead | None = None
        # Returns whether the response after a change is needed soon.
        self.confirms_changes: Callable[[], bool] = lambda: False
        self._has_changed = False
        # Called with each response about the configuration, after it was applied.
        self.response_listeners: list[Callable[[StoreResponse], None]] = []

    async def start(self) -> None:
        self._kernel.get("eras").listeners.append(self._cancel_request)
        self._kernel.get("subscription").listeners.append(self._cancel_request)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        self._cancel_request()
        if self._reading is not None:
            self._reading.cancel()

    async def _run(self) -> None:
        while True:
            requested_at = time.monotonic()
            version = await self._read()
            while version is not None:
                requested_at = time.monotonic()
                version = await self._follow_if_needed(version)
            await self._back_off(requested_at)

    async def read(self) -> None:
        """Read the newest configuration once, or join a read that is under way.

        Copies of a large document would take each other's share of a slow link.
        """
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read())
        await asyncio.shield(self._reading)

    async def _follow_if_needed(self, version: StoreVersion) -> StoreVersion | None:
        """Follow the row if this daemon needs the source, else wait until it does.

        It needs the source while no other daemon sends it the configuration. After the
        wait the row is read, since changes may have been missed.
        """
        subscription = self._kernel.get("subscription")
        if subscription.needs_source:
            return await self._follow(version)
        await subscription.wait_until_source_needed()
        return await self._read()

    async def _read(self) -> StoreVersion | None:
        """Read the row; return the version of the store, or ``None`` on failure."""
        requested_at = time.monotonic()
        sent_at = read_boot_time()
        page = await self._kernel.get("store").read_rows(
            TABLE,
            "",
            first_key=CONFIGURATION_KEY,
            limit=1,
            timeouts=self._timeouts,
        )
        if isinstance(page, Refusal):
            self._record_failure()
            return None
        received_at = read_boot_time()
        changed = self._apply_rows(page.rows, requested_at)
        self._report_response(changed, sent_at=sent_at, received_at=received_at)
        return page.version

    def _cancel_request(self) -> None:
        """Cancel the open long poll, which may never get a response."""
        if self._request is not None:
            self._request.cancel()

    def _choose_timeouts(self) -> SourceTimeouts:
        if not self._kernel.get("subscription").polls_often:
            return self._timeouts.lengthen_polls()
        if self._has_changed and self.confirms_changes():
            return self._timeouts.shorten_poll()
        return self._timeouts

    async def _request_changes(
        self, version: StoreVersion, timeouts: SourceTimeouts
    ) -> RowPage | HistoryUnavailable | Refusal:
        request = self._kernel.get("store").follow_rows(TABLE, version, timeouts)
        self._request = asyncio.get_running_loop().create_task(request)
        # ``wait`` raises only if the feed itself is cancelled, not if the request is.
        await asyncio.wait([self._request])
        if self._request.cancelled():
            return HistoryUnavailable()
        return self._request.result()

    async def _follow(self, version: StoreVersion) -> StoreVersion | None:
        requested_at, sent_at = time.monotonic(), read_boot_time()
        timeouts = self._choose_timeouts()
        page = await self._request_changes(version, timeouts)
        received_at = read_boot_time()
        lacked_history, self._lacked_history = self._lacked_history, False
        if isinstance(page, HistoryUnavailable):
            if lacked_history:
                await self._back_off(requested_at)
            self._lacked_history = True
            return await self._read()
        if isinstance(page, Refusal):
            log_event(
                logger,
                Event.SOURCE_FEED_LOST,
                held=self._kernel.get("configuration").replica.version,
                open_seconds=round(time.monotonic() - requested_at, 3),
                reason=page.detail,
            )
            self._record_failure()
            return None
        changed = self._apply_rows(page.rows, requested_at)
        self._report_response(
            changed,
            sent_at=sent_at,
            received_at=received_at,
            wait=timeouts.poll_seconds,
        )
        now = time.monotonic()
        next_request_at = self._pacer.record_response(
            requested_at=requested_at, now=now, changed=changed
        )
        if next_request_at > now:
            await asyncio.sleep(next_request_at - now)
        return page.version

    def _report_response(
        self, changed: bool, *, sent_at: float, received_at: float, wait: float = 0.0
    ) -> None:
        """Pass a response on to the listeners, after it was applied."""
        self._has_changed = changed
        document = self._last_document if changed else None
        response = StoreResponse(sent_at, received_at, wait, document)
        for listener in self.response_listeners:
            listener(response)

    def _apply_rows(self, rows: tuple[StoredRow, ...], requested_at: float) -> bool:
        """Apply the newest configuration in the rows; return whether there is one."""
        self._backoff.record_success()
        self._kernel.get("subscription").record_source_state(reached=True)
        self._kernel.get("metrics").set_gauge("source.responded_at", time.time())
        configuration = self._kernel.get("configuration")
        values = [r for r in rows if r.key == CONFIGURATION_KEY and r.value is not None]
        if values:
            row = values[-1]
            received_at = time.monotonic()
            snapshot = self._reader.read(row.value)
            self._log_read(snapshot, row, requested_at, received_at)
            version = decode_version(row.value)
            self._last_document = StoreDocumentRead(row.version, version, snapshot)
            if isinstance(snapshot, Refusal):
                configuration.reject_document(
                    configuration.replica.version + 1, snapshot
                )
            else:
                self._check_reused_version(snapshot, configuration.replica.snapshot)
                configuration.apply_document(snapshot)
        found = bool(values or configuration.replica.version)
        configuration.record_source_read(succeeded=True, found=found)
        return bool(values)

    def _check_reused_version(self, new: Snapshot, current: Snapshot) -> None:
        """Log an error if the source reused the current version for other content."""
        if new.version == current.version and new.resources != current.resources:
            log_event(logger, Event.SOURCE_CONFLICT, version=new.version)

    def _log_read(
        self,
        snapshot: Snapshot | Refusal,
        row: StoredRow,
        requested_at: float,
        received_at: float,
    ) -> None:
        self._kernel.get("metrics").count("source.bytes", len(row.value))
        refused = isinstance(snapshot, Refusal)
        log_event(
            logger,
            Event.SOURCE_READ,
            held=self._kernel.get("configuration").replica.version,
            found="unreadable" if refused else snapshot.version,
            seconds=round(received_at - requested_at, 3),
            decoding_seconds=round(time.monotonic() - received_at, 3),
            bytes=len(row.value),
            row=row.version,
        )

    def _record_failure(self) -> None:
        self._kernel.get("subscription").record_source_state(reached=False)
        self._kernel.get("configuration").record_source_read(succeeded=False)

    async def _back_off(self, requested_at: float) -> None:
        now = time.monotonic()
        next_at = self._backoff.record_failure(requested_at=requested_at, now=now)
        await asyncio.sleep(next_at - now)
