"""Quota services of many daemons in one process, on virtual time, with faults."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_right
from types import SimpleNamespace
from typing import TYPE_CHECKING

from flamingohead.core.members import Member, MemberStatus
from flamingohead.core.messages import Datagram
from flamingohead.core.organisations.allocation import QuotaTolerance, choose_allocator
from flamingohead.core.resources import Organisation, Snapshot
from flamingohead.kernel import Kernel
from flamingohead.protocol import codec
from flamingohead.services import quotas
from flamingohead.services.metrics import MetricsService

if TYPE_CHECKING:
    from collections.abc import Callable

# Times after which members see that another one is silent, dead or back.
SUSPECT_SECONDS = 1.0
DEAD_SECONDS = 4.0
SPREAD_SECONDS = 1.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        select = self._selector.select
        self._selector.select = lambda timeout: self._advance(select, timeout)

    def _advance(self, select, timeout):
        self.now += timeout or 0.0
        return select(0)

    def time(self) -> float:
        return self.now


class FakeGossip:
    """Pass datagrams to the other daemons of a fleet."""

    def __init__(self, fleet: Fleet, member: Member) -> None:
        self.listeners: list[Callable[[Datagram], None]] = []
        self.membership = self
        self.local_member = member
        self._fleet = fleet

    @property
    def members(self) -> dict[str, Member]:
        own = self.local_member.host_id
        return {m.host_id: m for m in self.list_all() if m.host_id != own}

    def list_all(self) -> list[Member]:
        return self._fleet.list_members(self.local_member)

    @property
    def has_joined(self) -> bool:
        return any(m.status is MemberStatus.ALIVE for m in self.members.values())

    def send_remote(self, address: str, sequence: int, body) -> None:
        own = self.local_member
        datagram = Datagram(
            own.host_id, own.peer_address, own.gossip_group, sequence, 1, body
        )
        self._fleet.send(own.host_id, address, codec.encode_datagram(datagram))


class Fleet:
    """Run quota services and count the requests that they admit."""

    def __init__(
        self,
        loop: VirtualLoop,
        *,
        hosts: int,
        limits: list[Organisation],
        seed: int,
        overage: float = 0.1,
    ) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.tolerance = QuotaTolerance(5.0, overage, 20.0)
        self.loss = self.duplication = 0.0
        self.delay = (0.0002, 0.001)
        self.cut_domains: set[str] = set()
        self.paused: dict[str, list] = {}
        self.messages: list[int] = []
        self.admitted: dict[str, list[float]] = {}
        self.refused: dict[str, list[float]] = {}
        self.waits: list[float] = []
        self.members = {
            f"h{n}": Member(
                f"h{n}", f"z{n % 3}", f"h{n}", "", 1, capacity=n % 2, group="mesh"
            )
            for n in range(hosts)
        }
        self.kernels: dict[str, Kernel] = {}
        self._changed: dict[tuple, tuple[bool, float, MemberStatus]] = {}
        self.set_limits(limits)
        for host_id in self.members:
            self.start(host_id)

    def set_limits(self, limits: list[Organisation]) -> None:
        """Activate a configuration on all daemons."""
        snapshot = Snapshot.build(1, {limit.key: limit for limit in limits})
        self.routes = SimpleNamespace(snapshot=snapshot)
        for kernel in self.kernels.values():
            kernel.get("configuration").routes = self.routes

    def start(self, host_id: str) -> None:
        """Start the daemon of a host."""
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        kernel.add("gossip", FakeGossip(self, self.members[host_id]))
        configuration = SimpleNamespace(routes=self.routes, listeners=[])
        kernel.add("configuration", configuration)
        kernel.add("bootstrap", SimpleNamespace(is_only_host=False))
        service = quotas.QuotaService(kernel, host_id, self.tolerance)
        kernel.add("quotas", service)
        self.kernels[host_id] = kernel
        for other in self.members:
            if not self._reaches(host_id, other):
                self._changed.pop((host_id, other), None)
        self.loop.create_task(service.start())

    def add(self, member: Member) -> None:
        """Start the daemon of a new host, of which the others learn by gossip."""
        self.members[member.host_id] = member
        for observer in self.kernels:
            since = self.loop.now + self.random.uniform(0, SPREAD_SECONDS)
            change = (True, since, MemberStatus.LEFT)
            self._changed[observer, member.host_id] = change
        self.start(member.host_id)

    async def kill(self, host_id: str) -> None:
        await self.kernels.pop(host_id).get("quotas").stop()

    async def pause(self, host_id: str, seconds: float) -> None:
        """Run neither timers nor the handling of datagrams for a time."""
        self.paused[host_id] = []
        service = self.kernels[host_id].get("quotas")
        service._ticks.stop()
        await asyncio.sleep(seconds)
        service._ticks.start(quotas.TICK_SECONDS)
        for data in self.paused.pop(host_id):
            self._deliver(host_id, data)

    def find_allocator(self, organisation: str) -> str:
        service = next(iter(self.kernels.values())).get("quotas")
        return choose_allocator(organisation, service._candidates)

    # Network

    def _reaches(self, a: str, b: str) -> bool:
        cut = {self.members[h].failure_domain in self.cut_domains for h in (a, b)}
        up = all(h in self.kernels and h not in self.paused for h in (a, b))
        return up and len(cut) == 1

    def list_members(self, observer: Member) -> list[Member]:
        """Return the members as one of them sees them, with the usual delays."""
        return [
            member.with_status(self._get_status(observer.host_id, member.host_id))
            for member in self.members.values()
        ]

    def _get_status(self, observer: str, host_id: str) -> MemberStatus:
        if observer == host_id:
            return MemberStatus.ALIVE
        pair = (observer, host_id)
        reaches = self._reaches(observer, host_id)
        known = self._changed.get(pair)
        if known is None or known[0] != reaches:
            spread = self.random.uniform(0, SPREAD_SECONDS)
            since = self.loop.now + spread if known is not None else 0.0
            before = MemberStatus.ALIVE if known is None else self._judge(known)
            known = self._changed[pair] = (reaches, since, before)
        return self._judge(known)

    def _judge(self, change: tuple[bool, float, MemberStatus]) -> MemberStatus:
        reaches, since, before = change
        age = self.loop.now - since
        if reaches:
            return MemberStatus.ALIVE if age >= 0 else before
        if age < SUSPECT_SECONDS:
            return MemberStatus.ALIVE
        return MemberStatus.SUSPECT if age < DEAD_SECONDS else MemberStatus.DEAD

    def send(self, sender: str, target: str, data: bytes) -> None:
        self.messages.append(len(data))
        for _ in range(1 + (self.random.random() < self.duplication)):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(*self.delay)
                self.loop.call_later(delay, self._arrive, sender, target, data)

    def _arrive(self, sender: str, target: str, data: bytes) -> None:
        if target in self.paused:
            self.paused[target].append(data)
        elif self._reaches(sender, target):
            self._deliver(target, data)

    def _deliver(self, target: str, data: bytes) -> None:
        for listener in self.kernels[target].get("gossip").listeners:
            listener(codec.decode_datagram(data))

    # Load

    async def load(
        self, organisation: str, rate: float, seconds: float, hosts: list[str]
    ) -> None:
        """Send requests at random times to random hosts of a list."""
        end = self.loop.now + seconds
        tasks = []
        while self.loop.now < end:
            await asyncio.sleep(self.random.expovariate(rate))
            host = self.random.choice(hosts)
            if host in self.kernels and host not in self.paused:
                tasks.append(self.loop.create_task(self.request(organisation, host)))
        await asyncio.gather(*tasks)

    async def request(self, organisation: str, host: str):
        began = self.loop.now
        service = self.kernels[host].get("quotas")
        refusal = await service.admit(organisation, began + 1.0)
        self.waits.append(self.loop.now - began)
        log = self.admitted if refusal is None else self.refused
        log.setdefault(organisation, []).append(self.loop.now)
        return refusal

    def count(self, log: dict, organisation: str, since: float, until: float) -> int:
        return sum(since <= at < until for at in log.get(organisation, ()))

    def find_worst_window(self, organisation: str) -> int:
        """Return the most requests admitted in any window."""
        times = sorted(self.admitted.get(organisation, ()))
        window = self.tolerance.window
        return max(
            (bisect_right(times, at + window) - n for n, at in enumerate(times)),
            default=0,
        )
