"""Reuse of idle connections."""

from __future__ import annotations

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.stopping import SETTLE_SECONDS
from flamingohead.services.http_client import (
    MAX_IDLE_SECONDS,
    RECENT_SECONDS,
    ConnectionPool,
)
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.testing.transports import FakeTransport

ADDRESS = "127.0.0.1:1"


def give_back(pool, *, result=None, now=0.0):
    connection = ClientConnection(ADDRESS)
    transport = FakeTransport(connection)
    pool.give_back(connection, result, now)
    return connection, transport


class TestConnectionPool:
    def test_connection_is_used_again_until_it_has_idled_too_long(self):
        pool = ConnectionPool()
        connection, _ = give_back(pool)
        assert pool.take(ADDRESS, MAX_IDLE_SECONDS - 0.1) is connection
        _, transport = give_back(pool)
        assert pool.take(ADDRESS, MAX_IDLE_SECONDS) is None
        assert transport.is_closed

    def test_recent_asks_for_a_whole_answer_a_moment_ago(self):
        pool = ConnectionPool()
        connection, transport = give_back(pool)
        assert pool.take(ADDRESS, RECENT_SECONDS, recent=True) is None
        assert not transport.is_closed
        assert pool.take(ADDRESS, RECENT_SECONDS - 0.1, recent=True) is connection

    def test_recent_ends_before_a_stopping_daemon_closes_idle_connections(self):
        assert RECENT_SECONDS < SETTLE_SECONDS

    def test_connection_with_a_refusal_is_closed(self):
        pool = ConnectionPool()
        refusal = Refusal(ErrorKind.UPSTREAM_TIMEOUT, "")
        _, transport = give_back(pool, result=refusal)
        assert transport.is_closed
        assert pool.take(ADDRESS, 0.0) is None

    def test_connection_with_unsent_bytes_is_not_used_again(self):
        connection = ClientConnection(ADDRESS)
        transport = FakeTransport(connection)
        transport.unsent_bytes = 1
        ends = []
        request = OutgoingRequest("POST", b"/", (), b"body", 1.0)
        connection.exchange(request, _Sink(), ends.append)
        transport.deliver(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n")
        assert ends == [None]
        assert not connection.is_open


class _Sink:
    def start(self, status, headers, length):
        pass

    def write(self, data):
        pass

    def finish(self):
        pass
