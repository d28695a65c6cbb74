"""HTTP messages exchanged between callers, daemons and upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

RAN_HEADER = b"flamingohead-ran"
REFUSAL_HEADER = b"flamingohead-refusal"
KEY_CHECKED_HEADER = b"flamingohead-key-checked"
RELAY_PREFIX = b"flamingohead-"
KEY_HEADER = b"idempotency-key"
KEY_ATTEMPT_HEADER = b"idempotency-attempt"
TIMEOUT_HEADER = b"request-timeout-ms"
# Path at which callers request a scope for their idempotency keys.
SCOPE_PATH = b"/.flamingohead/key-scope"
# Between daemons: the response echoes the value of the request.
EXCHANGE_HEADER = b"flamingohead-exchange"
# Between daemons: bytes per second at which the body that was asked for is to be sent.
PACE_HEADER = b"flamingohead-pace"

HTTP_VERSIONS = frozenset(("1.0", "1.1"))
FIRST_STATUS = 100
CONTINUE = 100
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
# Dropping one of these would change the meaning of a request, so that the Connection
# header must not list them.
PROTECTED_HEADERS = frozenset(
    (b"host", b"expect", KEY_HEADER, KEY_ATTEMPT_HEADER, TIMEOUT_HEADER)
)
# Set by the sender of a request itself and not copied from the original request.
GENERATED_HEADERS = HOP_BY_HOP_HEADERS | {b"host", b"expect"}


@dataclass
class IncomingRequest:
    """Represent a complete request, ``received_at`` in monotonic seconds.

    It may wait behind others of its connection before it is served. ``held_bytes`` is
    the memory that it holds until its response is complete.
    """

    method: str
    target: bytes
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    version: str = "1.1"
    received_at: float = 0.0
    held_bytes: int = 0

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True)
class OutgoingRequest:
    """Represent a request to send, with its ``deadline`` in monotonic seconds.

    The response has to start by ``start_deadline`` and then may stall for at most
    ``max_stall_seconds``.

    An empty ``host`` sends the address of the connection as the Host header. An
    unframed response has neither Content-Length nor chunked coding and ends when the
    connection closes. If the upstream ``echoes_request_id``, a response without the
    request id is rejected unless it is the first on its connection: it may be a
    duplicate of the previous response. A response with an id is then also rejected if
    the request has none.

    With a ``grant_deadline``, the body is sent only after the receiver has asked for it
    (100 Continue), and not at all if it hasn't done so by then.
    """

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline: float
    host: bytes = b""
    allows_close_delimited: bool = False
    echoes_request_id: bool = False
    start_deadline: float = math.inf
    max_stall_seconds: float = math.inf
    grant_deadline: float | None = None

    def encode(self, host: str) -> bytes:
        """Return the encoded request; raise ``ValueError`` if it isn't exactly one."""
        return self.encode_head(host) + self.body

    def encode_head(self, host: str) -> bytes:
        """Return the encoded head; raise ``ValueError`` if it isn't exactly one."""
        parts = [
            b"%b %b HTTP/1.1\r\nhost: %b\r\n"
            % (self.method.encode(), self.target, self.host or host.encode())
        ]
        for name, value in self.headers:
            if name not in GENERATED_HEADERS:
                parts.append(b"%b: %b\r\n" % (name, value))
        if self.body or self.method in ("POST", "PUT", "PATCH"):
            parts.append(b"content-length: %d\r\n" % len(self.body))
        if self.grant_deadline is not None:
            parts.append(b"expect: 100-continue\r\n")
        parts.append(b"\r\n")
        head = b"".join(parts)
        check_head(head, lines=len(parts) + 1)
        if b" " in self.target:
            raise ValueError(f"space in the target {self.target!r}")
        return head


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def find_response_fault(version: str, status: int, headers: Headers) -> str | None:
    """Return why the head of a response is not valid HTTP/1.1, or ``None``.

    It decides for the responses of upstreams and those that other daemons relay.
    Parsers accept any three digits as a status and count all below 200 as
    informational, although such a response may have a body.
    """
    if version not in HTTP_VERSIONS:
        return f"version {version[:10]} of the answer"
    if status == SWITCHING_PROTOCOLS:
        return "change of protocol that was not requested"
    if is_informational_status(status):
        framing = (b"content-length", b"transfer-encoding")
        if any(name in framing for name, _ in headers):
            return f"body of an informational answer with status {status}"
        return None
    if not is_final_status(status):
        return f"status {status:03} of the answer"
    return None


def is_informational_status(status: int) -> bool:
    """Return whether a response with this status precedes the final one."""
    return FIRST_STATUS <= status < FIRST_FINAL_STATUS


def is_final_status(status: int) -> bool:
    """Return whether a response with this status answers a request."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def read_keep_alive(headers: Headers) -> float | None:
    """Return the ``timeout`` of the Keep-Alive header in seconds, if present."""
    value = find_header(headers, b"keep-alive") or b""
    for option in value.split(b","):
        name, _, number = option.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def check_head(head: bytes, *, lines: int) -> None:
    """Raise ``ValueError`` if header names or values inject lines into a head."""
    line_breaks = head.count(b"\r\n")
    has_stray = head.count(b"\r") != line_breaks or head.count(b"\n") != line_breaks
    if line_breaks != lines or has_stray or b"\0" in head:
        raise ValueError("line break or NUL byte in a header")


def list_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in the Connection headers."""
    options = [
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    ]
    return frozenset(options)


def drop_hop_by_hop_headers(headers: Headers, options: frozenset[bytes]) -> Headers:
    """Return the end-to-end headers; ``options`` are those listed in Connection."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in options
    ]
