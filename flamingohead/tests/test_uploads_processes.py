"""Tests, in separate processes, of uploads from many hosts to one small link."""

from __future__ import annotations

import json
import threading
import time

import pytest

from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_subscription_processes import wait_for_path

START_SECONDS = 30.0
SENDERS = 6
UPLOADS_PER_SENDER = 3
BODY_BYTES = 100_000
LINK_MBPS = 1
LINK_BYTES_PER_SECOND = LINK_MBPS * 1e6 / 8
TIMEOUT_MS = 2500


def build_upload_document():
    """Build a configuration with a route of uploads."""
    routes = {"/a/": "ledger", "/uploads/": "ledger"}
    document = json.loads(build_document(2, routes, timeout_ms=TIMEOUT_MS))
    document["listeners"][0]["route-rules"][1]["kind"] = "upload"
    return json.dumps(document).encode()


@pytest.fixture(scope="module")
def senders(tmp_path_factory):
    """Run hosts that relay to the only upstream, behind a link of 1 Mbit/s."""
    with HostMesh(tmp_path_factory.mktemp("uploads")) as mesh:
        mesh.write_row("op", "config", build_upload_document())
        mesh.add_host("small", "ledger", limits={"link-mbps": LINK_MBPS})
        senders = [mesh.add_daemon(f"h{n}", "other") for n in range(SENDERS)]
        assert wait_for_path(senders, "/a/x", seconds=START_SECONDS)
        yield senders


def upload_at_once(hosts):
    """Send uploads through all hosts at the same time; return the responses."""
    responses = []

    def send(host):
        body = bytes(BODY_BYTES)
        headers = {"Host": HOST}
        responses.append(
            send_request(host.ingress, "POST", "/uploads/x", body=body, headers=headers)
        )

    threads = [
        threading.Thread(target=send, args=(host,))
        for host in hosts
        for _ in range(UPLOADS_PER_SENDER)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return responses


class TestUploadsOfManySenders:
    """Guard against senders that each count on the whole link of a receiver."""

    def test_uploads_accepted_at_once_fit_the_link(self, senders):
        started_at = time.monotonic()
        responses = upload_at_once(senders)
        elapsed = time.monotonic() - started_at
        served = [r for r in responses if r[0] == 200]
        # One body may begin before another has ended.
        fitting = LINK_BYTES_PER_SECOND * elapsed + BODY_BYTES
        print(f"{len(served)} of {len(responses)} served in {elapsed:.2f} s")
        assert served
        assert len(served) * BODY_BYTES <= fitting

    def test_uploads_without_room_are_refused_with_a_time(self, senders):
        refused = [r for r in upload_at_once(senders) if r[0] != 200]
        assert refused
        assert {status for status, _, _ in refused} == {503}
        assert all("retry-after" in headers for _, headers, _ in refused)
