"""Dispatch of an admitted call to an upstream."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from flamingohead.core.connection_reuse import get_max_idle_seconds
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.events import Event, log_event
from flamingohead.services.byte_bounds import MAX_DISCARDED_BYTES, ByteBound
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_messages import RELAY_PREFIX, OutgoingRequest
from flamingohead.services.response_wrapper import couple_flow, decouple_flow

if TYPE_CHECKING:
    from flamingohead.core.calls import Call
    from flamingohead.kernel import Kernel
    from flamingohead.services.dialects import Dialect
    from flamingohead.services.http_connection import ClientConnection
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse

logger = logging.getLogger(__name__)


class ResponseRelay:
    """Forward a response to the caller as it arrives.

    Discards a response by which the upstream states that it did not execute the
    request, so that the request can be tried elsewhere, and one whose status callers
    would take for this statement although it lacks it (``lacks_statement``).
    ``pace`` and ``busy_count`` are those which the upstream reported.
    """

    def __init__(
        self, response: ServerResponse, dialect: Dialect = PRODUCT_DIALECT
    ) -> None:
        self._response = response
        self._dialect = dialect
        self.status = 0
        self.headers: Headers = []
        self.not_executed = False
        self.lacks_statement = False
        self.is_complete = False
        self.pace: float | None = None
        self.busy_count: int | None = None
        self.connection: ClientConnection | None = None
        self._discarded = ByteBound(MAX_DISCARDED_BYTES)

    @property
    def started(self) -> bool:
        return self._response.started

    @property
    def is_discarded(self) -> bool:
        """Return whether the caller gets no part of the response."""
        return self.not_executed or self.lacks_statement

    def record_admission(self, now: float) -> None:
        """Record the time at which the request was admitted."""
        self._response.admitted_at = now

    def attach(self, connection: ClientConnection) -> None:
        """Pause reading from the connection while the caller's write buffer is full."""
        self.connection = connection
        couple_flow(self._response, connection)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        headers = [h for h in headers if not h[0].startswith(RELAY_PREFIX)]
        self.status = status
        self.headers = headers
        self.pace = self._dialect.read_pace(headers)
        self.busy_count = self._dialect.read_busy_count(headers)
        self.not_executed = self._dialect.states_not_executed(status, headers)
        if self.not_executed and self.connection is not None:
            self.connection.record_refusal()
        is_denial = status in self._dialect.not_run_statuses
        self.lacks_statement = is_denial and not self.not_executed
        if not self.is_discarded:
            self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        if self.is_discarded:
            self._discarded.add(len(data))
            return
        self._response.write(data)

    def finish(self) -> None:
        self.is_complete = True
        decouple_flow(self._response)
        if not self.is_discarded:
            self._response.finish()


async def dispatch_call(
    kernel: Kernel,
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
    refusal = await kernel.get("http_client").send(
        address,
        request,
        relay,
        max_idle_seconds=get_max_idle_seconds(
            idempotent=call.idempotent, to_upstream=True
        ),
        on_connection=relay.attach,
    )
    if relay.is_discarded:
        # The head says enough, also if the rest of the response is lost.
        return _refuse_discarded(kernel, call, relay, upstream)
    return refusal


def _refuse_discarded(
    kernel: Kernel, call: Call, relay: ResponseRelay, upstream: str
) -> Refusal:
    """Return the refusal for a response that the caller doesn't get."""
    event = Event.UPSTREAM_DECLINED
    refusal = Refusal(ErrorKind.UPSTREAM_SHED, "the upstream did not execute it")
    if relay.lacks_statement:
        event = Event.EXECUTION_NOT_STATED
        detail = f"the upstream answered {relay.status} and may have executed it"
        refusal = Refusal(
            ErrorKind.UPSTREAM_FAILED, detail, ran_override=ExecutionStatus.UNKNOWN
        )
        kernel.get("metrics").count("upstream.execution_not_stated")
    log_event(
        logger,
        event,
        request=call.request_id,
        upstream=upstream,
        status=relay.status,
        connection=relay.connection.number,
        exchange=relay.connection.exchange_count,
    )
    return refusal
