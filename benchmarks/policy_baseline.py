"""Policies compared by the benchmarks: those of flamingohead, and simple ones."""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.admission import Admission, AdmissionResult
from flamingohead.core.balancing import Balancer
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.rank_queues import Ticket
from flamingohead.core.retries import MAX_ATTEMPTS, RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

QUEUE_LIMIT = 512
REPORT_PERIOD = 0.5
REPORT_LAG = 2.0


class RoundRobinBalancer(Balancer):
    """Choose upstreams in rotation; never eject one."""

    def __init__(self, *, random: Random) -> None:
        super().__init__(random=random)
        self._counter = itertools.count(random.randrange(1000))

    def _pick(self, group, now):
        return group[next(self._counter) % len(group)]

    def _eject(self, upstream, now):
        pass


class InFlightBalancer(Balancer):
    """Choose the better of two upstreams by local in-flight requests alone."""

    def finish(self, attempt, now, refusal):
        change = super().finish(attempt, now, refusal)
        attempt.upstream.relative_latency = 1.0
        return change


class ReportedLoadBalancer(Balancer):
    """Choose the upstream with the least load, from reports ``REPORT_LAG`` old."""

    def __init__(self, *, random: Random) -> None:
        super().__init__(random=random)
        self.read_load: Callable = None
        self._reports: dict[str, list[tuple[float, float]]] = {}

    def _pick(self, group, now):
        return min(
            group, key=lambda u: (self._get_delayed_load(u, now), self._random.random())
        )

    def _get_delayed_load(self, upstream, now):
        reports = self._reports.setdefault(upstream.candidate.host_id, [])
        if not reports or now - reports[-1][0] >= REPORT_PERIOD:
            reports.append((now, self.read_load(upstream.candidate.host_id)))
        while len(reports) > 1 and reports[1][0] <= now - REPORT_LAG:
            reports.pop(0)
        return reports[0][1]


class PlainRetries:
    """Allow every safe retry up to the maximum number of attempts."""

    def record_request(self, now, *, is_retry=False) -> None:
        pass

    def allow_retry(
        self, refusal, now, *, attempts, idempotent, is_retry=False
    ) -> bool:
        retriable = refusal.answer.retry_after_ms is not None
        safe = idempotent or refusal.ran.value == "no"
        return retriable and safe and attempts < MAX_ATTEMPTS


class FifoAdmission:
    """Admit requests first in, first out, regardless of rank."""

    def __init__(self, *, slots, ranks) -> None:
        self.limit = slots
        self.in_use = 0
        self._waiting: deque[Ticket] = deque()

    def offer(self, ticket, now):
        if self.in_use < self.limit:
            self.in_use += 1
            return True
        if len(self._waiting) >= QUEUE_LIMIT:
            return Refusal(ErrorKind.QUEUE_FULL)
        self._waiting.append(ticket)
        return False

    def release(self, ticket, now):
        self.in_use -= 1
        return self.advance(now)

    def advance(self, now):
        admitted, expired = [], []
        while self._waiting and self._waiting[0].deadline <= now:
            expired.append(self._waiting.popleft())
        while self._waiting and self.in_use < self.limit:
            self.in_use += 1
            admitted.append(self._waiting.popleft())
        return AdmissionResult(tuple(admitted), tuple(expired))


class DeadlineAdmission(Admission):
    """Bound the queueing delay by the deadline alone, not by the target."""

    def _compute_max_wait(self, queue, ticket, now):
        return ticket.deadline - now - queue.service_time


@dataclass
class Policy:
    """Group the state machines of a run."""

    balancers: list
    admissions: list
    create_budget: Callable
    limits: list = field(default_factory=list)
    _budgets: dict = field(default_factory=dict)

    def get_budget(self, call):
        name = call.caller, call.work.rank.name
        if name not in self._budgets:
            self._budgets[name] = self.create_budget()
        return self._budgets[name]

    def record(self, index, ticket, now, refusal) -> None:
        """Update the concurrency limit from a response, if the policy adapts limits."""
        if self.limits:
            limit = self.limits[index]
            changed = limit.record(ticket, now, refusal, self.admissions[index].in_use)
            if changed:
                self.admissions[index].set_limit(limit.slots, now)


@dataclass(frozen=True)
class PolicyComponents:
    """List the classes and the budget factory that make up a policy."""

    balancer: type
    admission: type
    budget: Callable
    adapts_limit: bool = False


POLICIES = {
    "flamingohead": PolicyComponents(Balancer, Admission, lambda: RetryBudget(0.0)),
    "baseline": PolicyComponents(RoundRobinBalancer, FifoAdmission, PlainRetries),
    "round robin": PolicyComponents(
        RoundRobinBalancer, Admission, lambda: RetryBudget(0.0)
    ),
    "in flight": PolicyComponents(
        InFlightBalancer, Admission, lambda: RetryBudget(0.0)
    ),
    "reported load": PolicyComponents(
        ReportedLoadBalancer, Admission, lambda: RetryBudget(0.0)
    ),
    "deadline bound": PolicyComponents(
        Balancer, DeadlineAdmission, lambda: RetryBudget(0.0)
    ),
}


def create_policy(name: str, upstreams, work, random: Random) -> Policy:
    """Return new state machines of a policy for a model."""
    components = POLICIES[name]
    ranks = tuple(item.rank for item in work)
    balancers = [components.balancer(random=random) for _ in upstreams]
    admissions = [
        components.admission(slots=u.announced, ranks=ranks) for u in upstreams
    ]
    for balancer in balancers:
        if isinstance(balancer, ReportedLoadBalancer):
            balancer.read_load = lambda host_id: _read_load(
                upstreams[int(host_id)], admissions[int(host_id)]
            )
    return Policy(balancers, admissions, components.budget)


def _read_load(upstream, admission) -> float:
    return 0.0 if upstream.misreports_load else admission.in_use / admission.limit
