"""HTTP clients of the platform: the table service and the object store."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from urllib.parse import quote

import treq
from pydantic import Base64Bytes, BaseModel, ValidationError
from treq.client import HTTPClient
from twisted.internet import reactor
from twisted.internet.abstract import isIPAddress
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.rows import Row
from flamingohead.events import Event, log_event

logger = logging.getLogger(__name__)

REQUEST_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class _Response:
    status: int
    tag: str
    body: bytes


class _PageRow(BaseModel):
    key: str
    value: Base64Bytes
    tag: str


class _Page(BaseModel):
    rows: list[_PageRow]


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connect to IP addresses without the resolver, which would need a thread."""

    def endpointForURI(self, uri: URI):  # noqa: N802
        host = uri.host.decode("ascii")
        endpoint_type = TCP4ClientEndpoint if isIPAddress(host) else HostnameEndpoint
        return endpoint_type(reactor, host, uri.port, timeout=CONNECT_TIMEOUT_SECONDS)


def _build_client(pool: HTTPConnectionPool) -> HTTPClient:
    return HTTPClient(Agent.usingEndpointFactory(reactor, _EndpointFactory(), pool))


class _PlatformClient:
    """Send requests; one that changes data uses a new connection.

    Responses have no id, so that a delayed duplicate of an earlier response could be
    taken for that of a write.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool: HTTPConnectionPool | None = None
        self._read_client: HTTPClient | None = None
        self._write_client: HTTPClient | None = None

    async def start(self) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._read_client = _build_client(self._pool)
        self._write_client = _build_client(
            HTTPConnectionPool(reactor, persistent=False)
        )

    async def stop(self) -> None:
        if self._pool is not None:
            await self._pool.closeCachedConnections().asFuture(
                asyncio.get_running_loop()
            )

    async def _request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> _Response | Refusal:
        loop = asyncio.get_running_loop()
        url = self._base_url + path
        client = self._read_client if method == "GET" else self._write_client
        try:
            deferred = client.request(method, url, data=body, headers=headers)
            return await asyncio.wait_for(
                self._read(deferred, loop), REQUEST_TIMEOUT_SECONDS
            )
        except Exception as error:
            # The other pooled connections may be dead as well.
            self._pool.closeCachedConnections()
            log_event(
                logger,
                Event.PLATFORM_FAILED,
                method=method,
                path=path,
                error=type(error).__name__,
            )
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE, f"{method} {path}: {error!r}"
            )

    async def _read(self, deferred, loop) -> _Response | Refusal:
        response = await deferred.asFuture(loop)
        body = await self._read_body(response, loop)
        if response.code >= 500 or response.code == 429:
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE, f"platform answered {response.code}"
            )
        tags = response.headers.getRawHeaders("etag") or [""]
        return _Response(response.code, tags[0], body)

    async def _read_body(self, response, loop) -> bytes:
        body = bytearray()

        def collect(data: bytes) -> None:
            body.extend(data)
            if len(body) > MAX_ANSWER_BYTES:
                raise ValueError(f"answer over {MAX_ANSWER_BYTES} bytes")

        await treq.collect(response, collect).asFuture(loop)
        return bytes(body)


class TableClient(_PlatformClient):
    """Read and write rows of the table service.

    Every method returns a ``Refusal`` of kind ``PLATFORM_UNAVAILABLE`` if the outcome
    is unknown.
    """

    async def read(self, key: str) -> Row | None | Refusal:
        """Return a row, or ``None`` if it does not exist."""
        response = await self._request("GET", _get_row_path(key))
        if isinstance(response, Refusal):
            return response
        if response.status == 404:
            return None
        if response.status != 200:
            return _refuse_status("read", response)
        return Row(key, response.body, response.tag)

    async def insert(self, key: str, value: bytes) -> bool | Refusal:
        """Insert a row; return ``False`` if it already exists."""
        headers = {"If-None-Match": "*"}
        response = await self._request(
            "PUT", _get_row_path(key), body=value, headers=headers
        )
        if isinstance(response, Refusal):
            return response
        if response.status not in (200, 201, 412):
            return _refuse_status("insert", response)
        return response.status != 412

    async def update(self, key: str, value: bytes, tag: str) -> bool | Refusal:
        """Replace a row if its tag is ``tag``; return whether it was replaced."""
        headers = {"If-Match": tag}
        response = await self._request(
            "PUT", _get_row_path(key), body=value, headers=headers
        )
        if isinstance(response, Refusal):
            return response
        return response.status == 200

    async def delete(self, key: str, *, tag: str | None = None) -> bool | Refusal:
        """Delete a row and return whether it succeeded.

        With ``tag``, the row is deleted only if its tag matches.
        """
        headers = None if tag is None else {"If-Match": tag}
        response = await self._request("DELETE", _get_row_path(key), headers=headers)
        if isinstance(response, Refusal):
            return response
        return response.status in (200, 204)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[Row] | Refusal:
        """Return up to ``limit`` rows whose keys have a prefix and follow ``after``."""
        path = f"/rows?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        response = await self._request("GET", path)
        if isinstance(response, Refusal):
            return response
        try:
            page = _Page.model_validate_json(response.body)
        except ValidationError:
            detail = f"scan of {prefix!r} gave an answer that can't be read"
            return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        return [Row(row.key, row.value, row.tag) for row in page.rows]


class ObjectClient(_PlatformClient):
    """Read and write immutable objects of the object store."""

    async def read(self, key: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if it does not exist."""
        response = await self._request("GET", f"/objects/{quote(key, safe='')}")
        if isinstance(response, Refusal):
            return response
        if response.status == 404:
            return None
        if response.status != 200:
            return _refuse_status("read", response)
        return response.body

    async def write(self, key: str, value: bytes) -> bool | Refusal:
        """Write an object."""
        path = f"/objects/{quote(key, safe='')}"
        response = await self._request("PUT", path, body=value)
        if isinstance(response, Refusal):
            return response
        if response.status not in (200, 201):
            return _refuse_status("write", response)
        return True


def _refuse_status(action: str, response: _Response) -> Refusal:
    detail = f"{action} answered with status {response.status}"
    return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail)


def _get_row_path(key: str) -> str:
    return f"/rows/{quote(key, safe='')}"
