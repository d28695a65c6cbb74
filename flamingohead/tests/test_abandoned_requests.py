"""Tests that an upstream is never sent more requests than its slots.

Some upstreams never answer a request that they can't take, nor any later one on that
connection.
"""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from flamingohead.core.capacity.abandoned import (
    INHERITED_HOLD_SECONDS,
    MAX_EXTENDED_SECONDS,
    AbandonedRequests,
)
from flamingohead.core.errors import ErrorKind, ExecutionStatus
from flamingohead.platform.dialect import PLATFORM_DIALECT, read_busy_count
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.services.reactor import install_reactor
from flamingohead.testing.transports import RecordingSink
from flamingohead.tests.test_slots import FakeResponse, build_call, build_slots


class PersistentUpstream:
    """Work on each request to its end, whether or not its connection is closed."""

    def __init__(self, seconds, seed=1):
        self.seconds = seconds
        self.random = random.Random(seed)
        self.busy = 0
        self.max_busy = 0

    async def send(self, address, request, sink, *, on_connection=None, **options):
        if on_connection is not None:
            on_connection(FakeConnection())
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        work = asyncio.get_running_loop().create_future()
        seconds = self.seconds * self.random.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(seconds, self.finish, work)
        await work
        sink.start(200, [(b"instance-load", b"%d,0,6" % (self.busy + 1))], 0)
        sink.finish()

    def finish(self, work):
        self.busy -= 1
        if not work.done():
            work.set_result(None)


class FakeConnection:
    number = exchange_count = 1

    def pause(self):
        pass

    resume = pause


async def send_and_leave(service, generator, *, count=200, patience=0.04):
    """Send calls of which a third is abandoned by its caller."""
    tasks = []
    for _ in range(count):
        execution = service.execute("u", build_call(), FakeResponse())
        tasks.append(asyncio.create_task(execution))
        if generator.random() < 0.33:
            delay = generator.uniform(0.0, patience)
            asyncio.get_running_loop().call_later(delay, tasks[-1].cancel)
        await asyncio.sleep(generator.expovariate(100))
    return await asyncio.gather(*tasks, return_exceptions=True)


class TestSlotsOfAbandonedRequests:
    @pytest.mark.parametrize("reports_load", [True, False])
    def test_callers_that_leave_cause_no_request_beyond_the_slots(self, reports_load):
        kernel, service = build_slots(slots=6)
        upstream = kernel._services["http_client"] = PersistentUpstream(0.03)
        if reports_load:
            service._dialect = PLATFORM_DIALECT
        results = asyncio.run(send_and_leave(service, random.Random(1)))
        assert upstream.max_busy == 6
        assert results.count(None) > 60
        assert kernel.get("metrics").counters["upstream.abandoned"] >= 10

    def test_slots_are_available_again_after_the_work(self):
        kernel, service = build_slots(slots=6)
        kernel._services["http_client"] = PersistentUpstream(0.03)

        async def run():
            await send_and_leave(service, random.Random(2), count=60)
            await asyncio.sleep(1.3)
            return service.upstreams["u"].admission.limit

        assert asyncio.run(run()) == 6

    def test_requests_of_an_earlier_daemon_keep_their_slots(self):
        # A restarted daemon does not know what the upstream still runs.
        kernel, service = build_slots(slots=6)

        async def run():
            service.inherit("u", 4)
            return service.upstreams["u"].admission.limit

        assert asyncio.run(run()) == 2
        abandoned = AbandonedRequests()
        abandoned.inherit(4, 0.0)
        abandoned.expire(INHERITED_HOLD_SECONDS)
        assert abandoned.count == 0

    def test_upstream_that_was_lost_for_a_moment_has_its_slots_in_use(self):
        # Its announcements stopped, for example while its process was paused.
        kernel, service = build_slots(slots=2)
        upstream = kernel._services["http_client"] = PersistentUpstream(0.1)
        state, address = service.upstreams["u"].state, service.upstreams["u"].address

        async def run():
            tasks = [
                asyncio.create_task(service.execute("u", build_call(), FakeResponse()))
                for _ in range(2)
            ]
            await asyncio.sleep(0)
            service.remove("u")
            service.announce(state, address)
            later = service.execute("u", build_call(), FakeResponse())
            results = await asyncio.gather(*tasks, later)
            service.remove("u")
            return results

        assert asyncio.run(run()) == [None] * 3
        assert upstream.max_busy == 2
        assert not service._lost

    def test_slot_is_kept_while_the_upstream_reports_more_than_it_was_sent(self):
        abandoned = AbandonedRequests()
        abandoned.add(0.0, 0.1, 0.0)
        now = 0.0
        while abandoned.count and now < 20.0:
            now += 0.1
            abandoned.record_load(4, 3, now)
            abandoned.expire(now)
        # An upstream may count requests that are not of this daemon.
        assert MAX_EXTENDED_SECONDS <= now < MAX_EXTENDED_SECONDS + 1.0

    @pytest.mark.parametrize(
        ("value", "count"),
        [(b"3,2,6", 5), (b"3,2,6,250", 5), (b"3", None), (b"", None)],
    )
    def test_busy_count_is_read_in_platform_terms(self, value, count):
        assert read_busy_count([(b"instance-load", value)]) == count


class TestSilentUpstreams:
    def test_connection_is_closed_and_the_request_may_have_run(self):
        install_reactor()
        connections = []
        closed = []

        async def accept(reader, writer):
            connections.append(writer)
            await reader.read()
            closed.append(writer)
            writer.close()

        async def run():
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = HttpClientService()
            refusals = []
            for _ in range(2):
                deadline = time.monotonic() + 0.2
                request = OutgoingRequest("GET", b"/", (), b"", deadline)
                refusal = await client.send(f"{host}:{port}", request, RecordingSink())
                refusals.append(refusal)
            await asyncio.sleep(0.05)
            server.close()
            return refusals

        refusals = asyncio.run(run())
        for refusal in refusals:
            assert refusal.kind is ErrorKind.UPSTREAM_TIMEOUT
            assert refusal.ran is ExecutionStatus.UNKNOWN
        assert len(connections) == len(closed) == 2
