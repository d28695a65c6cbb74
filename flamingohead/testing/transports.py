"""Transport that records calls, for tests of protocols without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from twisted.internet.protocol import Protocol


class FakeTransport:
    """Record the calls that a protocol makes on its transport.

    ``unsent_bytes`` may be set to simulate a peer that reads slowly.
    """

    def __init__(self, protocol: Protocol) -> None:
        self.protocol = protocol
        self.written = b""
        self.is_reading = True
        self.is_closed = False
        self.is_write_closed = False
        self.is_lost = False
        self.unsent_bytes = 0
        protocol.makeConnection(self)

    def deliver(self, data: bytes) -> None:
        """Pass data to the protocol as if it had been received."""
        if not self.is_closed and data:
            self.protocol.dataReceived(data)

    def disconnect(self) -> None:
        """Notify the protocol that the connection has ended."""
        if not self.is_lost:
            self.is_closed = self.is_lost = True
            self.protocol.connectionLost(Failure(ConnectionDone()))

    # Interface of a Twisted transport

    def write(self, data: bytes) -> None:
        if not self.is_closed and not self.is_write_closed:
            self.written += data

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_write_closed = True

    def loseConnection(self) -> None:  # noqa: N802
        self.is_closed = True

    def abortConnection(self) -> None:  # noqa: N802
        self.is_closed = True

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        self.is_reading = True

    def registerProducer(self, producer, streaming: bool) -> None:  # noqa: N802
        pass

    def unregisterProducer(self) -> None:  # noqa: N802
        pass

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def get_unsent_bytes(self) -> int:
        return self.unsent_bytes


class RecordingSink:
    """Record the response of one exchange."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False

    def start(self, status: int, headers, length: int | None) -> None:
        self.status = status

    def write(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.is_complete = True
