"""Limits on the bytes that a faulty peer may send in one message.

A deadline alone is not enough: within seconds a fast peer can exhaust the memory of
the daemon, or occupy its CPU with bytes that belong to no body.
"""

from __future__ import annotations

# Chunk extensions and trailers of one message; the same limit as for a response head.
MAX_FRAMING_BYTES = 64 * 1024
# A one-byte chunk has five bytes of framing.
MAX_FRAMING_RATIO = 8
# Body of a response that is discarded, such as that of a refusal.
MAX_DISCARDED_BYTES = 64 * 1024


class TooManyBytes(ValueError):
    """Report a body over its limit; the message states the limit."""


class ByteBound:
    """Count the bytes of a body and enforce a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0

    def add(self, size: int) -> None:
        """Count bytes; raise ``TooManyBytes`` above the limit."""
        self._count += size
        if self._count > self._limit:
            raise TooManyBytes(f"body over {self._limit} bytes")


class FramingMeter:
    """Count the framing bytes after the head of a message."""

    def __init__(self) -> None:
        self._framing_bytes = 0
        self._body_bytes = 0

    def add(self, received: int, body: int) -> None:
        """Count received bytes, of which ``body`` belong to the body."""
        self._framing_bytes += received - body
        self._body_bytes += body

    @property
    def is_exceeded(self) -> bool:
        """Return whether the framing is disproportionate to the body."""
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes
        return self._framing_bytes > allowed
