"""Cost of idle daemons of one failure domain, run as local processes.

The mesh is extended in stages, starting at ten daemons; each stage is measured once
membership has converged. The baseline is the first stage, and the share of a core that
all daemons used together.
"""

from __future__ import annotations

import http.client
import json
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from benchmarks.results import Row, register_benchmark
from flamingohead.testing.processes import TOKEN, DaemonHandle, LocalMesh, wait_for_port

STAGES = (10, 30, 60, 80)
CONVERGENCE_TIMEOUT = 40.0
MEASURE_SECONDS = 8.0
SAMPLE_SIZE = 10


@dataclass(frozen=True)
class Sample:
    """Store the resource usage of one daemon at one point in time."""

    cpu_seconds: float
    rss_bytes: int
    sent_bytes: int
    received_bytes: int


def read_metrics(daemon: DaemonHandle) -> dict:
    """Return the counters and gauges of a daemon."""
    connection = http.client.HTTPConnection(daemon.addresses.control, timeout=10)
    headers = {"Authorization": f"Bearer {TOKEN}"}
    connection.request("GET", "/v1/metrics", headers=headers)
    metrics = json.loads(connection.getresponse().read())
    connection.close()
    return metrics


def take_sample(daemon: DaemonHandle) -> Sample:
    process = psutil.Process(daemon.process.popen.pid)
    times = process.cpu_times()
    counters = read_metrics(daemon)["counters"]
    return Sample(
        times.user + times.system,
        process.memory_info().rss,
        counters.get("datagram.sent_bytes", 0),
        counters.get("datagram.received_bytes", 0),
    )


def wait_until_converged(daemons: list[DaemonHandle]) -> float:
    """Wait until every daemon lists all members; return the seconds that it took."""
    started_at = time.monotonic()
    pending = list(daemons)
    while pending and time.monotonic() < started_at + CONVERGENCE_TIMEOUT:
        gauges = read_metrics(pending[-1])["gauges"]
        if gauges.get("members") == len(daemons):
            pending.pop()
        else:
            time.sleep(0.2)
    if pending:
        raise TimeoutError(f"{len(pending)} daemons have incomplete member lists")
    return time.monotonic() - started_at


def measure_stage(daemons: list[DaemonHandle]) -> list[Row]:
    sampled = daemons[:: max(1, len(daemons) // SAMPLE_SIZE)]
    before = [take_sample(daemon) for daemon in sampled]
    started_at = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    after = [take_sample(daemon) for daemon in sampled]
    seconds = time.monotonic() - started_at
    pairs = list(zip(before, after, strict=True))
    figures = {
        "CPU share of a core, %": [
            100 * (b.cpu_seconds - a.cpu_seconds) / seconds for a, b in pairs
        ],
        "datagram bytes sent, B/s": [
            (b.sent_bytes - a.sent_bytes) / seconds for a, b in pairs
        ],
        "datagram bytes received, B/s": [
            (b.received_bytes - a.received_bytes) / seconds for a, b in pairs
        ],
        "resident memory, MiB": [b.rss_bytes / 2**20 for b in after],
    }
    parameters = {"daemons": len(daemons)}
    rows = []
    for title, values in figures.items():
        name, unit = title.rsplit(", ", 1)
        median = statistics.median(values)
        rows.append(Row(name, median, unit, min(values), max(values), parameters))
    return rows


@register_benchmark("membership_processes")
def measure_processes(seed: int) -> list[Row]:
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            mesh.start_platform()
            for stage in STAGES:
                rows += extend_mesh(mesh, stage)
    return rows


def extend_mesh(mesh: LocalMesh, stage: int) -> list[Row]:
    seeds = ",".join(d.addresses.peer for d in list(mesh.daemons.values())[:3])
    new_daemons = [
        mesh.start_daemon(
            f"daemon-{number:03d}", "rc-a", seeds=seeds, log_level="ERROR"
        )
        for number in range(len(mesh.daemons), stage)
    ]
    for daemon in new_daemons:
        wait_for_port(daemon.addresses.control, CONVERGENCE_TIMEOUT)
    daemons = list(mesh.daemons.values())
    seconds = wait_until_converged(daemons)
    parameters = {"daemons": stage}
    convergence = Row("until all know all", seconds, "s", None, None, parameters)
    time.sleep(2.0)
    return [convergence, *measure_stage(daemons)]
