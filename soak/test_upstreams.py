"""Test that a stand-in upstream falls silent as promises and callers assume."""

from __future__ import annotations

import http.client
import json
import threading
import time

import pytest

from flamingohead.testing.hosts import HostMesh, send_request
from flamingohead.testing.processes import wait_for_port


@pytest.fixture()
def host(tmp_path):
    with HostMesh(tmp_path) as mesh:
        host = mesh.add_daemon("h0", "ledger")
        mesh.start_instance(
            host,
            "i-h0",
            slots=1,
            journal=tmp_path / "journal.jsonl",
            options=("--queue", "1", "--silent-when-full", "--speed", "0.5"),
        )
        wait_for_port(host.upstream)
        yield host


def read_events(tmp_path):
    lines = (tmp_path / "journal.jsonl").read_text().splitlines()
    return [(entry["event"], entry["id"]) for entry in map(json.loads, lines)]


def request(connection, request_id, query):
    connection.request("GET", f"/x?{query}", headers={"Request-Id": request_id})
    return connection.getresponse().read()


class TestSilentUpstream:
    def test_requests_beyond_the_queue_are_never_answered(self, host, tmp_path):
        # The failure guarded against: a soak in which no upstream can overflow.
        threads = []
        for request_id in ("a", "b"):
            headers = {"Request-Id": request_id}
            arguments = (host.upstream, "GET", "/x?work-ms=300")
            threads.append(
                threading.Thread(
                    target=send_request, args=arguments, kwargs={"headers": headers}
                )
            )
            threads[-1].start()
            time.sleep(0.1)
        started_at = time.monotonic()
        connection = http.client.HTTPConnection(host.upstream, timeout=1.5)
        with pytest.raises(TimeoutError):
            request(connection, "c", "work-ms=1")
        for thread in threads:
            thread.join()
        # Half of the speed doubles the time of two requests, one after the other.
        assert time.monotonic() - started_at > 0.9
        assert read_events(tmp_path) == [("run", "a"), ("overflow", "c"), ("run", "b")]

    def test_connection_stays_silent(self, host, tmp_path):
        connection = http.client.HTTPConnection(host.upstream, timeout=0.3)
        with pytest.raises(TimeoutError):
            request(connection, "a", "silences=1")
        connection.sock.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: b\r\n\r\n")
        with pytest.raises(TimeoutError):
            connection.sock.recv(1)
        assert read_events(tmp_path) == [("silent", "a"), ("unread", "b")]
