"""Test that no status denies the execution of a request that ran."""

from __future__ import annotations

from collections import Counter

import pytest

from flamingohead.testing.hosts import HostMesh, build_document, send_request
from flamingohead.tests.test_platform_processes import is_ready, wait_until
from flamingohead.tests.test_repeated_refusals_processes import (
    ROUTES,
    read_standin,
    send,
)

REQUESTS = 12


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hosts")) as mesh:
        for number in range(2):
            mesh.add_host(f"h{number}", "ledger")
        mesh.write_row("op", "config", build_document(2, ROUTES))
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
        assert wait_until(lambda: has_reached_all(mesh))
        yield mesh


def list_runs(host):
    return [run["id"] for run in read_standin(host, "runs")]


def has_reached_all(mesh):
    """Return whether the daemon of the first host sends requests to all upstreams."""
    send(mesh.hosts["h0"], "/ledger/", "first")
    return all("first" in list_runs(host) for host in mesh.hosts.values())


def count_runs(mesh, request_id):
    return sum(list_runs(host).count(request_id) for host in mesh.hosts.values())


class TestUnstatedRefusals:
    @pytest.mark.parametrize("status", [408, 429, 503])
    @pytest.mark.parametrize(("path", "runs"), [("/unsafe/", 1), ("/ledger/", 2)])
    def test_request_that_ran_is_not_denied(self, mesh, path, runs, status):
        request_id = f"{path.strip('/')}-{status}"
        host = mesh.hosts["h0"]
        answer = send(host, f"{path}?status={status}", request_id, method="POST")
        assert answer == 502
        assert count_runs(mesh, request_id) == runs


class TestEarlierAttempts:
    def test_request_that_ran_earlier_is_not_denied(self, mesh):
        path = "/ledger/?refusals=1&cut=1"
        statuses, runs = [], []
        for number in range(REQUESTS):
            request_id = f"cut-{number}"
            # This upstream runs the request, and the other one refuses it.
            running = mesh.hosts[f"h{number % 2}"]
            headers = {"Request-Id": request_id}
            send_request(running.upstream, "GET", path, headers=headers)
            statuses.append(send(mesh.hosts["h0"], path, request_id))
            runs.append(count_runs(mesh, request_id))
        assert runs == REQUESTS * [1]
        assert Counter(statuses) == {502: REQUESTS}
