"""Endpoints for the platform: readiness checks and heartbeats of the upstream."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta

from flamingohead.addresses import check_named_address
from flamingohead.core.errors import ErrorKind
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.decoding import (
    DECODING_ERRORS,
    MAX_NAME_CHARACTERS,
    Name,
    Number,
    describe_decoding_error,
)
from flamingohead.events import Event, log_event
from flamingohead.platform.durations import DurationText
from flamingohead.platform.messages import Message
from flamingohead.services.endpoint import Endpoint

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

READY_PATH = b"/v1/ready"
INSTANCES_PATH = b"/v1/instances/"
# Below the 1 s that the upstream waits for the acknowledgement.
CONFIRM_TIMEOUT_SECONDS = 0.6
MAX_SLOTS = 1_000_000
# By how much the wall clock of an upstream may be ahead of that of its daemon; a clock
# in the wrong time zone is hours off.
MAX_CLOCK_LEAD_MS = 86_400_000
JSON_HEADERS = [(b"content-type", b"application/json")]


class _Heartbeat(Message):
    service: Name
    address: str
    # Failure domain and software version; required, but not used.
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Time for which the upstream stays slow after its start; decoded but not used.
    cold_remaining: DurationText
    # Increases with each message of an incarnation.
    seq: Number
    # Start of the upstream in Unix milliseconds; used as its incarnation.
    born: Number = 0


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(name: str, data: bytes) -> Announcement:
    """Decode a heartbeat to an announcement; raise ``ValueError``."""
    if not _is_usable_name(name):
        raise ValueError(f"name of {len(name)} characters")
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(data)
    except DECODING_ERRORS as error:
        raise ValueError(describe_decoding_error(error, data)) from error
    check_named_address("address", heartbeat.address)
    lead_ms = heartbeat.born - round(time.time() * 1000)
    if lead_ms > MAX_CLOCK_LEAD_MS:
        raise ValueError(f"born: found {heartbeat.born}, {lead_ms} ms from now")
    return Announcement(
        name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.slots,
        UpstreamStatus[heartbeat.state.upper()],
        heartbeat.born,
        heartbeat.seq,
    )


def _is_usable_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME_CHARACTERS


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

    def __init__(self, kernel: Kernel, address: str, **limits: int) -> None:
        super().__init__(kernel, address, **limits)
        self._response_tasks: set[asyncio.Task] = set()

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        if not request.target.startswith(INSTANCES_PATH):
            response.send(404, [], b"")
            return
        name = request.target.removeprefix(INSTANCES_PATH).decode("latin-1")
        if request.method == "PUT":
            self._handle_heartbeat(name, request, response)
        elif request.method == "DELETE" and _is_usable_name(name):
            self._kernel.get("upstreams").end_upstream(name)
            self._spawn(self._acknowledge_leave(name, response))
        else:
            response.send(405, [], b"")

    def _handle_heartbeat(
        self, name: str, request: IncomingRequest, response: ServerResponse
    ) -> None:
        try:
            announcement = decode_heartbeat(name, request.body)
            self._check_service(announcement.service)
        except ValueError as error:
            self._log_malformed(name, error)
            response.send(400, JSON_HEADERS, b'{"error":"not a heartbeat"}')
            return
        is_ready = announcement.status is UpstreamStatus.READY
        if is_ready and not self._kernel.get("arrivals").may_apply(announcement):
            self._spawn(self._confirm_heartbeat(announcement, response))
            return
        self._apply_heartbeat(announcement, response)

    def _check_service(self, service: str) -> None:
        """Raise ``ValueError`` unless the settings or the configuration name it."""
        routes = self._kernel.get("configuration").routes
        is_named = routes.version == 0 or routes.get_pool(service) is not None
        if not is_named and service != self._kernel.get("calls").own_service:
            raise ValueError(f"service: found {service!r}, which is not configured")

    async def _confirm_heartbeat(
        self, announcement: Announcement, response: ServerResponse
    ) -> None:
        """Use no upstream that may have left before this daemon was started."""
        deadline = time.monotonic() + CONFIRM_TIMEOUT_SECONDS
        is_confirmed = await self._kernel.get("arrivals").confirm(
            announcement, deadline
        )
        if response.is_disconnected:
            return
        if is_confirmed:
            self._apply_heartbeat(announcement, response)
        else:
            body = b'{"error":"the upstream may have left; send it again"}'
            response.send(503, JSON_HEADERS, body)

    def _apply_heartbeat(
        self, announcement: Announcement, response: ServerResponse
    ) -> None:
        refusal = self._kernel.get("upstreams").announce(announcement)
        if refusal is not None:
            if refusal.kind is ErrorKind.MALFORMED_REQUEST:
                self._log_malformed(announcement.name, refusal.detail)
            body = json.dumps({"error": refusal.detail}).encode()
            response.send(refusal.answer.status, JSON_HEADERS, body)
            return
        # A late message of an earlier incarnation leaves the later one in use.
        is_leaving = self._kernel.get("upstreams").is_leaving(announcement.name)
        if announcement.status is UpstreamStatus.DRAINING and is_leaving:
            self._spawn(self._acknowledge_leave(announcement.name, response))
            return
        response.send(200, JSON_HEADERS, b"{}")

    def _log_malformed(self, name: str, error: object) -> None:
        self._kernel.get("metrics").count("beat.malformed")
        log_event(logger, Event.ANNOUNCEMENT_MALFORMED, upstream=name, error=error)

    async def _acknowledge_leave(self, name: str, response: ServerResponse) -> None:
        """Respond once the leave is kept; refuse it if it isn't kept in time."""
        is_kept = await self._kernel.get("departures").record(name)
        if response.is_disconnected:
            return
        if is_kept:
            response.send(200, JSON_HEADERS, b"{}")
        else:
            body = b'{"error":"the leave could not be kept; send it again"}'
            response.send(503, JSON_HEADERS, body)

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._response_tasks.add(task)
        task.add_done_callback(self._response_tasks.discard)
