"""Relaying of a call to the daemon on the host of the chosen upstream."""

from __future__ import annotations

import math
import secrets
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.calls import Call
from flamingohead.core.capacity.service_times import (
    MIN_LIFETIME_SECONDS,
    ServiceTime,
)
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import FIRST_ATTEMPT, UNMARKED
from flamingohead.core.placement import LoadReport
from flamingohead.core.transfers.links import (
    MAX_UNSCHEDULED_BYTES,
    Link,
    compute_grant_deadline,
)
from flamingohead.services.byte_bounds import MAX_DISCARDED_BYTES, ByteBound
from flamingohead.services.http_messages import (
    EXCHANGE_HEADER,
    KEY_ATTEMPT_HEADER,
    KEY_CHECKED_HEADER,
    KEY_HEADER,
    RAN_HEADER,
    REFUSAL_HEADER,
    RELAY_PREFIX,
    TIMEOUT_HEADER,
    OutgoingRequest,
    find_header,
)
from flamingohead.services.response_wrapper import couple_flow, decouple_flow

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.balancing import Candidate
    from flamingohead.services.buffered_response import BufferedResponse
    from flamingohead.services.http_connection import ClientConnection
    from flamingohead.services.http_messages import Headers, IncomingRequest
    from flamingohead.services.http_response import ServerResponse

RELAY_UPSTREAM = b"flamingohead-upstream"
RELAY_SERVICE = b"flamingohead-service"
RELAY_RANK = b"flamingohead-rank"
RELAY_IDEMPOTENT = b"flamingohead-idempotent"
RELAY_CALL = b"flamingohead-call"
RELAY_CLAIMED = b"flamingohead-claimed"
RELAY_HOME = b"flamingohead-home"
RELAY_LOAD = b"flamingohead-load"
# Begins the second line of a load report: expected and usual service time, and the time
# for which the difference is expected to last, in milliseconds.
SERVICE_TIMES_PREFIX = "times="
# Begins the line of a load report that tells the wait for the host's link in
# milliseconds.
LINK_WAIT_PREFIX = "link="
RELAY_WAIT = b"flamingohead-wait"
RELAY_HOST = b"flamingohead-host"
RELAY_PARENT = b"flamingohead-parent"
RELAY_ORGANISATION = b"flamingohead-organisation"
# Set if a nested call that the upstream made for this request was refused.
RELAY_LACKS_NESTED = b"flamingohead-lacks-nested"
REPORT_HEADERS = (RELAY_LOAD, RELAY_LACKS_NESTED)
RETRY_AFTER_HEADER = b"flamingohead-retry-after-ms"
CALLER_HEADER = b"request-caller"
MAX_ATTEMPT_DIGITS = 9
MAX_CALLER_BYTES = 64
MAX_TIMEOUT_DIGITS = 9


class RelaySink:
    """Forward the response of another daemon, or record its refusal."""

    def __init__(
        self,
        response: ServerResponse | BufferedResponse,
        on_load: Callable[[LoadReport], None] | None = None,
    ) -> None:
        self._response = response
        self._on_load = on_load
        self.refusal: Refusal | None = None
        self.has_refused_nested_call = False
        self._discarded = ByteBound(MAX_DISCARDED_BYTES)

    @property
    def started(self) -> bool:
        return self._response.started

    def attach(self, connection: ClientConnection) -> None:
        """Pause reading from the connection while the caller's write buffer is full."""
        couple_flow(self._response, connection)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        self.refusal = _read_refusal(headers, time.monotonic())
        load = read_load(headers)
        if load is not None and self._on_load is not None:
            self._on_load(load)
        if self.refusal is None:
            self.has_refused_nested_call = (RELAY_LACKS_NESTED, b"yes") in headers
            headers = [h for h in headers if h[0] not in REPORT_HEADERS]
            self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        if self.refusal is None:
            self._response.write(data)
        else:
            self._discarded.add(len(data))

    def finish(self) -> None:
        decouple_flow(self._response)
        if self.refusal is None:
            self._response.finish()


def build_relay_request(
    candidate: Candidate, call: Call, now: float
) -> OutgoingRequest:
    """Return the request that relays a call to the host of a candidate."""
    upstream = (RELAY_UPSTREAM, candidate.upstream.encode())
    headers = (*_build_headers(call, now), upstream)
    grant_deadline = None
    if call.large_body and len(call.body) > MAX_UNSCHEDULED_BYTES:
        grant_deadline = compute_grant_deadline(
            len(call.body),
            Link(candidate.link_mbps),
            deadline=call.deadline,
            target_deadline=call.target_deadline,
            now=now,
        )
    return OutgoingRequest(
        call.method,
        call.target,
        headers,
        call.body,
        call.deadline,
        grant_deadline=grant_deadline,
    )


def convert_to_host_refusal(refusal: Refusal) -> Refusal:
    """Convert an upstream error of a relay exchange to the error of its host."""
    if refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE:
        return Refusal(ErrorKind.HOST_UNREACHABLE, refusal.detail)
    if refusal.kind is ErrorKind.UPSTREAM_CUT:
        return Refusal(ErrorKind.HOST_CUT, refusal.detail)
    return refusal


def build_home_headers(call: Call, now: float) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers that relay a call to the home of its idempotency key."""
    return (*_build_headers(call, now), (RELAY_HOME, b"yes"))


def _build_headers(call: Call, now: float) -> tuple[tuple[bytes, bytes], ...]:
    remaining_ms = max(0, round((call.deadline - now) * 1000))
    return (
        *call.headers,
        (TIMEOUT_HEADER, b"%d" % remaining_ms),
        (RELAY_SERVICE, call.service.encode()),
        (RELAY_RANK, call.rank.encode()),
        (RELAY_IDEMPOTENT, b"yes" if call.idempotent else b"no"),
        (RELAY_CALL, call.call_id.encode()),
        (RELAY_CLAIMED, b"yes" if call.claimed else b"no"),
        (RELAY_WAIT, b"yes" if call.may_wait else b"no"),
        (RELAY_HOST, call.host),
        (RELAY_PARENT, call.parent.encode()),
        *_build_organisation_header(call),
        (EXCHANGE_HEADER, secrets.token_hex(8).encode()),
    )


def _build_organisation_header(call: Call) -> tuple[tuple[bytes, bytes], ...]:
    if not call.organisation:
        return ()
    return ((RELAY_ORGANISATION, call.organisation.encode()),)


def read_attempt(request: IncomingRequest) -> int | Refusal:
    """Return the attempt number sent by the caller, or 0 if there is none."""
    value = request.get_header(KEY_ATTEMPT_HEADER)
    if value is None:
        return UNMARKED
    valid = value.isdigit() and len(value) <= MAX_ATTEMPT_DIGITS
    if not valid or int(value) < FIRST_ATTEMPT:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST,
            f"idempotency-attempt {value[:20]!r} is not a whole number from 1",
        )
    return int(value)


def read_caller(request: IncomingRequest) -> str:
    """Return the caller name from the request, or an empty string."""
    value = request.get_header(CALLER_HEADER) or b""
    return value[:MAX_CALLER_BYTES].decode("latin-1")


def read_relayed_call(request: IncomingRequest, now: float) -> Call | Refusal:
    """Return the call that another daemon relayed."""
    timeout = request.get_header(TIMEOUT_HEADER) or b""
    service = request.get_header(RELAY_SERVICE)
    rank = request.get_header(RELAY_RANK)
    is_number = timeout.isdigit() and len(timeout) <= MAX_TIMEOUT_DIGITS
    if service is None or rank is None or not is_number:
        return Refusal(ErrorKind.MALFORMED_REQUEST, "not a request of a daemon")
    attempt = read_attempt(request)
    if isinstance(attempt, Refusal):
        return attempt
    key = request.get_header(KEY_HEADER)
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if not name.startswith(RELAY_PREFIX) and name != TIMEOUT_HEADER
    )
    return Call(
        service=service.decode("latin-1"),
        rank=rank.decode("latin-1"),
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        deadline=now + int(timeout) / 1000,
        idempotent=request.get_header(RELAY_IDEMPOTENT) == b"yes",
        key=None if key is None else key.decode("latin-1"),
        caller=read_caller(request),
        attempt=attempt,
        call_id=(request.get_header(RELAY_CALL) or b"").decode("latin-1"),
        claimed=request.get_header(RELAY_CLAIMED) == b"yes",
        may_wait=request.get_header(RELAY_WAIT) != b"no",
        host=request.get_header(RELAY_HOST) or b"",
        parent=(request.get_header(RELAY_PARENT) or b"").decode("latin-1"),
        organisation=(request.get_header(RELAY_ORGANISATION) or b"").decode(
            errors="replace"
        ),
        relayed=True,
    )


def encode_load(load: LoadReport) -> bytes:
    """Return a load report encoded as a header value."""
    slot_time = "" if load.held_ms is None else f"{load.held_ms:.1f}"
    return f"{load.running},{load.waiting},{load.slots},{slot_time}".encode()


def build_load_headers(load: LoadReport) -> Headers:
    """Return the header lines of a load report.

    Service times and the wait for the link are sent in further lines of the same name:
    daemons of earlier builds ignore lines that they don't know, and remove them all.
    """
    headers = [(RELAY_LOAD, encode_load(load))]
    if load.times is not None:
        figures = load.times.current, load.times.usual, load.times.lifetime
        value = ",".join(f"{1000 * seconds:.1f}" for seconds in figures)
        headers.append((RELAY_LOAD, (SERVICE_TIMES_PREFIX + value).encode()))
    if load.link_wait is not None:
        value = f"{LINK_WAIT_PREFIX}{1000 * load.link_wait:.1f}"
        headers.append((RELAY_LOAD, value.encode()))
    return headers


def read_load(headers: Headers) -> LoadReport | None:
    """Return the load report of a host; service times are absent in earlier builds."""
    value = find_header(headers, RELAY_LOAD)
    if value is None:
        return None
    try:
        running, waiting, slots, slot_time = value.decode("latin-1").split(",")
        held_ms = _read_milliseconds(slot_time) if slot_time else None
        load = LoadReport(int(running), int(waiting), int(slots), held_ms)
    except ValueError:
        return None
    for name, value in headers:
        if name == RELAY_LOAD:
            load = _add_line(load, value.decode("latin-1"))
    return load


def _add_line(load: LoadReport, line: str) -> LoadReport:
    """Return the report with what one of its further lines tells."""
    if line.startswith(SERVICE_TIMES_PREFIX):
        return _add_service_times(load, line.removeprefix(SERVICE_TIMES_PREFIX))
    if line.startswith(LINK_WAIT_PREFIX):
        return _add_link_wait(load, line.removeprefix(LINK_WAIT_PREFIX))
    return load


def _add_link_wait(load: LoadReport, value: str) -> LoadReport:
    """Return the report with the wait for the link; without it if it is malformed."""
    try:
        return replace(load, link_wait=_read_milliseconds(value) / 1000)
    except ValueError:
        return load


def _add_service_times(load: LoadReport, value: str) -> LoadReport:
    """Return the report with its service times; without them if they are malformed."""
    try:
        current, usual, lifetime = (
            _read_milliseconds(figure) / 1000 for figure in value.split(",")
        )
        # A half-life of 0 would be a division by zero.
        times = ServiceTime(current, usual, max(lifetime, MIN_LIFETIME_SECONDS))
    except ValueError:
        return load
    return replace(load, times=times)


def _read_milliseconds(value: str) -> float:
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r} is no duration")
    return number


def _read_refusal(headers: Headers, now: float) -> Refusal | None:
    values = dict(headers)
    name = values.get(REFUSAL_HEADER)
    if name is None:
        return None
    try:
        kind = ErrorKind(name.decode())
    except ValueError:
        kind = ErrorKind.INTERNAL
    retry_ms = values.get(RETRY_AFTER_HEADER)
    retry_at = now + int(retry_ms) / 1000 if retry_ms else None
    return Refusal(
        kind,
        "refused by the upstream's host",
        retry_at,
        ran_override=_read_ran(values),
        key_checked=values.get(KEY_CHECKED_HEADER) == b"yes",
    )


def _read_ran(values: dict[bytes, bytes]) -> ExecutionStatus:
    try:
        return ExecutionStatus(values.get(RAN_HEADER, b"").decode("latin-1"))
    except ValueError:
        return ExecutionStatus.UNKNOWN
