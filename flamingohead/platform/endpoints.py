"""Endpoints for the platform: readiness checks and heartbeats of the upstream."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta

from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.decoding import DECODING_ERRORS, describe_decoding_error
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


class _Heartbeat(Message):
    service: Annotated[str, Meta(min_length=1)]
    address: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal["ready", "draining"]
    # Increases with each message of an incarnation.
    seq: Annotated[int, Meta(ge=0)]
    # Time for which the upstream stays slow after its start; decoded but not used.
    cold_remaining: DurationText = "0ms"
    # Start of the upstream in Unix milliseconds; used as its incarnation.
    born: Annotated[int, Meta(ge=0)] = 0


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(name: str, data: bytes) -> Announcement:
    """Decode a heartbeat to an announcement; raise ``ValueError``."""
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(data)
    except DECODING_ERRORS as error:
        raise ValueError(describe_decoding_error(error, data)) from error
    return Announcement(
        name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.slots,
        UpstreamStatus[heartbeat.state.upper()],
        heartbeat.born,
        heartbeat.seq,
    )


class ReadyEndpoint(Endpoint):
    """Report to the platform whether this daemon is ready for callers."""

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if request.target != READY_PATH:
            response.send(404, [], b"")
            return
        is_stopping = self._kernel.get("calls").is_stopping
        is_ready = self._kernel.get("configuration").is_ready and not is_stopping
        is_ready = is_ready and self._kernel.get("attempts").can_serve()
        response.send(200 if is_ready else 503, [], b"")


class InstanceEndpoint(Endpoint):
    """Handle the heartbeats and the leave of the upstream on this host."""

    def __init__(self, kernel: Kernel, address: str) -> None:
        super().__init__(kernel, address)
        self._response_tasks: set[asyncio.Task] = set()

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if not request.target.startswith(INSTANCES_PATH):
            response.send(404, [], b"")
            return
        name = request.target.removeprefix(INSTANCES_PATH).decode("latin-1")
        if request.method == "PUT":
            self._handle_heartbeat(name, request, response)
        elif request.method == "DELETE":
            self._kernel.get("upstreams").end_upstream(name)
            self._acknowledge_leave(name, response)
        else:
            response.send(405, [], b"")

    def _handle_heartbeat(
        self, name: str, request: IncomingRequest, response: ServerResponse
    ) -> None:
        try:
            announcement = decode_heartbeat(name, request.body)
        except ValueError as error:
            self._kernel.get("metrics").count("beat.malformed")
            log_event(logger, Event.ANNOUNCEMENT_MALFORMED, upstream=name, error=error)
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
        """Respond once the leave is stored or the time limit for storing it is over."""

        async def respond() -> None:
            await self._kernel.get("departures").record(name)
            if not response.is_disconnected:
                response.send(200, JSON_HEADERS, b"{}")

        task = asyncio.get_running_loop().create_task(respond())
        self._response_tasks.add(task)
        task.add_done_callback(self._response_tasks.discard)
