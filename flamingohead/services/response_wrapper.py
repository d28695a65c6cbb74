"""Base class for stages between an upstream's response and the caller's response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.services.http_connection import ClientConnection
    from flamingohead.services.http_response import ServerResponse


def couple_flow(response: ServerResponse, connection: ClientConnection) -> None:
    """Pause reading from a connection while the caller's write buffer is full."""
    response.on_pause = connection.pause
    response.on_resume = connection.resume


def decouple_flow(response: ServerResponse) -> None:
    """Leave the connection alone, which may carry another request from now on."""
    response.on_pause = None
    response.on_resume = None


class ResponseWrapper:
    """Wrap a caller's response and forward its flow control callbacks."""

    def __init__(self, response: ServerResponse) -> None:
        self._response = response

    @property
    def started(self) -> bool:
        return self._response.started

    @property
    def on_pause(self) -> Callable[[], None] | None:
        return self._response.on_pause

    @on_pause.setter
    def on_pause(self, handler: Callable[[], None] | None) -> None:
        self._response.on_pause = handler

    @property
    def on_resume(self) -> Callable[[], None] | None:
        return self._response.on_resume

    @on_resume.setter
    def on_resume(self, handler: Callable[[], None] | None) -> None:
        self._response.on_resume = handler
