"""Configuration across process borders: lost answers, outages, fresh daemons."""

from __future__ import annotations

import http.client
import json
import time

import pytest

from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh, run_command

SHEET = ROOT / "examples" / "kente-mirror.csv"
PATIENCE = 30.0


def set_faults(address, **faults):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("PUT", "/faults", body=json.dumps(faults))
    status = connection.getresponse().status
    connection.close()
    assert status == 200


def read_status(daemon):
    connection = http.client.HTTPConnection(daemon.addresses.control, timeout=10)
    headers = {"Authorization": f"Bearer {TOKEN}"}
    connection.request("GET", "/v1/status", headers=headers)
    body = json.loads(connection.getresponse().read())
    connection.close()
    return body


def wait_until(daemon, is_met):
    deadline = time.monotonic() + PATIENCE
    while True:
        status = read_status(daemon)
        if is_met(status) or time.monotonic() > deadline:
            return status
        time.sleep(0.1)


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("mesh")) as mesh:
        mesh.start_platform()
        mesh.start_daemon("osu-0", "osu")
        mesh.start_daemon("osu-1", "osu")
        mesh.wait_until_listening()
        for daemon in mesh.daemons.values():
            wait_until(daemon, lambda status: len(status["members"]) == 2)
        yield mesh


class TestConfigurationAcrossProcesses:
    def test_answer_lost_after_the_write_is_resolved(self, mesh):
        set_faults(mesh.table_address, lose_answers=1)
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        assert "accepted as version 1" in result.stdout

    def test_daemon_that_starts_in_an_outage_takes_what_its_peers_hold(self, mesh):
        set_faults(mesh.table_address, outage=True)
        set_faults(mesh.objects_address, outage=True)
        seeds = mesh.daemons["osu-0"].addresses.peer
        fresh = mesh.start_daemon("osu-2", "osu", seeds=seeds)
        mesh.wait_until_listening()
        status = wait_until(fresh, lambda status: status["ready"])
        assert status["ready"]
        assert status["version"] == 1

    def test_alone_in_an_outage_a_daemon_does_not_serve(self, mesh):
        alone = mesh.start_daemon("tema-0", "tema")
        mesh.wait_until_listening()
        connection = http.client.HTTPConnection(alone.addresses.ingress, timeout=10)
        connection.request("GET", "/ledger/lookup")
        response = connection.getresponse()
        assert response.status == 503
        assert response.headers["flamingohead-refusal"] == "no_configuration"
        assert response.headers["flamingohead-ran"] == "no"
        connection.close()
        assert not read_status(alone)["ready"]

    def test_change_id_without_its_base_is_refused(self, mesh):
        result = run_command(mesh, "apply", str(SHEET), "--change-id", "some-change")
        assert result.returncode == 2
        assert "--base" in result.stderr

    def test_change_in_an_outage_is_not_known_yet_and_asked_again(self, mesh):
        options = ["--change-id", "asked-twice", "--base", "1"]
        sheet = str(ROOT / "examples" / "randuiala.csv")
        result = run_command(mesh, "apply", sheet, *options)
        assert result.returncode == 4, result.stdout
        assert "asked-twice" in result.stderr
        set_faults(mesh.table_address)
        set_faults(mesh.objects_address)
        again = [run_command(mesh, "apply", sheet, *options) for _ in range(2)]
        for result in again:
            assert "accepted as version 2" in result.stdout, result.stderr
