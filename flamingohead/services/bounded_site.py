"""A twisted.web site with a body size limit and request bodies kept in memory."""

from __future__ import annotations

from io import BytesIO

from twisted.web.server import Request, Site

TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
IDLE_TIMEOUT_SECONDS = 30


class BoundedRequest(Request):
    """Reject a body over the site's limit before it is completely received."""

    _too_large = False
    _received = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        self.content = BytesIO()
        if length is not None and length > self._get_limit():
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        if self._too_large:
            return
        self._received += len(data)
        if self._received > self._get_limit():
            self._refuse()
        else:
            super().handleContentChunk(data)

    def requestReceived(self, command, path, version) -> None:  # noqa: N802
        if not self._too_large:
            super().requestReceived(command, path, version)

    def _get_limit(self) -> int:
        return self.channel.site.max_body_bytes

    def _refuse(self) -> None:
        if self._too_large:
            return
        self._too_large = True
        self.channel.transport.write(TOO_LARGE)
        self.channel.loseConnection()


class BoundedSite(Site):
    """Serve a resource with a limit on the size of request bodies."""

    noisy = False
    displayTracebacks = False

    def __init__(self, resource, *, max_body_bytes: int) -> None:
        super().__init__(
            resource, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_SECONDS
        )
        self.max_body_bytes = max_body_bytes
