"""CPU time of a request through two daemons that use the platform's protocol."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

from benchmarks.hop import SEGMENT_SECONDS, HopClient
from benchmarks.results import Row, register_benchmark
from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request

if TYPE_CHECKING:
    from flamingohead.testing.hosts import Host

ROUTES = {"/ledger/": "ledger", "/archive/": "archive"}
START_TIMEOUT = 20.0
IDLE_SECONDS = 3.0
SEGMENTS = 8
SLOTS = 18
RATES = (50, 200, 400)
HEAD = (
    f"GET /ledger/lookup HTTP/1.1\r\nHost: {HOST}\r\n"
    "Request-Id: 0123456789abcdef\r\nRequest-Deadline: 1200\r\n"
)


def _read_processor_seconds(hosts: list[Host]) -> float:
    times = [psutil.Process(host.daemon.popen.pid).cpu_times() for host in hosts]
    return sum(t.user + t.system for t in times)


def _wait_until_serving(host: Host) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    headers = {"Host": HOST, "Request-Id": "first", "Request-Deadline": "1000"}
    while time.monotonic() < deadline:
        try:
            status = send_request(host.ingress, "GET", "/ledger/1", headers=headers)[0]
        except OSError:
            status = 0
        if status == 200:
            return
        time.sleep(0.1)
    raise TimeoutError(f"timed out waiting for {host.name} to answer with 200")


@register_benchmark("host_cost")
def measure_host_cost(seed: int) -> list[Row]:
    """Measure the CPU time per call of both daemons together, without idle use."""
    generator = random.Random(seed)
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as directory:
        with HostMesh(Path(directory)) as mesh:
            entry = mesh.add_host("entry", "archive", slots=SLOTS)
            owner = mesh.add_host("owner", "ledger", slots=SLOTS)
            mesh.write_row("op", "config", build_document(2, ROUTES))
            _wait_until_serving(entry)
            hosts = [entry, owner]
            before = _read_processor_seconds(hosts)
            time.sleep(IDLE_SECONDS)
            idle = (_read_processor_seconds(hosts) - before) / IDLE_SECONDS
            rows.append(Row("idle_core", 100 * idle / len(hosts), "%"))
            client = HopClient(entry.ingress, head=HEAD)
            for rate in RATES:
                client.run_segment(rate, generator)
                before = _read_processor_seconds(hosts)
                calls = sum(
                    len(client.run_segment(rate, generator)) for _ in range(SEGMENTS)
                )
                used = _read_processor_seconds(hosts) - before
                used -= idle * SEGMENTS * SEGMENT_SECONDS
                microseconds = 1_000_000 * used / calls
                rows.append(
                    Row("processor_time", microseconds, "µs", parameters={"rate": rate})
                )
    return rows
