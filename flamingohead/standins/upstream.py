"""Stand-in for an upstream with slots, cold start, draining, shedding, a journal."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections import deque
from dataclasses import dataclass, field

import treq
from pydantic import BaseModel, ConfigDict, Field
from twisted.internet import reactor

from flamingohead.addresses import split_address
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.standins.refusals import RefusalWriter, parse_duplicate

logger = logging.getLogger(__name__)

ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
COLD_START_FACTOR = 4.0
DEFAULT_TIMEOUT_MS = 60_000


class UpstreamSettings(BaseModel):
    """Configure the stand-in; the settings can be changed at run time.

    The next ``refusals`` requests are refused as not executed. A ``duplicate`` of each
    follows when the connection carries its next request (``next``), or some time later
    (``20``, in milliseconds). They have the id of the request if ``refuses_with_id``.

    Requests beyond the ``max_queued`` that wait are refused or, with
    ``silent_when_full``, never answered, nor is any later request of the connection.
    """

    model_config = ConfigDict(extra="forbid")

    slots: int = Field(20, ge=1)
    max_queued: int = Field(40, ge=0)
    silent_when_full: bool = False
    # Relative speed, which divides ``service_ms``.
    speed: float = Field(1.0, gt=0)
    service_ms: float = Field(5.0, ge=0)
    cold_seconds: float = Field(0.0, ge=0)
    answer_bytes: int = Field(64, ge=0)
    frozen: bool = False
    failing: bool = False
    cut_answers: int = Field(0, ge=0)
    load_lag_seconds: float = Field(2.0, ge=0)
    lying_load: bool = False
    silent: bool = False
    refusals: int = Field(0, ge=0)
    duplicate: str = ""
    refuses_with_id: bool = True


@dataclass
class UpstreamCounters:
    """Count requests by outcome."""

    executed: int = 0
    shed: int = 0
    unanswered: int = 0
    expired: int = 0
    cancelled: int = 0


@dataclass
class JournalEntry:
    """Record one execution of a keyed request."""

    key: str
    path: str
    at: float


@dataclass
class _Job:
    request: object
    response: object
    deadline: float
    cancelled: bool = False


@dataclass
class _LoadSample:
    at: float
    in_use: int
    queued: int


@dataclass
class UpstreamStandin:
    """Process requests on a limited number of slots."""

    name: str
    service: str
    address: str
    announce_address: str
    settings: UpstreamSettings = field(default_factory=UpstreamSettings)
    status: str = "ready"
    counters: UpstreamCounters = field(default_factory=UpstreamCounters)
    journal: list[JournalEntry] = field(default_factory=list)
    _queue: deque[_Job] = field(default_factory=deque)
    _incarnation: int = field(default_factory=lambda: int(time.time() * 1000))
    _sequence: int = 0
    _in_use: int = 0
    _started_at: float = 0.0
    _loads: deque[_LoadSample] = field(default_factory=deque)
    _refusal_writer: RefusalWriter = field(default_factory=RefusalWriter)
    _silent_connections: set[object] = field(default_factory=set)

    def listen(self) -> None:
        """Listen for requests and control messages."""
        host, port = split_address(self.address)
        factory = HttpServerFactory(self._handle, lambda refusal: None)
        reactor.listenTCP(port, factory, interface=host, backlog=512)
        self._started_at = time.monotonic()

    async def run(self, stopping: asyncio.Event) -> None:
        """Announce until ``stopping`` is set, then drain and announce the end."""
        while not stopping.is_set():
            if not self.settings.silent:
                await self._announce(self.status)
            self._sample_load()
            try:
                await asyncio.wait_for(stopping.wait(), ANNOUNCEMENT_INTERVAL_SECONDS)
            except TimeoutError:
                pass
        await self._drain()

    async def _drain(self) -> None:
        self.status = "draining"
        deadline = time.monotonic() + 10
        drained_at = time.monotonic() + 1.0
        next_announcement_at = 0.0
        while time.monotonic() < deadline:
            if time.monotonic() >= next_announcement_at:
                next_announcement_at = time.monotonic() + ANNOUNCEMENT_INTERVAL_SECONDS
                await self._announce("draining")
            await asyncio.sleep(0.05)
            if self._in_use or self._queue:
                drained_at = time.monotonic() + 0.5
            elif time.monotonic() > drained_at:
                break
        await self._announce("gone")

    async def _announce(self, status: str) -> None:
        self._sequence += 1
        body = {
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "service": self.service,
            "address": self.address,
            "slots": self.settings.slots,
            "status": status,
        }
        url = f"http://{self.announce_address}/v1/upstreams/{self.name}"
        try:
            response = await asyncio.wait_for(
                treq.put(
                    url, data=json.dumps(body).encode(), persistent=False
                ).asFuture(asyncio.get_running_loop()),
                1.0,
            )
            await response.content().asFuture(asyncio.get_running_loop())
        except Exception as error:
            logger.debug("announcement to the daemon failed: %r", error)

    # Requests

    def _handle(self, request, response) -> None:
        if request.target.startswith(b"/standin/"):
            self._handle_control(request, response)
            return
        if self.settings.frozen:
            return
        if response.connection in self._silent_connections:
            self.counters.unanswered += 1
            return
        self._refusal_writer.write_pending(response.connection)
        if self.settings.refusals:
            self.settings.refusals -= 1
            self._refuse(request, response)
            return
        is_full = len(self._queue) >= self.settings.max_queued
        if is_full and self.settings.silent_when_full:
            self.counters.unanswered += 1
            self._silent_connections.add(response.connection)
            return
        if is_full:
            self.counters.shed += 1
            response.send(503, [(b"request-executed", b"no")], b"shed\n")
            return
        value = request.get_header(b"request-timeout-ms")
        timeout_ms = int(value) if value else DEFAULT_TIMEOUT_MS
        job = _Job(request, response, time.monotonic() + timeout_ms / 1000)
        response.on_disconnect = lambda: self._cancel(job)
        self._queue.append(job)
        self._start_jobs()

    def _refuse(self, request, response) -> None:
        self.counters.shed += 1
        headers = [(b"request-executed", b"no")]
        request_id = request.get_header(b"request-id")
        if request_id is not None and self.settings.refuses_with_id:
            headers.append((b"request-id", request_id))
        duplicate = parse_duplicate(self.settings.duplicate)
        self._refusal_writer.refuse(response, headers, duplicate)

    def _cancel(self, job: _Job) -> None:
        job.cancelled = True
        self.counters.cancelled += 1

    def _start_jobs(self) -> None:
        while self._queue and self._in_use < self.settings.slots:
            job = self._queue.popleft()
            if job.cancelled:
                continue
            if time.monotonic() >= job.deadline:
                self.counters.expired += 1
                job.response.send(503, [(b"request-executed", b"no")], b"expired\n")
                continue
            self._in_use += 1
            self._record(job)
            seconds = self._compute_service_time()
            reactor.callLater(seconds, self._finish, job)

    def _record(self, job: _Job) -> None:
        self.counters.executed += 1
        key = job.request.get_header(b"idempotency-key")
        if key is not None:
            path = job.request.target.decode("latin-1")
            self.journal.append(JournalEntry(key.decode("latin-1"), path, time.time()))

    def _compute_service_time(self) -> float:
        seconds = self.settings.service_ms / 1000 / self.settings.speed
        age = time.monotonic() - self._started_at
        if age < self.settings.cold_seconds:
            seconds *= COLD_START_FACTOR
        return seconds

    def _finish(self, job: _Job) -> None:
        self._in_use -= 1
        if not job.cancelled:
            self._respond(job)
        self._start_jobs()

    def _respond(self, job: _Job) -> None:
        if self.settings.failing:
            job.response.send(500, [], b"failing\n")
            return
        request_id = job.request.get_header(b"request-id") or b""
        headers = [(b"request-id", request_id), (b"upstream", self.name.encode())]
        body = (request_id + b"\n").ljust(
            max(self.settings.answer_bytes, len(request_id) + 1), b"."
        )
        if self.settings.cut_answers:
            self.settings.cut_answers -= 1
            job.response.start(200, headers, length=len(body))
            job.response.write(body[: len(body) // 2])
            job.response.abort()
            return
        job.response.send(200, headers, body)

    # Control

    def _handle_control(self, request, response) -> None:
        if request.target == b"/standin/journal":
            entries = [{"key": e.key, "path": e.path, "at": e.at} for e in self.journal]
            body = {"entries": entries, "counters": vars(self.counters)}
        elif request.target == b"/standin/load":
            body = self._describe_load()
        elif request.target == b"/standin/settings" and request.method == "PUT":
            changes = json.loads(request.body)
            values = {**self.settings.model_dump(), **changes}
            self.settings = UpstreamSettings(**values)
            body = {}
        else:
            response.send(404, [], b"not found\n")
            return
        response.send(200, [], json.dumps(body).encode())

    def _sample_load(self) -> None:
        now = time.monotonic()
        self._loads.append(_LoadSample(now, self._in_use, len(self._queue)))
        lag = self.settings.load_lag_seconds
        while len(self._loads) > 1 and self._loads[1].at <= now - lag:
            self._loads.popleft()

    def _describe_load(self) -> dict[str, int]:
        if self.settings.lying_load or not self._loads:
            return {"in_use": 0, "queued": 0}
        return {"in_use": self._loads[0].in_use, "queued": self._loads[0].queued}
