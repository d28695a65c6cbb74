"""A response buffered until complete, so that a truncated one can be replaced."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from flamingohead.services.response_wrapper import ResponseWrapper

if TYPE_CHECKING:
    from flamingohead.services.http_messages import Headers
    from flamingohead.services.http_response import ServerResponse

# Larger responses are forwarded as they arrive.
MAX_BUFFERED_BYTES = 64 * 1024


class BufferedResponse(ResponseWrapper):
    """Buffer the response of one attempt in front of the caller's response.

    ``started`` is true once a part of it has been sent to the caller, so that no other
    attempt may respond. ``admitted_at`` is set when the request is admitted to a slot
    of this host, and ``held_ms``, the time for which it has occupied the slot,
    when its response begins. ``has_refused_nested_call`` is true if a nested call that
    the upstream made for this request was refused.
    """

    def __init__(self, response: ServerResponse) -> None:
        super().__init__(response)
        self._headers: Headers = []
        self._length: int | None = None
        self._body = bytearray()
        self._is_buffered = False
        self.status = 0
        self.is_complete = False
        self.admitted_at: float | None = None
        self.held_ms: float | None = None
        self.has_refused_nested_call = False

    @property
    def is_disconnected(self) -> bool:
        return self._response.is_disconnected

    def start(self, status: int, headers: Headers, *, length: int | None) -> None:
        """Start the response; one of unknown length is buffered while it is small."""
        self.status = status
        if self.admitted_at is not None:
            self.held_ms = 1000 * (time.monotonic() - self.admitted_at)
        self._headers = headers
        self._length = length
        if length is None or length <= MAX_BUFFERED_BYTES:
            self._is_buffered = True
        else:
            self._response.start(status, headers, length=length)

    def write(self, data: bytes) -> None:
        """Buffer part of the body, or forward it."""
        if not self._is_buffered:
            self._response.write(data)
            return
        self._body += data
        self._response.collected_bytes = len(self._body)
        if len(self._body) > MAX_BUFFERED_BYTES:
            self._forward()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True
        if not self._is_buffered:
            self._response.finish()

    def deliver(self) -> None:
        """Send a complete response that was buffered."""
        if self._is_buffered and self.is_complete:
            self._forward()
            self._response.finish()

    def _forward(self) -> None:
        self._is_buffered = False
        length = self._length
        if self.is_complete and length is None and self._body:
            length = len(self._body)
        body, self._body = bytes(self._body), bytearray()
        self._response.collected_bytes = 0
        self._response.start(self.status, self._headers, length=length)
        self._response.write(body)
