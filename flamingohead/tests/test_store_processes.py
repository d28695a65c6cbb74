"""Tests of sheets, history and status in the platform's store, in processes."""

from __future__ import annotations

import time

import pytest

from flamingohead.testing.hosts import send_request
from flamingohead.testing.processes import (
    ROOT,
    LocalMesh,
    choose_address,
    run_command,
    wait_for_port,
)

WAIT_TIMEOUT = 30.0
SHEET = ROOT / "examples" / "kente-mirror.csv"


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("store")) as mesh:
        address = choose_address()
        arguments = ["-m", "flamingohead.standins", "store", "--listen", address]
        mesh._start("store", arguments)
        wait_for_port(address)
        url = f"store://{address}"
        for number in range(2):
            mesh.start_daemon(f"h{number}", "makola", table_url=url, objects_url=url)
        mesh.wait_until_listening()
        mesh.store_address = address
        mesh.store_url = url
        yield mesh


class TestSheetsInTheStore:
    def test_sheet_is_accepted_and_applied_by_every_daemon(self, mesh):
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        assert "accepted as version 1" in result.stdout

    def test_history_and_status_show_the_version(self, mesh):
        assert "version 1" in run_command(mesh, "status").stdout
        assert run_command(mesh, "history").stdout.split()[0].lstrip("v") == "1"

    def test_version_lost_by_the_store_is_rewritten(self, mesh):
        # The restored copy is that of the empty store.
        assert send_request(mesh.store_address, "PUT", "/restore", body=b"")[0] == 200
        deadline = time.monotonic() + WAIT_TIMEOUT
        while not run_command(mesh, "history").stdout.strip():
            assert time.monotonic() < deadline
            time.sleep(0.2)

    def test_restarted_daemons_read_the_version_from_the_store(self, mesh):
        for host_id, killed in list(mesh.daemons.items()):
            killed.process.kill()
            mesh.start_daemon(
                host_id,
                "makola",
                addresses=killed.addresses,
                table_url=mesh.store_url,
                objects_url=mesh.store_url,
            )
        mesh.wait_until_listening()
        deadline = time.monotonic() + WAIT_TIMEOUT
        while "version 1" not in run_command(mesh, "status").stdout:
            assert time.monotonic() < deadline
            time.sleep(0.2)
        repeated = run_command(mesh, "apply", str(SHEET))
        assert "version 1" in repeated.stdout
