"""A loopback link that carries few bytes a second, as that of a small host does."""

from __future__ import annotations

import socket
import threading
import time

from flamingohead.addresses import split_address

READ_BYTES = 4096
CONNECT_TIMEOUT_SECONDS = 5.0


class SmallLink:
    """Pass connections on; answers share ``bytes_per_second``."""

    def __init__(self, listen: str, target: str, *, bytes_per_second: float) -> None:
        self._target = split_address(target)
        self._rate = bytes_per_second
        self._lock = threading.Lock()
        self._free_at = 0.0
        self._server = socket.create_server(split_address(listen))
        self._start(self._accept)

    def close(self) -> None:
        """Take no further connections."""
        self._server.close()

    def _start(self, function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                # The link was closed.
                return
            far = socket.create_connection(
                self._target, timeout=CONNECT_TIMEOUT_SECONDS
            )
            far.settimeout(None)
            self._start(self._carry, near, far, False)
            self._start(self._carry, far, near, True)

    def _carry(self, source: socket.socket, sink: socket.socket, is_slow: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if is_slow:
                    time.sleep(self._reserve(len(data)))
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end was reset; the other end sees the same.
            source.close()
            sink.close()

    def _reserve(self, count: int) -> float:
        """Return how many seconds from now the link has carried ``count`` bytes."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(self._free_at, now) + count / self._rate
            return self._free_at - now
