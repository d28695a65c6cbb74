"""Configuration across process borders: lost answers, outages, fresh daemons."""

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
PATIENCE = 30.0


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
        mesh.set_platform_faults(mesh.table_address, lose_answers=1)
        result = run_command(mesh, "apply", str(SHEET), "--wait")
        assert result.returncode == 0, result.stderr
        assert "accepted as version 1" in result.stdout

    def test_daemon_that_starts_in_an_outage_takes_what_its_peers_hold(self, mesh):
        mesh.set_platform_faults(mesh.table_address, outage=True)
        mesh.set_platform_faults(mesh.objects_address, outage=True)
        seeds = mesh.daemons["osu-0"].addresses.peer
        fresh = mesh.start_daemon("osu-2", "osu", seeds=seeds)
        mesh.wait_until_listening()
        status = wait_until(fresh, lambda status: status["ready"])
        assert status["ready"]
        assert status["version"] == 1

    def test_domain_without_the_table_takes_what_another_domain_holds(self, mesh):
        seeds = mesh.daemons["osu-0"].addresses.peer
        away = f"http://{choose_address()}"
        lone = mesh.start_daemon(
            "makola-0", "makola", seeds=seeds, table_url=away, objects_url=away
        )
        mesh.wait_until_listening()
        status = wait_until(lone, lambda status: status["ready"])
        assert status["ready"]
        assert status["version"] == 1
        assert [member["host_id"] for member in status["members"]] == ["makola-0"]

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
        mesh.set_platform_faults(mesh.table_address)
        mesh.set_platform_faults(mesh.objects_address)
        again = [run_command(mesh, "apply", sheet, *options) for _ in range(2)]
        for result in again:
            assert "accepted as version 2" in result.stdout, result.stderr

    def test_daemon_killed_while_it_accepts_leaves_one_outcome(self, mesh, tmp_path):
        sheet = tmp_path / "sheet.csv"
        sheet.write_text(SHEET.read_text().replace("2000", "2001"))
        options = ["--change-id", "killed-between", "--base", "2"]
        first, second = mesh.daemons["osu-1"], mesh.daemons["osu-0"]
        mesh.set_platform_faults(mesh.table_address, delay_ms=200, lose_answers=1)
        with ThreadPoolExecutor(1) as pool:
            control = first.addresses.control
            asking = pool.submit(
                run_command, mesh, "apply", str(sheet), *options, control=control
            )
            writes = read_usage(mesh.table_address)["writes"]
            while read_usage(mesh.table_address)["writes"] == writes:
                if asking.done():
                    break
            first.process.kill()
            assert asking.result().returncode in (0, 4)
        mesh.set_platform_faults(mesh.table_address)
        control = second.addresses.control
        for _ in range(2):
            result = run_command(mesh, "apply", str(sheet), *options, control=control)
            assert "accepted as version 3" in result.stdout, result.stderr


class FakeKernel:
    """Give one service whatever it asks for."""

    def __init__(self):
        self.services = {}

    def get(self, name):
        return self.services.setdefault(name, MagicMock())


class TestReadyService:
    def test_version_taken_before_the_newest_is_known_serves_nobody(self):
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
