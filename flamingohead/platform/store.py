"""Client of the platform's store: conditional writes, a feed of changes, objects."""

from __future__ import annotations

import base64
import json
import logging
import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated
from urllib.parse import quote, urlencode

import msgspec

from flamingohead.core.eras import EraChange, StoreVersion
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.decoding import DECODING_ERRORS
from flamingohead.events import Event, log_event
from flamingohead.platform.messages import Message
from flamingohead.services.http_client import CollectedResponse
from flamingohead.services.http_messages import OutgoingRequest

if TYPE_CHECKING:
    from flamingohead.core.following import SourceTimeouts
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

# A response usually takes some milliseconds; a slow store takes 50 times as long.
REQUEST_TIMEOUT_SECONDS = 2.0
# A page that arrives over a slow link may take this long, as long as it doesn't stall.
TRANSFER_SECONDS = 8.0
# A page contains up to 1 MB of rows, a third more in base64, and their keys.
MAX_PAGE_BYTES = 2 * 1024 * 1024
# The platform limits objects to 8 MiB.
MAX_OBJECT_BYTES = 8 * 1024 * 1024
# Largest number of rows in a response of the store.
MAX_PAGE_ROWS = 500

OK = 200
PRECONDITION_FAILED = 412
HISTORY_DROPPED = 410
NOT_FOUND = 404
# Increases by one each time that the store is restored from an earlier copy.
ERA_HEADER = b"store-era"
# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = (429, 503)


@dataclass(frozen=True)
class RowKey:
    """Identify a row; all rows of a transaction have the same ``part``."""

    table: str
    part: str
    key: str


@dataclass(frozen=True)
class StoredRow:
    """Represent a row at ``version``; a deleted row has no value."""

    key: str
    value: bytes | None
    version: StoreVersion


@dataclass(frozen=True)
class RowPage:
    """Represent ordered rows and the store's newest version at the time of the read."""

    rows: tuple[StoredRow, ...]
    version: StoreVersion
    is_complete: bool = True


@dataclass(frozen=True)
class HistoryUnavailable:
    """Report that the store does not have, or no longer has, the requested changes."""


class _WireRow(Message):
    key: str
    # Base64 in the message; decoded to bytes by msgspec.
    value: bytes | None = None
    ver: int = 0
    deleted: bool = False


class _WirePage(Message):
    # Newest version of the store, in contrast to ``ver`` of a row.
    ver: int
    rows: tuple[_WireRow, ...] = ()
    # Whether more rows follow.
    truncated: bool = False


class _WireCommit(Message):
    ver: Annotated[int, msgspec.Meta(ge=0)]


_PAGE_DECODER = msgspec.json.Decoder(_WirePage)
_COMMIT_DECODER = msgspec.json.Decoder(_WireCommit)


def _bound_transfer(timeouts: SourceTimeouts) -> dict[str, float]:
    """Return the limits, in seconds, of a response that may be large."""
    return {
        "timeout": timeouts.response_seconds + TRANSFER_SECONDS,
        "start_timeout": timeouts.response_seconds,
        "max_stall": timeouts.stall_seconds,
    }


class StoreClient:
    """Send requests to the store; each returns its result or a refusal.

    ``ran`` of a refused write states whether the write may have been executed or may
    still be.
    """

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self._is_reachable = True
        self._has_era = True

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    async def read_rows(
        self,
        table: str,
        part: str,
        *,
        first_key: str = "",
        limit: int = MAX_PAGE_ROWS,
        timeouts: SourceTimeouts | None = None,
    ) -> RowPage | Refusal:
        """Read a consistent page of rows with keys from ``first_key`` on.

        With ``timeouts``, the response may take long over a slow link if it starts in
        time and does not stall.
        """
        query = {"table": table, "part": part, "limit": limit}
        if first_key:
            query["from"] = first_key
        path = f"/v1/rows-get?{urlencode(query)}"
        bounds = {} if timeouts is None else _bound_transfer(timeouts)
        response = await self._call("GET", path, **bounds)
        if isinstance(response, Refusal):
            return response
        return self._read_page(response)

    async def follow_rows(
        self, table: str, after: StoreVersion, timeouts: SourceTimeouts
    ) -> RowPage | HistoryUnavailable | Refusal:
        """Wait for rows that changed after a version.

        Versions of an earlier era have no history.
        """
        if after.era != self._kernel.get("eras").current:
            return HistoryUnavailable()
        wait_ms = round(timeouts.poll_seconds * 1000)
        query = {"table": table, "after": after.number, "wait-ms": wait_ms}
        response = await self._call(
            "GET",
            f"/v1/rows-feed?{urlencode(query)}",
            **_bound_transfer(timeouts),
        )
        if isinstance(response, Refusal):
            return response
        if response.status == HISTORY_DROPPED:
            return HistoryUnavailable()
        page = self._read_page(response)
        if isinstance(page, RowPage) and page.version.era != after.era:
            return HistoryUnavailable()
        return page

    async def commit(
        self,
        *,
        expected: dict[RowKey, StoreVersion | None] | None = None,
        values: dict[RowKey, bytes] | None = None,
        removed: tuple[RowKey, ...] = (),
    ) -> StoreVersion | None | Refusal:
        """Apply changes in one transaction if all rows have the expected versions.

        An expected version of ``None`` means that the row does not exist. Returns the
        new version, or ``None`` if a row has another version; an expected version of an
        earlier era never matches.
        """
        expected = expected or {}
        eras = {version.era for version in expected.values() if version is not None}
        if eras - {self._kernel.get("eras").current}:
            return None
        body = {
            "precondition": [
                {**vars(key), "ver": version.number if version is not None else 0}
                for key, version in expected.items()
            ],
            "set-keys": [
                {**vars(key), "value": base64.b64encode(value).decode()}
                for key, value in (values or {}).items()
            ],
            "delete-keys": [vars(key) for key in removed],
        }
        response = await self._call("POST", "/v1/rows-tx", json.dumps(body).encode())
        if isinstance(response, Refusal):
            return response
        if response.status == PRECONDITION_FAILED:
            return None
        if response.status != OK:
            return self._refuse(f"transaction answered with {response.status}")
        era = self._kernel.get("eras").current
        if eras - {era}:
            # The store compared the numbers with versions of another era.
            return self._refuse("transaction made in another era than its conditions")
        try:
            return StoreVersion(era, _COMMIT_DECODER.decode(response.body).ver)
        except DECODING_ERRORS as error:
            return self._refuse(f"transaction not understood: {error}")

    async def read_object(self, name: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if it does not exist."""
        path = f"/v1/blob-get/{quote(name, safe='')}"
        response = await self._call("GET", path, limit=MAX_OBJECT_BYTES)
        if isinstance(response, Refusal):
            return response
        if response.status == NOT_FOUND:
            return None
        if response.status != OK:
            return self._refuse(f"object answered with {response.status}")
        return response.body

    async def write_object(self, name: str, value: bytes) -> bool | Refusal:
        """Write an object."""
        path = f"/v1/blob-put/{quote(name, safe='')}"
        response = await self._call("PUT", path, value)
        if isinstance(response, Refusal):
            return response
        if response.status != OK:
            return self._refuse(f"object answered with {response.status}")
        return True

    # Requests

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
        start_timeout: float = math.inf,
        max_stall: float = math.inf,
        limit: int = MAX_PAGE_BYTES,
    ) -> CollectedResponse | Refusal:
        """Send a request; failures of the store or the network give a ``Refusal``.

        A request that changes data uses a new connection: responses of the store have
        no id, so that a delayed duplicate of another response could be mistaken for its
        own. So does each request after a failure, since all open connections may have
        gone silent together.
        """
        call = path.partition("?")[0].split("/")[2]
        self._kernel.get("metrics").count(f"store.{call}")
        headers = ((b"content-type", b"application/json"),) if body else ()
        now = time.monotonic()
        response = CollectedResponse(limit)
        request = OutgoingRequest(
            method,
            path.encode(),
            headers,
            body,
            now + timeout,
            start_deadline=now + start_timeout,
            max_stall_seconds=max_stall,
        )
        refusal = await self._kernel.get("http_client").send(
            self._address,
            request,
            response,
            fresh=method != "GET" or not self._is_reachable,
        )
        if refusal is not None:
            not_sent = refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE
            return self._refuse(refusal.detail, done=not not_sent, call=call)
        change = self._kernel.get("eras").observe_era(self._read_era(response), call)
        if response.status in NOT_EXECUTED_STATUSES:
            detail = f"{call} refused with {response.status}"
            return self._refuse(detail, done=False, call=call)
        if change is EraChange.STALE:
            return self._refuse(f"{call} answered in an earlier era", call=call)
        self._record_success(call)
        return response

    def _read_page(self, response: CollectedResponse) -> RowPage | Refusal:
        if response.status != OK:
            return self._refuse(f"rows answered with {response.status}")
        try:
            page = _PAGE_DECODER.decode(response.body)
        except DECODING_ERRORS as error:
            return self._refuse(f"rows not understood: {error}")
        # Responses of an earlier era were refused before.
        era = self._kernel.get("eras").current
        rows = tuple(
            StoredRow(
                row.key,
                None if row.deleted else row.value or b"",
                StoreVersion(era, row.ver),
            )
            for row in page.rows
        )
        return RowPage(rows, StoreVersion(era, page.ver), not page.truncated)

    def _read_era(self, response: CollectedResponse) -> int:
        """Return the era in the response headers, or the current era if absent."""
        current = self._kernel.get("eras").current
        era_header = dict(response.headers).get(ERA_HEADER, b"")
        if era_header.isdigit():
            self._has_era = True
            return int(era_header)
        if current and self._has_era:
            self._has_era = False
            log_event(logger, Event.ERA_MISSING, found=era_header, known=current)
        return current

    def _record_success(self, call: str) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            log_event(logger, Event.STORE_REACHABLE, call=call)

    def _refuse(self, detail: str, *, done: bool = True, call: str = "") -> Refusal:
        self._kernel.get("metrics").count("store.failed")
        if self._is_reachable:
            self._is_reachable = False
            log_event(logger, Event.STORE_UNREACHABLE, call=call, reason=detail)
        ran = ExecutionStatus.UNKNOWN if done else ExecutionStatus.NO
        return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail, ran_override=ran)
