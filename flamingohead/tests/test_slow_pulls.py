"""Tests of pulls whose replies take long over a full link."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from flamingohead.core.dissemination import Dissemination, PullFromPeer
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.versions import Replica
from flamingohead.kernel import Kernel
from flamingohead.platform.documents import decode_document
from flamingohead.protocol import codec, peers_pb2 as pb
from flamingohead.services.configuration import MAX_PULLS, ConfigurationService
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.hosts import build_document

# Longer than a change may take to be in force, and than a pull used to be awaited.
SLOW_SECONDS = 2.5


class SlowPeers:
    """Reply after the seconds of each address, or fail at the limit of the call."""

    def __init__(self, **seconds):
        self.seconds = seconds
        self.calls = []
        snapshot = decode_document(build_document(7, {"/a/": "ledger"}))
        self.reply = pb.PullReply(version=7, snapshot=codec.encode_snapshot(snapshot))

    async def call(self, address, method, request, *, timeout, fresh=False):
        self.calls.append((address, fresh))
        await asyncio.sleep(min(timeout, self.seconds[address]))
        if self.seconds[address] > timeout:
            return Refusal(ErrorKind.HOST_UNREACHABLE, "timeout")
        return self.reply


def build_service(peers, *sources):
    kernel = Kernel()
    kernel.add("peers", peers)
    kernel.add("metrics", MetricsService())
    membership = SimpleNamespace(set_version=lambda version: None)
    kernel.add("gossip", SimpleNamespace(membership=membership))
    dissemination = Dissemination(Replica(), random=random.Random(1))
    service = ConfigurationService(kernel, dissemination)
    service.list_pull_sources = lambda: list(sources)
    return service


class TestSlowPulls:
    """Guard against pulls that are given up and begun anew, and so never end."""

    def test_reply_over_a_full_link_is_awaited(self):
        peers = SlowPeers(told=SLOW_SECONDS)

        async def run():
            service = build_service(peers)
            # A newer version is heard of again and again meanwhile.
            for _ in range(5):
                service._perform(PullFromPeer("told", 0))
                await asyncio.sleep(SLOW_SECONDS / 6)
            await asyncio.sleep(SLOW_SECONDS / 3)
            return service.replica.version

        assert asyncio.run(run()) == 7
        assert peers.calls == [("told", False)]

    def test_subscriber_is_asked_while_another_reply_is_awaited(self):
        peers = SlowPeers(told=60.0, subscriber=0.0)

        async def run():
            service = build_service(peers, "subscriber")
            service._perform(PullFromPeer("told", 0))
            service._perform(PullFromPeer("told", 0))
            await asyncio.sleep(0.05)
            version = service.replica.version
            await service.stop()
            return version

        assert asyncio.run(run()) == 7
        # Other connections may have gone silent with the first.
        assert peers.calls == [("told", False), ("subscriber", True)]

    def test_pulls_are_few_and_each_asks_another_peer(self):
        addresses = [f"p{number}" for number in range(2 * MAX_PULLS)]
        peers = SlowPeers(**dict.fromkeys(addresses, 60.0))

        async def run():
            service = build_service(peers, addresses[0])
            for address in addresses * 2:
                service._perform(PullFromPeer(address, 0))
            await asyncio.sleep(0)
            await service.stop()

        asyncio.run(run())
        assert [address for address, _ in peers.calls] == addresses[:MAX_PULLS]
