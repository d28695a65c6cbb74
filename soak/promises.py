"""Promises that must hold under every fault, checked on the records of a run."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.records import Outcome, Records

# Statuses that state that a request has not been executed and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds from the platform's documentation, in seconds.
MAX_APPLY_SECONDS = 2.0
FAULT_FREE_SECONDS = 3.0
MAX_DRAIN_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 0.5
MIN_SERVED_SHARE = 0.9
MAX_REVOCATION_SECONDS = 5.0
# Begins the response of a daemon that does not know whether a key was withdrawn.
UNCONFIRMED = b"configuration_unconfirmed"
# Runs of an organisation in each window: (rate * window + burst) * overage + slack.
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERAGE = 1.1
QUOTA_SLACK = 20

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


def is_long_withdrawn(records: Records, key: str | None, sent_at: float) -> bool:
    """Return whether a key was withdrawn longer ago than it may be used."""
    history = records.keys.get(key)
    return (
        history is not None
        and history.withdrawn_at is not None
        and sent_at > history.withdrawn_at + MAX_REVOCATION_SECONDS
    )


@register_promise("a request with an unknown key doesn't run")
def _check_unknown_keys(records: Records) -> list[str]:
    executed = {execution.request_id for execution in records.executions}
    return [
        f"{outcome.request_id} ran with the key {outcome.key!r}"
        for outcome in records.outcomes
        if outcome.key is not None
        and outcome.key not in records.keys
        and outcome.request_id in executed
    ]


@register_promise("an upstream gets the organisation of a key, never the key")
def _check_organisations(records: Records) -> list[str]:
    organisations = {
        outcome.request_id: (
            records.keys[outcome.key].organisation if outcome.key else ""
        )
        for outcome in records.outcomes
        if not outcome.key or outcome.key in records.keys
    }
    return [
        f"{execution.request_id} on {execution.upstream}: organisation "
        f"{execution.organisation!r}, with a key: {execution.has_key}"
        for execution in records.executions
        if execution.has_key
        or organisations.get(execution.request_id, execution.organisation)
        != execution.organisation
    ]


@register_promise("a withdrawn key is not used")
def _check_withdrawn_keys(records: Records) -> list[str]:
    executed = {execution.request_id for execution in records.executions}
    return [
        f"{outcome.request_id} ran at {outcome.host}, sent "
        f"{outcome.sent_at - records.keys[outcome.key].withdrawn_at:.2f} s after "
        f"{outcome.key} was withdrawn"
        for outcome in records.outcomes
        if outcome.request_id in executed
        and is_long_withdrawn(records, outcome.key, outcome.sent_at)
    ]


def _is_always_valid(records: Records, outcome: Outcome) -> bool:
    """Return whether all configurations until the response contained the key."""
    history = records.keys.get(outcome.key)
    return (
        history is not None
        and history.is_initial
        and (history.removed_at is None or history.removed_at > outcome.ended_at)
    )


@register_promise("a key of all configurations is not denied")
def _check_denials(records: Records) -> list[str]:
    return [
        f"{outcome.request_id} at {outcome.host}: {outcome.key}"
        for outcome in records.outcomes
        if outcome.status == 401 and _is_always_valid(records, outcome)
    ]


@register_promise("a calm host accepts keys")
def _check_acceptance(records: Records) -> list[str]:
    return [
        f"{outcome.request_id} at {outcome.host}: {outcome.body[:60]!r}"
        for outcome in records.outcomes
        if outcome.status == 503
        and outcome.body.startswith(UNCONFIRMED)
        and _is_always_valid(records, outcome)
        and records.is_fault_free(
            outcome.host, outcome.sent_at - FAULT_FREE_SECONDS, outcome.ended_at
        )
    ]


@register_promise("the runs of an organisation stay within its limit")
def _check_limits(records: Records) -> list[str]:
    violations = []
    for name, (rate, burst) in records.limits.items():
        # A request that ran again after a lost response counts once.
        first_runs: dict[str, float] = {}
        for execution in records.executions:
            if execution.organisation == name:
                at = first_runs.get(execution.request_id, execution.at)
                first_runs[execution.request_id] = min(at, execution.at)
        times = sorted(first_runs.values())
        bound = (rate * QUOTA_WINDOW_SECONDS + burst) * QUOTA_OVERAGE + QUOTA_SLACK
        counts = [
            (bisect_right(times, start + QUOTA_WINDOW_SECONDS) - number, start)
            for number, start in enumerate(times)
        ]
        count, start = max(counts, default=(0, 0.0))
        if count > bound:
            violations.append(f"{name}: {count} runs of {bound:g} from {start:.2f}")
    return violations


@register_promise("an organisation below its limit is not refused in calm")
def _check_limit_refusals(records: Records) -> list[str]:
    sent_times: dict[str, list[float]] = {}
    for outcome in records.outcomes:
        if outcome.key in records.keys:
            name = records.keys[outcome.key].organisation
            sent_times.setdefault(name, []).append(outcome.sent_at)
    for times in sent_times.values():
        times.sort()
    violations = []
    for outcome in records.outcomes:
        if outcome.status != 429 or outcome.key not in records.keys:
            continue
        name = records.keys[outcome.key].organisation
        rate, _ = records.limits.get(name, (math.inf, 0.0))
        times, end = sent_times[name], outcome.ended_at
        window_start = end - QUOTA_WINDOW_SECONDS
        sent = bisect_right(times, end) - bisect_left(times, window_start)
        fault_free_since = outcome.sent_at - FAULT_FREE_SECONDS
        if sent <= rate * QUOTA_WINDOW_SECONDS and records.is_fault_free(
            "", fault_free_since, end
        ):
            violations.append(f"{outcome.request_id} of {name} at {outcome.host}")
    return violations


@register_promise("an upstream is never sent more than it can hold")
def _check_overflows(records: Records) -> list[str]:
    return sorted(records.unanswered["overflow"])


@register_promise("a connection is not used after an upstream fell silent on it")
def _check_silent_connections(records: Records) -> list[str]:
    return sorted(records.unanswered["unread"])


@register_promise("a request that met silence is not said not to have run")
def _check_silent_requests(records: Records) -> list[str]:
    unanswered = set().union(*records.unanswered.values())
    return [
        f"{outcome.request_id} was answered {outcome.status}"
        for outcome in records.outcomes
        if outcome.status in NOT_RUN_STATUSES and outcome.request_id in unanswered
    ]
