"""HTTP/1.1 server connections of callers and other daemons, as Twisted protocols."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory, Protocol, connectionDone

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.memory import ByteBudget
from flamingohead.services.http_messages import IncomingRequest
from flamingohead.services.http_parser import (
    MAX_BODY_BYTES,
    ReadLimits,
    RequestReader,
)
from flamingohead.services.http_response import ServerResponse
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable

READ_TIMEOUT = 15.0
IDLE_TIMEOUT_SECONDS = 120.0
CLOSE_TIMEOUT_SECONDS = 10.0
LINGER_TIMEOUT = 2.0
SWEEP_PERIOD_SECONDS = 0.5
MAX_PIPELINED_REQUESTS = 32
# Upper bound on the requests of one connection that are served concurrently.
MAX_CONCURRENT_REQUESTS = 8


@dataclass(frozen=True)
class ServerLimits:
    """Limit the size of a request and the seconds in which it must arrive."""

    read: ReadLimits = ReadLimits()
    head_timeout: float = READ_TIMEOUT
    body_timeout: float = READ_TIMEOUT
    idle_timeout: float = IDLE_TIMEOUT_SECONDS


class HttpServerProtocol(Protocol):
    """Pass complete requests to the handler and send the responses in request order.

    Up to ``MAX_CONCURRENT_REQUESTS`` pipelined requests are served concurrently. Only
    the first unfinished response writes to the connection; later ones buffer their
    output. Reading continues while requests are served, because a disconnect of the
    caller is only detected by reading.
    """

    def __init__(self, factory: HttpServerFactory) -> None:
        self._factory = factory
        self._reader = RequestReader(
            on_begin=self._on_begin,
            on_head=self._on_head,
            on_request=self._on_request,
            budget=factory.budget,
            limits=factory.limits.read,
        )
        self._pending: deque[IncomingRequest] = deque()
        self._pending_bytes = 0
        self._active: deque[ServerResponse] = deque()
        self._rejection: Refusal | None = None
        self._is_rejected = False
        self.is_closing = False
        self.is_write_paused = False
        self._read_deadline = math.inf
        self._idle_deadline = math.inf
        self._close_deadline = math.inf
        self.call_soon = factory.call_soon

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, served or queued."""
        waiting = self._pending or self._rejection is not None
        return not self._active and not waiting and not self._reader.is_reading

    @property
    def sends_fractional_retry_after(self) -> bool:
        return self._factory.sends_fractional_retry_after

    # Transport

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._factory.connections.add(self)
        self._set_idle_deadline()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self._factory.connections.discard(self)
        self.is_closing = True
        self._drop_pending()
        self.resumeProducing()
        active, self._active = self._active, deque()
        for response in active:
            self._factory.budget.release(response.request_bytes)
        for response in active:
            if response.on_disconnect is not None:
                response.on_disconnect()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.is_closing or self._rejection is not None:
            return
        refusal = self._reader.feed(data)
        if refusal is not None:
            self._reject(refusal)
        elif self._pending_bytes > MAX_BODY_BYTES:
            self.transport.pauseProducing()
        self._start_next()

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_write_paused = True
        if self._active:
            self._active[0].pause()

    def resumeProducing(self) -> None:  # noqa: N802
        was_paused, self.is_write_paused = self.is_write_paused, False
        if was_paused and self._active:
            self._active[0].resume()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # Requests

    def _on_begin(self) -> None:
        limits = self._factory.limits
        self._reader.limits = limits.read
        self._read_deadline = self._factory.clock() + limits.head_timeout

    def _on_head(self, expects_continue: bool) -> None:
        limits = self._factory.limits
        self._read_deadline = self._factory.clock() + limits.body_timeout
        # Inside another response, the caller would parse it as part of that response.
        if expects_continue and not self._active and not self._pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self, request: IncomingRequest) -> None:
        self._read_deadline = math.inf
        request.received_at = self._factory.clock()
        self._pending_bytes += len(request.body)
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._release_pending(request)
            detail = f"over {MAX_PIPELINED_REQUESTS} requests waiting on a connection"
            self._reader.reject(ErrorKind.MALFORMED_REQUEST, detail)
        self._pending.append(request)

    def _release_pending(self, request: IncomingRequest) -> None:
        self._pending_bytes -= len(request.body)
        self._factory.budget.release(len(request.body))

    def _drop_pending(self) -> None:
        self._reader.discard()
        while self._pending:
            self._release_pending(self._pending.popleft())

    def _reject(self, refusal: Refusal) -> None:
        self._read_deadline = math.inf
        self._reader.discard()
        self._rejection = refusal
        self._factory.count_refusal(refusal)

    def _start_next(self) -> None:
        while self._can_start() and self._pending:
            request = self._pending.popleft()
            self._pending_bytes -= len(request.body)
            response = ServerResponse(self, request)
            self._active.append(response)
            self._factory.handler(request, response)
        if self._rejection is None or self._active or self._pending:
            return
        if not self.is_closing and not self._is_rejected:
            self._is_rejected = True
            response = ServerResponse(self, IncomingRequest("", b"", keep_alive=False))
            self._active.append(response)
            response.refuse(self._rejection, self._factory.clock())

    def _can_start(self) -> bool:
        if self.is_closing or len(self._active) >= MAX_CONCURRENT_REQUESTS:
            return False
        return not any(response.closes_connection for response in self._active)

    # Responses

    def is_first(self, response: ServerResponse) -> bool:
        """Return whether a response is the first unfinished one of the connection."""
        return bool(self._active) and self._active[0] is response

    def may_keep_open(self, response: ServerResponse) -> bool:
        """Return whether the connection stays open after a response.

        During a stop, it closes after the last response in progress.
        """
        if not self._factory.draining:
            return True
        return not self._active or self._active[-1] is not response

    def write(self, data: bytes) -> None:
        if not self.is_closing:
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self.is_closing = True
        self.transport.abortConnection()

    def finish_response(self, response: ServerResponse) -> None:
        """Send the next response or close; ignored unless the response is the first."""
        if not self.is_first(response):
            return
        self._active.popleft()
        self._factory.budget.release(response.request_bytes)
        if self._is_rejected:
            self.close_after_reading()
            return
        if response.closes_connection:
            self.close()
            return
        self._set_idle_deadline()
        if self._pending_bytes <= MAX_BODY_BYTES:
            self.transport.resumeProducing()
        if self._active:
            self._active[0].become_first()
        self._start_next()

    def _set_idle_deadline(self) -> None:
        limits = self._factory.limits
        self._idle_deadline = self._factory.clock() + limits.idle_timeout

    def close(self) -> None:
        """Close the connection after all written data has been sent."""
        self.is_closing = True
        self._close_deadline = self._factory.clock() + CLOSE_TIMEOUT_SECONDS
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def close_after_reading(self) -> None:
        """Close for writing, and discard received data for ``LINGER_TIMEOUT``.

        An immediate close would reset the connection while the caller is still
        sending, and the caller would lose the response.
        """
        self.is_closing = True
        self._close_deadline = self._factory.clock() + LINGER_TIMEOUT
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def check_deadlines(self, now: float) -> None:
        """Close the connection if its read, idle or close deadline has passed."""
        if self.is_closing:
            if now >= self._close_deadline:
                self.transport.abortConnection()
        elif now >= self._read_deadline:
            self._reject(Refusal(ErrorKind.MALFORMED_REQUEST, "request too slow"))
            self._start_next()
        elif now >= self._idle_deadline and self.is_idle:
            self.close()


class HttpServerFactory(Factory):
    """Build server protocols that share a handler and a periodic deadline check.

    Changed ``limits`` also apply to open connections, from their next request on.
    """

    noisy = False

    def __init__(
        self,
        handler: Callable[[IncomingRequest, ServerResponse], None],
        count_refusal: Callable[[Refusal], None],
        budget: ByteBudget | None = None,
        *,
        sends_fractional_retry_after: bool = False,
    ) -> None:
        self._sweeps = PeriodicTimer(self.sweep)
        self.handler = handler
        self.count_refusal = count_refusal
        self.connections: set[HttpServerProtocol] = set()
        self.draining = False
        self.budget = budget or ByteBudget()
        self.limits = ServerLimits()
        self.sends_fractional_retry_after = sends_fractional_retry_after
        self.clock = time.monotonic

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Schedule a callback for the next iteration of the event loop."""
        asyncio.get_running_loop().call_soon(callback)

    def startFactory(self) -> None:  # noqa: N802
        self._sweeps.start(SWEEP_PERIOD_SECONDS)

    def stopFactory(self) -> None:  # noqa: N802
        self._sweeps.stop()

    def buildProtocol(self, address) -> HttpServerProtocol:  # noqa: N802
        return HttpServerProtocol(self)

    def drain(self) -> None:
        """Make each subsequent response close its connection."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def sweep(self) -> None:
        """Check the deadlines of every connection."""
        now = self.clock()
        for connection in list(self.connections):
            connection.check_deadlines(now)
