"""CPU time, memory and bytes of a configuration at two sizes."""

from __future__ import annotations

import csv
import gc
import io
import statistics
import time
import tracemalloc
from dataclasses import asdict
from typing import TYPE_CHECKING

from benchmarks.results import Row, register_benchmark
from flamingohead.core.changes import Change, apply_change, compute_change
from flamingohead.core.resources import EMPTY_SNAPSHOT, Pool, Rank, Route, Service
from flamingohead.core.routing import RouteTable
from flamingohead.core.sheets import COLUMNS, check_sheet
from flamingohead.core.validation import validate_snapshot
from flamingohead.core.versions import Replica, build_record
from flamingohead.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.resources import Resource, Snapshot

SIZES = (55, 550)
ROUTES = 5
RANKS = 3
RUNS = 15
RECORD_COUNT = 64


def create_resources(services: int) -> list[Resource]:
    """Return ten resources for each service."""
    resources: list[Resource] = []
    for number in range(services):
        name = f"service-{number:04d}"
        resources += [Service(name), Pool(f"{name}-workers", name)]
        for order in range(RANKS):
            resources.append(Rank(f"rank-{order}", name, order, 50, 1.0, 0.2))
        for order in range(ROUTES):
            resources.append(create_route(name, order, timeout_ms=1_000))
    return resources


def create_route(service: str, order: int, *, timeout_ms: int) -> Route:
    return Route(
        f"route-{order}",
        service,
        f"/{service}/part-{order}",
        ("GET", "POST"),
        f"{service}-workers",
        f"rank-{order % RANKS}",
        timeout_ms,
        True,
    )


def build_base(services: int) -> Snapshot:
    change = Change(tuple(create_resources(services)))
    return apply_change(EMPTY_SNAPSHOT, change, version=1)


def create_small_change(number: int) -> Change:
    route = create_route("service-0007", 1, timeout_ms=1_000 + number)
    return Change((route,))


def time_runs(function: Callable[[], object]) -> list[float]:
    """Return the CPU time of each of ``RUNS`` runs, in microseconds."""
    times = []
    for _ in range(RUNS):
        gc.collect()
        started_at = time.process_time()
        function()
        times.append((time.process_time() - started_at) * 1e6)
    return times


def build_row(name: str, values: list[float], unit: str, services: int) -> Row:
    median_value = statistics.median(values)
    parameters = {"services": services, "resources": services * (2 + RANKS + ROUTES)}
    return Row(name, median_value, unit, min(values), max(values), parameters)


@register_benchmark("configuration_cost")
def measure_configuration_cost(seed: int) -> list[Row]:
    """Measure a small change and a full snapshot at two sizes."""
    rows = []
    for services in SIZES:
        rows += measure_small_change(services)
        rows += measure_full_snapshot(services)
        rows += measure_acceptance(services)
        rows += measure_memory(services)
    return rows


def measure_small_change(services: int) -> list[Row]:
    base = build_base(services)
    change = create_small_change(1)
    record = build_record(
        base, change, change_id="c" * 24, author="planner", accepted_at=1.0
    )
    data = codec.serialize_row(record)
    changed = apply_change(base, change, version=2)
    table = RouteTable(base)
    steps = {
        "decode a small record": lambda: codec.parse_row(data),
        "apply a small change": lambda: apply_change(base, change, version=2),
        "validate the whole after a small change": lambda: validate_snapshot(changed),
        "whole route table after a small change": lambda: RouteTable(changed),
        "validate after a small change": lambda: validate_change(base, changed),
        "route table after a small change": lambda: table.build_next(changed),
        "take a small record whole": lambda: apply_small_record(base, record, table),
    }
    rows = [build_row(n, time_runs(step), "us", services) for n, step in steps.items()]
    rows.append(build_row("bytes of a small record", [len(data)], "B", services))
    return rows


def validate_change(base: Snapshot, changed: Snapshot) -> None:
    validate_snapshot(changed, base=base)


def apply_small_record(base: Snapshot, record, table: RouteTable) -> None:
    """Do all of a daemon's work for a small change: apply it, build its route table."""
    replica = Replica(base)
    table.build_next(replica.apply_record(record))


def measure_full_snapshot(services: int) -> list[Row]:
    snapshot = build_base(services)
    data = codec.encode_snapshot(snapshot).SerializeToString()
    steps = {
        "encode a whole snapshot": lambda: codec.encode_snapshot(snapshot),
        "decode a whole snapshot": lambda: codec.parse_snapshot(data),
        "validate a whole snapshot": lambda: validate_snapshot(snapshot),
        "route table of a whole snapshot": lambda: RouteTable(snapshot),
    }
    rows = [build_row(n, time_runs(step), "us", services) for n, step in steps.items()]
    rows.append(build_row("bytes of a whole snapshot", [len(data)], "B", services))
    return rows


def measure_acceptance(services: int) -> list[Row]:
    """Measure the work of a daemon that accepts a sheet with one changed route."""
    base = build_base(services)
    resources = create_resources(services)
    resources[-1] = create_route(f"service-{services - 1:04d}", 4, timeout_ms=999)
    text = format_sheet(resources)
    change = compute_change(base, resources)
    steps = {
        "check a whole sheet": lambda: check_sheet(text),
        "compute the change to a sheet": lambda: compute_change(base, resources),
        "build the record of a sheet": lambda: build_record(
            base, change, change_id="c", author="a", accepted_at=1.0
        ),
    }
    return [build_row(n, time_runs(step), "us", services) for n, step in steps.items()]


def format_sheet(resources: list[Resource]) -> str:
    """Return a sheet with one line for each resource."""
    output = io.StringIO()
    writer = csv.DictWriter(output, COLUMNS, extrasaction="ignore")
    writer.writeheader()
    for resource in resources:
        cells = {**asdict(resource), "kind": resource.key.kind}
        if isinstance(resource, Service):
            cells["service"] = resource.name
        if isinstance(resource, Route):
            cells["methods"] = " ".join(resource.methods)
            cells["idempotent"] = "yes" if resource.idempotent else "no"
        writer.writerow(cells)
    return output.getvalue()


def measure_memory(services: int) -> list[Row]:
    """Measure the memory of a replica whose content was decoded from messages."""
    data = codec.encode_snapshot(build_base(services)).SerializeToString()
    base = codec.parse_snapshot(data)
    messages = []
    for number in range(RECORD_COUNT):
        record = build_record(
            base,
            create_small_change(number),
            change_id="c" * 24,
            author="planner",
            accepted_at=1.0,
        )
        messages.append(codec.serialize_row(record))
        base = apply_change(base, create_small_change(number), version=base.version + 1)
    gc.collect()
    tracemalloc.start()
    replica = Replica(codec.parse_snapshot(data))
    table = RouteTable(replica.snapshot)
    snapshot_bytes = tracemalloc.get_traced_memory()[0]
    for message in messages:
        replica.apply_record(codec.parse_row(message))
        table = table.build_next(replica.snapshot)
    record_bytes = tracemalloc.get_traced_memory()[0] - snapshot_bytes
    tracemalloc.stop()
    assert table.version == replica.version
    return [
        build_row("memory of snapshot and routes", [snapshot_bytes], "B", services),
        build_row(
            "memory of a kept record", [record_bytes / RECORD_COUNT], "B", services
        ),
    ]
