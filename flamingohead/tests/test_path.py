"""Tests of requests through a whole mesh in separate processes."""

from __future__ import annotations

import http.client
import json
import os
import time
from pathlib import Path

import psutil
import pytest

from flamingohead.testing.processes import ROOT, LocalMesh, run_command

SHEET = ROOT / "examples" / "kente-mirror.csv"
WAIT_TIMEOUT = 30.0


def request(address, method, path, headers=None):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request(method, path, headers=headers or {})
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, dict(response.getheaders()), body


def request_until(status, *arguments):
    deadline = time.monotonic() + WAIT_TIMEOUT
    while True:
        answer = request(*arguments)
        if answer[0] == status or time.monotonic() > deadline:
            return answer
        time.sleep(0.1)


def read_runs(mesh):
    runs = []
    for upstream in mesh.upstreams.values():
        _, _, body = request(upstream.address, "GET", "/standin/journal")
        runs += [entry["key"] for entry in json.loads(body)["entries"]]
    return runs


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("mesh")) as mesh:
        mesh.start_platform()
        for domain in ("makola", "osu"):
            for number in range(2):
                mesh.start_daemon(f"{domain}-{number}", domain)
        for host_id in mesh.daemons:
            service = "stall-ledger" if host_id[-1] == "0" else "pattern-archive"
            mesh.start_upstream(f"{service}-{host_id}", service, host_id)
        mesh.wait_until_listening()
        yield mesh


class TestPath:
    def test_no_configuration_is_refused_as_not_run(self, mesh):
        address = mesh.daemons["osu-0"].addresses.ingress
        status, headers, _ = request(address, "GET", "/ledger/lookup")
        assert status == 503
        assert headers["flamingohead-refusal"] == "no_configuration"
        assert headers["flamingohead-ran"] == "no"

    def test_sheet_is_served_by_every_daemon(self, mesh):
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        assert "accepted as version 1" in result.stdout
        for daemon in mesh.daemons.values():
            address = daemon.addresses.ingress
            for path in ("/ledger/lookup?cloth=1", "/archive/bundle"):
                status, _, body = request_until(200, address, "GET", path)
                assert status == 200, body
            assert request(address, "GET", "/unknown")[0] == 404

    def test_repeated_key_runs_once_whichever_daemon_receives_it(self, mesh):
        headers = {"Idempotency-Key": "hand-over-1", "Request-Id": "1"}
        answers = [
            request_until(
                200, daemon.addresses.ingress, "POST", "/ledger/hand-over", headers
            )
            for daemon in mesh.daemons.values()
        ]
        assert [answer[0] for answer in answers] == [200] * 4
        assert len({answer[2] for answer in answers}) == 1
        assert read_runs(mesh).count("hand-over-1") == 1

    def test_daemon_opens_no_io_uring(self, mesh):
        for daemon in mesh.daemons.values():
            descriptors = Path(f"/proc/{daemon.process.popen.pid}/fd")
            targets = [os.readlink(entry) for entry in descriptors.iterdir()]
            assert not [target for target in targets if "io_uring" in target]

    def test_daemon_runs_on_one_thread(self, mesh):
        for daemon in mesh.daemons.values():
            process = psutil.Process(daemon.process.popen.pid)
            assert process.num_threads() == 1
            assert process.children() == []
