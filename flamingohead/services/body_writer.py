"""Writing of large request bodies at the pace of their receivers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from flamingohead.core.transfers.pacing import PART_SECONDS, PacedBody

if TYPE_CHECKING:
    from flamingohead.core.transfers.pacing import Pacer


class BodyWriter:
    """Write a body to a transport in parts; ``bytes_per_second`` was granted."""

    def __init__(
        self, pacer: Pacer, transport, body: bytes, bytes_per_second: float
    ) -> None:
        self._pacer = pacer
        self._transport = transport
        self._paced = PacedBody(body, bytes_per_second)
        self._handle: asyncio.TimerHandle | None = None
        self._written_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has been passed to the transport."""
        return self._paced.is_complete

    def start(self) -> None:
        """Write the first part, and schedule the others."""
        self._pacer.bodies.append(self._paced)
        self._written_at = time.monotonic() - PART_SECONDS
        self._write_part()

    def stop(self) -> None:
        """Write nothing more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        if self._paced in self._pacer.bodies:
            self._pacer.bodies.remove(self._paced)

    def _write_part(self) -> None:
        now = time.monotonic()
        # What waits in the transport would only become more.
        if not self._transport.get_unsent_bytes():
            size = self._pacer.compute_part_bytes(self._paced, now - self._written_at)
            self._transport.write(self._paced.take_part(size))
            self._written_at = now
        if self.is_complete:
            self.stop()
            return
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(PART_SECONDS, self._write_part)
