"""HTTP/1.1 towards upstreams and other daemons."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol as TypingProtocol

import httptools
from twisted.internet.protocol import Protocol, connectionDone

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.http_server import HOP_HEADERS
from flamingohead.services.transport import connect
from flamingohead.settings import split_address

if TYPE_CHECKING:
    from flamingohead.services.http_server import Headers

CONNECT_TIMEOUT = 0.5
MAX_IDLE_SECONDS = 10.0
MAX_IDLE_CONNECTIONS = 64


@dataclass(frozen=True)
class OutgoingRequest:
    """Hold one request to send; ``deadline`` in monotonic seconds."""

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline: float

    def encode(self, host: str) -> bytes:
        """Return the request in HTTP/1.1 wire form."""
        parts = [
            b"%b %b HTTP/1.1\r\nhost: %b\r\n"
            % (self.method.encode(), self.target, host.encode())
        ]
        for name, value in self.headers:
            if name not in HOP_HEADERS and name != b"host" and name != b"expect":
                parts.append(b"%b: %b\r\n" % (name, value))
        if self.body or self.method in ("POST", "PUT", "PATCH"):
            parts.append(b"content-length: %d\r\n" % len(self.body))
        parts.append(b"\r\n")
        parts.append(self.body)
        return b"".join(parts)


class AnswerSink(TypingProtocol):
    """Take an answer as it arrives."""

    def start(self, status: int, headers: Headers, length: int | None) -> None: ...

    def write(self, data: bytes) -> None: ...

    def finish(self) -> None: ...


class ClientConnection(Protocol):
    """Carry one exchange at a time; unusable after a cut or a timeout."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.is_open = True
        self._parser = None
        self._sink: AnswerSink | None = None
        self._done: asyncio.Future | None = None
        self._status = 0
        self._headers: Headers = []
        self._method = ""
        self._has_length = False

    def exchange(self, request: OutgoingRequest, sink: AnswerSink) -> asyncio.Future:
        """Send a request; the future gives ``None`` when the answer is whole."""
        self._parser = httptools.HttpResponseParser(self)
        self._sink = sink
        self._headers = []
        self._method = request.method
        self._has_length = False
        self._done = asyncio.get_running_loop().create_future()
        self.transport.write(request.encode(self.address))
        return self._done

    def close(self) -> None:
        """Drop the connection and what may still arrive on it."""
        self.is_open = False
        self._sink = None
        self.transport.abortConnection()

    def pause(self) -> None:
        self.transport.pauseProducing()

    def resume(self) -> None:
        if self.is_open:
            self.transport.resumeProducing()

    # Transport

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._sink is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ErrorKind.UPSTREAM_CUT, f"answer not understood: {error}")

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._fail(ErrorKind.UPSTREAM_CUT, "connection lost before the answer ended")

    # Parser

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < 200:
            self._headers = []
            return
        length = self._find_length()
        headers = [(n, v) for n, v in self._headers if n not in HOP_HEADERS]
        self._sink.start(self._status, headers, length)
        if self._method == "HEAD":
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        if self._sink is not None:
            self._sink.write(body)

    def on_message_complete(self) -> None:
        if self._status < 200 or self._sink is None:
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _find_length(self) -> int | None:
        for name, value in self._headers:
            if name == b"content-length":
                return int(value)
        return None

    def _finish(self, *, reusable: bool) -> None:
        sink, self._sink = self._sink, None
        done, self._done = self._done, None
        if not reusable:
            self.is_open = False
        sink.finish()
        if done is not None and not done.done():
            done.set_result(None)

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        self.is_open = False
        self._sink = None
        done, self._done = self._done, None
        if done is not None and not done.done():
            done.set_result(Refusal(kind, detail))
        self.transport.abortConnection()


class HttpClientService:
    """Keep idle connections by address and make exchanges on them."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def send(
        self,
        address: str,
        request: OutgoingRequest,
        sink: AnswerSink,
        *,
        fresh: bool = False,
        on_connection=None,
    ) -> Refusal | None:
        """Send a request to an address; ``None`` means a whole answer.

        ``fresh`` forbids idle connections. ``on_connection`` is called with the
        connection used, before anything is sent. A refusal of a kind other than
        ``UPSTREAM_UNREACHABLE`` means that the request may have run.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._connect(address, request.deadline)
        if isinstance(connection, Refusal):
            return connection
        if on_connection is not None:
            on_connection(connection)
        return await self._exchange(connection, request, sink)

    async def _exchange(self, connection, request, sink) -> Refusal | None:
        done = connection.exchange(request, sink)
        timer = asyncio.get_running_loop().call_later(
            max(0.0, request.deadline - time.monotonic()), _expire, connection, done
        )
        try:
            result = await done
        except BaseException:
            connection.close()
            raise
        finally:
            timer.cancel()
        if result is None and connection.is_open:
            self._keep_idle(connection)
        else:
            connection.close()
        return result

    async def _connect(
        self, address: str, deadline: float
    ) -> ClientConnection | Refusal:
        host, port = split_address(address)
        timeout = min(CONNECT_TIMEOUT, deadline - time.monotonic())
        if timeout <= 0:
            return Refusal(ErrorKind.DEADLINE_PASSED, "no time left to connect")
        connection = ClientConnection(address)
        try:
            async with asyncio.timeout(timeout):
                await connect(connection, host, port)
        except OSError as error:
            detail = f"can't connect to {address}: {type(error).__name__}"
            return Refusal(ErrorKind.UPSTREAM_UNREACHABLE, detail)
        return connection

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        oldest = time.monotonic() - MAX_IDLE_SECONDS
        while idle:
            connection = idle.pop()
            if connection.is_open and connection.idle_since > oldest:
                return connection
            if connection.is_open:
                connection.close()
        return None

    def _keep_idle(self, connection: ClientConnection) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)


def _expire(connection: ClientConnection, done: asyncio.Future) -> None:
    if not done.done():
        done.set_result(Refusal(ErrorKind.UPSTREAM_TIMEOUT, "deadline passed"))
        connection.close()
