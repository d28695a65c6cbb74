"""Promises that must hold under every fault, checked on the records of a run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.records import Records

# Statuses that state that a request has not been executed and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds from the platform's documentation, in seconds.
MAX_APPLY_SECONDS = 2.0
FAULT_FREE_SECONDS = 3.0
MAX_DRAIN_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 0.5
MIN_SERVED_SHARE = 0.9

PROMISES: dict[str, Callable[[Records], list[str]]] = {}


def register_promise(name: str):
    """Register a function that returns one line for each violation of a promise."""

    def decorate(check: Callable[[Records], list[str]]):
        PROMISES[name] = check
        return check

    return decorate


def check_promises(records: Records) -> list[str]:
    """Return one line for each violation, beginning with the name of the promise."""
    return [
        f"{name}: {violation}"
        for name, check in PROMISES.items()
        for violation in check(records)
    ]


@register_promise("an unsafe request runs at most once")
def _check_single_execution(records: Records) -> list[str]:
    unsafe = {outcome.request_id for outcome in records.outcomes if not outcome.safe}
    counts = Counter(execution.request_id for execution in records.executions)
    return [
        f"{request_id} ran {count} times"
        for request_id, count in counts.items()
        if count > 1 and request_id in unsafe
    ]


@register_promise("a request said not to have run has not run")
def _check_not_executed(records: Records) -> list[str]:
    executed = {execution.request_id for execution in records.executions}
    return [
        f"{outcome.request_id} was answered {outcome.status}"
        for outcome in records.outcomes
        if outcome.status in NOT_RUN_STATUSES and outcome.request_id in executed
    ]


@register_promise("an answer is that of the upstream that ran the request")
def _check_response_origins(records: Records) -> list[str]:
    executed = {
        (execution.request_id, execution.upstream) for execution in records.executions
    }
    return [
        f"{outcome.request_id} from {outcome.stamp!r}: {outcome.body[:60]!r}"
        for outcome in records.outcomes
        if outcome.status == 200
        and (
            (outcome.request_id, outcome.stamp) not in executed
            or outcome.body != f"answer to {outcome.request_id}".encode()
        )
    ]


@register_promise("only requests of callers run")
def _check_request_origins(records: Records) -> list[str]:
    sent = {outcome.request_id for outcome in records.outcomes}
    return [
        execution.request_id
        for execution in records.executions
        if execution.request_id not in sent
    ]


@register_promise("a process never goes back to an older version")
def _check_version_order(records: Records) -> list[str]:
    violations = []
    newest: dict[tuple[str, int], int] = {}
    for observation in sorted(
        records.version_observations, key=lambda entry: entry.sent_at
    ):
        daemon = observation.host, observation.pid
        newest_version = newest.get(daemon, 0)
        if observation.served:
            newest[daemon] = max(newest_version, observation.version)
        elif observation.version <= newest_version:
            violations.append(
                f"{observation.host} lacks {observation.version} after {newest_version}"
            )
    return violations


@register_promise("a version is in force in time")
def _check_version_delay(records: Records) -> list[str]:
    violations = []
    for observation in records.version_observations:
        acknowledged_at = records.versions.get(observation.version)
        if observation.served or acknowledged_at is None:
            continue
        delay = observation.sent_at - acknowledged_at
        fault_free_since = observation.sent_at - FAULT_FREE_SECONDS
        if delay > MAX_APPLY_SECONDS and records.is_fault_free(
            observation.host, fault_free_since, observation.sent_at
        ):
            violations.append(
                f"{observation.host} lacks {observation.version} after {delay:.2f} s"
            )
    return violations


@register_promise("an upstream gets no request long after its leave")
def _check_drain_time(records: Records) -> list[str]:
    violations = []
    for execution in records.executions:
        delay = execution.at - records.leave_times.get(execution.upstream, execution.at)
        if delay > MAX_DRAIN_SECONDS:
            violations.append(
                f"{execution.upstream} ran {execution.request_id} {delay:.2f} s "
                "after its leave"
            )
    return violations


@register_promise("a calm host answers by the deadline")
def _check_response_time(records: Records) -> list[str]:
    return [
        f"{outcome.request_id} at {outcome.host} got no response"
        for outcome in records.outcomes
        if outcome.timed_out
        and records.is_fault_free(
            outcome.host, outcome.sent_at - FAULT_FREE_SECONDS, outcome.ended_at
        )
    ]


@register_promise("every host serves again after the faults")
def _check_recovery(records: Records) -> list[str]:
    final_outcomes = [
        outcome
        for outcome in records.outcomes
        if outcome.sent_at >= records.recovery_checked_from
    ]
    violations = []
    for host in sorted({outcome.host for outcome in records.outcomes}):
        statuses = [
            outcome.status for outcome in final_outcomes if outcome.host == host
        ]
        served = sum(status == 200 for status in statuses)
        if not statuses or served < MIN_SERVED_SHARE * len(statuses):
            violations.append(f"{host} served {served} of {len(statuses)}")
    return violations


@register_promise("no daemon ends by itself")
def _check_daemon_exits(records: Records) -> list[str]:
    return list(records.unexpected_exits)
