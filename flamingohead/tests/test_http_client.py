"""Reuse of idle connections."""

from __future__ import annotations

import heapq
import random

import pytest

from flamingohead.core.connection_reuse import (
    MAX_DAEMON_IDLE_SECONDS,
    MAX_UPSTREAM_IDLE_SECONDS,
    get_max_idle_seconds,
)
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.stopping import SETTLE_SECONDS
from flamingohead.services.http_client import (
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_SECONDS,
    ConnectionPool,
)
from flamingohead.services.http_connection import ClientConnection
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.testing.transports import FakeTransport, RecordingSink

ADDRESS = "127.0.0.1:1"


def release(pool, *, result=None, now=0.0):
    connection = ClientConnection(ADDRESS)
    transport = FakeTransport(connection)
    pool.release(connection, result, now)
    return connection, transport


class TestConnectionPool:
    def test_connection_is_used_again_until_it_has_idled_too_long(self):
        pool = ConnectionPool()
        connection, _ = release(pool)
        assert pool.acquire(ADDRESS, MAX_IDLE_SECONDS - 0.1) is connection
        _, transport = release(pool)
        assert pool.acquire(ADDRESS, MAX_IDLE_SECONDS) is None
        assert transport.is_closed

    @pytest.mark.parametrize("to_upstream", [False, True])
    def test_what_may_run_once_follows_close_behind_a_whole_answer(self, to_upstream):
        pool = ConnectionPool()
        rest = get_max_idle_seconds(idempotent=False, to_upstream=to_upstream)
        connection, transport = release(pool)
        assert pool.acquire(ADDRESS, rest, max_idle_seconds=rest) is None
        assert not transport.is_closed
        assert pool.acquire(ADDRESS, rest - 0.01, max_idle_seconds=rest) is connection

    def test_what_may_run_again_takes_any_idle_connection(self):
        rest = get_max_idle_seconds(idempotent=True, to_upstream=True)
        assert rest > MAX_IDLE_SECONDS

    def test_rest_ends_before_a_stopping_daemon_closes_idle_connections(self):
        assert MAX_DAEMON_IDLE_SECONDS < SETTLE_SECONDS

    def test_upstream_that_forgets_idle_connections_is_not_met(self):
        # Some upstreams forget a connection that has rested for 200 ms.
        assert MAX_UPSTREAM_IDLE_SECONDS < 0.2

    def test_full_pool_closes_the_connection_that_has_rested_longest(self):
        pool = ConnectionPool()
        oldest, transport = release(pool)
        for _ in range(MAX_IDLE_CONNECTIONS):
            newest, _ = release(pool)
        assert transport.is_closed
        assert pool.acquire(ADDRESS, 0.0) is newest

    def test_connection_with_a_refusal_is_closed(self):
        pool = ConnectionPool()
        refusal = Refusal(ErrorKind.UPSTREAM_TIMEOUT, "")
        _, transport = release(pool, result=refusal)
        assert transport.is_closed
        assert pool.acquire(ADDRESS, 0.0) is None

    def test_connection_with_unsent_bytes_is_not_used_again(self):
        connection = ClientConnection(ADDRESS)
        transport = FakeTransport(connection)
        transport.unsent_bytes = 1
        ends = []
        request = OutgoingRequest("POST", b"/", (), b"body", 1.0)
        connection.exchange(request, RecordingSink(), ends.append)
        transport.deliver(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n")
        assert ends == [None]
        assert not connection.is_open


class TestConnectionsOfRequestsThatMayRunOnce:
    """Replay a payment desk: 40 requests a second, each of 60 ms, to one upstream."""

    def test_few_requests_need_a_connection_of_their_own(self):
        pool = ConnectionPool()
        generator = random.Random(5)
        rest = get_max_idle_seconds(idempotent=False, to_upstream=True)
        opened = now = 0.0
        running = []
        for _ in range(1000):
            now += generator.expovariate(40.0)
            while running and running[0][0] <= now:
                ends_at, _, connection = heapq.heappop(running)
                pool.release(connection, None, ends_at)
            connection = pool.acquire(ADDRESS, now, max_idle_seconds=rest)
            if connection is None:
                opened += 1
                connection = ClientConnection(ADDRESS)
                FakeTransport(connection)
            heapq.heappush(running, (now + 0.06, id(connection), connection))
        assert opened < 300
