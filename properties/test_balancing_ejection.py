"""Ejection: a bounded part of a pool, few failed requests, and recovery."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from flamingohead.core.balancing import Balancer
from flamingohead.core.ejection import FAILURE_SCORES, OVERLOAD_KINDS
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus

SERVICE = "stall-ledger"
RANK = "lookup"
HOSTS = [f"host-{number}" for number in range(8)]
KINDS = sorted(FAILURE_SCORES | dict.fromkeys(OVERLOAD_KINDS), key=str)


def build_member(host_id, status=UpstreamStatus.READY):
    upstream = UpstreamState(f"{SERVICE}-{host_id}", SERVICE, status, 20)
    return Member(host_id, "makola", "peer", "relay", 1, upstreams=(upstream,))


def build_balancer(count, seed=1, now=0.0):
    balancer = Balancer(random=random.Random(seed))
    balancer.set_members([build_member(f"host-{n}") for n in range(count)], now)
    return balancer


class EjectionMachine(RuleBasedStateMachine):
    """Drive a balancer with attempts that end in any order and a changing pool."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.hosts = set()
        self.attempts = []

    @initialize(seed=st.integers(0, 1000), hosts=st.sets(st.sampled_from(HOSTS)))
    def start_pool(self, seed, hosts):
        self.balancer = Balancer(random=random.Random(seed))
        self.set_hosts(hosts)

    @rule(hosts=st.sets(st.sampled_from(HOSTS), min_size=1))
    def set_hosts(self, hosts):
        self.hosts = hosts
        members = [build_member(host) for host in sorted(hosts)]
        self.balancer.set_members(members, self.now)

    @rule(seconds=st.floats(0, 40))
    def wait(self, seconds):
        self.now += seconds

    @rule(idempotent=st.booleans())
    def send(self, idempotent):
        candidate = self.balancer.choose(SERVICE, self.now, idempotent=idempotent)
        assert (candidate is None) == (not self.hosts)
        if candidate is None:
            return
        assert candidate.host_id in self.hosts
        attempt = self.balancer.start(candidate, RANK, self.now)
        if attempt.is_trial:
            on_trial = [a for a in self.attempts if a.upstream is attempt.upstream]
            assert not any(a.is_trial for a in on_trial), "two trials at once"
        self.attempts.append(attempt)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), kind=st.sampled_from([None, *KINDS]))
    def finish(self, data, kind):
        index = data.draw(st.integers(0, len(self.attempts) - 1))
        attempt = self.attempts.pop(index)
        before = self.balancer.count_ejected(SERVICE)
        refusal = None if kind is None else Refusal(kind)
        self.balancer.finish(attempt, self.now, refusal)
        if kind is None or kind in OVERLOAD_KINDS:
            assert self.balancer.count_ejected(SERVICE) <= before

    @invariant()
    def at_most_half_is_ejected(self):
        if self.hosts:
            assert self.balancer.count_ejected(SERVICE) <= len(self.hosts) // 2


EjectionMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestEjectionMachine = EjectionMachine.TestCase


def run_calls(balancer, *, start, seconds, rate, dead=(), kind=None, times=None):
    """Send requests one by one; return the failures and the responses by host.

    ``times`` maps slow hosts to their response times.
    """
    failures, responses = Counter(), Counter()
    for number in range(int(seconds * rate)):
        now = start + number / rate
        candidate = balancer.choose(SERVICE, now)
        attempt = balancer.start(candidate, RANK, now)
        if candidate.host_id in dead:
            failures[candidate.host_id] += 1
            balancer.finish(attempt, now + 0.3, Refusal(kind))
        else:
            responses[candidate.host_id] += 1
            elapsed = (times or {}).get(candidate.host_id, 0.005)
            balancer.finish(attempt, now + elapsed, None)
    return failures, responses


class TestDeadUpstreams:
    @given(
        seed=st.integers(0, 1000),
        count=st.integers(2, 20),
        part=st.floats(0.05, 0.5),
        kind=st.sampled_from([ErrorKind.HOST_UNREACHABLE, ErrorKind.HOST_CUT]),
    )
    @settings(max_examples=25)
    def test_dead_host_fails_few_requests(self, seed, count, part, kind):
        balancer = build_balancer(count, seed)
        dead = {f"host-{n}" for n in range(max(1, int(count * part)))}
        failures, _ = run_calls(
            balancer, start=20.0, seconds=60, rate=50, dead=dead, kind=kind
        )
        # Two failures eject; trials follow after at least 0.5, 1, 2, 4, 8 and 15 s.
        assert max(failures.values(), default=0) <= 2 + 8

    @given(seed=st.integers(0, 1000), count=st.integers(2, 10))
    @settings(max_examples=15)
    def test_recovered_host_gets_its_share_again(self, seed, count):
        balancer = build_balancer(count, seed)
        dead = {"host-0"}
        kind = ErrorKind.HOST_UNREACHABLE
        run_calls(balancer, start=20, seconds=20, rate=50, dead=dead, kind=kind)
        run_calls(balancer, start=40, seconds=60, rate=50, dead=set(), kind=kind)
        _, responses = run_calls(
            balancer, start=100, seconds=40, rate=50, dead=set(), kind=kind
        )
        assert responses["host-0"] >= 0.5 * sum(responses.values()) / count

    def test_overload_never_ejects(self):
        balancer = build_balancer(4)
        for kind in OVERLOAD_KINDS:
            for step in range(50):
                candidate = balancer.choose(SERVICE, float(step))
                attempt = balancer.start(candidate, RANK, float(step))
                balancer.finish(attempt, step + 0.1, Refusal(kind))
        assert balancer.count_ejected(SERVICE) == 0

    def test_short_timeouts_of_callers_never_eject(self):
        balancer = build_balancer(4)
        for step in range(200):
            candidate = balancer.choose(SERVICE, float(step))
            attempt = balancer.start(candidate, RANK, float(step))
            refusal = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
            balancer.finish(attempt, step + 0.01, refusal)
        assert balancer.count_ejected(SERVICE) == 0

    def test_non_idempotent_request_makes_no_early_trial(self):
        balancer = build_balancer(2)
        while not balancer.count_ejected(SERVICE):
            candidate = balancer.choose(SERVICE, 20.0)
            attempt = balancer.start(candidate, RANK, 20.0)
            balancer.finish(attempt, 20.0, Refusal(ErrorKind.HOST_UNREACHABLE))
        ejected = candidate.key
        for _ in range(50):
            chosen = balancer.choose(SERVICE, 22.0, idempotent=False)
            assert chosen.key != ejected
        assert balancer.choose(SERVICE, 22.0, idempotent=True).key == ejected


class TestSlowUpstreams:
    @given(seed=st.integers(0, 1000), count=st.integers(2, 10))
    @settings(max_examples=15)
    def test_host_that_was_slow_gets_its_share_again(self, seed, count):
        balancer = build_balancer(count, seed)
        run_calls(balancer, start=20, seconds=20, rate=10, times={"host-0": 0.05})
        run_calls(balancer, start=40, seconds=60, rate=10)
        _, responses = run_calls(balancer, start=100, seconds=40, rate=10)
        assert responses["host-0"] >= 0.5 * sum(responses.values()) / count

    @given(seed=st.integers(0, 1000), count=st.integers(2, 10))
    @settings(max_examples=15)
    def test_slow_host_gets_less_than_its_share(self, seed, count):
        balancer = build_balancer(count, seed)
        times = {"host-0": 0.05}
        _, responses = run_calls(balancer, start=20, seconds=60, rate=10, times=times)
        assert responses["host-0"] <= 0.5 * sum(responses.values()) / count


class TestMembers:
    @given(
        views=st.lists(
            st.dictionaries(
                st.sampled_from(HOSTS), st.sampled_from(list(UpstreamStatus))
            ),
            max_size=8,
        ),
        seed=st.integers(0, 100),
    )
    @settings(max_examples=60)
    def test_successive_views_have_the_effect_of_the_last_one(self, views, seed):
        balancer = Balancer(random=random.Random(seed))
        for view in [*views, views[-1] if views else {}]:
            members = [build_member(host, status) for host, status in view.items()]
            balancer.set_members(members, 0.0)
            ready = {h for h, s in view.items() if s is UpstreamStatus.READY}
            excluded, found = frozenset(), set()
            while (chosen := balancer.choose(SERVICE, 50.0, excluded=excluded)) is not (
                None
            ):
                found.add(chosen.host_id)
                excluded |= {chosen.key}
            assert found == ready
            assert balancer.list_services() == ([SERVICE] if ready else [])


class TestSlowStart:
    @given(seed=st.integers(0, 1000), count=st.integers(2, 10))
    @settings(max_examples=20)
    def test_share_of_a_new_upstream_grows(self, seed, count):
        balancer = build_balancer(count, seed)
        members = [build_member(f"host-{n}") for n in range(count)]
        balancer.set_members([*members, build_member("cold")], 100.0)
        shares = []
        for start in (100.0, 112.0):
            _, responses = run_calls(
                balancer, start=start, seconds=2, rate=500, dead=set(), kind=None
            )
            shares.append(responses["cold"] / sum(responses.values()))
        fair_share = 1 / (count + 1)
        assert shares[0] <= 0.5 * fair_share
        assert shares[1] >= 0.5 * fair_share


class TestServerErrors:
    @given(seed=st.integers(0, 1000), count=st.integers(2, 10))
    @settings(max_examples=15)
    def test_upstream_that_returns_only_errors_fails_few_requests(self, seed, count):
        balancer = build_balancer(count, seed)
        errors = 0
        for number in range(3000):
            now = 20.0 + number / 50
            candidate = balancer.choose(SERVICE, now)
            attempt = balancer.start(candidate, RANK, now)
            failing = candidate.host_id == "host-0"
            errors += failing
            status = 500 if failing else 200
            balancer.finish(attempt, now + 0.005, None, status=status)
        # Five errors eject; trials follow after at least 0.5, 1, 2, 4, 8 and 15 s.
        assert errors <= 5 + 8

    def test_errors_between_successes_never_eject(self):
        balancer = build_balancer(4)
        for number in range(400):
            now = 20.0 + number / 50
            candidate = balancer.choose(SERVICE, now)
            attempt = balancer.start(candidate, RANK, now)
            status = 500 if number % 2 else 200
            balancer.finish(attempt, now + 0.005, None, status=status)
            attempt = balancer.start(candidate, RANK, now)
            balancer.finish(attempt, now + 0.005, None, status=200)
        assert balancer.count_ejected(SERVICE) == 0

    def test_client_errors_never_eject(self):
        balancer = build_balancer(4)
        for number in range(400):
            now = 20.0 + number / 50
            attempt = balancer.start(balancer.choose(SERVICE, now), RANK, now)
            balancer.finish(attempt, now + 0.005, None, status=404)
        assert balancer.count_ejected(SERVICE) == 0
