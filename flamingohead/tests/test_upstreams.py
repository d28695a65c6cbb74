"""Tests of stopped upstreams and summaries between failure domains, in processes."""

from __future__ import annotations

import json
import time

import pytest

from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh
from flamingohead.tests.test_path import (
    WAIT_TIMEOUT,
    request,
    request_until,
    run_command,
)

SHEET = ROOT / "examples" / "kente-mirror.csv"


def list_upstreams(daemon):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    address = daemon.addresses.control
    _, _, body = request(address, "GET", "/v1/status", headers)
    return {
        upstream["name"]: upstream["status"]
        for member in json.loads(body)["members"]
        if member["status"] in ("alive", "suspect")
        for upstream in member["upstreams"]
    }


def count_remote_services(daemon):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    address = daemon.addresses.control
    _, _, body = request(address, "GET", "/v1/metrics", headers)
    return json.loads(body)["gauges"].get("summary.services")


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.1)
    return condition()


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("upstreams")) as mesh:
        mesh.start_platform()
        for host_id, domain in (("a", "makola"), ("b", "makola"), ("c", "osu")):
            mesh.start_daemon(host_id, domain)
            mesh.start_upstream(f"ledger-{host_id}", "stall-ledger", host_id)
            mesh.start_upstream(f"archive-{host_id}", "pattern-archive", host_id)
        mesh.wait_until_listening()
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        for daemon in mesh.daemons.values():
            address = daemon.addresses.ingress
            assert request_until(200, address, "GET", "/ledger/lookup")[0] == 200
        expected = {"ledger-a", "archive-a", "ledger-b", "archive-b"}
        for host_id in "ab":
            daemon = mesh.daemons[host_id]
            assert wait_until(lambda: set(list_upstreams(daemon)) == expected)
        yield mesh


class TestSummaries:
    def test_each_failure_domain_receives_the_services_of_the_other(self, mesh):
        for host_id in "abc":
            daemon = mesh.daemons[host_id]
            assert wait_until(lambda: count_remote_services(daemon) == 2)


class TestLeaving:
    def test_planned_stop_cuts_no_request(self, mesh):
        addresses = [mesh.daemons[host_id].addresses.ingress for host_id in "ab"]
        process = mesh.upstreams["ledger-a"].process
        statuses = [request(a, "GET", "/ledger/lookup")[0] for a in addresses]
        process.terminate()
        while process.popen.poll() is None:
            statuses += [request(a, "GET", "/ledger/lookup")[0] for a in addresses]
        assert set(statuses) == {200}
        assert wait_until(lambda: "ledger-a" not in list_upstreams(mesh.daemons["b"]))

    def test_killed_upstream_is_removed_without_an_announcement(self, mesh):
        mesh.upstreams["archive-a"].process.kill()
        assert wait_until(lambda: "archive-a" not in list_upstreams(mesh.daemons["b"]))
        answer = request_until(
            200, mesh.daemons["a"].addresses.ingress, "GET", "/archive/bundle"
        )
        assert answer[1]["upstream"] == "archive-b"
