"""Execution of keyed requests: start, stored response and waiting attempts."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import Outcome, StoredAnswer
from flamingohead.services.response_wrapper import ResponseWrapper

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.core.ledger import KeyLedger, LedgerEntry
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse

    RequestHandler = Callable[["RecordingResponse"], Awaitable[Refusal | None]]

MAX_WAITERS = 1000


class RecordingResponse(ResponseWrapper):
    """Forward a response to the caller and keep a copy of it.

    A request is not cancelled when its caller disconnects: the response is stored for
    the retry that is likely to follow.
    """

    def __init__(self, response: ServerResponse, *, limit: int) -> None:
        super().__init__(response)
        self._limit = limit
        self._forward_disconnect = response.on_disconnect
        self._parts: list[bytes] = []
        self._size = 0
        self._status = 0
        self._headers: Headers = []
        self.is_complete = False
        self.on_disconnect: Callable[[], None] | None = None
        response.on_disconnect = self._handle_disconnect

    @property
    def status(self) -> int:
        return self._status

    @property
    def finished(self) -> bool:
        return self._response.finished

    def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        self._status = status
        self._headers = headers
        self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._limit:
            self._parts.append(data)
        else:
            self._parts.clear()
        self._response.write(data)

    def finish(self) -> None:
        self.is_complete = True
        self._response.finish()

    def abort(self) -> None:
        self._response.abort()

    def build_stored_answer(self) -> StoredAnswer | None:
        """Return the copy, or ``None`` if the response exceeds the limit."""
        if self._size > self._limit:
            return None
        return StoredAnswer(self._status, tuple(self._headers), b"".join(self._parts))

    def _handle_disconnect(self) -> None:
        if self.on_resume is not None:
            self.on_resume()
        if self._forward_disconnect is not None:
            self._forward_disconnect()


class KeyExecutor:
    """Execute the requests of one ledger, each at most once."""

    def __init__(self, ledger: KeyLedger) -> None:
        self._ledger = ledger
        self._waiters: dict[str, set[asyncio.Future]] = defaultdict(set)
        self._waiter_count = 0
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        entry: LedgerEntry,
        deadline: float,
        response: ServerResponse,
        handler: RequestHandler,
    ) -> Refusal | None:
        """Execute a request; return ``None`` after a response."""
        refusal = self._ledger.start(entry.nonce, time.monotonic(), deadline)
        if refusal is not None:
            self.wake_waiters(entry)
            return replace(refusal, key_checked=refusal.ran is ExecutionStatus.NO)
        limit = self._ledger.settings.maximum_answer_bytes
        recording = RecordingResponse(response, limit=limit)
        task = asyncio.get_running_loop().create_task(
            self._run(entry, recording, handler)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def wait(self, entry: LedgerEntry, deadline: float) -> Outcome:
        """Wait until an entry is final or the deadline has passed."""
        remaining = deadline - time.monotonic()
        if entry.state.is_final or remaining <= 0 or self._waiter_count >= MAX_WAITERS:
            return entry.outcome
        future = asyncio.get_running_loop().create_future()
        waiters = self._waiters[entry.nonce]
        waiters.add(future)
        self._waiter_count += 1
        try:
            await asyncio.wait_for(future, remaining)
        except TimeoutError:
            pass
        finally:
            self._waiter_count -= 1
            waiters.discard(future)
            if not waiters:
                self._waiters.pop(entry.nonce, None)
        return entry.outcome

    def wake_waiters(self, entry: LedgerEntry) -> None:
        """Wake the attempts that wait for an entry to become final."""
        for future in self._waiters.get(entry.nonce, ()):
            if not future.done():
                future.set_result(None)

    async def drain(self, timeout: float) -> int:
        """Wait for the running requests; return how many are left after ``timeout``."""
        if not self._tasks:
            return 0
        _, running = await asyncio.wait(self._tasks, timeout=timeout)
        return len(running)

    async def _run(
        self, entry: LedgerEntry, recording: RecordingResponse, handler: RequestHandler
    ) -> Refusal | None:
        refusal: Refusal | None = Refusal(ErrorKind.INTERNAL, "run cancelled")
        try:
            refusal = await handler(recording)
        finally:
            self._record_outcome(entry, recording, refusal)
        if refusal is not None and refusal.ran is ExecutionStatus.NO:
            return replace(refusal, key_checked=True)
        return refusal

    def _record_outcome(
        self,
        entry: LedgerEntry,
        recording: RecordingResponse,
        refusal: Refusal | None,
    ) -> None:
        if recording.is_complete:
            self._ledger.finish(entry.nonce, recording.build_stored_answer())
        elif refusal is not None and refusal.ran is ExecutionStatus.NO:
            self._ledger.mark_not_run(entry.nonce)
        else:
            self._ledger.mark_unknown(entry.nonce)
        self.wake_waiters(entry)
