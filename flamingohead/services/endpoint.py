"""A listening address of the daemon with its own request handler."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from flamingohead.addresses import split_address
from flamingohead.core.memory import (
    ENDPOINT_BUDGET_BYTES,
    MAX_ENDPOINT_CONNECTIONS,
    ByteBudget,
)
from flamingohead.services.http_parser import ReadLimits
from flamingohead.services.http_server import HttpServerFactory, ServerLimits
from flamingohead.services.memory_relief import report_relief
from flamingohead.services.transport import listen

if TYPE_CHECKING:
    import asyncio

    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse


# Heartbeats, the largest requests of endpoints, have a few hundred bytes.
ENDPOINT_LIMITS = ServerLimits(ReadLimits(head_bytes=16 * 1024, body_bytes=64 * 1024))


class Endpoint:
    """Listen on an address and pass each request to ``_handle``.

    What its connections hold is bounded apart from the budget of callers, so that
    neither can take the memory or the descriptors of the other.
    """

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        *,
        max_connections: int = MAX_ENDPOINT_CONNECTIONS,
    ) -> None:
        self._kernel = kernel
        self._address = address
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._factory: HttpServerFactory | None = None

    async def start(self) -> None:
        metrics = self._kernel.get("metrics")
        budget = ByteBudget(ENDPOINT_BUDGET_BYTES)
        self._factory = HttpServerFactory(self._handle, metrics.count_refusal, budget)
        self._factory.limits = ENDPOINT_LIMITS
        self._factory.max_connections = self._max_connections
        self._factory.report = functools.partial(report_relief, metrics, budget)
        host, port = split_address(self._address)
        self._server = await listen(self._factory, host, port)

    async def stop(self) -> None:
        self._server.close()
        self._factory.doStop()

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        raise NotImplementedError
