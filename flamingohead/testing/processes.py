"""Daemons and stand-ins run as local processes on the loopback address.

Used by tests, experiments and the demo; the system itself starts no processes.
"""

from __future__ import annotations

import fcntl
import http.client
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
PORT_LOCK_DIRECTORY = Path(tempfile.gettempdir()) / "flamingohead-ports"
MIN_PORT = 10_000
MAX_PORT = 30_000
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
TOKEN = "loopback-token"

_given_ports: set[int] = set()


_port_locks: list[TextIO] = []


def choose_address() -> str:
    """Return a free loopback address, reserved until this process ends."""
    while True:
        port = random.SystemRandom().randrange(MIN_PORT, MAX_PORT)
        if _reserve_port(port) and _is_port_free(port):
            return f"{LOOPBACK}:{port}"


def _reserve_port(port: int) -> bool:
    """Lock a file for a port, because concurrent test processes choose ports too."""
    PORT_LOCK_DIRECTORY.mkdir(exist_ok=True)
    lock_file = (PORT_LOCK_DIRECTORY / str(port)).open("a")
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock_file.close()
        return False
    _port_locks.append(lock_file)
    return True


def _is_port_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def wait_for_port(address: str, timeout: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until a TCP port accepts connections, or raise ``TimeoutError``."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on {address} after {timeout} s")


@dataclass
class Process:
    """Represent a started process and its log file."""

    name: str
    popen: subprocess.Popen
    log_path: Path

    def handles_signal(self, number: int) -> bool:
        """Return whether the process ignores or catches, and so survives, a signal."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)$", status, re.MULTILINE)
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def kill(self) -> None:
        """Kill the process, which can't clean up."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Request termination; the process may finish its work."""
        self.popen.terminate()

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the process to exit; kill it after ``timeout`` seconds."""
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclass
class DaemonAddresses:
    """Group the addresses of one daemon."""

    ingress: str = field(default_factory=choose_address)
    relay: str = field(default_factory=choose_address)
    peer: str = field(default_factory=choose_address)
    announce: str = field(default_factory=choose_address)
    control: str = field(default_factory=choose_address)


@dataclass
class DaemonHandle:
    """Group the host id, failure domain, addresses and process of a daemon."""

    host_id: str
    failure_domain: str
    addresses: DaemonAddresses
    process: Process


@dataclass
class UpstreamHandle:
    """Group the name, service, address and process of an upstream stand-in."""

    name: str
    service: str
    address: str
    process: Process


class LocalMesh:
    """Start and stop the processes of a small mesh."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.table_address = choose_address()
        self.objects_address = choose_address()
        self.daemons: dict[str, DaemonHandle] = {}
        self.upstreams: dict[str, UpstreamHandle] = {}
        self.processes: list[Process] = []
        self.platform: dict[str, Process] = {}

    def start_platform(self) -> None:
        """Start the table and the object store."""
        for name, address in (
            ("table", self.table_address),
            ("objects", self.objects_address),
        ):
            self.platform[name] = self._start(
                name, ["-m", "flamingohead.standins", name, "--listen", address]
            )
        wait_for_port(self.table_address)
        wait_for_port(self.objects_address)

    def set_platform_faults(self, address: str, **faults: object) -> None:
        """Replace the faults of one service; without keyword arguments, clear them."""
        connection = http.client.HTTPConnection(address, timeout=10)
        connection.request("PUT", "/faults", body=json.dumps(faults))
        status = connection.getresponse().status
        connection.close()
        if status != 200:
            raise ValueError(f"faults {faults} rejected with status {status}")

    def start_daemon(
        self,
        host_id: str,
        failure_domain: str,
        *,
        seeds: str = "",
        addresses: DaemonAddresses | None = None,
        **settings: object,
    ) -> DaemonHandle:
        """Start a daemon; it may not be listening yet."""
        addresses = addresses or DaemonAddresses()
        options = {
            "host-id": host_id,
            "failure-domain": failure_domain,
            "ingress-address": addresses.ingress,
            "relay-address": addresses.relay,
            "peer-address": addresses.peer,
            "announce-address": addresses.announce,
            "control-address": addresses.control,
            "control-token": TOKEN,
            "table-url": f"http://{self.table_address}",
            "objects-url": f"http://{self.objects_address}",
            "seeds": seeds,
        }
        options.update({k.replace("_", "-"): v for k, v in settings.items()})
        arguments = ["-m", "flamingohead", "daemon"]
        for name, value in options.items():
            arguments += [f"--{name}", str(value)]
        process = self._start(host_id, arguments)
        handle = DaemonHandle(host_id, failure_domain, addresses, process)
        self.daemons[host_id] = handle
        return handle

    def restart_daemon(self, host_id: str) -> DaemonHandle:
        """Restart a daemon that has ended, at the same addresses."""
        ended = self.daemons[host_id]
        return self.start_daemon(
            host_id, ended.failure_domain, addresses=ended.addresses
        )

    def start_upstream(
        self, name: str, service: str, host_id: str, **settings: object
    ) -> UpstreamHandle:
        """Start an upstream that announces itself to the daemon of a host."""
        address = choose_address()
        announce = self.daemons[host_id].addresses.announce
        arguments = ["-m", "flamingohead.standins", "upstream", "--listen", address]
        arguments += ["--name", name, "--service", service, "--announce", announce]
        for option, value in settings.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = self._start(name, arguments)
        handle = UpstreamHandle(name, service, address, process)
        self.upstreams[name] = handle
        return handle

    def wait_until_listening(self) -> None:
        """Wait until every daemon and upstream accepts connections."""
        for daemon in self.daemons.values():
            wait_for_port(daemon.addresses.control)
        for upstream in self.upstreams.values():
            wait_for_port(upstream.address)
        self.check_processes()

    def check_processes(self) -> None:
        """Raise ``RuntimeError`` if a process has ended, e.g. on a port in use."""
        handles = [*self.daemons.values(), *self.upstreams.values()]
        for process in [handle.process for handle in handles]:
            if process.popen.poll() is not None:
                raise RuntimeError(f"{process.name} has ended, see {process.log_path}")

    def stop(self) -> None:
        """Kill the processes that are still running."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.kill()

    def __enter__(self) -> LocalMesh:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = start_python(name, arguments, self.directory)
        self.processes.append(process)
        return process


def start_python(
    name: str, arguments: list[str], directory: Path, **variables: str
) -> Process:
    """Start a Python process that logs to a file in ``directory``."""
    log_path = directory / f"{name}.log"
    environment = {**os.environ, "PYTHONPATH": str(ROOT), **variables}
    with log_path.open("ab") as log:
        popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    return Process(name, popen, log_path)


def run_command(
    mesh: LocalMesh,
    *arguments: str,
    token: str = TOKEN,
    control: str | None = None,
    timeout: float = 60.0,
) -> subprocess.CompletedProcess:
    """Run an operator command, by default against the first daemon of a mesh."""
    if control is None:
        control = next(iter(mesh.daemons.values())).addresses.control
    options = ["--control-address", control, "--control-token", token]
    return subprocess.run(
        [sys.executable, "-m", "flamingohead", *arguments, *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout,
    )
