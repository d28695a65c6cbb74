"""Handling of calls from callers and from other daemons."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.addresses import split_address
from flamingohead.core.calls import REQUEST_ID_HEADER, Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import qualify_refusal
from flamingohead.core.memory import DEFAULT_BUDGET_BYTES, ByteBudget
from flamingohead.core.organisations.identity import identify_organisation
from flamingohead.core.scopes import is_scoped_key
from flamingohead.core.splits import WeightedRoundRobin
from flamingohead.core.stopping import SETTLE_SECONDS, GracefulStop, StopEffect
from flamingohead.events import Event, log_event
from flamingohead.services.body_gate import BodyGate
from flamingohead.services.call_requests import (
    NO_IDENTITY,
    Identity,
    build_call,
    qualify_for_key,
    read_host,
)
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_messages import SCOPE_PATH
from flamingohead.services.http_parser import ReadLimits
from flamingohead.services.http_server import HttpServerFactory, ServerLimits
from flamingohead.services.memory_relief import report_relief
from flamingohead.services.relay import (
    RELAY_HOME,
    RELAY_LACKS_NESTED,
    RELAY_RANK,
    RELAY_UPSTREAM,
    build_load_headers,
    read_relayed_call,
)
from flamingohead.services.transport import listen

if TYPE_CHECKING:
    from flamingohead.core.memory import Relief
    from flamingohead.core.resources import ClientLimits
    from flamingohead.core.routing import ResolvedRoute
    from flamingohead.kernel import Kernel
    from flamingohead.services.dialects import Dialect
    from flamingohead.services.http_messages import Headers, IncomingRequest
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)

STOP_POLL_SECONDS = 0.05
# A body up to this size is read before its request is refused, so that the connection
# stays open; a larger one costs more than a new connection.
MAX_UNCHECKED_BODY_BYTES = 64 * 1024


class CallService:
    """Serve callers on the ingress address and daemons on the relay address."""

    def __init__(
        self,
        kernel: Kernel,
        *,
        ingress_address: str,
        relay_address: str,
        stop_timeout: float,
        settle_seconds: float = SETTLE_SECONDS,
        steps_back: bool = False,
        dialect: Dialect = PRODUCT_DIALECT,
        own_service: str = "",
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
        connection_limits: tuple[int, int] = (0, 0),
    ) -> None:
        self._dialect = dialect
        self._budget = ByteBudget(budget_bytes)
        self._connection_limits = connection_limits
        self.own_service = own_service
        self._settle_seconds = settle_seconds
        self._steps_back = steps_back
        self._kernel = kernel
        self._addresses = (ingress_address, relay_address)
        self._stop_timeout = stop_timeout
        self._splits = WeightedRoundRobin()
        self.is_stopping = False
        self._body_gate = BodyGate(kernel)
        self._client_limits: ClientLimits | None = None
        self._factories: list[HttpServerFactory] = []
        self._ports = []
        self._tasks: dict[asyncio.Task, IncomingRequest] = {}
        self._stop_steps = {
            StopEffect.STEP_BACK: self._step_back,
            StopEffect.LEAVE_MESH: self._leave_mesh,
            StopEffect.CLOSE_AFTER_ANSWERS: self._close_after_responses,
            StopEffect.CLOSE_LISTENERS: self._close_listeners,
            StopEffect.CLOSE_IDLE: self._close_idle,
            StopEffect.CUT: self._cut_calls,
        }

    async def start(self) -> None:
        handlers = (self._handle_ingress, self._handle_relay)
        count = self._kernel.get("metrics").count_refusal
        rows = zip(self._addresses, handlers, self._connection_limits, strict=True)
        for address, handler, max_connections in rows:
            host, port = split_address(address)
            factory = HttpServerFactory(
                handler,
                count,
                self._budget,
                sends_fractional_retry_after=self._dialect.sends_fractional_retry_after,
            )
            factory.max_connections = max_connections
            factory.peers = self._factories
            factory.report = self._report_relief
            factory.report_held = self._report_held
            self._factories.append(factory)
            self._ports.append(await listen(factory, host, port))
        self._factories[0].check_head = self._check_head
        self._factories[1].body_gate = self._body_gate
        self._factories[1].build_rejection_headers = self._build_rejection_headers
        if self._client_limits is not None:
            self._apply_client_limits(self._client_limits)
        log_event(
            logger,
            Event.CALLER_LIMITS_SET,
            budget_bytes=self._budget.limit,
            ingress_connections=self._connection_limits[0],
            relay_connections=self._connection_limits[1],
        )

    async def stop(self) -> None:
        """Leave the mesh, finish the calls in progress and abort the remaining ones."""
        stop = GracefulStop(
            time.monotonic(),
            timeout=self._stop_timeout,
            settle_seconds=self._settle_seconds,
            steps_back=self._steps_back,
        )
        self._kernel.get("slots").begin_stop(stop.schedule)
        await self._run_effects(stop.begin())
        while not stop.has_ended:
            connections = sum(len(factory.connections) for factory in self._factories)
            effects = stop.advance(
                time.monotonic(),
                connections,
                exclusive_timeout=self._compute_exclusive_timeout(),
            )
            await self._run_effects(effects)
            await asyncio.sleep(STOP_POLL_SECONDS)
        self._body_gate.stop()
        for factory in self._factories:
            factory.doStop()

    def set_client_limits(self, limits: ClientLimits) -> None:
        """Apply the request limits of a new configuration to the ingress address.

        The first configuration may arrive before the listeners are open.
        """
        self._client_limits = limits
        if self._factories:
            self._apply_client_limits(limits)

    def _apply_client_limits(self, limits: ClientLimits) -> None:
        read = ReadLimits(limits.head_bytes, limits.body_bytes)
        head_timeout = limits.head_timeout_ms / 1000
        self._factories[0].limits = ServerLimits(
            read=read,
            head_timeout=head_timeout,
            body_timeout=max(head_timeout, ServerLimits.body_timeout),
            idle_timeout=limits.idle_timeout_ms / 1000,
        )

    def _report_held(self, size: int) -> None:
        self._kernel.get("metrics").set_gauge("memory.held_bytes", size)

    def _report_relief(self, relief: Relief, size: int) -> None:
        report_relief(self._kernel.get("metrics"), self._budget, relief, size)

    def _compute_exclusive_timeout(self) -> float | None:
        """Return the shortest timeout of the services that only this host serves."""
        if not self._steps_back:
            return None
        attempts = self._kernel.get("attempts")
        routes = self._kernel.get("configuration").routes
        timeouts = [
            routes.get_shortest_timeout(upstream.state.service)
            for upstream in self._kernel.get("slots").upstreams.values()
            if not attempts.has_other_host(upstream.state.service)
        ]
        return min((t for t in timeouts if t is not None), default=None)

    async def _run_effects(self, effects: list[StopEffect]) -> None:
        for effect in effects:
            await self._stop_steps[effect]()

    async def _step_back(self) -> None:
        self.is_stopping = True
        self._kernel.get("slots").step_back()

    async def _leave_mesh(self) -> None:
        self.is_stopping = True
        self._kernel.get("gossip").leave()
        if self._steps_back:
            self._kernel.get("slots").leave()

    async def _close_after_responses(self) -> None:
        for factory in self._factories:
            factory.drain()

    async def _close_listeners(self) -> None:
        for port in self._ports:
            port.close()

    async def _close_idle(self) -> None:
        for factory in self._factories:
            factory.close_idle()

    async def _cut_calls(self) -> None:
        metrics = self._kernel.get("metrics")
        tasks = dict(self._tasks)
        metrics.count("stop.cut_calls", len(tasks))
        for task, request in tasks.items():
            log_event(
                logger,
                Event.REQUEST_ABORTED_BY_STOP,
                method=request.method,
                target=request.target.decode("latin-1"),
            )
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for factory in self._factories:
            metrics.count("stop.cut_connections", len(factory.connections))
            for connection in list(factory.connections):
                connection.abort()

    # Entry points

    def _handle_ingress(
        self, request: IncomingRequest, response: ServerResponse
    ) -> None:
        routes = self._kernel.get("configuration").routes
        is_scope_request = request.method == "GET" and request.target == SCOPE_PATH
        if is_scope_request and self._dialect.reads_keys:
            refusal = self._kernel.get("scopes").issue_scope(response)
            self._finish_response(response, refusal)
            return
        target = request.target.decode("latin-1")
        resolved = routes.match(request.method, target, read_host(request))
        if isinstance(resolved, Refusal):
            self._refuse_unrouted(request, response, resolved)
            return
        identity = self._identify(request, resolved)
        if isinstance(identity, Refusal):
            self._refuse_unrouted(request, response, identity)
            return
        call = build_call(
            request,
            resolved,
            request.received_at,
            dialect=self._dialect,
            service=self._choose_service(resolved),
            own_service=self.own_service,
            identity=identity,
        )
        if isinstance(call, Refusal):
            self._refuse_unrouted(request, response, call)
            return
        parent = self._dialect.find_parent(call.request_id)
        if parent and self._kernel.get("slots").is_running(parent):
            call = replace(call, parent=parent)
        self._spawn(self._serve(call, response), request, response)

    def _check_head(
        self, request: IncomingRequest, length: int | None
    ) -> Refusal | None:
        """Return a refusal of a large request that can't be served, before its body."""
        refusal = self._find_refusal(request, length)
        if refusal is None:
            return None
        self._kernel.get("metrics").count("calls.refused_heads")
        request_id = request.get_header(REQUEST_ID_HEADER) or b""
        log_event(
            logger,
            Event.BODY_REFUSED,
            request=request_id.decode("latin-1"),
            reason=refusal.kind.value,
            detail=refusal.detail,
            body_bytes=length,
            version=self._kernel.get("configuration").routes.version,
        )
        return qualify_for_key(request, refusal)

    def _find_refusal(
        self, request: IncomingRequest, length: int | None
    ) -> Refusal | None:
        routes = self._kernel.get("configuration").routes
        target = request.target.decode("latin-1")
        resolved = routes.match(request.method, target, read_host(request))
        is_large = length is not None and length > MAX_UNCHECKED_BODY_BYTES
        if isinstance(resolved, Refusal):
            return resolved if is_large else None
        if not is_large and not resolved.route.large_body:
            return None
        identity = self._identify(request, resolved)
        if isinstance(identity, Refusal):
            return identity
        call = build_call(
            request,
            resolved,
            time.monotonic(),
            dialect=self._dialect,
            identity=identity,
        )
        if isinstance(call, Refusal) or not resolved.route.large_body:
            return call if isinstance(call, Refusal) else None
        attempts = self._kernel.get("attempts")
        services = [pool.service for pool in resolved.pools]
        if self._steps_back and not attempts.has_upstream(services):
            detail = f"no upstream of {call.service!r}"
            return Refusal(ErrorKind.NO_UPSTREAM, detail)
        refusal = self._kernel.get("slots").check_stop(call)
        if refusal is None and self._steps_back and length and len(services) == 1:
            # A split route may choose another service for its request.
            refusal = attempts.check_body(call, length)
        return refusal

    def _identify(
        self, request: IncomingRequest, resolved: ResolvedRoute
    ) -> Identity | Refusal:
        """Return the organisation of a request and its rank, or a refusal."""
        routes = self._kernel.get("configuration").routes
        if not routes.requires_keys:
            return NO_IDENTITY
        request_id = (request.get_header(REQUEST_ID_HEADER) or b"").decode("latin-1")
        parent = self._dialect.find_parent(request_id)
        keys = [v for name, v in request.headers if name == self._dialect.api_key]
        organisation = identify_organisation(
            routes,
            resolved.route,
            keys,
            is_nested=bool(parent),
            parent_organisation=self._kernel.get("slots").get_organisation(parent),
        )
        refusal = self._kernel.get("revocation").check(routes, keys, organisation)
        if refusal is not None:
            return refusal
        if isinstance(organisation, Refusal):
            return organisation
        return Identity(
            organisation="" if organisation is None else organisation.name,
            rank=routes.choose_rank(resolved, organisation).name,
            is_required=True,
        )

    def _refuse_unrouted(
        self, request: IncomingRequest, response: ServerResponse, refusal: Refusal
    ) -> None:
        """Refuse a request that can't be turned into a call."""
        request_id = request.get_header(REQUEST_ID_HEADER) or b""
        log_event(
            logger,
            Event.REQUEST_NOT_ROUTED,
            request=request_id.decode("latin-1"),
            reason=refusal.kind.value,
            detail=refusal.detail,
            version=self._kernel.get("configuration").routes.version,
            members=self._kernel.get("gossip").membership.count_members(),
        )
        self._refuse(response, qualify_for_key(request, refusal))

    def _handle_relay(self, request: IncomingRequest, response: ServerResponse) -> None:
        call = read_relayed_call(request, time.monotonic())
        if isinstance(call, Refusal):
            self._refuse(response, call)
            return
        if request.get_header(RELAY_HOME) is not None:
            self._spawn(self._serve_home(call, response), request, response)
            return
        upstream = (request.get_header(RELAY_UPSTREAM) or b"").decode("latin-1")
        response.extra_headers = lambda: self._build_load_headers(
            upstream, call, response
        )
        self._spawn(self._serve_local(upstream, call, response), request, response)

    def _spawn(
        self, coroutine, request: IncomingRequest, response: ServerResponse
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._run_guarded(coroutine, response)
        )
        self._tasks[task] = request
        task.add_done_callback(self._tasks.pop)
        # A task cancelled before its first step never starts the coroutine; closing it
        # avoids a warning that it was never awaited.
        task.add_done_callback(lambda _: coroutine.close())
        response.on_disconnect = task.cancel

    async def _run_guarded(self, coroutine, response: ServerResponse) -> None:
        try:
            await coroutine
        except asyncio.CancelledError:
            if response.started or response.is_disconnected:
                response.abort()
            else:
                self._refuse(response, Refusal(ErrorKind.HOST_CUT, "cut by a stop"))
        except Exception:
            logger.exception("unexpected error while serving a call")
            log_event(logger, Event.REQUEST_FAILED)
            if response.started:
                response.abort()
            else:
                self._refuse(response, Refusal(ErrorKind.INTERNAL, "see the log"))

    def _build_load_headers(
        self, upstream: str, call: Call, response: ServerResponse
    ) -> Headers:
        held_ms = None
        if response.admitted_at is not None:
            held_ms = 1000 * (time.monotonic() - response.admitted_at)
        slots = self._kernel.get("slots")
        headers: Headers = []
        load = slots.report_load(upstream, call.rank, held_ms)
        if load is not None:
            load = replace(load, link_wait=self._body_gate.estimate_wait())
            headers += build_load_headers(load)
        if slots.has_refused_nested_call(call.request_id):
            headers.append((RELAY_LACKS_NESTED, b"yes"))
        return headers

    def _build_rejection_headers(self, request: IncomingRequest) -> Headers:
        """Return the load of the upstream to which a refused request was relayed."""
        upstream = (request.get_header(RELAY_UPSTREAM) or b"").decode("latin-1")
        rank = (request.get_header(RELAY_RANK) or b"").decode("latin-1")
        load = self._kernel.get("slots").report_load(upstream, rank, None)
        if load is None:
            return []
        return build_load_headers(
            replace(load, link_wait=self._body_gate.estimate_wait())
        )

    # Calls

    async def _serve(self, call: Call, response: ServerResponse) -> None:
        scoped = call.is_keyed and is_scoped_key(call.key)
        service = self._kernel.get("scopes" if scoped else "attempts")
        started_at = time.monotonic()
        refusal = self._check_start(call, started_at)
        if refusal is None and call.organisation and not call.parent:
            quotas = self._kernel.get("quotas")
            refusal = await quotas.admit(call.organisation, call.deadline)
            if refusal is None:
                refusal = await quotas.serve(service, call, response)
        elif refusal is None:
            refusal = await service.serve(call, response)
        outcome = "answered" if refusal is None else refusal.kind.value
        self._kernel.get("metrics").observe_request(
            call.service, call.rank, outcome, time.monotonic() - started_at
        )
        if refusal is not None and call.key is not None:
            refusal = qualify_refusal(refusal, call.attempt)
        if refusal is not None:
            if call.parent:
                self._kernel.get("slots").record_nested_refusal(call.parent)
            self._log_refusal(Event.REQUEST_REFUSED, call, refusal)
        self._finish_response(response, refusal)

    def _check_start(self, call: Call, now: float) -> Refusal | None:
        """Return a refusal if it is too late to start a call, on any host."""
        if now >= call.deadline:
            detail = "deadline passed behind other requests of the connection"
            return Refusal(ErrorKind.DEADLINE_PASSED, detail)
        # Responses of other hosts are also cut off at the end of the stop.
        return self._kernel.get("slots").check_stop(call)

    async def _serve_home(self, call: Call, response: ServerResponse) -> None:
        refusal = await self._kernel.get("scopes").serve_as_home(call, response)
        self._finish_response(response, refusal)

    async def _serve_local(
        self, upstream: str, call: Call, response: ServerResponse
    ) -> None:
        refusal = await self._kernel.get("slots").execute(upstream, call, response)
        if refusal is not None:
            slots = self._kernel.get("slots")
            load = slots.report_load(upstream, call.rank, None)
            self._log_refusal(
                Event.REQUEST_NOT_ADMITTED, call, refusal, upstream=upstream, load=load
            )
        self._finish_response(response, refusal)

    def _log_refusal(
        self, event: Event, call: Call, refusal: Refusal, **fields: object
    ) -> None:
        now = time.monotonic()
        log_event(
            logger,
            event,
            request=call.request_id,
            service=call.service,
            rank=call.rank,
            reason=refusal.kind.value,
            detail=refusal.detail,
            ran=refusal.ran.value,
            retry_after_ms=refusal.compute_retry_after_ms(now),
            remaining_ms=round(1000 * (call.deadline - now)),
            version=self._kernel.get("configuration").routes.version,
            members=self._kernel.get("gossip").membership.count_members(),
            **fields,
        )

    def _finish_response(
        self, response: ServerResponse, refusal: Refusal | None
    ) -> None:
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

    def _choose_service(self, resolved: ResolvedRoute) -> str:
        """Return the service of a route, by weighted round robin if it is split."""
        split = resolved.route.split
        if not split:
            return resolved.pool.service
        chosen = self._splits.choose(split)
        return next(pool.service for pool in resolved.pools if pool.name == chosen)
