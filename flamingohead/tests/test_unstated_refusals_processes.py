"""Test that a request that ran is not denied by the status of its upstream."""

from __future__ import annotations

import pytest

from flamingohead.testing.hosts import HostMesh, build_document
from flamingohead.tests.test_platform_processes import is_ready, wait_until
from flamingohead.tests.test_repeated_refusals_processes import (
    ROUTES,
    read_standin,
    send,
)


@pytest.fixture(scope="class")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hosts")) as mesh:
        for number in range(2):
            mesh.add_host(f"h{number}", "ledger")
        mesh.write_row("op", "config", build_document(2, ROUTES))
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
            assert wait_until(lambda host=host: send(host, "/ledger/", "first") == 200)
        yield mesh


def count_runs(mesh, request_id):
    runs = [run for h in mesh.hosts.values() for run in read_standin(h, "runs")]
    return [run["id"] for run in runs].count(request_id)


class TestUnstatedRefusals:
    @pytest.mark.parametrize("status", [408, 429, 503])
    @pytest.mark.parametrize(("path", "runs"), [("/unsafe/", 1), ("/ledger/", 2)])
    def test_request_that_ran_is_not_denied(self, mesh, path, runs, status):
        request_id = f"{path.strip('/')}-{status}"
        host = mesh.hosts["h0"]
        answer = send(host, f"{path}?status={status}", request_id, method="POST")
        assert answer == 502
        assert count_runs(mesh, request_id) == runs
