"""Tests of silent connections between daemons and of the bounds of their pool."""

from __future__ import annotations

import asyncio

from grpclib.server import Server

from flamingohead.core.errors import Refusal
from flamingohead.kernel import Kernel
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.peers_grpc import PeersBase
from flamingohead.services.channels import IDLE_SECONDS, ChannelPool
from flamingohead.services.metrics import MetricsService
from flamingohead.services.peers import PeersService
from flamingohead.testing.connections import StallingProxy
from flamingohead.testing.processes import choose_address

CALL_TIMEOUT = 0.5


async def reply_with_status(self, stream):
    await stream.recv_message()
    await stream.send_message(pb.StatusReply(host_id="b", version=3))


def build_peer():
    """Return a peer that replies to every method with its status."""
    methods = dict.fromkeys(PeersBase.__abstractmethods__, reply_with_status)
    return type("Peer", (PeersBase,), methods)()


class FakeChannel:
    """Record whether the channel was closed."""

    def __init__(self, address):
        self.address = address
        self.closed = False

    def close(self):
        self.closed = True


class TestSilentConnection:
    def test_call_is_repeated_over_a_new_connection(self):
        asyncio.run(self.check_silent_connection())

    async def check_silent_connection(self):
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        peers = PeersService(kernel, choose_address())
        target, proxy_address = choose_address(), choose_address()
        server = Server([build_peer()])
        await server.start(*target.split(":"))
        proxy = StallingProxy(target)
        host, port = proxy_address.split(":")
        listener = await asyncio.start_server(proxy.accept, host, port)

        async def fetch_status():
            return await peers.call(
                proxy_address, "FetchStatus", pb.StatusRequest(), timeout=CALL_TIMEOUT
            )

        assert (await fetch_status()).version == 3
        proxy.stall_connections()
        assert (await fetch_status()).version == 3
        assert kernel.get("metrics").counters["peer.reconnected"] == 1
        proxy.stall_connections()
        listener.close()
        assert isinstance(await fetch_status(), Refusal)
        peers._channels.close()
        for writer in proxy.connections:
            writer.close()
        server.close()
        await server.wait_closed()


class TestChannelPool:
    def build(self, limit=2):
        self.now = 0.0
        self.opened = []

        def open_channel(address):
            self.opened.append(FakeChannel(address))
            return self.opened[-1]

        return ChannelPool(
            open_channel=open_channel, clock=lambda: self.now, limit=limit
        )

    def test_least_recently_used_idle_channel_is_closed(self):
        pool = self.build()
        in_use_channel = pool.acquire("a:1")
        pool.release(pool.acquire("b:1"), failed=False)
        pool.release(pool.acquire("c:1"), failed=False)
        assert [channel.closed for channel in self.opened] == [False, True, False]
        assert len(pool) == 2
        pool.release(in_use_channel, failed=False)

    def test_failed_channel_is_replaced_without_aborting_other_calls(self):
        pool = self.build()
        first, second = pool.acquire("a:1"), pool.acquire("a:1")
        assert first is second
        pool.release(first, failed=True)
        assert not self.opened[0].closed
        assert pool.acquire("a:1").channel is self.opened[1]
        pool.release(second, failed=False)
        assert self.opened[0].closed

    def test_idle_channel_is_closed(self):
        pool = self.build()
        pool.release(pool.acquire("a:1"), failed=False)
        self.now = IDLE_SECONDS + 1.0
        pool.release(pool.acquire("b:1"), failed=False)
        assert [channel.closed for channel in self.opened] == [True, False]
