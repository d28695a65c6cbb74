"""Test that a refusal written again is not taken for the response to a retry."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from flamingohead.core.balancing import Balancer
from flamingohead.core.calls import Call
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.overflow import Overflow
from flamingohead.kernel import Kernel
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.services.attempts import AttemptService
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.metrics import MetricsService
from flamingohead.services.slots import SlotService
from flamingohead.tests.test_attempts import SERVICE, FakeSummaries
from flamingohead.tests.test_second_answers import RepeatingUpstream
from flamingohead.tests.test_slots import FakeGossip, FakeResponse

HOST_ID = "a"
DEADLINE_SECONDS = 5.0
STATEMENTS = {
    "product": (PRODUCT_DIALECT, b"503 No\r\nrequest-executed: no"),
    "platform": (PLATFORM_DIALECT, b"503 No\r\nnot-executed: 1"),
    "platform, status 200": (PLATFORM_DIALECT, b"200 No\r\nnot-executed: 1"),
}


class _Response(FakeResponse):
    status = 0

    def write(self, data):
        pass


def build_refusal(statement, request_id):
    line = b"\r\nrequest-id: %b" % request_id if request_id else b""
    return b"HTTP/1.1 %b%b\r\ncontent-length: 0\r\n\r\n" % (statement, line)


def build_call(request_id):
    headers = ((b"request-id", request_id),) if request_id else ()
    deadline = time.monotonic() + DEADLINE_SECONDS
    return Call(SERVICE, "update", "POST", b"/", headers, b"", deadline, False)


async def serve(upstream, dialect, request_ids):
    """Return the outcomes of calls to one upstream on the host of their daemon."""
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    state = UpstreamState("ledger", SERVICE, UpstreamStatus.READY, 1)
    member = Member(HOST_ID, "makola", "peer", "relay", 1, upstreams=(state,))
    gossip = FakeGossip()
    gossip.membership = SimpleNamespace(local_member=member)
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    kernel.add("gossip", gossip)
    kernel.add("summaries", FakeSummaries(()))
    kernel.add("http_client", HttpClientService())
    kernel.add("slots", SlotService(kernel, dialect))
    kernel.get("slots").announce(state, address)
    generator = random.Random(1)
    balancer, overflow = Balancer(random=generator), Overflow(random=generator)
    attempts = AttemptService(kernel, balancer, overflow)
    await attempts.start()
    attempts.set_members([member])
    outcomes = []
    for request_id in request_ids:
        call = build_call(request_id)
        outcomes.append(await attempts.serve(call, _Response()))
    await kernel.get("http_client").stop()
    server.close()
    return outcomes


class TestRetries:
    """Guard against calls told "not run" by a repeated refusal, though they ran."""

    @pytest.mark.parametrize("name", STATEMENTS)
    @pytest.mark.parametrize("request_id", [b"a", b""], ids=["with id", "without id"])
    def test_retry_on_the_same_upstream(self, name, request_id):
        dialect, statement = STATEMENTS[name]
        upstream = RepeatingUpstream(build_refusal(statement, request_id))
        outcomes = asyncio.run(serve(upstream, dialect, [request_id]))
        assert outcomes == [None]
        assert upstream.runs == [request_id]
