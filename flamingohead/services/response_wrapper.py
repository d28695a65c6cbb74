"""Base class for stages between an upstream's response and the caller's response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.services.http_response import ServerResponse


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
