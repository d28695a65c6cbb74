"""A keyed request runs at most once, and a stored response belongs to its key."""

from __future__ import annotations

from hypothesis import settings
from hypothesis.stateful import invariant

from flamingohead.core.idempotency import StoredAnswer
from properties.key_machine import KeyMachine


class ClaimedKeyMachine(KeyMachine):
    @invariant()
    def no_key_runs_twice(self):
        keys = [run.key for run in self.keys.journal]
        assert len(keys) == len(set(keys)), self.keys.journal

    def check_outcome(self, attempt, outcome):
        if isinstance(outcome, StoredAnswer):
            request = attempt.request
            assert outcome.body == f"{request.key} {request.digest}".encode()
            contents = {r.key: r.content for r in self.keys.journal}
            assert contents[request.key] == request.digest


TestClaimedKeys = ClaimedKeyMachine.TestCase
TestClaimedKeys.settings = settings(max_examples=1000, stateful_step_count=25)
