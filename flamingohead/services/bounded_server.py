"""Server of calls between daemons with a bound on its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.server import Server

from flamingohead.core.memory import Relief

if TYPE_CHECKING:
    from asyncio import Transport
    from collections.abc import Callable, Collection

    from grpclib.protocol import H2Protocol


class BoundedServer(Server):
    """Close the connection that has been open for longest without a call for a new one.

    The library has no setting for the number of connections, and calls this method for
    each. Without a bound if ``max_connections`` is 0.
    """

    def __init__(
        self,
        handlers: Collection,
        *,
        max_connections: int,
        report: Callable[[Relief, int], None],
    ) -> None:
        super().__init__(handlers)
        self._max_connections = max_connections
        self._report = report
        # In the order in which they were opened.
        self._open: dict[H2Protocol, Transport] = {}

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        connection_made = protocol.connection_made
        connection_lost = protocol.connection_lost

        def record_open(transport: Transport) -> None:
            is_admitted = self._make_room()
            connection_made(transport)
            self._open[protocol] = transport
            if not is_admitted:
                transport.abort()

        def record_lost(exception: BaseException | None) -> None:
            self._open.pop(protocol, None)
            connection_lost(exception)

        protocol.connection_made = record_open
        protocol.connection_lost = record_lost
        return protocol

    def _make_room(self) -> bool:
        """Return whether another connection may be opened; close one if necessary."""
        if not self._max_connections or len(self._open) < self._max_connections:
            return True
        self._report(Relief.CONNECTION_REPLACED, 0)
        for protocol, transport in self._open.items():
            if not protocol.processor.streams:
                del self._open[protocol]
                transport.abort()
                return True
        return False
