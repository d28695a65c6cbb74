"""Health request to the upstream of this host at the start of its daemon.

Heartbeats are 1 to 2 s apart. Without the request, a restarted daemon could not use the
slots of its upstream until the next heartbeat.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
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

logger = logging.getLogger(__name__)

# Long enough for a probe that waits for a slot of the upstream, as any request does.
PROBE_TIMEOUT_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02
# Only the headers of the health page are used; its body is discarded.
MAX_HEALTH_BYTES = 64 * 1024
OK = 200


class UpstreamProbe:
    """Detect a ready upstream before its first heartbeat."""

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._task: asyncio.Task | None = None
        self._busy_count: int | None = None

    async def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        while not self._kernel.get("configuration").is_ready:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        while not self._kernel.get("departures").knows_earlier:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if self._kernel.get("upstreams").is_empty:
            announcement = await self._send_probe()
            if announcement is not None and self._kernel.get("upstreams").is_empty:
                self._kernel.get("upstreams").announce(announcement)
            if announcement is not None:
                self._keep_slots(announcement.name)

    def _keep_slots(self, name: str) -> None:
        """Keep the slots of requests that an earlier daemon of this host has sent."""
        if self._busy_count:
            self._kernel.get("slots").inherit(name, self._busy_count)

    async def _send_probe(self) -> Announcement | None:
        settings = self._settings
        pool = self._kernel.get("configuration").routes.get_pool(settings.service)
        if pool is None or not pool.health_path:
            return None
        deadline = time.monotonic() + PROBE_TIMEOUT_SECONDS
        path = pool.health_path.encode()
        request = OutgoingRequest("GET", path, (), b"", deadline)
        response = CollectedResponse(MAX_HEALTH_BYTES)
        refusal = await self._kernel.get("http_client").send(
            settings.upstream_address, request, response, fresh=True
        )
        self._kernel.get("metrics").count("upstream.probed")
        if isinstance(refusal, Refusal) or response.status != OK:
            return None
        self._busy_count = read_busy_count(response.headers)
        return decode_health(response.headers, settings)


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
