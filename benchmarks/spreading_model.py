"""Discrete-event simulation of change dissemination among many daemons.

The state machines run in one process with fixed latencies and no real network. Byte
counts are encoded messages plus a fixed overhead.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace

from benchmarks.event_queue import EventQueue
from flamingohead.core.changes import Change
from flamingohead.core.dissemination import (
    ActivateSnapshot,
    Dissemination,
    DisseminationSettings,
    PullFromPeer,
    PushRecord,
    QueryPeers,
    ReadTable,
)
from flamingohead.core.errors import Refusal
from flamingohead.core.pulls import PullAdmission
from flamingohead.core.recovery import Recovery
from flamingohead.core.storage import ListSnapshots, LoadSnapshot, ReadLog
from flamingohead.core.versions import Replica, build_record
from flamingohead.protocol import codec
from flamingohead.testing.fakes import (
    FakeDaemon,
    FakePlatform,
    ProcedureRunner,
    create_service_resources,
)

PEER_LATENCY = 0.0015
TABLE_LATENCY = 0.003
OBJECT_LATENCY = 0.010
RETRANSMIT_WAIT = 0.2
TICK_PERIOD = 0.25
PROBE_PERIOD = 1.0
CALL_OVERHEAD_BYTES = 300
SNAPSHOT_BYTES = 450_000
TABLE_READ_LIMIT = 2_000
TREE_FANOUT = 8
POLLERS = 2
LEASE_SECONDS = 3.0
WARM_UP = 3.0
TIME_LIMIT = 60.0


@dataclass(frozen=True)
class Scenario:
    """Describe one run.

    ``method`` is "poll", "tree" or "gossip". ``poll_rate`` is in reads per second and
    failure domain. ``herd`` starts all daemons of the first domain without any version
    when the change is accepted.
    """

    method: str
    domains: int
    daemons: int
    loss: float
    poll_rate: float = 4.0
    herd: bool = False
    kill_pollers: bool = False


class Node(FakeDaemon):
    """Simulate one daemon by running its state machine on the event queue."""

    def __init__(self, mesh: Mesh, number: int, domain: int) -> None:
        super().__init__(mesh.platform)
        self.dissemination = Dissemination(
            Replica(),
            random=mesh.random,
            settings=DisseminationSettings(domain_poll_rate=mesh.scenario.poll_rate),
        )
        self.mesh = mesh
        self.number = number
        self.domain = domain
        self.alive = True
        self.recovering = False
        self.activated_at: float | None = None
        self.admission = PullAdmission(random=mesh.random)

    def tick(self) -> None:
        if not self.alive:
            return
        members = len(self.mesh.members[self.domain])
        self.run(self.dissemination.tick(self.mesh.queue.now, members=members))
        if self.mesh.has_poll_duty(self):
            self.start_recovery()
        self.mesh.queue.schedule(TICK_PERIOD, self.tick)

    def probe(self) -> None:
        """Simulate a probe and its response, which carry both daemons' versions."""
        if not self.alive:
            return
        peer = self.mesh.choose_peer(self)
        if peer.alive:
            self.mesh.send(peer.receive_version, self.number, self.replica.version)
            self.mesh.send(self.receive_version, peer.number, peer.replica.version)
        self.mesh.queue.schedule(PROBE_PERIOD, self.probe)

    def receive_version(self, source: int, version: int) -> None:
        now = self.mesh.queue.now
        state = self.dissemination
        if self.alive and self.mesh.scenario.method != "poll":
            self.run(state.receive_peer_version(str(source), version, now))

    def receive_push(self, source: int, record) -> None:
        if self.alive:
            now = self.mesh.queue.now
            self.run(self.dissemination.receive_records([record], now))
            self.receive_version(source, record.version)

    def run(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, ActivateSnapshot):
                self.mesh.record_activation(self)
            elif isinstance(effect, ReadTable):
                if self.mesh.scenario.method != "tree" or self.replica.version == 0:
                    self.start_recovery()
            elif isinstance(effect, PushRecord):
                self.mesh.push(self, effect)
            elif isinstance(effect, QueryPeers):
                self.query_peers(effect)
            elif isinstance(effect, PullFromPeer):
                self.mesh.call(self.complete_pull, int(effect.address), effect.version)

    def query_peers(self, effect: QueryPeers) -> None:
        for _ in range(effect.count):
            peer = self.mesh.choose_peer(self)
            self.mesh.count_bytes("query", CALL_OVERHEAD_BYTES)
            arguments = (peer.number, peer.replica.version)
            self.mesh.call(self.receive_version, *arguments)

    def complete_pull(self, source: int, version: int) -> None:
        """Handle the response of a peer to a pull, after the latency of the call."""
        now = self.mesh.queue.now
        peer = self.mesh.nodes[source]
        if not peer.alive:
            self.dissemination.record_pull_end(now, now + 0.5)
            return
        records = peer.replica.list_records_after(version)
        if records is not None:
            size = sum(codec.encode_record(r).ByteSize() for r in records)
            self.mesh.count_bytes("pull", size + CALL_OVERHEAD_BYTES)
            self.dissemination.record_pull_end(now)
            self.run(self.dissemination.receive_records(records, now))
            return
        wait = peer.admission.admit(now)
        self.mesh.count_bytes("pull", CALL_OVERHEAD_BYTES)
        if wait is not None:
            self.dissemination.record_pull_end(now, now + wait)
            return
        self.mesh.count_bytes("snapshot", SNAPSHOT_BYTES)
        self.dissemination.record_pull_end(now)
        snapshot = peer.replica.snapshot
        state = self.dissemination
        self.run(state.receive_snapshot(snapshot, snapshot.digest, now))

    def start_recovery(self) -> None:
        if not self.recovering:
            self.recovering = True
            runner = ProcedureRunner(Recovery(self.replica.version).run())
            self.schedule_step(runner)

    def schedule_step(self, runner: ProcedureRunner) -> None:
        operation = runner.operation
        delay = 0.0
        if isinstance(operation, (ReadLog, ListSnapshots)):
            self.mesh.count_read()
            delay = TABLE_LATENCY
        elif isinstance(operation, LoadSnapshot):
            self.mesh.count_bytes("snapshot", SNAPSHOT_BYTES)
            delay = OBJECT_LATENCY
        self.mesh.call(self.step_recovery, runner, delay=delay)

    def step_recovery(self, runner: ProcedureRunner) -> None:
        now = self.mesh.queue.now
        self.effects = []
        value = self.perform(runner.operation, now)
        self.run(self.effects)
        runner.reply(value, now)
        if runner.operation is not None:
            self.schedule_step(runner)
            return
        self.recovering = False
        if not isinstance(runner.result, Refusal):
            self.run(self.dissemination.record_table_read(now))


class Mesh:
    """Simulate the nodes of one run and count the bytes that they send."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.random = random.Random(seed)
        self.queue = EventQueue()
        self.platform = FakePlatform(inline_limit=10)
        self.writer = Replica()
        self.bytes: Counter[str] = Counter()
        self.reads: Counter[int] = Counter()
        self.pending = 0
        self.target = 0
        self.nodes = [
            Node(self, n, n % scenario.domains) for n in range(scenario.daemons)
        ]
        self.members = [
            self.nodes[domain :: scenario.domains] for domain in range(scenario.domains)
        ]
        self.push_bytes = 0
        self.accepted_at = 0.0
        self.first_poller = 0
        self.polling_paused_until = 0.0

    def append(self, timeout_ms: int) -> None:
        change = Change(tuple(create_service_resources("a", timeout_ms=timeout_ms)))
        record = build_record(
            self.writer.snapshot, change, change_id="c" * 24, author="o", accepted_at=0
        )
        snapshot = self.writer.apply_record(record)
        if record.version == 1:
            record = replace(record, snapshot_object=b"s")
            self.platform.objects[b"s"] = snapshot
            self.platform.index[1] = record
        self.platform.log[record.version] = record
        self.push_bytes = codec.encode_record(record).ByteSize() + 120

    def run(self) -> None:
        """Start nodes at version 1, accept version 2, and run until all activate it."""
        self.append(1)
        for node in self.nodes:
            if not (self.scenario.herd and node.domain == 0):
                self.start_node(node, version=1)
        self.queue.run_until(WARM_UP, lambda: False)
        self.bytes.clear()
        self.reads.clear()
        self.accepted_at = self.queue.now = WARM_UP
        self.append(2)
        self.target = 2
        self.pending = len(self.nodes)
        for node in self.members[0] if self.scenario.herd else ():
            self.start_node(node, version=0)
        if self.scenario.kill_pollers:
            self.kill_pollers()
        self.queue.run_until(WARM_UP + TIME_LIMIT, lambda: self.pending == 0)

    def start_node(self, node: Node, *, version: int) -> None:
        if version:
            node.catch_up()
            node.dissemination.record_table_read(0.0)
            node.effects = []
            period = len(self.members[node.domain]) / self.scenario.poll_rate
            wait = self.random.random() * period
            node.dissemination.postpone_poll(self.queue.now + wait)
            node.activated_at = None
        self.queue.schedule(self.random.random() * TICK_PERIOD, node.tick)
        self.queue.schedule(self.random.random() * PROBE_PERIOD, node.probe)

    def kill_pollers(self) -> None:
        """Kill the daemons of each domain that have poll duty with the tree method."""
        for members in self.members:
            for node in members[:POLLERS]:
                node.alive = False
                self.pending -= 1
        self.first_poller = POLLERS
        self.polling_paused_until = self.queue.now + LEASE_SECONDS

    # Dissemination methods

    def has_poll_duty(self, node: Node) -> bool:
        """Return whether a daemon has the poll lease (of the tree method only)."""
        if self.scenario.method != "tree" or self.queue.now < self.polling_paused_until:
            return False
        position = node.number // self.scenario.domains - self.first_poller
        return 0 <= position < POLLERS

    def push(self, node: Node, effect: PushRecord) -> None:
        if self.scenario.method == "poll":
            return
        if self.scenario.method == "tree":
            targets = self.list_children(node)
        else:
            targets = [self.choose_peer(node) for _ in range(effect.fanout)]
        for peer in targets:
            self.count_bytes("push", self.push_bytes)
            if self.scenario.method == "tree":
                self.call(peer.receive_push, node.number, effect.record)
            else:
                self.send(peer.receive_push, node.number, effect.record)

    def list_children(self, node: Node) -> list[Node]:
        members = self.members[node.domain]
        position = node.number // self.scenario.domains - self.first_poller
        first = position * TREE_FANOUT + POLLERS + self.first_poller
        return members[first : first + TREE_FANOUT]

    # Messages

    def choose_peer(self, node: Node) -> Node:
        while True:
            peer = self.random.choice(self.members[node.domain])
            if peer is not node:
                return peer

    def send(self, function, *arguments) -> None:
        if self.random.random() >= self.scenario.loss:
            self.queue.schedule(PEER_LATENCY, function, *arguments)

    def call(self, function, *arguments, delay: float = 2 * PEER_LATENCY) -> None:
        if delay and self.random.random() < self.scenario.loss:
            delay += RETRANSMIT_WAIT
        self.queue.schedule(delay, function, *arguments)

    def count_bytes(self, kind: str, size: int) -> None:
        self.bytes[kind] += size

    def count_read(self) -> None:
        self.reads[int(self.queue.now)] += 1
        self.count_bytes("table", CALL_OVERHEAD_BYTES)

    def record_activation(self, node: Node) -> None:
        is_current = 0 < self.target <= node.replica.version
        if node.alive and node.activated_at is None and is_current:
            node.activated_at = self.queue.now
            self.pending -= 1
