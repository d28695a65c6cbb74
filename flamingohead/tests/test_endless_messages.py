"""Tests of endless messages between daemons, which a broken peer may send."""

from __future__ import annotations

import asyncio
import struct

import pytest
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from h2.exceptions import StreamClosedError

from flamingohead.core.errors import Refusal
from flamingohead.kernel import Kernel
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.peers_grpc import PeersStub
from flamingohead.services.message_bounds import MAX_MESSAGE_BYTES
from flamingohead.services.metrics import MetricsService
from flamingohead.services.peers import PeersService
from flamingohead.testing.processes import choose_address
from flamingohead.tests.test_channels import build_peer

BLOCK = b"x" * 16384
# A prefix that announces the longest message, without compression.
LONGEST_MESSAGE = struct.pack(">?I", False, 2**32 - 1)
# Bytes that the library accepts before a reader takes them.
WINDOW_BYTES = 4 * 2**20
MAX_SENT_BYTES = 8 * (MAX_MESSAGE_BYTES + WINDOW_BYTES)
CALL_TIMEOUT_SECONDS = 2.0
TEST_TIMEOUT_SECONDS = 30.0


class EndlessSender:
    """Send a message without end and count the bytes that the peer accepted."""

    def __init__(self):
        self.sent = 0

    async def send(self, stream):
        await stream.send_data(LONGEST_MESSAGE)
        while self.sent < MAX_SENT_BYTES:
            await stream.send_data(BLOCK)
            self.sent += len(BLOCK)

    async def reply(self, peer, stream):
        await stream.recv_message()
        await stream.send_initial_metadata()
        await self.send(stream._stream)


def run_bounded(coroutine):
    """Run a test, and fail instead of waiting without end."""
    asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_SECONDS))


def build_peers():
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    address = choose_address()
    return PeersService(kernel, address), address


class TestEndlessMessages:
    def test_endless_reply_is_refused_early(self):
        run_bounded(self.check_reply())

    async def check_reply(self):
        sender = EndlessSender()
        peer = build_peer()
        peer.Pull = lambda stream: sender.reply(peer, stream)
        server, address = Server([peer]), choose_address()
        await server.start(*address.split(":"))
        peers, _ = build_peers()
        reply = await peers.call(
            address, "Pull", pb.PullRequest(), timeout=CALL_TIMEOUT_SECONDS
        )
        assert isinstance(reply, Refusal)
        assert sender.sent <= MAX_MESSAGE_BYTES + WINDOW_BYTES
        peers._channels.close()
        server.close()
        await server.wait_closed()

    def test_endless_request_is_refused_early(self):
        run_bounded(self.check_request())

    async def check_request(self):
        peers, address = build_peers()
        await peers.start()
        host, port = address.split(":")
        channel = Channel(host, int(port))
        sender = EndlessSender()
        with pytest.raises((GRPCError, StreamClosedError)):
            async with PeersStub(channel).Pull.open(
                timeout=CALL_TIMEOUT_SECONDS
            ) as stream:
                await stream.send_request()
                await sender.send(stream._stream)
        assert sender.sent <= MAX_MESSAGE_BYTES + WINDOW_BYTES
        channel.close()
        await peers.stop()

    def test_message_of_the_size_limit_is_received(self):
        run_bounded(self.check_large_reply())

    async def check_large_reply(self):
        packed = b"x" * (MAX_MESSAGE_BYTES - 100)

        async def reply(stream):
            await stream.recv_message()
            await stream.send_message(pb.PullReply(version=3, packed=packed))

        peer = build_peer()
        peer.Pull = reply
        server, address = Server([peer]), choose_address()
        await server.start(*address.split(":"))
        peers, _ = build_peers()
        result = await peers.call(address, "Pull", pb.PullRequest())
        assert result.packed == packed
        peers._channels.close()
        server.close()
        await server.wait_closed()
