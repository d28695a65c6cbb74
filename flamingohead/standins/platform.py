"""Stand-ins for the table service and the object store (klein)."""

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

from flamingohead.settings import split_address
from flamingohead.standins.faults import FaultInjector, FaultSettings

MAX_SCAN_LIMIT = 1000


@dataclass
class _StoredRow:
    value: bytes
    tag: str


def _spawn(coroutine) -> Deferred:
    return Deferred.fromFuture(asyncio.get_running_loop().create_task(coroutine))


class _PlatformStandin:
    def __init__(self) -> None:
        self.faults = FaultInjector()

    def listen(self, address: str) -> None:
        host, port = split_address(address)
        site = Site(self.app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=host)

    def _put_faults(self, request):
        try:
            settings = FaultSettings.model_validate_json(request.content.read())
        except ValidationError as error:
            request.setResponseCode(400)
            return str(error).encode()
        self.faults.settings = settings
        return b"{}"

    def _get_usage(self, request):
        return json.dumps(self.faults.describe()).encode()

    async def _guard(self, request, operation, *, write: bool) -> bytes:
        if not await self.faults.admit(write=write):
            request.setResponseCode(503)
            return b"unavailable"
        body = operation()
        if write and self.faults.take_lost_answer():
            request.transport.abortConnection()
        if not write and body and self.faults.take_corrupt_read():
            body = bytes([body[0] ^ 0xFF]) + body[1:]
        return body


class TableStandin(_PlatformStandin):
    """Keep rows in memory; insert and update them under conditions."""

    app = Klein()

    def __init__(self) -> None:
        super().__init__()
        self._rows: dict[str, _StoredRow] = {}
        self._keys: list[str] = []
        self._tags = 0

    @app.route("/faults", methods=["PUT"])
    def _faults(self, request):
        return self._put_faults(request)

    @app.route("/usage", methods=["GET"])
    def _usage(self, request):
        return self._get_usage(request)

    @app.route("/rows/<path:key>", methods=["GET"])
    def _get(self, request, key: str):
        return _spawn(
            self._guard(request, lambda: self._read(request, key), write=False)
        )

    @app.route("/rows/<path:key>", methods=["PUT"])
    def _put(self, request, key: str):
        value = request.content.read()
        return _spawn(
            self._guard(request, lambda: self._write(request, key, value), write=True)
        )

    @app.route("/rows/<path:key>", methods=["DELETE"])
    def _delete(self, request, key: str):
        return _spawn(
            self._guard(request, lambda: self._remove(request, key), write=True)
        )

    @app.route("/rows", methods=["GET"])
    def _scan(self, request):
        return _spawn(self._guard(request, lambda: self._list(request), write=False))

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
        self._tags += 1
        if row is None:
            bisect.insort(self._keys, key)
        self._rows[key] = _StoredRow(value, f'"{self._tags}"')
        request.setHeader("ETag", self._rows[key].tag)
        request.setResponseCode(201 if row is None else 200)
        return b""

    def _remove(self, request, key: str) -> bytes:
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

    def _list(self, request) -> bytes:
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        after = request.args.get(b"after", [b""])[0].decode()
        limit = min(int(request.args.get(b"limit", [b"100"])[0]), MAX_SCAN_LIMIT)
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
    """Keep objects in memory."""

    app = Klein()

    def __init__(self) -> None:
        super().__init__()
        self._objects: dict[str, bytes] = {}

    @app.route("/faults", methods=["PUT"])
    def _faults(self, request):
        return self._put_faults(request)

    @app.route("/usage", methods=["GET"])
    def _usage(self, request):
        return self._get_usage(request)

    @app.route("/objects/<path:key>", methods=["GET"])
    def _get(self, request, key: str):
        return _spawn(
            self._guard(request, lambda: self._read(request, key), write=False)
        )

    @app.route("/objects/<path:key>", methods=["PUT"])
    def _put(self, request, key: str):
        value = request.content.read()
        return _spawn(self._guard(request, lambda: self._write(key, value), write=True))

    @app.route("/objects/<path:key>", methods=["DELETE"])
    def _delete(self, request, key: str):
        return _spawn(
            self._guard(request, lambda: self._remove(request, key), write=True)
        )

    def _read(self, request, key: str) -> bytes:
        if key not in self._objects:
            request.setResponseCode(404)
            return b""
        return self._objects[key]

    def _write(self, key: str, value: bytes) -> bytes:
        self._objects[key] = value
        return b""

    def _remove(self, request, key: str) -> bytes:
        if self._objects.pop(key, None) is None:
            request.setResponseCode(404)
        return b""
