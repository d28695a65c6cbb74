"""Tests of keys across processes: concurrency, cuts, outages, stops and kills."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh

SHEET = ROOT / "examples" / "kente-mirror.csv"
SERVICE = "stall-ledger"
PATH = "/ledger/hand-over"
WAIT_TIMEOUT = 30.0


@dataclass(frozen=True)
class Reply:
    status: int
    refusal: str | None
    ran: str | None
    body: bytes


def send(address, method, path, headers=None, body=None):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request(method, path, body, headers or {})
    response = connection.getresponse()
    reply = Reply(
        response.status,
        response.getheader("flamingohead-refusal"),
        response.getheader("flamingohead-ran"),
        response.read(),
    )
    connection.close()
    return reply


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


class KeyMesh:
    """Send requests through a small mesh and read the upstreams' journals."""

    def __init__(self, mesh):
        self.mesh = mesh

    def hand_over(self, host_id, key, attempt=None, **headers):
        address = self.mesh.daemons[host_id].addresses.ingress
        headers = {"Idempotency-Key": key, "Request-Id": key[-8:], **headers}
        if attempt is not None:
            headers["Idempotency-Attempt"] = str(attempt)
        return send(address, "POST", PATH, headers)

    def make_key(self, host_id, suffix):
        address = self.mesh.daemons[host_id].addresses.ingress
        reply = send(address, "GET", "/.flamingohead/key-scope")
        return json.loads(reply.body)["scope"] + suffix

    def find_runs(self, key):
        runs = []
        for upstream in self.mesh.upstreams.values():
            journal = send(upstream.address, "GET", "/standin/journal").body
            entries = json.loads(journal)["entries"]
            runs += [upstream.name for entry in entries if entry["key"] == key]
        return runs

    def set_upstreams(self, **settings):
        for upstream in self.mesh.upstreams.values():
            body = json.dumps(settings)
            send(upstream.address, "PUT", "/standin/settings", body=body)

    def set_outage(self, outage):
        self.mesh.set_platform_faults(self.mesh.table_address, outage=outage)


@pytest.fixture(scope="module")
def keys(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("keys")) as mesh:
        mesh.start_platform()
        for number in range(4):
            mesh.start_daemon(f"osu-{number}", "osu")
        for number in range(2):
            mesh.start_upstream(f"ledger-{number}", SERVICE, f"osu-{number}")
        mesh.wait_until_listening()
        control = mesh.daemons["osu-0"].addresses.control
        subprocess.run(
            [sys.executable, "-m", "flamingohead", "apply", str(SHEET), "--wait"]
            + ["--control-address", control, "--control-token", TOKEN],
            cwd=ROOT,
            check=True,
            capture_output=True,
            timeout=60,
        )
        keys = KeyMesh(mesh)
        for number, host_id in enumerate(mesh.daemons):
            wait_until(lambda: keys.hand_over(host_id, f"first-{number}").status == 200)
        yield keys


class TestKeysAcrossProcesses:
    def test_key_sent_to_all_daemons_at_once_runs_once(self, keys):
        keys.set_upstreams(service_ms=100.0)
        hosts = list(keys.mesh.daemons) * 2
        with ThreadPoolExecutor(len(hosts)) as pool:
            replies = list(pool.map(lambda h: keys.hand_over(h, "at-once"), hosts))
        keys.set_upstreams(service_ms=5.0)
        assert {reply.status for reply in replies} == {200}
        assert len({reply.body for reply in replies}) == 1
        assert len(keys.find_runs("at-once")) == 1

    def test_answer_cut_after_execution_is_unknown_everywhere(self, keys):
        keys.set_upstreams(cut_answers=1)
        try:
            reply = keys.hand_over("osu-2", "cut", 1)
        except (http.client.IncompleteRead, ConnectionError):
            pass  # The connection was cut after the response head arrived.
        else:
            assert (reply.refusal, reply.ran) == ("upstream_cut", "unknown")
        keys.set_upstreams(cut_answers=0)
        for host_id in keys.mesh.daemons:
            reply = keys.hand_over(host_id, "cut", 2)
            assert (reply.refusal, reply.ran) == ("key_outcome_unknown", "unknown")
        assert len(keys.find_runs("cut")) == 1

    def test_key_reused_with_another_body_is_refused(self, keys):
        assert keys.hand_over("osu-2", "reused").status == 200
        address = keys.mesh.daemons["osu-3"].addresses.ingress
        headers = {"Idempotency-Key": "reused"}
        reply = send(address, "POST", PATH, headers, "another hand-over")
        assert (reply.status, reply.refusal) == (422, "key_reused")
        assert len(keys.find_runs("reused")) == 1

    def test_outage_refuses_claims_and_serves_scoped_keys(self, keys):
        keys.set_outage(True)
        without_attempt = keys.hand_over("osu-2", "outage-1")
        first = keys.hand_over("osu-2", "outage-2", 1)
        scoped = keys.make_key("osu-3", "outage-3")
        replies = [keys.hand_over(host_id, scoped) for host_id in keys.mesh.daemons]
        keys.set_outage(False)
        assert (without_attempt.refusal, without_attempt.ran) == (
            "claim_unavailable",
            "unknown",
        )
        assert (first.refusal, first.ran) == ("claim_unavailable", "no")
        assert {reply.status for reply in replies} == {200}
        assert len(keys.find_runs(scoped)) == 1
        assert keys.find_runs("outage-1") + keys.find_runs("outage-2") == []

    def test_suspended_home_is_unknown_and_runs_once_when_resumed(self, keys):
        key = keys.make_key("osu-3", "frozen")
        home = keys.mesh.daemons["osu-3"].process.popen
        home.send_signal(signal.SIGSTOP)
        headers = {"Request-Timeout-Ms": "300"}
        replies = [keys.hand_over("osu-2", key, n, **headers) for n in (1, 2)]
        home.send_signal(signal.SIGCONT)
        assert {reply.ran for reply in replies} == {"unknown"}
        wait_until(lambda: keys.hand_over("osu-0", key, 3).status == 200)
        assert len(keys.find_runs(key)) == 1

    def test_stopped_home_transfers_its_answers(self, keys):
        key = keys.make_key("osu-3", "stopped")
        answered = keys.hand_over("osu-2", key)
        home = keys.mesh.daemons["osu-3"].process
        home.terminate()
        assert home.wait() == 0
        for host_id in ("osu-0", "osu-2"):
            assert keys.hand_over(host_id, key) == answered
        late = keys.make_key("osu-2", "x").replace("osu-2", "osu-3")
        assert keys.hand_over("osu-2", late).refusal == "key_scope_invalid"
        assert len(keys.find_runs(key)) == 1

    def test_killed_owner_leaves_the_outcome_unknown(self, keys):
        keys.set_upstreams(service_ms=1500.0)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(keys.hand_over, "osu-2", "killed", 1)
            wait_until(lambda: keys.find_runs("killed"))
            (upstream,) = keys.find_runs("killed")
            owner = upstream.replace("ledger", "osu")
            keys.mesh.daemons[owner].process.kill()
            assert first.result().ran == "unknown"
        keys.set_upstreams(service_ms=5.0)
        reply = keys.hand_over("osu-2", "killed", 2)
        assert reply.ran == "unknown"
        assert keys.find_runs("killed") == [upstream]
