"""A daemon on the platform's protocol whose network can be cut while it runs.

The file at ``FLAMINGOHEAD_LINKS`` contains the names of the links that are down:
``store`` (the store rejects every request), or ``all`` (no message passes, in either
direction, except to the daemon's own upstream).
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.platform.boot import SETTINGS_VARIABLE, read_settings
from flamingohead.platform.start import run
from flamingohead.services.gossip import GossipService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.peers import PeersService

LINKS_VARIABLE = "FLAMINGOHEAD_LINKS"


class _Links:
    """Read which links are down, and know the addresses of two of them."""

    def __init__(self) -> None:
        self._path = Path(os.environ[LINKS_VARIABLE])
        settings = read_settings(os.environ[SETTINGS_VARIABLE])
        self.store_address = settings.store_address
        self.upstream_address = settings.upstream_address

    def is_down(self, name: str) -> bool:
        """Return whether a link is down."""
        return name in self._path.read_text().split()


def _isolate(links: _Links) -> None:
    """Replace the functions that exchange messages with other processes."""
    send, call = HttpClientService.send, PeersService.call
    send_datagram, receive = GossipService._send, GossipService.datagramReceived

    async def send_request(self, address, request, *arguments, **options):
        if address == links.upstream_address:
            return await send(self, address, request, *arguments, **options)
        if address == links.store_address and links.is_down("store"):
            return Refusal(ErrorKind.UPSTREAM_UNREACHABLE, "rejected by the test")
        was_down = links.is_down("all")
        if not was_down:
            refusal = await send(self, address, request, *arguments, **options)
        if was_down or links.is_down("all"):
            # No response arrives on a link that was cut, and no error either.
            ends_at = min(request.deadline, request.start_deadline)
            await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
            return Refusal(ErrorKind.UPSTREAM_TIMEOUT, "cut by the test")
        return refusal

    async def call_peer(self, *arguments, **options):
        if links.is_down("all"):
            return Refusal(ErrorKind.HOST_UNREACHABLE, "cut by the test")
        return await call(self, *arguments, **options)

    def send_unless_cut(self, effect):
        if not links.is_down("all"):
            send_datagram(self, effect)

    def receive_unless_cut(self, data, address):
        if not links.is_down("all"):
            receive(self, data, address)

    HttpClientService.send = send_request
    PeersService.call = call_peer
    GossipService._send = send_unless_cut
    GossipService.datagramReceived = receive_unless_cut


if __name__ == "__main__":
    _isolate(_Links())
    sys.exit(run())
