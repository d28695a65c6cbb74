"""Open-loop load generator: requests are sent on schedule, independent of responses.

Latency counts from the scheduled send time, so that it includes the whole of a stall.
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
RETRY_DELAY = 0.3
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class Stream:
    """Describe requests of one kind, sent at a constant mean rate (1/s).

    A request that was not answered is retried with the same idempotency key, each time
    through a daemon chosen at random, up to ``attempts`` attempts in total.
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
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclass
class StreamResult:
    """Count the outcomes of one stream and record its latencies."""

    stream: Stream
    sent: int = 0
    answered: int = 0
    in_target: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    histogram: HdrHistogram = field(default_factory=_create_histogram)

    def get_latency_ms(self, percentile: float) -> float:
        """Return a latency percentile of the answered requests, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


class ResponseCheck:
    """Receive a response and check that it is complete and belongs to its request."""

    def __init__(self, request_id: bytes) -> None:
        self._request_id = request_id
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.is_complete = False
        self._expected_size: int | None = None
        self._received_size = 0
        self._body_start = b""

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        self.status = status
        self.headers = dict(headers)
        self._expected_size = length

    def write(self, data: bytes) -> None:
        self._received_size += len(data)
        if len(self._body_start) < len(self._request_id):
            self._body_start += data

    def finish(self) -> None:
        self.is_complete = (
            self._expected_size is None or self._received_size == self._expected_size
        )

    def classify(self, result: Refusal | None) -> str:
        """Return the outcome of the request as one word."""
        if isinstance(result, Refusal):
            response_started = self.status != 0
            return "cut" if response_started else f"failed.{result.kind.value}"
        refusal = self.headers.get(b"flamingohead-refusal")
        if refusal is not None:
            return f"refused.{refusal.decode()}"
        if self.status != 200:
            return f"status.{self.status}"
        is_own = self.headers.get(b"request-id") == self._request_id
        if not is_own or not self._body_start.startswith(self._request_id):
            return "crossed"
        return "answered" if self.is_complete else "cut"


@dataclass
class KeyAttempt:
    """Record the outcome of one attempt of a keyed request, as reported to its caller.

    ``ran_header`` is the value of ``flamingohead-ran``, empty if the response has none;
    ``finished_at`` is in seconds since the epoch.
    """

    key: str
    outcome: str
    ran_header: str
    finished_at: float


class LoadGenerator:
    """Send streams of requests to daemons chosen at random."""

    def __init__(
        self, addresses: list[str], streams: list[Stream], *, seed: int
    ) -> None:
        self.addresses = addresses
        self.results = {stream.name: StreamResult(stream) for stream in streams}
        self.keyed_attempts: list[KeyAttempt] = []
        self._random = random.Random(seed)
        self._client = HttpClientService()
        self._tasks: set[asyncio.Task] = set()
        self._stopping = False

    async def run(self, seconds: float) -> None:
        """Send for ``seconds``, then wait for the responses."""
        ends_at = time.monotonic() + seconds
        streams = [result.stream for result in self.results.values()]
        await asyncio.gather(*(self._run_stream(s, ends_at) for s in streams))
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._client.stop()

    def stop(self) -> None:
        """End the run early, after the responses to the requests already sent."""
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
                await asyncio.sleep(self._random.uniform(0.5, 1.5) * RETRY_DELAY)
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
        check = ResponseCheck(request_id.encode())
        address = self._random.choice(self.addresses)
        outcome = check.classify(await self._client.send(address, request, check))
        if stream.keyed:
            ran_header = check.headers.get(b"flamingohead-ran", b"").decode()
            self.keyed_attempts.append(
                KeyAttempt(request_id, outcome, ran_header, time.time())
            )
        return outcome

    def _record(self, result: StreamResult, outcome: str, seconds: float) -> None:
        result.outcomes[outcome] += 1
        if outcome != "answered":
            return
        result.answered += 1
        result.histogram.record_value(max(1, round(seconds * 1_000_000)))
        if seconds * 1000 <= result.stream.target_ms:
            result.in_target += 1
