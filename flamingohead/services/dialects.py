"""Deployment-specific HTTP headers of callers and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.services.http_messages import Headers


def _find_no_parent(request_id: str) -> str:
    return ""


def _read_no_pace(headers: Headers) -> float | None:
    return None


def _read_no_busy_count(headers: Headers) -> int | None:
    return None


def _states_not_executed(status: int, headers: Headers) -> bool:
    return status == 503 and (b"request-executed", b"no") in headers


@dataclass(frozen=True)
class Dialect:
    """Name the headers of a deployment in lower case; an empty name is not sent.

    ``deadline`` carries the remaining time of the sender in milliseconds, ``upstream``
    the name of the only upstream that may execute the request, and ``caller_service``
    the service on whose host the request originated. Callers send the key of their
    organisation in ``api_key``, and upstreams get the name of the organisation in
    ``organisation``. ``states_not_executed`` returns
    whether the status and headers of an upstream's response state that it did not
    execute the request. ``not_run_statuses`` are the statuses that callers take for
    this statement, also in the response of an upstream that lacks it. ``find_parent``
    returns the id of the request that may have made the request with the given id.
    ``read_pace`` returns how long work takes on the upstream when it responds, as a
    multiple of the usual, and ``read_busy_count`` the number of requests that it works
    on or has queued; both return ``None`` if it does not report them. With
    ``echo_request_ids``, upstreams repeat the id of a request in its response.
    """

    deadline: bytes = b"request-timeout-ms"
    upstream: bytes = b""
    caller_service: bytes = b""
    api_key: bytes = b""
    organisation: bytes = b""
    states_not_executed: Callable[[int, Headers], bool] = field(
        default=_states_not_executed
    )
    not_run_statuses: frozenset[int] = frozenset()
    find_parent: Callable[[str], str] = field(default=_find_no_parent)
    read_pace: Callable[[Headers], float | None] = field(default=_read_no_pace)
    read_busy_count: Callable[[Headers], int | None] = field(
        default=_read_no_busy_count
    )
    preserves_host: bool = False
    reads_keys: bool = True
    sends_fractional_retry_after: bool = False
    allows_close_delimited_responses: bool = False
    echo_request_ids: bool = False

    @property
    def reserved_headers(self) -> frozenset[bytes]:
        """Return the headers that the daemon sets and that callers can't override."""
        names = (self.deadline, self.upstream, self.caller_service)
        return frozenset(name for name in names if name)

    @property
    def identity_headers(self) -> frozenset[bytes]:
        """Return the headers about the organisation, which no request passes on."""
        return frozenset(name for name in (self.api_key, self.organisation) if name)


PRODUCT_DIALECT = Dialect()
