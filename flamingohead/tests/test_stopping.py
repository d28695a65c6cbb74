"""Planned stops that step back, replayed on a roll through the hosts of a service."""

from __future__ import annotations

from flamingohead.core.stopping import GracefulStop, StopEffect


def build_stop():
    return GracefulStop(0.0, timeout=5.5, settle_seconds=2.2, steps_back=True)


class TestSteppingBack:
    def test_mesh_is_left_only_when_the_listeners_close(self):
        stop = build_stop()
        assert stop.begin() == [StopEffect.STEP_BACK, StopEffect.CLOSE_AFTER_ANSWERS]
        assert stop.advance(2.1, 3) == []
        assert stop.advance(2.2, 3) == [
            StopEffect.LEAVE_MESH,
            StopEffect.CLOSE_LISTENERS,
            StopEffect.CLOSE_IDLE,
        ]

    def test_last_host_of_a_service_stays_while_there_is_time(self):
        stop = build_stop()
        stop.begin()
        assert stop.advance(2.2, 3, is_only_provider=True) == []
        assert stop.advance(4.2, 3, is_only_provider=True) == []
        assert StopEffect.LEAVE_MESH in stop.advance(4.4, 3, is_only_provider=True)

    def test_another_host_that_came_back_ends_the_wait(self):
        stop = build_stop()
        stop.begin()
        assert stop.advance(2.5, 3, is_only_provider=True) == []
        assert StopEffect.LEAVE_MESH in stop.advance(2.6, 3)

    def test_what_is_in_progress_is_cut_at_the_deadline_only(self):
        stop = build_stop()
        stop.begin()
        stop.advance(2.2, 3)
        assert stop.advance(5.4, 1) == [StopEffect.CLOSE_IDLE]
        assert stop.advance(5.5, 1) == [StopEffect.CUT]
        assert stop.has_ended
