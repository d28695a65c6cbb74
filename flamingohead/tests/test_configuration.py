"""Process tests of configuration: lost responses, outages, new daemons, crashes."""

from __future__ import annotations

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random
from unittest.mock import MagicMock

import pytest

from flamingohead.core.changes import Change
from flamingohead.core.dissemination import Dissemination
from flamingohead.core.errors import ErrorKind
from flamingohead.core.resources import EMPTY_SNAPSHOT
from flamingohead.core.versions import Replica, build_record
from flamingohead.services.configuration import ConfigurationService
from flamingohead.testing.fakes import create_service_resources
from flamingohead.testing.processes import (
    ROOT,
    TOKEN,
    LocalMesh,
    choose_address,
    run_command,
)

SHEET = ROOT / "examples" / "kente-mirror.csv"
WAIT_SECONDS = 30.0


def read_usage(address):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", "/usage")
    usage = json.loads(connection.getresponse().read())
    connection.close()
    return usage


def read_status(daemon):
    connection = http.client.HTTPConnection(daemon.addresses.control, timeout=10)
    headers = {"Authorization": f"Bearer {TOKEN}"}
    connection.request("GET", "/v1/status", headers=headers)
    body = json.loads(connection.getresponse().read())
    connection.close()
    return body


def wait_until(daemon, is_met):
    deadline = time.monotonic() + WAIT_SECONDS
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
    def test_response_lost_after_the_write_is_resolved(self, mesh):
        mesh.set_platform_faults(mesh.table_address, lose_answers=1)
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        assert "accepted as version 1" in result.stdout

    def test_daemon_started_in_an_outage_gets_the_version_of_its_peers(self, mesh):
        mesh.set_platform_faults(mesh.table_address, outage=True)
        mesh.set_platform_faults(mesh.objects_address, outage=True)
        seeds = mesh.daemons["osu-0"].addresses.peer
        daemon = mesh.start_daemon("osu-2", "osu", seeds=seeds)
        mesh.wait_until_listening()
        status = wait_until(daemon, lambda status: status["ready"])
        assert status["ready"]
        assert status["version"] == 1

    def test_domain_without_the_table_gets_the_version_of_another_domain(self, mesh):
        seeds = mesh.daemons["osu-0"].addresses.peer
        unreachable_url = f"http://{choose_address()}"
        daemon = mesh.start_daemon(
            "makola-0",
            "makola",
            seeds=seeds,
            table_url=unreachable_url,
            objects_url=unreachable_url,
        )
        mesh.wait_until_listening()
        status = wait_until(daemon, lambda status: status["ready"])
        assert status["ready"]
        assert status["version"] == 1
        assert [member["host_id"] for member in status["members"]] == ["makola-0"]

    def test_daemon_without_peers_does_not_serve_in_an_outage(self, mesh):
        daemon = mesh.start_daemon("tema-0", "tema")
        mesh.wait_until_listening()
        connection = http.client.HTTPConnection(daemon.addresses.ingress, timeout=10)
        connection.request("GET", "/ledger/lookup")
        response = connection.getresponse()
        assert response.status == 503
        assert response.headers["flamingohead-refusal"] == "no_configuration"
        assert response.headers["flamingohead-ran"] == "no"
        connection.close()
        assert not read_status(daemon)["ready"]

    def test_change_id_without_a_base_version_is_refused(self, mesh):
        result = run_command(mesh, "apply", str(SHEET), "--change-id", "some-change")
        assert result.returncode == 2
        assert "--base" in result.stderr

    def test_change_with_unknown_outcome_in_an_outage_can_be_repeated(self, mesh):
        options = ["--change-id", "asked-twice", "--base", "1"]
        sheet = str(ROOT / "examples" / "randuiala.csv")
        result = run_command(mesh, "apply", sheet, *options)
        assert result.returncode == 4, result.stdout
        assert "asked-twice" in result.stderr
        mesh.set_platform_faults(mesh.table_address)
        mesh.set_platform_faults(mesh.objects_address)
        repeated = [run_command(mesh, "apply", sheet, *options) for _ in range(2)]
        for result in repeated:
            assert "accepted as version 2" in result.stdout, result.stderr

    def test_daemon_killed_while_accepting_leaves_one_outcome(self, mesh, tmp_path):
        sheet = tmp_path / "sheet.csv"
        sheet.write_text(SHEET.read_text().replace("2000", "2001"))
        options = ["--change-id", "killed-between", "--base", "2"]
        first, second = mesh.daemons["osu-1"], mesh.daemons["osu-0"]
        mesh.set_platform_faults(mesh.table_address, delay_ms=200, lose_answers=1)
        with ThreadPoolExecutor(1) as pool:
            control = first.addresses.control
            pending = pool.submit(
                run_command, mesh, "apply", str(sheet), *options, control=control
            )
            writes = read_usage(mesh.table_address)["writes"]
            while read_usage(mesh.table_address)["writes"] == writes:
                if pending.done():
                    break
            first.process.kill()
            assert pending.result().returncode in (0, 4)
        mesh.set_platform_faults(mesh.table_address)
        control = second.addresses.control
        for _ in range(2):
            result = run_command(mesh, "apply", str(sheet), *options, control=control)
            assert "accepted as version 3" in result.stdout, result.stderr


class FakeKernel:
    """Provide a mock for each service that is requested."""

    def __init__(self):
        self.services = {}

    def get(self, name):
        return self.services.setdefault(name, MagicMock())


class TestReadyService:
    def test_version_is_not_served_until_the_newest_is_known(self):
        dissemination = Dissemination(Replica(), random=Random(0))
        service = ConfigurationService(FakeKernel(), dissemination)
        change = Change(tuple(create_service_resources("a")))
        record = build_record(
            EMPTY_SNAPSHOT, change, change_id="c", author="t", accepted_at=0.0
        )
        service.receive_record(record)
        assert service.replica.version == 1
        refusal = service.routes.match("GET", "/a")
        assert refusal.kind is ErrorKind.NO_CONFIGURATION
        service._run(dissemination.record_table_read(0.0))
        assert service.routes.match("GET", "/a").pool.name == "a-pool"
