"""CPU time that a daemon spends on announcements of upstreams."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import psutil

from benchmarks.results import Row, register_benchmark
from flamingohead.testing.processes import LocalMesh

UPSTREAMS = (0, 1, 4)
SECONDS = 8.0
SETTLE_SECONDS = 3.0


def _measure_cpu_percent(process: psutil.Process) -> float:
    """Return the CPU use of a process, in percent of a core."""
    before = process.cpu_times()
    time.sleep(SECONDS)
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used / SECONDS * 100


@register_benchmark("announcement_cost")
def measure_announcements(seed: int) -> list[Row]:
    """Measure a daemon with 0, 1 and 4 upstreams, at 2 announcements a second each."""
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            mesh.start_platform()
            daemon = mesh.start_daemon("osu-0", "osu")
            mesh.wait_until_listening()
            process = psutil.Process(daemon.process.popen.pid)
            for count in UPSTREAMS:
                while len(mesh.upstreams) < count:
                    name = f"ledger-{len(mesh.upstreams)}"
                    mesh.start_upstream(name, "stall-ledger", "osu-0")
                time.sleep(SETTLE_SECONDS)
                cpu_percent = _measure_cpu_percent(process)
                parameters = {"upstreams": count}
                rows.append(Row("processor", cpu_percent, "%", parameters=parameters))
    slope = (rows[-1].value - rows[0].value) / UPSTREAMS[-1]
    rows.append(Row("processor for each upstream", slope, "%"))
    return rows
