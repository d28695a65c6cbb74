"""Latency that one and two daemons add to a direct call.

One run loads the three paths alternately, in short segments. The client is a single
loop over plain sockets, so that its overhead is small and the same for each path.
"""

from __future__ import annotations

import http.client
import random
import secrets
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import psutil

from benchmarks.results import ROOT, Row, register_benchmark
from flamingohead.addresses import split_address
from flamingohead.testing.processes import TOKEN, LocalMesh

PATH = "/ledger/lookup"
KEYED_PATH = "/ledger/hand-over"
SHEET = ROOT / "examples" / "kente-mirror.csv"
SEGMENT_SECONDS = 0.5
BLOCKS = 4
IDLE_SECONDS = 3.0
START_TIMEOUT = 30.0
RESPONSE_TIMEOUT = 5.0
DIRECT = "direct"
ONE_DAEMON = "one_daemon"
TWO_DAEMONS = "two_daemons"


@dataclass(frozen=True)
class Load:
    """Describe the load of one path, with ``rate`` in calls per second."""

    rate: int
    cycles: int
    keyed: bool = False

    @property
    def kind(self) -> str:
        return "hand-over" if self.keyed else "lookup"


LOADS = (Load(45, 16), Load(150, 8), Load(300, 4), Load(45, 8, keyed=True))


@dataclass
class HopConnection:
    """Carry one request at a time over a socket."""

    socket: socket.socket
    due: float = 0.0
    received: bytes = b""

    def is_complete(self) -> bool:
        """Return whether the response has arrived completely."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        head = head.lower()
        start = head.index(b"content-length:") + len(b"content-length:")
        length = int(head[start:].split(b"\r\n", 1)[0])
        return len(body) >= length


def _build_request_head(address: str, keyed: bool) -> str:
    method, path = ("POST", KEYED_PATH) if keyed else ("GET", PATH)
    return (
        f"{method} {path} HTTP/1.1\r\nhost: {address}\r\n"
        "request-id: 0123456789abcdef\r\naccept: */*\r\nuser-agent: hop\r\n"
        "content-length: 0\r\n"
    )


class HopClient:
    """Send calls to one address on schedule; latency counts from the scheduled time."""

    def __init__(self, address: str, *, keyed: bool = False, head: str = "") -> None:
        self._address = split_address(address)
        self._keyed = keyed
        self._request = (head or _build_request_head(address, keyed)).encode()
        self._idle: list[HopConnection] = []
        self._selector = selectors.SelectSelector()

    def run_segment(self, rate: int, generator: random.Random) -> list[float]:
        """Return the latencies of one segment, in milliseconds."""
        latencies: list[float] = []
        ends_at = time.perf_counter() + SEGMENT_SECONDS
        due = time.perf_counter() + generator.expovariate(rate)
        outstanding = 0
        while due < ends_at or outstanding:
            now = time.perf_counter()
            if now > ends_at + RESPONSE_TIMEOUT:
                raise TimeoutError(f"timed out waiting for {outstanding} responses")
            while due <= now and due < ends_at:
                self._send(due)
                outstanding += 1
                due += generator.expovariate(rate)
            wait = due - time.perf_counter() if due < ends_at else RESPONSE_TIMEOUT
            if outstanding == 0:
                time.sleep(max(0.0, wait))
                continue
            for key, _ in self._selector.select(max(0.0, wait)):
                if self._receive(key.data):
                    latencies.append((time.perf_counter() - key.data.due) * 1000)
                    outstanding -= 1
        return latencies

    def _send(self, due: float) -> None:
        connection = self._idle.pop() if self._idle else self._connect()
        connection.due = due
        connection.received = b""
        key = f"idempotency-key: {secrets.token_hex(8)}\r\n" if self._keyed else ""
        connection.socket.send(self._request + key.encode() + b"\r\n")
        self._selector.register(connection.socket, selectors.EVENT_READ, connection)

    def _connect(self) -> HopConnection:
        new_socket = socket.create_connection(self._address)
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return HopConnection(new_socket)

    def _receive(self, connection: HopConnection) -> bool:
        data = connection.socket.recv(65536)
        if not data:
            raise ConnectionError("connection closed before the response was complete")
        connection.received += data
        if not connection.is_complete():
            return False
        if not connection.received.startswith(b"HTTP/1.1 200"):
            raise ValueError(f"response is not 200: {connection.received[:200]!r}")
        self._selector.unregister(connection.socket)
        self._idle.append(connection)
        return True


@dataclass
class PathResult:
    """Collect a path's latencies (ms) by segment and its daemons' CPU time (s)."""

    segments: list[list[float]] = field(default_factory=list)
    processor_seconds: dict[str, float] = field(default_factory=dict)

    def list_latencies(self) -> list[float]:
        return [latency for segment in self.segments for latency in segment]

    def list_blocks(self) -> list[list[float]]:
        """Return the latencies in ``BLOCKS`` blocks of equal duration."""
        size = max(1, len(self.segments) // BLOCKS)
        blocks = [
            self.segments[i : i + size] for i in range(0, len(self.segments), size)
        ]
        return [
            [value_ms for segment in block for value_ms in segment] for block in blocks
        ]


def get_percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile."""
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * percent // 100))
    return ordered[int(rank) - 1]


class HopMesh:
    """Run two daemons; only the owner has an upstream, so the entry must relay."""

    def __init__(self, mesh: LocalMesh) -> None:
        self._mesh = mesh
        mesh.start_platform()
        self.entry = mesh.start_daemon("makola-0", "makola")
        self.owner = mesh.start_daemon("makola-1", "makola")
        self.upstream = mesh.start_upstream(
            "ledger", "stall-ledger", "makola-1", service_ms=0
        )
        mesh.wait_until_listening()
        self._apply_sheet()
        for daemon in (self.entry, self.owner):
            self._wait_until_serving(daemon.addresses.ingress)

    def get_addresses(self) -> dict[str, str]:
        """Return the address that a caller uses for each path."""
        return {
            DIRECT: self.upstream.address,
            ONE_DAEMON: self.owner.addresses.ingress,
            TWO_DAEMONS: self.entry.addresses.ingress,
        }

    def read_processor_seconds(self) -> dict[str, float]:
        """Return the CPU time that each daemon has used, in seconds."""
        seconds = {}
        for name, daemon in (("entry", self.entry), ("owner", self.owner)):
            times = psutil.Process(daemon.process.popen.pid).cpu_times()
            seconds[name] = times.user + times.system
        return seconds

    def _apply_sheet(self) -> None:
        control = self.owner.addresses.control
        command = [sys.executable, "-m", "flamingohead", "apply", str(SHEET), "--wait"]
        command += ["--control-address", control, "--control-token", TOKEN]
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)

    def _wait_until_serving(self, address: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            connection = http.client.HTTPConnection(address, timeout=5)
            connection.request("GET", PATH)
            status = connection.getresponse().status
            connection.close()
            if status == 200:
                return
            time.sleep(0.1)
        raise TimeoutError(f"timed out waiting for {address} to answer with 200")


def measure_load(
    mesh: HopMesh, load: Load, generator: random.Random
) -> dict[str, PathResult]:
    """Load the three paths alternately, in a random order for each cycle."""
    clients = {
        name: HopClient(address, keyed=load.keyed)
        for name, address in mesh.get_addresses().items()
    }
    results = {name: PathResult() for name in clients}
    for client in clients.values():
        client.run_segment(load.rate, generator)
    names = list(clients)
    for _ in range(load.cycles):
        generator.shuffle(names)
        for name in names:
            before = mesh.read_processor_seconds()
            latencies = clients[name].run_segment(load.rate, generator)
            used = results[name].processor_seconds
            for daemon, seconds in mesh.read_processor_seconds().items():
                used[daemon] = used.get(daemon, 0.0) + seconds - before[daemon]
            results[name].segments.append(latencies)
    return results


def build_latency_rows(load: Load, results: dict[str, PathResult]) -> list[Row]:
    """Return the latency of each path and the latency added by the daemons."""
    rows = []
    direct = results[DIRECT]
    for name, result in results.items():
        parameters = {"path": name, "rate": load.rate, "kind": load.kind}
        for percent in (50, 99):
            value = get_percentile(result.list_latencies(), percent)
            blocks = [get_percentile(b, percent) for b in result.list_blocks()]
            row_name = f"latency_p{percent}"
            rows.append(
                Row(row_name, value, "ms", min(blocks), max(blocks), parameters)
            )
            if name == DIRECT:
                continue
            base = get_percentile(direct.list_latencies(), percent)
            added = [
                block - get_percentile(d, percent)
                for block, d in zip(blocks, direct.list_blocks(), strict=True)
            ]
            row_name = f"added_p{percent}"
            rows.append(
                Row(row_name, value - base, "ms", min(added), max(added), parameters)
            )
    return rows


def build_processor_rows(
    load: Load, results: dict[str, PathResult], idle: dict[str, float]
) -> list[Row]:
    """Return the CPU time of each daemon per call, without its idle use."""
    rows = []
    for name in (ONE_DAEMON, TWO_DAEMONS):
        result = results[name]
        calls = len(result.list_latencies())
        seconds = load.cycles * SEGMENT_SECONDS
        for daemon, used in result.processor_seconds.items():
            if name == ONE_DAEMON and daemon == "entry":
                continue
            microseconds = (used - idle[daemon] * seconds) / calls * 1_000_000
            parameters = {"path": name, "rate": load.rate, "kind": load.kind}
            parameters["daemon"] = daemon
            rows.append(
                Row("processor_time", microseconds, "µs", None, None, parameters)
            )
    return rows


@register_benchmark("hop")
def measure_hop(seed: int) -> list[Row]:
    """Measure the added latency and the CPU time at several rates."""
    generator = random.Random(seed)
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as local:
            mesh = HopMesh(local)
            before = mesh.read_processor_seconds()
            time.sleep(IDLE_SECONDS)
            after = mesh.read_processor_seconds()
            idle = {n: (after[n] - before[n]) / IDLE_SECONDS for n in after}
            for name, used in idle.items():
                rows.append(
                    Row("idle_core", used * 100, "%", None, None, {"daemon": name})
                )
            for load in LOADS:
                results = measure_load(mesh, load, generator)
                rows += build_latency_rows(load, results)
                rows += build_processor_rows(load, results, idle)
    return rows
