"""Stand-in for an upstream that uses the platform's protocol."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

from flamingohead.addresses import split_address
from flamingohead.core.errors import Refusal
from flamingohead.services.http_client import CollectedResponse, HttpClientService
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.transport import listen
from flamingohead.standins.refusals import Duplicate, RefusalWriter, parse_duplicate

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 0.3
STATUS_PATH = b"/standin/runs"
REFUSALS_PATH = b"/standin/refusals"
MAX_RESPONSE_BYTES = 4096
COLD_START_FACTOR = 2.0


@dataclass(frozen=True)
class _Behaviour:
    """Hold what the query of a request asks of the stand-in.

    The first ``refusals`` arrivals of its id are refused as not executed, and the next
    ``silences`` are treated as if the queue was full. ``status`` is that of the
    response after execution, in place of which ``is_cut`` closes the connection.
    """

    work_seconds: float = 0.0
    status: int = 200
    is_cut: bool = False
    refusals: int = 0
    silences: int = 0
    duplicate: Duplicate | None = None


@dataclass
class InstanceStandin:
    """Execute requests on ``slots`` slots, and record the requests executed.

    The query of a request may ask for an execution time (``work-ms=50``), for the
    status of the response (``status=503``) or a cut in its place (``cut=1``), for
    refusals (``refusals=1``) and for a duplicate of each of them: some time later
    (``duplicate=20``, in milliseconds) or when the connection carries its next request
    (``duplicate=next``).

    Up to ``queue`` further requests wait for a slot. Requests beyond these are refused
    or, with ``silent_when_full``, never answered, nor is any later request of the
    connection. A request may ask for this too (``silences=1``).
    """

    name: str
    service: str
    address: str
    control_address: str
    slots: int = 4
    queue: int = 0
    silent_when_full: bool = False
    work_seconds: float = 0.02
    # Relative speed; for ``cold_seconds`` after a start, requests take twice as long.
    speed: float = 1.0
    cold_seconds: float = 0.0
    # How long requests are still served after the heartbeat that reports draining.
    drain_seconds: float = 0.0
    # Share of the responses in place of which the connection is cut.
    lost_share: float = 0.0
    announced: str = ""
    journal: str = ""
    clock_offset_ms: int = 0
    runs: list[dict] = field(default_factory=list)
    refusals: list[dict] = field(default_factory=list)
    _arrivals: Counter[bytes] = field(default_factory=Counter)
    _refusal_writer: RefusalWriter = field(default_factory=RefusalWriter)
    _connections: dict[object, int] = field(default_factory=dict)
    _sequence: int = 0
    _is_leaving: bool = False
    _in_use: int = 0
    _waiting: deque[tuple] = field(default_factory=deque)
    _silent_connections: set[object] = field(default_factory=set)
    _started_at: float = field(default_factory=time.monotonic)
    _born: int = 0

    def __post_init__(self) -> None:
        self._born = int(time.time() * 1000) + self.clock_offset_ms

    async def start(self) -> None:
        """Listen for requests."""
        host, port = split_address(self.address)
        factory = HttpServerFactory(self._handle, lambda refusal: None)
        await listen(factory, host, port)

    async def run(self, stopping: asyncio.Event) -> None:
        """Send heartbeats until ``stopping`` is set, then drain and deregister."""
        client = HttpClientService()
        while not stopping.is_set():
            await self._send_heartbeat(client, "ready")
            try:
                await asyncio.wait_for(stopping.wait(), HEARTBEAT_INTERVAL_SECONDS)
            except TimeoutError:
                pass
        self._is_leaving = True
        if await self._send_heartbeat(client, "draining"):
            self._record_event("left")
        await asyncio.sleep(self.drain_seconds)
        while self._in_use:
            await asyncio.sleep(0.02)
        await self._send(client, "DELETE", b"")

    async def _send_heartbeat(self, client: HttpClientService, state: str) -> bool:
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.announced or self.address,
            "zone": "",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-remaining": "0ms",
            "seq": self._sequence,
            "born": self._born,
        }
        return await self._send(client, "PUT", json.dumps(body).encode())

    async def _send(self, client: HttpClientService, method: str, body: bytes) -> bool:
        path = f"/v1/instances/{self.name}".encode()
        deadline = time.monotonic() + 1.0
        request = OutgoingRequest(method, path, (), body, deadline)
        response = CollectedResponse(MAX_RESPONSE_BYTES)
        refusal = await client.send(self.control_address, request, response)
        if isinstance(refusal, Refusal):
            logger.debug("request to the daemon failed: %s", refusal.detail)
        return refusal is None and response.status == 200

    def _record_event(self, event: str, request_id: str = "", **details) -> None:
        """Append an event to the journal; the page cache survives a kill."""
        if not self.journal:
            return
        entry = {"event": event, "id": request_id, "upstream": self.name}
        entry |= {"at": time.monotonic(), **details}
        with open(self.journal, "a") as journal:
            journal.write(json.dumps(entry) + "\n")

    def _handle(self, request, response) -> None:
        if request.target == STATUS_PATH:
            response.send(200, [], json.dumps(self.runs).encode())
            return
        if request.target == REFUSALS_PATH:
            response.send(200, [], json.dumps(self.refusals).encode())
            return
        if response.connection in self._silent_connections:
            request_id = request.get_header(b"request-id") or b""
            self._record_event("unread", request_id.decode())
            return
        if request.target == b"/healthz":
            load = b"%d,%d,%d" % (self._in_use, len(self._waiting), self.slots)
            headers = [(b"instance-id", self.name.encode()), (b"instance-load", load)]
            response.send(503 if self._is_leaving else 200, headers, b"")
            return
        connection = response.connection
        self._refusal_writer.write_pending(connection)
        request_id = request.get_header(b"request-id") or b""
        expected = request.get_header(b"expect-instance")
        if expected is not None and expected != self.name.encode():
            headers = [
                (b"request-id", request_id),
                (b"instance-id", self.name.encode()),
            ]
            response.send(421, headers, b"")
            return
        behaviour = _read_behaviour(request.target)
        self._arrivals[request_id] += 1
        arrivals = self._arrivals[request_id]
        if arrivals <= behaviour.refusals:
            self._refuse(request_id, response, behaviour)
        elif arrivals <= behaviour.refusals + behaviour.silences:
            self._fall_silent("silent", request_id, response)
        elif self._in_use < self.slots:
            self._start_request(request, response, behaviour)
        elif len(self._waiting) < self.queue:
            self._waiting.append((request, response, behaviour))
        elif self.silent_when_full:
            self._fall_silent("overflow", request_id, response)
        else:
            self._refuse(request_id, response, behaviour)

    def _start_request(self, request, response, behaviour: _Behaviour) -> None:
        self._in_use += 1
        request_id = request.get_header(b"request-id") or b""
        connection = response.connection
        organisation = (request.get_header(b"tenant") or b"").decode()
        has_key = request.get_header(b"x-api-key") is not None
        self._record_event(
            "run", request_id.decode(), organisation=organisation, has_key=has_key
        )
        self.runs.append(
            {
                "id": request_id.decode(),
                "path": request.target.decode(),
                "host": (request.get_header(b"host") or b"").decode(),
                "organisation": organisation,
                "has_key": has_key,
                "caller": (request.get_header(b"caller-service") or b"").decode(),
                "deadline": (request.get_header(b"request-deadline") or b"").decode(),
                "connection": self._number_connection(connection),
            }
        )
        loop = asyncio.get_running_loop()
        seconds = (behaviour.work_seconds or self.work_seconds) / self.speed
        if self._is_cold():
            seconds *= COLD_START_FACTOR
        loop.call_later(seconds, self._finish, request, response, behaviour)

    def _is_cold(self) -> bool:
        return time.monotonic() < self._started_at + self.cold_seconds

    def _fall_silent(self, event: str, request_id: bytes, response) -> None:
        self._record_event(event, request_id.decode())
        self._silent_connections.add(response.connection)

    def _refuse(self, request_id: bytes, response, behaviour: _Behaviour) -> None:
        number = self._number_connection(response.connection)
        self.refusals.append({"id": request_id.decode(), "connection": number})
        self._record_event("refused", request_id.decode())
        headers = [(b"request-id", request_id), (b"not-executed", b"1")]
        self._refusal_writer.refuse(response, headers, behaviour.duplicate)

    def _number_connection(self, connection) -> int:
        return self._connections.setdefault(connection, len(self._connections))

    def _finish(self, request, response, behaviour: _Behaviour) -> None:
        self._in_use -= 1
        if self._waiting:
            self._start_request(*self._waiting.popleft())
        if behaviour.is_cut or random.random() < self.lost_share:
            response.abort()
            return
        request_id = request.get_header(b"request-id") or b""
        headers = [
            (b"request-id", request_id),
            (b"response-stamp", self.name.encode()),
        ]
        if self.queue:
            pace = 100 * (COLD_START_FACTOR if self._is_cold() else 1)
            load = (self._in_use, len(self._waiting), self.slots, pace)
            headers.append((b"instance-load", b"%d,%d,%d,%d" % load))
        response.send(
            behaviour.status, headers, b"answer to " + request_id + request.body
        )


def _read_behaviour(target: bytes) -> _Behaviour:
    query = dict(parse_qsl(urlsplit(target.decode("latin-1")).query))
    return _Behaviour(
        work_seconds=int(query.get("work-ms", 0)) / 1000,
        status=int(query.get("status", 200)),
        is_cut="cut" in query,
        refusals=int(query.get("refusals", 0)),
        silences=int(query.get("silences", 0)),
        duplicate=parse_duplicate(query.get("duplicate")),
    )
