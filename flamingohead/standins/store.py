"""Stand-in for the platform's store: conditional row writes, change feed, objects."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from copy import deepcopy
from dataclasses import dataclass, field

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.server import Site

from flamingohead.addresses import split_address

MAX_ROWS = 500


class StoreFaults(BaseModel):
    """Configure the active faults."""

    model_config = ConfigDict(extra="forbid")

    refuse: int = Field(0, description="status of every response, or 0")
    silent: bool = Field(
        False, description="responses are lost, and their connections stay open"
    )
    lose_writes: int = Field(
        0, ge=0, description="number of writes applied without a response"
    )
    drop_history: bool = Field(
        False, description="feeds get 410, as if the history were unavailable"
    )
    hold_feeds: bool = Field(False, description="feeds report no changes")
    delay_ms: int = Field(0, ge=0, description="delay of every response")


@dataclass
class _Row:
    value: str
    version: int


@dataclass
class _Contents:
    """Group everything that a backup of the store contains."""

    rows: dict[tuple[str, str, str], _Row] = field(default_factory=dict)
    changes: list[tuple[int, tuple[str, str, str]]] = field(default_factory=list)
    objects: dict[str, bytes] = field(default_factory=dict)
    version: int = 0


class StoreStandin:
    """Store rows and objects in memory, with the interface of the platform's store."""

    app = Klein()

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self._contents = _Contents()
        self._backup = _Contents()
        self._era = 1
        self._changed = asyncio.Event()

    def listen(self, address: str) -> None:
        """Listen on ``IP:PORT``."""
        host, port = split_address(address)
        site = Site(self.app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=host)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as an operator does."""
        encoded = base64.b64encode(value).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": encoded}], [])

    # Control interface of the stand-in

    @app.route("/faults", methods=["PUT"])
    def _put_faults(self, request):
        try:
            self.faults = StoreFaults.model_validate_json(request.content.read())
        except ValidationError as error:
            request.setResponseCode(400)
            return str(error).encode()
        return b"{}"

    @app.route("/operator/<table>/<key>", methods=["PUT"])
    def _put_operator(self, request, table: str, key: str):
        self.put(table, key, request.content.read())
        return b"{}"

    @app.route("/copy", methods=["PUT"])
    def _put_copy(self, request):
        """Back up the current contents."""
        self._backup = deepcopy(self._contents)
        return b"{}"

    @app.route("/restore", methods=["PUT"])
    def _put_restore(self, request):
        """Restore the last backup and start a new era."""
        self._contents = deepcopy(self._backup)
        self._era += 1
        self._notify_feeds()
        return b"{}"

    # Rows

    @app.route("/v1/rows-get", methods=["GET"])
    def _get_rows(self, request):
        return self._respond(request, self._read_rows)

    @app.route("/v1/rows-feed", methods=["GET"])
    def _feed_rows(self, request):
        return Deferred.fromCoroutine(self._wait_for_rows(request))

    @app.route("/v1/rows-tx", methods=["POST"])
    def _commit(self, request):
        return self._respond(request, self._commit_rows, writes=True)

    @app.route("/v1/blob-put/<name>", methods=["PUT"])
    def _put_object(self, request, name: str):
        return self._respond(
            request, lambda r: self._write_object(r, name), writes=True
        )

    @app.route("/v1/blob-get/<name>", methods=["GET"])
    def _get_object(self, request, name: str):
        return self._respond(request, lambda r: self._read_object(r, name))

    def _respond(self, request, operation, *, writes: bool = False):
        return Deferred.fromCoroutine(self._operate(request, operation, writes))

    async def _operate(self, request, operation, writes: bool) -> bytes:
        if self.faults.silent:
            await Deferred()
        await self._delay()
        self._set_era_header(request)
        if self.faults.refuse:
            request.setResponseCode(self.faults.refuse)
            return b"{}"
        body = operation(request)
        if writes and self.faults.lose_writes:
            self.faults.lose_writes -= 1
            request.transport.abortConnection()
        return body if isinstance(body, bytes) else json.dumps(body).encode()

    async def _delay(self) -> None:
        if self.faults.delay_ms:
            await deferLater(reactor, self.faults.delay_ms / 1000)

    def _read_rows(self, request) -> dict:
        table, part = _get(request, "table"), _get(request, "part")
        limit = min(int(_get(request, "limit") or MAX_ROWS), MAX_ROWS)
        first, end = _get(request, "from"), _get(request, "to")
        row_ids = sorted(
            (row_id for row_id in self._contents.rows if row_id[:2] == (table, part)),
            key=lambda row_id: row_id[2].encode(),
        )
        matching = [r for r in row_ids if r[2] >= first and (not end or r[2] < end)]
        rows = [self._describe_row(row_id) for row_id in matching[:limit]]
        return {
            **self._describe_state(),
            "rows": rows,
            "truncated": len(matching) > limit,
        }

    async def _wait_for_rows(self, request) -> bytes:
        if self.faults.silent:
            await Deferred()
        table, after = _get(request, "table"), int(_get(request, "after"))
        deadline = time.monotonic() + int(_get(request, "wait-ms") or 0) / 1000
        while True:
            self._set_era_header(request)
            if self.faults.drop_history or after > self._contents.version:
                request.setResponseCode(410)
                return b"{}"
            if self.faults.refuse:
                request.setResponseCode(self.faults.refuse)
                return b"{}"
            rows = self._list_changes(table, after)
            if self.faults.hold_feeds:
                rows = []
            if rows or deadline <= time.monotonic():
                if self.faults.silent:
                    await Deferred()
                body = json.dumps({**self._describe_state(), "rows": rows}).encode()
                await self._delay()
                return body
            await Deferred.fromFuture(asyncio.ensure_future(self._wait_for_change()))

    async def _wait_for_change(self) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), 0.05)
        except TimeoutError:
            pass

    def _list_changes(self, table: str, after: int) -> list[dict]:
        row_ids = [
            row_id for version, row_id in self._contents.changes if version > after
        ]
        changed_ids = dict.fromkeys(r for r in row_ids if r[0] == table)
        return [self._describe_row(row_id) for row_id in changed_ids]

    def _commit_rows(self, request) -> dict:
        body = json.loads(request.content.read())
        expected = body.get("precondition", [])
        for row in expected:
            current = self._contents.rows.get(_get_row_id(row))
            if (current.version if current else 0) != row["ver"]:
                request.setResponseCode(412)
                rows = [self._describe_row(_get_row_id(r)) for r in expected]
                return {**self._describe_state(), "rows": rows}
        self._apply(body.get("set-keys", []), body.get("delete-keys", []))
        return self._describe_state()

    def _apply(self, values: list[dict], removed: list[dict]) -> None:
        self._contents.version += 1
        for row in values:
            self._contents.rows[_get_row_id(row)] = _Row(
                row["value"], self._contents.version
            )
        for row in removed:
            self._contents.rows.pop(_get_row_id(row), None)
        self._contents.changes += [
            (self._contents.version, _get_row_id(row)) for row in [*values, *removed]
        ]
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_era_header(self, request) -> None:
        request.setHeader("Store-Era", str(self._era))

    def _describe_row(self, row_id: tuple[str, str, str]) -> dict:
        table, part, key = row_id
        row = self._contents.rows.get(row_id)
        description = {"table": table, "part": part, "key": key}
        if row is None:
            return {**description, "deleted": True, "ver": self._contents.version}
        return {**description, "value": row.value, "ver": row.version}

    def _describe_state(self) -> dict:
        return {
            "ver": self._contents.version,
            "now": f"{round(1000 * time.monotonic())}ms",
        }

    # Objects

    def _write_object(self, request, name: str) -> dict:
        if request.getHeader("if-none-match") == "*" and name in self._contents.objects:
            request.setResponseCode(412)
            return {}
        self._contents.objects[name] = request.content.read()
        return {}

    def _read_object(self, request, name: str) -> bytes:
        if name not in self._contents.objects:
            request.setResponseCode(404)
            return b""
        return self._contents.objects[name]


def _get(request, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _get_row_id(row: dict) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]
