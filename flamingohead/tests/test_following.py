"""The pace at which the source of the configuration is asked."""

from __future__ import annotations

from flamingohead.core.following import INITIAL_INTERVAL, MAX_INTERVAL, RequestPacer

# Seconds between the changes of a storm, and for how long it lasts.
STORM_GAP = 0.19
STORM_SECONDS = 5.0
# Seconds of an answer with the whole document.
ANSWER_SECONDS = 0.05


class TestStorms:
    """Replay changes each 0.19 s for five seconds."""

    def replay(self, times):
        """Return when each change was taken, and how many answers brought one."""
        pace, now, answers = RequestPacer(), 0.0, 0
        taken, waiting = {}, list(times)
        while waiting:
            requested_at = now
            now = max(now, waiting[0]) + ANSWER_SECONDS
            arrived = [at for at in waiting if at <= now]
            waiting = waiting[len(arrived) :]
            taken.update((at, now) for at in arrived)
            answers += 1
            now = pace.record_response(requested_at=requested_at, now=now, changed=True)
        return taken, answers

    def test_few_answers_bring_the_changes_of_a_storm(self):
        times = [1 + STORM_GAP * n for n in range(int(STORM_SECONDS / STORM_GAP))]
        taken, answers = self.replay(times)
        assert answers < len(times) / 2
        assert max(done - at for at, done in taken.items()) < 1.0

    def test_change_by_itself_is_taken_at_once(self):
        taken, _ = self.replay([1.0, 10.0, 20.0])
        waits = [done - at for at, done in taken.items()]
        assert max(waits) < 2 * ANSWER_SECONDS


class TestPace:
    def test_answer_without_a_change_is_followed_at_once(self):
        pace = RequestPacer()
        assert pace.record_response(requested_at=0.0, now=25.0, changed=False) == 25.0

    def test_gap_grows_to_its_bound_and_ends_with_the_storm(self):
        pace, gaps = RequestPacer(), []
        for _ in range(6):
            next_at = pace.record_response(requested_at=0.0, now=0.1, changed=True)
            gaps.append(round(next_at - 0.1, 6))
        assert gaps[0] == INITIAL_INTERVAL and gaps[-1] == MAX_INTERVAL
        assert gaps == sorted(gaps)
        assert (
            pace.record_response(requested_at=0.0, now=5.0, changed=True)
            == 5.0 + INITIAL_INTERVAL
        )
