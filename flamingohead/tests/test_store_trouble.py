"""Tests of configuration changes around faults of the store, in separate processes."""

from __future__ import annotations

import itertools
import json
import time
from collections import Counter
from contextlib import contextmanager

import pytest

from flamingohead.testing.hosts import HostMesh, build_document, send_request
from flamingohead.tests.test_silent_store import STABLE_WINDOW_SECONDS
from flamingohead.tests.test_store_restored import START_SECONDS
from flamingohead.tests.test_subscription_processes import (
    IN_FORCE_SECONDS,
    request_status,
    wait_for_path,
)

FAULTS = {
    "silent": {"silent": True},
    "refusing": {"refuse": 503},
    "slow": {"delay_ms": 500},
}
TROUBLE_SECONDS = 2.0
WORK_PATH = "/a/x?work-ms=300"
SHORT_TIMEOUT_MS = 100
LONG_TIMEOUT_MS = 1000
WEIGHTS = {"ledger": 3, "archive": 1}
CHANGED_WEIGHTS = {"ledger": 1, "archive": 3}
REQUESTS_PER_HOST = 8


@pytest.fixture(scope="module")
def running_mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("trouble")) as mesh:
        for name, service in [("l0", "ledger"), ("l1", "ledger"), ("a0", "archive")]:
            mesh.add_host(name, service)
        mesh.versions = itertools.count(2)
        wait_for_version(mesh, write_version(mesh), seconds=START_SECONDS)
        # Daemons that started alone query the source until they have joined each other.
        time.sleep(4.0)
        yield mesh


@pytest.fixture()
def mesh(running_mesh):
    # Daemons that are late after the last test do not fail this one.
    wait_for_version(running_mesh, write_version(running_mesh), seconds=START_SECONDS)
    running_mesh.back_up_store()
    yield running_mesh
    running_mesh.set_faults()


@pytest.fixture(params=[*FAULTS, "restored"])
def trouble(request, mesh):
    """Return a context manager within which the store is in trouble."""

    @contextmanager
    def cause_trouble():
        if request.param == "restored":
            mesh.restore_store()
        else:
            mesh.set_faults(**FAULTS[request.param])
        time.sleep(TROUBLE_SECONDS)
        yield
        mesh.set_faults()

    return cause_trouble


def write_version(mesh, destination="ledger", **changes):
    """Write the next version, which adds a route of its own; return its number."""
    version = next(mesh.versions)
    routes = {"/a/": destination, f"/v{version}/": "ledger", "/archive/": "archive"}
    mesh.write_row("op", "config", build_document(version, routes, **changes))
    return version


def wait_for_version(mesh, version, *, seconds):
    assert wait_for_path(mesh.hosts.values(), f"/v{version}/x", seconds=seconds)


def request_statuses(mesh, path):
    return [request_status(host, path) for host in mesh.hosts.values()]


def count_runs(mesh, path):
    """Return the number of executed requests with a path by service."""
    counts = Counter()
    for host in mesh.hosts.values():
        runs = json.loads(send_request(host.upstream, "GET", "/standin/runs")[2])
        counts[host.service] += sum(run["path"] == path for run in runs)
    return counts


def check_weights(mesh, weights):
    """Check that the requests of each daemon are distributed by weight."""
    for host in mesh.hosts.values():
        path = f"/a/{time.monotonic_ns()}"
        statuses = {request_status(host, path) for _ in range(REQUESTS_PER_HOST)}
        assert statuses == {200}
        unit = REQUESTS_PER_HOST / sum(weights.values())
        assert count_runs(mesh, path) == {s: w * unit for s, w in weights.items()}


def count_rejections(mesh):
    logs = (host.daemon.log_path.read_text() for host in mesh.hosts.values())
    return sum(log.count('"event": 201') for log in logs)


class TestInvalidVersions:
    @pytest.mark.parametrize("invalid", ["incomplete", "unknown service"])
    def test_invalid_version_is_not_taken(self, mesh, trouble, invalid):
        version = write_version(mesh)
        wait_for_version(mesh, version, seconds=IN_FORCE_SECONDS)
        rejections = count_rejections(mesh)
        with trouble():
            changes = {} if invalid == "incomplete" else {"clusters": []}
            number = next(mesh.versions)
            document = build_document(number, {"/invalid/": "ledger"}, **changes)
            if invalid == "incomplete":
                document = document[:-1]
            mesh.write_row("op", "config", document)
            assert request_statuses(mesh, f"/v{version}/x") == [200, 200, 200]
        deadline = time.monotonic() + STABLE_WINDOW_SECONDS
        while time.monotonic() < deadline:
            assert request_statuses(mesh, f"/v{version}/x") == [200, 200, 200]
            assert request_statuses(mesh, "/invalid/x") == [404, 404, 404]
        assert count_rejections(mesh) > rejections
        version = write_version(mesh)
        wait_for_version(mesh, version, seconds=IN_FORCE_SECONDS)


class TestTimeouts:
    def test_timeout_of_a_route_holds_until_it_is_changed(self, mesh, trouble):
        version = write_version(mesh, timeout_ms=SHORT_TIMEOUT_MS)
        wait_for_version(mesh, version, seconds=IN_FORCE_SECONDS)
        with trouble():
            assert request_statuses(mesh, WORK_PATH) == [504, 504, 504]
            version = write_version(mesh, timeout_ms=LONG_TIMEOUT_MS)
        wait_for_version(mesh, version, seconds=STABLE_WINDOW_SECONDS)
        assert request_statuses(mesh, WORK_PATH) == [200, 200, 200]


class TestWeights:
    def test_weights_of_a_route_hold_until_they_are_changed(self, mesh, trouble):
        version = write_version(mesh, WEIGHTS)
        wait_for_version(mesh, version, seconds=IN_FORCE_SECONDS)
        with trouble():
            check_weights(mesh, WEIGHTS)
            version = write_version(mesh, CHANGED_WEIGHTS)
        wait_for_version(mesh, version, seconds=STABLE_WINDOW_SECONDS)
        check_weights(mesh, CHANGED_WEIGHTS)
