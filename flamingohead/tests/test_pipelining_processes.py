"""Tests of pipelined requests through the process of a daemon."""

from __future__ import annotations

import socket
import time

import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import HOST, HostMesh, build_document
from flamingohead.tests.test_subscription_processes import wait_for_path

START_SECONDS = 30.0
# Of the routes of the document.
TIMEOUT_SECONDS = 1.2
# Time after the timeout of a route within which its requests must be answered.
ANSWER_SECONDS = 0.5
DEPTH = 20


@pytest.fixture()
def host(tmp_path):
    with HostMesh(tmp_path) as mesh:
        host = mesh.add_host("h0", "ledger", slots=DEPTH)
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        assert wait_for_path([host], "/a/x", seconds=START_SECONDS)
        yield host


def send_pipelined(host, count, work_ms):
    """Send requests at once; return the time at which all were answered, and data."""
    request = (
        f"GET /a/x?work-ms={work_ms} HTTP/1.1\r\nHost: {HOST}\r\n"
        "Request-Id: p{}\r\nRequest-Deadline: 5000\r\n\r\n"
    )
    data = b""
    with socket.create_connection(split_address(host.ingress), timeout=5.0) as client:
        sent_at = time.monotonic()
        client.sendall("".join(request.format(n) for n in range(count)).encode())
        while data.count(b"HTTP/1.1 ") < count:
            received = client.recv(65536)
            assert received, "connection closed before all requests were answered"
            data += received
        return time.monotonic() - sent_at, data


class TestQueuedRequests:
    """Guard against requests that wait behind slow ones without a deadline."""

    def test_all_are_answered_at_the_timeout_of_their_route(self, host):
        seconds, data = send_pipelined(host, DEPTH, work_ms=3000)
        assert seconds < TIMEOUT_SECONDS + ANSWER_SECONDS
        assert data.count(b"HTTP/1.1 504 ") == DEPTH

    def test_quick_ones_are_all_served(self, host):
        seconds, data = send_pipelined(host, DEPTH, work_ms=50)
        assert seconds < TIMEOUT_SECONDS
        assert data.count(b"HTTP/1.1 200 ") == DEPTH
