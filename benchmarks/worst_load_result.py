"""Credit that callers earn on a simulated day."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.worst_load_site import RequestKind

WINDOW_SECONDS = 2.0


@dataclass
class Result:
    """Aggregate a day: earned and maximum credit, by request kind and window."""

    owed: dict[str, float] = field(default_factory=dict)
    earned: dict[str, float] = field(default_factory=dict)
    windows: dict[int, list[float]] = field(default_factory=dict)
    repeat_penalty: float = 0.0

    def add(self, kind: RequestKind, sent_at: float, credit: float) -> None:
        """Record a caller's request once its last attempt has ended."""
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
        """Return the weighted goals of the deployments, less the retry penalty."""
        parts = 0.384 * self.whole + 0.32 * self.worst_windows + 0.096 * self.worst_kind
        return parts / 0.8 - self.repeat_penalty / sum(self.owed.values())
