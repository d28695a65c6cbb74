"""An attempt reported as "not run" has no run, nor has an earlier one of its key."""

from __future__ import annotations

from hypothesis import settings
from hypothesis.stateful import invariant

from flamingohead.core.errors import ExecutionStatus, Refusal
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
