"""What is reported as "not run" has no run: requests, attempts and keys."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import invariant

from flamingohead.core.attempts import AttemptTracker, Step
from flamingohead.core.errors import (
    NOT_RUN_STATUSES,
    ErrorKind,
    ExecutionStatus,
    Refusal,
)
from properties.key_machine import KEYS, KeyMachine


class NotRunMachine(KeyMachine):
    def __init__(self):
        super().__init__()
        self.reported_not_run = dict.fromkeys(KEYS, 0)

    def check_outcome(self, attempt, outcome):
        if isinstance(outcome, Refusal) and outcome.ran is ExecutionStatus.NO:
            key = attempt.request.key
            self.reported_not_run[key] = max(
                self.reported_not_run[key], attempt.sequence
            )

    @invariant()
    def not_run_stays_true(self):
        for run in self.keys.journal:
            assert run.sequence > self.reported_not_run[run.key], run


TestNotRun = NotRunMachine.TestCase
TestNotRun.settings = settings(max_examples=1000, stateful_step_count=25)


REFUSALS = st.builds(
    Refusal,
    st.sampled_from(ErrorKind),
    retry_at=st.none() | st.floats(0, 20),
    ran_override=st.none() | st.sampled_from(ExecutionStatus),
)


class TestAttemptsWithoutKey:
    @settings(max_examples=1000)
    @given(
        attempts=st.lists(st.tuples(REFUSALS, st.booleans()), min_size=1, max_size=12),
        idempotent=st.booleans(),
        max_upstreams=st.integers(1, 4),
    )
    def test_final_refusal_holds_for_all_attempts(
        self, attempts, idempotent, max_upstreams
    ):
        tracker = AttemptTracker(idempotent, max_upstreams, deadline=10.0)
        may_have_run = False
        for number, (refusal, waited) in enumerate(attempts):
            key = (f"h{number}", "u")
            step = tracker.record(key, refusal, 0.0, waited=waited)
            if refusal.ran is not ExecutionStatus.NO:
                may_have_run = True
                assert idempotent or step is Step.GIVE_UP
            if step is Step.GIVE_UP:
                break
        final = tracker.build_final_refusal()
        assert (final.ran is ExecutionStatus.NO) is not may_have_run
        assert not (may_have_run and final.caller_status in NOT_RUN_STATUSES)
