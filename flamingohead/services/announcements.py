"""The HTTP endpoint for announcements of upstreams on this host (klein)."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Annotated, Literal

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from twisted.internet import reactor

from flamingohead.addresses import check_address, split_address
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.services.bounded_site import BoundedSite
from flamingohead.settings import Name

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

MAX_BODY_BYTES = 16 * 1024


class AnnouncementBody(BaseModel):
    """Validate the announcement of an upstream."""

    model_config = ConfigDict(extra="forbid")

    service: Name
    address: str
    slots: Annotated[int, Field(ge=1, le=10_000)]
    status: Literal["warming", "ready", "draining", "gone"]
    incarnation: Annotated[int, Field(ge=0, description="increases with each start")]
    sequence: Annotated[int, Field(ge=0, description="increases with each message")]

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        check_address(value)
        return value


class AnnouncementService:
    """Receive the periodic announcements of the upstreams on this host."""

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
        refusal = self._kernel.get("upstreams").announce(announcement)
        if refusal is not None:
            request.setResponseCode(refusal.answer.status)
            return json.dumps({"error": refusal.detail}).encode()
        return b"{}"
