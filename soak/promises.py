"""The promises that hold whatever fails, checked on the records of a run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.records import Records

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds of the platform's pages, in seconds.
APPLY_SECONDS = 2.0
STABLE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 0.5
RECOVERY_SHARE = 0.9

PROMISES: dict[str, Callable[[Records], list[str]]] = {}


def register_promise(name: str):
    """Register a function from records to the cases that break a promise."""

    def decorate(check: Callable[[Records], list[str]]):
        PROMISES[name] = check
        return check

    return decorate


def check_promises(records: Records) -> list[str]:
    """Return one line for each broken promise."""
    return [
        f"{name}: {case}" for name, check in PROMISES.items() for case in check(records)
    ]


@register_promise("an unsafe request runs at most once")
def _check_runs(records: Records) -> list[str]:
    unsafe = {outcome.request_id for outcome in records.outcomes if not outcome.safe}
    counts = Counter(run.request_id for run in records.runs)
    return [
        f"{name} ran {n} times"
        for name, n in counts.items()
        if n > 1 and name in unsafe
    ]


@register_promise("a request said not to have run has not run")
def _check_not_run(records: Records) -> list[str]:
    ran = {run.request_id for run in records.runs}
    return [
        f"{outcome.request_id} was answered {outcome.status}"
        for outcome in records.outcomes
        if not outcome.safe
        and outcome.status in NOT_RUN_STATUSES
        and outcome.request_id in ran
    ]


@register_promise("an answer is that of the upstream that ran the request")
def _check_answers(records: Records) -> list[str]:
    ran = {(run.request_id, run.upstream) for run in records.runs}
    return [
        f"{outcome.request_id} from {outcome.stamp!r}: {outcome.body[:60]!r}"
        for outcome in records.outcomes
        if outcome.status == 200
        and (
            (outcome.request_id, outcome.stamp) not in ran
            or outcome.body != f"answer to {outcome.request_id}".encode()
        )
    ]


@register_promise("only requests of callers run")
def _check_origins(records: Records) -> list[str]:
    sent = {outcome.request_id for outcome in records.outcomes}
    return [run.request_id for run in records.runs if run.request_id not in sent]


@register_promise("a process never goes back to an older version")
def _check_order(records: Records) -> list[str]:
    cases = []
    newest: dict[tuple[str, int], int] = {}
    for sighting in sorted(records.sightings, key=lambda s: s.sent_at):
        process = sighting.host, sighting.process
        seen = newest.get(process, 0)
        if sighting.served:
            newest[process] = max(seen, sighting.version)
        elif sighting.version <= seen:
            cases.append(f"{sighting.host} lacks {sighting.version} after {seen}")
    return cases


@register_promise("a version is in force in time")
def _check_lag(records: Records) -> list[str]:
    cases = []
    for sighting in records.sightings:
        acknowledged_at = records.versions.get(sighting.version)
        if sighting.served or acknowledged_at is None:
            continue
        late = sighting.sent_at - acknowledged_at
        since = sighting.sent_at - STABLE_SECONDS
        if late > APPLY_SECONDS and records.is_calm(
            sighting.host, since, sighting.sent_at
        ):
            cases.append(f"{sighting.host} lacks {sighting.version} after {late:.2f} s")
    return cases


@register_promise("an upstream gets no request long after its leave")
def _check_leaves(records: Records) -> list[str]:
    cases = []
    for run in records.runs:
        late = run.at - records.leaves.get(run.upstream, run.at)
        if late > DRAIN_SECONDS:
            cases.append(f"{run.upstream} ran {run.request_id} {late:.2f} s after it")
    return cases


@register_promise("a calm host answers by the deadline")
def _check_answered(records: Records) -> list[str]:
    return [
        f"{outcome.request_id} at {outcome.host} got none"
        for outcome in records.outcomes
        if outcome.gave_up
        and records.is_calm(
            outcome.host, outcome.sent_at - STABLE_SECONDS, outcome.ended_at
        )
    ]


@register_promise("every host serves again after the faults")
def _check_recovery(records: Records) -> list[str]:
    late = [o for o in records.outcomes if o.sent_at >= records.calm_from]
    cases = []
    for host in sorted({outcome.host for outcome in records.outcomes}):
        statuses = [outcome.status for outcome in late if outcome.host == host]
        served = sum(status == 200 for status in statuses)
        if not statuses or served < RECOVERY_SHARE * len(statuses):
            cases.append(f"{host} served {served} of {len(statuses)}")
    return cases


@register_promise("no daemon ends by itself")
def _check_ends(records: Records) -> list[str]:
    return list(records.own_ends)
