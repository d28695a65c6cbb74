"""Overflow: only to a failure domain with fresh room, and with hysteresis."""

from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from flamingohead.core.ejection import OVERLOAD_KINDS
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.overflow import (
    MAX_REMOTE_LOAD,
    OVERFLOW_START_RATE,
    OVERFLOW_STOP_RATE,
    Overflow,
)
from flamingohead.core.summaries import RelayPoint, RemoteSummary

SERVICE = "stall-ledger"
SHED = Refusal(ErrorKind.QUEUE_FULL)
SUMMARIES = st.lists(
    st.builds(
        lambda domain, service, slots, load, expires_at, hosts: RemoteSummary(
            domain,
            service,
            slots,
            load,
            tuple(
                RelayPoint(f"{domain}-{h}", "relay", f"{service}-{h}") for h in hosts
            ),
            expires_at,
        ),
        st.sampled_from(["osu", "tema", "rc-a"]),
        st.sampled_from([SERVICE, "pattern-archive"]),
        st.integers(0, 60),
        st.floats(0, 1),
        st.floats(0, 200),
        st.sets(st.integers(0, 2)),
    ),
    max_size=5,
    unique_by=lambda summary: (summary.failure_domain, summary.service),
)


class TestRoom:
    @given(summaries=SUMMARIES, now=st.floats(0, 200), seed=st.integers(0, 100))
    @settings(max_examples=200)
    def test_chosen_domain_has_fresh_room(self, summaries, now, seed):
        overflow = Overflow(random=random.Random(seed))
        chosen = overflow.choose(SERVICE, summaries, now)
        fit = {
            relay.host_id
            for summary in summaries
            if summary.service == SERVICE and summary.expires_at > now
            if summary.slots and summary.load <= MAX_REMOTE_LOAD
            for relay in summary.relays
        }
        assert (chosen is None) == (not fit)
        assert chosen is None or chosen.host_id in fit

    @given(
        kind=st.sampled_from([*sorted(OVERLOAD_KINDS, key=str), ErrorKind.HOST_CUT]),
        seed=st.integers(0, 100),
    )
    def test_failed_host_or_full_domain_is_left_alone(self, kind, seed):
        overflow = Overflow(random=random.Random(seed))
        relay = RelayPoint("osu-0", "relay", "ledger-0")
        summary = RemoteSummary("osu", SERVICE, 20, 0.2, (relay,), 1000.0)
        chosen = overflow.choose(SERVICE, [summary], 100.0)
        overflow.record_remote_outcome(chosen, Refusal(kind), 100.0)
        assert overflow.choose(SERVICE, [summary], 100.4) is None
        assert overflow.choose(SERVICE, [summary], 108.0) is not None


class TestHysteresis:
    @given(
        runs=st.lists(st.tuples(st.booleans(), st.integers(1, 80)), max_size=12),
    )
    @settings(max_examples=50)
    def test_overflow_starts_and_ends_apart(self, runs):
        outcomes = [refused for refused, count in runs for _ in range(count)]
        overflow = Overflow(random=random.Random(1))
        level, active = 0.0, False
        for refused in outcomes:
            overflow.record_local_outcome(SERVICE, SHED if refused else None)
            level += 0.05 * (refused - level)
            if overflow.is_active(SERVICE) != active:
                active = not active
                limit = OVERFLOW_START_RATE if active else OVERFLOW_STOP_RATE
                assert level >= limit if active else level <= limit

    def test_single_refusal_starts_nothing(self):
        overflow = Overflow(random=random.Random(1))
        overflow.record_local_outcome(SERVICE, SHED)
        assert not overflow.is_active(SERVICE)

    def test_faults_are_not_load(self):
        overflow = Overflow(random=random.Random(1))
        for _ in range(100):
            overflow.record_local_outcome(SERVICE, Refusal(ErrorKind.HOST_UNREACHABLE))
        assert not overflow.is_active(SERVICE)
