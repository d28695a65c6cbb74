"""Calls of callers and of other daemons."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from twisted.internet import reactor

from flamingohead.core.errors import ERROR_ANSWERS, ErrorKind, Ran, Refusal
from flamingohead.core.retries import RetryBudget
from flamingohead.events import Event, log_event
from flamingohead.services.http_client import OutgoingRequest
from flamingohead.services.http_server import (
    RAN_HEADER,
    REFUSAL_HEADER,
    HttpServerFactory,
)
from flamingohead.services.slots import Call
from flamingohead.settings import split_address

if TYPE_CHECKING:
    from flamingohead.core.balancing import Balancer, Candidate
    from flamingohead.core.routing import ResolvedRoute
    from flamingohead.kernel import Kernel
    from flamingohead.services.http_server import (
        Headers,
        IncomingRequest,
        ServerResponse,
    )

logger = logging.getLogger(__name__)

KEY_HEADER = b"idempotency-key"
TIMEOUT_HEADER = b"request-timeout-ms"
RELAY_PREFIX = b"flamingohead-"
RELAY_UPSTREAM = b"flamingohead-upstream"
RELAY_SERVICE = b"flamingohead-service"
RELAY_RANK = b"flamingohead-rank"
RELAY_IDEMPOTENT = b"flamingohead-idempotent"
RETRY_HEADER = b"flamingohead-retry-after-ms"
MAX_KEY_BYTES = 256


class RelaySink:
    """Pass the answer of another daemon on, or take in its refusal."""

    def __init__(self, response: ServerResponse) -> None:
        self._response = response
        self.refusal: Refusal | None = None

    @property
    def started(self) -> bool:
        return self._response.started

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        self.refusal = _read_refusal(headers, time.monotonic())
        if self.refusal is None:
            self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        if self.refusal is None:
            self._response.write(data)

    def finish(self) -> None:
        if self.refusal is None:
            self._response.finish()


class CallService:
    """Answer callers on the ingress address and daemons on the relay address."""

    def __init__(
        self,
        kernel: Kernel,
        balancer: Balancer,
        *,
        ingress_address: str,
        relay_address: str,
        stop_timeout: float,
    ) -> None:
        self._kernel = kernel
        self._balancer = balancer
        self._addresses = (ingress_address, relay_address)
        self._stop_timeout = stop_timeout
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._factories: list[HttpServerFactory] = []
        self._ports = []
        self._tasks: set[asyncio.Task] = set()
        self._host_id = ""

    async def start(self) -> None:
        self._host_id = self._kernel.get("gossip").membership.myself.host_id
        handlers = (self._handle_ingress, self._handle_relay)
        count = self._kernel.get("metrics").count_refusal
        for address, handler in zip(self._addresses, handlers, strict=True):
            host, port = split_address(address)
            factory = HttpServerFactory(handler, count)
            self._factories.append(factory)
            self._ports.append(reactor.listenTCP(port, factory, interface=host))

    async def stop(self) -> None:
        """Finish the calls in progress, up to the stop deadline."""
        loop = asyncio.get_running_loop()
        for port in self._ports:
            await port.stopListening().asFuture(loop)
        for factory in self._factories:
            factory.drain()
        if self._tasks:
            _, cut = await asyncio.wait(self._tasks, timeout=self._stop_timeout)
            for task in cut:
                task.cancel()
            self._kernel.get("metrics").count("stop.cut_calls", len(cut))

    def set_members(self, members) -> None:
        """Take the members of the failure domain as candidates."""
        self._balancer.set_members(members)

    # Entry points

    def _handle_ingress(
        self, request: IncomingRequest, response: ServerResponse
    ) -> None:
        routes = self._kernel.get("configuration").routes
        resolved = routes.match(request.method, request.target.decode("latin-1"))
        if isinstance(resolved, Refusal):
            self._refuse(response, resolved)
            return
        call = _build_call(request, resolved, time.monotonic())
        if isinstance(call, Refusal):
            self._refuse(response, call)
            return
        self._spawn(self._serve(call, response), response)

    def _handle_relay(self, request: IncomingRequest, response: ServerResponse) -> None:
        call = _read_relayed_call(request, time.monotonic())
        if isinstance(call, Refusal):
            self._refuse(response, call)
            return
        upstream = (request.get_header(RELAY_UPSTREAM) or b"").decode("latin-1")
        self._spawn(self._serve_local(upstream, call, response), response)

    def _spawn(self, coroutine, response: ServerResponse) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(coroutine, response))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine, response: ServerResponse) -> None:
        try:
            await coroutine
        except asyncio.CancelledError:
            response.abort()
        except Exception:
            logger.exception("call failed")
            log_event(logger, Event.REQUEST_FAILED)
            if response.started:
                response.abort()
            else:
                self._refuse(response, Refusal(ErrorKind.INTERNAL, "see the log"))

    # Calls

    async def _serve(self, call: Call, response: ServerResponse) -> None:
        self._kernel.get("metrics").count(f"calls.{call.service}.{call.rank}")
        budget = self._budgets.setdefault((call.service, call.rank), RetryBudget())
        budget.record_request()
        excluded: set[tuple[str, str]] = set()
        attempts = 0
        while True:
            attempts += 1
            candidate = self._choose(call, excluded)
            if candidate is None:
                refusal = Refusal(
                    ErrorKind.NO_UPSTREAM, f"no upstream of {call.service!r}"
                )
                break
            refusal = await self._attempt(candidate, call, response)
            if refusal is None or response.started:
                break
            excluded.add(candidate.key)
            if time.monotonic() >= call.deadline:
                break
            if not budget.allow_retry(
                refusal, attempts=attempts, idempotent=call.idempotent
            ):
                break
            self._kernel.get("metrics").count_retry(refusal)
        self._conclude(response, refusal)

    def _choose(self, call: Call, excluded: set) -> Candidate | None:
        chosen = self._balancer.choose(call.service, excluded=frozenset(excluded))
        if chosen is None and excluded:
            chosen = self._balancer.choose(call.service)
        return chosen

    async def _attempt(
        self, candidate: Candidate, call: Call, response: ServerResponse
    ) -> Refusal | None:
        self._balancer.start(candidate)
        started_at = time.monotonic()
        refusal: Refusal | None = Refusal(ErrorKind.INTERNAL, "attempt cancelled")
        try:
            if candidate.host_id == self._host_id:
                slots = self._kernel.get("slots")
                refusal = await slots.execute(candidate.upstream, call, response)
            else:
                refusal = await self._relay(candidate, call, response)
            return refusal
        finally:
            latency = time.monotonic() - started_at if refusal is None else None
            self._balancer.finish(candidate, latency=latency)

    async def _relay(
        self, candidate: Candidate, call: Call, response: ServerResponse
    ) -> Refusal | None:
        sink = RelaySink(response)
        request = _build_relay_request(candidate, call, time.monotonic())
        refusal = await self._kernel.get("http_client").send(
            candidate.relay_address, request, sink, fresh=not call.idempotent
        )
        if refusal is None:
            return sink.refusal
        if refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE:
            return Refusal(ErrorKind.HOST_UNREACHABLE, refusal.detail)
        if refusal.kind is ErrorKind.UPSTREAM_CUT:
            return Refusal(ErrorKind.HOST_CUT, refusal.detail)
        return refusal

    async def _serve_local(
        self, upstream: str, call: Call, response: ServerResponse
    ) -> None:
        refusal = await self._kernel.get("slots").execute(upstream, call, response)
        self._conclude(response, refusal)

    def _conclude(self, response: ServerResponse, refusal: Refusal | None) -> None:
        if refusal is None:
            return
        if response.started:
            self._kernel.get("metrics").count_refusal(refusal)
            response.abort()
        else:
            self._refuse(response, refusal)

    def _refuse(self, response: ServerResponse, refusal: Refusal) -> None:
        self._kernel.get("metrics").count_refusal(refusal)
        response.refuse(refusal, time.monotonic())


def _build_call(
    request: IncomingRequest, resolved: ResolvedRoute, now: float
) -> Call | Refusal:
    route = resolved.route
    timeout_ms = _read_timeout(request, route.timeout_ms)
    if isinstance(timeout_ms, Refusal):
        return timeout_ms
    key = request.get_header(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_BYTES:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST, f"idempotency key of {len(key)} bytes"
        )
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if not name.startswith(RELAY_PREFIX) and name != TIMEOUT_HEADER
    )
    return Call(
        service=resolved.pool.service,
        rank=route.rank,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        deadline=now + timeout_ms / 1000,
        idempotent=route.idempotent,
        key=None if key is None else key.decode("latin-1"),
    )


def _read_timeout(request: IncomingRequest, most_ms: int) -> int | Refusal:
    value = request.get_header(TIMEOUT_HEADER)
    if value is None:
        return most_ms
    if not value.isdigit() or len(value) > 9:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST,
            f"request-timeout-ms {value[:20]!r} is not a whole number",
        )
    return min(int(value), most_ms)


def _build_relay_request(
    candidate: Candidate, call: Call, now: float
) -> OutgoingRequest:
    remaining_ms = max(0, round((call.deadline - now) * 1000))
    headers = (
        *call.headers,
        (TIMEOUT_HEADER, b"%d" % remaining_ms),
        (RELAY_UPSTREAM, candidate.upstream.encode()),
        (RELAY_SERVICE, call.service.encode()),
        (RELAY_RANK, call.rank.encode()),
        (RELAY_IDEMPOTENT, b"yes" if call.idempotent else b"no"),
    )
    return OutgoingRequest(call.method, call.target, headers, call.body, call.deadline)


def _read_relayed_call(request: IncomingRequest, now: float) -> Call | Refusal:
    timeout = request.get_header(TIMEOUT_HEADER) or b""
    service = request.get_header(RELAY_SERVICE)
    rank = request.get_header(RELAY_RANK)
    if service is None or rank is None or not timeout.isdigit():
        return Refusal(ErrorKind.MALFORMED_REQUEST, "not a request of a daemon")
    key = request.get_header(KEY_HEADER)
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if not name.startswith(RELAY_PREFIX) and name != TIMEOUT_HEADER
    )
    return Call(
        service=service.decode(),
        rank=rank.decode(),
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        deadline=now + int(timeout) / 1000,
        idempotent=request.get_header(RELAY_IDEMPOTENT) == b"yes",
        key=None if key is None else key.decode("latin-1"),
    )


def _read_refusal(headers: Headers, now: float) -> Refusal | None:
    values = dict(headers)
    name = values.get(REFUSAL_HEADER)
    if name is None:
        return None
    try:
        kind = ErrorKind(name.decode())
    except ValueError:
        kind = ErrorKind.INTERNAL
    retry_ms = values.get(RETRY_HEADER)
    retry_at = now + int(retry_ms) / 1000 if retry_ms else None
    if values.get(RAN_HEADER) != ERROR_ANSWERS[kind].ran.value.encode():
        kind = ErrorKind.INTERNAL
    return Refusal(kind, "refused by the upstream's host", retry_at)


__all__ = ["CallService", "Ran"]
