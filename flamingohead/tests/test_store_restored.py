"""Tests of a store restored from an earlier copy, in separate processes."""

from __future__ import annotations

import time
from contextlib import contextmanager

import pytest

from flamingohead.testing.hosts import (
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
)
from flamingohead.tests.test_subscription_processes import (
    IN_FORCE_SECONDS,
    request_status,
    wait_for_path,
)

START_SECONDS = 30.0
# Time limit for a starting daemon to receive data lost by the store from its peers.
CATCH_UP_SECONDS = 4.0


def build_routes(*names):
    return {"/a/": "ledger", **{f"/{name}/": "ledger" for name in names}}


@contextmanager
def run_mesh(directory, *, settle_seconds):
    """Run five daemons that serve a configuration and have joined each other."""
    with HostMesh(directory) as mesh:
        for number in range(5):
            mesh.add_host(f"h{number}", "ledger")
        mesh.write_row("op", "config", build_document(2, build_routes()))
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        time.sleep(settle_seconds)
        yield mesh


@pytest.fixture()
def mesh(tmp_path):
    # Daemons that started alone write their rows after they have joined each other.
    with run_mesh(tmp_path, settle_seconds=2.0) as mesh:
        yield mesh


class TestConfiguration:
    def test_configuration_lost_by_the_store_stays_in_force(self, mesh):
        hosts = mesh.hosts.values()
        mesh.back_up_store()
        lost = build_document(5, build_routes("lost"))
        mesh.write_row("op", "config", lost)
        assert wait_for_path(hosts, "/lost/x", seconds=IN_FORCE_SECONDS)
        mesh.restore_store()
        deadline = time.monotonic() + CATCH_UP_SECONDS
        while time.monotonic() < deadline:
            assert {request_status(host, "/lost/x") for host in hosts} == {200}
        # A daemon that starts now finds an older configuration in the store.
        fresh = mesh.add_host("fresh", "ledger")
        assert wait_for_path([fresh], "/a/x", seconds=START_SECONDS)
        assert wait_for_path([fresh], "/lost/x", seconds=CATCH_UP_SECONDS)
        # The store reuses its version numbers.
        mesh.write_row("op", "config", lost)
        document = build_document(6, build_routes("lost", "next"))
        mesh.write_row("op", "config", document)
        assert wait_for_path(hosts, "/next/x", seconds=IN_FORCE_SECONDS)

    def test_change_right_after_a_restore_is_in_force_in_time(self, mesh):
        hosts = mesh.hosts.values()
        mesh.back_up_store()
        for version in range(3, 6):
            routes = build_routes(f"v{version}")
            mesh.write_row("op", "config", build_document(version, routes))
        assert wait_for_path(hosts, "/v5/x", seconds=IN_FORCE_SECONDS)
        mesh.restore_store()
        for version in range(5, 9):
            routes = build_routes(f"v{version}")
            mesh.write_row("op", "config", build_document(version, routes))
        assert wait_for_path(hosts, "/v8/x", seconds=IN_FORCE_SECONDS)


class TestLeaves:
    def test_leave_lost_by_the_store_survives_a_restart(self, mesh):
        host = mesh.hosts["h1"]
        name = "i-leaving"
        born = int(time.time() * 1000) + 60_000
        beat = build_heartbeat(host, born=born)

        mesh.back_up_store()
        assert send_announcement(host, "PUT", name, beat) == 200
        assert send_announcement(host, "DELETE", name, {}) == 200
        mesh.restore_store()
        # Daemons that follow the store notify the others that it was restored.
        mesh.write_row("op", "config", build_document(3, build_routes("c")))
        assert wait_for_path([host], "/c/x", seconds=IN_FORCE_SECONDS)
        time.sleep(CATCH_UP_SECONDS)
        host.daemon.kill()
        mesh.start_daemon(host)
        assert wait_for_path([host], "/c/x", seconds=START_SECONDS)
        late = build_heartbeat(host, born=born, sequence=2)
        assert send_announcement(host, "PUT", name, late) == 200
        ready = f'"upstream": "{name}", "service": "ledger", "status": "READY"'
        assert host.daemon.log_path.read_text().count(ready) == 1
