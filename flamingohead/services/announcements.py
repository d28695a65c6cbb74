"""Announcements of the upstreams on this host (klein)."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Annotated, Literal

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from twisted.internet import reactor

from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.services.bounded_site import BoundedSite
from flamingohead.settings import Name, check_address, split_address

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

ANNOUNCEMENT_LIFETIME = 2.0
MAX_BODY_BYTES = 16 * 1024


class Announcement(BaseModel):
    """Hold one checked announcement of an upstream."""

    model_config = ConfigDict(extra="forbid")

    service: Name
    address: str
    slots: Annotated[int, Field(ge=1, le=10_000)]
    status: Literal["warming", "ready", "draining", "gone"]

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

    async def start(self) -> None:
        host, port = split_address(self._address)
        site = BoundedSite(self.app.resource(), max_body_bytes=MAX_BODY_BYTES)
        self._port = reactor.listenTCP(port, site, interface=host)

    async def stop(self) -> None:
        await self._port.stopListening().asFuture(asyncio.get_running_loop())

    @app.route("/v1/upstreams/<name>", methods=["PUT"])
    def _announce(self, request, name: str):
        request.setHeader("content-type", "application/json")
        try:
            announcement = Announcement.model_validate_json(request.content.read())
        except ValidationError as error:
            request.setResponseCode(400)
            return json.dumps({"error": str(error)}).encode()
        state = UpstreamState(
            name,
            announcement.service,
            UpstreamStatus[announcement.status.upper()],
            announcement.slots,
        )
        expires_at = time.monotonic() + ANNOUNCEMENT_LIFETIME
        self._kernel.get("slots").announce(state, announcement.address, expires_at)
        return b"{}"
