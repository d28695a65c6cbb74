"""Tests, in separate processes, of an upstream that sends bytes without end."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import psutil
import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import (
    HOST,
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
    send_request,
)
from flamingohead.tests.test_endless_bytes import (
    BLOCK,
    CHUNKED,
    ENDLESS_BODIES,
    ENDLESS_FRAMING,
    SHED,
)
from flamingohead.tests.test_subscription_processes import (
    request_status,
    wait_for_path,
)

START_SECONDS = 30.0
# Memory of a daemon that a deployment of the largest size allows.
MAX_DAEMON_BYTES = 128 * 2**20
SHAPES = {
    **ENDLESS_FRAMING,
    **ENDLESS_BODIES,
    "no head": (b"", BLOCK),
    "refusal": (SHED, b"4000\r\n" + BLOCK + b"\r\n"),
    "behind the answer": (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", BLOCK),
    "interim answer": (b"HTTP/1.1 100 Continue\r\nx: ", BLOCK),
    "chunk without end": (CHUNKED + b"ffffffffff\r\n", BLOCK),
}
CALLERS = 6
CALL_MS = 1200


class EndlessUpstream:
    """Send a start and then the same bytes on each connection until it is closed."""

    def __init__(self, address):
        self.shape = SHAPES["no head"]
        self.calls = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._server = socket.create_server(split_address(address))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._server.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        start, repeated = self.shape
        try:
            if connection.recv(65536).startswith(b"GET /endless/"):
                self.calls += 1
            connection.sendall(start)
            while True:
                connection.sendall(repeated)
        except OSError:
            # The daemon has closed the connection.
            connection.close()


def send_call(caller, host):
    caller.sendall(
        f"GET /endless/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: e{time.monotonic_ns()}\r\nRequest-Deadline: {CALL_MS}\r\n"
        "Connection: close\r\n\r\n".encode()
    )


def call_without_reading(host):
    """Send a request and read nothing of the response."""
    with socket.create_connection(split_address(host.ingress)) as caller:
        send_call(caller, host)
        time.sleep(CALL_MS / 1000)


def call_and_read(host):
    """Read the response for as long as the deadline allows."""
    with socket.create_connection(split_address(host.ingress), timeout=5) as caller:
        send_call(caller, host)
        ends_at = time.monotonic() + CALL_MS / 1000
        while time.monotonic() < ends_at and caller.recv(65536):
            pass


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("endless")) as mesh:
        mesh.add_host("h0", "ledger")
        mesh.add_host("h1", "ledger")
        mesh.add_daemon("h2", "endless")
        routes = {"/a/": "ledger", "/endless/": "endless"}
        mesh.write_row("op", "config", build_document(2, routes))
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        yield mesh


@pytest.fixture(scope="module")
def upstream(mesh):
    return EndlessUpstream(mesh.hosts["h2"].upstream)


def announce(host, upstream):
    upstream.sequence += 1
    beat = build_heartbeat(host, born=upstream.born, sequence=upstream.sequence)
    assert send_announcement(host, "PUT", "i-endless", beat) == 200


class TestEndlessUpstream:
    """Guard against a daemon whose memory one faulty upstream exhausts."""

    @pytest.mark.parametrize("name", SHAPES)
    def test_daemons_stay_small_and_serve_others(self, mesh, upstream, name):
        upstream.shape, upstream.calls = SHAPES[name], 0
        hosts = list(mesh.hosts.values())
        announce(mesh.hosts["h2"], upstream)
        peaks = {host.name: 0 for host in hosts}
        with ThreadPoolExecutor(max_workers=2 * CALLERS) as executor:
            calls = [
                executor.submit(call, host)
                for call in (call_and_read, call_without_reading)
                for host in hosts[::2]
                for _ in range(CALLERS // 2)
            ]
            while not all(call.done() for call in calls):
                for host in hosts:
                    process = psutil.Process(host.daemon.popen.pid)
                    size = process.memory_info().rss
                    peaks[host.name] = max(peaks[host.name], size)
                assert {request_status(host, "/a/x") for host in hosts} == {200}
                time.sleep(0.02)
            for call in calls:
                call.result()
        assert upstream.calls
        assert max(peaks.values()) < MAX_DAEMON_BYTES
        assert send_request(hosts[0].ready, "GET", "/v1/ready")[0] == 200
