"""Tests of planned stops during a rolling restart of a service's hosts."""

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
        assert stop.advance(2.2, 3, exclusive_timeout=1.2) == []
        assert stop.advance(4.2, 3, exclusive_timeout=1.2) == []
        assert StopEffect.LEAVE_MESH in stop.advance(4.4, 3, exclusive_timeout=1.2)

    def test_last_host_leaves_once_its_requests_may_outlast_the_stop(self):
        # A stop of 5.5 s aborted requests of up to 3 s that were sent after 4 s.
        stop = build_stop()
        stop.begin()
        assert stop.advance(2.4, 3, exclusive_timeout=3.0) == []
        assert StopEffect.LEAVE_MESH in stop.advance(2.5, 3, exclusive_timeout=3.0)

    def test_last_host_leaves_in_time_to_close_its_connections(self):
        stop = build_stop()
        stop.begin()
        assert stop.advance(4.9, 3, exclusive_timeout=0.1) == []
        assert StopEffect.LEAVE_MESH in stop.advance(5.0, 3, exclusive_timeout=0.1)

    def test_last_host_settles_before_it_leaves(self):
        stop = build_stop()
        stop.begin()
        assert stop.advance(2.1, 3, exclusive_timeout=8.0) == []
        assert StopEffect.LEAVE_MESH in stop.advance(2.2, 3, exclusive_timeout=8.0)

    def test_return_of_another_host_ends_the_wait(self):
        stop = build_stop()
        stop.begin()
        assert stop.advance(2.5, 3, exclusive_timeout=1.2) == []
        assert StopEffect.LEAVE_MESH in stop.advance(2.6, 3)

    def test_requests_in_progress_are_cut_only_at_the_deadline(self):
        stop = build_stop()
        stop.begin()
        stop.advance(2.2, 3)
        assert stop.advance(5.4, 1) == [StopEffect.CLOSE_IDLE]
        assert stop.advance(5.5, 1) == [StopEffect.CUT]
        assert stop.has_ended


class TestSchedule:
    """Replay requests at a stop that lasts from 0 to 5.5 s and settles at 2.2 s."""

    SCHEDULE = build_stop().schedule

    def may_start(self, now, deadline, *, relayed=False):
        latest = self.SCHEDULE.compute_latest_start(deadline, relayed=relayed)
        return now <= latest

    def test_request_that_ends_before_the_stop_may_start(self):
        assert self.may_start(4.2, 5.4)
        assert self.may_start(4.2, 5.4, relayed=True)

    def test_request_that_may_outlast_the_stop_starts_only_while_it_settles(self):
        assert self.may_start(2.2, 8.2)
        assert not self.may_start(2.3, 5.6)

    def test_relayed_request_that_may_outlast_the_stop_never_starts(self):
        # Its first daemon may begin its own stop later, and is cut off with it.
        assert not self.may_start(0.1, 8.0, relayed=True)
