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


class _RepeatingTable:
    """Repeat the previous response in front of the next one of a connection."""

    def __init__(self):
        self.keys = set()

    async def serve(self, reader, writer):
        previous = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.split(b"\r")[0] or 0))
                response = self.respond(*head.split(b" ")[:2])
                writer.write(previous + response)
                previous = response
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def respond(self, method, path):
        status = 412 if path in self.keys else 201
        if method == b"PUT":
            self.keys.add(path)
        return b"HTTP/1.1 %d Done\r\nContent-Length: 0\r\n\r\n" % status


class TestRepeatedResponses:
    """Guard against writes that count as done by the response to an earlier call."""

    async def insert(self, *keys):
        server = await asyncio.start_server(_RepeatingTable().serve, "127.0.0.1", 0)
        table = TableClient("http://127.0.0.1:%d" % server.sockets[0].getsockname()[1])
        await table.start()
        results = [await table.insert(key, b"claim") for key in keys]
        await table.stop()
        server.close()
        return results

    def test_repeated_success_does_not_grant_a_second_claim(self):
        assert run(self.insert("a", "a")) == [True, False]

    def test_repeated_conflict_does_not_deny_an_insert(self):
        assert run(self.insert("a", "a", "b")) == [True, False, True]


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
