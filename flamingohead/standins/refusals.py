"""Refusals of a stand-in upstream, and the duplicates that it writes of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse
    from flamingohead.services.http_server import HttpServerProtocol

REFUSED_STATUS = 503
STATUS_LINE = b"HTTP/1.1 503 Service Unavailable\r\n"


@dataclass(frozen=True)
class Duplicate:
    """Hold when a duplicate follows its refusal.

    Without ``delay_seconds``, it is written in front of the response to the next
    request of the connection.
    """

    delay_seconds: float | None = None


def parse_duplicate(value: str | None) -> Duplicate | None:
    """Return the duplicate named by ``next`` or by a delay in milliseconds."""
    if not value:
        return None
    return Duplicate() if value == "next" else Duplicate(int(value) / 1000)


class RefusalWriter:
    """Write refusals and their duplicates."""

    def __init__(self) -> None:
        self._pending: dict[HttpServerProtocol, list[bytes]] = {}

    def refuse(
        self, response: ServerResponse, headers: Headers, duplicate: Duplicate | None
    ) -> None:
        """Send a refusal; its duplicate has the same bytes."""
        response.send(REFUSED_STATUS, headers, b"")
        if duplicate is None:
            return
        lines = [b"%b: %b\r\n" % header for header in headers]
        data = STATUS_LINE + b"".join(lines) + b"content-length: 0\r\n\r\n"
        connection = response.connection
        if duplicate.delay_seconds is None:
            self._pending.setdefault(connection, []).append(data)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(duplicate.delay_seconds, connection.write, data)

    def write_pending(self, connection: HttpServerProtocol) -> None:
        """Write the duplicates that precede the next response of a connection."""
        for data in self._pending.pop(connection, ()):
            connection.write(data)
