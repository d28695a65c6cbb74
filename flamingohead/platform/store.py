"""Client of the platform's store: rows under conditions, a feed of changes, objects."""

from __future__ import annotations

import base64
import json
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated
from urllib.parse import quote, urlencode

import msgspec

from flamingohead.core.eras import EraChange, StoreVersion
from flamingohead.core.errors import ErrorKind, Ran, Refusal
from flamingohead.decoding import UNREADABLE
from flamingohead.events import Event, log_event
from flamingohead.platform.messages import Message
from flamingohead.services.http_client import CollectedAnswer
from flamingohead.services.http_messages import OutgoingRequest

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

# An ordinary answer takes some milliseconds; a slow store takes 50 times as long.
REQUEST_TIMEOUT_SECONDS = 2.0
# What an answer of the feed may take beyond the time that the request asked to wait.
FEED_SLACK_SECONDS = 1.0
# A page holds at most 1 MB of rows, a third more in base64, and their keys.
MAX_PAGE_BYTES = 2 * 1024 * 1024
# The platform states 8 MiB for an object.
MAX_OBJECT_BYTES = 8 * 1024 * 1024
# The store answers with at most so many rows at once.
MAX_ROWS = 500

OK = 200
CONFLICT = 412
HISTORY_DROPPED = 410
NOT_FOUND = 404
# Rises by one each time that the store comes back from an earlier copy.
ERA_HEADER = b"store-era"
# Statuses by which the store states that nothing was done.
NOT_DONE = (429, 503)


@dataclass(frozen=True)
class RowKey:
    """Locate a row; all rows of a transaction share ``part``."""

    table: str
    part: str
    key: str


@dataclass(frozen=True)
class StoredRow:
    """Hold a row as it was at ``version``; a dropped row has no value."""

    key: str
    value: bytes | None
    version: StoreVersion


@dataclass(frozen=True)
class RowPage:
    """Hold rows in order, and the store's newest version when they were read."""

    rows: tuple[StoredRow, ...]
    version: StoreVersion
    is_complete: bool = True


@dataclass(frozen=True)
class HistoryDropped:
    """State that the store does not have the changes asked for, or not any more."""


class _WireRow(Message):
    key: str
    # In base64, which the decoder undoes.
    value: bytes | None = None
    ver: int = 0
    # Whether the row was dropped.
    deleted: bool = False


class _WirePage(Message):
    # The store's newest version, not that of a row.
    ver: int
    rows: tuple[_WireRow, ...] = ()
    # More rows follow those given.
    truncated: bool = False


class _WireCommit(Message):
    ver: Annotated[int, msgspec.Meta(ge=0)]


_PAGES = msgspec.json.Decoder(_WirePage)
_COMMITS = msgspec.json.Decoder(_WireCommit)


class StoreClient:
    """Make calls to the store; each returns its result or a refusal.

    A refusal of a write states by ``ran`` whether it may have been, or still be, done.
    """

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self._is_reached = True
        self._is_era_stated = True

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
        limit: int = MAX_ROWS,
    ) -> RowPage | Refusal:
        """Read rows with keys from ``first_key`` on, as of a single moment."""
        query = {"table": table, "part": part, "limit": limit}
        if first_key:
            query["from"] = first_key
        sink = await self._call("GET", f"/v1/rows-get?{urlencode(query)}")
        if isinstance(sink, Refusal):
            return sink
        return self._read_page(sink)

    async def follow_rows(
        self, table: str, after: StoreVersion, *, wait: float
    ) -> RowPage | HistoryDropped | Refusal:
        """Wait up to ``wait`` seconds for rows that changed after a version.

        A version of an earlier era has no history, whatever its number.
        """
        if after.era != self._kernel.get("eras").current:
            return HistoryDropped()
        query = {"table": table, "after": after.number, "wait-ms": round(wait * 1000)}
        sink = await self._call(
            "GET",
            f"/v1/rows-feed?{urlencode(query)}",
            timeout=wait + FEED_SLACK_SECONDS,
        )
        if isinstance(sink, Refusal):
            return sink
        if sink.status == HISTORY_DROPPED:
            return HistoryDropped()
        page = self._read_page(sink)
        if isinstance(page, RowPage) and page.version.era != after.era:
            return HistoryDropped()
        return page

    async def commit(
        self,
        *,
        expected: dict[RowKey, StoreVersion | None] | None = None,
        values: dict[RowKey, bytes] | None = None,
        removed: tuple[RowKey, ...] = (),
    ) -> StoreVersion | None | Refusal:
        """Apply changes together if rows have the expected versions, if any.

        Returns the new version, or ``None`` if a row has another version. A version of
        an earlier era is never that of a row.
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
        sink = await self._call("POST", "/v1/rows-tx", json.dumps(body).encode())
        if isinstance(sink, Refusal):
            return sink
        if sink.status == CONFLICT:
            return None
        if sink.status != OK:
            return self._refuse(f"transaction answered with {sink.status}")
        era = self._kernel.get("eras").current
        if eras - {era}:
            # The numbers expected were those of other rows.
            return self._refuse("transaction made in another era than its conditions")
        try:
            return StoreVersion(era, _COMMITS.decode(sink.body).ver)
        except UNREADABLE as error:
            return self._refuse(f"transaction not understood: {error}")

    async def read_object(self, name: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if there is none of that name."""
        path = f"/v1/blob-get/{quote(name, safe='')}"
        sink = await self._call("GET", path, limit=MAX_OBJECT_BYTES)
        if isinstance(sink, Refusal):
            return sink
        if sink.status == NOT_FOUND:
            return None
        if sink.status != OK:
            return self._refuse(f"object answered with {sink.status}")
        return sink.body

    async def write_object(self, name: str, value: bytes) -> bool | Refusal:
        """Write an object."""
        path = f"/v1/blob-put/{quote(name, safe='')}"
        sink = await self._call("PUT", path, value)
        if isinstance(sink, Refusal):
            return sink
        if sink.status != OK:
            return self._refuse(f"object answered with {sink.status}")
        return True

    # Calls

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
        limit: int = MAX_PAGE_BYTES,
    ) -> CollectedAnswer | Refusal:
        """Make a call; a refusal by the store or the network is a ``Refusal``.

        A call that changes something takes a connection of its own: answers of the
        store carry no id, so that a late second copy of another one could pass for it.
        """
        call = path.partition("?")[0].split("/")[2]
        self._kernel.get("metrics").count(f"store.{call}")
        headers = ((b"content-type", b"application/json"),) if body else ()
        deadline = time.monotonic() + timeout
        sink = CollectedAnswer(limit)
        request = OutgoingRequest(method, path.encode(), headers, body, deadline)
        refusal = await self._kernel.get("http_client").send(
            self._address, request, sink, fresh=method != "GET"
        )
        if refusal is not None:
            not_sent = refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE
            return self._refuse(refusal.detail, done=not not_sent, call=call)
        change = self._kernel.get("eras").note(self._read_era(sink), call)
        if sink.status in NOT_DONE:
            detail = f"{call} refused with {sink.status}"
            return self._refuse(detail, done=False, call=call)
        if change is EraChange.PAST:
            return self._refuse(f"{call} answered in an earlier era", call=call)
        self._note_reached(call)
        return sink

    def _read_page(self, sink: CollectedAnswer) -> RowPage | Refusal:
        if sink.status != OK:
            return self._refuse(f"rows answered with {sink.status}")
        try:
            page = _PAGES.decode(sink.body)
        except UNREADABLE as error:
            return self._refuse(f"rows not understood: {error}")
        # The answer is of this era, or it would have been refused.
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

    def _read_era(self, sink: CollectedAnswer) -> int:
        """Return the era that an answer states, or the one known if it states none."""
        known = self._kernel.get("eras").current
        stated = dict(sink.headers).get(ERA_HEADER, b"")
        if stated.isdigit():
            self._is_era_stated = True
            return int(stated)
        if known and self._is_era_stated:
            self._is_era_stated = False
            log_event(logger, Event.ERA_NOT_STATED, found=stated, known=known)
        return known

    def _note_reached(self, call: str) -> None:
        if not self._is_reached:
            self._is_reached = True
            log_event(logger, Event.STORE_REGAINED, call=call)

    def _refuse(self, detail: str, *, done: bool = True, call: str = "") -> Refusal:
        self._kernel.get("metrics").count("store.failed")
        if self._is_reached:
            self._is_reached = False
            log_event(logger, Event.STORE_LOST, call=call, reason=detail)
        ran = Ran.UNKNOWN if done else Ran.NO
        return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail, ran_override=ran)
