"""Process tests of a host that dies and of an upstream that fails during calls."""

from __future__ import annotations

import http.client
import subprocess
import sys
import time

import pytest

from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh

SHEET = ROOT / "examples" / "kente-mirror.csv"
WAIT_SECONDS = 30.0
CALLS = 100


def call(address):
    """Return the status of a lookup and the name of the upstream that served it."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", "/ledger/lookup")
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status, response.getheader("upstream")


def wait_for_upstreams(address, names):
    """Send lookups until every upstream has responded."""
    seen = set()
    deadline = time.monotonic() + WAIT_SECONDS
    while seen != names:
        assert time.monotonic() < deadline, f"timed out; only {seen} responded"
        status, upstream = call(address)
        if status == 200:
            seen.add(upstream)


@pytest.fixture
def mesh(tmp_path):
    with LocalMesh(tmp_path) as mesh:
        mesh.start_platform()
        for number in range(3):
            mesh.start_daemon(f"makola-{number}", "makola")
        for host_id in mesh.daemons:
            mesh.start_upstream(f"ledger-{host_id}", "stall-ledger", host_id)
        mesh.wait_until_listening()
        control = mesh.daemons["makola-0"].addresses.control
        arguments = ["apply", str(SHEET), "--wait"]
        options = ["--control-address", control, "--control-token", TOKEN]
        subprocess.run(
            [sys.executable, "-m", "flamingohead", *arguments, *options],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        yield mesh


class TestDeadHost:
    def test_no_call_is_refused_when_a_host_dies(self, mesh):
        ingress = mesh.daemons["makola-0"].addresses.ingress
        wait_for_upstreams(ingress, set(mesh.upstreams))
        mesh.daemons["makola-2"].process.kill()
        mesh.upstreams["ledger-makola-2"].process.kill()
        statuses = [call(ingress)[0] for _ in range(CALLS)]
        assert statuses == [200] * CALLS


class TestFailingUpstream:
    def test_upstream_that_returns_errors_gets_few_calls(self, mesh):
        ingress = mesh.daemons["makola-0"].addresses.ingress
        wait_for_upstreams(ingress, set(mesh.upstreams))
        failing = mesh.upstreams["ledger-makola-1"]
        connection = http.client.HTTPConnection(failing.address, timeout=10)
        connection.request("PUT", "/standin/settings", body='{"failing": true}')
        assert connection.getresponse().status == 200
        connection.close()
        statuses = [call(ingress)[0] for _ in range(CALLS)]
        # Five errors eject the upstream; its trial requests are at least half a second
        # apart.
        assert statuses.count(500) <= 5 + 8
        assert statuses.count(200) == CALLS - statuses.count(500)
