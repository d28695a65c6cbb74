"""The addresses at which the platform calls a daemon: readiness and announcements."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta

from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.decoding import UNREADABLE, describe_problem
from flamingohead.events import Event, log_event
from flamingohead.platform.durations import DurationText
from flamingohead.platform.messages import Message
from flamingohead.services.endpoint import Endpoint

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

READY_PATH = b"/v1/ready"
INSTANCES_PATH = b"/v1/instances/"
JSON_HEADERS = [(b"content-type", b"application/json")]


class _Beat(Message):
    service: Annotated[str, Meta(min_length=1)]
    address: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal["ready", "draining"]
    # Grows with each message of one start.
    seq: Annotated[int, Meta(ge=0)]
    # How much longer the upstream stays slow after its start.
    cold_remaining: DurationText = "0ms"
    # Unix milliseconds of the start.
    born: Annotated[int, Meta(ge=0)] = 0


_BEATS = msgspec.json.Decoder(_Beat)


def decode_beat(name: str, data: bytes) -> Announcement:
    """Return the announcement in a heartbeat; raise ``ValueError``."""
    try:
        beat = _BEATS.decode(data)
    except UNREADABLE as error:
        raise ValueError(describe_problem(error, data)) from error
    return Announcement(
        name,
        beat.service,
        beat.address,
        beat.slots,
        UpstreamStatus[beat.state.upper()],
        beat.born,
        beat.seq,
    )


class ReadyEndpoint(Endpoint):
    """Tell the platform whether callers may be sent to this daemon."""

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if request.target != READY_PATH:
            response.send(404, [], b"")
            return
        is_stopping = self._kernel.get("calls").is_stopping
        is_ready = self._kernel.get("configuration").is_ready and not is_stopping
        is_ready = is_ready and self._kernel.get("attempts").can_serve()
        response.send(200 if is_ready else 503, [], b"")


class InstanceEndpoint(Endpoint):
    """Take the heartbeats and the leave of the upstream on this host."""

    def __init__(self, kernel: Kernel, address: str) -> None:
        super().__init__(kernel, address)
        self._answers: set[asyncio.Task] = set()

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if not request.target.startswith(INSTANCES_PATH):
            response.send(404, [], b"")
            return
        name = request.target.removeprefix(INSTANCES_PATH).decode("latin-1")
        if request.method == "PUT":
            self._take_beat(name, request, response)
        elif request.method == "DELETE":
            self._kernel.get("upstreams").end(name)
            self._acknowledge_leave(name, response)
        else:
            response.send(405, [], b"")

    def _take_beat(
        self, name: str, request: IncomingRequest, response: ServerResponse
    ) -> None:
        try:
            announcement = decode_beat(name, request.body)
        except ValueError as error:
            self._kernel.get("metrics").count("beat.malformed")
            log_event(logger, Event.BEAT_MALFORMED, upstream=name, error=error)
            response.send(400, JSON_HEADERS, b'{"error":"not a heartbeat"}')
            return
        refusal = self._kernel.get("upstreams").announce(announcement)
        if refusal is not None:
            body = json.dumps({"error": refusal.detail}).encode()
            response.send(refusal.answer.status, JSON_HEADERS, body)
            return
        if announcement.status is UpstreamStatus.DRAINING:
            self._acknowledge_leave(name, response)
            return
        response.send(200, JSON_HEADERS, b"{}")

    def _acknowledge_leave(self, name: str, response: ServerResponse) -> None:
        """Answer once the leave would outlast this process."""

        async def answer() -> None:
            await self._kernel.get("departures").record(name)
            if not response.is_disconnected:
                response.send(200, JSON_HEADERS, b"{}")

        task = asyncio.get_running_loop().create_task(answer())
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)
