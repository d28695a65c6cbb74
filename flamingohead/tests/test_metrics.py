"""Tests that the documented metric names and the code agree."""

from __future__ import annotations

import ast
import re
import socket

from flamingohead.core.admission import Admission
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank, Service, Snapshot
from flamingohead.core.routing import RouteTable
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.reactor import install_reactor
from flamingohead.services.slots import LocalUpstream, SlotService
from flamingohead.testing.processes import ROOT

METHODS = ("count", "set_gauge", "record_time")
CATALOGUE = ROOT / "docs" / "metrics.md"


def read_pattern(node):
    """Return a metric name with ``*`` for each computed part."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else "*"
            for part in node.values
        ]
        return "".join(parts)
    return None


def find_metric_names():
    names = set()
    folders = (ROOT / "flamingohead" / name for name in ("services", "platform"))
    for path in (path for folder in folders for path in folder.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "attr", None) in METHODS:
                name = read_pattern(node.args[0])
                if name is not None:
                    names.add(name)
    return names


class TestMetricNames:
    def test_catalogue_and_code_agree(self):
        listed = set(re.findall(r"^\| `([^`]+)`", CATALOGUE.read_text(), re.MULTILINE))
        assert listed == find_metric_names()


class TestStatsd:
    def test_counters_and_gauges_reach_a_statsd_server(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(10)
            host, port = server.getsockname()
            metrics = MetricsService(f"{host}:{port}")
            install_reactor().run_until_complete(metrics.start())
            metrics.count_refusal(Refusal(ErrorKind.QUEUE_FULL))
            metrics.set_gauge("queue.booking.slot-list", 3)
            received = {server.recv(1024) for _ in range(2)}
            install_reactor().run_until_complete(metrics.stop())
        assert received == {
            b"flamingohead.refusal.queue_full:1|c",
            b"flamingohead.queue.booking.slot-list:3|g",
        }


class TestQueueGauges:
    def test_waiting_and_running_are_set_by_rank(self):
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        slots = SlotService(kernel)
        ranks = (Rank("slot-list", "booking", 0, 50, 1.0, 0.5),)
        service = Service("booking")
        snapshot = Snapshot.build(1, {r.key: r for r in (service, *ranks)})
        slots.set_routes(RouteTable(snapshot))
        state = UpstreamState("u", "booking", UpstreamStatus.READY, 1)
        admission = Admission(slots=1, ranks=ranks)
        slots.upstreams["u"] = LocalUpstream(state, "127.0.0.1:1", admission)
        for _ in range(3):
            admission.offer(Ticket("slot-list", 10.0), 0.0)
        slots._report_queues()
        gauges = kernel.get("metrics").gauges
        assert gauges["queue.booking.slot-list"] == 2
        assert gauges["running.booking.slot-list"] == 1
