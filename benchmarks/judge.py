"""Judgement of a run: what callers were told against what upstreams ran."""

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
    """Record that an upstream ran a key, at seconds since the epoch."""

    key: str
    at: float


async def collect_journal(upstreams: Iterable[UpstreamHandle]) -> list[Execution]:
    """Return what the upstreams that still run have executed."""
    executions: list[Execution] = []
    loop = asyncio.get_running_loop()
    for upstream in upstreams:
        url = f"http://{upstream.address}/standin/journal"
        response = await treq.get(url, persistent=False).asFuture(loop)
        body = json.loads(await response.content().asFuture(loop))
        executions += [Execution(e["key"], e["at"]) for e in body["entries"]]
    return executions


def check_load(load: LoadGenerator) -> list[str]:
    """Return what callers saw that they must never see."""
    failures = []
    for name, result in load.results.items():
        if sum(result.outcomes.values()) != result.sent:
            failures.append(f"{name}: requests without an outcome")
        if result.outcomes["crossed"]:
            failures.append(f"{name}: answers of another request")
    return failures


def check_journal(load: LoadGenerator, executions: list[Execution]) -> list[str]:
    """Return each key that ran twice, or ran although its caller was told not."""
    runs = Counter(execution.key for execution in executions)
    failures = [f"run {n} times: {key}" for key, n in runs.items() if n > 1]
    first_run = {execution.key: execution.at for execution in executions}
    for attempt in load.keys:
        ran_at = first_run.get(attempt.key)
        if attempt.outcome == "answered" and ran_at is None:
            failures.append(f"answered but not run: {attempt.key}")
        told_not_run = attempt.ran == "no" and ran_at is not None
        if told_not_run and ran_at < attempt.told_at - CLOCK_TOLERANCE:
            failures.append(f"told not run after it ran: {attempt.key}")
    return failures
