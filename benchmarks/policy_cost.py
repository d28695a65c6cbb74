"""Processor time and memory of the decisions made for one call."""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import replace
from typing import TYPE_CHECKING

from benchmarks.results import Row, register_benchmark
from flamingohead.core.admission import Admission
from flamingohead.core.balancing import Balancer
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.resources import Rank
from flamingohead.core.retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 5
CALLS = 20_000
MEMBER_COUNTS = (2, 17, 613)
QUEUE_LENGTHS = (0, 100, 1000)
SERVICE = "stall-ledger"


def _measure(run: Callable[[], None], calls: int) -> list[float]:
    """Return the processor time per call of each round, sorted, in microseconds."""
    values = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        run()
        values.append((time.process_time() - started_at) / calls * 1e6)
    return sorted(values)


def _build_row(name: str, values: list[float], **parameters) -> Row:
    median = values[len(values) // 2]
    return Row(name, median, "us", values[0], values[-1], parameters)


def _build_members(count: int) -> list[Member]:
    members = []
    for number in range(count):
        state = UpstreamState(f"ledger-{number}", SERVICE, UpstreamStatus.READY, 20)
        members.append(
            Member(f"host-{number}", "makola", "peer", "relay", 1, upstreams=(state,))
        )
    return members


def _measure_balancing(count: int, seed: int) -> list[Row]:
    balancer = Balancer(random=random.Random(seed))
    members = _build_members(count)
    tracemalloc.start()
    balancer.set_members(members, 0.0)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    def run_calls() -> None:
        for _ in range(CALLS):
            candidate = balancer.choose(SERVICE, 100.0)
            attempt = balancer.start(candidate, "lookup", 100.0)
            balancer.finish(attempt, 100.005, None)

    def update_members() -> None:
        for number in range(20):
            index = number % count
            changed = replace(members[index], incarnation=number + 2)
            members[index] = changed
            balancer.set_members(members, 100.0)

    rows = [_build_row("choose and finish", _measure(run_calls, CALLS), members=count)]
    rows.append(
        _build_row(
            "take members, one of them changed",
            _measure(update_members, 20),
            members=count,
        )
    )
    parameters = {"members": count}
    rows.append(
        Row("memory of a member", allocated / count, "bytes", parameters=parameters)
    )
    return rows


def _measure_admission(queue_length: int) -> Row:
    ranks = tuple(
        Rank(name, SERVICE, order, 10**9, 1.0, 0.3)
        for order, name in enumerate(("lookup", "hand-over", "search"))
    )
    admission = Admission(slots=20, ranks=ranks)
    active = [Ticket("lookup", 1e9) for _ in range(20)]
    for ticket in active:
        admission.offer(ticket, 0.0)
    admission.release(active.pop(), 0.001)
    for number in range(queue_length + 1):
        ticket = Ticket("lookup", 1e9, f"caller-{number % 50}")
        if admission.offer(ticket, 0.002) is True:
            active.append(ticket)

    def run() -> None:
        for _ in range(CALLS):
            ticket = Ticket("lookup", 1e9, "caller-1")
            result = admission.offer(ticket, 0.003)
            released = admission.release(active.pop(), 0.004)
            active.extend(released.admitted)
            if result is True:
                active.append(ticket)

    values = _measure(run, CALLS)
    return _build_row("offer and release", values, waiting=queue_length)


def _measure_retries() -> Row:
    budget = RetryBudget(0.0)
    refusal = Refusal(ErrorKind.HOST_UNREACHABLE)

    def run() -> None:
        for _ in range(CALLS):
            budget.record_request(1.0)
            budget.allow_retry(refusal, 1.0, attempts=1, idempotent=True)

    return _build_row("retry budget", _measure(run, CALLS))


@register_benchmark("policy_cost")
def measure_policy_cost(seed: int) -> list[Row]:
    """Return the processor time of each decision, and the memory per member."""
    rows = []
    for count in MEMBER_COUNTS:
        rows += _measure_balancing(count, seed)
    rows += [_measure_admission(queue_length) for queue_length in QUEUE_LENGTHS]
    rows.append(_measure_retries())
    return rows
