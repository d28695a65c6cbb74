"""One seeded soak: a mesh, its callers, a series of faults, and the promises."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from flamingohead.testing.hosts import send_request
from soak.callers import Caller, VersionProbe
from soak.faults import FAULTS, Fault
from soak.mesh import SoakMesh
from soak.promises import check_promises
from soak.records import Disturbance, Records

if TYPE_CHECKING:
    from pathlib import Path

    from flamingohead.testing.hosts import Host

START_TIMEOUT_SECONDS = 30.0
# Faults follow each other in this time, and often overlap.
LONGEST_GAP_SECONDS = 1.5
LONGEST_CHANGE_GAP_SECONDS = 4.0
# The pages give a deployment this long to serve again.
RECOVERY_SECONDS = 15.0
CALM_SECONDS = 3.0
READY_PERIOD_SECONDS = 0.1
WATCH_PERIOD_SECONDS = 0.1


@dataclass(frozen=True)
class SoakSettings:
    """Set the size of a soak; ``seconds`` is the time in which faults begin."""

    seed: int
    seconds: float = 12.0
    hosts: int = 5
    callers: int = 3
    # Faults that did not exist when the seed was played first.
    excluded: frozenset[str] = frozenset()


class Soak:
    """Run one seed."""

    def __init__(self, settings: SoakSettings, directory: Path) -> None:
        self._settings = settings
        self._random = Random(settings.seed)
        self._records = Records()
        self._mesh = SoakMesh(directory, self._records)
        self._callers: list[Caller] = []
        self._tasks: set[asyncio.Task] = set()
        # What each fault in force uses, by host.
        self._busy: set[tuple[str, str]] = set()

    async def run(self) -> list[str]:
        """Return one line for each broken promise."""
        with self._mesh:
            try:
                await self._start()
                changes = asyncio.create_task(self._change_configuration())
                ends = asyncio.create_task(self._watch_ends())
                await self._disturb()
                changes.cancel()
                await self._recover()
                ends.cancel()
            finally:
                for caller in self._callers:
                    caller.stopping.set()
                for caller in self._callers:
                    await asyncio.to_thread(caller.join)
                await self._mesh.stop_links()
        for host in self._mesh.hosts.values():
            self._records.read_journal(self._mesh.get_journal(host))
        return check_promises(self._records)

    def describe(self) -> str:
        """Return the faults and how many requests were served."""
        outcomes = self._records.outcomes
        served = sum(outcome.status == 200 for outcome in outcomes)
        names = [f"{d.name}({d.host or 'all'})" for d in self._records.disturbances]
        return f"{served} of {len(outcomes)} served; {' '.join(names)}"

    async def _start(self) -> None:
        for number in range(self._settings.hosts):
            service = "archive" if number % 2 else "ledger"
            await self._mesh.add_disturbed_host(f"h{number}", service)
        self._mesh.change_configuration()
        for host in self._mesh.hosts.values():
            await self._wait_until_ready(host, START_TIMEOUT_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
        for host in self._mesh.hosts.values():
            kinds = [VersionProbe, *([Caller] * self._settings.callers)]
            for number, kind in enumerate(kinds):
                name = f"{host.name}-{number}"
                random = Random(f"{self._settings.seed}/{name}")
                caller = kind(host, name, self._records, random)
                self._callers.append(caller)
                caller.start()

    async def _wait_until_ready(self, host: Host, timeout: float) -> None:
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                answer = await asyncio.to_thread(
                    send_request, host.ready, "GET", "/v1/ready"
                )
                if answer[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(READY_PERIOD_SECONDS)
        raise TimeoutError(f"{host.name} isn't ready after {timeout} s")

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.3, LONGEST_CHANGE_GAP_SECONDS))
            await asyncio.to_thread(self._mesh.change_configuration)

    async def _watch_ends(self) -> None:
        """Start a daemon that has ended by itself again, as the platform does."""
        while True:
            for host in self._mesh.hosts.values():
                is_ended = host.daemon.popen.poll() is not None
                if is_ended and ("daemon", host.name) not in self._busy:
                    self._records.own_ends.append(host.name)
                    self._mesh.start_daemon(host)
            await asyncio.sleep(WATCH_PERIOD_SECONDS)

    async def _disturb(self) -> None:
        ends_at = time.monotonic() + self._settings.seconds
        random = self._random
        while time.monotonic() < ends_at:
            names = sorted(FAULTS.keys() - self._settings.excluded)
            fault = FAULTS[random.choice(names)]
            host = random.choice(sorted(self._mesh.hosts))
            seed = random.random()
            used = self._list_used(fault, host)
            if not used & self._busy:
                task = asyncio.create_task(
                    self._run_fault(fault, host, used, Random(seed))
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.uniform(0.0, LONGEST_GAP_SECONDS))
        await asyncio.gather(*self._tasks)

    def _list_used(self, fault: Fault, host: str) -> set[tuple[str, str]]:
        hosts = self._mesh.hosts if fault.is_common else (host,)
        return {(fault.uses, name) for name in hosts}

    async def _run_fault(
        self, fault: Fault, host: str, used: set[tuple[str, str]], random: Random
    ) -> None:
        began_at = time.monotonic()
        self._busy |= used
        try:
            await fault.run(self._mesh, self._mesh.hosts[host], random)
            for _, name in used:
                await self._wait_until_ready(self._mesh.hosts[name], RECOVERY_SECONDS)
        finally:
            self._busy -= used
            felt_by = "" if fault.is_common else host
            self._records.disturbances.append(
                Disturbance(fault.name, felt_by, began_at, time.monotonic())
            )

    async def _recover(self) -> None:
        await asyncio.sleep(CALM_SECONDS)
        self._records.calm_from = time.monotonic()
        await asyncio.sleep(CALM_SECONDS)
