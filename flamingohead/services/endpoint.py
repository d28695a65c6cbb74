"""A listening address of the daemon with its own request handler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.addresses import split_address
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.transport import listen

if TYPE_CHECKING:
    import asyncio

    from flamingohead.kernel import Kernel
    from flamingohead.services.http_messages import IncomingRequest
    from flamingohead.services.http_response import ServerResponse


class Endpoint:
    """Listen on an address and pass each request to ``_handle``."""

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self._server: asyncio.Server | None = None
        self._factory: HttpServerFactory | None = None

    async def start(self) -> None:
        count = self._kernel.get("metrics").count_refusal
        self._factory = HttpServerFactory(self._handle, count)
        host, port = split_address(self._address)
        self._server = await listen(self._factory, host, port)

    async def stop(self) -> None:
        self._server.close()
        self._factory.doStop()

    def _handle(self, request: IncomingRequest, response: ServerResponse) -> None:
        raise NotImplementedError
