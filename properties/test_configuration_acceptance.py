"""Property: an accepted change never reverts, and each operator learns its fate."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flamingohead.core import acceptance
from flamingohead.core.acceptance import Acceptance, Accepted, ChangeRequest
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.storage import CatchUp, InsertRecord, Wait
from flamingohead.testing.fakes import (
    WRITE_OPERATIONS,
    FakeDaemon,
    FakePlatform,
    ProcedureRunner,
    create_service_resources,
)

OPERATORS = 3
DEADLINE = 6.0
MAX_STEPS = 30
AWAY = Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")
NAMES = ("a", "b", "c")
SHEETS = st.dictionaries(st.sampled_from(NAMES), st.integers(1, 3), min_size=1)
OPERATOR = st.integers(0, OPERATORS - 1)
LAG = st.sampled_from([0, 0, 0, 1])
FAULTS = st.sampled_from(["none"] * 5 + ["away", "lost", "delay"])
BROKEN_SHEET = create_service_resources("a")[:1] + create_service_resources("b")


class Operator:
    """Ask through one daemon; ask again under the same id until told."""

    def __init__(self, platform: FakePlatform, number: int) -> None:
        self.daemon = FakeDaemon(platform, seed=number)
        self.request: ChangeRequest | None = None
        self.runner: ProcedureRunner | None = None

    def ask(self) -> None:
        procedure = Acceptance(self.request, random=Random(0)).run()
        self.runner = ProcedureRunner(procedure)


class AcceptanceMachine(RuleBasedStateMachine):
    """Let operators race while the platform fails at any step."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = FakePlatform()
        self.operators = [Operator(self.platform, n) for n in range(OPERATORS)]
        self.in_flight: list[InsertRecord] = []
        self.seen: dict[int, str] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.asked = 0
        self.now = 0.0

    @rule(sheets=st.lists(SHEETS, min_size=1, max_size=OPERATORS), lag=LAG)
    def begin_race(self, sheets, lag) -> None:
        for number, sheet in enumerate(sheets):
            if self.operators[number].request is None:
                self._begin(number, sheet, lag, broken=False)

    @rule(number=OPERATOR, sheet=SHEETS, lag=LAG)
    def begin_broken(self, number, sheet, lag) -> None:
        if self.operators[number].request is None:
            self._begin(number, sheet, lag, broken=True)

    def _begin(self, number, sheet, lag, *, broken) -> None:
        operator = self.operators[number]
        resources = [
            resource
            for name, timeout in sheet.items()
            for resource in create_service_resources(name, timeout_ms=timeout)
        ]
        self.asked += 1
        operator.request = ChangeRequest(
            tuple(BROKEN_SHEET if broken else resources),
            change_id=f"change-{self.asked}",
            author=f"operator-{number}",
            base_version=max(0, operator.daemon.replica.version - lag),
            accepted_at=1.0,
            deadline=self.now + DEADLINE,
        )
        operator.ask()

    @rule(schedule=st.lists(st.tuples(OPERATOR, FAULTS), min_size=1, max_size=12))
    def advance(self, schedule) -> None:
        for number, fault in schedule:
            operator = self.operators[number]
            if operator.runner is not None:
                self._step(operator, fault)

    @rule(number=OPERATOR, stop=st.sampled_from([CatchUp, InsertRecord]))
    def pause_before(self, number, stop) -> None:
        operator = self.operators[number]
        while operator.runner is not None:
            if isinstance(operator.runner.operation, stop):
                return
            self._step(operator, "none")

    @rule(number=OPERATOR)
    def finish(self, number) -> None:
        operator = self.operators[number]
        while operator.runner is not None:
            self._step(operator, "none")

    @precondition(lambda self: self.in_flight)
    @rule(position=st.integers(0, 9))
    def land_delayed_write(self, position) -> None:
        write = self.in_flight.pop(position % len(self.in_flight))
        self.platform.perform(write)

    @precondition(lambda self: any(o.runner for o in self.operators))
    @rule()
    def kill_operators(self) -> None:
        for operator in self.operators:
            operator.runner = None

    @rule(number=OPERATOR, through=OPERATOR)
    def restart_daemon_and_ask_again(self, number, through) -> None:
        operator = self.operators[number]
        if operator.request is not None and operator.runner is None:
            deadline = self.now + DEADLINE
            operator.request = replace(operator.request, deadline=deadline)
            operator.daemon = FakeDaemon(self.platform, seed=through)
            operator.ask()

    @rule(number=OPERATOR)
    def catch_up(self, number) -> None:
        self.operators[number].daemon.catch_up()

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def pass_time(self, seconds) -> None:
        self.now += seconds

    def _step(self, operator: Operator, fault: str) -> None:
        operation = operator.runner.operation
        if isinstance(operation, Wait):
            self.now = max(self.now, operation.until)
            self._reply(operator, None)
        elif fault == "away":
            self._reply(operator, AWAY)
        elif fault == "delay" and isinstance(operation, InsertRecord):
            self.in_flight.append(operation)
            self._reply(operator, AWAY)
        else:
            value = operator.daemon.perform(operation, self.now)
            lost = fault == "lost" and isinstance(
                operation, (*WRITE_OPERATIONS, CatchUp)
            )
            self._reply(operator, AWAY if lost else value)

    def _reply(self, operator: Operator, value) -> None:
        operator.runner.reply(value, self.now)
        if operator.runner.operation is None:
            self._conclude(operator, operator.runner.result)
            operator.runner = None

    def _conclude(self, operator: Operator, outcome) -> None:
        change_id = operator.request.change_id
        if isinstance(outcome, Accepted):
            self.accepted[change_id] = outcome.version
            base_version = operator.request.base_version
            assert outcome.version in (base_version, base_version + 1)
            wanted = operator.request.resources
            if outcome.version == operator.request.base_version:
                assert set(wanted) == set(
                    operator.daemon.replica.snapshot.resources.values()
                )
                del self.accepted[change_id]
            operator.request = None
        elif outcome.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN:
            assert change_id in outcome.detail
        else:
            self.refused.add(change_id)
            if outcome.kind is ErrorKind.VERSION_CONFLICT:
                winner = self.platform.log.get(operator.request.base_version + 1)
                assert winner is None or winner.change_id in outcome.detail
            operator.request = None

    @invariant()
    def log_is_one_unbroken_chain(self) -> None:
        parent = b""
        for version in range(1, len(self.platform.log) + 1):
            record = self.platform.log[version]
            assert record.parent_digest == parent
            parent = record.snapshot_digest
            assert self.seen.setdefault(version, record.change_id) == record.change_id

    @invariant()
    def outcomes_told_stay_true(self) -> None:
        ids = [record.change_id for record in self.platform.log.values()]
        assert len(ids) == len(set(ids))
        assert not self.refused & set(ids)
        for change_id, version in self.accepted.items():
            assert self.platform.log[version].change_id == change_id

    def teardown(self) -> None:
        """End the faults: each operator learns what became of its change."""
        for write in self.in_flight:
            self.platform.perform(write)
        for operator in self.operators:
            if operator.request is None:
                continue
            operator.request = replace(operator.request, deadline=self.now + DEADLINE)
            operator.ask()
            for _ in range(MAX_STEPS):
                if operator.request is not None:
                    self._step(operator, "none")
            assert operator.request is None
            self.log_is_one_unbroken_chain()
            self.outcomes_told_stay_true()


@pytest.fixture(autouse=True, scope="module")
def store_snapshots_often():
    period = acceptance.SNAPSHOT_PERIOD
    acceptance.SNAPSHOT_PERIOD = 3
    yield
    acceptance.SNAPSHOT_PERIOD = period


AcceptanceMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestAcceptedChangeNeverReverts = AcceptanceMachine.TestCase
