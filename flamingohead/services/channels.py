"""Pool of gRPC channels to other daemons, with idle closing and keepalive."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.config import Configuration

from flamingohead.addresses import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CHANNELS = 32
IDLE_SECONDS = 60.0
KEEPALIVE_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 3.0


@dataclass
class PooledChannel:
    """Track the use of a channel; ``fresh`` until a call on it has succeeded."""

    address: str
    channel: Channel
    idle_since: float
    calls: int = 0
    fresh: bool = True
    retired: bool = False


def open_channel(address: str) -> Channel:
    """Return a channel with keepalive pings, which detect an unresponsive peer."""
    host, port = split_address(address)
    configuration = Configuration(
        _keepalive_time=KEEPALIVE_SECONDS,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
    )
    return Channel(host, port, config=configuration)


class ChannelPool:
    """Pool the most recently used channels; a channel in use is never closed."""

    def __init__(
        self,
        *,
        open_channel: Callable[[str], Channel] = open_channel,
        clock: Callable[[], float] = time.monotonic,
        limit: int = MAX_CHANNELS,
    ) -> None:
        self._open_channel = open_channel
        self._clock = clock
        self._limit = limit
        self._pooled: dict[str, PooledChannel] = {}
        self._open_channels: dict[int, PooledChannel] = {}

    def __len__(self) -> int:
        return len(self._pooled)

    def acquire(self, address: str, *, fresh: bool = False) -> PooledChannel:
        """Return a channel to an address for one call.

        A ``fresh`` one replaces the channel in the pool, whose calls may still end.
        """
        self.close_idle()
        pooled = self._pooled.pop(address, None)
        if fresh and pooled is not None:
            self._retire(pooled)
            if not pooled.calls:
                self._close(pooled)
            pooled = None
        if pooled is None:
            channel = self._open_channel(address)
            pooled = PooledChannel(address, channel, self._clock())
            self._open_channels[id(pooled)] = pooled
        self._pooled[address] = pooled
        pooled.calls += 1
        self._evict()
        return pooled

    def release(self, pooled: PooledChannel, *, failed: bool) -> None:
        """Record the end of a call; after a failure the next one gets a new channel."""
        pooled.calls -= 1
        pooled.idle_since = self._clock()
        if failed:
            self._retire(pooled)
        else:
            pooled.fresh = False
        if pooled.retired and not pooled.calls:
            self._close(pooled)

    def close_idle(self) -> None:
        """Close channels that have been idle for ``IDLE_SECONDS``."""
        cutoff = self._clock() - IDLE_SECONDS
        for pooled in list(self._pooled.values()):
            if not pooled.calls and pooled.idle_since <= cutoff:
                self._retire(pooled)
                self._close(pooled)

    def close(self) -> None:
        """Close every channel."""
        for pooled in list(self._open_channels.values()):
            self._close(pooled)
        self._pooled.clear()

    def _evict(self) -> None:
        for pooled in list(self._pooled.values()):
            if len(self._pooled) <= self._limit:
                return
            if not pooled.calls:
                self._retire(pooled)
                self._close(pooled)

    def _retire(self, pooled: PooledChannel) -> None:
        pooled.retired = True
        if self._pooled.get(pooled.address) is pooled:
            del self._pooled[pooled.address]

    def _close(self, pooled: PooledChannel) -> None:
        self._open_channels.pop(id(pooled), None)
        pooled.channel.close()
