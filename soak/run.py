"""One seeded soak: a mesh, its callers, a series of faults and the check afterwards."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from flamingohead.testing.hosts import send_request
from soak.callers import WORK_MS, Caller, Flood, LateCaller, VersionProbe
from soak.faults import FAULTS, Fault
from soak.mesh import SoakMesh
from soak.organisations import KEYS, LIMITS, UNEVEN, choose_parts
from soak.promises import check_promises, is_long_withdrawn
from soak.records import FaultInterval, Records, Stall

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from flamingohead.testing.hosts import Host

START_TIMEOUT_SECONDS = 30.0
# Longest time between the starts of two faults, which often overlap.
MAX_FAULT_SPACING_SECONDS = 1.5
MAX_CHANGE_INTERVAL_SECONDS = 4.0
# Time within which the platform's documentation requires a deployment to serve again.
RECOVERY_SECONDS = 15.0
SETTLING_SECONDS = 3.0
MAX_CROWD_SECONDS = 2.0
# Requests that a cut-off host relays wait for their deadline, which keeps callers busy.
LATE_CALLERS = 4
MIN_CROWD_WORK_MS = 50
MAX_CROWD_WORK_MS = 400
STALL_POLL_SECONDS = 0.02
MIN_STALL_SECONDS = 0.2
READY_POLL_SECONDS = 0.1
EXIT_POLL_SECONDS = 0.1


@dataclass(frozen=True)
class SoakSettings:
    """Hold the settings of a soak; ``seconds`` is the time in which faults begin."""

    seed: int
    seconds: float = 12.0
    hosts: int = 5
    callers: int = 3
    # Faults that did not exist when the seed was first run. With them, the seed would
    # choose other faults.
    excluded: frozenset[str] = frozenset()


class Soak:
    """Run the soak of one seed."""

    def __init__(self, settings: SoakSettings, directory: Path) -> None:
        self._settings = settings
        self._random = Random(settings.seed)
        self._records = Records()
        self._parts = choose_parts(settings.seed)
        self._mesh = SoakMesh(directory, self._records, self._parts, settings.seed)
        self._callers: list[Caller] = []
        self._fault_tasks: set[asyncio.Task] = set()
        # Resources that the faults in force use, each with its host.
        self._resources_in_use: set[tuple[str, str]] = set()

    async def run(self) -> list[str]:
        """Run the soak and return one line for each violation of a promise."""
        with self._mesh:
            try:
                await self._start()
                change_task = asyncio.create_task(
                    self._change_configuration_repeatedly()
                )
                stall_task = asyncio.create_task(self._record_stalls())
                restart_task = asyncio.create_task(self._restart_exited_daemons())
                crowd_task = asyncio.create_task(self._send_crowds())
                await self._inject_faults()
                change_task.cancel()
                crowd_task.cancel()
                await self._wait_for_recovery()
                restart_task.cancel()
                stall_task.cancel()
            finally:
                for caller in self._callers:
                    caller.stopping.set()
                for caller in self._callers:
                    await asyncio.to_thread(caller.join)
                await self._mesh.stop_links()
        for host in self._mesh.hosts.values():
            self._records.read_journal(self._mesh.get_journal(host))
        self._records.write(self._mesh.directory)
        return check_promises(self._records)

    def describe(self) -> str:
        """Return the number of served requests and the faults in one line."""
        outcomes = self._records.outcomes
        served = sum(outcome.status == 200 for outcome in outcomes)
        faults = [
            f"{fault.name}({fault.host or 'all'})"
            for fault in self._records.fault_intervals
        ]
        records = self._records
        refused = len({request_id for request_id, _ in records.refusals})
        stalls = [stall.ended_at - stall.began_at for stall in records.stalls]
        return (
            f"{served} of {len(outcomes)} served, {refused} refused by upstreams, "
            f"{len(records.list_returned())} of these returned, longest stall of the "
            f"soak {max(stalls, default=0.0):.2f} s; {self._describe_parts()}"
            f"{' '.join(faults)}"
        )

    def _describe_parts(self) -> str:
        if not self._parts:
            return ""
        records = self._records
        withdrawn = [
            outcome
            for outcome in records.outcomes
            if is_long_withdrawn(records, outcome.key, outcome.sent_at)
        ]
        statuses = Counter(outcome.status for outcome in records.outcomes)
        unanswered = {name: len(ids) for name, ids in records.unanswered.items()}
        return (
            f"{' '.join(sorted(self._parts))}: {len(withdrawn)} with a key withdrawn "
            f"long before, {statuses[401]} times 401, {statuses[429]} times 429, "
            f"unanswered {unanswered}; "
        )

    async def _start(self) -> None:
        for number in range(self._settings.hosts):
            # A refused request may return to an upstream if two others have no slot.
            service = "archive" if number == 1 else "ledger"
            await self._mesh.add_proxied_host(f"h{number}", service)
        self._mesh.change_configuration()
        for host in self._mesh.hosts.values():
            await self._wait_until_ready(host, START_TIMEOUT_SECONDS)
        await asyncio.sleep(SETTLING_SECONDS)
        services = tuple(host.service for host in self._mesh.hosts.values())
        for host in self._mesh.hosts.values():
            caller_classes = [VersionProbe, *([Caller] * self._settings.callers)]
            if LIMITS in self._parts:
                caller_classes.append(Flood)
            for number, caller_class in enumerate(caller_classes):
                name = f"{host.name}-{number}"
                self._start_caller(host, name, caller_class, services=services)

    def _start_caller(
        self,
        host: Host,
        name: str,
        caller_class: type[Caller] = Caller,
        *,
        services: tuple[str, ...],
        work_ms: int = WORK_MS,
    ) -> Caller:
        random = Random(f"{self._settings.seed}/{name}")
        caller = caller_class(
            host,
            name,
            self._records,
            random,
            services=services,
            work_ms=work_ms,
            list_keys=self._mesh.list_usable_keys,
            asks_for_silence=UNEVEN in self._parts,
        )
        self._callers.append(caller)
        caller.start()
        return caller

    async def _wait_until_ready(self, host: Host, timeout: float) -> None:
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                response = await asyncio.to_thread(
                    send_request, host.ready, "GET", "/v1/ready"
                )
                if response[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(READY_POLL_SECONDS)
        raise TimeoutError(f"{host.name} isn't ready after {timeout} s")

    async def _change_configuration_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.3, MAX_CHANGE_INTERVAL_SECONDS))
            await asyncio.to_thread(self._mesh.change_configuration)

    async def _record_stalls(self) -> None:
        """Record when this process, which runs the links of all hosts, stands still."""
        while True:
            polled_at = time.monotonic()
            await asyncio.sleep(STALL_POLL_SECONDS)
            now = time.monotonic()
            if now - polled_at > MIN_STALL_SECONDS:
                self._records.stalls.append(Stall(polled_at, now))

    async def _send_crowds(self) -> None:
        """Take the slots of all hosts but one; the other daemons learn of it late."""
        # A generator of its own, so that a seed chooses the same faults.
        random = Random(f"{self._settings.seed}/crowds")
        hosts = list(self._mesh.hosts.values())
        for crowd in itertools.count():
            callers = [
                self._start_caller(
                    host,
                    f"{host.name}-crowd{crowd}",
                    services=(host.service,),
                    work_ms=random.randint(MIN_CROWD_WORK_MS, MAX_CROWD_WORK_MS),
                )
                for host in random.sample(hosts, len(hosts) - 1)
            ]
            try:
                await asyncio.sleep(random.uniform(0.0, MAX_CROWD_SECONDS))
            finally:
                for caller in callers:
                    caller.stopping.set()

    async def _restart_exited_daemons(self) -> None:
        """Restart daemons that exited without a fault, as the platform does."""
        while True:
            for host in self._mesh.hosts.values():
                has_exited = host.daemon.popen.poll() is not None
                if has_exited and ("daemon", host.name) not in self._resources_in_use:
                    self._records.unexpected_exits.append(host.name)
                    self._mesh.start_daemon(host)
            await asyncio.sleep(EXIT_POLL_SECONDS)

    async def _inject_faults(self) -> None:
        ends_at = time.monotonic() + self._settings.seconds
        random = self._random
        while time.monotonic() < ends_at:
            names = [
                name
                for name, fault in sorted(FAULTS.items())
                if name not in self._settings.excluded
                and (not fault.part or fault.part in self._parts)
            ]
            fault = FAULTS[random.choice(names)]
            host = random.choice(sorted(self._mesh.hosts))
            seed = random.random()
            resources = self._list_resources(fault, host)
            if not resources & self._resources_in_use:
                task = asyncio.create_task(
                    self._run_fault(fault, host, resources, Random(seed))
                )
                self._fault_tasks.add(task)
                task.add_done_callback(self._fault_tasks.discard)
            await asyncio.sleep(random.uniform(0.0, MAX_FAULT_SPACING_SECONDS))
        await asyncio.gather(*self._fault_tasks)

    def _list_resources(self, fault: Fault, host: str) -> set[tuple[str, str]]:
        hosts = self._mesh.hosts if fault.affects_all_hosts else (host,)
        return {(fault.used_resource, name) for name in hosts}

    @contextmanager
    def _send_late_requests(self, fault: Fault, host: str) -> Iterator[None]:
        """Use withdrawn keys for the upstream of a host that may not know of it."""
        target = self._mesh.hosts[host]
        callers = [
            self._start_caller(
                target,
                f"{host}-late{len(self._callers)}",
                LateCaller,
                services=(target.service,),
            )
            for _ in range(LATE_CALLERS if fault.part == KEYS else 0)
        ]
        try:
            yield
        finally:
            for caller in callers:
                caller.stopping.set()

    async def _run_fault(
        self, fault: Fault, host: str, resources: set[tuple[str, str]], random: Random
    ) -> None:
        began_at = time.monotonic()
        self._resources_in_use |= resources
        try:
            with self._send_late_requests(fault, host):
                await fault.run(self._mesh, self._mesh.hosts[host], random)
            for _, name in resources:
                await self._wait_until_ready(self._mesh.hosts[name], RECOVERY_SECONDS)
        finally:
            self._resources_in_use -= resources
            affected_host = "" if fault.affects_all_hosts else host
            self._records.fault_intervals.append(
                FaultInterval(fault.name, affected_host, began_at, time.monotonic())
            )

    async def _wait_for_recovery(self) -> None:
        # A request that an upstream is to refuse says nothing about recovery.
        for caller in self._callers:
            caller.asks_for_refusals = False
            if isinstance(caller, Flood):
                caller.stopping.set()
        await asyncio.sleep(SETTLING_SECONDS)
        self._records.recovery_checked_from = time.monotonic()
        await asyncio.sleep(SETTLING_SECONDS)
