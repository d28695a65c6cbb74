"""Property: a daemon is ready only with the newest version that it could be shown."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from flamingohead.core.readiness import (
    ANSWER_LIFETIME,
    SAMPLE_SIZE,
    SAMPLE_WAIT,
    Readiness,
)

EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("peer"), st.integers(1, 4), st.integers(0, 5)),
        st.tuples(st.just("take"), st.integers(0, 5), st.just(0)),
        st.tuples(st.just("table fails"), st.just(0), st.just(0)),
        st.tuples(st.just("wait"), st.integers(1, 3), st.just(0)),
    ),
    max_size=30,
)


class TestReadiness:
    @settings(max_examples=400)
    @given(events=EVENTS, members=st.integers(1, 6))
    def test_without_the_table_a_sample_decides(self, events, members):
        readiness = Readiness()
        shown: list[tuple[int, int, float]] = []
        held, now = 0, 0.0
        failed_at = None
        for kind, first, second in events:
            was_ready = readiness.is_ready
            if kind == "peer":
                readiness.receive_peer_version(str(first), second, now)
                if second:
                    shown.append((first, second, now + ANSWER_LIFETIME))
            elif kind == "take":
                held = max(held, first)
            elif kind == "table fails":
                readiness.record_table_failure(now)
                failed_at = now if failed_at is None else failed_at
            else:
                now += first
            readiness.update(held, now, members=members)
            if was_ready:
                assert readiness.is_ready
            elif readiness.is_ready:
                recent = [(p, v) for p, v, expires_at in shown if now < expires_at]
                assert failed_at is not None
                assert held >= max(version for _, version in recent)
                wanted = min(SAMPLE_SIZE, max(1, members - 1))
                peers = {peer for peer, _ in recent}
                assert len(peers) >= wanted or now >= failed_at + SAMPLE_WAIT

    def test_the_end_of_the_log_is_enough(self):
        readiness = Readiness()
        readiness.record_table_read()
        assert readiness.is_ready

    def test_cut_off_daemon_serves_what_its_peers_hold(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("x", 7, 0.0)
        readiness.update(6, SAMPLE_WAIT, members=9)
        assert not readiness.is_ready
        readiness.update(7, SAMPLE_WAIT, members=9)
        assert readiness.is_ready

    def test_peer_that_is_gone_holds_nobody_back(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("gone", 8, 0.0)
        readiness.receive_peer_version("x", 7, ANSWER_LIFETIME)
        readiness.update(7, ANSWER_LIFETIME, members=3)
        assert readiness.is_ready

    def test_nobody_holds_a_configuration(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("x", 0, 0.0)
        readiness.update(0, 100.0, members=3)
        assert not readiness.is_ready
