"""Simulated datagram network between memberships, with a simulated clock.

It loses, delays, duplicates and reorders datagrams, partitions groups of nodes, and
freezes and kills nodes. It uses no sockets and no processes.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from flamingohead.core.members import Member
from flamingohead.core.membership import Membership, MembershipSettings, SendDatagram

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.messages import Datagram

TICK_PERIOD = 0.2
SOCKET_BUFFER = 64


@dataclass
class NetworkSettings:
    """Configure probabilities from 0 to 1, and delays in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    minimum_delay: float = 0.0005
    maximum_delay: float = 0.002


@dataclass
class FakeNode:
    """Run a membership; ``buffer`` queues datagrams while the node is frozen."""

    membership: Membership
    address: str
    number: int
    frozen: bool = False
    frozen_at: float = 0.0
    group: int = 0
    buffer: deque[Datagram] = field(default_factory=lambda: deque(maxlen=SOCKET_BUFFER))

    @property
    def host_id(self) -> str:
        return self.membership.local_member.host_id


class FakeNetwork:
    """Connect memberships; ``observe`` is called with every effect."""

    def __init__(
        self,
        random: Random,
        *,
        settings: NetworkSettings | None = None,
        observe: Callable[[FakeNode, object], None] = lambda node, effect: None,
    ) -> None:
        self.now = 1000.0
        self.settings = settings or NetworkSettings()
        self.nodes: dict[str, FakeNode] = {}
        self._random = random
        self._observe = observe
        self._in_flight: list[tuple[float, int, str, str, Datagram]] = []
        self._counter = count()
        self._ticks: list[tuple[float, int, FakeNode]] = []

    # Nodes

    def start_node(
        self,
        host_id: str,
        *,
        incarnation: int,
        failure_domain: str = "makola",
        address: str | None = None,
        settings: MembershipSettings = MembershipSettings(),
    ) -> FakeNode:
        """Start a node that knows no peers; it replaces one at the same address."""
        address = address or f"{host_id}:1"
        local_member = Member(host_id, failure_domain, address, address, incarnation)
        random = Random(self._random.getrandbits(64))
        membership = Membership(local_member, random=random, settings=settings)
        node = FakeNode(membership, address, next(self._counter))
        self.nodes[address] = node
        first_tick_at = self.now + self._random.uniform(0, TICK_PERIOD)
        heapq.heappush(self._ticks, (first_tick_at, next(self._counter), node))
        return node

    def kill_node(self, node: FakeNode) -> None:
        """Remove a node without notifying the others."""
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]

    def freeze_node(self, node: FakeNode) -> None:
        """Suspend a node; its socket buffer still receives datagrams."""
        node.frozen = True
        node.frozen_at = self.now

    def resume_node(self, node: FakeNode) -> None:
        """Resume a frozen node; it processes the buffered datagrams first."""
        node.frozen = False
        while node.buffer:
            datagram = node.buffer.popleft()
            self._apply(node, node.membership.receive(datagram, self.now))

    def join(self, node: FakeNode, other: FakeNode) -> int | None:
        """Exchange states by a join; return the effect count or ``None`` on failure."""
        if node.frozen or other.frozen or node.group != other.group:
            return None
        if self.nodes.get(other.address) is not other:
            return None
        members = other.membership.list_all()
        joining_members = [node.membership.local_member]
        self._apply(other, other.membership.merge(joining_members, self.now))
        effects = node.membership.merge_join_state(members, self.now)
        self._apply(node, effects)
        return len(effects)

    def leave_node(self, node: FakeNode) -> None:
        """Announce the leave of a node, and remove it."""
        self._apply(node, node.membership.leave())
        self.kill_node(node)

    # Time

    def run(self, seconds: float) -> None:
        """Deliver datagrams and tick nodes for ``seconds`` of simulated time."""
        end_at = self.now + seconds
        while True:
            next_tick = self._ticks[0][0] if self._ticks else end_at
            next_delivery = self._in_flight[0][0] if self._in_flight else end_at
            at = min(next_tick, next_delivery)
            if at >= end_at:
                break
            self.now = max(self.now, at)
            if next_delivery <= next_tick:
                self._deliver()
            else:
                self._tick()
        self.now = end_at

    def _tick(self) -> None:
        at, _, node = heapq.heappop(self._ticks)
        if self.nodes.get(node.address) is not node:
            return
        next_tick_at = at + TICK_PERIOD
        heapq.heappush(self._ticks, (next_tick_at, next(self._counter), node))
        if not node.frozen:
            self._apply(node, node.membership.tick(self.now))

    def _deliver(self) -> None:
        _, _, source, target, datagram = heapq.heappop(self._in_flight)
        node = self.nodes.get(target)
        sender = self.nodes.get(source)
        if node is None or (sender is not None and sender.group != node.group):
            return
        if node.frozen:
            node.buffer.append(datagram)
            return
        self._apply(node, node.membership.receive(datagram, self.now))

    def _apply(self, node: FakeNode, effects) -> None:
        for effect in effects:
            self._observe(node, effect)
            if isinstance(effect, SendDatagram):
                self._send(node.address, effect)

    def _send(self, source: str, effect: SendDatagram) -> None:
        settings = self.settings
        copies = 2 if self._random.random() < settings.duplication else 1
        for _ in range(copies):
            if self._random.random() < settings.loss:
                continue
            delay = self._random.uniform(settings.minimum_delay, settings.maximum_delay)
            delivery = (
                self.now + delay,
                next(self._counter),
                source,
                effect.address,
                effect.datagram,
            )
            heapq.heappush(self._in_flight, delivery)
