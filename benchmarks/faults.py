"""Random fault injection on a small mesh of real processes under load.

``python -m benchmarks.faults --seed N --seconds S`` exits with 0 only if no key ran
twice, no caller received "not run" for a key that had run, no response belonged to
another request, no daemon returned to an older version, every accepted change is in the
log, and the mesh converged after the faults.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click
import treq

from benchmarks.judge import check_journal, check_load, collect_journal
from benchmarks.load import LoadGenerator, Stream
from flamingohead.services.reactor import run_until_stopped
from flamingohead.testing.processes import TOKEN, LocalMesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingohead.control import ControlResponse
    from flamingohead.testing.processes import DaemonHandle, UpstreamHandle

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
DAEMONS_PER_DOMAIN = 3
SETTLE_TIMEOUT = 30.0
POLL_INTERVAL = 0.25
MAX_FREEZE_SECONDS = 4.0


@dataclass(frozen=True)
class Deployment:
    """Describe a mesh under test: sheet, failure domains, services of hosts, load.

    ``target_pattern`` is the text of the sheet that operators change, with ``{}`` for
    the target in milliseconds; the sheet contains it with ``target_ms``.
    """

    sheet: str
    domains: tuple[str, ...]
    services: tuple[str, ...]
    streams: tuple[Stream, ...]
    target_pattern: str
    target_ms: int

    def write_sheet(self, target_ms: int) -> str:
        """Return the sheet with ``target_ms`` as the target of its most urgent rank."""
        text = (EXAMPLES / self.sheet).read_text()
        before = self.target_pattern.format(self.target_ms)
        if before not in text:
            raise ValueError(f"{self.sheet} does not contain {before!r}")
        return text.replace(before, self.target_pattern.format(target_ms))


DEPLOYMENTS = {
    "kente-mirror": Deployment(
        "kente-mirror.csv",
        ("makola", "osu"),
        ("stall-ledger", "stall-ledger", "pattern-archive"),
        (
            Stream("lookup", "GET", "/ledger/lookup", 40, 60, 10),
            Stream("hand-over", "POST", "/ledger/hand-over", 20, 250, 10, True, 0, 4),
            Stream("bundle", "GET", "/archive/bundle", 10, 2000, 5),
        ),
        "0,{},10,0.4",
        60,
    ),
    "randuiala": Deployment(
        "randuiala.csv",
        ("rc-a", "rc-b"),
        ("booking", "booking", "catalogue"),
        (
            Stream("slot-list", "GET", "/booking/slots", 40, 80, 8),
            Stream("confirmation", "POST", "/booking/confirm", 20, 300, 10, True, 0, 4),
            Stream("bundle", "GET", "/catalogue/bundle", 10, 2000, 5),
        ),
        "0,{},8,0.4",
        80,
    ),
}


@dataclass(frozen=True)
class AcceptedChange:
    """Record a change whose acceptance was reported to an operator.

    ``change_id`` is empty if the version already had the requested content.
    """

    version: int
    change_id: str


class FaultRun:
    """Run load, operators and faults against a mesh, and check the outcome."""

    def __init__(
        self, mesh: LocalMesh, deployment: Deployment, *, seed: int, seconds: float
    ) -> None:
        self.mesh = mesh
        self.deployment = deployment
        self.random = random.Random(seed)
        self.seconds = seconds
        self.load = LoadGenerator([], list(deployment.streams), seed=seed)
        self.failures: list[str] = []
        self.accepted: list[AcceptedChange] = []
        self._stopping = False
        self._observed_versions: dict[tuple[str, int], int] = {}

    async def run(self) -> int:
        """Run the experiment and return the exit code."""
        self._start_mesh()
        await self._settle(0)
        await self._apply(next(iter(self.mesh.daemons)), "first")
        await self._settle(1)
        self.load.addresses += [
            daemon.addresses.ingress for daemon in self.mesh.daemons.values()
        ]
        tasks = [
            asyncio.ensure_future(self._watch_versions()),
            asyncio.ensure_future(self._submit_changes("operator-a")),
            asyncio.ensure_future(self._submit_changes("operator-b")),
        ]
        load = asyncio.ensure_future(self.load.run(self.seconds))
        await self._inject(time.monotonic() + self.seconds)
        await load
        self._stopping = True
        await asyncio.gather(*tasks)
        await self._settle(max(change.version for change in self.accepted))
        await self._check_outcome()
        return 1 if self.failures else 0

    # Mesh

    def _start_mesh(self) -> None:
        self.mesh.start_platform()
        for domain in self.deployment.domains:
            for number in range(DAEMONS_PER_DOMAIN):
                self.mesh.start_daemon(f"{domain}-{number}", domain)
        for host_id in self.mesh.daemons:
            service = self.deployment.services[int(host_id[-1])]
            self.mesh.start_upstream(f"{service}-{host_id}", service, host_id)
        self.mesh.wait_until_listening()

    async def _settle(self, version: int) -> None:
        deadline = time.monotonic() + SETTLE_TIMEOUT
        unsettled: list[str] = []
        while time.monotonic() < deadline:
            unsettled = []
            for host_id in self.mesh.daemons:
                status = await self.fetch(host_id, "/status")
                if status is None or not self._is_settled(status.body, version):
                    unsettled.append(host_id)
            if not unsettled:
                return
            await asyncio.sleep(POLL_INTERVAL)
        self.failures.append(f"timed out waiting for version {version} on {unsettled}")

    def _is_settled(self, body: dict, version: int) -> bool:
        alive = [m for m in body["members"] if m["status"] == "alive"]
        ready = [
            upstream
            for member in alive
            for upstream in member["upstreams"]
            if upstream["status"] == "ready"
        ]
        return (
            body["version"] >= version
            and len(alive) == DAEMONS_PER_DOMAIN
            and len(ready) == DAEMONS_PER_DOMAIN
        )

    async def fetch(self, host_id: str, path: str) -> ControlResponse | None:
        """Read from a daemon's control address; return ``None`` if unreachable."""
        from flamingohead.control import ControlClient

        address = self.mesh.daemons[host_id].addresses.control
        try:
            return await ControlClient(address, TOKEN).get(path, timeout=2.0)
        except (OSError, TimeoutError):
            return None

    # Operators

    async def _submit_changes(self, author: str) -> None:
        number = 0
        while not self._stopping:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            number += 1
            host_id = self.random.choice(sorted(self.mesh.daemons))
            await self._apply(host_id, f"{author}-{number}")

    async def _apply(self, host_id: str, change_id: str) -> None:
        from flamingohead.control import ControlClient

        status = await self.fetch(host_id, "/status")
        if status is None:
            return
        target_ms = self.random.randrange(20, 200)
        body = {
            "change_id": f"change-{change_id}",
            "author": change_id,
            "base_version": status.body["version"],
            "sheet": self.deployment.write_sheet(target_ms),
        }
        address = self.mesh.daemons[host_id].addresses.control
        try:
            response = await ControlClient(address, TOKEN).post("/changes", body)
        except (OSError, TimeoutError):
            return
        if response.is_ok:
            accepted_id = response.body["change_id"] if response.body["changed"] else ""
            self.accepted.append(AcceptedChange(response.body["version"], accepted_id))

    async def _watch_versions(self) -> None:
        while not self._stopping:
            for host_id, daemon in list(self.mesh.daemons.items()):
                process_key = (host_id, daemon.process.popen.pid)
                status = await self.fetch(host_id, "/status")
                if status is None:
                    continue
                version = status.body["version"]
                if version < self._observed_versions.get(process_key, 0):
                    self.failures.append(
                        f"{host_id} returned to older version {version}"
                    )
                self._observed_versions[process_key] = version
            await asyncio.sleep(POLL_INTERVAL)

    # Faults

    async def _inject(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            name = self.random.choice(sorted(FAULTS))
            print(f"fault: {name}", flush=True)
            await FAULTS[name](self)

    def choose_daemon(self) -> DaemonHandle:
        return self.mesh.daemons[self.random.choice(sorted(self.mesh.daemons))]

    def choose_upstream(self) -> UpstreamHandle:
        return self.mesh.upstreams[self.random.choice(sorted(self.mesh.upstreams))]

    async def set_faults(self, address: str, faults: dict) -> None:
        """Set the faults of a platform stand-in."""
        loop = asyncio.get_running_loop()
        response = await treq.put(
            f"http://{address}/faults", json=faults, persistent=False
        ).asFuture(loop)
        await response.content().asFuture(loop)

    # Checks

    async def _check_outcome(self) -> None:
        journal = await collect_journal(self.mesh.upstreams.values())
        self.failures += check_load(self.load)
        self.failures += check_journal(self.load, journal)
        await self._check_accepted()
        for name, result in self.load.results.items():
            print(f"{name}: sent {result.sent}, answered {result.answered}")
            for outcome, count in sorted(result.outcomes.items()):
                print(f"    {outcome}: {count}")
        print(f"changes accepted: {len(self.accepted)}, runs: {len(journal)}")
        for failure in self.failures:
            print("FAILED:", failure)

    async def _check_accepted(self) -> None:
        first = next(iter(self.mesh.daemons))
        history = await self.fetch(first, "/versions?limit=1000")
        if history is None or not history.is_ok:
            self.failures.append("cannot read the version log")
            return
        stored = {row["version"]: row["change_id"] for row in history.body["versions"]}
        for change in self.accepted:
            stored_id = stored.get(change.version)
            if stored_id is None or change.change_id not in ("", stored_id):
                self.failures.append(
                    f"accepted change missing from the version log: {change}"
                )


FAULTS: dict[str, Callable[[FaultRun], Awaitable[None]]] = {}


def register_fault(fault: Callable[[FaultRun], Awaitable[None]]):
    """Register a fault under the name of its function."""
    FAULTS[fault.__name__] = fault
    return fault


@register_fault
async def kill_daemon(run: FaultRun) -> None:
    daemon = run.choose_daemon()
    daemon.process.kill()
    await asyncio.sleep(run.random.uniform(0.1, 2.0))
    run.mesh.restart_daemon(daemon.host_id)


@register_fault
async def stop_daemon(run: FaultRun) -> None:
    daemon = run.choose_daemon()
    daemon.process.terminate()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, daemon.process.wait)
    run.mesh.restart_daemon(daemon.host_id)


@register_fault
async def freeze_daemon(run: FaultRun) -> None:
    await _freeze(run, run.choose_daemon().process.popen.pid)


@register_fault
async def freeze_upstream(run: FaultRun) -> None:
    await _freeze(run, run.choose_upstream().process.popen.pid)


async def _freeze(run: FaultRun, pid: int) -> None:
    os.kill(pid, signal.SIGSTOP)
    try:
        await asyncio.sleep(run.random.uniform(0.2, MAX_FREEZE_SECONDS))
    finally:
        os.kill(pid, signal.SIGCONT)


@register_fault
async def fail_table(run: FaultRun) -> None:
    await run.set_faults(run.mesh.table_address, {"outage": True})
    await asyncio.sleep(run.random.uniform(0.5, 3.0))
    await run.set_faults(run.mesh.table_address, {})


@register_fault
async def slow_table(run: FaultRun) -> None:
    delay_ms = run.random.randrange(20, 3000)
    await run.set_faults(run.mesh.table_address, {"delay_ms": delay_ms})
    await asyncio.sleep(run.random.uniform(0.5, 3.0))
    await run.set_faults(run.mesh.table_address, {})


@register_fault
async def lose_table_answers(run: FaultRun) -> None:
    await run.set_faults(run.mesh.table_address, {"lose_answers": 5})


@register_fault
async def fail_objects(run: FaultRun) -> None:
    await run.set_faults(run.mesh.objects_address, {"outage": True})
    await asyncio.sleep(run.random.uniform(0.5, 3.0))
    await run.set_faults(run.mesh.objects_address, {})


@register_fault
async def cut_answers(run: FaultRun) -> None:
    upstream = run.choose_upstream()
    loop = asyncio.get_running_loop()
    url = f"http://{upstream.address}/standin/settings"
    response = await treq.put(url, json={"cut_answers": 3}, persistent=False).asFuture(
        loop
    )
    await response.content().asFuture(loop)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True)
@click.option(
    "--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="kente-mirror"
)
def main(seed: int, seconds: float, deployment: str) -> None:
    """Run one experiment and exit with 1 if a check failed."""
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            run = FaultRun(mesh, DEPLOYMENTS[deployment], seed=seed, seconds=seconds)
            exit_code = run_until_stopped(run.run)
    sys.exit(exit_code)


if __name__ == "__main__":
    main()
