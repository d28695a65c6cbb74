"""Tests of planned stops of the only daemon that serves a service, in processes."""

from __future__ import annotations

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request
from flamingohead.tests.test_subscription_processes import wait_for_path

START_SECONDS = 30.0
# Clients go on for longer than the daemon takes to stop.
TRAFFIC_SECONDS = 6.5
INTERVAL_SECONDS = 0.1
# The route allows 3 s; one request in five takes most of them.
SHORT_WORK_MS, LONG_WORK_MS = 100, 2600
DEADLINE_MS = 5000


@dataclass(frozen=True)
class Outcome:
    """Describe how a request ended; status 0 stands for a connection without answer."""

    request_id: str
    sent_after: float
    status: int


def send_search(host, request_id, work_ms, stopped_at):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": str(DEADLINE_MS),
    }
    sent_after = time.monotonic() - stopped_at
    path = f"/archive/x?work-ms={work_ms}"
    try:
        status = send_request(host.ingress, "GET", path, headers=headers)[0]
    except OSError:
        status = 0
    return Outcome(request_id, sent_after, status)


def read_runs(host):
    runs = json.loads(send_request(host.upstream, "GET", "/standin/runs")[2])
    return {run["id"] for run in runs}


@pytest.fixture()
def mesh(tmp_path):
    with HostMesh(tmp_path) as mesh:
        mesh.add_host("h0", "ledger")
        mesh.add_host("h1", "archive", slots=18)
        document = build_document(2, {"/a/": "ledger", "/archive/": "archive"})
        document = document.replace(b'"1200ms"', b'"3000ms"')
        mesh.write_row("op", "config", document)
        hosts = mesh.hosts.values()
        assert wait_for_path(hosts, "/archive/x", seconds=START_SECONDS)
        yield mesh


class TestOnlyProvider:
    """Guard against requests that are started late in a stop and then aborted."""

    @pytest.mark.parametrize("entry", ["h0", "h1"])
    def test_stop_aborts_no_request_that_it_started(self, mesh, entry):
        # Requests taken up to 4.3 s after SIGTERM were aborted at 5.5 s.
        stopped_at = time.monotonic()
        mesh.hosts["h1"].daemon.popen.terminate()
        with ThreadPoolExecutor(max_workers=40) as executor:
            futures = []
            while time.monotonic() < stopped_at + TRAFFIC_SECONDS:
                number = len(futures)
                work_ms = LONG_WORK_MS if number % 5 == 0 else SHORT_WORK_MS
                futures.append(
                    executor.submit(
                        send_search,
                        mesh.hosts[entry],
                        f"s{number}",
                        work_ms,
                        stopped_at,
                    )
                )
                time.sleep(INTERVAL_SECONDS)
            outcomes = [future.result() for future in futures]
        assert mesh.hosts["h1"].daemon.wait() == 0
        runs = read_runs(mesh.hosts["h1"])
        assert [o for o in outcomes if o.request_id in runs and o.status != 200] == []
        # The daemon serves until long requests would outlast the stop.
        served = [o.sent_after for o in outcomes if o.status == 200]
        assert max(served) > 2.0
        assert {o.status for o in outcomes if o.sent_after < 2.0} == {200}


GRACE_SECONDS = 6.0
# A request sent later than this must not be cut by the end of the grace period; an
# earlier one may, if its upstream still works on it in the last sixth.
LATEST_EXCUSED_SECONDS = 3.0
LOSS_SLACK_SECONDS = 0.2
WORK_MS = (100, 100, 700, 2600, 4500)
CLIENTS = 16


class KeepingClient:
    """Send requests on a connection that is kept for as long as the daemon allows."""

    def __init__(self, number, host, stopped_at, *, first_after=0.0):
        self._number = number
        self._host = host
        self._stopped_at = stopped_at
        # Earliest first request, in seconds after the stop; the connection is older.
        self._first_at = stopped_at + first_after if first_after else 0.0
        self.outcomes = []

    def run(self):
        address = self._host.ingress
        connection = http.client.HTTPConnection(address, timeout=2 * GRACE_SECONDS)
        ends_at = self._stopped_at + GRACE_SECONDS
        while time.monotonic() < ends_at:
            try:
                connection.connect()
            except OSError:
                # The listener is closed: real clients go to another host.
                time.sleep(0.05)
                continue
            time.sleep(max(0.0, self._first_at - time.monotonic()))
            while self._send(connection) and time.monotonic() < ends_at:
                time.sleep(0.01 * (self._number % 7))
            connection.close()

    def _send(self, connection):
        """Send a request; return whether the connection may carry another one."""
        request_id = f"k{self._number}-{len(self.outcomes)}"
        work_ms = WORK_MS[(self._number + len(self.outcomes)) % len(WORK_MS)]
        method = "POST" if self._number % 2 else "GET"
        path = "/unsafe/x" if self._number % 2 else "/archive/x"
        headers = {"Host": HOST, "Request-Id": request_id, "Request-Deadline": "7500"}
        sent_at = time.monotonic()
        status, keeps = 0, False
        try:
            connection.request(method, f"{path}?work-ms={work_ms}", headers=headers)
            response = connection.getresponse()
            response.read()
            status, keeps = response.status, not response.will_close
        except (OSError, http.client.HTTPException):
            # The connection ended without an answer, which is recorded as status 0.
            status = 0
        ended_at = time.monotonic()
        sent_after = sent_at - self._stopped_at
        self.outcomes.append(
            KeptOutcome(request_id, sent_after, status, ended_at - sent_at, work_ms)
        )
        return keeps


@dataclass(frozen=True)
class KeptOutcome(Outcome):
    """Describe how a request on a kept connection ended, and how long it lasted."""

    seconds: float
    work_ms: int


@pytest.fixture()
def calm_mesh(tmp_path):
    with HostMesh(tmp_path) as mesh:
        mesh.add_host("h0", "ledger")
        mesh.add_host("h1", "archive", slots=18)
        mesh.add_host("h2", "archive", slots=18)
        routes = {"/a/": "ledger", "/archive/": "archive", "/unsafe/": "archive"}
        document = build_document(2, routes)
        document = document.replace(b'"1200ms"', b'"8000ms"')
        mesh.write_row("op", "config", document)
        hosts = mesh.hosts.values()
        assert wait_for_path(hosts, "/archive/x", seconds=START_SECONDS)
        time.sleep(2.0)
        yield mesh


class TestCalmStop:
    """Guard against requests taken late in a stop and cut at its end."""

    def is_lost(self, outcome, runs):
        if outcome.status == 200 or outcome.sent_after < -1.0:
            return False
        if outcome.request_id not in runs:
            return outcome.status == 0 and outcome.seconds > LOSS_SLACK_SECONDS
        ends_after = outcome.sent_after + outcome.work_ms / 1000
        is_excused = (
            outcome.sent_after <= LATEST_EXCUSED_SECONDS
            and ends_after >= GRACE_SECONDS * 5 / 6
        )
        return not is_excused

    def test_requests_of_kept_connections_are_answered(self, calm_mesh):
        stopped_at = time.monotonic() + 2.0
        entry = calm_mesh.hosts["h1"]
        clients = [KeepingClient(n, entry, stopped_at) for n in range(CLIENTS)]
        clients += [
            KeepingClient(CLIENTS + n, calm_mesh.hosts["h0"], stopped_at)
            for n in range(CLIENTS // 2)
        ]
        clients += [
            KeepingClient(2 * CLIENTS + n, entry, stopped_at, first_after=(n + 1) / 4)
            for n in range(int(4 * GRACE_SECONDS) - 1)
        ]
        with ThreadPoolExecutor(max_workers=len(clients)) as executor:
            futures = [executor.submit(client.run) for client in clients]
            time.sleep(max(0.0, stopped_at - time.monotonic()))
            entry.daemon.popen.terminate()
            for future in futures:
                future.result()
        assert entry.daemon.wait() == 0
        runs = read_runs(calm_mesh.hosts["h1"]) | read_runs(calm_mesh.hosts["h2"])
        outcomes = [outcome for client in clients for outcome in client.outcomes]
        assert [o for o in outcomes if self.is_lost(o, runs)] == []
        assert len([o for o in outcomes if o.status == 200]) > 2 * CLIENTS
