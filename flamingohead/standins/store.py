"""Stand-in for the store of the platform: rows under conditions, a feed, objects."""

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
from twisted.web.server import Site

from flamingohead.addresses import split_address

MAX_ROWS = 500


class StoreFaults(BaseModel):
    """Hold the faults in force."""

    model_config = ConfigDict(extra="forbid")

    refuse: int = Field(0, description="status of every answer, or 0")
    silent: bool = Field(False, description="no call is answered")
    lose_writes: int = Field(0, ge=0, description="writes done and not answered")
    drop_history: bool = Field(False, description="feeds are told that it is gone")
    hold_feeds: bool = Field(False, description="feeds hear of no change")


@dataclass
class _Row:
    value: str
    version: int


@dataclass
class _Contents:
    """Hold all that a copy of the store has."""

    rows: dict[tuple[str, str, str], _Row] = field(default_factory=dict)
    changes: list[tuple[int, tuple[str, str, str]]] = field(default_factory=list)
    objects: dict[str, bytes] = field(default_factory=dict)
    version: int = 0


class StoreStandin:
    """Keep rows and objects in memory; answer as the platform's store does."""

    app = Klein()

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self._held = _Contents()
        self._copy = _Contents()
        self._era = 1
        self._changed = asyncio.Event()

    def listen(self, address: str) -> None:
        """Listen on ``IP:PORT``."""
        host, port = split_address(address)
        site = Site(self.app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=host)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operators do."""
        encoded = base64.b64encode(value).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": encoded}], [])

    # Control of the stand-in

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
        """Keep a copy of all that is held."""
        self._copy = deepcopy(self._held)
        return b"{}"

    @app.route("/restore", methods=["PUT"])
    def _put_restore(self, request):
        """Come back from the last copy, in a new era."""
        self._held = deepcopy(self._copy)
        self._era += 1
        self._wake_feeds()
        return b"{}"

    # Rows

    @app.route("/v1/rows-get", methods=["GET"])
    def _get_rows(self, request):
        return self._answer(request, self._read_rows)

    @app.route("/v1/rows-feed", methods=["GET"])
    def _feed_rows(self, request):
        return Deferred.fromCoroutine(self._follow(request))

    @app.route("/v1/rows-tx", methods=["POST"])
    def _commit(self, request):
        return self._answer(request, self._commit_rows, writes=True)

    @app.route("/v1/blob-put/<name>", methods=["PUT"])
    def _put_object(self, request, name: str):
        return self._answer(request, lambda r: self._write_object(r, name), writes=True)

    @app.route("/v1/blob-get/<name>", methods=["GET"])
    def _get_object(self, request, name: str):
        return self._answer(request, lambda r: self._read_object(r, name))

    def _answer(self, request, operation, *, writes: bool = False):
        if self.faults.silent:
            return Deferred()
        self._state_era(request)
        if self.faults.refuse:
            request.setResponseCode(self.faults.refuse)
            return b"{}"
        body = operation(request)
        if writes and self.faults.lose_writes:
            self.faults.lose_writes -= 1
            request.transport.abortConnection()
        return body if isinstance(body, bytes) else json.dumps(body).encode()

    def _read_rows(self, request) -> dict:
        table, part = _get(request, "table"), _get(request, "part")
        limit = min(int(_get(request, "limit") or MAX_ROWS), MAX_ROWS)
        first, end = _get(request, "from"), _get(request, "to")
        places = sorted(
            (place for place in self._held.rows if place[:2] == (table, part)),
            key=lambda place: place[2].encode(),
        )
        found = [p for p in places if p[2] >= first and (not end or p[2] < end)]
        rows = [self._describe(place) for place in found[:limit]]
        return {**self._describe_state(), "rows": rows, "truncated": len(found) > limit}

    async def _follow(self, request) -> bytes:
        table, after = _get(request, "table"), int(_get(request, "after"))
        deadline = time.monotonic() + int(_get(request, "wait-ms") or 0) / 1000
        while True:
            self._state_era(request)
            if self.faults.drop_history or after > self._held.version:
                request.setResponseCode(410)
                return b"{}"
            if self.faults.refuse:
                request.setResponseCode(self.faults.refuse)
                return b"{}"
            rows = self._list_changes(table, after)
            if self.faults.hold_feeds:
                rows = []
            remaining = deadline - time.monotonic()
            if (rows or remaining <= 0) and not self.faults.silent:
                return json.dumps({**self._describe_state(), "rows": rows}).encode()
            await Deferred.fromFuture(asyncio.ensure_future(self._wait_for_change()))

    async def _wait_for_change(self) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), 0.05)
        except TimeoutError:
            pass

    def _list_changes(self, table: str, after: int) -> list[dict]:
        places = [p for version, p in self._held.changes if version > after]
        newest = dict.fromkeys(p for p in places if p[0] == table)
        return [self._describe(place) for place in newest]

    def _commit_rows(self, request) -> dict:
        body = json.loads(request.content.read())
        expected = body.get("precondition", [])
        for row in expected:
            held = self._held.rows.get(_locate(row))
            if (held.version if held else 0) != row["ver"]:
                request.setResponseCode(412)
                rows = [self._describe(_locate(r)) for r in expected]
                return {**self._describe_state(), "rows": rows}
        self._apply(body.get("set-keys", []), body.get("delete-keys", []))
        return self._describe_state()

    def _apply(self, values: list[dict], removed: list[dict]) -> None:
        self._held.version += 1
        for row in values:
            self._held.rows[_locate(row)] = _Row(row["value"], self._held.version)
        for row in removed:
            self._held.rows.pop(_locate(row), None)
        self._held.changes += [
            (self._held.version, _locate(row)) for row in [*values, *removed]
        ]
        self._wake_feeds()

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _state_era(self, request) -> None:
        request.setHeader("Store-Era", str(self._era))

    def _describe(self, place: tuple[str, str, str]) -> dict:
        table, part, key = place
        row = self._held.rows.get(place)
        described = {"table": table, "part": part, "key": key}
        if row is None:
            return {**described, "deleted": True, "ver": self._held.version}
        return {**described, "value": row.value, "ver": row.version}

    def _describe_state(self) -> dict:
        return {"ver": self._held.version, "now": f"{round(1000 * time.monotonic())}ms"}

    # Objects

    def _write_object(self, request, name: str) -> dict:
        if request.getHeader("if-none-match") == "*" and name in self._held.objects:
            request.setResponseCode(412)
            return {}
        self._held.objects[name] = request.content.read()
        return {}

    def _read_object(self, request, name: str) -> bytes:
        if name not in self._held.objects:
            request.setResponseCode(404)
            return b""
        return self._held.objects[name]


def _get(request, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _locate(row: dict) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]
