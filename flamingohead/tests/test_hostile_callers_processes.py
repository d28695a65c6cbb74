"""Tests, in separate processes, of callers that try to exhaust a daemon's memory."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from pathlib import Path

import psutil
import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import HOST, HostMesh, build_document
from flamingohead.tests.test_subscription_processes import (
    request_status,
    wait_for_path,
)

# One worker runs all of them: the memory of a daemon is compared with a bound.
pytestmark = pytest.mark.xdist_group("hostile-callers")

START_SECONDS = 30.0
MEMORY_MB = 128
MAX_DESCRIPTORS = 400
CONNECTIONS = 60
# The crowd ends when no caller could send anything for this long.
STALL_SECONDS = 4.0
MAX_CROWD_SECONDS = 45.0
# A daemon that uses less of a core than this over this time has no more to read.
IDLE_SHARE = 0.2
IDLE_SECONDS = 0.5
SEND_BYTES = 64 * 1024
# Time between the parts, so that the daemon reads few pipelined requests at once.
PART_SECONDS = 0.02
POST_HEAD = f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
# Four bytes, the shortest line.
SHORT_LINE = b"a:\r\n"
CHUNKED_HEAD = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def build_get(path: str = "/a/x", lines: bytes = b"") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode() + lines + b"\r\n"


def build_odd_lines() -> bytes:
    """Build header lines of legal size with unusual names and values."""
    lines = [
        b"%c%c:%c\r\n" % (97 + n % 26, 97 + n // 26 % 26, 128 + n % 100)
        for n in range(3000)
    ]
    lines += [b"x-empty:\r\n", b"x-spaces: \t \r\n", b"X-UPPER:\t \tb\r\n"] * 200
    return b"".join(lines)


SHAPES = {
    # Requests of legal size made of many lines.
    "pipelined-requests-of-short-lines": build_get(lines=SHORT_LINE * 7000) * 40,
    "pipelined-requests-of-odd-lines": build_get(lines=build_odd_lines()) * 40,
    "refused-pipelined-requests-of-short-lines": (
        build_get("/unknown", lines=SHORT_LINE * 7000) * 40
    ),
    # Heads over the limit, and starts of requests without end.
    "heads-over-the-limit": build_get(lines=SHORT_LINE * 800_000),
    "heads-without-end": build_get()[:-2] + SHORT_LINE * 800_000,
    "header-line-without-end": build_get()[:-2] + b"a:" + b"b" * 3_200_000,
    "target-without-end": b"GET /a/" + b"x" * 3_200_000,
    "empty-lines-without-end": b"\r\n" * 1_600_000,
    "large-heads-without-their-end": build_get()[:-2] + SHORT_LINE * 4000,
    # Chunked bodies that stop just before their end.
    "large-chunks": CHUNKED_HEAD + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 15,
    "chunks-of-two-bytes": CHUNKED_HEAD + b"2\r\nxy\r\n" * 100_000,
    "chunks-of-one-byte": CHUNKED_HEAD + b"1\r\nx\r\n" * 200_000,
    "chunk-extensions-without-end": CHUNKED_HEAD + b"5;" + b"e" * 3_200_000,
    "trailers-without-end": CHUNKED_HEAD + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 600_000,
    # Responses that the caller doesn't read.
    # The response to each contains its path.
    "refused-requests-in-pipelines": build_get("/unknown/" + "x" * 10_000) * 900,
    "large-responses": (POST_HEAD + b"Content-Length: 900000\r\n\r\n" + b"x" * 900_000)
    * 8,
}


class Crowd:
    """Send the same bytes on many connections, and read nothing."""

    def __init__(self, address: str, payload: bytes, connections: int) -> None:
        self._payload = memoryview(payload)
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, int] = {}
        self.connections = []
        for _ in range(connections):
            connection = socket.create_connection(split_address(address), timeout=10)
            # Less than the daemon's buffers, so that these fill up first.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            self.connections.append(connection)
            self._sent[connection] = 0
            if payload:
                self._selector.register(connection, selectors.EVENT_WRITE)

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *exception: object) -> None:
        self._selector.close()
        for connection in self.connections:
            connection.close()

    def send(self) -> None:
        """Send until everything is sent, or nothing more is taken."""
        ends_at = time.monotonic() + MAX_CROWD_SECONDS
        while self._selector.get_map() and time.monotonic() < ends_at:
            ready = self._selector.select(STALL_SECONDS)
            if not ready:
                return
            for key, _ in ready:
                self._send_part(key.fileobj)
            time.sleep(PART_SECONDS)

    def _send_part(self, connection: socket.socket) -> None:
        start = self._sent[connection]
        part = self._payload[start : start + SEND_BYTES]
        try:
            self._sent[connection] += connection.send(part)
        except BlockingIOError:
            return
        except OSError:
            # The daemon has closed the connection.
            self._selector.unregister(connection)
            return
        if self._sent[connection] == len(self._payload):
            self._selector.unregister(connection)


def read_peak_bytes(process_id: int) -> int:
    """Return the most memory that a process has ever had resident."""
    status = Path(f"/proc/{process_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def wait_until_idle(host):
    """Wait until the daemon has handled what the kernel's buffers still held."""
    process = psutil.Process(host.daemon.popen.pid)
    ends_at = time.monotonic() + MAX_CROWD_SECONDS
    used_seconds = 0.0
    while time.monotonic() < ends_at:
        earlier, used_seconds = used_seconds, sum(process.cpu_times()[:2])
        if used_seconds - earlier < IDLE_SHARE * IDLE_SECONDS:
            return
        time.sleep(IDLE_SECONDS)


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hostile")) as mesh:
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        yield mesh


@contextlib.contextmanager
def run_host(mesh, **limits):
    """Run a daemon of its own for one test, since peaks of memory remain."""
    name = f"h{len(mesh.hosts)}"
    host = mesh.add_host(name, "ledger", limits=limits)
    try:
        assert wait_for_path([host], "/a/x", seconds=START_SECONDS)
        yield host
    finally:
        host.instance.kill()
        host.daemon.kill()


def check_host(host, *, max_descriptors=MAX_DESCRIPTORS):
    process = psutil.Process(host.daemon.popen.pid)
    assert host.daemon.popen.poll() is None
    peak = read_peak_bytes(process.pid)
    print(f"peak {peak / 1e6:.0f} MB, {process.num_fds()} descriptors")
    assert peak < MEMORY_MB * 1e6
    assert process.num_fds() < max_descriptors


def wait_for_answer(host):
    """Return whether an ordinary request is answered once the crowd has left."""
    return wait_for_path([host], "/a/x", seconds=START_SECONDS)


class TestHostileCallers:
    """Guard against a daemon that a few callers end by using up its memory."""

    @pytest.mark.parametrize("name", SHAPES)
    def test_memory_stays_bounded_and_requests_are_served(self, mesh, name):
        limits = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        with run_host(mesh, **limits) as host:
            with Crowd(host.ingress, SHAPES[name], CONNECTIONS) as crowd:
                crowd.send()
                wait_until_idle(host)
                check_host(host)
            assert wait_for_answer(host)
            check_host(host)

    def test_silent_connections_leave_room_for_others(self, mesh):
        limits = {"memory-mb": MEMORY_MB, "max-fds": 100}
        with run_host(mesh, **limits) as host:
            with Crowd(host.ingress, b"", 150):
                assert request_status(host, "/a/x") == 200
                check_host(host, max_descriptors=100)
            assert wait_for_answer(host)
