"""Test, in separate processes, what callers get for responses that are not HTTP."""

from __future__ import annotations

import re
import socket
import threading
import time

import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import (
    HOST,
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
)
from flamingohead.testing.http import parse_responses
from flamingohead.tests.test_invalid_responses import INTERIM, INVALID, VALID
from flamingohead.tests.test_subscription_processes import wait_for_path

START_SECONDS = 30.0
CALL_MS = 600


def add_id(response, request):
    """Return a response whose heads with a body bear the id of the request."""
    request_id = re.search(rb"(?i)\r\nrequest-id: (\S+)", request)[1]
    line = b"\r\nrequest-id: " + request_id
    for name in (b"\r\ncontent-length:", b"\r\ntransfer-encoding:"):
        response = response.replace(name, line + name)
    return response


class ScriptedUpstream:
    """Send the same bytes for each request and keep the connection open."""

    def __init__(self, address):
        self.response = VALID
        self.used_connections = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._connections = 0
        self._server = socket.create_server(split_address(address))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._server.accept()
            self._connections += 1
            arguments = connection, self._connections
            threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def _serve(self, connection, number):
        try:
            while request := connection.recv(65536):
                if b" /odd" not in request:
                    # The health check of the daemon.
                    connection.sendall(VALID)
                    continue
                self.used_connections.append(number)
                connection.sendall(add_id(self.response, request))
        except OSError:
            pass
        finally:
            connection.close()


def call(host, path="/odd/x", method="GET"):
    """Return the bytes that a caller receives until its connection is closed."""
    received = b""
    with socket.create_connection(split_address(host.ingress), timeout=5) as caller:
        caller.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: o{time.monotonic_ns()}\r\nRequest-Deadline: {CALL_MS}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        while data := caller.recv(65536):
            received += data
    return received


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("odd")) as mesh:
        mesh.add_host("h0", "ledger")
        mesh.add_daemon("h1", "odd")
        routes = {"/a/": "ledger", "/odd/": "odd", "/odd-unsafe/": "odd"}
        mesh.write_row("op", "config", build_document(2, routes))
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        yield mesh


@pytest.fixture(scope="module")
def upstream(mesh):
    upstream = ScriptedUpstream(mesh.hosts["h1"].upstream)
    announce(mesh, upstream)
    ends_at = time.monotonic() + START_SECONDS
    while b"valid" not in call(mesh.hosts["h0"]):
        assert time.monotonic() < ends_at
        announce(mesh, upstream)
    return upstream


def announce(mesh, upstream):
    upstream.sequence += 1
    host = mesh.hosts["h1"]
    beat = build_heartbeat(host, born=upstream.born, sequence=upstream.sequence)
    assert send_announcement(host, "PUT", "i-odd", beat) == 200


class TestInvalidResponses:
    """Guard against bytes of an upstream that reach a caller as its response."""

    @pytest.mark.parametrize("path", ["/odd/x", "/odd-unsafe/x"])
    @pytest.mark.parametrize("name", ["h0", "h1"], ids=["relayed", "own"])
    @pytest.mark.parametrize("shape", INVALID)
    def test_caller_gets_one_bad_gateway(self, mesh, upstream, shape, name, path):
        announce(mesh, upstream)
        upstream.response = INVALID[shape]
        upstream.used_connections = []
        method = "POST" if "unsafe" in path else "GET"
        received = call(mesh.hosts[name], path, method)
        assert received.startswith(b"HTTP/1.1 50"), received
        (response,) = parse_responses(received)
        assert response.status in (502, 504)
        assert b"invalid" not in response.body
        # A connection with such a response carries no other request.
        bad = set(upstream.used_connections)
        assert bad and len(bad) == len(upstream.used_connections)
        upstream.response = VALID
        upstream.used_connections = []
        for host in mesh.hosts.values():
            assert [r.status for r in parse_responses(call(host, path, method))] == [
                200
            ]
        assert bad.isdisjoint(upstream.used_connections)


class TestValidResponses:
    @pytest.mark.parametrize("name", ["h0", "h1"], ids=["relayed", "own"])
    @pytest.mark.parametrize("shape", INTERIM)
    def test_informational_responses_precede_the_response(
        self, mesh, upstream, shape, name
    ):
        announce(mesh, upstream)
        upstream.response = INTERIM[shape]
        (response,) = parse_responses(call(mesh.hosts[name]))
        assert (response.status, response.body) == (200, b"valid")
