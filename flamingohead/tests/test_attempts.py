"""Attempts: moves, marks and overflow, with fakes in place of other services."""

from __future__ import annotations

import asyncio
import random
import time

from flamingohead.core.balancing import Balancer
from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.overflow import Overflow
from flamingohead.core.summaries import RelayPoint, RemoteSummary
from flamingohead.kernel import Kernel
from flamingohead.services.attempts import ATTEMPT_HEADER, AttemptService
from flamingohead.services.metrics import MetricsService

SERVICE = "stall-ledger"


class FakeSummaries:
    def __init__(self, summaries):
        self.summaries = summaries

    def list_remote(self, service):
        return self.summaries


class FakeResponse:
    started = False
    status = 0


class RecordedAttempts(AttemptService):
    """Note attempts and give the refusals of a script, by host."""

    def __init__(self, refusals, *, hosts, remote=()):
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        kernel.add("summaries", FakeSummaries(remote))
        generator = random.Random(1)
        balancer = Balancer(random=generator)
        super().__init__(kernel, balancer, Overflow(random=generator))
        self.refusals = refusals
        self.tried = []
        self.set_members([build_member(host) for host in hosts])

    async def _relay(self, candidate, call, response):
        self.tried.append((candidate.host_id, dict(call.headers).get(ATTEMPT_HEADER)))
        return self.refusals.get(candidate.host_id)


def build_member(host_id):
    upstream = UpstreamState(f"ledger-{host_id}", SERVICE, UpstreamStatus.READY, 20)
    return Member(host_id, "makola", "peer", "relay", 1, upstreams=(upstream,))


def build_remote_datagram(load=0.2, seconds=60.0):
    relay = RelayPoint("osu-0", "relay", "ledger-osu-0")
    expires_at = time.monotonic() + seconds
    return RemoteSummary("osu", SERVICE, 20, load, (relay,), expires_at)


def build_call(headers=()):
    deadline = time.monotonic() + 10
    return Call(SERVICE, "lookup", "GET", b"/", headers, b"", deadline, True)


def serve(attempts, call):
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(attempts.serve(call, FakeResponse()))
    finally:
        loop.close()


class TestMoves:
    def test_unreachable_host_is_left_for_another_with_a_mark(self):
        refusal = Refusal(ErrorKind.HOST_UNREACHABLE)
        attempts = RecordedAttempts({"a": refusal}, hosts=["a", "b"])
        for _ in range(20):
            assert serve(attempts, build_call()) is None
        assert [host for host, _ in attempts.tried].count("a") <= 2
        marks = {mark for host, mark in attempts.tried if host == "b"}
        assert marks <= {None, b"2"}

    def test_full_upstream_is_not_tried_again_at_once(self):
        refusal = Refusal(ErrorKind.QUEUE_FULL)
        attempts = RecordedAttempts({"a": refusal}, hosts=["a"])
        assert serve(attempts, build_call()) is refusal
        assert attempts.tried == [("a", None)]

    def test_marked_request_is_not_repeated(self):
        refusal = Refusal(ErrorKind.UPSTREAM_SHED)
        attempts = RecordedAttempts({"a": refusal, "b": refusal}, hosts=["a", "b"])
        assert serve(attempts, build_call(((ATTEMPT_HEADER, b"2"),))) is refusal
        assert len(attempts.tried) == 1


class TestOverflow:
    def test_service_without_local_upstream_is_served_elsewhere(self):
        attempts = RecordedAttempts({}, hosts=[], remote=[build_remote_datagram()])
        assert serve(attempts, build_call()) is None
        assert attempts.tried == [("osu-0", None)]

    def test_call_leaves_a_domain_whose_only_host_is_unreachable(self):
        refusals = {"a": Refusal(ErrorKind.HOST_UNREACHABLE)}
        attempts = RecordedAttempts(
            refusals, hosts=["a"], remote=[build_remote_datagram()]
        )
        assert serve(attempts, build_call()) is None
        assert attempts.tried == [("a", None), ("osu-0", b"2")]

    def test_full_domain_is_not_used(self):
        attempts = RecordedAttempts(
            {}, hosts=[], remote=[build_remote_datagram(load=0.9)]
        )
        assert serve(attempts, build_call()).kind is ErrorKind.NO_UPSTREAM

    def test_local_upstream_goes_first(self):
        attempts = RecordedAttempts({}, hosts=["a"], remote=[build_remote_datagram()])
        for _ in range(20):
            assert serve(attempts, build_call()) is None
        assert {host for host, _ in attempts.tried} == {"a"}

    def test_lasting_overload_overflows_and_ends(self):
        refusals = {"a": Refusal(ErrorKind.QUEUE_FULL)}
        attempts = RecordedAttempts(
            refusals, hosts=["a"], remote=[build_remote_datagram()]
        )
        for _ in range(60):
            serve(attempts, build_call())
        assert "osu-0" in {host for host, _ in attempts.tried}
        refusals.clear()
        for _ in range(100):
            serve(attempts, build_call())
        attempts.tried.clear()
        for _ in range(20):
            serve(attempts, build_call())
        assert {host for host, _ in attempts.tried} == {"a"}
