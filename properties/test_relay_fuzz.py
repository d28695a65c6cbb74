"""What one daemon takes from another: any headers, and only its own exchange."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings, strategies as st

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import (
    EXCHANGE_HEADER,
    IncomingRequest,
    OutgoingRequest,
)
from flamingohead.services.relay import RelaySink, read_relayed_call
from flamingohead.testing.http import FakeCaller
from flamingohead.testing.transports import FakeTransport

REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


class TestRelayedRequests:
    @given(
        headers=st.lists(
            st.tuples(
                st.sampled_from(
                    (
                        b"request-timeout-ms",
                        b"flamingohead-service",
                        b"flamingohead-rank",
                        b"flamingohead-upstream",
                        b"idempotency-key",
                    )
                ),
                st.one_of(st.binary(max_size=8), st.just(b"9" * 5000), st.just(b"10")),
            ),
            max_size=6,
        )
    )
    @settings(max_examples=200)
    @example(
        headers=[
            (b"request-timeout-ms", b"9" * 5000),
            (b"flamingohead-service", b"\xff"),
            (b"flamingohead-rank", b"\xff"),
        ]
    )
    @example(
        headers=[
            (b"request-timeout-ms", b"10"),
            (b"flamingohead-service", b"\xff"),
            (b"flamingohead-rank", b"\xff"),
        ]
    )
    def test_any_headers_give_a_call_or_a_refusal(self, headers):
        result = read_relayed_call(IncomingRequest("GET", b"/", headers), 0.0)
        assert isinstance(result, (Call, Refusal))


class TestExchanges:
    @pytest.mark.parametrize("echo", [b"", b"flamingohead-exchange: 2\r\n"])
    def test_answer_of_a_daemon_to_another_exchange_is_refused(self, echo):
        caller = FakeCaller(responds_at_once=False)
        caller.deliver(REQUEST)
        connection = ClientConnection("127.0.0.1:1")
        transport = FakeTransport(connection)
        ends = []
        request = OutgoingRequest("GET", b"/", ((EXCHANGE_HEADER, b"1"),), b"", 1.0)
        connection.exchange(request, ResponseRelay(caller.responses[0]), ends.append)
        transport.deliver(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + echo + b"\r\n")
        assert [end.kind for end in ends] == [ErrorKind.UPSTREAM_MALFORMED]
        assert transport.is_closed

    def test_daemon_repeats_the_exchange_and_it_is_not_passed_on(self):
        owner, entry = FakeCaller(responds_at_once=False), FakeCaller(
            responds_at_once=False
        )
        entry.deliver(REQUEST)
        connection = ClientConnection("127.0.0.1:1")
        transport = FakeTransport(connection)
        ends = []
        request = OutgoingRequest("GET", b"/", ((EXCHANGE_HEADER, b"1"),), b"", 1.0)
        connection.exchange(request, RelaySink(entry.responses[0]), ends.append)
        owner.deliver(transport.written)
        owner.responses[0].send(200, [], b"own")
        transport.deliver(owner.transport.written)
        assert ends == [None]
        assert EXCHANGE_HEADER not in entry.transport.written
        assert [response.body for response in entry.parse_responses()] == [b"own"]
