"""Tests of the pace at which the configuration source is queried."""

from __future__ import annotations

import random

import pytest

from flamingohead.core.following import (
    INITIAL_BACKOFF_SECONDS,
    INITIAL_INTERVAL_SECONDS,
    MAX_INTERVAL_SECONDS,
    MAX_SETTLE_SECONDS,
    MIN_SETTLE_SECONDS,
    QUIET_PERIOD_SECONDS,
    RequestPacer,
    RetryBackoff,
    derive_timeouts,
)

# Interval between the changes of a burst and duration of the burst, in seconds.
BURST_GAP = 0.19
BURST_SECONDS = 5.0
# Seconds that a response with the full document takes.
RESPONSE_SECONDS = 0.05


class TestBursts:
    """Replay a change every 0.19 s for five seconds."""

    def replay(self, times):
        """Return when each change was received, and the number of responses."""
        pace, now, responses = RequestPacer(), 0.0, 0
        received, pending = {}, list(times)
        while pending:
            requested_at = now
            now = max(now, pending[0]) + RESPONSE_SECONDS
            arrived = [change for change in pending if change <= now]
            pending = pending[len(arrived) :]
            received.update((change, now) for change in arrived)
            responses += 1
            now = pace.record_response(requested_at=requested_at, now=now, changed=True)
        return received, responses

    def test_few_responses_carry_the_changes_of_a_burst(self):
        times = [1 + BURST_GAP * n for n in range(int(BURST_SECONDS / BURST_GAP))]
        received, responses = self.replay(times)
        assert responses < len(times) / 2
        assert max(receipt - change for change, receipt in received.items()) < 1.0

    def test_isolated_change_is_received_at_once(self):
        received, _ = self.replay([1.0, 10.0, 20.0])
        waits = [receipt - change for change, receipt in received.items()]
        assert max(waits) < 2 * RESPONSE_SECONDS


class TestPace:
    def test_response_without_a_change_causes_no_delay(self):
        pace = RequestPacer()
        assert pace.record_response(requested_at=0.0, now=25.0, changed=False) == 25.0

    def test_gap_grows_to_its_limit_and_is_reset_after_the_burst(self):
        pace, gaps = RequestPacer(), []
        for _ in range(6):
            next_at = pace.record_response(requested_at=0.0, now=0.1, changed=True)
            gaps.append(round(next_at - 0.1, 6))
        assert gaps[0] == INITIAL_INTERVAL_SECONDS and gaps[-1] == MAX_INTERVAL_SECONDS
        assert gaps == sorted(gaps)
        assert (
            pace.record_response(requested_at=0.0, now=5.0, changed=True)
            == 5.0 + INITIAL_INTERVAL_SECONDS
        )

    def test_burst_ends_while_polls_return_without_a_change(self):
        pace, now, poll = RequestPacer(), 0.0, QUIET_PERIOD_SECONDS / 3
        for _ in range(4):
            now = pace.record_response(requested_at=now, now=now + 0.1, changed=True)
        for _ in range(4):
            now = pace.record_response(requested_at=now, now=now + poll, changed=False)
        next_at = pace.record_response(requested_at=now, now=now + 0.1, changed=True)
        assert next_at == pytest.approx(now + 0.1 + INITIAL_INTERVAL_SECONDS)


class TestTimeouts:
    """Replay an outage in which the source loses every response."""

    @pytest.mark.parametrize("settle_seconds", [MIN_SETTLE_SECONDS, 3.0, 6.0])
    @pytest.mark.parametrize("outage_seconds", [0.2, 4.0, 25.0])
    def test_lost_request_is_repeated_within_the_time_to_settle(
        self, settle_seconds, outage_seconds
    ):
        timeouts = derive_timeouts(settle_seconds)
        backoff = RetryBackoff(
            random=random.Random(1), max_seconds=timeouts.max_backoff_seconds
        )
        # A poll is sent at the beginning of the outage.
        requested_at = 0.0
        while requested_at < outage_seconds:
            failed_at = requested_at + timeouts.response_seconds
            requested_at = backoff.record_failure(
                requested_at=requested_at, now=failed_at
            )
        limit = settle_seconds * 2 / 3 + INITIAL_BACKOFF_SECONDS
        assert requested_at - outage_seconds <= limit

    def test_source_that_refuses_requests_is_not_flooded(self):
        timeouts = derive_timeouts(3.0)
        backoff = RetryBackoff(
            random=random.Random(1), max_seconds=timeouts.max_backoff_seconds
        )
        now, requests = 0.0, 0
        while now < 60.0:
            now = backoff.record_failure(requested_at=now, now=now + 0.005)
            requests += 1
        assert requests < 60.0 / (timeouts.max_backoff_seconds / 2)

    def test_response_of_a_slow_source_is_awaited(self):
        # The source of a deployment answers in 4 ms, and 50 times as slowly in trouble.
        assert derive_timeouts(3.0).response_seconds > 5 * 50 * 0.004

    @pytest.mark.parametrize("settle_seconds", [0.0, 1e6])
    def test_polls_have_limits(self, settle_seconds):
        timeouts = derive_timeouts(settle_seconds)
        assert MIN_SETTLE_SECONDS / 2 <= timeouts.poll_seconds <= MAX_SETTLE_SECONDS / 2
