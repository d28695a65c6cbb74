"""Loopback proxy whose link can be delayed, reset, silenced or cut in one direction."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

from flamingohead.addresses import split_address

READ_BYTES = 64 * 1024
DELAY_SECONDS = 0.15


class Link(Enum):
    """Enumerate the states of a link."""

    SOUND = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    # Bytes are read and discarded in both directions; neither end sees an error.
    SILENT = "silent"
    # Like SILENT, but only for bytes from the target.
    ONE_WAY = "one_way"


class LinkProxy:
    """Forward connections from one address to another."""

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.link_state = Link.SOUND

    async def start(self) -> None:
        """Start to accept connections."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        self._server.close()
        self._reset_all()
        await asyncio.gather(*self._tasks)

    def set_state(self, link_state: Link) -> None:
        """Set the state of the link, which also applies to open connections."""
        self.link_state = link_state
        if link_state is Link.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        target_writer = None
        try:
            if self.link_state is Link.RESET:
                _reset_connection(writer)
                return
            host, port = split_address(self._target)
            target_reader, target_writer = await asyncio.open_connection(host, port)
            self._writers.add(target_writer)
            # Silenced directions, as values of ``to_target``; they stay silent when the
            # link is restored.
            silenced: set[bool] = set()
            await asyncio.gather(
                self._forward(reader, target_writer, silenced, to_target=True),
                self._forward(target_reader, writer, silenced, to_target=False),
            )
        except OSError:
            pass
        finally:
            self._tasks.discard(task)
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silenced: set[bool],
        *,
        to_target: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.link_state is Link.SILENT:
                silenced |= {True, False}
            elif self.link_state is Link.ONE_WAY:
                silenced.add(False)
            if to_target in silenced:
                continue
            if self.link_state is Link.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(data)
            await writer.drain()
        if to_target not in silenced:
            writer.write_eof()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer receives a reset."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()
