"""Tests of an upstream's response on its way to the caller."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest

from flamingohead.core.calls import REQUEST_ID_HEADER, Call
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.events import Event
from flamingohead.kernel import Kernel
from flamingohead.platform.dialect import NOT_EXECUTED_HEADER, PLATFORM_DIALECT
from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.dispatch import ResponseRelay, dispatch_call
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.metrics import MetricsService
from flamingohead.tests.test_slots import FakeResponse

COUNTER = "upstream.execution_not_stated"


class FakeUpstream:
    """Answer every request with the same status and headers."""

    def __init__(self, status, headers=(), end=None):
        self.status = status
        self.headers = list(headers)
        self.end = end

    async def send(self, address, request, sink, *, on_connection, **options):
        on_connection(ClientConnection(address))
        sink.start(self.status, self.headers, 0)
        if self.end is None:
            sink.finish()
        return self.end


class Dispatch:
    """Dispatch a call to an upstream with a scripted response."""

    def __init__(self, *answer):
        kernel = Kernel()
        self.metrics = MetricsService()
        kernel.add("metrics", self.metrics)
        kernel.add("http_client", FakeUpstream(*answer))
        headers = ((REQUEST_ID_HEADER, b"r-1"),)
        deadline = time.monotonic() + 5.0
        call = Call("s", "urgent", "POST", b"/", headers, b"", deadline, False)
        self.response = BufferedResponse(FakeResponse())
        relay = ResponseRelay(self.response, PLATFORM_DIALECT)
        self.refusal = asyncio.run(
            dispatch_call(
                kernel,
                "10.0.0.1:1",
                call,
                relay,
                upstream="u",
                dialect=PLATFORM_DIALECT,
            )
        )


class TestStatedRefusals:
    def test_refusal_whose_body_is_cut_keeps_its_statement(self):
        cut = Refusal(ErrorKind.UPSTREAM_CUT)
        dispatch = Dispatch(503, [(NOT_EXECUTED_HEADER, b"1")], cut)
        assert dispatch.refusal.kind is ErrorKind.UPSTREAM_SHED
        assert dispatch.refusal.ran is ExecutionStatus.NO


class TestUnstatedRefusals:
    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_status_that_denies_execution_is_logged(self, status, caplog):
        with caplog.at_level(logging.INFO):
            dispatch = Dispatch(status)
        [record] = caplog.records
        assert record.event == Event.EXECUTION_NOT_STATED.value.number
        fields = {"request": "r-1", "upstream": "u", "status": status}
        assert record.fields.items() >= fields.items()
        assert dispatch.metrics.counters[COUNTER] == 1

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_upstream_denies_no_execution_by_its_status_alone(self, status):
        dispatch = Dispatch(status)
        assert dispatch.refusal.kind is ErrorKind.UPSTREAM_FAILED
        assert dispatch.refusal.ran is ExecutionStatus.UNKNOWN
        assert not dispatch.response.is_complete

    @pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
    def test_response_that_denies_nothing_is_passed_on(self, status):
        dispatch = Dispatch(status)
        assert dispatch.refusal is None
        assert dispatch.response.is_complete
        assert dispatch.response.status == status

    @pytest.mark.parametrize(
        ("answer", "events"),
        [
            ((200,), []),
            ((404,), []),
            ((500,), []),
            ((421,), [Event.UPSTREAM_DECLINED.value.number]),
            (
                (503, [(NOT_EXECUTED_HEADER, b"1")]),
                [Event.UPSTREAM_DECLINED.value.number],
            ),
        ],
    )
    def test_other_responses_are_not_logged_as_unstated(self, answer, events, caplog):
        with caplog.at_level(logging.INFO):
            dispatch = Dispatch(*answer)
        assert [record.event for record in caplog.records] == events
        assert not dispatch.metrics.counters
