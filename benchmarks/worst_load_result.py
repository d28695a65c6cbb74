"""What callers earned on a day of the model of work at its worst load."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.worst_load_site import Kind

WINDOW_SECONDS = 2.0


@dataclass
class Result:
    """Sum up a day: credit earned of credit owed, by kind and window."""

    owed: dict[str, float] = field(default_factory=dict)
    earned: dict[str, float] = field(default_factory=dict)
    windows: dict[int, list[float]] = field(default_factory=dict)
    again: float = 0.0

    def add(self, kind: Kind, sent_at: float, credit: float) -> None:
        """Count a request of a caller when it has ended for good."""
        self.owed[kind.name] = self.owed.get(kind.name, 0.0) + kind.worth
        self.earned[kind.name] = self.earned.get(kind.name, 0.0) + credit
        window = self.windows.setdefault(int(sent_at / WINDOW_SECONDS), [0.0, 0.0])
        window[0] += kind.worth
        window[1] += credit

    @property
    def whole(self) -> float:
        return sum(self.earned.values()) / sum(self.owed.values())

    @property
    def worst_kind(self) -> float:
        return min(self.earned[name] / owed for name, owed in self.owed.items())

    @property
    def worst_windows(self) -> float:
        shares = sorted(earned / owed for owed, earned in self.windows.values())
        return statistics.mean(shares[:2])

    @property
    def worth(self) -> float:
        """Weigh the parts as the deployments' goals do, less what returns cost."""
        parts = 0.384 * self.whole + 0.32 * self.worst_windows + 0.096 * self.worst_kind
        return parts / 0.8 - self.again / sum(self.owed.values())
