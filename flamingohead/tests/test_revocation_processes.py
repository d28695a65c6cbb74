"""Tests, in separate processes, of keys that are withdrawn while hosts are cut off."""

from __future__ import annotations

import json
import os
import re
import signal
import threading
import time

import pytest

from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_subscription_processes import read_counter

# Only the upstream beside the host that is cut off serves ``/own/``.
ROUTES = {"/a/": "ledger", "/own/": "own"}
CUT = "osu-2"
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "budget-slack": 58,
    "strict-revoke": True,
    "revoke": "5000ms",
}
TIMEOUT_SECONDS = 5.0
# A host that has had no path to the store for this long need not accept keys.
TOLERANCE_SECONDS = 3.0
IN_FORCE_SECONDS = 2.5
KEPT = {"name": "kept", "api-keys": ["kept-key-7714"]}
SHARED = {"name": "shared", "api-keys": ["old-key-3391", "new-key-3392"]}
SHARED_AFTER = {"name": "shared", "api-keys": ["new-key-3392"]}


class Caller:
    """Send requests with a key to a host, and record the times and statuses."""

    def __init__(self, host, key):
        self.host, self.key = host, key
        self.path = "/own/x" if host.name == CUT else "/a/x"
        # Time of sending and status of each request.
        self.responses = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopped.wait(0.05):
            sent_at = time.monotonic()
            self.responses.append((sent_at, request(self.host, self.key, self.path)[0]))

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def list_statuses(self, since=0.0, until=float("inf")):
        return [s for at, s in self.responses if since <= at < until]


def request(host, key=None, path="/a/x", *, request_id=""):
    headers = {
        "Host": HOST,
        "Request-Id": request_id or f"r{time.monotonic_ns()}",
        "Request-Deadline": "1000",
    }
    if key is not None:
        headers["X-Api-Key"] = key
    try:
        status, response_headers, _ = send_request(
            host.ingress, "GET", path, headers=headers
        )
    except OSError:
        return 0, {}
    return status, response_headers


def read_gauge(host, name):
    page = send_request(host.metrics, "GET", "/metrics")[2].decode()
    found = re.search(
        rf'flamingohead_state\{{name="{re.escape(name)}"\}} ([\d.]+)', page
    )
    return float(found[1])


def wait_for_key(hosts, key, status, *, seconds):
    deadline = time.monotonic() + seconds
    pending = list(hosts)
    while pending and time.monotonic() < deadline:
        pending = [host for host in pending if request(host, key)[0] != status]
        time.sleep(0.02)
    return not pending


@pytest.fixture()
def mesh(tmp_path):
    with HostMesh(tmp_path) as mesh:
        for zone in ("makola", "osu"):
            for number in range(3):
                name = f"{zone}-{number}"
                service = "own" if name == CUT else "ledger"
                host = mesh.add_daemon(
                    name, service, isolated=True, bounds=BOUNDS, zone=zone
                )
                mesh.start_instance(host, f"i-{name}")
        mesh.write_row(
            "op", "config", build_document(2, ROUTES, tenants=[KEPT, SHARED])
        )
        hosts = mesh.hosts.values()
        assert wait_for_key(hosts, "old-key-3391", 200, seconds=30.0)
        # Daemons that started alone query the store until they have joined each other.
        time.sleep(5.0)
        yield mesh


class TestWithdrawnKey:
    """Withdraw a key while the store rejects hosts, and another host is cut off."""

    def test_key_is_used_on_no_host_after_the_timeout(self, mesh):
        hosts = mesh.hosts
        cut, rejected = hosts[CUT], [hosts["makola-0"], hosts["makola-1"]]
        callers = {
            (host.name, key): Caller(host, key)
            for host in (cut, rejected[0], hosts["osu-0"])
            for key in ("old-key-3391", "kept-key-7714")
        }
        for host in rejected:
            mesh.set_links_down(host, "store")
        mesh.set_links_down(cut, "all")
        cut_at = time.monotonic()
        time.sleep(0.5)
        document = build_document(3, ROUTES, tenants=[KEPT, SHARED_AFTER])
        mesh.write_row("op", "config", document)
        withdrawn_at = time.monotonic()
        time.sleep(9.0)
        for caller in callers.values():
            caller.stop()
        # The failure guarded against: a host out of touch keeps accepting the key.
        for (name, key), caller in callers.items():
            if key == "old-key-3391":
                late = caller.list_statuses(withdrawn_at + TIMEOUT_SECONDS)
                assert late and 200 not in late, name
        # Hosts with a path to the store deny the key, and serve others all the time.
        for host in (rejected[0], hosts["osu-0"]):
            old = callers[host.name, "old-key-3391"]
            # The version before may be in force on other hosts for a while.
            early = set(old.list_statuses(withdrawn_at, withdrawn_at + 1.5))
            assert early <= {200, 503} and 503 in early
            in_force = set(old.list_statuses(withdrawn_at + IN_FORCE_SECONDS))
            assert in_force <= {401, 503}
            settled_at = withdrawn_at + 2 * IN_FORCE_SECONDS
            assert set(old.list_statuses(settled_at)) == {401}
            kept = callers[host.name, "kept-key-7714"]
            assert set(kept.list_statuses()) == {200}
        # The host that is cut off refuses, as soon as it may, without denying.
        for key in ("old-key-3391", "kept-key-7714"):
            caller = callers[cut.name, key]
            assert 401 not in caller.list_statuses()
            assert set(caller.list_statuses(cut_at, cut_at + 2.0)) == {200}
            assert set(caller.list_statuses(cut_at + TIMEOUT_SECONDS)) == {503}
        status, headers = request(cut, "kept-key-7714", "/own/x")
        assert status == 503 and 0 < float(headers["retry-after"]) <= 5.0
        assert request(cut, "never-a-key-1")[0] == 503
        mesh.set_links_down(cut)
        assert wait_for_key([cut], "kept-key-7714", 200, seconds=5.0)
        assert wait_for_key([cut], "old-key-3391", 401, seconds=IN_FORCE_SECONDS)
        for host in hosts.values():
            log = host.daemon.log_path.read_text()
            assert not any(
                key in log for key in ("old-key", "new-key", "kept-key", "never-a-key")
            )


def list_runs(hosts, request_id):
    """Return the runs of a request on the upstreams of some hosts."""
    runs = [
        run
        for host in hosts
        for run in json.loads(send_request(host.upstream, "GET", "/standin/runs")[2])
    ]
    return [run for run in runs if run["id"] == request_id]


class TestNestedCalls:
    def test_nested_call_has_the_organisation_of_a_relayed_parent(self, mesh):
        # The parent was relayed to this host; the key stayed on that of the caller.
        hosts = mesh.hosts.values()
        path = "/own/x?work-ms=800"
        parent = threading.Thread(
            target=request,
            args=(mesh.hosts["makola-0"], "kept-key-7714", path),
            kwargs={"request_id": "parent"},
        )
        parent.start()
        time.sleep(0.4)
        host = mesh.hosts[CUT]
        assert request(host, request_id="parent.1")[0] == 200
        # On another host the parent is not known, so that its organisation isn't.
        assert request(mesh.hosts["osu-0"], request_id="parent.2")[0] == 503
        parent.join()
        for request_id in ("parent", "parent.1"):
            (run,) = list_runs(hosts, request_id)
            assert run["organisation"] == "kept"
            assert not run["has_key"]


class TestSuspendedDaemon:
    """Suspend a daemon, withdraw a key meanwhile, and let it resume."""

    def test_requests_sent_after_the_timeout_do_not_run_when_it_resumes(self, mesh):
        host = mesh.hosts[CUT]
        responses = []
        # Datagrams that wait in its socket would bring the new version at once.
        mesh.set_links_down(host, "all")
        os.kill(host.daemon.popen.pid, signal.SIGSTOP)
        try:
            document = build_document(3, ROUTES, tenants=[KEPT, SHARED_AFTER])
            mesh.write_row("op", "config", document)
            time.sleep(TIMEOUT_SECONDS + 0.5)
            # These wait in the socket and are the first that the daemon reads.
            threads = [
                threading.Thread(
                    target=lambda: responses.append(
                        request(host, "old-key-3391", "/own/x")
                    )
                )
                for _ in range(10)
            ]
            for thread in threads:
                thread.start()
            time.sleep(0.5)
        finally:
            os.kill(host.daemon.popen.pid, signal.SIGCONT)
        for thread in threads:
            thread.join()
        statuses = {status for status, _ in responses}
        assert statuses == {503} and len(responses) == 10
        mesh.set_links_down(host)
        assert wait_for_key([host], "kept-key-7714", 200, seconds=3.0)
        assert wait_for_key([host], "old-key-3391", 401, seconds=IN_FORCE_SECONDS)


class TestUsualState:
    def test_changes_cost_no_extra_reads_and_keep_ages_low(self, mesh):
        hosts = list(mesh.hosts.values())
        ages = []
        reads = sum(read_counter(host, "confirmation.reads") for host in hosts)
        pings = sum(read_counter(host, "confirmation.pings") for host in hosts)
        started_at = time.monotonic()
        for version in range(3, 7):
            document = build_document(version, ROUTES, tenants=[KEPT, SHARED])
            mesh.write_row("op", "config", document)
            next_at = time.monotonic() + 2.2
            while time.monotonic() < next_at:
                ages += [read_gauge(host, "confirmation.age") for host in hosts]
                assert {request(h, "kept-key-7714")[0] for h in hosts} == {200}
                assert {request(h, "never-a-key-1")[0] for h in hosts} == {401}
                time.sleep(0.1)
        seconds = time.monotonic() - started_at
        assert sum(read_counter(host, "confirmation.reads") for host in hosts) == reads
        extra = sum(read_counter(host, "confirmation.pings") for host in hosts) - pings
        assert extra <= 0.2 * seconds * len(hosts)
        assert max(ages) < 3.0


class TestSlowStore:
    def test_keys_stay_in_use_while_each_response_is_delayed(self, mesh):
        # A response that is delayed by a second only confirms the time of its request.
        mesh.set_faults(delay_ms=1000)
        caller = Caller(mesh.hosts["osu-1"], "kept-key-7714")
        time.sleep(10.0)
        caller.stop()
        mesh.set_faults()
        assert set(caller.list_statuses()) == {200}


class TestRejectedDomain:
    def test_keys_stay_in_use_through_other_failure_domains(self, mesh):
        # The store rejects all subscribers of a failure domain for 9 s.
        rejected = [h for h in mesh.hosts.values() if h.name.startswith("makola")]
        callers = [Caller(host, "kept-key-7714") for host in rejected]
        for host in rejected:
            mesh.set_links_down(host, "store")
        started_at = time.monotonic()
        time.sleep(3.0)
        document = build_document(3, ROUTES, tenants=[KEPT, SHARED_AFTER])
        mesh.write_row("op", "config", document)
        withdrawn_at = time.monotonic()
        ages = []
        while time.monotonic() < started_at + 9.0:
            ages += [read_gauge(host, "confirmation.age") for host in rejected]
            if time.monotonic() >= withdrawn_at + IN_FORCE_SECONDS:
                statuses = {request(host, "old-key-3391")[0] for host in rejected}
                assert statuses <= {401, 503}
            time.sleep(0.1)
        for caller in callers:
            caller.stop()
            assert set(caller.list_statuses()) == {200}
        assert max(ages) < 3.0
        for host in rejected:
            assert read_counter(host, "confirmation.pings") <= 2 * 9 + 2


class TestRestartedDaemon:
    def test_daemon_that_the_store_rejects_gets_its_confirmation_from_peers(self, mesh):
        host = mesh.hosts["makola-2"]
        mesh.set_links_down(host, "store")
        host.daemon.kill()
        mesh.start_daemon(host)
        # It has neither a configuration nor a confirmation of its own at first.
        deadline = time.monotonic() + 20.0
        statuses = []
        while 200 not in statuses and time.monotonic() < deadline:
            statuses.append(request(host, "kept-key-7714")[0])
            time.sleep(0.05)
        assert statuses[-1] == 200
        assert set(statuses) <= {0, 200, 503}
