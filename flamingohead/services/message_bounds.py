"""Limit of the size of a message between daemons.

grpclib reads a message of whatever length its prefix announces, up to 4 GiB, and keeps
all of it. A broken peer could so exhaust the memory of every daemon that it talks to.
"""

from __future__ import annotations

import logging

import grpclib.protocol
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from flamingohead.events import Event, log_event

logger = logging.getLogger(__name__)

# Above the largest unpacked reply to a pull and the outcomes that are handed over.
MAX_MESSAGE_BYTES = 12 * 1024 * 1024


class BoundedStream(grpclib.protocol.Stream):
    """Refuse to read messages over ``MAX_MESSAGE_BYTES``."""

    async def recv_data(self, size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            log_event(
                logger,
                Event.PEER_MESSAGE_TOO_LARGE,
                found=size,
                expected=MAX_MESSAGE_BYTES,
            )
            detail = f"message of {size} bytes, expected at most {MAX_MESSAGE_BYTES}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        return await super().recv_data(size)


def limit_messages() -> None:
    """Bound the messages of all channels and servers of this process.

    The library has no setting for it, and creates streams by this name.
    """
    grpclib.protocol.Stream = BoundedStream
