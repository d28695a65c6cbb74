"""Local mesh of store, daemons and upstreams that use the platform's protocol."""

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
    from collections.abc import Collection
    from pathlib import Path

HOST = "ledger.example"


@dataclass
class Host:
    """Group a daemon, its upstream and their addresses."""

    name: str
    service: str
    ingress: str
    relay: str
    ready: str
    control: str
    upstream: str
    settings_path: Path
    metrics: str = ""
    # Address on which the upstream listens, if it isn't the announced one.
    listen: str = ""
    # File with the names of the links that are down, of an isolated daemon.
    links_path: Path | None = None
    daemon: Process | None = None
    instance: Process | None = None


def build_document(
    version: int,
    routes: dict[str, str | dict[str, int]],
    *,
    max_attempts: int = 2,
    timeout_ms: int = 1200,
    public: Collection[str] = (),
    **changes,
) -> bytes:
    """Build a configuration document.

    ``routes`` maps path prefixes to services, or to the weights of several services.
    Requests for the prefixes in ``public`` need no key.
    """
    rules = [
        {
            "name": f"r{number}",
            "kind": _get_kind(prefix),
            "target-latency": "500ms",
            "priority": 1,
            "match": {"prefix": prefix},
            "action": {
                "timeout": f"{timeout_ms}ms",
                "max-attempts": max_attempts,
                **_build_destination(destination),
            },
            **({"public": True} if prefix in public else {}),
        }
        for number, (prefix, destination) in enumerate(routes.items())
    ]
    services = {
        service
        for destination in routes.values()
        for service in ([destination] if isinstance(destination, str) else destination)
    }
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
            {"name": service, "health-path": "/healthz"} for service in sorted(services)
        ],
        **changes,
    }
    return json.dumps(document).encode()


def _get_kind(prefix: str) -> str:
    """Return the kind of the requests of a route, which its prefix names."""
    if "upload" in prefix:
        return "upload"
    return "unsafe" if "unsafe" in prefix else "safe"


def _build_destination(destination: str | dict[str, int]) -> dict[str, object]:
    if isinstance(destination, str):
        return {"service": destination}
    split = [{"service": s, "weight": weight} for s, weight in destination.items()]
    return {"split": split}


def build_settings(host: Host, store: str, peer_port: int, **changes) -> str:
    """Build the text of a settings file in the platform's format."""
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
    """Start and stop the processes of a mesh that uses the platform's protocol."""

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
        """Write a row to the store as an operator does."""
        self._put(f"/operator/{table}/{key}", value)

    def set_faults(self, **faults: object) -> None:
        """Replace the faults of the store; without arguments, clear them."""
        self._put("/faults", json.dumps(faults).encode())

    def back_up_store(self) -> None:
        """Back up the contents of the store."""
        self._put("/copy", b"")

    def restore_store(self) -> None:
        """Restore the store from its last backup, in a new era."""
        self._put("/restore", b"")

    def add_host(
        self, name: str, service: str, *, slots: int = 4, **settings: object
    ) -> Host:
        """Start a daemon and its upstream."""
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
        isolated: bool = False,
        **settings: object,
    ) -> Host:
        """Start a daemon; arguments replace addresses and fields of its settings.

        The links of an ``isolated`` daemon can be cut with ``set_links_down``.
        """
        addresses = [choose_address() for _ in range(5)]
        path = self.directory / f"{name}.yaml"
        host = Host(name, service, *addresses, path, choose_address())
        host.upstream = upstream or host.upstream
        peer_port = int(choose_address().rpartition(":")[2])
        path.write_text(
            build_settings(host, store or self.store, peer_port, **settings)
        )
        self.hosts[name] = host
        if isolated:
            host.links_path = self.directory / f"{name}.links"
            self.set_links_down(host)
        self.start_daemon(host)
        return host

    def set_links_down(self, host: Host, *names: str) -> None:
        """Set which links of an isolated daemon are down: ``store`` or ``all``."""
        host.links_path.write_text(" ".join(names))

    def start_daemon(self, host: Host) -> None:
        """Start the daemon of a host."""
        module = "flamingohead.platform"
        if host.links_path is not None:
            module = "flamingohead.testing.isolated_daemon"
        host.daemon = self.start_process(
            f"daemon-{host.name}",
            ["-m", module],
            FLAMINGOHEAD_LINKS=str(host.links_path or ""),
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
        options: Collection[str] = (),
    ) -> None:
        """Start the upstream of a host; ``journal`` is a file to record its runs in.

        ``options`` are further ones of the command line of the stand-in.
        """
        arguments = ["-m", "flamingohead.standins", "instance"]
        arguments += ["--listen", host.listen or host.upstream, "--name", name]
        arguments += ["--announced", host.upstream, "--slots", str(slots)]
        arguments += ["--service", host.service, "--control", host.control]
        arguments += ["--clock-offset-ms", str(clock_offset_ms)]
        arguments += ["--drain-seconds", str(drain_seconds)]
        arguments += ["--lost-share", str(lost_share), *options]
        if journal is not None:
            arguments += ["--journal", str(journal)]
        host.instance = self.start_process(f"instance-{host.name}", arguments)

    def start_process(
        self, name: str, arguments: list[str], **variables: str
    ) -> Process:
        """Start a Python process that logs to a file."""
        process = start_python(name, arguments, self.directory, **variables)
        self._processes.append(process)
        return process

    def _put(self, path: str, body: bytes) -> None:
        status, _, _ = send_request(self.store, "PUT", path, body=body)
        if status != 200:
            raise ValueError(f"{path} returned status {status} instead of 200")


def send_request(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; returned header names are in lower case."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return response.status, response_headers, content
    finally:
        connection.close()


def build_heartbeat(host: Host, *, born: int, sequence: int = 1) -> dict[str, object]:
    """Build the heartbeat of an upstream that started at ``born`` (milliseconds)."""
    return {
        "service": host.service,
        "address": host.upstream,
        "zone": "makola",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-remaining": "0ms",
        "seq": sequence,
        "born": born,
    }


def send_announcement(host: Host, method: str, name: str, body: dict) -> int:
    """Send an announcement of an upstream; return the status of the response."""
    path = f"/v1/instances/{name}"
    data = json.dumps(body).encode()
    return send_request(host.control, method, path, body=data)[0]
