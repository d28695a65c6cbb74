"""Tests of connections on the daemons' event loop."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest
import uvloop
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol

from flamingohead.services.transport import connect

STALL_SECONDS = 0.1
NO_LINGER = struct.pack("ii", 1, 0)


class FakeReader(Protocol):
    """Record the received data and how the connection ends."""

    def __init__(self, closed):
        self.data = b""
        self.closed = closed

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason):
        self.closed.set_result(reason)


async def receive(*, resets, stalls):
    """Return the data and end of a connection; with `stalls` both arrive at once."""
    listener = socket.create_server(("127.0.0.1", 0))
    reader = FakeReader(asyncio.get_running_loop().create_future())
    await connect(reader, *listener.getsockname())
    connection, _ = listener.accept()
    connection.send(b"part")
    if not stalls:
        await asyncio.sleep(STALL_SECONDS)
    if resets:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()
    if stalls:
        time.sleep(STALL_SECONDS)
    reason = await reader.closed
    listener.close()
    return reader.data, reason


class TestEnds:
    @pytest.mark.parametrize("stalls", [False, True])
    @pytest.mark.parametrize("resets", [False, True])
    def test_reset_after_data_is_distinguished_from_a_close(self, resets, stalls):
        loop = uvloop.new_event_loop()
        try:
            data, reason = loop.run_until_complete(
                receive(resets=resets, stalls=stalls)
            )
        finally:
            loop.close()
        assert data == b"part"
        assert reason.check(ConnectionLost if resets else ConnectionDone)
