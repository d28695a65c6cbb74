"""Stand-in for an upstream that speaks the platform's messages."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from dataclasses import dataclass, field

from flamingohead.addresses import split_address
from flamingohead.core.errors import Refusal
from flamingohead.services.http_client import CollectedAnswer, HttpClientService
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.transport import listen

logger = logging.getLogger(__name__)

BEAT_PERIOD = 0.3
STATUS_PATH = b"/standin/runs"
MAX_ANSWER_BYTES = 4096


@dataclass
class InstanceStandin:
    """Run requests one after another in ``slots`` places; note what it ran."""

    name: str
    service: str
    address: str
    control_address: str
    slots: int = 4
    work_seconds: float = 0.02
    # How long it serves on after its leave.
    drain_seconds: float = 0.0
    # Of the answers, those whose connection is cut in their place.
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
        """Send heartbeats until told to stop, then drain and leave."""
        client = HttpClientService()
        while not stopping.is_set():
            await self._beat(client, "ready")
            try:
                await asyncio.wait_for(stopping.wait(), BEAT_PERIOD)
            except TimeoutError:
                pass
        if await self._beat(client, "draining"):
            self._note("left")
        await asyncio.sleep(self.drain_seconds)
        while self._in_use:
            await asyncio.sleep(0.02)
        await self._send(client, "DELETE", b"")

    async def _beat(self, client: HttpClientService, state: str) -> bool:
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
        answer = CollectedAnswer(MAX_ANSWER_BYTES)
        refusal = await client.send(self.control_address, request, answer)
        if isinstance(refusal, Refusal):
            logger.debug("heartbeat not taken: %s", refusal.detail)
        return refusal is None and answer.status == 200

    def _note(self, event: str, request_id: str = "") -> None:
        """Add a line to the journal; the page cache outlasts a kill."""
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
        self._note("run", (request.get_header(b"request-id") or b"").decode())
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
        loop.call_later(self.work_seconds, self._finish, request, response)

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
