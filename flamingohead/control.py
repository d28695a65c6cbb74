"""Client of the operators' endpoint, for the command line and for embedders."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import treq


@dataclass(frozen=True)
class ControlResponse:
    """Represent the status and the decoded body of a response."""

    status: int
    body: dict

    @property
    def is_ok(self) -> bool:
        return self.status < 300


class ControlClient:
    """Send requests to the operators' endpoint of one daemon.

    Methods raise ``OSError`` or ``TimeoutError`` if the daemon is unreachable.
    """

    def __init__(self, address: str, token: str) -> None:
        self._base = f"http://{address}/v1"
        self._headers = {"Authorization": f"Bearer {token}"}

    async def get(self, path: str, *, timeout: float = 10.0) -> ControlResponse:
        """Send a GET request to the operators' endpoint."""
        return await self._request("GET", path, None, timeout)

    async def post(
        self, path: str, body: dict, *, timeout: float = 10.0
    ) -> ControlResponse:
        """Send a POST request to the operators' endpoint."""
        return await self._request("POST", path, json.dumps(body).encode(), timeout)

    async def put(
        self, path: str, body: dict, *, timeout: float = 10.0
    ) -> ControlResponse:
        """Send a PUT request to the operators' endpoint."""
        return await self._request("PUT", path, json.dumps(body).encode(), timeout)

    async def _request(self, method, path, body, timeout) -> ControlResponse:
        return await asyncio.wait_for(self._exchange(method, path, body), timeout)

    async def _exchange(self, method, path, body) -> ControlResponse:
        loop = asyncio.get_running_loop()
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = await treq.request(
                method, self._base + path, data=body, headers=headers, persistent=False
            ).asFuture(loop)
            content = await response.content().asFuture(loop)
        except Exception as error:
            raise OSError(f"{self._base}: {type(error).__name__}: {error}") from error
        try:
            decoded = json.loads(content)
        except ValueError:
            decoded = {"error": "internal", "detail": content[:200].decode("latin-1")}
        return ControlResponse(response.code, decoded)
