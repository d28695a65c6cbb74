"""Health request to the upstream of this host."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind
from flamingohead.core.lifecycle.arrivals import Health, HealthResponse
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.platform.dialect import (
    INSTANCE_HEADER,
    read_busy_count,
    split_load,
)
from flamingohead.services.http_client import CollectedResponse
from flamingohead.services.http_messages import OutgoingRequest, find_header

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.platform.boot import HostSettings
    from flamingohead.services.http_messages import Headers

# Long enough for a probe that waits for a slot of the upstream, as any request does.
PROBE_TIMEOUT_SECONDS = 1.0
# Only the headers of the health page are used; its body is discarded.
MAX_HEALTH_BYTES = 64 * 1024
OK = 200


class UpstreamProbe:
    """Send health requests to the upstream."""

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        self._settings = settings

    async def send(self) -> HealthResponse:
        """Return what the upstream responds to a health request."""
        settings = self._settings
        pool = self._kernel.get("configuration").routes.get_pool(settings.service)
        if pool is None or not pool.health_path:
            return HealthResponse(Health.UNCONFIRMED)
        deadline = time.monotonic() + PROBE_TIMEOUT_SECONDS
        path = pool.health_path.encode()
        request = OutgoingRequest("GET", path, (), b"", deadline)
        response = CollectedResponse(MAX_HEALTH_BYTES)
        refusal = await self._kernel.get("http_client").send(
            settings.upstream_address, request, response, fresh=True
        )
        if refusal is not None and refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE:
            return HealthResponse(Health.ABSENT)
        if refusal is not None or response.status != OK:
            return HealthResponse(Health.UNCONFIRMED)
        announcement = decode_health(response.headers, settings)
        if announcement is None:
            return HealthResponse(Health.UNCONFIRMED)
        busy_count = read_busy_count(response.headers)
        return HealthResponse(Health.READY, announcement, busy_count)


def decode_health(headers: Headers, settings: HostSettings) -> Announcement | None:
    """Decode the headers of a health response to an announcement.

    Its incarnation and sequence are 0, so that any heartbeat replaces it.
    """
    name = find_header(headers, INSTANCE_HEADER)
    # The load header contains the running requests, the waiting requests and the slots,
    # and on some services how long work takes at the moment.
    load = split_load(headers)
    if not name or len(load) not in (3, 4) or not load[2].isdigit():
        return None
    return Announcement(
        name.decode("latin-1"),
        settings.service,
        settings.upstream_address,
        int(load[2]),
        UpstreamStatus.READY,
        incarnation=0,
        sequence=0,
    )
