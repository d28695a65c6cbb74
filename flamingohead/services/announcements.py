"""Announcements of the upstreams on this host (klein)."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from typing import TYPE_CHECKING, Annotated, Literal

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from flamingohead.core.errors import Refusal
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import (
    Announcement,
    UpstreamChanged,
    UpstreamRegistry,
    UpstreamStage,
)
from flamingohead.events import Event, log_event
from flamingohead.services.bounded_site import BoundedSite
from flamingohead.settings import Name, check_address, split_address

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD = 0.1
MAX_BODY_BYTES = 16 * 1024


class AnnouncementBody(BaseModel):
    """Hold one checked announcement of an upstream."""

    model_config = ConfigDict(extra="forbid")

    service: Name
    address: str
    slots: Annotated[int, Field(ge=1, le=10_000)]
    status: Literal["warming", "ready", "draining", "gone"]
    incarnation: Annotated[int, Field(ge=0, description="grows with each start")]
    sequence: Annotated[int, Field(ge=0, description="grows with each message")]

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        check_address(value)
        return value


class AnnouncementService:
    """Hear upstreams that announce themselves again and again."""

    app = Klein()

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self._port = None
        self._registry = UpstreamRegistry()
        self._ticks = LoopingCall(self._tick)

    async def start(self) -> None:
        host, port = split_address(self._address)
        site = BoundedSite(self.app.resource(), max_body_bytes=MAX_BODY_BYTES)
        self._port = reactor.listenTCP(port, site, interface=host)
        self._ticks.start(TICK_PERIOD, now=False)

    async def stop(self) -> None:
        self._ticks.stop()
        await self._port.stopListening().asFuture(asyncio.get_running_loop())

    @app.route("/v1/upstreams/<name>", methods=["PUT"])
    def _announce(self, request, name: str):
        request.setHeader("content-type", "application/json")
        try:
            body = AnnouncementBody.model_validate_json(request.content.read())
        except ValidationError as error:
            request.setResponseCode(400)
            return json.dumps({"error": str(error)}).encode()
        announcement = Announcement(
            name,
            body.service,
            body.address,
            body.slots,
            UpstreamStatus[body.status.upper()],
            body.incarnation,
            body.sequence,
        )
        result = self._registry.announce(announcement, time.monotonic())
        if isinstance(result, Refusal):
            request.setResponseCode(result.answer.status)
            return json.dumps({"error": result.detail}).encode()
        self._take_changes(result)
        self._update_slots(name)
        return b"{}"

    def _tick(self) -> None:
        now = time.monotonic()
        self._take_changes(self._registry.tick(now))
        for name, upstream in list(self._kernel.get("slots").upstreams.items()):
            load = upstream.admission.in_use / max(1, upstream.admission.limit)
            if self._registry.set_load(name, load, now):
                self._update_slots(name)

    def _take_changes(self, changes: list[UpstreamChanged]) -> None:
        for change in changes:
            name = change.announcement.name
            log_event(
                logger, Event.UPSTREAM_CHANGED, upstream=name, status=change.stage.name
            )
            self._kernel.get("metrics").count(f"upstream.{change.stage.value}")
            if change.stage in (UpstreamStage.GONE, UpstreamStage.LOST):
                self._kernel.get("slots").remove(name)

    def _update_slots(self, name: str) -> None:
        for state in self._registry.list_states():
            if state.name == name:
                address = self._registry.get_address(name)
                self._kernel.get("slots").announce(state, address)
