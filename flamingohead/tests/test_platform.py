"""Tests of the platform clients."""

from __future__ import annotations

import asyncio

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services import platform
from flamingohead.services.platform import ObjectClient, TableClient
from flamingohead.services.reactor import install_reactor
from flamingohead.standins.platform import ObjectStandin, TableStandin
from flamingohead.testing.connections import StallingProxy
from flamingohead.testing.processes import choose_address


def run(coroutine):
    return install_reactor().run_until_complete(coroutine)


class TestSilentConnection:
    def test_client_reconnects_after_silent_connections(self, monkeypatch):
        monkeypatch.setattr(platform, "REQUEST_TIMEOUT_SECONDS", 0.5)
        run(self.check())

    async def check(self):
        target, listen = choose_address(), choose_address()
        TableStandin().listen(target)
        proxy = StallingProxy(target)
        host, port = listen.split(":")
        listener = await asyncio.start_server(proxy.accept, host, port)
        table = TableClient(f"http://{listen}")
        await table.start()
        reads = [table.read(f"key-{number}") for number in range(8)]
        assert await asyncio.gather(*reads) == [None] * 8
        proxy.stall_connections()
        first = await table.read("key")
        assert isinstance(first, Refusal)
        assert first.kind is ErrorKind.PLATFORM_UNAVAILABLE
        assert await table.insert("key", b"value") is True
        assert (await table.read("key")).value == b"value"
        await table.stop()
        listener.close()
        for connection in proxy.connections:
            connection.close()


class TestBounds:
    @pytest.mark.parametrize(("size", "is_accepted"), [(1000, True), (1001, False)])
    def test_answer_over_the_limit_is_refused(self, monkeypatch, size, is_accepted):
        monkeypatch.setattr(platform, "MAX_ANSWER_BYTES", 1000)
        result = run(self.read_object(size))
        if is_accepted:
            assert result == b"x" * size
        else:
            assert result.kind is ErrorKind.PLATFORM_UNAVAILABLE

    async def read_object(self, size):
        address = choose_address()
        ObjectStandin().listen(address)
        objects = ObjectClient(f"http://{address}")
        await objects.start()
        assert await objects.write("key", b"x" * size) is True
        result = await objects.read("key")
        await objects.stop()
        return result
