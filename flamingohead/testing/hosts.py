"""A small mesh of processes on the platform's protocol: store, daemons, upstreams."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import yaml

from flamingohead.testing.processes import (
    LOOPBACK,
    Process,
    choose_address,
    start_python,
    wait_for_port,
)

if TYPE_CHECKING:
    from pathlib import Path

HOST = "ledger.example"


@dataclass
class Host:
    """Hold a daemon, its upstream and their addresses."""

    name: str
    service: str
    ingress: str
    relay: str
    ready: str
    control: str
    upstream: str
    settings_path: Path
    metrics: str = ""
    # Where the upstream listens, if not at the address that it announces.
    listen: str = ""
    daemon: Process | None = None
    instance: Process | None = None


def build_document(version: int, routes: dict[str, str], **changes) -> bytes:
    """Return a configuration document; ``routes`` maps prefixes to services."""
    rules = [
        {
            "name": f"r{number}",
            "kind": "unsafe" if "unsafe" in prefix else "safe",
            "target-latency": "500ms",
            "priority": 1,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout": "1200ms", "max-attempts": 2},
        }
        for number, (prefix, service) in enumerate(routes.items())
    ]
    document = {
        "version": version,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout": "3000ms",
            "idle-timeout": "15s",
        },
        "listeners": [{"host": HOST, "route-rules": rules}],
        "clusters": [
            {"name": service, "health-path": "/healthz"}
            for service in sorted(set(routes.values()))
        ],
        **changes,
    }
    return json.dumps(document).encode()


def build_settings(host: Host, store: str, peer_port: int, **changes) -> str:
    """Return the text of a settings file as the platform writes it."""
    settings = {
        "node": host.name,
        "role": "sidecar",
        "ip": LOOPBACK,
        "zone": "makola",
        "region": "accra",
        "listen": {
            "outbound": host.ingress,
            "inbound": host.relay,
            "ready": host.ready,
            "control": host.control,
        },
        "internal-ports": [peer_port, peer_port],
        "heartbeat": "300ms",
        "bounds": {"drain": "2000ms", "grace": "6s", "budget-slack": 58},
        "app-addr": host.upstream,
        "service": host.service,
        "platform": {"address": store, "form": "table"},
        "added-later": {"is": "ignored"},
        **changes,
    }
    return yaml.safe_dump(settings)


class HostMesh:
    """Start and end the processes of a small mesh on the platform's protocol."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.store = choose_address()
        self.hosts: dict[str, Host] = {}
        self._processes: list[Process] = []

    def __enter__(self) -> HostMesh:
        arguments = ["-m", "flamingohead.standins", "store", "--listen", self.store]
        self.start_process("store", arguments)
        wait_for_port(self.store)
        return self

    def __exit__(self, *exception: object) -> None:
        for process in self._processes:
            if process.popen.poll() is None:
                process.kill()

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operators do."""
        self._put(f"/operator/{table}/{key}", value)

    def set_faults(self, **faults: object) -> None:
        """Set the faults of the store; none given ends them."""
        self._put("/faults", json.dumps(faults).encode())

    def copy_store(self) -> None:
        """Let the store keep a copy of all that it holds."""
        self._put("/copy", b"")

    def restore_store(self) -> None:
        """Let the store come back from its last copy, in a new era."""
        self._put("/restore", b"")

    def add_host(
        self, name: str, service: str, *, slots: int = 4, **settings: object
    ) -> Host:
        """Start a daemon and the upstream beside it."""
        host = self.add_daemon(name, service, **settings)
        self.start_instance(host, f"i-{name}", slots=slots)
        return host

    def add_daemon(
        self,
        name: str,
        service: str,
        *,
        store: str = "",
        upstream: str = "",
        **settings: object,
    ) -> Host:
        """Start a daemon; addresses and fields of its settings may be replaced."""
        addresses = [choose_address() for _ in range(5)]
        path = self.directory / f"{name}.yaml"
        host = Host(name, service, *addresses, path, choose_address())
        host.upstream = upstream or host.upstream
        peer_port = int(choose_address().rpartition(":")[2])
        path.write_text(
            build_settings(host, store or self.store, peer_port, **settings)
        )
        self.hosts[name] = host
        self.start_daemon(host)
        return host

    def start_daemon(self, host: Host) -> None:
        """Start the daemon of a host."""
        host.daemon = self.start_process(
            f"daemon-{host.name}",
            ["-m", "flamingohead.platform"],
            FLAMINGOHEAD_SETTINGS=str(host.settings_path),
            FLAMINGOHEAD_METRICS_PORT=host.metrics.rpartition(":")[2],
        )

    def start_instance(
        self,
        host: Host,
        name: str,
        *,
        slots: int = 4,
        journal: Path | None = None,
        clock_offset_ms: int = 0,
        drain_seconds: float = 0.0,
        lost_share: float = 0.0,
    ) -> None:
        """Start the upstream of a host; it may note what it runs in a journal."""
        arguments = ["-m", "flamingohead.standins", "instance"]
        arguments += ["--listen", host.listen or host.upstream, "--name", name]
        arguments += ["--announced", host.upstream, "--slots", str(slots)]
        arguments += ["--service", host.service, "--control", host.control]
        arguments += ["--clock-offset-ms", str(clock_offset_ms)]
        arguments += ["--drain-seconds", str(drain_seconds)]
        arguments += ["--lost-share", str(lost_share)]
        if journal is not None:
            arguments += ["--journal", str(journal)]
        host.instance = self.start_process(f"instance-{host.name}", arguments)

    def start_process(
        self, name: str, arguments: list[str], **variables: str
    ) -> Process:
        """Start a Python process whose output goes to a file."""
        process = start_python(name, arguments, self.directory, **variables)
        self._processes.append(process)
        return process

    def _put(self, path: str, body: bytes) -> None:
        status, _, _ = send_request(self.store, "PUT", path, body=body)
        if status != 200:
            raise ValueError(f"{path} was refused with {status}")


def send_request(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Make one request on a new connection; header names in lower case."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        answer = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return response.status, fields, answer
    finally:
        connection.close()


def build_beat(host: Host, *, born: int, sequence: int = 1) -> dict[str, object]:
    """Return the heartbeat of an upstream that started at ``born`` milliseconds."""
    return {
        "service": host.service,
        "address": host.upstream,
        "slots": 4,
        "state": "ready",
        "cold-remaining": "0ms",
        "seq": sequence,
        "born": born,
    }


def send_announcement(host: Host, method: str, name: str, body: dict) -> int:
    """Send what an upstream says of itself; return the status of the answer."""
    path = f"/v1/instances/{name}"
    data = json.dumps(body).encode()
    return send_request(host.control, method, path, body=data)[0]
