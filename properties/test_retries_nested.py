"""Retries of nested calls stay within the retry budget."""

from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from flamingohead.core.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    ExecutionStatus,
    Refusal,
)
from flamingohead.core.retries import (
    RETRY_CLASSES,
    WINDOW_SECONDS,
    RetryBudget,
    RetryClass,
)
from flamingohead.testing.nesting import NestedCalls

LEVELS = 9
MAX_LOAD_FACTOR = 1.2
REPEATABLE_KINDS = sorted(
    (kind for kind, c in RETRY_CLASSES.items() if c is RetryClass.REPEAT), key=str
)


class TestNestedRetries:
    @given(
        chance=st.sampled_from([0.05, 0.5, 1.0]),
        rate=st.sampled_from([40, 100]),
        kind=st.sampled_from(REPEATABLE_KINDS),
        propagates_retry_mark=st.booleans(),
        seed=st.integers(0, 100),
    )
    @settings(max_examples=12)
    def test_retries_add_little_load_to_a_failing_leaf(
        self, chance, rate, kind, propagates_retry_mark, seed
    ):
        nested = NestedCalls(
            [RetryBudget(0.0) for _ in range(LEVELS)],
            failure_chance=chance,
            kind=kind,
            propagates_retry_mark=propagates_retry_mark,
            random=random.Random(seed),
        )
        assert nested.run(seconds=60, rate=rate) <= MAX_LOAD_FACTOR

    @given(
        gaps=st.lists(st.floats(0, 30), min_size=1, max_size=80),
        kind=st.sampled_from(sorted(RETRY_CLASSES, key=str)),
    )
    @settings(max_examples=50)
    def test_tokens_expire(self, gaps, kind):
        budget = RetryBudget(0.0)
        now = 0.0
        for gap in gaps:
            now += gap
            budget.record_request(now)
        now += 2 * WINDOW_SECONDS
        assert not budget.allow_retry(Refusal(kind), now, attempts=1, idempotent=True)


class TestPermittedRetries:
    @given(kind=st.sampled_from(ErrorKind), attempts=st.integers(1, 5))
    def test_request_that_may_have_run_is_not_repeated(self, kind, attempts):
        budget = RetryBudget(0.0)
        allowed = budget.allow_retry(
            Refusal(kind), 0.0, attempts=attempts, idempotent=False
        )
        if allowed:
            assert ERROR_RESPONSES[kind].ran is ExecutionStatus.NO
            assert attempts < 3

    @given(kind=st.sampled_from(ErrorKind))
    def test_retry_of_an_outer_level_is_not_repeated(self, kind):
        budget = RetryBudget(0.0)
        allowed = budget.allow_retry(
            Refusal(kind), 0.0, attempts=1, idempotent=True, is_retry=True
        )
        assert not allowed or RETRY_CLASSES[kind] is RetryClass.MOVE
