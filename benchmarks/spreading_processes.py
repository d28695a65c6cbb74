"""Dissemination of changes among daemon processes on the loopback address."""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path

import psutil

from benchmarks.results import Row, register_benchmark
from flamingohead.testing.processes import ROOT, TOKEN, DaemonHandle, LocalMesh

SIZES = (10, 30, 100)
CHANGES = 5
KNOWN_SHARE = 0.9
IDLE_SECONDS = 3.0
CONVERGENCE_TIMEOUT = 30.0
SHEET = (ROOT / "examples" / "kente-mirror.csv").read_text()
HEADERS = {"Authorization": f"Bearer {TOKEN}"}


def send_request(address: str, path: str, body: dict | None = None) -> dict:
    """Send a request to a daemon or a stand-in; return its decoded response."""
    connection = HTTPConnection(address, timeout=20)
    method = "GET" if body is None else "POST"
    data = None if body is None else json.dumps(body)
    connection.request(method, path, body=data, headers=HEADERS)
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer


class SpreadingRun:
    """Run the daemons of one failure domain and change their configuration."""

    def __init__(self, mesh: LocalMesh, count: int) -> None:
        self.mesh = mesh
        self.count = count
        self.fewest_known = 0
        self.pool = ThreadPoolExecutor(8)

    def start(self) -> None:
        self.mesh.start_platform()
        for number in range(self.count):
            self.mesh.start_daemon(f"osu-{number}", "osu", log_level="WARNING")
        self.mesh.wait_until_listening()
        required = KNOWN_SHARE * self.count
        states = self.wait_for_states(lambda status: len(status["members"]) >= required)
        self.fewest_known = min(len(state["members"]) for state in states)

    def query_all(self, path: str) -> list[dict]:
        return list(
            self.pool.map(
                lambda d: send_request(d.addresses.control, path), self.list_daemons()
            )
        )

    def list_daemons(self) -> list[DaemonHandle]:
        return list(self.mesh.daemons.values())

    def wait_for_states(self, is_met) -> list[dict]:
        """Poll the daemons until all meet a condition; return their states."""
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT
        while True:
            states = self.query_all("/v1/status")
            if all(is_met(state) for state in states):
                return states
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{self.count} daemons did not reach the expected state in time"
                )
            time.sleep(0.2)

    def apply_change(self, number: int) -> list[float]:
        """Apply one change; return the activation delay of each daemon, in seconds."""
        body = {
            "change_id": f"benchmark-{number}",
            "author": "benchmark",
            "base_version": number,
            "sheet": SHEET.replace("2000", str(2000 + number)),
        }
        control = self.list_daemons()[number % self.count].addresses.control
        answer = send_request(control, "/v1/changes", body)
        version = answer["version"]
        states = self.wait_for_states(lambda status: status["version"] >= version)
        return [state["activated_at"] - answer["accepted_at"] for state in states]

    def measure_idle(self) -> dict[str, float]:
        """Measure the resource usage per daemon while nothing changes."""
        processes = [psutil.Process(d.process.popen.pid) for d in self.list_daemons()]
        before = [self.read_usage(process) for process in processes]
        bytes_before = self.read_bytes()
        reads_before = send_request(self.mesh.table_address, "/usage")["reads"]
        started_at = time.monotonic()
        time.sleep(IDLE_SECONDS)
        after = [self.read_usage(process) for process in processes]
        seconds = time.monotonic() - started_at
        reads = send_request(self.mesh.table_address, "/usage")["reads"] - reads_before
        cpu_seconds = [end - start for start, end in zip(before, after, strict=True)]
        memory = [process.memory_info().rss for process in processes]
        return {
            "idle processor time": statistics.mean(cpu_seconds) / seconds * 100,
            "idle datagram bytes": (self.read_bytes() - bytes_before)
            / self.count
            / seconds,
            "idle table reads": reads / seconds,
            "resident memory": statistics.mean(memory) / 2**20,
        }

    def read_usage(self, process: psutil.Process) -> float:
        times = process.cpu_times()
        return times.user + times.system

    def read_bytes(self) -> int:
        answers = self.query_all("/v1/metrics")
        return sum(answer["counters"]["datagram.sent_bytes"] for answer in answers)


UNITS = {
    "idle processor time": "% of a core",
    "idle datagram bytes": "B/s",
    "idle table reads": "1/s",
    "resident memory": "MiB",
}


@register_benchmark("spreading_processes")
def measure_processes(seed: int) -> list[Row]:
    """Measure activation delay and idle cost by number of daemons."""
    rows = []
    for count in SIZES:
        with tempfile.TemporaryDirectory() as directory:
            with LocalMesh(Path(directory)) as mesh:
                rows += measure_size(SpreadingRun(mesh, count))
    return rows


def measure_size(run: SpreadingRun) -> list[Row]:
    parameters = {"daemons": run.count, "changes": CHANGES}
    run.start()
    idle = run.measure_idle()
    rounds = [sorted(run.apply_change(number)) for number in range(CHANGES)]
    delays = sorted(delay for delays in rounds for delay in delays)
    slowest = [delays[-1] for delays in rounds]
    figures = {
        "in force on half": delays[len(delays) // 2],
        "in force on 99 in 100": delays[int(len(delays) * 0.99)],
    }
    rows = [Row(n, value, "s", parameters=parameters) for n, value in figures.items()]
    median = statistics.median(slowest)
    low, high = min(slowest), max(slowest)
    rows.append(Row("in force on all", median, "s", low, high, parameters))
    known = float(run.fewest_known)
    rows.append(Row("fewest members known", known, "daemons", parameters=parameters))
    rows += [Row(n, v, UNITS[n], parameters=parameters) for n, v in idle.items()]
    return rows
