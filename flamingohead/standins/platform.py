"""Stand-ins for the table service and the object store, served with klein."""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
from dataclasses import dataclass

from klein import Klein
from pydantic import ValidationError
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from flamingohead.addresses import split_address
from flamingohead.standins.faults import FaultInjector, FaultSettings

MAX_SCAN_ROWS = 1000


@dataclass
class _StoredRow:
    value: bytes
    tag: str


class _PlatformStandin:
    """Serve the values of one collection by key, with faults and usage counters."""

    app = Klein()
    collection = ""

    def __init__(self) -> None:
        self.faults = FaultInjector()

    def listen(self, address: str) -> None:
        """Listen on ``IP:PORT``."""
        host, port = split_address(address)
        site = Site(self.app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=host)

    @app.route("/faults", methods=["PUT"])
    def _put_faults(self, request):
        try:
            settings = FaultSettings.model_validate_json(request.content.read())
        except ValidationError as error:
            request.setResponseCode(400)
            return str(error).encode()
        self.faults.settings = settings
        return b"{}"

    @app.route("/usage", methods=["GET"])
    def _get_usage(self, request):
        return json.dumps(self.faults.describe()).encode()

    @app.route("/<collection>/<path:key>", methods=["GET", "PUT", "DELETE"])
    def _handle(self, request, collection: str, key: str):
        if collection != self.collection:
            request.setResponseCode(404)
            return b"not found"
        if request.method == b"GET":
            return self._schedule(
                request, lambda: self._read(request, key), write=False
            )
        if request.method == b"DELETE":
            return self._schedule(
                request, lambda: self._delete(request, key), write=True
            )
        value = request.content.read()
        return self._schedule(
            request, lambda: self._write(request, key, value), write=True
        )

    @app.route("/<collection>", methods=["GET"])
    def _handle_scan(self, request, collection: str):
        if collection != self.collection:
            request.setResponseCode(404)
            return b"not found"
        return self._schedule(request, lambda: self._scan(request), write=False)

    def _scan(self, request) -> bytes:
        request.setResponseCode(404)
        return b"this collection can't be listed"

    def _schedule(self, request, operation, *, write: bool) -> Deferred:
        coroutine = self._run_with_faults(request, operation, write=write)
        return Deferred.fromFuture(asyncio.get_running_loop().create_task(coroutine))

    async def _run_with_faults(self, request, operation, *, write: bool) -> bytes:
        if not await self.faults.admit(write=write):
            request.setResponseCode(503)
            return b"unavailable"
        body = operation()
        if write and self.faults.consume_lost_response():
            request.transport.abortConnection()
        if not write and body and self.faults.consume_corrupt_read():
            body = bytes([body[0] ^ 0xFF]) + body[1:]
        return body


class TableStandin(_PlatformStandin):
    """Store rows in memory, with conditional inserts, updates and deletions."""

    collection = "rows"

    def __init__(self) -> None:
        super().__init__()
        self._rows: dict[str, _StoredRow] = {}
        self._keys: list[str] = []
        self._last_tag = 0

    def _read(self, request, key: str) -> bytes:
        row = self._rows.get(key)
        if row is None:
            request.setResponseCode(404)
            return b""
        request.setHeader("ETag", row.tag)
        return row.value

    def _write(self, request, key: str, value: bytes) -> bytes:
        row = self._rows.get(key)
        if request.getHeader("if-none-match") == "*" and row is not None:
            request.setResponseCode(412)
            return b""
        expected = request.getHeader("if-match")
        if expected is not None and (row is None or row.tag != expected):
            request.setResponseCode(412)
            return b""
        self._last_tag += 1
        if row is None:
            bisect.insort(self._keys, key)
        self._rows[key] = _StoredRow(value, f'"{self._last_tag}"')
        request.setHeader("ETag", self._rows[key].tag)
        request.setResponseCode(201 if row is None else 200)
        return b""

    def _delete(self, request, key: str) -> bytes:
        row = self._rows.get(key)
        expected = request.getHeader("if-match")
        if row is None:
            request.setResponseCode(404)
        elif expected is not None and row.tag != expected:
            request.setResponseCode(412)
        else:
            del self._rows[key]
            self._keys.remove(key)
            request.setResponseCode(204)
        return b""

    def _scan(self, request) -> bytes:
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        after = request.args.get(b"after", [b""])[0].decode()
        limit = min(int(request.args.get(b"limit", [b"100"])[0]), MAX_SCAN_ROWS)
        if after >= prefix:
            start = bisect.bisect_right(self._keys, after)
        else:
            start = bisect.bisect_left(self._keys, prefix)
        rows = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            row = self._rows[key]
            value = base64.b64encode(row.value).decode()
            rows.append({"key": key, "value": value, "tag": row.tag})
        return json.dumps({"rows": rows}).encode()


class ObjectStandin(_PlatformStandin):
    """Store objects in memory."""

    collection = "objects"

    def __init__(self) -> None:
        super().__init__()
        self._objects: dict[str, bytes] = {}

    def _read(self, request, key: str) -> bytes:
        if key not in self._objects:
            request.setResponseCode(404)
            return b""
        return self._objects[key]

    def _write(self, request, key: str, value: bytes) -> bytes:
        self._objects[key] = value
        return b""

    def _delete(self, request, key: str) -> bytes:
        if self._objects.pop(key, None) is None:
            request.setResponseCode(404)
        return b""
