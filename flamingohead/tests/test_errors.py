"""Tests of the response to each kind of error and of the retry time."""

from __future__ import annotations

import re

import pytest

from flamingohead.core.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    ExecutionStatus,
    Refusal,
)
from flamingohead.testing.http import FakeCaller
from flamingohead.testing.processes import ROOT


class TestErrorAnswers:
    def test_every_kind_has_a_response(self):
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_status_is_an_error(self, kind):
        assert 400 <= ERROR_RESPONSES[kind].status < 600

    def test_documented_table_matches(self):
        text = (ROOT / "docs" / "errors.md").read_text()
        rows = re.findall(
            r"^\| `([a-z_]+)` \| (\d+) \| (\w+) \| (\d+|-) \|", text, re.MULTILINE
        )
        listed = {row[0]: row[1:] for row in rows}
        assert len(listed) == len(rows)
        for kind, answer in ERROR_RESPONSES.items():
            retry = "-" if answer.retry_after_ms is None else str(answer.retry_after_ms)
            assert listed.pop(kind.value) == (
                str(answer.status),
                answer.ran.value,
                retry,
            )
        assert not listed


class TestRefusal:
    def test_retry_time_overrides_the_default(self):
        refusal = Refusal(ErrorKind.QUEUE_FULL, retry_at=10.25)
        assert refusal.compute_retry_after_ms(10.0) == 250
        assert refusal.compute_retry_after_ms(11.0) == 0


def send_refusal(refusal):
    """Return the status and the headers that a caller gets for a refusal."""
    caller = FakeCaller(lambda request, response: response.refuse(refusal, 0.0))
    caller.deliver(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    [response] = caller.parse_responses()
    return response.status, dict(response.headers)


class TestStatusesOfCallers:
    @pytest.mark.parametrize("ran", [None, *ExecutionStatus], ids=str)
    @pytest.mark.parametrize("kind", list(ErrorKind), ids=str)
    def test_status_denies_no_execution_that_is_possible(self, kind, ran):
        status, headers = send_refusal(Refusal(kind, ran_override=ran))
        if headers[b"flamingohead-ran"] == b"no":
            assert status == ERROR_RESPONSES[kind].status
        else:
            assert status not in (408, 421, 429, 503)

    def test_time_to_come_back_is_kept(self):
        refusal = Refusal(
            ErrorKind.QUEUE_FULL, retry_at=2.0, ran_override=ExecutionStatus.UNKNOWN
        )
        status, headers = send_refusal(refusal)
        assert (status, headers[b"retry-after"]) == (502, b"2")
