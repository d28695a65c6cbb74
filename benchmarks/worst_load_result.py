"""Credit that callers earn on a simulated day."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.worst_load_site import RequestKind

WINDOW_SECONDS = 2.0
LARGEST = "o0"
# Organisations with fewer requests on a day are not compared.
MIN_REQUESTS = 50


@dataclass
class Result:
    """Aggregate a day: earned and maximum credit, by request kind and window."""

    max_credit: dict[str, float] = field(default_factory=dict)
    earned: dict[str, float] = field(default_factory=dict)
    windows: dict[int, list[float]] = field(default_factory=dict)
    penalty: float = 0.0
    # Sent requests, responses and credit ratios of each organisation.
    organisations: dict[str, list[float]] = field(default_factory=dict)
    refusal_cost: float = 0.0

    def add_organisation(self, name: str, credit: float, *, answered: bool) -> None:
        """Record the end of a request of an organisation."""
        counts = self.organisations.setdefault(name, [0.0, 0.0, 0.0])
        counts[0] += 1
        counts[1] += answered
        counts[2] += credit

    @property
    def lowest_part(self) -> float:
        """Return how often the least served organisation is, compared with all."""
        sent = sum(counts[0] for counts in self.organisations.values())
        answered = sum(counts[1] for counts in self.organisations.values())
        parts = [
            counts[1] / counts[0]
            for counts in self.organisations.values()
            if counts[0] >= MIN_REQUESTS
        ]
        return min(parts) / (answered / sent)

    def compute_credit_of(self, *, largest: bool) -> float:
        """Return the credit ratio of the largest organisation, or of all others."""
        chosen = [
            counts
            for name, counts in self.organisations.items()
            if (name == LARGEST) == largest
        ]
        return sum(c[2] for c in chosen) / sum(c[0] for c in chosen)

    def add(self, kind: RequestKind, sent_at: float, credit: float) -> None:
        """Record a caller's request once its last attempt has ended."""
        self.max_credit[kind.name] = self.max_credit.get(kind.name, 0.0) + kind.worth
        self.earned[kind.name] = self.earned.get(kind.name, 0.0) + credit
        window = self.windows.setdefault(int(sent_at / WINDOW_SECONDS), [0.0, 0.0])
        window[0] += kind.worth
        window[1] += credit

    @property
    def credit_ratio(self) -> float:
        return sum(self.earned.values()) / sum(self.max_credit.values())

    @property
    def worst_kind(self) -> float:
        return min(
            self.earned[name] / max_credit
            for name, max_credit in self.max_credit.items()
        )

    @property
    def worst_windows(self) -> float:
        shares = sorted(
            earned / max_credit for max_credit, earned in self.windows.values()
        )
        return statistics.mean(shares[:2])

    @property
    def worth(self) -> float:
        """Return the weighted goals of the deployments, less the retry penalty."""
        parts = (
            0.384 * self.credit_ratio
            + 0.32 * self.worst_windows
            + 0.096 * self.worst_kind
        )
        return parts / 0.8 - self.penalty / sum(self.max_credit.values())
