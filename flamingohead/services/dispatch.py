"""Dispatch of an admitted call to an upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from flamingohead.core.connection_reuse import get_max_idle_seconds
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.byte_bounds import MAX_DISCARDED_BYTES, ByteBound
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_messages import RELAY_PREFIX, OutgoingRequest

if TYPE_CHECKING:
    from flamingohead.core.calls import Call
    from flamingohead.services.dialects import Dialect
    from flamingohead.services.http_client import HttpClientService
    from flamingohead.services.http_connection import ClientConnection
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse


class ResponseRelay:
    """Forward a response to the caller as it arrives.

    Discards a response by which the upstream states that it did not execute the
    request, so that the request can be tried elsewhere.
    """

    def __init__(
        self, response: ServerResponse, dialect: Dialect = PRODUCT_DIALECT
    ) -> None:
        self._response = response
        self._dialect = dialect
        self._connection: ClientConnection | None = None
        self.status = 0
        self.headers: Headers = []
        self.not_executed = False
        self.is_complete = False
        self.dispatched = False
        self._discarded = ByteBound(MAX_DISCARDED_BYTES)

    @property
    def started(self) -> bool:
        return self._response.started

    def record_admission(self, now: float) -> None:
        """Record the time at which the request was admitted."""
        self._response.admitted_at = now

    def attach(self, connection: ClientConnection) -> None:
        """Pause reading from the connection while the caller's write buffer is full."""
        self.dispatched = True
        self._connection = connection
        self._response.on_pause = connection.pause
        self._response.on_resume = connection.resume

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        headers = [h for h in headers if not h[0].startswith(RELAY_PREFIX)]
        self.status = status
        self.headers = headers
        if self._dialect.states_not_executed(status, headers):
            self.not_executed = True
            if self._connection is not None:
                self._connection.record_refusal()
            return
        self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        if self.not_executed:
            self._discarded.add(len(data))
            return
        self._response.write(data)

    def finish(self) -> None:
        self.is_complete = True
        if not self.not_executed:
            self._response.finish()


async def dispatch_call(
    client: HttpClientService,
    address: str,
    call: Call,
    relay: ResponseRelay,
    *,
    upstream: str = "",
    dialect: Dialect = PRODUCT_DIALECT,
) -> Refusal | None:
    """Send a call to the upstream at an address; return ``None`` after a response."""
    remaining_ms = max(0, round((call.deadline - time.monotonic()) * 1000))
    headers = (*call.headers, (dialect.deadline, b"%d" % remaining_ms))
    if dialect.upstream:
        headers = (*headers, (dialect.upstream, upstream.encode()))
    request = OutgoingRequest(
        call.method,
        call.target,
        headers,
        call.body,
        call.deadline,
        host=call.host,
        allows_close_delimited=dialect.allows_close_delimited_responses,
        echoes_request_id=dialect.echo_request_ids,
    )
    refusal = await client.send(
        address,
        request,
        relay,
        max_idle_seconds=get_max_idle_seconds(
            idempotent=call.idempotent, to_upstream=True
        ),
        on_connection=relay.attach,
    )
    if refusal is None and relay.not_executed:
        return Refusal(ErrorKind.UPSTREAM_SHED, "the upstream did not execute it")
    return refusal
