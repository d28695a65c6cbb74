"""Time and cost of disseminating a change, for three methods."""

from __future__ import annotations

import statistics

from benchmarks.results import Row, register_benchmark
from benchmarks.spreading_model import TABLE_READ_LIMIT, TIME_LIMIT, Mesh, Scenario

SIZES = ((1, 600), (15, 9_200))
SEEDS_BY_SIZE = {600: 3, 9_200: 1}


def list_scenarios() -> list[Scenario]:
    """Return the scenarios: three methods, two sizes, with and without faults."""
    scenarios = []
    for domains, daemons in SIZES:
        poll_rate = TABLE_READ_LIMIT / domains
        for loss in (0.0, 0.1):
            scenarios += [
                Scenario("poll", domains, daemons, loss, poll_rate=poll_rate),
                Scenario("tree", domains, daemons, loss),
                Scenario("gossip", domains, daemons, loss),
            ]
        for method in ("tree", "gossip"):
            scenarios += [
                Scenario(method, domains, daemons, 0.1, kill_pollers=True),
                Scenario(method, domains, daemons, 0.1, herd=True),
            ]
    return scenarios


@register_benchmark("spreading")
def measure_spreading(seed: int) -> list[Row]:
    """Measure the time until a change is in force, and the cost of dissemination."""
    rows = []
    for scenario in list_scenarios():
        meshes = []
        for offset in range(SEEDS_BY_SIZE[scenario.daemons]):
            mesh = Mesh(scenario, seed + offset)
            mesh.run()
            meshes.append(mesh)
        rows += describe_runs(scenario, meshes)
    return rows


def describe_runs(scenario: Scenario, meshes: list[Mesh]) -> list[Row]:
    """Return the rows of one scenario, summarized over its seeds."""
    parameters = {
        "way": scenario.method,
        "daemons": scenario.daemons,
        "domains": scenario.domains,
        "loss": scenario.loss,
        "event": "herd" if scenario.herd else "none",
    }
    if scenario.kill_pollers:
        parameters["event"] = "killed"
    figures = [summarize(mesh) for mesh in meshes]
    rows = []
    for name, unit in FIGURES.items():
        values = [figure[name] for figure in figures]
        median = statistics.median(values)
        rows.append(Row(name, median, unit, min(values), max(values), parameters))
    return rows


FIGURES = {
    "in force on half": "s",
    "in force on 99 in 100": "s",
    "in force on all": "s",
    "not in force at the end": "daemons",
    "bytes for each daemon": "B",
    "bytes for each daemon without snapshots": "B",
    "highest table reads": "1/s",
}


def summarize(mesh: Mesh) -> dict[str, float]:
    """Compute the measured values of one run."""
    alive = [node for node in mesh.nodes if node.alive]
    activation_times = [
        node.activated_at for node in alive if node.activated_at is not None
    ]
    delays = sorted(at - mesh.accepted_at for at in activation_times)
    delays += [TIME_LIMIT] * (len(alive) - len(activation_times))
    snapshot_bytes = mesh.bytes["snapshot"]
    total = sum(mesh.bytes.values())
    return {
        "in force on half": delays[len(delays) // 2],
        "in force on 99 in 100": delays[int(len(delays) * 0.99)],
        "in force on all": delays[-1],
        "not in force at the end": len(alive) - len(activation_times),
        "bytes for each daemon": total / len(alive),
        "bytes for each daemon without snapshots": (total - snapshot_bytes)
        / len(alive),
        "highest table reads": max(mesh.reads.values(), default=0),
    }
