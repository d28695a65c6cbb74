"""Simulated host table and join calls for the bootstraps of a failure domain."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from flamingohead.core.bootstrap import (
    Bootstrap,
    BootstrapSettings,
    DeleteRow,
    HostRow,
    JoinOutcome,
    JoinPeers,
    ReadRows,
    WriteRow,
)
from flamingohead.core.joins import JoinAdmission

if TYPE_CHECKING:
    from flamingohead.testing.network import FakeNetwork, FakeNode

STEP_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 2.0


class BootstrapSimulation:
    """Run a bootstrap for each node of a network, with one shared host table.

    ``is_table_available`` is false during an outage of the table. ``reads`` and
    ``writes`` count its operations, and ``joins`` the joins admitted, by simulated
    second.
    """

    def __init__(self, network: FakeNetwork, random: Random) -> None:
        self.rows: dict[str, HostRow] = {}
        self.is_table_available = True
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.joins: Counter[int] = Counter()
        self.refused_joins = 0
        self._network = network
        self._random = random
        self._bootstraps: dict[str, tuple[FakeNode, Bootstrap]] = {}
        self._admissions: dict[int, JoinAdmission] = {}

    def add(
        self,
        node: FakeNode,
        seeds: tuple[str, ...] = (),
        settings: BootstrapSettings = BootstrapSettings(),
    ) -> Bootstrap:
        """Start the bootstrap of a node."""
        random = Random(self._random.getrandbits(64))
        bootstrap = Bootstrap(
            node.host_id, node.address, seeds, random=random, settings=settings
        )
        self._bootstraps[node.host_id] = (node, bootstrap)
        return bootstrap

    def clear_counters(self) -> None:
        """Reset the counters."""
        for counter in (self.reads, self.writes, self.joins):
            counter.clear()
        self.refused_joins = 0

    def run(self, seconds: float) -> None:
        """Advance the network and the bootstraps by ``seconds`` of simulated time."""
        end_at = self._network.now + seconds
        while self._network.now < end_at:
            self._network.run(STEP_SECONDS)
            for node, bootstrap in list(self._bootstraps.values()):
                if self._network.nodes.get(node.address) is not node:
                    del self._bootstraps[node.host_id]
                elif not node.frozen:
                    effects = bootstrap.tick(self._network.now, node.membership.members)
                    self._apply(node, bootstrap, effects)

    def note_removed(self, node: FakeNode, host_id: str) -> None:
        """Notify the bootstrap of a node that another host died."""
        entry = self._bootstraps.get(node.host_id)
        if entry is not None:
            members = node.membership.members
            entry[1].note_removed(host_id, members, self._network.now)

    def _apply(self, node: FakeNode, bootstrap: Bootstrap, effects) -> None:
        second = int(self._network.now)
        for effect in effects:
            if isinstance(effect, ReadRows):
                self.reads[second] += 1
                rows = list(self.rows.values()) if self.is_table_available else None
                next_effects = bootstrap.receive_rows(
                    rows, node.membership.members, self._network.now
                )
                self._apply(node, bootstrap, next_effects)
            elif isinstance(effect, WriteRow):
                self.writes[second] += 1
                if self.is_table_available:
                    row = HostRow(node.host_id, node.address, self._network.now)
                    self.rows[node.host_id] = row
                    bootstrap.has_row = True
            elif isinstance(effect, DeleteRow):
                self.writes[second] += 1
                if self.is_table_available:
                    self.rows.pop(effect.host_id, None)
            elif isinstance(effect, JoinPeers):
                self._join(node, bootstrap, effect.addresses)

    def _join(self, node: FakeNode, bootstrap: Bootstrap, addresses) -> None:
        outcomes = [self._join_peer(node, address) for address in addresses]
        bootstrap.finish_join(outcomes, self._network.now)

    def _join_peer(self, node: FakeNode, address: str) -> JoinOutcome:
        now = self._network.now
        peer = self._network.nodes.get(address)
        reachable = peer is not None and not peer.frozen
        if not reachable or peer is node or peer.group != node.group:
            return JoinOutcome(False)
        admission = self._admissions.setdefault(peer.number, JoinAdmission())
        retry_at = admission.admit(now)
        if retry_at is not None:
            self.refused_joins += 1
            alternatives = peer.membership.choose_alternative_peers()
            return JoinOutcome(False, retry_at=retry_at, alternatives=alternatives)
        self.joins[int(now)] += 1
        new_states = self._network.join(node, peer)
        return JoinOutcome(new_states is not None, new_states or 0)
