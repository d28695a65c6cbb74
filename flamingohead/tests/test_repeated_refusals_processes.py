"""Test that a duplicate of a refusal never makes a daemon deny an execution."""

from __future__ import annotations

import json
import threading
from collections import Counter
from dataclasses import dataclass, field

import pytest

from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_platform_processes import is_ready, wait_until

ROUTES = {"/ledger/": "ledger", "/unsafe/": "ledger"}
# Statuses that state that a request has not been executed and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
DEADLINE_MS = 1000
BLOCKING_MS = 500
MIN_RETURNED = 4
ROUND_LIMIT = 40


def send(host, path, request_id, *, method="GET"):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": str(DEADLINE_MS),
    }
    return send_request(host.ingress, method, path, headers=headers)[0]


def read_standin(host, name):
    return json.loads(send_request(host.upstream, "GET", f"/standin/{name}")[2])


@pytest.fixture(scope="class")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hosts")) as mesh:
        for number in range(3):
            mesh.add_host(f"h{number}", "ledger", slots=1)
        mesh.write_row("op", "config", build_document(2, ROUTES))
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
            assert wait_until(lambda host=host: send(host, "/ledger/", "first") == 200)
        yield mesh


@dataclass
class _Trial:
    """Send requests that return to the upstream by which they were refused.

    The slots of the other two upstreams are taken by requests that the daemon of the
    first host doesn't know of. It tries both, lifts its exclusions and returns.
    """

    mesh: HostMesh
    name: str
    query: str
    statuses: dict[str, int] = field(default_factory=dict)

    def run(self):
        for number in range(ROUND_LIMIT):
            self._run_round(f"{self.name}-{number}")
            if len(self.list_returned()) >= MIN_RETURNED:
                return

    def _run_round(self, name):
        h0, h1, h2 = self.mesh.hosts.values()
        path = f"/ledger/?work-ms={BLOCKING_MS}"
        blockers = [
            threading.Thread(target=send, args=(host, path, f"{name}-b{number}"))
            for number, host in enumerate((h1, h2))
        ]
        for number, blocker in enumerate(blockers):
            blocker.start()
            wait_until(lambda n=number: f"{name}-b{n}" in self.list_runs(), timeout=1.0)
        for number in range(3):
            request_id = f"{name}-{number}"
            status = send(h0, f"/unsafe/?{self.query}", request_id, method="POST")
            self.statuses[request_id] = status
        for blocker in blockers:
            blocker.join()

    def list_runs(self):
        runs = [
            run for h in self.mesh.hosts.values() for run in read_standin(h, "runs")
        ]
        return [run["id"] for run in runs if run["id"].startswith(self.name)]

    def list_returned(self):
        """Return the requests that arrived again at an upstream that refused them."""
        returned = []
        for host in self.mesh.hosts.values():
            refused = {refusal["id"] for refusal in read_standin(host, "refusals")}
            runs = {run["id"] for run in read_standin(host, "runs")}
            returned += refused & runs & self.statuses.keys()
        return returned

    def list_false_promises(self):
        runs = self.list_runs()
        return [
            (request_id, status)
            for request_id, status in self.statuses.items()
            if status in NOT_RUN_STATUSES and request_id in runs
        ]

    def list_repeated(self):
        counts = Counter(self.list_runs())
        return [request_id for request_id in self.statuses if counts[request_id] > 1]


class TestRepeatedRefusals:
    @pytest.mark.parametrize("duplicate", ["next", "0", "2", "10"])
    def test_duplicate_of_a_refusal_denies_no_execution(self, mesh, duplicate):
        query = f"refusals=1&duplicate={duplicate}"
        trial = _Trial(mesh, f"d{duplicate}", query)
        trial.run()
        assert len(trial.list_returned()) >= MIN_RETURNED
        assert trial.list_false_promises() == []
        assert trial.list_repeated() == []
