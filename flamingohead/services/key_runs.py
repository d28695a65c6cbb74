"""Execution of one keyed request: start, answer kept, attempts that wait."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Ran, Refusal
from flamingohead.core.idempotency import Outcome, StoredAnswer
from flamingohead.services.response_wrapper import ResponseWrapper

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.core.ledger import KeyLedger, LedgerEntry
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse

    Runner = Callable[["RecordingResponse"], Awaitable[Refusal | None]]

MAX_WAITING = 1000


class RecordingResponse(ResponseWrapper):
    """Pass a response on to its caller and keep a copy of it.

    A caller that leaves does not end the request: its answer is kept for the
    retry that is likely to come.
    """

    def __init__(self, response: ServerResponse, *, limit: int) -> None:
        super().__init__(response)
        self._limit = limit
        self._leave = response.on_disconnect
        self._parts: list[bytes] = []
        self._size = 0
        self._status = 0
        self._headers: Headers = []
        self.whole = False
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
        self.whole = True
        self._response.finish()

    def abort(self) -> None:
        self._response.abort()

    def build_answer(self) -> StoredAnswer | None:
        """Return the copy, or ``None`` if it was too large."""
        if self._size > self._limit:
            return None
        return StoredAnswer(self._status, tuple(self._headers), b"".join(self._parts))

    def _handle_disconnect(self) -> None:
        if self.on_resume is not None:
            self.on_resume()
        if self._leave is not None:
            self._leave()


class KeyRuns:
    """Run the entries of one ledger, each at most once."""

    def __init__(self, ledger: KeyLedger) -> None:
        self._ledger = ledger
        self._waiting: dict[str, set[asyncio.Future]] = defaultdict(set)
        self._waiting_count = 0
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self,
        entry: LedgerEntry,
        deadline: float,
        response: ServerResponse,
        runner: Runner,
    ) -> Refusal | None:
        """Run a request; ``None`` means answered."""
        refusal = self._ledger.start(entry.nonce, time.monotonic(), deadline)
        if refusal is not None:
            self.resolve(entry)
            return replace(refusal, key_checked=refusal.ran is Ran.NO)
        limit = self._ledger.settings.maximum_answer_bytes
        recording = RecordingResponse(response, limit=limit)
        task = asyncio.get_running_loop().create_task(
            self._run(entry, recording, runner)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def wait(self, entry: LedgerEntry, deadline: float) -> Outcome:
        """Wait until an entry is final or the deadline has passed."""
        remaining = deadline - time.monotonic()
        if entry.state.is_final or remaining <= 0 or self._waiting_count >= MAX_WAITING:
            return entry.outcome
        future = asyncio.get_running_loop().create_future()
        waiting = self._waiting[entry.nonce]
        waiting.add(future)
        self._waiting_count += 1
        try:
            await asyncio.wait_for(future, remaining)
        except TimeoutError:
            pass
        finally:
            self._waiting_count -= 1
            waiting.discard(future)
            if not waiting:
                self._waiting.pop(entry.nonce, None)
        return entry.outcome

    def resolve(self, entry: LedgerEntry) -> None:
        """Wake the attempts that wait for a final entry."""
        for future in self._waiting.get(entry.nonce, ()):
            if not future.done():
                future.set_result(None)

    async def drain(self, timeout: float) -> int:
        """Wait for the running requests; return how many had to be left."""
        if not self._tasks:
            return 0
        _, running = await asyncio.wait(self._tasks, timeout=timeout)
        return len(running)

    async def _run(
        self, entry: LedgerEntry, recording: RecordingResponse, runner: Runner
    ) -> Refusal | None:
        refusal: Refusal | None = Refusal(ErrorKind.INTERNAL, "run cancelled")
        try:
            refusal = await runner(recording)
        finally:
            self._conclude(entry, recording, refusal)
        if refusal is not None and refusal.ran is Ran.NO:
            return replace(refusal, key_checked=True)
        return refusal

    def _conclude(
        self,
        entry: LedgerEntry,
        recording: RecordingResponse,
        refusal: Refusal | None,
    ) -> None:
        if recording.whole:
            self._ledger.finish(entry.nonce, recording.build_answer())
        elif refusal is not None and refusal.ran is Ran.NO:
            self._ledger.refuse(entry.nonce)
        else:
            self._ledger.lose(entry.nonce)
        self.resolve(entry)
