"""Test the effects of the link states on connections."""

from __future__ import annotations

import asyncio

import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.processes import choose_address
from soak.proxy import DELAY_SECONDS, Link, LinkProxy

SILENCE_SECONDS = 0.3


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def run_link(check):
    """Call ``check`` with a proxy and a connection through it to an echo server."""

    async def run():
        target, listen = choose_address(), choose_address()
        server = await asyncio.start_server(echo, *split_address(target))
        proxy = LinkProxy(listen, target)
        await proxy.start()
        try:
            reader, writer = await asyncio.open_connection(*split_address(listen))
            writer.write(b"first")
            assert await reader.readexactly(5) == b"first"
            await check(proxy, reader, writer)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


class TestLinkProxy:
    def test_delayed_bytes_arrive_late(self):
        async def check(proxy, reader, writer):
            proxy.set_state(Link.DELAYED)
            started_at = asyncio.get_running_loop().time()
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            elapsed = asyncio.get_running_loop().time() - started_at
            assert elapsed >= 2 * DELAY_SECONDS

        run_link(check)

    def test_reset_ends_open_and_new_connections(self):
        async def check(proxy, reader, writer):
            proxy.set_state(Link.RESET)
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)

        run_link(check)

    @pytest.mark.parametrize("link", [Link.SILENT, Link.ONE_WAY])
    def test_silenced_connection_stays_silent(self, link):
        async def check(proxy, reader, writer):
            proxy.set_state(link)
            writer.write(b"x")
            await asyncio.sleep(SILENCE_SECONDS)
            proxy.set_state(Link.SOUND)
            writer.write(b"y")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(SILENCE_SECONDS):
                    await reader.read(1)

        run_link(check)
