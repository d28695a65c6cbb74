"""Times at which refused callers are asked to come back.

It is designed for overload by one organisation among many. Callers that are refused in
the same moment and told the same time come back together, and most of them are refused
again. The times of return are therefore spread over the time in which slots become
free, one round of all refused callers after the other.
"""

from __future__ import annotations

from collections import OrderedDict

# A caller is never asked to wait longer: floods and slow periods end within seconds.
MAX_RETURN_SECONDS = 8.0
MAX_CALLERS = 1024
# Maximum length of a round, as a fraction of the estimated wait. Longer rounds leave
# callers too little of their deadlines: fewer requests were answered in time with 0.5
# and 1, while fewer retries are refused with 0.25 than without rounds.
MAX_ROUND_FRACTION = 0.25
# Multiples of the golden ratio are spread evenly over an interval, however many there
# are.
GOLDEN_FRACTION = 0.6180339887498949


def spread_evenly(number: int) -> float:
    """Return a fraction for a number; those of successive ones are spread evenly."""
    return number * GOLDEN_FRACTION % 1


class ReturnSchedule:
    """Assign times of return to the refused callers of ranks of the same urgency."""

    def __init__(self) -> None:
        # End of the last round that was assigned to each caller, the earliest first.
        self._round_ends: OrderedDict[str, float] = OrderedDict()
        self._count = 0

    def assign(
        self, caller: str, earliest: float, interval: float, now: float
    ) -> float:
        """Return when a refused caller should retry, at ``earliest`` or later.

        ``interval`` is the mean time between two free slots. Each further refusal of a
        caller is assigned to a later round.
        """
        self._remove_ended(now)
        start = max(earliest, self._round_ends.pop(caller, 0.0))
        length = interval * (len(self._round_ends) + 1)
        length = min(length, MAX_ROUND_FRACTION * (earliest - now))
        fraction = spread_evenly(self._count)
        self._count += 1
        if start + length > now + MAX_RETURN_SECONDS:
            # More returns are assigned than slots become free until then.
            length = MAX_RETURN_SECONDS / 2
            start = max(earliest, min(start, now + length))
        self._add(caller, start + length)
        return start + length * fraction

    def _add(self, caller: str, end: float) -> None:
        self._round_ends[caller] = end
        if len(self._round_ends) > MAX_CALLERS:
            self._round_ends.popitem(last=False)

    def _remove_ended(self, now: float) -> None:
        while self._round_ends:
            caller, end = next(iter(self._round_ends.items()))
            if end > now:
                break
            del self._round_ends[caller]
