"""Load of the last level of nested calls when its calls fail and are retried."""

from __future__ import annotations

import random

from benchmarks.results import Row, register_benchmark
from flamingohead.core.errors import ErrorKind
from flamingohead.core.retries import MAX_ATTEMPTS, RetryBudget
from flamingohead.testing.nesting import NestedCalls

LEVELS = (1, 3, 6, 9)
FAILURE_RATES = (0.1, 0.5, 1.0)
SECONDS = 60
RATE = 50
BASELINE_SECONDS = 1


class PlainRetries:
    """Allow every retry up to the maximum number of attempts, as a baseline."""

    def record_request(self, now, *, is_retry=False) -> None:
        pass

    def allow_retry(
        self, refusal, now, *, attempts, idempotent, is_retry=False
    ) -> bool:
        return attempts < MAX_ATTEMPTS


def _measure(
    budgets, failure_rate: float, propagates_retry_mark: bool, seed: int, seconds: float
) -> float:
    nested = NestedCalls(
        budgets,
        failure_chance=failure_rate,
        kind=ErrorKind.UPSTREAM_SHED,
        propagates_retry_mark=propagates_retry_mark,
        random=random.Random(seed),
    )
    return nested.run(seconds=seconds, rate=RATE)


@register_benchmark("nested")
def measure_nested(seed: int) -> list[Row]:
    """Return leaf calls per outer call, with budgets and with plain retries."""
    rows = []
    for levels in LEVELS:
        for failure_rate in FAILURE_RATES:
            for policy in ("plain", "budget", "budget and marks"):
                values = []
                for offset in range(3):
                    if policy == "plain":
                        budgets = [PlainRetries() for _ in range(levels)]
                    else:
                        budgets = [RetryBudget(0.0) for _ in range(levels)]
                    propagates_retry_mark = policy == "budget and marks"
                    seconds = BASELINE_SECONDS if policy == "plain" else SECONDS
                    values.append(
                        _measure(
                            budgets,
                            failure_rate,
                            propagates_retry_mark,
                            seed + offset,
                            seconds,
                        )
                    )
                    if policy == "plain" and failure_rate == 1.0:
                        break
                parameters = {
                    "policy": policy,
                    "levels": levels,
                    "failing": failure_rate,
                }
                median = sorted(values)[len(values) // 2]
                row = Row(
                    "leaf calls for each call",
                    median,
                    "calls",
                    min(values),
                    max(values),
                    parameters,
                )
                rows.append(row)
    return rows
