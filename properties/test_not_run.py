"""Whoever is told "not run" has no run by that attempt or an earlier one."""

from __future__ import annotations

from hypothesis import settings
from hypothesis.stateful import invariant

from flamingohead.core.errors import ExecutionStatus, Refusal
from properties.key_machine import KEYS, KeyMachine


class NotRunMachine(KeyMachine):
    def __init__(self):
        super().__init__()
        self.told_not_run = dict.fromkeys(KEYS, 0)

    def check_told(self, attempt, told):
        if isinstance(told, Refusal) and told.ran is ExecutionStatus.NO:
            key = attempt.request.key
            self.told_not_run[key] = max(self.told_not_run[key], attempt.sequence)

    @invariant()
    def not_run_stays_true(self):
        for run in self.keys.journal:
            assert run.sequence > self.told_not_run[run.key], run


TestNotRun = NotRunMachine.TestCase
TestNotRun.settings = settings(max_examples=1000, stateful_step_count=25)
