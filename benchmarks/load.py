"""Open-loop load: requests are sent on schedule, whatever the answers do.

Latency is counted from the intended send time, so that a stall shows in full.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from flamingohead.core.errors import Refusal
from flamingohead.services.http_client import HttpClientService, OutgoingRequest

if TYPE_CHECKING:
    from flamingohead.services.http_server import Headers

ATTEMPT_TIMEOUT = 30.0
RETRY_WAIT = 0.3
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
DIGITS = 3


@dataclass(frozen=True)
class Stream:
    """Describe one kind of request sent at a constant mean rate (1/s).

    A request that is not answered is sent again, up to ``attempts`` times, each
    time through a daemon chosen at random and with the same idempotency key.
    """

    name: str
    method: str
    path: str
    rate: float
    target_ms: float
    worth: float = 1.0
    keyed: bool = False
    timeout_ms: int = 0
    attempts: int = 1


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS)


@dataclass
class StreamResult:
    """Count the outcomes of one stream and keep its latencies."""

    stream: Stream
    sent: int = 0
    answered: int = 0
    in_target: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    histogram: HdrHistogram = field(default_factory=_create_histogram)

    def get_latency_ms(self, percentile: float) -> float:
        """Return a latency of answered requests, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


class AnswerCheck:
    """Take an answer and check that it is whole and the caller's own."""

    def __init__(self, request_id: bytes) -> None:
        self._request_id = request_id
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.whole = False
        self._length: int | None = None
        self._size = 0
        self._head = b""

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        self.status = status
        self.headers = dict(headers)
        self._length = length

    def write(self, data: bytes) -> None:
        self._size += len(data)
        if len(self._head) < len(self._request_id):
            self._head += data

    def finish(self) -> None:
        self.whole = self._length is None or self._size == self._length

    def classify(self, result: Refusal | None) -> str:
        """Return the outcome of the request as one word."""
        if isinstance(result, Refusal):
            cut = self.status != 0
            return "cut" if cut else f"failed.{result.kind.value}"
        refusal = self.headers.get(b"flamingohead-refusal")
        if refusal is not None:
            return f"refused.{refusal.decode()}"
        if self.status != 200:
            return f"status.{self.status}"
        own = self.headers.get(b"request-id") == self._request_id
        if not own or not self._head.startswith(self._request_id):
            return "crossed"
        return "answered" if self.whole else "cut"


@dataclass
class KeyAttempt:
    """Remember what a caller was told by one attempt of a keyed request.

    ``told_at`` is in seconds since the epoch.
    """

    key: str
    outcome: str
    ran: str
    told_at: float


class LoadGenerator:
    """Send streams of requests to daemons chosen at random."""

    def __init__(
        self, addresses: list[str], streams: list[Stream], *, seed: int
    ) -> None:
        self.addresses = addresses
        self.results = {stream.name: StreamResult(stream) for stream in streams}
        self.keys: list[KeyAttempt] = []
        self._random = random.Random(seed)
        self._client = HttpClientService()
        self._tasks: set[asyncio.Task] = set()
        self._stopping = False

    async def run(self, seconds: float) -> None:
        """Send for ``seconds``, then wait for the answers."""
        ends_at = time.monotonic() + seconds
        streams = [result.stream for result in self.results.values()]
        await asyncio.gather(*(self._run_stream(s, ends_at) for s in streams))
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._client.stop()

    def stop(self) -> None:
        """End the run early; requests sent are still waited for."""
        self._stopping = True

    async def _run_stream(self, stream: Stream, ends_at: float) -> None:
        if stream.rate <= 0:
            return
        due = time.monotonic() + self._random.expovariate(stream.rate)
        while due < ends_at and not self._stopping:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self._send(stream, due))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += self._random.expovariate(stream.rate)

    async def _send(self, stream: Stream, due: float) -> None:
        result = self.results[stream.name]
        result.sent += 1
        request_id = secrets.token_hex(8)
        headers = [(b"request-id", request_id.encode())]
        if stream.keyed:
            headers.append((b"idempotency-key", request_id.encode()))
        if stream.timeout_ms:
            headers.append((b"request-timeout-ms", b"%d" % stream.timeout_ms))
        outcome = ""
        for attempt in range(stream.attempts):
            if attempt:
                await asyncio.sleep(self._random.uniform(0.5, 1.5) * RETRY_WAIT)
            outcome = await self._send_attempt(stream, request_id, tuple(headers))
            if outcome == "answered":
                break
        self._record(result, outcome, time.monotonic() - due)

    async def _send_attempt(
        self, stream: Stream, request_id: str, headers: tuple
    ) -> str:
        deadline = time.monotonic() + ATTEMPT_TIMEOUT
        path = stream.path.encode()
        request = OutgoingRequest(stream.method, path, headers, b"", deadline)
        check = AnswerCheck(request_id.encode())
        address = self._random.choice(self.addresses)
        outcome = check.classify(await self._client.send(address, request, check))
        if stream.keyed:
            ran = check.headers.get(b"flamingohead-ran", b"").decode()
            self.keys.append(KeyAttempt(request_id, outcome, ran, time.time()))
        return outcome

    def _record(self, result: StreamResult, outcome: str, seconds: float) -> None:
        result.outcomes[outcome] += 1
        if outcome != "answered":
            return
        result.answered += 1
        result.histogram.record_value(max(1, round(seconds * 1_000_000)))
        if seconds * 1000 <= result.stream.target_ms:
            result.in_target += 1
