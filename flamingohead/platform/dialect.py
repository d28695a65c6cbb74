"""Request and response headers of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.errors import NOT_RUN_STATUSES
from flamingohead.services.dialects import Dialect
from flamingohead.services.http_messages import find_header

if TYPE_CHECKING:
    from flamingohead.services.http_messages import Headers

NOT_EXECUTED_HEADER = b"not-executed"
INSTANCE_HEADER = b"instance-id"
LOAD_HEADER = b"instance-load"
# Running and waiting requests, slots, and the pace in percent.
LOAD_FIGURES = 4
MAX_PACE_DIGITS = 6
# HTTP status: the upstream at the address is not the expected one.
MISDIRECTED_REQUEST = 421


def states_not_executed(status: int, headers: Headers) -> bool:
    """Return whether a response states that the request was not executed."""
    if status == MISDIRECTED_REQUEST:
        return True
    return any(name == NOT_EXECUTED_HEADER for name, _ in headers)


def find_parent(request_id: str) -> str:
    """Return the id of the parent request, or an empty string if there is none.

    The id of a call that an upstream makes is the id of the request that it serves,
    followed by a dot and a suffix.
    """
    parent, separator, _ = request_id.rpartition(".")
    return parent if separator else ""


def split_load(headers: Headers) -> list[bytes]:
    """Return the figures of the load header, which are not validated."""
    value = find_header(headers, LOAD_HEADER)
    return [] if value is None else [figure.strip() for figure in value.split(b",")]


def read_pace(headers: Headers) -> float | None:
    """Return how long work takes on the upstream, as a multiple of the usual.

    The load header contains it in percent as its fourth figure, on some services only.
    """
    figures = split_load(headers)
    if len(figures) != LOAD_FIGURES:
        return None
    percent = figures[-1]
    if not percent.isdigit() or len(percent) > MAX_PACE_DIGITS or not int(percent):
        return None
    return int(percent) / 100


def read_busy_count(headers: Headers) -> int | None:
    """Return the number of running and waiting requests of the upstream."""
    counts = split_load(headers)[:2]
    if len(counts) < 2 or not all(c.isdigit() and len(c) <= 6 for c in counts):
        return None
    return sum(map(int, counts))


PLATFORM_DIALECT = Dialect(
    deadline=b"request-deadline",
    upstream=b"expect-instance",
    caller_service=b"caller-service",
    api_key=b"x-api-key",
    organisation=b"tenant",
    states_not_executed=states_not_executed,
    not_run_statuses=NOT_RUN_STATUSES,
    find_parent=find_parent,
    read_pace=read_pace,
    read_busy_count=read_busy_count,
    preserves_host=True,
    reads_keys=False,
    sends_fractional_retry_after=True,
    allows_close_delimited_responses=True,
    echo_request_ids=True,
)
