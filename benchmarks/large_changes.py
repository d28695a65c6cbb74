"""Cost of a change of many routes, as a document of the store and as a packed pull."""

from __future__ import annotations

import base64
import random
import statistics
import zlib
from types import SimpleNamespace
from typing import TYPE_CHECKING

from benchmarks.configuration_cost import time_runs
from benchmarks.results import Row, register_benchmark
from flamingohead.core.dissemination import Dissemination
from flamingohead.core.versions import Replica
from flamingohead.kernel import Kernel
from flamingohead.platform.documents import DocumentReader
from flamingohead.protocol import codec, packing
from flamingohead.services.configuration import ConfigurationService
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.hosts import build_document

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (300, 1160, 3000)
FIRST_ROUTES = 40


@register_benchmark("large_changes")
def measure_large_changes(seed: int) -> list[Row]:
    """Measure bytes and CPU time of changes that add many routes."""
    return [row for count in SIZES for row in measure_change(count)]


def measure_change(count: int) -> list[Row]:
    """Measure a change that adds ``count`` routes."""
    first, second = (
        build_document(version, build_routes(number))
        for version, number in ((3, FIRST_ROUTES), (9, FIRST_ROUTES + count))
    )
    reader = DocumentReader()
    base, snapshot = reader.read(first), reader.read(second)
    replica = Replica(base)
    replica.apply_snapshot(snapshot)
    packed = build_service(replica).get_pull_reply(3, takes_packed=True)

    def apply_reply() -> None:
        receiver = Replica(base)
        for record in packing.unpack_pull_reply(packed).records:
            receiver.apply_record(codec.decode_record(record))

    def read() -> None:
        reader_of_first = DocumentReader()
        reader_of_first.read(first)
        Replica(base).apply_snapshot(reader_of_first.read(second))

    steps: dict[str, Callable[[], object]] = {
        "read the document": read,
        "make a packed reply": lambda: build_service(replica).get_pull_reply(
            3, takes_packed=True
        ),
        "take a packed reply": apply_reply,
    }
    rows = [
        build_row("document in base64", [len(base64.b64encode(second))], "B", count),
        build_row("packed reply", [packed.ByteSize()], "B", count),
    ]
    rows += [build_row(n, time_runs(step), "us", count) for n, step in steps.items()]
    return rows


def build_routes(count: int) -> dict[str, str]:
    """Return routes with pseudo-random paths that share hardly any prefix."""
    names = (f"{zlib.crc32(b'%d' % number):08x}" for number in range(count))
    return {f"/{name[:4]}/{name[4:]}/": "ledger" for name in names}


def build_service(replica: Replica) -> ConfigurationService:
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    kernel.add("gossip", SimpleNamespace())
    dissemination = Dissemination(replica, random=random.Random(1))
    return ConfigurationService(kernel, dissemination)


def build_row(name: str, values: list[float], unit: str, count: int) -> Row:
    median_value = statistics.median(values)
    return Row(name, median_value, unit, min(values), max(values), {"routes": count})
