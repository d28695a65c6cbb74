"""When to ask the source of the configuration for the next version.

The load it answers: a storm of changes on a configuration of many routes. Each answer
brings the whole document to every daemon, so that one question for each version fills
the links of small hosts and the source's rate of calls. A change by itself is still
taken at once: only those that follow it closely wait, and the newest is taken then.
"""

from __future__ import annotations

# Seconds between the first change and the next question.
FIRST_GAP = 0.15
# Longest time that a change waits: with the answer and the decoding on a slow host it
# stays under half of the shortest bound for a change to be in force (2 s).
LONGEST_GAP = 0.6
# A question that was open for so long without a change ends a storm.
QUIET_SECONDS = 1.5


class FollowPace:
    """Decide when to ask again; times are monotonic seconds."""

    def __init__(self) -> None:
        self._gap = 0.0

    def note_answer(self, *, asked_at: float, now: float, changed: bool) -> float:
        """Take an answer; return when to ask again."""
        if now - asked_at >= QUIET_SECONDS:
            self._gap = 0.0
        if not changed:
            return now
        self._gap = min(2 * self._gap, LONGEST_GAP) if self._gap else FIRST_GAP
        return now + self._gap
