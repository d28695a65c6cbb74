"""Property: a daemon is ready only with the newest version that it could observe."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from flamingohead.core.readiness import (
    PEER_VERSION_LIFETIME,
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
    def test_without_the_table_a_sample_of_peers_decides(self, events, members):
        readiness = Readiness()
        observed: list[tuple[int, int, float]] = []
        local_version, now = 0, 0.0
        failed_at = None
        for kind, first, second in events:
            was_ready = readiness.is_ready
            if kind == "peer":
                readiness.receive_peer_version(str(first), second, now)
                if second:
                    observed.append((first, second, now + PEER_VERSION_LIFETIME))
            elif kind == "take":
                local_version = max(local_version, first)
            elif kind == "table fails":
                readiness.record_table_failure(now)
                failed_at = now if failed_at is None else failed_at
            else:
                now += first
            readiness.update(local_version, now, members=members)
            if was_ready:
                assert readiness.is_ready
            elif readiness.is_ready:
                recent = [(p, v) for p, v, expires_at in observed if now < expires_at]
                assert failed_at is not None
                assert local_version >= max(version for _, version in recent)
                sample_size = min(SAMPLE_SIZE, max(1, members - 1))
                peers = {peer for peer, _ in recent}
                assert len(peers) >= sample_size or now >= failed_at + SAMPLE_WAIT

    def test_daemon_that_read_the_whole_log_is_ready(self):
        readiness = Readiness()
        readiness.record_table_read()
        assert readiness.is_ready

    def test_isolated_daemon_serves_the_version_of_its_peers(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("x", 7, 0.0)
        readiness.update(6, SAMPLE_WAIT, members=9)
        assert not readiness.is_ready
        readiness.update(7, SAMPLE_WAIT, members=9)
        assert readiness.is_ready

    def test_expired_answer_of_a_peer_does_not_delay_readiness(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("gone", 8, 0.0)
        readiness.receive_peer_version("x", 7, PEER_VERSION_LIFETIME)
        readiness.update(7, PEER_VERSION_LIFETIME, members=3)
        assert readiness.is_ready

    def test_not_ready_while_no_peer_has_a_configuration(self):
        readiness = Readiness()
        readiness.record_table_failure(0.0)
        readiness.receive_peer_version("x", 0, 0.0)
        readiness.update(0, 100.0, members=3)
        assert not readiness.is_ready
