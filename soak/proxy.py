"""A loopback proxy whose link can be delayed, reset, silenced or cut one way."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

from flamingohead.addresses import split_address

READ_BYTES = 64 * 1024
DELAY_SECONDS = 0.15


class Link(Enum):
    """Name the states of a link."""

    SOUND = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    # Bytes are taken and never arrive; nobody is told.
    SILENT = "silent"
    ONE_WAY = "one_way"


class LinkProxy:
    """Pass connections of one address on to another."""

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.link = Link.SOUND

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self._reset()
        await asyncio.gather(*self._tasks)

    def set_link(self, link: Link) -> None:
        """Change the state of the link, also for open connections."""
        self.link = link
        if link is Link.RESET:
            self._reset()

    def _reset(self) -> None:
        for writer in list(self._writers):
            _reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        far_writer = None
        try:
            if self.link is Link.RESET:
                _reset_connection(writer)
                return
            host, port = split_address(self._target)
            far_reader, far_writer = await asyncio.open_connection(host, port)
            self._writers.add(far_writer)
            # A connection that went silent stays so when the link is sound again.
            dead: set[bool] = set()
            await asyncio.gather(
                self._carry(reader, far_writer, dead, outward=True),
                self._carry(far_reader, writer, dead, outward=False),
            )
        except OSError:
            pass
        finally:
            self._tasks.discard(task)
            for end in (writer, far_writer):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dead: set[bool],
        *,
        outward: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.link is Link.SILENT:
                dead |= {True, False}
            elif self.link is Link.ONE_WAY:
                dead.add(False)
            if outward in dead:
                continue
            if self.link is Link.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(data)
            await writer.drain()
        if outward not in dead:
            writer.write_eof()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end sees a reset."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:
        no_linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()
