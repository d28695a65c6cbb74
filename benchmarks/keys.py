"""Cost of an idempotency key: latency, table operations, CPU time and memory.

One run alternates short segments of requests without a key, with a claimed key and with
a scoped key, while the table responds at once or after a delay.
"""

from __future__ import annotations

import http.client
import json
import random
import tempfile
import threading
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import psutil
from hdrh.histogram import HdrHistogram

from benchmarks.results import ROOT, Row, register_benchmark
from flamingohead.core.idempotency import KeyedRequest, StoredAnswer
from flamingohead.core.ledger import KeyLedger, LedgerSettings
from flamingohead.protocol.key_codec import encode_entry
from flamingohead.testing.processes import LocalMesh, run_command

if TYPE_CHECKING:
    from collections.abc import Iterator

SHEET = ROOT / "examples" / "kente-mirror.csv"
SERVICE = "stall-ledger"
PATH = "/ledger/hand-over"
RATE = 45.0
SEGMENT_SECONDS = 1.0
CYCLES = 5
DELAYS_MS = (0, 20)
COUNTED_REQUESTS = 100
LONG_LIFETIME = 3600.0
SHORT_LIFETIME = 2.0
SETTLE_SECONDS = 4.0
START_TIMEOUT = 30.0
THREADS = 16
NO_KEY = "no_key"
CLAIMED = "claimed"
SCOPED = "scoped"
KINDS = (NO_KEY, CLAIMED, SCOPED)
LEDGER_ENTRIES = 10_000
ANSWER_BYTES = 256


@dataclass
class KindResult:
    """Collect the latencies and the CPU time of one kind of request."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    answered: int = 0
    failed: int = 0
    cpu_seconds: float = 0.0


class KeyLoad:
    """Send hand-overs to the daemons in rotation, on schedule."""

    def __init__(self, mesh: LocalMesh, seed: int) -> None:
        self._mesh = mesh
        self._random = random.Random(seed)
        self._local = threading.local()
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(THREADS)
        self._addresses = [d.addresses.ingress for d in mesh.daemons.values()]
        self._sent = 0
        self._scopes = [self._fetch_scope(address) for address in self._addresses]

    def send(self, address: str, kind: str, number: int) -> bool:
        """Send one hand-over; return whether it was answered."""
        headers = {"Request-Id": str(number), "Content-Length": "0"}
        if kind == CLAIMED:
            headers["Idempotency-Key"] = f"visit-{number}"
        elif kind == SCOPED:
            scope = self._scopes[number % len(self._scopes)]
            headers["Idempotency-Key"] = f"{scope}visit-{number}"
        connection = self._connect(address)
        connection.request("POST", PATH, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status == 200

    def run_segment(self, kind: str, result: KindResult) -> None:
        """Send one segment on schedule; latency counts from the scheduled time."""
        started = self._read_cpu()
        due = time.monotonic()
        ends_at = due + SEGMENT_SECONDS
        futures = []
        while due < ends_at:
            due += self._random.expovariate(RATE)
            time.sleep(max(0.0, due - time.monotonic()))
            futures.append(self._pool.submit(self._send_scheduled, kind, due, result))
        for future in futures:
            future.result()
        result.cpu_seconds += self._read_cpu() - started

    def send_sequentially(self, kind: str, count: int) -> None:
        for number in range(count):
            address = self._addresses[number % len(self._addresses)]
            self.send(address, kind, self._allocate_number())

    def _send_scheduled(self, kind: str, due: float, result: KindResult) -> None:
        number = self._allocate_number()
        address = self._addresses[number % len(self._addresses)]
        answered = self.send(address, kind, number)
        microseconds = round((time.monotonic() - due) * 1_000_000)
        with self._lock:
            if answered:
                result.answered += 1
                result.histogram.record_value(max(1, microseconds))
            else:
                result.failed += 1

    def _allocate_number(self) -> int:
        with self._lock:
            self._sent += 1
            return self._sent

    def _connect(self, address: str) -> http.client.HTTPConnection:
        connections = self._local.__dict__.setdefault("connections", {})
        if address not in connections:
            connections[address] = http.client.HTTPConnection(address, timeout=10)
        return connections[address]

    def _fetch_scope(self, address: str) -> str:
        connection = self._connect(address)
        connection.request("GET", "/.flamingohead/key-scope")
        return json.loads(connection.getresponse().read())["scope"]

    def _read_cpu(self) -> float:
        times = [
            psutil.Process(daemon.process.popen.pid).cpu_times()
            for daemon in self._mesh.daemons.values()
        ]
        return sum(t.user + t.system for t in times)


def _call_standin(address: str, method: str, path: str, body: str = "") -> dict:
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request(method, path, body)
    content = json.loads(connection.getresponse().read())
    connection.close()
    return content


def _start_mesh(mesh: LocalMesh, key_lifetime: float) -> None:
    mesh.start_platform()
    for number in range(3):
        mesh.start_daemon(f"osu-{number}", "osu", key_lifetime=key_lifetime)
    for number in range(2):
        mesh.start_upstream(f"ledger-{number}", SERVICE, f"osu-{number}")
    mesh.wait_until_listening()
    run_command(mesh, "apply", str(SHEET), "--wait").check_returncode()


def _wait_until_serving(load: KeyLoad, mesh: LocalMesh) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    for daemon in mesh.daemons.values():
        while not load.send(daemon.addresses.ingress, NO_KEY, 0):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"timed out waiting for {daemon.host_id} to serve requests"
                )
            time.sleep(0.1)


def _measure_latency(load: KeyLoad, mesh: LocalMesh, delay_ms: int) -> list[Row]:
    mesh.set_platform_faults(mesh.table_address, delay_ms=delay_ms)
    results = {kind: KindResult() for kind in KINDS}
    for _ in range(CYCLES):
        for kind in KINDS:
            load.run_segment(kind, results[kind])
    rows = []
    for kind, result in results.items():
        parameters = {"kind": kind, "table_delay_ms": delay_ms, "rate": RATE}
        for name, percentile in (("median", 50.0), ("p99", 99.0)):
            value = result.histogram.get_value_at_percentile(percentile) / 1000
            rows.append(Row(f"latency_{name}", value, "ms", parameters=parameters))
        cpu = result.cpu_seconds / max(1, result.answered) * 1_000_000
        rows.append(Row("daemon_cpu_per_request", cpu, "us", parameters=parameters))
        rows.append(Row("answered", result.answered, "", parameters=parameters))
        rows.append(Row("not_answered", result.failed, "", parameters=parameters))
    return rows


def _count_operations(load: KeyLoad, mesh: LocalMesh, kind: str) -> list[Row]:
    time.sleep(SETTLE_SECONDS)
    before = _call_standin(mesh.table_address, "GET", "/usage")
    started_at = time.monotonic()
    load.send_sequentially(kind, COUNTED_REQUESTS)
    time.sleep(SETTLE_SECONDS)
    after = _call_standin(mesh.table_address, "GET", "/usage")
    parameters = {
        "kind": kind,
        "requests": COUNTED_REQUESTS,
        "seconds": round(time.monotonic() - started_at, 1),
    }
    return [
        Row(
            f"table_{name}_per_request",
            (after[name] - before[name]) / COUNTED_REQUESTS,
            "",
            parameters=parameters,
        )
        for name in ("writes", "reads")
    ]


def _fill_ledger(ledger: KeyLedger) -> float:
    """Add and finish keys in a ledger; return the CPU time in seconds."""
    started = time.process_time()
    for number in range(LEDGER_ENTRIES):
        key = f"visit-{number}"
        request = KeyedRequest(SERVICE, key, "d" * 64, 1, f"{number:016x}")
        nonce = f"{number:032x}"
        ledger.look_up(request)
        ledger.add_entry(request, nonce, 100.0)
        ledger.start(nonce, 0.0, 10.0)
        ledger.finish(nonce, StoredAnswer(200, (), b"." * ANSWER_BYTES))
    return time.process_time() - started


def _measure_ledger() -> list[Row]:
    limits = LedgerSettings(maximum_entries=LEDGER_ENTRIES)
    seconds = _fill_ledger(KeyLedger(limits))
    tracemalloc.start()
    ledger = KeyLedger(limits)
    _fill_ledger(ledger)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    message = encode_entry(ledger.list_final()[0], 0.0)
    parameters = {"entries": LEDGER_ENTRIES, "answer_bytes": ANSWER_BYTES}
    per_entry = 1 / LEDGER_ENTRIES
    return [
        Row(
            "ledger_cpu_per_key", seconds * per_entry * 1e6, "us", parameters=parameters
        ),
        Row("ledger_memory_per_key", size * per_entry, "B", parameters=parameters),
        Row("hand_over_per_key", message.ByteSize(), "B", parameters=parameters),
    ]


@contextmanager
def _open_load(seed: int, key_lifetime: float) -> Iterator[tuple[KeyLoad, LocalMesh]]:
    """Yield a load and a mesh whose claims expire after ``key_lifetime`` seconds."""
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            _start_mesh(mesh, key_lifetime)
            load = KeyLoad(mesh, seed)
            _wait_until_serving(load, mesh)
            yield load, mesh


@register_benchmark("keys")
def measure_keys(seed: int) -> list[Row]:
    """Measure the cost that claimed and scoped keys add to a request."""
    rows = _measure_ledger()
    with _open_load(seed, LONG_LIFETIME) as (load, mesh):
        for delay_ms in DELAYS_MS:
            rows += _measure_latency(load, mesh, delay_ms)
    with _open_load(seed, SHORT_LIFETIME) as (load, mesh):
        for kind in KINDS:
            rows += _count_operations(load, mesh, kind)
    return rows
