"""HTTP/1.1 client for upstreams and other daemons."""

from __future__ import annotations

import asyncio
import functools
import logging
import math
import time
from typing import TYPE_CHECKING

from flamingohead.addresses import split_address
from flamingohead.core.calls import REQUEST_ID_HEADER
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.transfers.links import Link
from flamingohead.core.transfers.pacing import Pacer
from flamingohead.events import Event, log_event
from flamingohead.services.byte_bounds import ByteBound
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest, find_header
from flamingohead.services.transport import connect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.services.http_connection import ResponseSink
    from flamingohead.services.http_messages import Headers

    Connect = Callable[[ClientConnection, str, int], Awaitable[None]]

__all__ = ["HttpClientService", "OutgoingRequest"]

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_SECONDS = 8.0
# Subtracted from the Keep-Alive timeout of a peer, which may close right at that time.
IDLE_MARGIN_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 64


class CollectedResponse:
    """Collect a complete response with a body of at most ``limit`` bytes."""

    def __init__(self, limit: int) -> None:
        self.status = 0
        self.headers: Headers = []
        self._bound = ByteBound(limit)
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        return b"".join(self._parts)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        self.status = status
        self.headers = headers

    def write(self, data: bytes) -> None:
        self._bound.add(len(data))
        self._parts.append(data)

    def finish(self) -> None:
        pass


class ConnectionPool:
    """Pool idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}

    def acquire(
        self,
        address: str,
        now: float,
        *,
        request: OutgoingRequest | None = None,
        max_idle_seconds: float = math.inf,
    ) -> ClientConnection | None:
        """Return an idle connection that may carry a request, or ``None``.

        Its last complete response ended less than ``max_idle_seconds`` ago.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle[-1]
            usable = connection.is_open and now < connection.idle_until
            if usable and now - connection.idle_since >= max_idle_seconds:
                return None
            if usable and request is not None and not connection.may_carry(request):
                _log_avoided(connection, request)
                return None
            idle.pop()
            if usable:
                return connection
            connection.close()
        return None

    def release(
        self, connection: ClientConnection, result: Refusal | None, now: float
    ) -> None:
        """Pool a connection after a complete response, and close it otherwise."""
        idle = self._idle.setdefault(connection.address, [])
        if result is not None or not connection.is_open:
            connection.close()
            return
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            # Evicts the connection that has been idle longest: the least likely reused.
            idle.pop(0).close()
        peer_timeout = connection.idle_seconds
        idle_seconds = MAX_IDLE_SECONDS
        if peer_timeout is not None:
            idle_seconds = min(idle_seconds, peer_timeout - IDLE_MARGIN_SECONDS)
        connection.idle_until = now + idle_seconds
        connection.idle_since = now
        connection.resume()
        idle.append(connection)

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()


class _ExpiryTimer:
    """Fail the exchange of a connection when its response counts as lost."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        delay = self._connection.expires_at - time.monotonic()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.0, delay), self._check)

    def stop(self) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def _check(self) -> None:
        if time.monotonic() >= self._connection.expires_at:
            self._connection.expire()
        else:
            self.start()


class HttpClientService:
    """Run exchanges on new and on pooled connections."""

    def __init__(self, connect: Connect = connect, *, link_mbps: int = 0) -> None:
        self._connect_protocol = connect
        self._pool = ConnectionPool()
        # Shared by all connections of the daemon, and so is the link of its host.
        self._pacer = Pacer(Link(link_mbps))

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        self._pool.close()

    async def send(
        self,
        address: str,
        request: OutgoingRequest,
        sink: ResponseSink,
        *,
        fresh: bool = False,
        max_idle_seconds: float = math.inf,
        on_connection: Callable[[ClientConnection], None] | None = None,
    ) -> Refusal | None:
        """Send a request to an address; return ``None`` after a complete response.

        ``fresh`` forces a new connection; otherwise a pooled one is reused if it has
        been idle for less than ``max_idle_seconds`` since its last complete response.
        ``on_connection`` is called with the connection before anything is sent. A
        refusal of a kind other than ``UPSTREAM_UNREACHABLE`` means that the request may
        have been executed.
        """
        connection = None
        if not fresh:
            now = time.monotonic()
            connection = self._pool.acquire(
                address, now, request=request, max_idle_seconds=max_idle_seconds
            )
        if connection is None:
            connection = await self._connect(address, request.deadline)
        if isinstance(connection, Refusal):
            return connection
        if on_connection is not None:
            on_connection(connection)
        return await self._exchange(connection, request, sink)

    async def _exchange(
        self, connection: ClientConnection, request: OutgoingRequest, sink: ResponseSink
    ) -> Refusal | None:
        result: Refusal | None = Refusal(ErrorKind.INTERNAL, "exchange cancelled")
        future = asyncio.get_running_loop().create_future()
        timer = _ExpiryTimer(connection)
        try:
            connection.exchange(request, sink, functools.partial(_resolve, future))
            timer.start()
            result = await future
        finally:
            timer.stop()
            self._pool.release(connection, result, time.monotonic())
        return result

    async def _connect(
        self, address: str, deadline: float
    ) -> ClientConnection | Refusal:
        host, port = split_address(address)
        timeout = min(CONNECT_TIMEOUT_SECONDS, deadline - time.monotonic())
        if timeout <= 0:
            return Refusal(ErrorKind.DEADLINE_PASSED, "no time left to connect")
        connection = ClientConnection(address, self._pacer)
        try:
            async with asyncio.timeout(timeout):
                await self._connect_protocol(connection, host, port)
        except OSError as error:
            detail = f"can't connect to {address}: {type(error).__name__}"
            return Refusal(ErrorKind.UPSTREAM_UNREACHABLE, detail)
        return connection


def _log_avoided(connection: ClientConnection, request: OutgoingRequest) -> None:
    request_id = find_header(request.headers, REQUEST_ID_HEADER) or b""
    log_event(
        logger,
        Event.CONNECTION_AVOIDED,
        request=request_id.decode("latin-1"),
        address=connection.address,
        connection=connection.number,
    )


def _resolve(future: asyncio.Future, result: Refusal | None) -> None:
    # The waiting task may have been cancelled in the same iteration of the loop.
    if not future.done():
        future.set_result(result)
