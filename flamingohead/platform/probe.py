"""One question to the upstream of this host when its daemon has started.

Its heartbeats are a second or two apart; a daemon that restarted would leave its slots
unused until the next one.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.platform.dialect import INSTANCE_HEADER, LOAD_HEADER
from flamingohead.services.http_client import CollectedAnswer
from flamingohead.services.http_messages import OutgoingRequest, find_header

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.platform.boot import HostSettings
    from flamingohead.services.http_messages import Headers

logger = logging.getLogger(__name__)

# A probe waits for a slot like any request.
PROBE_TIMEOUT_SECONDS = 1.0
WAIT_SECONDS = 0.02
# What counts of a health page is in its head.
MAX_HEALTH_BYTES = 64 * 1024
OK = 200


class UpstreamProbe:
    """Learn of a ready upstream before its first heartbeat."""

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        while not self._kernel.get("configuration").is_ready:
            await asyncio.sleep(WAIT_SECONDS)
        while not self._kernel.get("departures").is_loaded:
            await asyncio.sleep(WAIT_SECONDS)
        if self._kernel.get("upstreams").is_empty:
            announcement = await self._ask()
            if announcement is not None and self._kernel.get("upstreams").is_empty:
                self._kernel.get("upstreams").announce(announcement)

    async def _ask(self) -> Announcement | None:
        settings = self._settings
        pool = self._kernel.get("configuration").routes.get_pool(settings.service)
        if pool is None or not pool.health_path:
            return None
        deadline = time.monotonic() + PROBE_TIMEOUT_SECONDS
        path = pool.health_path.encode()
        request = OutgoingRequest("GET", path, (), b"", deadline)
        sink = CollectedAnswer(MAX_HEALTH_BYTES)
        refusal = await self._kernel.get("http_client").send(
            settings.upstream_address, request, sink, fresh=True
        )
        self._kernel.get("metrics").count("upstream.probed")
        if isinstance(refusal, Refusal) or sink.status != OK:
            return None
        return decode_health(sink.headers, settings)


def decode_health(headers: Headers, settings: HostSettings) -> Announcement | None:
    """Return what a healthy upstream says of itself; any heartbeat is newer."""
    name = find_header(headers, INSTANCE_HEADER)
    # Requests running, requests waiting, slots.
    load = (find_header(headers, LOAD_HEADER) or b"").split(b",")
    if not name or len(load) != 3 or not load[2].strip().isdigit():
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
