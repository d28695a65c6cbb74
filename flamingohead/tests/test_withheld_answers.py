"""Test what callers get where the response of an upstream is withheld."""

from __future__ import annotations

import time

from flamingohead.core.errors import NOT_RUN_STATUSES
from flamingohead.platform.dialect import NOT_EXECUTED_HEADER
from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.relay import RelaySink
from flamingohead.tests.test_dispatch import Dispatch
from flamingohead.tests.test_slots import FakeResponse

UNSTATED_STATUSES = (408, 429, 503)


class TestOlderHosts:
    """Guard against the unstated refusal that a host of an earlier build passes on."""

    def relay(self, status):
        response = BufferedResponse(FakeResponse())
        sink = RelaySink(response)
        sink.start(status, [(b"request-id", b"r-1")], 0)
        sink.finish()
        return response.status if sink.refusal is None else sink.refusal.caller_status

    def test_relayed_status_without_a_refusal_is_no_promise(self):
        statuses = [self.relay(status) for status in UNSTATED_STATUSES]
        assert NOT_RUN_STATUSES.isdisjoint(statuses)


class TestRetryAfter:
    """Guard against callers that return earlier than their upstream asked for."""

    def test_time_of_the_upstream_is_kept(self):
        statement = (NOT_EXECUTED_HEADER, b"1")
        for status in (429, 503):
            for extra in ([], [statement]):
                headers = [(b"retry-after", b"2"), *extra]
                refusal = Dispatch(status, headers).refusal
                assert refusal.compute_retry_after_ms(time.monotonic()) >= 1900
