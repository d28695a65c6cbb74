"""Tests of the table from error kind to answer."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ERROR_ANSWERS, ErrorKind, Refusal


class TestErrorAnswers:
    def test_every_kind_has_an_answer(self):
        assert set(ERROR_ANSWERS) == set(ErrorKind)

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_status_is_an_error(self, kind):
        assert 400 <= ERROR_ANSWERS[kind].status < 600


class TestRefusal:
    def test_retry_deadline_goes_before_the_default(self):
        refusal = Refusal(ErrorKind.QUEUE_FULL, retry_at=10.25)
        assert refusal.compute_retry_after_ms(10.0) == 250
        assert refusal.compute_retry_after_ms(11.0) == 0
