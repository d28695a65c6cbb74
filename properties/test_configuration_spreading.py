"""Properties: versions never go back, routes stay whole, daemons converge."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flamingohead.core.acceptance import Acceptance, Accepted, ChangeRequest
from flamingohead.core.changes import Change, apply_change
from flamingohead.core.dissemination import (
    ActivateSnapshot,
    PullFromPeer,
    PushRecord,
    QueryPeers,
    ReadTable,
)
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.recovery import Recovery
from flamingohead.core.routing import RouteTable
from flamingohead.core.storage import ListSnapshots, LoadChange, LoadSnapshot, ReadLog
from flamingohead.core.versions import VersionRecord, build_record
from flamingohead.testing.fakes import (
    FakeDaemon,
    FakePlatform,
    ProcedureRunner,
    create_service_resources,
)

DAEMONS = 4
CONVERGENCE_SECONDS = 7.0
TICK = 0.25
PROBE_PERIOD = 1.0
AWAY = Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")
DAEMON = st.integers(0, DAEMONS - 1)
NAMES = st.sampled_from(["a", "b", "c", "d"])


class SimulatedDaemon(FakeDaemon):
    """Add what a process has: an address, an incarnation, routes and a recovery."""

    def __init__(self, platform: FakePlatform, number: int, incarnation: int) -> None:
        super().__init__(platform, seed=number * 1000 + incarnation)
        self.number = number
        self.incarnation = incarnation
        self.frozen = False
        self.recovery: ProcedureRunner | None = None
        self.routes: RouteTable | None = None
        self.highest = 0


class SpreadingMachine(RuleBasedStateMachine):
    """Spread versions among daemons while messages cross, repeat and get lost."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = FakePlatform(inline_limit=3)
        self.writer = FakeDaemon(self.platform)
        self.daemons = [SimulatedDaemon(self.platform, n, 0) for n in range(DAEMONS)]
        self.messages: list[tuple] = []
        self.bad: set[int] = set()
        self.losable: set[bytes] = set()
        self.now = 0.0
        self.table_away = False

    # The log

    @rule(name=NAMES, timeout=st.integers(1, 9), remove=st.booleans())
    def accept(self, name, timeout, remove) -> None:
        self._append(name, timeout, remove)

    @rule(name=NAMES)
    def accept_version_that_no_daemon_can_take(self, name) -> None:
        """Stand for a version that a writer with other checks let through."""
        if self.bad:
            return
        base = self.writer.replica.snapshot
        assert base.version == max(self.platform.log, default=0)
        route = create_service_resources(name)[3]
        broken = replace(route, name="broken", path="/broken", pool="missing")
        change = Change((broken,))
        version = base.version + 1
        snapshot = apply_change(base, change, version=version)
        self.platform.log[version] = VersionRecord(
            version, base.digest, snapshot.digest, f"bad-{version}", "t", 0.0, change
        )
        self.bad.add(version)

    def _append(self, name: str, timeout: int, remove: bool) -> None:
        base = self.writer.replica.snapshot
        if base.version + 1 in self.platform.log:
            self._repair(lose_index=remove)
            return
        change = Change(tuple(create_service_resources(name, timeout_ms=timeout)))
        if remove:
            keys = [key for key in base.resources if key.service == name]
            change = Change((), tuple(keys))
        record = build_record(
            base, change, change_id=f"c{base.version}", author="t", accepted_at=0.0
        )
        if record.version % 3 == 0:
            snapshot = apply_change(base, change, version=record.version)
            self.losable.add(b"s%d" % record.version)
            self.platform.objects[b"s%d" % record.version] = snapshot
            record = replace(record, snapshot_object=b"s%d" % record.version)
            self.platform.index[record.version] = replace(record, change=None)
        self.writer.replica.apply_record(record)
        if len(change.upserts) > 3:
            digest = b"c%d" % record.version
            self.platform.objects[digest] = change
            record = replace(record, change=None, change_digest=digest)
        self.platform.log[record.version] = record

    def _repair(self, *, lose_index: bool) -> None:
        """Accept a version past the one that no daemon can take."""
        resources = self.writer.replica.snapshot.resources.values()
        request = ChangeRequest(
            tuple(resources),
            "repair",
            "t",
            max(self.platform.log),
            accepted_at=0.0,
            deadline=self.now + 6.0,
        )
        runner = ProcedureRunner(Acceptance(request, random=Random(0)).run())
        while runner.operation is not None:
            runner.reply(self.writer.perform(runner.operation, self.now), self.now)
        assert isinstance(runner.result, Accepted)
        if lose_index:
            del self.platform.index[runner.result.version]
        self.writer.catch_up(self.now)

    @precondition(lambda self: self.platform.objects)
    @rule(position=st.integers(0, 99))
    def lose_object(self, position) -> None:
        """Lose an object, unless no way to its version would be left."""
        objects = sorted(self.platform.objects)
        digest = objects[position % len(objects)]
        if digest in self.losable:
            del self.platform.objects[digest]

    # Faults

    @rule(number=DAEMON)
    def restart(self, number) -> None:
        incarnation = self.daemons[number].incarnation + 1
        self.daemons[number] = SimulatedDaemon(self.platform, number, incarnation)

    @rule(number=DAEMON)
    def freeze_or_wake(self, number) -> None:
        self.daemons[number].frozen = not self.daemons[number].frozen

    @rule()
    def toggle_table(self) -> None:
        self.table_away = not self.table_away

    @precondition(lambda self: self.messages)
    @rule(position=st.integers(0, 99), fate=st.sampled_from(["drop", "repeat"]))
    def drop_or_repeat_message(self, position, fate) -> None:
        position %= len(self.messages)
        if fate == "drop":
            del self.messages[position]
        else:
            self.messages.append(self.messages[position])

    # Progress

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0]))
    def tick(self, seconds) -> None:
        self.now += seconds
        for daemon in self.daemons:
            self._tick(daemon)

    @precondition(lambda self: self.messages)
    @rule(positions=st.lists(st.integers(0, 99), min_size=1, max_size=6))
    def deliver(self, positions) -> None:
        for position in positions:
            if self.messages:
                self._deliver(self.messages.pop(position % len(self.messages)))

    @rule(number=DAEMON, steps=st.integers(1, 6))
    def advance_recovery(self, number, steps) -> None:
        for _ in range(steps):
            self._advance_recovery(self.daemons[number])

    def _tick(self, daemon: SimulatedDaemon) -> None:
        if not daemon.frozen:
            effects = daemon.dissemination.tick(self.now, members=DAEMONS)
            self._run(daemon, effects)

    def _run(self, daemon: SimulatedDaemon, effects) -> None:
        for effect in effects:
            if isinstance(effect, ActivateSnapshot):
                daemon.routes = RouteTable(effect.snapshot)
            elif isinstance(effect, ReadTable) and daemon.recovery is None:
                procedure = Recovery(daemon.replica.version).run()
                daemon.recovery = ProcedureRunner(procedure)
            elif isinstance(effect, PushRecord):
                for other in self._choose_others(daemon, effect.fanout):
                    self._send("record", daemon, other, effect.record)
            elif isinstance(effect, QueryPeers):
                for other in self._choose_others(daemon, effect.count):
                    self._send("version", other, daemon, other.replica.version)
            elif isinstance(effect, PullFromPeer):
                other = self.daemons[int(effect.address)]
                self._send("pull", daemon, other, effect.version)

    def _choose_others(self, daemon: SimulatedDaemon, count: int):
        others = [other for other in self.daemons if other.number != daemon.number]
        return Random(self.now).sample(others, min(count, len(others)))

    def _send(self, kind, source, target, body) -> None:
        self.messages.append(
            (kind, source.number, target.number, target.incarnation, body)
        )

    def _deliver(self, message) -> None:
        kind, source, number, incarnation, body = message
        daemon = self.daemons[number]
        if daemon.frozen:
            self.messages.append(message)
            return
        if daemon.incarnation != incarnation and kind != "record":
            return
        state = daemon.dissemination
        if kind == "version":
            self._run(daemon, state.receive_peer_version(str(source), body, self.now))
        elif kind == "record":
            self._run(daemon, state.receive_records([body], self.now))
            version = body.version
            effects = state.receive_peer_version(str(source), version, self.now)
            self._run(daemon, effects)
        elif kind == "pull":
            records = daemon.replica.list_records_after(body)
            answer = daemon.replica.snapshot if records is None else records
            self._send("pulled", daemon, self.daemons[source], answer)
        elif isinstance(body, list):
            state.record_pull_end(self.now)
            self._run(daemon, state.receive_records(body, self.now))
        else:
            state.record_pull_end(self.now)
            self._run(daemon, state.receive_snapshot(body, body.digest, self.now))

    def _advance_recovery(self, daemon: SimulatedDaemon) -> None:
        if daemon.recovery is None or daemon.frozen:
            return
        operation = daemon.recovery.operation
        remote = (ReadLog, ListSnapshots, LoadChange, LoadSnapshot)
        if self.table_away and isinstance(operation, remote):
            value = AWAY
        else:
            daemon.effects = []
            value = daemon.perform(operation, self.now)
            self._run(daemon, daemon.effects)
        daemon.recovery.reply(value, self.now)
        if daemon.recovery.operation is None:
            state = daemon.dissemination
            if daemon.recovery.result is None:
                self._run(daemon, state.record_table_read(self.now))
            else:
                self._run(daemon, state.record_table_failure(self.now))
            daemon.recovery = None

    # Properties

    @invariant()
    def versions_never_go_back(self) -> None:
        for daemon in self.daemons:
            assert daemon.replica.version >= daemon.highest
            daemon.highest = daemon.replica.version
            if daemon.routes is not None:
                assert daemon.routes.version == daemon.replica.version

    @invariant()
    def every_snapshot_is_that_of_the_log(self) -> None:
        for daemon in self.daemons:
            held = daemon.replica.snapshot
            if held.version:
                assert held.digest == self.platform.log[held.version].snapshot_digest
            assert held.version not in self.bad
            held_names = {key.name for key in held.resources}
            assert "broken" not in held_names

    @invariant()
    def no_route_lacks_its_pool(self) -> None:
        for daemon in self.daemons:
            resources = daemon.replica.snapshot.resources.values()
            pools = {r.name for r in resources if type(r).__name__ == "Pool"}
            routes = [r for r in resources if type(r).__name__ == "Route"]
            assert all(route.pool in pools for route in routes)

    def teardown(self) -> None:
        """End the faults, first among the daemons, then those of the table."""
        for daemon in self.daemons:
            daemon.frozen = False
        self.messages.clear()
        self.table_away = True
        self._run_without_faults()
        newest = max(daemon.replica.version for daemon in self.daemons)
        for daemon in self.daemons:
            assert daemon.replica.version == newest
            assert daemon.dissemination.readiness.is_ready or newest == 0
        self.table_away = False
        self._run_without_faults()
        self._check_converged()

    def _run_without_faults(self) -> None:
        ends_at = self.now + CONVERGENCE_SECONDS
        while self.now < ends_at:
            self.now += TICK
            for daemon in self.daemons:
                self._tick(daemon)
                self._probe(daemon)
                for _ in range(20):
                    self._advance_recovery(daemon)
            for message in list(self.messages):
                self.messages.remove(message)
                self._deliver(message)

    def _probe(self, daemon: SimulatedDaemon) -> None:
        """Stand for one probe a second, which carries the held version."""
        if self.now % PROBE_PERIOD < TICK:
            for other in self._choose_others(daemon, 1):
                self._send("version", daemon, other, daemon.replica.version)

    def _check_converged(self) -> None:
        newest = max((v for v in self.platform.log if v not in self.bad), default=0)
        for daemon in self.daemons:
            self.versions_never_go_back()
            assert daemon.replica.version == newest
            assert daemon.dissemination.readiness.is_ready or newest == 0
            for rejection in daemon.dissemination.rejections.list_all():
                assert rejection.version in self.bad
                assert "broken" in rejection.refusal.detail


SpreadingMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
TestSpreading = SpreadingMachine.TestCase
