"""Property: bad versions and herds cause no storm of reads, pulls or reports."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, strategies as st

from flamingohead.core.changes import Change
from flamingohead.core.dissemination import Dissemination, PullFromPeer, ReportRejection
from flamingohead.core.pulls import PullAdmission
from flamingohead.core.versions import Replica, build_record
from flamingohead.testing.fakes import create_service_resources

SECONDS = 60.0
DATAGRAM_PERIOD = 0.1
MOST_PULLS = 10


def create_record(base):
    change = Change(tuple(create_service_resources("a")))
    return build_record(base, change, change_id="c", author="t", accepted_at=0.0)


class TestVersionThatCanNotBeTaken:
    @given(seed=st.integers(0, 99))
    def test_it_is_pulled_ever_less_often_and_reported_once(self, seed):
        state = Dissemination(Replica(), random=Random(seed))
        torn = replace(create_record(state.replica.snapshot), change=Change())
        pulls = reports = 0
        now = 0.0
        while now < SECONDS:
            for effect in state.receive_peer_version("x", 1, now):
                if isinstance(effect, PullFromPeer):
                    pulls += 1
                    state.record_pull_end(now)
                    effects = state.receive_records([torn], now)
                    reports += sum(isinstance(e, ReportRejection) for e in effects)
            now += DATAGRAM_PERIOD
        assert 2 <= pulls <= MOST_PULLS
        assert reports == 1
        assert [r.version for r in state.rejections.list_all()] == [1]

    @given(times=st.integers(1, 12))
    def test_news_of_a_later_version_is_pulled_at_once(self, times):
        state = Dissemination(Replica(), random=Random(0))
        torn = replace(create_record(state.replica.snapshot), change=Change())
        for _ in range(times):
            state.receive_records([torn], 0.0)
        assert not state.receive_peer_version("x", 1, 0.5)
        assert PullFromPeer("x", 0) in state.receive_peer_version("x", 2, 0.5)

    def test_taking_it_later_clears_the_report(self):
        state = Dissemination(Replica(), random=Random(0))
        record = create_record(state.replica.snapshot)
        state.receive_records([replace(record, change=Change())], 0.0)
        assert state.rejections.list_all()
        state.receive_records([record], 1.0)
        assert state.replica.version == 1
        assert not state.rejections.list_all()


class TestPullAdmission:
    @given(waits=st.lists(st.floats(0, 0.5), max_size=100), seed=st.integers(0, 9))
    def test_whole_snapshots_stay_within_rate_and_burst(self, waits, seed):
        admission = PullAdmission(random=Random(seed), rate=4.0, burst=4.0)
        now, admitted = 0.0, 0
        for wait in waits:
            now += wait
            retry = admission.admit(now)
            if retry is None:
                admitted += 1
            else:
                assert 0.2 <= retry <= 3.0
            assert admitted <= 4.0 + 4.0 * now + 1e-6


class TestFirstPoll:
    @given(seed=st.integers(0, 999))
    def test_a_fresh_herd_spreads_its_first_reads(self, seed):
        random = Random(seed)
        herd = [Dissemination(Replica(), random=random) for _ in range(600)]
        reads = [0] * 4
        for state in herd:
            state.tick(0.0, members=1)
            first = next(
                step / 20
                for step in range(80)
                if _reads_table(state.tick(step / 20, members=1))
            )
            reads[int(first)] += 1
        assert sum(reads) == 600
        assert max(reads) <= 400


def _reads_table(effects) -> bool:
    return any(type(effect).__name__ == "ReadTable" for effect in effects)
