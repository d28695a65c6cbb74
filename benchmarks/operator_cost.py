"""Processor time and size of status responses, and cost of counters, in a daemon."""

from __future__ import annotations

import json
import random
import socket
import statistics
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from benchmarks.results import Row, register_benchmark
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.membership import Membership
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import SlotService
from flamingohead.services.status import StatusService

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (50, 150, 300, 613)
RUNS = 15
COUNTER_UPDATES = 2_000


class _ConfigurationStub:
    """Replace the configuration service by one without rejected versions."""

    def __init__(self) -> None:
        from flamingohead.core.versions import Replica

        self.replica = Replica()
        self.activated_at = 0.0
        self.is_ready = True

    def list_rejections(self) -> list:
        return []


class _GossipStub:
    def __init__(self, membership: Membership) -> None:
        self.membership = membership


class _ObservationStub:
    def describe(self) -> list:
        return []


def _create_status(members: int) -> StatusService:
    upstream = UpstreamState("ledger-1", "stall-ledger", UpstreamStatus.READY, 20)
    states = [
        Member(f"h-{n}", "makola", f"{n}:1", f"{n}:2", 1, upstreams=(upstream,))
        for n in range(members)
    ]
    membership = Membership(states[0], random=random.Random(1))
    membership.merge(states[1:], 0.0)
    kernel = Kernel()
    kernel.add("gossip", _GossipStub(membership))
    kernel.add("configuration", _ConfigurationStub())
    kernel.add("observation", _ObservationStub())
    kernel.add("slots", SlotService(kernel))
    return StatusService(kernel)


def _measure_times(function: Callable[[], object]) -> list[float]:
    """Return the processor time of each run of a function, in microseconds."""
    times = []
    for _ in range(RUNS):
        started_at = time.process_time()
        function()
        times.append((time.process_time() - started_at) * 1e6)
    return times


def _build_row(name: str, times: list[float], **parameters: float) -> Row:
    median = statistics.median(times)
    return Row(name, median, "us", min(times), max(times), parameters)


@register_benchmark("operator_cost")
def measure_operator_cost(seed: int) -> list[Row]:
    """Measure status responses by failure domain size, and updates of a counter."""
    rows = []
    for members in SIZES:
        status = _create_status(members)

        def encode_status(status: StatusService = status) -> bytes:
            return json.dumps(asdict(status.describe_daemon())).encode()

        rows.append(
            _build_row("status answer", _measure_times(encode_status), members=members)
        )
        size = len(encode_status())
        rows.append(
            Row("bytes of a status answer", size, "B", None, None, {"members": members})
        )
    rows.append(_measure_counter())
    return rows


def _measure_counter() -> Row:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        host, port = server.getsockname()
        metrics = MetricsService(f"{host}:{port}")
        loop = install_reactor()
        loop.run_until_complete(metrics.start())

        def count() -> None:
            for _ in range(COUNTER_UPDATES):
                metrics.count("calls.booking.slot-list")

        times = [value / COUNTER_UPDATES for value in _measure_times(count)]
        loop.run_until_complete(metrics.stop())
    return _build_row("counter sent by statsd", times)
