"""Tests, in separate processes, of uploads that are refused before their body."""

from __future__ import annotations

import json
import socket
import time

import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_subscription_processes import read_counter, wait_for_path

START_SECONDS = 30.0
KEY = "key-of-aburi"
BODY_BYTES = 400_000


def build_upload_document():
    """Build a configuration with an organisation, and uploads to two services."""
    routes = {"/a/": "ledger", "/uploads/": "ledger", "/lost/": "nowhere"}
    tenants = [{"name": "aburi", "api-keys": [KEY], "priority": 1}]
    document = json.loads(build_document(2, routes, tenants=tenants))
    for rule in document["listeners"][0]["route-rules"]:
        if rule["match"]["prefix"] == "/a/":
            rule["public"] = True
        else:
            rule["kind"] = "upload"
    return json.dumps(document).encode()


@pytest.fixture(scope="module")
def host(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("heads")) as mesh:
        mesh.write_row("op", "config", build_upload_document())
        host = mesh.add_host("h0", "ledger", limits={"memory-mb": 200})
        assert wait_for_path([host], "/a/x", seconds=START_SECONDS)
        # Until then, the service without an upstream may still get one.
        ends_at = time.monotonic() + START_SECONDS
        while send_request(host.ready, "GET", "/v1/ready")[0] != 200:
            assert time.monotonic() < ends_at
            time.sleep(0.05)
        yield host


def send_head(host, path, *, key=KEY, length=BODY_BYTES, body=b""):
    """Send the head of an upload; return the response, which ends the connection."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "Request-Id: u1",
        f"Content-Length: {length}",
    ]
    if key:
        lines.append(f"X-Api-Key: {key}")
    if body:
        lines.append("Connection: close")
    received = b""
    with socket.create_connection(split_address(host.ingress), timeout=10) as caller:
        caller.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        while data := caller.recv(65536):
            received += data
    return received


class TestUploads:
    """Guard against uploads over slow links whose request is then refused."""

    @pytest.mark.parametrize(
        ("path", "key", "length", "status"),
        [
            ("/unknown/x", KEY, BODY_BYTES, 404),
            ("/uploads/x", "other", BODY_BYTES, 401),
            ("/uploads/x", "", 100, 401),
            ("/lost/x", KEY, BODY_BYTES, 503),
            ("/lost/x", KEY, 100, 503),
            ("/uploads/x", KEY, 2_000_000, 413),
        ],
    )
    def test_refusal_does_not_wait_for_the_body(self, host, path, key, length, status):
        response = send_head(host, path, key=key, length=length)
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert b"\r\nconnection: close\r\n" in response

    def test_upload_that_can_be_served_is_read(self, host):
        response = send_head(host, "/uploads/x", body=bytes(BODY_BYTES))
        assert response.startswith(b"HTTP/1.1 200 ")

    def test_refusals_are_counted(self, host):
        before = read_counter(host, "calls.refused_heads")
        send_head(host, "/unknown/x")
        assert read_counter(host, "calls.refused_heads") == before + 1
