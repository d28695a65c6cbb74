"""A loopback link of limited bandwidth, like that of a small host."""

from __future__ import annotations

import socket
import threading
import time

from flamingohead.addresses import split_address

READ_BYTES = 4096
CONNECT_TIMEOUT_SECONDS = 5.0


class LimitedLink:
    """Forward connections; all responses share a limit of ``bytes_per_second``."""

    def __init__(self, listen: str, target: str, *, bytes_per_second: float) -> None:
        self._target = split_address(target)
        self._rate = bytes_per_second
        self._lock = threading.Lock()
        self._available_at = 0.0
        self._server = socket.create_server(split_address(listen))
        self._start_thread(self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def _start_thread(self, function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client_side, _ = self._server.accept()
            except OSError:
                # The listening socket was closed.
                return
            target_side = socket.create_connection(
                self._target, timeout=CONNECT_TIMEOUT_SECONDS
            )
            target_side.settimeout(None)
            self._start_thread(self._forward, client_side, target_side, False)
            self._start_thread(self._forward, target_side, client_side, True)

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_limited: bool
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if is_limited:
                    time.sleep(self._reserve(len(data)))
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end was reset; close both, so that the other end notices.
            source.close()
            sink.close()

    def _reserve(self, count: int) -> float:
        """Reserve time for ``count`` bytes; return the seconds until they are sent."""
        with self._lock:
            now = time.monotonic()
            self._available_at = max(self._available_at, now) + count / self._rate
            return self._available_at - now
