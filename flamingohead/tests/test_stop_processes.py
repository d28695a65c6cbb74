"""Tests of planned stops of the only daemon that serves a service, in processes."""

from __future__ import annotations

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
