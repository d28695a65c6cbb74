"""One seeded soak: a mesh, its callers, a series of faults, and the promises."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from flamingohead.testing.hosts import send_request
from soak.callers import Caller, VersionProbe
from soak.faults import COMMON_FAULTS, FAULTS
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


@dataclass(frozen=True)
class SoakSettings:
    """Set the size of a soak; ``seconds`` is the time in which faults begin."""

    seed: int
    seconds: float = 12.0
    hosts: int = 5
    callers: int = 3


class Soak:
    """Run one seed."""

    def __init__(self, settings: SoakSettings, directory: Path) -> None:
        self._settings = settings
        self._random = Random(settings.seed)
        self._records = Records()
        self._mesh = SoakMesh(directory, self._records)
        self._callers: list[Caller] = []
        self._tasks: set[asyncio.Task] = set()
        self._busy: set[str] = set()

    async def run(self) -> list[str]:
        """Return one line for each broken promise."""
        with self._mesh:
            try:
                await self._start()
                changes = asyncio.create_task(self._change_configuration())
                await self._disturb()
                changes.cancel()
                await self._recover()
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

    async def _disturb(self) -> None:
        ends_at = time.monotonic() + self._settings.seconds
        random = self._random
        names = sorted(FAULTS)
        while time.monotonic() < ends_at:
            name = random.choice(names)
            host = random.choice(sorted(self._mesh.hosts))
            seed = random.random()
            if self._is_free(name, host):
                task = asyncio.create_task(self._run_fault(name, host, Random(seed)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.uniform(0.0, LONGEST_GAP_SECONDS))
        await asyncio.gather(*self._tasks)

    def _is_free(self, name: str, host: str) -> bool:
        """Tell whether no fault that is in force restarts the same processes."""
        if name in COMMON_FAULTS:
            return not self._busy
        return not self._busy & {host, ""}

    async def _run_fault(self, name: str, host: str, random: Random) -> None:
        felt_by = "" if name in COMMON_FAULTS else host
        began_at = time.monotonic()
        self._busy.add(felt_by)
        try:
            await FAULTS[name](self._mesh, self._mesh.hosts[host], random)
            if felt_by == "":
                for each in self._mesh.hosts.values():
                    await self._wait_until_ready(each, RECOVERY_SECONDS)
            else:
                await self._wait_until_ready(self._mesh.hosts[host], RECOVERY_SECONDS)
        finally:
            self._busy.discard(felt_by)
            self._records.disturbances.append(
                Disturbance(name, felt_by, began_at, time.monotonic())
            )

    async def _recover(self) -> None:
        await asyncio.sleep(CALM_SECONDS)
        self._records.calm_from = time.monotonic()
        await asyncio.sleep(CALM_SECONDS)
