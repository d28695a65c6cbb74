"""A scoped key runs at most once, with no platform, and "not run" stays true."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from flamingohead.core.errors import ExecutionStatus, Refusal
from flamingohead.core.idempotency import StoredAnswer, qualify_refusal
from flamingohead.testing.fake_keys import Execution
from flamingohead.testing.fake_scopes import ScopedKeySimulation

HOMES = 2

homes = st.integers(0, HOMES - 1)
picks = st.integers(0, 5)
executions = st.sampled_from([Execution.SHED, Execution.ANSWERED] * 2 + list(Execution))


class ScopedKeyMachine(RuleBasedStateMachine):
    """Send attempts with scoped keys, late or not, and restart and cut homes."""

    def __init__(self):
        super().__init__()
        self.homes = ScopedKeySimulation(HOMES)
        self.keys = []
        self.sent = {}
        self.attempts = []
        self.told_not_run = {}

    @initialize()
    def make_keys(self):
        for home in range(HOMES):
            key = self.homes.make_key(home, f"visit-{home}")
            self.keys.append(key)
            self.sent[key] = self.told_not_run[key] = 0

    @rule(
        pick=st.sampled_from([0, 0, 0, 1]),
        marked=st.sampled_from([True, True, False]),
        steps=st.sampled_from([2, 2, 1, 0, 0]),
        execution=executions,
    )
    def send(self, pick, marked, steps, execution):
        key = self.keys[pick]
        self.sent[key] += 1
        number = self.sent[key] if marked else 0
        self.attempts.append(self.homes.send(key, number, self.sent[key]))
        self._step(self.attempts[-1], steps, execution)

    @precondition(lambda self: self.attempts)
    @rule(pick=picks, steps=st.sampled_from([2, 1]), execution=executions)
    def step(self, pick, steps, execution):
        self._step(self.attempts[pick % len(self.attempts)], steps, execution)

    @rule(home=homes, fault=st.sampled_from(["restart", "cut", "time"]))
    def fail(self, home, fault):
        if fault == "restart":
            self.homes.restart(home, self.attempts)
        elif fault == "cut":
            self.homes.homes[home].cut = not self.homes.homes[home].cut
        else:
            self.homes.advance_clock(50.0)

    def _step(self, attempt, steps, execution):
        for _ in range(steps):
            self.homes.step(attempt, execution)
        if attempt.result is None:
            return
        self.attempts.remove(attempt)
        self._check_told(attempt)

    def _check_told(self, attempt):
        key = attempt.request.key
        told = attempt.result
        if isinstance(told, StoredAnswer):
            assert told.body == key.encode()
            return
        assert isinstance(told, Refusal)
        if qualify_refusal(told, attempt.request.attempt).ran is ExecutionStatus.NO:
            self.told_not_run[key] = max(self.told_not_run[key], attempt.sequence)

    @invariant()
    def no_key_runs_twice(self):
        keys = [run.key for run in self.homes.journal]
        assert len(keys) == len(set(keys)), self.homes.journal

    @invariant()
    def not_run_stays_true(self):
        for run in self.homes.journal:
            assert run.sequence > self.told_not_run[run.key], run


TestScopedKeys = ScopedKeyMachine.TestCase
TestScopedKeys.settings = settings(max_examples=800, stateful_step_count=20)
