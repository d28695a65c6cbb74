"""Tests of retries, the attempt header and overflow, with fake services."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from flamingohead.core.balancing import Balancer
from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.overflow import Overflow
from flamingohead.core.summaries import RelayPoint, RemoteSummary
from flamingohead.kernel import Kernel
from flamingohead.services.attempts import ATTEMPT_HEADER, AttemptService
from flamingohead.services.metrics import MetricsService

SERVICE = "stall-ledger"
CUT = Refusal(ErrorKind.HOST_CUT)
FULL = Refusal(ErrorKind.QUEUE_FULL)


class FakeSummaries:
    def __init__(self, summaries):
        self.summaries = summaries

    def list_remote(self, service):
        return self.summaries


class FakeResponse:
    started = False
    status = 0


class RecordingAttemptService(AttemptService):
    """Record attempts and return a scripted refusal for each host."""

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


def serve(service, call):
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(service.serve(call, FakeResponse()))
    finally:
        loop.close()


class TestMoves:
    def test_retry_on_another_host_carries_the_attempt_header(self):
        refusal = Refusal(ErrorKind.HOST_UNREACHABLE)
        service = RecordingAttemptService({"a": refusal}, hosts=["a", "b"])
        for _ in range(20):
            assert serve(service, build_call()) is None
        assert [host for host, _ in service.tried].count("a") <= 2
        headers = {header for host, header in service.tried if host == "b"}
        assert headers <= {None, b"2"}

    def test_full_upstream_is_not_retried_immediately(self):
        refusal = Refusal(ErrorKind.QUEUE_FULL)
        service = RecordingAttemptService({"a": refusal}, hosts=["a"])
        assert serve(service, build_call()) is refusal
        assert service.tried == [("a", None)]

    def test_request_with_the_attempt_header_is_not_retried(self):
        refusal = Refusal(ErrorKind.UPSTREAM_SHED)
        service = RecordingAttemptService(
            {"a": refusal, "b": refusal}, hosts=["a", "b"]
        )
        assert serve(service, build_call(((ATTEMPT_HEADER, b"2"),))) is refusal
        assert len(service.tried) == 1

    @pytest.mark.parametrize("hosts", [("a", "b"), ("b", "a")])
    def test_request_that_may_have_run_earlier_is_not_denied(self, hosts):
        refusals = dict(zip(hosts, (CUT, FULL), strict=True))
        service = RecordingAttemptService(refusals, hosts=["a", "b"])
        refusal = serve(service, build_call())
        assert {host for host, _ in service.tried} == {"a", "b"}
        assert refusal.ran is ExecutionStatus.UNKNOWN


class TestOverflow:
    def test_service_without_local_upstream_overflows(self):
        service = RecordingAttemptService(
            {}, hosts=[], remote=[build_remote_datagram()]
        )
        assert serve(service, build_call()) is None
        assert service.tried == [("osu-0", None)]

    def test_call_overflows_if_the_only_local_host_is_unreachable(self):
        refusals = {"a": Refusal(ErrorKind.HOST_UNREACHABLE)}
        service = RecordingAttemptService(
            refusals, hosts=["a"], remote=[build_remote_datagram()]
        )
        assert serve(service, build_call()) is None
        assert service.tried == [("a", None), ("osu-0", b"2")]

    def test_highly_loaded_domain_is_not_used(self):
        service = RecordingAttemptService(
            {}, hosts=[], remote=[build_remote_datagram(load=0.9)]
        )
        assert serve(service, build_call()).kind is ErrorKind.NO_UPSTREAM

    def test_local_upstream_is_preferred(self):
        service = RecordingAttemptService(
            {}, hosts=["a"], remote=[build_remote_datagram()]
        )
        for _ in range(20):
            assert serve(service, build_call()) is None
        assert {host for host, _ in service.tried} == {"a"}

    def test_overflow_starts_with_lasting_overload_and_ends_after_it(self):
        refusals = {"a": Refusal(ErrorKind.QUEUE_FULL)}
        service = RecordingAttemptService(
            refusals, hosts=["a"], remote=[build_remote_datagram()]
        )
        for _ in range(60):
            serve(service, build_call())
        assert "osu-0" in {host for host, _ in service.tried}
        refusals.clear()
        for _ in range(100):
            serve(service, build_call())
        service.tried.clear()
        for _ in range(20):
            serve(service, build_call())
        assert {host for host, _ in service.tried} == {"a"}
