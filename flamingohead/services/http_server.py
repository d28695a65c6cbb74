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
from flamingohead.core.memory import (
    CONNECTION_BYTES,
    CONNECTION_SHARE,
    RELIEF_SHARE,
    STALL_SECONDS,
    ByteBudget,
    Holding,
    Relief,
    choose_releases,
    compute_body_bytes,
)
from flamingohead.services.http_messages import (
    EXCHANGE_HEADER,
    PACE_HEADER,
    IncomingRequest,
)
from flamingohead.services.http_parser import ReadLimits, RequestReader
from flamingohead.services.http_response import ServerResponse
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.services.body_gate import BodyGate
    from flamingohead.services.http_messages import Headers

READ_TIMEOUT = 15.0
IDLE_TIMEOUT_SECONDS = 120.0
CLOSE_TIMEOUT_SECONDS = 10.0
# Time after the last byte was sent in which a caller may still read and send.
LINGER_TIMEOUT = 2.0
SWEEP_PERIOD_SECONDS = 0.5
MAX_PIPELINED_REQUESTS = 32
# Upper bound on the requests of one connection that are served concurrently.
MAX_CONCURRENT_REQUESTS = 8
# Data is parsed in parts, so that a refusal or a full pipeline stops it early: 256 KiB,
# the most that is read at once, may contain 64,000 header lines.
PART_BYTES = 16 * 1024
# Reads up to this size are parsed at once; 1,024 lines took 0.13 ms. Larger ones wait
# for the next iteration of the event loop once parsing has taken this long in one:
# without it, 300 callers that send short chunks delay all others by seconds.
SMALL_READ_BYTES = 4 * 1024
PARSE_SECONDS = 0.005
# Time before memory is searched for again, after a search that freed too little.
RELIEF_RETRY_SECONDS = 0.05


# Stands for the request of a connection on which none is being read.
NO_REQUEST = IncomingRequest("", b"")


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
    caller is only detected by reading; it is paused while the pipeline is full and
    more data has been received.

    The memory that the connection holds is reserved in the budget of the factory.
    """

    def __init__(self, factory: HttpServerFactory) -> None:
        self._factory = factory
        self._reader = RequestReader(
            on_begin=self._on_begin,
            on_head=self._on_head,
            on_request=self._on_request,
            limits=factory.limits.read,
        )
        self._pending: deque[IncomingRequest] = deque()
        self._pending_bytes = 0
        self._active: deque[ServerResponse] = deque()
        self._rejection: Refusal | None = None
        # The request that is being read, as far as it has been read.
        self._head = NO_REQUEST
        self._is_rejected = False
        self.is_closing = False
        self.is_write_paused = False
        # Received, but not parsed yet.
        self._unparsed = b""
        self._unparsed_since = 0.0
        self._is_parsing = False
        self._reserved_bytes = 0
        self._unsent_bytes = 0
        self._progressed_at = 0.0
        self._read_deadline = math.inf
        self._idle_deadline = math.inf
        self._close_deadline = math.inf
        # Until then, the caller may still read what was written last.
        self._linger_deadline = -math.inf
        self.call_soon = factory.call_soon

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, served or queued."""
        waiting = self._pending or self._unparsed or self._rejection is not None
        return not self._active and not waiting and not self._reader.is_reading

    @property
    def sends_fractional_retry_after(self) -> bool:
        return self._factory.sends_fractional_retry_after

    # Transport

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if not self._factory.admit_connection():
            self.abort()
        self._factory.connections[self] = None
        self._progressed_at = self._factory.clock()
        self._update_reservation()
        self._set_idle_deadline()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self._factory.connections.pop(self, None)
        self.is_closing = True
        self._drop_unserved()
        self.resumeProducing()
        active, self._active = self._active, deque()
        self._factory.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        for response in active:
            if response.on_disconnect is not None:
                response.on_disconnect()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.is_closing or self._rejection is not None:
            return
        self._progressed_at = self._factory.clock()
        if self._unparsed or self._is_parsing:
            self._unparsed += data
            self._update_reservation()
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse data and start requests until the pipeline is full."""
        factory = self._factory
        self._is_parsing = True
        position, size = 0, len(data)
        while position < size and not self.is_closing and self._rejection is None:
            is_small = size - position <= SMALL_READ_BYTES
            if self._is_full():
                self._hold(data[position:])
                break
            if not is_small and not factory.may_parse:
                self._hold(data[position:])
                factory.defer(self)
                break
            part = data
            if size > PART_BYTES:
                part = data[position : position + PART_BYTES]
            position += len(part)
            started_at = 0.0 if is_small else factory.clock()
            refusal = self._reader.feed(part) or self._reserve()
            if refusal is not None:
                self._reject(refusal)
            self._start_next()
            if not is_small:
                factory.count_parsing(factory.clock() - started_at)
        self._is_parsing = False

    def _hold(self, data: bytes) -> None:
        """Keep data to parse it later; nothing more is read until then."""
        self._unparsed = data + self._unparsed
        self._unparsed_since = self._factory.clock()
        self._update_reservation()
        self.transport.pauseProducing()

    def continue_parsing(self) -> None:
        """Parse the data that was kept, then read again."""
        if self._is_parsing or self._is_full():
            return
        if self.is_closing or self._rejection is not None:
            return
        data, self._unparsed = self._unparsed, b""
        if data:
            # The caller had no influence on the time of the pause.
            self._read_deadline += self._factory.clock() - self._unparsed_since
            self._parse(data)
        if not self._unparsed:
            self.transport.resumeProducing()

    def _is_full(self) -> bool:
        """Return whether requests have to finish before more are parsed."""
        if self.is_write_paused or len(self._pending) >= MAX_PIPELINED_REQUESTS:
            return True
        if not self._active and not self._pending:
            return False
        return self._reserved_bytes > CONNECTION_SHARE * self._factory.budget.limit

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_write_paused = True
        self._measure_unsent()
        if self._active:
            self._active[0].pause()

    def resumeProducing(self) -> None:  # noqa: N802
        was_paused, self.is_write_paused = self.is_write_paused, False
        self._unsent_bytes = 0
        if was_paused and self._active:
            self._active[0].resume()
        if was_paused and not self.is_closing:
            self.continue_parsing()
            self._update_reservation()

    def _measure_unsent(self) -> None:
        """Count what the caller has not read yet."""
        unsent_bytes = self._count_unsent()
        if unsent_bytes == self._unsent_bytes:
            return
        if unsent_bytes < self._unsent_bytes or not self._unsent_bytes:
            self._progressed_at = self._factory.clock()
        self._unsent_bytes = unsent_bytes
        self._update_reservation()

    def _is_unread(self, now: float, seconds: float) -> bool:
        """Return whether the caller has not read a response for some seconds."""
        return self._unsent_bytes > 0 and now - self._progressed_at >= seconds

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # Requests

    def _on_begin(self) -> None:
        limits = self._factory.limits
        self._head = NO_REQUEST
        self._reader.limits = limits.read
        self._read_deadline = self._factory.clock() + limits.head_timeout

    def _on_head(
        self, request: IncomingRequest, length: int | None, expects_continue: bool
    ) -> None:
        factory = self._factory
        self._read_deadline = factory.clock() + factory.limits.body_timeout
        self._head = request
        # Inside another response, the caller would parse it as part of that response.
        waits = expects_continue and not self._active and not self._pending
        if length != 0:
            refusal = factory.check_head(request, length)
            if refusal is None:
                refusal = factory.check_length(length, self)
            if refusal is None and factory.body_gate is not None:
                if waits:
                    # The gate decides until when the body may begin.
                    self._read_deadline = math.inf
                refusal = factory.body_gate.offer(self, request, length, waits=waits)
            if refusal is not None:
                self._reader.refuse(refusal)
        if waits and (length == 0 or factory.body_gate is None):
            self.grant_body()

    def grant_body(self, bytes_per_second: float | None = None) -> None:
        """Ask for the body of the request, to be sent at a rate if one is given."""
        factory = self._factory
        self._read_deadline = factory.clock() + factory.limits.body_timeout
        pace = b""
        if bytes_per_second is not None:
            pace = b"%b: %d\r\n" % (PACE_HEADER, round(bytes_per_second))
        self.transport.write(b"HTTP/1.1 100 Continue\r\n%b\r\n" % pace)

    def refuse_body(self, refusal: Refusal) -> None:
        """Refuse the request whose body has not been asked for."""
        self._reject(refusal)
        self._start_next()

    def _end_body(self) -> None:
        """Tell the gate that no body is awaited any more."""
        if self._factory.body_gate is not None:
            self._factory.body_gate.end(self)

    def _on_request(self, request: IncomingRequest) -> None:
        self._read_deadline = math.inf
        self._head = NO_REQUEST
        self._end_body()
        request.received_at = self._factory.clock()
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            detail = f"over {MAX_PIPELINED_REQUESTS} requests waiting on a connection"
            self._reader.reject(ErrorKind.MALFORMED_REQUEST, detail)
        self._pending.append(request)
        self._pending_bytes += request.held_bytes

    def _drop_unserved(self) -> None:
        """Discard what has been received of requests that have not been started."""
        self._end_body()
        self._reader.discard()
        self._pending.clear()
        self._pending_bytes = 0
        self._unparsed = b""

    def _reject(self, refusal: Refusal) -> None:
        """Refuse the request being read; earlier ones are still served."""
        self._end_body()
        self._read_deadline = math.inf
        self._head = self._reader.request or self._head
        self._reader.discard()
        self._unparsed = b""
        self._rejection = refusal
        self.transport.resumeProducing()
        self._factory.count_refusal(refusal)
        self._update_reservation()

    def _start_next(self) -> None:
        while self._can_start() and self._pending:
            request = self._pending.popleft()
            self._pending_bytes -= request.held_bytes
            response = ServerResponse(self, request)
            self._active.append(response)
            self._factory.handler(request, response)
        if self._rejection is None or self._active or self._pending:
            return
        if not self.is_closing and not self._is_rejected:
            self._is_rejected = True
            # The response to a daemon names the exchange that it belongs to.
            headers = [h for h in self._head.headers if h[0] == EXCHANGE_HEADER]
            request = IncomingRequest(self._head.method, b"", headers, keep_alive=False)
            response = ServerResponse(self, request)
            response.extra_headers = self._build_rejection_headers
            self._active.append(response)
            response.refuse(self._rejection, self._factory.clock())

    def _build_rejection_headers(self) -> Headers:
        return self._factory.build_rejection_headers(self._head)

    def _can_start(self) -> bool:
        if self.is_closing or len(self._active) >= MAX_CONCURRENT_REQUESTS:
            return False
        return not any(response.closes_connection for response in self._active)

    # Memory

    def _count_droppable(self) -> int:
        """Return the bytes held by what has not been started."""
        return self._reader.held_bytes + self._pending_bytes + len(self._unparsed)

    def _count_held(self) -> int:
        held_bytes = CONNECTION_BYTES + self._count_droppable() + self._unsent_bytes
        for response in self._active:
            held_bytes += response.held_bytes
        return held_bytes

    def _reserve(self) -> Refusal | None:
        """Reserve what the connection holds, or return a refusal of its requests."""
        budget = self._factory.budget
        growth = self._count_held() - self._reserved_bytes
        if growth > 0 and not budget.reserve(growth):
            size = self._count_droppable()
            if size + CONNECTION_BYTES > budget.limit:
                detail = f"the request takes over {budget.limit} bytes of memory"
                refusal = Refusal(ErrorKind.REQUEST_TOO_LARGE, detail)
                return self._refuse_unserved(refusal)
            self._factory.make_room(growth, size, self)
            if not budget.reserve(growth):
                return self._refuse_unserved(self._factory.describe_full())
        if growth < 0:
            budget.release(-growth)
        self._reserved_bytes += growth
        return None

    def _refuse_unserved(self, refusal: Refusal) -> Refusal:
        self._drop_unserved()
        self._factory.report(Relief.REQUEST_REFUSED, self._reserved_bytes)
        return refusal

    def _update_reservation(self) -> None:
        """Count what the connection already holds, also above the budget."""
        if self not in self._factory.connections:
            return
        growth = self._count_held() - self._reserved_bytes
        self._reserved_bytes += growth
        if growth < 0:
            self._factory.budget.release(-growth)
        elif growth:
            self._factory.budget.add(growth)
            if self._factory.budget.is_exceeded:
                self._factory.make_room(0, 0, self)

    def describe_holding(self, now: float) -> Holding | None:
        """Return what releasing the connection would free, if it may be released.

        Requests that have been started are not: they may run. Their caller may have
        stopped reading the response, though.
        """
        if self._is_unread(now, STALL_SECONDS):
            return Holding(self, self._reserved_bytes, True)
        size = self._count_droppable()
        if not size or self.is_closing or self._rejection is not None:
            return None
        is_stalled = now - self._progressed_at >= STALL_SECONDS
        return Holding(self, size, is_stalled and self._reader.is_reading)

    def free_memory(self) -> None:
        """Refuse what has not been started, or close if the caller stopped reading."""
        if self._is_unread(self._factory.clock(), STALL_SECONDS):
            self._factory.report(Relief.CONNECTION_CLOSED, self._reserved_bytes)
            self._drop_unserved()
            self.abort()
            return
        self._factory.report(Relief.REQUEST_REFUSED, self._reserved_bytes)
        self._drop_unserved()
        self._reject(self._factory.describe_full())
        if not self._is_parsing:
            self._start_next()

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
            self._linger_deadline = self._factory.clock() + LINGER_TIMEOUT
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self.is_closing = True
        self._close_deadline = self._linger_deadline = self._factory.clock()
        self._unsent_bytes = 0
        self._update_reservation()
        self.transport.abortConnection()

    def finish_response(self, response: ServerResponse) -> None:
        """Send the next response or close; ignored unless the response is the first."""
        if not self.is_first(response):
            self._update_reservation()
            return
        self._active.popleft()
        if self._is_rejected or response.closes_connection:
            self.close()
            return
        self._set_idle_deadline()
        if self._active:
            self._active[0].become_first()
        self._start_next()
        self._update_reservation()
        if self._unparsed:
            self.continue_parsing()

    def _set_idle_deadline(self) -> None:
        factory = self._factory
        self._idle_deadline = factory.clock() + factory.limits.idle_timeout
        if self in factory.connections:
            # Connections are kept in the order of their last response.
            factory.connections[self] = factory.connections.pop(self)

    def close(self) -> None:
        """Close the connection once the caller has had time to read what was written.

        The connection is closed for writing first, and received data is discarded. A
        caller that has not read the last response yet may still send: closing the
        socket at once would reset the connection, and the caller would lose the
        remainder of the response.
        """
        if self.is_closing:
            return
        now = self._factory.clock()
        self.is_closing = True
        self._close_deadline = now + CLOSE_TIMEOUT_SECONDS
        self._update_reservation()
        self.transport.unregisterProducer()
        if self._has_been_read(now):
            self.transport.loseConnection()
            return
        self._linger_deadline = now + LINGER_TIMEOUT
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def _has_been_read(self, now: float) -> bool:
        """Return whether the caller had time to read what was written."""
        return now >= self._linger_deadline and not self._count_unsent()

    def _count_unsent(self) -> int:
        # A transport of Twisted, which stand-ins use, does not tell.
        measure = getattr(self.transport, "get_unsent_bytes", None)
        return 0 if measure is None else measure()

    def check_deadlines(self, now: float) -> None:
        """Close the connection if its read, idle or close deadline has passed."""
        if self.is_closing:
            if self._count_unsent():
                self._linger_deadline = now + LINGER_TIMEOUT
            if now >= min(self._close_deadline, self._linger_deadline):
                self.abort()
            return
        self._measure_unsent()
        if self._is_unread(now, self._factory.limits.idle_timeout):
            self._factory.report(Relief.CONNECTION_CLOSED, self._reserved_bytes)
            self.abort()
        elif now >= self._read_deadline and not self._unparsed:
            self._reject(Refusal(ErrorKind.MALFORMED_REQUEST, "request too slow"))
            self._start_next()
        elif now >= self._idle_deadline and self.is_idle:
            self.close()

    @property
    def is_replaceable(self) -> bool:
        """Return whether the connection may be closed for a new one."""
        return not self._active and not self._pending and not self._count_unsent()


def _accept_head(request: IncomingRequest, length: int | None) -> None:
    """Accept every request before its body."""


def _build_no_headers(request: IncomingRequest) -> Headers:
    """Add no headers to the refusal of a request."""
    return []


def _ignore_relief(relief: Relief, size: int) -> None:
    """Ignore what was done to free memory."""


def _ignore_held(size: int) -> None:
    """Ignore the bytes that connections hold."""


class HttpServerFactory(Factory):
    """Build server protocols that share a handler and a periodic deadline check.

    Changed ``limits`` also apply to open connections, from their next request on.
    Factories that share a budget are listed in each other's ``peers``.

    ``check_head`` returns a refusal of a request with a body that can't be served, with
    the length of the body, ``None`` if it is sent in chunks. ``body_gate`` decides when
    a body may begin whose sender waits for it, and ``build_rejection_headers`` returns
    headers for the refusal of a request that was not read completely. ``report`` is
    called when a request is refused or a connection closed to free memory, with the
    bytes that the connection held, and ``report_held`` regularly with those of all. Up
    to ``max_connections`` are open, without a limit if it is 0.
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
        # In the order of their last response.
        self.connections: dict[HttpServerProtocol, None] = {}
        self.max_connections = 0
        self.peers: list[HttpServerFactory] = [self]
        self.check_head: Callable[[IncomingRequest, int | None], Refusal | None] = (
            _accept_head
        )
        self.build_rejection_headers: Callable[[IncomingRequest], Headers] = (
            _build_no_headers
        )
        self.body_gate: BodyGate | None = None
        self.report: Callable[[Relief, int], None] = _ignore_relief
        self.report_held: Callable[[int], None] = _ignore_held
        self._next_relief_at = 0.0
        # Connections with data that waits for the next iteration of the event loop.
        self._deferred: dict[HttpServerProtocol, None] = {}
        self._parse_seconds = 0.0
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

    @property
    def may_parse(self) -> bool:
        """Return whether parsing has not taken too long in this iteration."""
        return self._parse_seconds < PARSE_SECONDS

    def count_parsing(self, seconds: float) -> None:
        """Count the time that parsing took in this iteration of the event loop."""
        if not self._parse_seconds and seconds:
            self.call_soon(self._begin_iteration)
        self._parse_seconds += seconds

    def defer(self, connection: HttpServerProtocol) -> None:
        """Let a connection continue to parse in a later iteration."""
        self._deferred[connection] = None

    def _begin_iteration(self) -> None:
        self._parse_seconds = 0.0
        while self._deferred and self.may_parse:
            connection = next(iter(self._deferred))
            del self._deferred[connection]
            connection.continue_parsing()
        if self._deferred and not self._parse_seconds:
            self.call_soon(self._begin_iteration)

    def admit_connection(self) -> bool:
        """Return whether a connection may be opened; close another if necessary.

        The one that has been without a request for longest is closed, so that its
        caller has most likely read the last response.
        """
        if not self.max_connections or len(self.connections) < self.max_connections:
            return True
        for connection in self.connections:
            if connection.is_replaceable:
                self.report(Relief.CONNECTION_REPLACED, 0)
                del self.connections[connection]
                connection.abort()
                return True
        self.report(Relief.CONNECTION_REPLACED, 0)
        return False

    def check_length(
        self, length: int | None, connection: HttpServerProtocol
    ) -> Refusal | None:
        """Return a refusal of a body that the memory can't hold, or not now."""
        if length is None:
            return None
        size = compute_body_bytes(length)
        refusal = self._check_body_bytes(size, connection)
        if refusal is not None:
            self.report(Relief.REQUEST_REFUSED, 0)
        return refusal

    def _check_body_bytes(
        self, size: int, connection: HttpServerProtocol
    ) -> Refusal | None:
        if size + CONNECTION_BYTES > self.budget.limit:
            detail = f"body over the {self.budget.limit} bytes of memory for requests"
            return Refusal(ErrorKind.REQUEST_TOO_LARGE, detail)
        if size > self.budget.free_bytes:
            self.make_room(size, size, connection)
            if size > self.budget.free_bytes:
                return self.describe_full()
        return None

    def describe_full(self) -> Refusal:
        """Return the refusal of a request for which there is no memory now."""
        detail = f"connections hold {self.budget.reserved_bytes} bytes of memory"
        return Refusal(ErrorKind.QUEUE_FULL, detail)

    def make_room(
        self, needed: int, largest_kept: int, requester: HttpServerProtocol
    ) -> None:
        """Refuse requests and close connections that hold much memory."""
        now = self.clock()
        if now < self._next_relief_at:
            return
        budget = self.budget
        # Set first, because releases change reservations, which may call this again.
        self._next_relief_at = now + RELIEF_RETRY_SECONDS
        missing = max(0, budget.reserved_bytes + needed - budget.limit)
        missing = max(missing, int(RELIEF_SHARE * budget.limit))
        holdings = [
            holding
            for factory in self.peers
            for connection in factory.connections
            if connection is not requester
            and (holding := connection.describe_holding(now)) is not None
        ]
        for connection in choose_releases(holdings, missing, largest_kept):
            connection.free_memory()
        if budget.reserved_bytes + needed <= budget.limit:
            self._next_relief_at = now

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
        self.report_held(self.budget.reserved_bytes)
        for connection in list(self.connections):
            connection.check_deadlines(now)
