"""Test that a duplicate of a refusal never denies that a request was executed."""

from __future__ import annotations

import json

import pytest

from flamingohead.testing.processes import LocalMesh, run_command
from flamingohead.tests.test_keys_processes import (
    PATH,
    SERVICE,
    SHEET,
    KeyMesh,
    send,
    wait_until,
)

ROUNDS = 4
MAX_ATTEMPTS = 3
# Long enough for a duplicate to arrive before the response.
SERVICE_MS = 40.0


class _Caller:
    """Send requests of which the upstream refuses the first attempt."""

    def __init__(self, mesh):
        self.keys = KeyMesh(mesh)
        (daemon,) = mesh.daemons.values()
        (upstream,) = mesh.upstreams.values()
        self._ingress = daemon.addresses.ingress
        self._upstream = upstream.address
        self.denials = []
        self.counts = []

    def hand_over(self, name, *, keyed, build_id=lambda name, attempt: name):
        """Repeat a request until it isn't refused as not executed."""
        before = self.count_executions()
        self.keys.set_upstreams(refusals=1)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            request_id = build_id(name, attempt)
            headers = {"Request-Id": request_id} if request_id else {}
            if keyed:
                headers |= {"Idempotency-Key": name}
                headers |= {"Idempotency-Attempt": str(attempt)}
            executed = self.count_executions()
            reply = send(self._ingress, "POST", PATH, headers)
            if reply.status == 503 and self.count_executions() > executed:
                self.denials.append((name, attempt, reply))
            if reply.status != 503:
                break
        self.counts.append(self.count_executions() - before)

    def count_executions(self):
        body = send(self._upstream, "GET", "/standin/journal").body
        return json.loads(body)["counters"]["executed"]


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("refused")) as mesh:
        mesh.start_platform()
        mesh.start_daemon("osu-0", "osu")
        mesh.start_upstream("ledger-0", SERVICE, "osu-0", service_ms=SERVICE_MS)
        mesh.wait_until_listening()
        assert run_command(mesh, "apply", str(SHEET), "--wait").returncode == 0
        keys = KeyMesh(mesh)
        wait_until(lambda: keys.hand_over("osu-0", "first").status == 200)
        yield mesh


class TestRefusedRequests:
    @pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "unkeyed"])
    @pytest.mark.parametrize("duplicate", ["next", "0", "10", "30"])
    def test_duplicate_of_a_refusal_denies_no_execution(self, mesh, duplicate, keyed):
        caller = _Caller(mesh)
        caller.keys.set_upstreams(duplicate=duplicate)
        for number in range(ROUNDS):
            caller.hand_over(f"{duplicate}-{keyed}-{number}", keyed=keyed)
        assert caller.denials == []
        assert caller.counts == [1] * ROUNDS


class TestRefusalsWithoutAnId:
    """Guard against refusals whose duplicate passes for the next response."""

    @pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "unkeyed"])
    @pytest.mark.parametrize(
        ("refuses_with_id", "build_id"),
        [
            pytest.param(
                False, lambda name, attempt: f"{name}-{attempt}", id="refusal"
            ),
            pytest.param(True, lambda name, attempt: "", id="request"),
            pytest.param(False, lambda name, attempt: "", id="both"),
        ],
    )
    def test_duplicate_without_an_id_denies_no_execution(
        self, mesh, refuses_with_id, build_id, keyed
    ):
        caller = _Caller(mesh)
        caller.keys.set_upstreams(duplicate="next", refuses_with_id=refuses_with_id)
        for number in range(ROUNDS):
            name = f"{refuses_with_id}-{build_id('', 1)}-{keyed}-{number}"
            caller.hand_over(name, keyed=keyed, build_id=build_id)
        caller.keys.set_upstreams(duplicate="", refuses_with_id=True)
        assert caller.denials == []
        assert caller.counts == [1] * ROUNDS
