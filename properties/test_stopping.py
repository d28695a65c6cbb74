"""A planned stop tells first, settles, waits, and cuts only at its deadline."""

from __future__ import annotations

from hypothesis import given, strategies as st

from flamingohead.core.stopping import SETTLE_SECONDS, GracefulStop, StopEffect

STEPS = st.lists(
    st.tuples(st.floats(0.01, 2.0), st.integers(0, 3)), min_size=1, max_size=60
)


class TestPlannedStop:
    @given(timeout=st.floats(0.1, 20.0), steps=STEPS)
    def test_order_and_deadline_hold_whatever_the_connections_do(self, timeout, steps):
        now = 100.0
        stop = GracefulStop(now, timeout=timeout)
        assert stop.begin() == [StopEffect.LEAVE_MESH, StopEffect.CLOSE_AFTER_ANSWERS]
        settled_at = now + min(SETTLE_SECONDS, timeout / 2)
        deadline = now + timeout
        closed = False
        for seconds, connections in steps:
            now += seconds
            was_closed, ended = closed, stop.has_ended
            effects = stop.advance(now, connections)
            closed = closed or StopEffect.CLOSE_LISTENERS in effects
            assert closed == (now >= settled_at), "listeners closed too soon or late"
            if StopEffect.CUT in effects:
                assert was_closed and connections and now >= deadline
            if was_closed and not ended:
                assert stop.has_ended == (connections == 0 or now >= deadline)
            if ended:
                assert effects == []
