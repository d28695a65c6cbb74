"""Adapters that run Twisted protocols on asyncio transports.

The request path uses Twisted's protocol classes on asyncio's own transports: these
write to the socket immediately, whereas a transport of Twisted's asyncio reactor
waits for the next iteration of the event loop to become writable.
"""

from __future__ import annotations

import asyncio
import os
import socket
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

LISTEN_BACKLOG = 512
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Detects a failed host or network path within about two seconds, before most request
# deadlines expire, and still tolerates the loss of several consecutive packets.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000


class AsyncioTransport(asyncio.Protocol):
    """Implement the part of ``ITCPTransport`` that the protocols use."""

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol
        self._transport: asyncio.Transport | None = None
        self._producer = None
        self._reading = True
        self._reset_error: OSError | None = None
        self.data_received = protocol.dataReceived

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.write = transport.write
        self._protocol.makeConnection(self)

    def eof_received(self) -> bool:
        # libuv reports end of stream for data followed by a reset; reading from the
        # socket still returns the error.
        try:
            unread = os.read(self._transport.get_extra_info("socket").fileno(), 1)
        except OSError as error:
            self._reset_error = error
        else:
            self._reset_error = (
                OSError("data received after the end of the stream") if unread else None
            )
        return False

    def connection_lost(self, error: Exception | None) -> None:
        error = error or self._reset_error
        reason = ConnectionDone() if error is None else ConnectionLost(str(error))
        self._protocol.connectionLost(Failure(reason))

    def pause_writing(self) -> None:
        if self._producer is not None:
            self._producer.pauseProducing()

    def resume_writing(self) -> None:
        if self._producer is not None:
            self._producer.resumeProducing()

    # Twisted

    def loseConnection(self) -> None:  # noqa: N802
        self._transport.close()

    def loseWriteConnection(self) -> None:  # noqa: N802
        if not self._transport.is_closing():
            self._transport.write_eof()

    def abortConnection(self) -> None:  # noqa: N802
        self._transport.abort()

    def pauseProducing(self) -> None:  # noqa: N802
        if self._reading and not self._transport.is_closing():
            self._reading = False
            self._transport.pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        if not self._reading and not self._transport.is_closing():
            self._reading = True
            self._transport.resume_reading()

    def get_unsent_bytes(self) -> int:
        """Return the number of bytes written but not yet sent."""
        return self._transport.get_write_buffer_size()

    def registerProducer(self, producer, streaming: bool) -> None:  # noqa: N802
        self._producer = producer

    def unregisterProducer(self) -> None:  # noqa: N802
        self._producer = None

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        connection = self._transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, int(enabled))


class AsyncioDatagramTransport(asyncio.DatagramProtocol):
    """Implement the datagram transport for a Twisted datagram protocol."""

    def __init__(self, protocol: DatagramProtocol) -> None:
        self._protocol = protocol
        self._transport: asyncio.DatagramTransport | None = None

    # asyncio

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        self._protocol.makeConnection(self)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self._protocol.datagramReceived(data, address)

    def error_received(self, error: OSError) -> None:
        self._protocol.connectionRefused()

    # Twisted

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, address)

    def close(self) -> None:
        self._transport.close()


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; raise ``OSError``.

    Passing the host to the event loop instead would resolve it on executor threads,
    which the loop then keeps.
    """
    listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


async def listen(factory: Factory, host: str, port: int) -> asyncio.Server:
    """Accept connections with protocols built by the factory."""
    factory.doStart()
    return await asyncio.get_running_loop().create_server(
        lambda: AsyncioTransport(factory.buildProtocol(None)),
        sock=bind(host, port),
        backlog=LISTEN_BACKLOG,
    )


async def listen_datagrams(
    protocol: DatagramProtocol, host: str, port: int
) -> AsyncioDatagramTransport:
    """Receive datagrams on an address; raise ``OSError``."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        receiver.bind((host, port))
    except OSError as error:
        receiver.close()
        detail = f"{error.strerror} (datagrams at {host}:{port})"
        raise OSError(error.errno, detail) from error
    receiver.setblocking(False)
    _, datagrams = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: AsyncioDatagramTransport(protocol), sock=receiver
    )
    return datagrams


async def connect(protocol: Protocol, host: str, port: int) -> None:
    """Connect a protocol to an address; raise ``OSError``."""
    transport, _ = await asyncio.get_running_loop().create_connection(
        lambda: AsyncioTransport(protocol), host, port
    )
    _enable_keepalive(transport.get_extra_info("socket"))


def _enable_keepalive(connection: socket.socket) -> None:
    """Enable TCP keepalive and the user timeout, to detect an unresponsive peer."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
