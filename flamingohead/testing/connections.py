"""Connections that misbehave, for tests."""

from __future__ import annotations

import asyncio


class SilentProxy:
    """Pass bytes on; connections made before ``silence`` pass none after it.

    Both ends of such a connection stay open.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.connections: list[asyncio.StreamWriter] = []
        self.generation = 0

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, as the callback of ``asyncio.start_server``."""
        host, port = self.target.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        generation = self.generation
        self.connections.append(writer)
        pumps = [(reader, upstream_writer), (upstream_reader, writer)]
        await asyncio.gather(*(self.pump(*pump, generation) for pump in pumps))

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Pass on what arrives, unless the connection has gone silent."""
        while data := await reader.read(65536):
            if generation == self.generation:
                writer.write(data)
        writer.close()

    def silence(self) -> None:
        """Let every connection that is open now go silent."""
        self.generation += 1
