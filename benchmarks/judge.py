"""Checks of a run: responses to callers against executions on upstreams."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import treq

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.load import LoadGenerator
    from flamingohead.testing.processes import UpstreamHandle

CLOCK_TOLERANCE = 0.05


@dataclass(frozen=True)
class Execution:
    """Record when an upstream ran a key, in seconds since the epoch."""

    key: str
    executed_at: float


async def collect_journal(upstreams: Iterable[UpstreamHandle]) -> list[Execution]:
    """Return the executions recorded by the given upstreams, which must be running."""
    executions: list[Execution] = []
    loop = asyncio.get_running_loop()
    for upstream in upstreams:
        url = f"http://{upstream.address}/standin/journal"
        response = await treq.get(url, persistent=False).asFuture(loop)
        body = json.loads(await response.content().asFuture(loop))
        executions += [Execution(e["key"], e["at"]) for e in body["entries"]]
    return executions


def check_load(load: LoadGenerator) -> list[str]:
    """Return a message for each stream with a missing or misdirected response."""
    failures = []
    for name, result in load.results.items():
        if sum(result.outcomes.values()) != result.sent:
            failures.append(f"{name}: requests without an outcome")
        if result.outcomes["crossed"]:
            failures.append(f"{name}: responses to another request")
    return failures


def check_journal(load: LoadGenerator, executions: list[Execution]) -> list[str]:
    """Return a message for each key that ran twice or contrary to its responses."""
    runs = Counter(execution.key for execution in executions)
    failures = [f"key ran {n} times: {key}" for key, n in runs.items() if n > 1]
    run_times = {execution.key: execution.executed_at for execution in executions}
    for attempt in load.keyed_attempts:
        ran_at = run_times.get(attempt.key)
        if attempt.outcome == "answered" and ran_at is None:
            failures.append(f"answered but never run: {attempt.key}")
        reported_not_run = attempt.ran_header == "no" and ran_at is not None
        if reported_not_run and ran_at < attempt.finished_at - CLOCK_TOLERANCE:
            failures.append(f'response said "not run" after the key ran: {attempt.key}')
    return failures
