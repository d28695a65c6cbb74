"""Faulty connections for tests."""

from __future__ import annotations

import asyncio


class StallingProxy:
    """Forward connections to a target, and stall the open ones on request.

    A stalled connection forwards nothing more, but stays open at both ends. Later
    connections are forwarded as before.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.connections: list[asyncio.StreamWriter] = []
        self.generation = 0

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection; a callback for ``asyncio.start_server``."""
        host, port = self.target.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        generation = self.generation
        self.connections.append(writer)
        directions = [(reader, upstream_writer), (upstream_reader, writer)]
        await asyncio.gather(
            *(self.forward(*streams, generation) for streams in directions)
        )

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        """Forward received data, and discard it once the connection is stalled."""
        while data := await reader.read(65536):
            if generation == self.generation:
                writer.write(data)
        writer.close()

    def stall_connections(self) -> None:
        """Stall every connection that is open now."""
        self.generation += 1
