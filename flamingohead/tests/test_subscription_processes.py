"""Tests, in separate processes, of daemons that follow the source for others."""

from __future__ import annotations

import json
import re
import signal
import time

import pytest

from flamingohead.core.subscription import SUBSCRIBERS_PER_DOMAIN
from flamingohead.testing.hosts import HostMesh, build_document, send_request
from flamingohead.testing.links import LimitedLink
from flamingohead.testing.processes import choose_address


def read_counter(host, name):
    page = send_request(host.metrics, "GET", "/metrics")[2].decode()
    found = re.search(rf'name="{re.escape(name)}"\}} ([\d.]+)', page)
    return float(found[1]) if found else 0.0


def wait_for_path(hosts, path, *, seconds):
    """Return whether all hosts serve a path within some seconds."""
    return wait_for_status(hosts, 200, path=path, seconds=seconds)


def wait_for_status(hosts, status, *, path="/a/x", seconds):
    """Return whether all hosts answer with a status within some seconds."""
    deadline = time.monotonic() + seconds
    pending = list(hosts)
    while pending and time.monotonic() < deadline:
        pending = [host for host in pending if request_status(host, path) != status]
        time.sleep(0.02)
    return not pending


def request_status(host, path):
    headers = {
        "Host": "ledger.example",
        "Request-Id": f"r{time.monotonic_ns()}",
        "Request-Deadline": "1000",
    }
    try:
        return send_request(host.ingress, "GET", path, headers=headers)[0]
    except OSError:
        return 0


def read_changes(host):
    """Return the logged changes of a daemon's role in following the source."""
    lines = host.daemon.log_path.read_text().splitlines()
    return [json.loads(line)["fields"] for line in lines if '"event": 212' in line]


def list_subscribers(mesh):
    return [
        host
        for host in mesh.hosts.values()
        if (read_changes(host) or [{}])[-1].get("asks_source") == "True"
    ]


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("subscription")) as mesh:
        for number in range(6):
            mesh.add_host(f"h{number}", "ledger")
        # The first configuration is written after all daemons have requested one.
        assert wait_for_status(mesh.hosts.values(), 503, seconds=30.0)
        time.sleep(2.0)
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=5.0)
        # Daemons that started alone query the source until they have joined each other.
        deadline = time.monotonic() + 20.0
        while len(list_subscribers(mesh)) != SUBSCRIBERS_PER_DOMAIN:
            assert time.monotonic() < deadline
            time.sleep(0.1)
        yield mesh


# Strictest time limit of a deployment for a change to be in force, in seconds.
IN_FORCE_SECONDS = 2.0


class TestProcesses:
    """Six daemons of one failure domain on the platform's protocol."""

    def test_changes_cost_the_source_one_answer_per_subscriber(self, mesh):
        hosts = list(mesh.hosts.values())
        time.sleep(1.0)
        before = sum(read_counter(host, "store.rows-feed") for host in hosts)
        for version in range(3, 8):
            routes = {"/a/": "ledger", f"/v{version}/": "ledger"}
            mesh.write_row("op", "config", build_document(version, routes))
            path = f"/v{version}/x"
            assert wait_for_path(hosts, path, seconds=IN_FORCE_SECONDS)
            time.sleep(0.7)
        after = sum(read_counter(host, "store.rows-feed") for host in hosts)
        assert after - before <= 5 * SUBSCRIBERS_PER_DOMAIN + 2

    def test_change_is_in_force_after_subscribers_were_killed(self, mesh):
        subscribers = list_subscribers(mesh)
        remaining = [host for host in mesh.hosts.values() if host not in subscribers]
        for host in subscribers:
            host.daemon.kill()
        routes = {"/a/": "ledger", "/killed/": "ledger"}
        mesh.write_row("op", "config", build_document(9, routes))
        assert wait_for_path(remaining, "/killed/x", seconds=IN_FORCE_SECONDS)


class TestPlannedStops:
    """Guard against subscribers that vouch for a source which they no longer ask."""

    SMALL = {"cpu-cores": 1, "cpu-share": 0.43, "link-mbps": 7.0}
    # The subscribers of a failure domain. They stop at once, and stay in the mesh for
    # some seconds, since no other host serves their service.
    SUBSCRIBERS = ("large0", "large1")
    ROUTES = {"/a/": "ledger", "/b/": "archive"}

    def test_change_is_in_force_while_all_subscribers_stop(self, tmp_path):
        with HostMesh(tmp_path) as mesh:
            for name in self.SUBSCRIBERS:
                mesh.add_host(name, "archive")
            for number in range(3):
                mesh.add_host(f"small{number}", "ledger", limits=self.SMALL)
            hosts = mesh.hosts.values()
            mesh.write_row("op", "config", build_document(2, self.ROUTES))
            assert wait_for_path(hosts, "/a/x", seconds=30.0)
            # Until the daemons have joined, each of them may ask the source itself.
            time.sleep(2.0)
            subscribers = [mesh.hosts[name] for name in self.SUBSCRIBERS]
            deadline = time.monotonic() + 20.0
            while list_subscribers(mesh) != subscribers:
                assert time.monotonic() < deadline
                time.sleep(0.1)
            for host in subscribers:
                host.daemon.popen.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            routes = {**self.ROUTES, "/stopping/": "ledger"}
            mesh.write_row("op", "config", build_document(3, routes))
            remaining = [host for host in hosts if host not in subscribers]
            assert wait_for_path(remaining, "/stopping/x", seconds=IN_FORCE_SECONDS)


class TestSmallLinks:
    # A burst of requests leaves a quarter of a link of 3.5 Mbit/s.
    LINK_BYTES_PER_SECOND = 3.5e6 / 8 / 4
    LIMITS = {"cpu-cores": 1, "cpu-share": 0.43, "link-mbps": 3.5}

    def test_routes_are_served_where_the_document_does_not_fit_the_link(self, tmp_path):
        with HostMesh(tmp_path) as mesh:
            for number in range(SUBSCRIBERS_PER_DOMAIN):
                mesh.add_host(f"h{number}", "ledger")
            address = choose_address()
            rate = self.LINK_BYTES_PER_SECOND
            link = LimitedLink(address, mesh.store, bytes_per_second=rate)
            small = mesh.add_host("small", "ledger", store=address, limits=self.LIMITS)
            hosts = mesh.hosts.values()
            mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
            assert wait_for_path(hosts, "/a/x", seconds=30.0)
            time.sleep(2.0)
            assert small not in list_subscribers(mesh)
            routes = {f"/{n:x}/{n}/": "ledger" for n in range(1160)}
            document = build_document(3, {"/a/": "ledger", **routes})
            mesh.write_row("op", "config", document)
            assert wait_for_path(hosts, "/487/1159/x", seconds=IN_FORCE_SECONDS)
            link.close()
