"""Test that a duplicate of a refusal never makes a daemon deny an execution."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter, deque
from dataclasses import dataclass, field

import pytest

from flamingohead.core.connection_reuse import MAX_UPSTREAM_IDLE_SECONDS
from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_platform_processes import is_ready, wait_until

ROUTES = {
    "/ledger/": "ledger",
    "/unsafe/": "ledger",
    "/archive/": "archive",
    "/unsafe-archive/": "archive",
}
# Statuses that state that a request has not been executed and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# When the duplicate is written: in milliseconds after the refusal, or before the
# response to the next request of the connection. The last may cut that request.
DUPLICATES = ("0", "2", "10", "next")
DEADLINE_MS = 1000
TARGET_MS = 5000
BLOCKING_MS = 400
# The parents of nested calls run until all calls have been repeated.
PARENT_MS = 2000
# Too short to wait for a slot that is taken.
RETURN_DEADLINE_MS = 300
# Longer than an upstream runs a request that was given up.
SETTLE_SECONDS = 0.03
MIN_RETURNED = 4
ROUND_LIMIT = 40
REPEATED_IDS = 4
# A budget that no retry of these tests exceeds.
BOUNDS = {"drain": "2000ms", "grace": "6s", "budget-slack": 1000}


def build_configuration():
    """Build a document whose targets leave requests time to wait for a slot."""
    document = json.loads(build_document(2, ROUTES))
    for rule in document["listeners"][0]["route-rules"]:
        rule["target-latency"] = f"{TARGET_MS}ms"
    return json.dumps(document).encode()


def send(host, path, request_id, *, method="GET", deadline_ms=DEADLINE_MS):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": str(deadline_ms),
    }
    return send_request(host.ingress, method, path, headers=headers)[0]


def relay(host, request_id, *, work_ms):
    """Send a request to the upstream of a host as another daemon does."""
    headers = {
        "Request-Id": request_id,
        "Request-Timeout-Ms": str(TARGET_MS),
        "Flamingohead-Service": host.service,
        "Flamingohead-Rank": f"1-{TARGET_MS}ms",
        "Flamingohead-Upstream": f"i-{host.name}",
    }
    path = f"/ledger/?work-ms={work_ms}"
    return send_request(host.relay, "GET", path, headers=headers)[0]


def start_relay(host, request_id, *, work_ms):
    thread = threading.Thread(
        target=relay, args=(host, request_id), kwargs={"work_ms": work_ms}
    )
    thread.start()
    return thread


def read_standin(host, name):
    return json.loads(send_request(host.upstream, "GET", f"/standin/{name}")[2])


def list_upstream_hosts(mesh):
    return [host for host in mesh.hosts.values() if host.instance is not None]


def list_runs(mesh):
    hosts = list_upstream_hosts(mesh)
    return [run["id"] for host in hosts for run in read_standin(host, "runs")]


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hosts")) as mesh:
        for number in range(3):
            mesh.add_host(f"h{number}", "ledger", slots=1)
        for number in range(4):
            mesh.add_daemon(f"s{number}", "sender", bounds=BOUNDS)
        mesh.add_host("a0", "archive")
        mesh.write_row("op", "config", build_configuration())
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
            for path in ("/ledger/", "/archive/"):
                assert wait_until(
                    lambda host=host, path=path: send(host, path, "first") == 200
                )
        yield mesh


@dataclass
class _Trial:
    """Send requests that return to the upstream by which they were refused.

    The slots of the other two upstreams are taken by requests that the sending daemons
    don't know of. They try both, lift their exclusions and return.
    """

    mesh: HostMesh
    statuses: dict[str, dict[str, int]] = field(
        default_factory=lambda: {duplicate: {} for duplicate in DUPLICATES}
    )

    def run(self):
        for number in range(ROUND_LIMIT):
            self._run_round(number)
            returned = [len(self.list_returned(name)) for name in DUPLICATES]
            if min(returned) >= MIN_RETURNED:
                return

    def _run_round(self, number):
        upstreams = deque(h for h in self.mesh.hosts.values() if h.service == "ledger")
        senders = deque(h for h in self.mesh.hosts.values() if h.service == "sender")
        upstreams.rotate(number)
        senders.rotate(number)
        blockers = []
        for host in list(upstreams)[1:]:
            blockers += self._start_blockers(host, f"blocker{number}-{host.name}")
        for duplicate, sender in zip(DUPLICATES, senders, strict=True):
            request_id = f"round{number}-{duplicate}"
            path = f"/unsafe/?refusals=1&duplicate={duplicate}"
            status = send(
                sender, path, request_id, method="POST", deadline_ms=RETURN_DEADLINE_MS
            )
            self.statuses[duplicate][request_id] = status
            time.sleep(SETTLE_SECONDS)
        for blocker in blockers:
            blocker.join()

    def _start_blockers(self, host, name):
        """Start a request that runs on a host and one that waits for its slot."""
        # A pending duplicate could cut the first request.
        assert wait_until(lambda: relay(host, f"{name}-first", work_ms=1) == 200)
        running = start_relay(host, f"{name}-running", work_ms=BLOCKING_MS)
        wait_until(lambda: f"{name}-running" in list_runs(self.mesh))
        waiting = start_relay(host, f"{name}-waiting", work_ms=BLOCKING_MS)
        return running, waiting

    def list_returned(self, duplicate):
        """Return the requests that arrived again at an upstream that refused them."""
        returned = []
        for host in list_upstream_hosts(self.mesh):
            refused = {refusal["id"] for refusal in read_standin(host, "refusals")}
            runs = {run["id"] for run in read_standin(host, "runs")}
            returned += refused & runs & self.statuses[duplicate].keys()
        return returned

    def list_false_promises(self, duplicate):
        runs = list_runs(self.mesh)
        return [
            (request_id, status)
            for request_id, status in self.statuses[duplicate].items()
            if status in NOT_RUN_STATUSES and request_id in runs
        ]

    def list_repeated(self, duplicate):
        counts = Counter(list_runs(self.mesh))
        return [name for name in self.statuses[duplicate] if counts[name] > 1]


@pytest.fixture(scope="module")
def trial(mesh):
    trial = _Trial(mesh)
    trial.run()
    return trial


class TestRepeatedRefusals:
    @pytest.mark.parametrize("duplicate", DUPLICATES)
    def test_duplicate_of_a_refusal_denies_no_execution(self, trial, duplicate):
        assert len(trial.list_returned(duplicate)) >= MIN_RETURNED
        assert trial.list_false_promises(duplicate) == []
        assert trial.list_repeated(duplicate) == []


class TestRepeatedIds:
    """Guard against callers that send a refused id again and are told "not run"."""

    def send_again(self, mesh, name, hosts):
        """Send each id through one host after the other; return statuses and runs."""
        # Connections on which earlier duplicates are pending are not used again.
        time.sleep(MAX_UPSTREAM_IDLE_SECONDS)
        path = f"/unsafe-archive/?refusals=1&duplicate={name.partition('-')[2]}"
        request_ids = [f"{name}.{number}" for number in range(REPEATED_IDS)]
        statuses = [
            send(host, path, request_id, method="POST")
            for request_id in request_ids
            for host in hosts
        ]
        runs = Counter(list_runs(mesh))
        return statuses, [runs[request_id] for request_id in request_ids]

    @pytest.mark.parametrize("duplicate", DUPLICATES)
    def test_repeated_by_one_daemon(self, mesh, duplicate):
        hosts = 2 * [mesh.hosts["a0"]]
        statuses, runs = self.send_again(mesh, f"one-{duplicate}", hosts)
        assert statuses == REPEATED_IDS * [503, 200]
        assert runs == REPEATED_IDS * [1]

    @pytest.mark.parametrize("duplicate", DUPLICATES)
    def test_repeated_by_two_daemons(self, mesh, duplicate):
        hosts = mesh.hosts["s0"], mesh.hosts["s1"]
        statuses, runs = self.send_again(mesh, f"two-{duplicate}", hosts)
        assert statuses == REPEATED_IDS * [503, 200]
        assert runs == REPEATED_IDS * [1]

    @pytest.mark.parametrize("duplicate", DUPLICATES)
    def test_nested_call_repeated_by_its_parent(self, mesh, duplicate):
        hosts = mesh.hosts["h0"], mesh.hosts["h1"]
        parent = f"nested-{duplicate}"
        parents = [start_relay(host, parent, work_ms=PARENT_MS) for host in hosts]
        assert wait_until(lambda: list_runs(mesh).count(parent) == len(hosts))
        statuses, runs = self.send_again(mesh, parent, hosts)
        assert all(thread.is_alive() for thread in parents)
        assert statuses == REPEATED_IDS * [503, 200]
        assert runs == REPEATED_IDS * [1]
        for thread in parents:
            thread.join()

    def test_repeated_after_a_restart_of_the_upstream(self, mesh):
        host = mesh.hosts["a0"]
        path = "/unsafe-archive/?refusals=1&duplicate=next"
        assert send(host, path, "restart", method="POST") == 503
        host.instance.kill()
        mesh.start_instance(host, "i-a0")
        assert wait_until(lambda: send(host, "/archive/", "restarted") == 200)
        # The new process knows nothing of the refusal of the old one.
        statuses = [send(host, path, "restart", method="POST") for _ in range(2)]
        assert statuses == [503, 200]
        assert list_runs(mesh).count("restart") == 1
