"""Overload through real daemons, compared with direct calls to the same upstreams."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.load import LoadGenerator, Stream
from benchmarks.results import Row, register_benchmark
from flamingohead.services.reactor import run_until_stopped
from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh

HOSTS = 3
SLOTS = 2
SERVICE_MS = 40.0
CAPACITY = HOSTS * SLOTS * 1000 / SERVICE_MS
SECONDS = 6.0
SETTLE_SECONDS = 3.0
SHEET = ROOT / "examples" / "kente-mirror.csv"
CASES = {
    "0.5 times capacity": (0.4, 0.1),
    "2 times capacity": (1.6, 0.4),
    "lookups at 3 times capacity": (3.0, 0.1),
}


def _start_mesh(mesh: LocalMesh) -> None:
    mesh.start_platform()
    for number in range(HOSTS):
        mesh.start_daemon(f"makola-{number}", "makola")
    for number in range(HOSTS):
        mesh.start_upstream(
            f"ledger-{number}",
            "stall-ledger",
            f"makola-{number}",
            slots=SLOTS,
            service_ms=SERVICE_MS,
        )
    mesh.wait_until_listening()
    control = mesh.daemons["makola-0"].addresses.control
    command = [sys.executable, "-m", "flamingohead", "apply", str(SHEET), "--wait"]
    options = ["--control-address", control, "--control-token", TOKEN]
    subprocess.run([*command, *options], cwd=ROOT, check=True, capture_output=True)
    time.sleep(SETTLE_SECONDS)


def _build_streams(shares: tuple[float, float], *, keyed: bool) -> list[Stream]:
    lookups, hand_overs = (share * CAPACITY for share in shares)
    return [
        Stream("lookup", "GET", "/ledger/lookup", lookups, 60, 10, timeout_ms=1000),
        Stream(
            "hand-over",
            "POST",
            "/ledger/hand-over",
            hand_overs,
            250,
            10,
            keyed=keyed,
            timeout_ms=3000,
        ),
    ]


def _build_rows(load: LoadGenerator, case: str, policy: str) -> list[Row]:
    parameters = {"case": case, "policy": policy}
    rows = []
    worth = 0.0
    for name, result in load.results.items():
        share = result.in_target / max(1, result.sent)
        worth += result.in_target * result.stream.worth / SECONDS
        rows.append(Row(f"in target: {name}", share, "part", parameters=parameters))
        answered = result.answered / max(1, result.sent)
        rows.append(Row(f"answered: {name}", answered, "part", parameters=parameters))
    rows.append(Row("worth-weighted goodput", worth, "worth/s", parameters=parameters))
    return rows


async def _measure(mesh: LocalMesh, seed: int, rows: list[Row]) -> int:
    daemons = [daemon.addresses.ingress for daemon in mesh.daemons.values()]
    upstreams = [upstream.address for upstream in mesh.upstreams.values()]
    for case, shares in CASES.items():
        for policy, addresses in (("direct", upstreams), ("flamingohead", daemons)):
            streams = _build_streams(shares, keyed=policy == "flamingohead")
            load = LoadGenerator(addresses, streams, seed=seed)
            await load.run(SECONDS)
            rows += _build_rows(load, case, policy)
    return 0


@register_benchmark("flood")
def measure_flood(seed: int) -> list[Row]:
    """Measure goodput by rank through daemons and by direct calls."""
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            _start_mesh(mesh)
            run_until_stopped(lambda: _measure(mesh, seed, rows))
    return rows
