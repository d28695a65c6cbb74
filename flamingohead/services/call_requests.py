"""Conversion of a caller's request to a call."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import UNMARKED, qualify_refusal
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_messages import KEY_HEADER, RELAY_PREFIX
from flamingohead.services.relay import read_attempt, read_caller

if TYPE_CHECKING:
    from flamingohead.core.routing import ResolvedRoute
    from flamingohead.services.dialects import Dialect
    from flamingohead.services.http_messages import IncomingRequest

MAX_KEY_BYTES = 256


@dataclass(frozen=True)
class Identity:
    """Describe whom a request belongs to, and its rank if that depends on it.

    The identity ``is_required`` if the configuration has organisations.
    """

    organisation: str = ""
    rank: str = ""
    is_required: bool = False


NO_IDENTITY = Identity()


def build_call(
    request: IncomingRequest,
    resolved: ResolvedRoute,
    now: float,
    *,
    dialect: Dialect = PRODUCT_DIALECT,
    service: str = "",
    own_service: str = "",
    identity: Identity = NO_IDENTITY,
) -> Call | Refusal:
    """Return the call of a request to ``service``, by default that of the route."""
    route = resolved.route
    timeout_ms = _read_timeout(request, dialect.deadline, route.timeout_ms)
    if isinstance(timeout_ms, Refusal):
        return timeout_ms
    dropped = dialect.reserved_headers
    if identity.is_required:
        dropped |= dialect.identity_headers
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if not name.startswith(RELAY_PREFIX) and name not in dropped
    )
    if dialect.caller_service:
        headers = (*headers, (dialect.caller_service, own_service.encode()))
    if identity.organisation:
        headers = (*headers, (dialect.organisation, identity.organisation.encode()))
    call = Call(
        service=service or resolved.pool.service,
        rank=identity.rank or route.rank,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        deadline=now + timeout_ms / 1000,
        target_deadline=now + resolved.rank.target_ms / 1000,
        idempotent=route.idempotent,
        bulky=route.bulky,
        max_attempts=route.max_attempts,
        host=(request.get_header(b"host") or b"") if dialect.preserves_host else b"",
        organisation=identity.organisation,
        large_body=route.large_body,
    )
    return _read_key(request, call) if dialect.reads_keys else call


def _read_key(request: IncomingRequest, call: Call) -> Call | Refusal:
    attempt = read_attempt(request)
    if isinstance(attempt, Refusal):
        return attempt
    key = request.get_header(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_BYTES:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST, f"idempotency key of {len(key)} bytes"
        )
    return replace(
        call,
        key=None if key is None else key.decode("latin-1"),
        caller=read_caller(request),
        attempt=attempt,
        call_id="" if key is None else secrets.token_hex(8),
    )


def qualify_for_key(request: IncomingRequest, refusal: Refusal) -> Refusal:
    """Return the refusal, qualified by the attempt if the request has a key."""
    if request.get_header(KEY_HEADER) is None:
        return refusal
    attempt = read_attempt(request)
    return qualify_refusal(
        refusal, UNMARKED if isinstance(attempt, Refusal) else attempt
    )


def read_host(request: IncomingRequest) -> str:
    """Return the Host header in lower case and without its port."""
    value = (request.get_header(b"host") or b"").decode("latin-1").lower()
    return value.partition(":")[0]


def _read_timeout(
    request: IncomingRequest, header: bytes, max_ms: int
) -> int | Refusal:
    value = request.get_header(header)
    if value is None:
        return max_ms
    if not value.isdigit() or len(value) > 9:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST,
            f"{header.decode()} {value[:20]!r} is not a whole number",
        )
    return min(int(value), max_ms)
