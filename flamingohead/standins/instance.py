"""Stand-in for an upstream that uses the platform's protocol."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from flamingohead.addresses import split_address
from flamingohead.core.errors import Refusal
from flamingohead.services.http_client import CollectedResponse, HttpClientService
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.transport import listen

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 0.3
STATUS_PATH = b"/standin/runs"
MAX_RESPONSE_BYTES = 4096


@dataclass
class InstanceStandin:
    """Execute requests on ``slots`` slots, and record the requests executed.

    A request with ``work-ms`` in its query is executed for that time.
    """

    name: str
    service: str
    address: str
    control_address: str
    slots: int = 4
    work_seconds: float = 0.02
    # How long requests are still served after the heartbeat that reports draining.
    drain_seconds: float = 0.0
    # Share of the responses in place of which the connection is cut.
    lost_share: float = 0.0
    announced: str = ""
    journal: str = ""
    clock_offset_ms: int = 0
    runs: list[dict] = field(default_factory=list)
    _sequence: int = 0
    _in_use: int = 0
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

    def _record_event(self, event: str, request_id: str = "") -> None:
        """Append an event to the journal; the page cache survives a kill."""
        if not self.journal:
            return
        entry = {"event": event, "id": request_id, "upstream": self.name}
        entry["at"] = time.monotonic()
        with open(self.journal, "a") as journal:
            journal.write(json.dumps(entry) + "\n")

    def _handle(self, request, response) -> None:
        if request.target == STATUS_PATH:
            response.send(200, [], json.dumps(self.runs).encode())
            return
        if request.target == b"/healthz":
            load = b"%d,0,%d" % (self._in_use, self.slots)
            headers = [(b"instance-id", self.name.encode()), (b"instance-load", load)]
            response.send(200, headers, b"")
            return
        expected = request.get_header(b"expect-instance")
        if expected is not None and expected != self.name.encode():
            response.send(421, [(b"instance-id", self.name.encode())], b"")
            return
        if self._in_use >= self.slots:
            response.send(503, [(b"not-executed", b"1")], b"")
            return
        self._in_use += 1
        self._record_event("run", (request.get_header(b"request-id") or b"").decode())
        self.runs.append(
            {
                "id": (request.get_header(b"request-id") or b"").decode(),
                "path": request.target.decode(),
                "host": (request.get_header(b"host") or b"").decode(),
                "caller": (request.get_header(b"caller-service") or b"").decode(),
                "deadline": (request.get_header(b"request-deadline") or b"").decode(),
            }
        )
        loop = asyncio.get_running_loop()
        seconds = _read_work_seconds(request.target) or self.work_seconds
        loop.call_later(seconds, self._finish, request, response)

    def _finish(self, request, response) -> None:
        self._in_use -= 1
        if random.random() < self.lost_share:
            response.abort()
            return
        request_id = request.get_header(b"request-id") or b""
        headers = [
            (b"request-id", request_id),
            (b"response-stamp", self.name.encode()),
        ]
        response.send(200, headers, b"answer to " + request_id + request.body)


def _read_work_seconds(target: bytes) -> float:
    """Return the execution time that a request asks for, or 0."""
    query = parse_qs(urlsplit(target.decode("latin-1")).query)
    return int(query.get("work-ms", ["0"])[0]) / 1000
