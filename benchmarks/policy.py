"""Goodput by rank under load, floods and faults, compared with simple policies.

The clock is virtual: results reflect the decisions, not the speed of the machine.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from benchmarks.policy_model import MeshModel, Outcome, UpstreamModel, Work
from benchmarks.results import Row, register_benchmark
from flamingohead.core.resources import Rank

SLOTS = 20
SECONDS = 2.0
WARM_UP_SECONDS = 1.0
LOADS = (0.5, 1.0, 2.0, 5.0)
FLOOD_LOAD = 5.0
FAULT_LOAD = 0.6
RUNS = 2
POLICIES = ("baseline", "flamingohead")
FAULT_POLICIES = (
    "baseline",
    "flamingohead",
    "in flight",
    "reported load",
    "round robin",
)


@dataclass(frozen=True)
class Deployment:
    """Describe a service: its upstreams and its usual mix of work.

    The rates of ``work`` are fractions of the total rate and add up to 1.
    """

    name: str
    upstreams: int
    work: tuple[Work, ...]

    def compute_capacity(self) -> float:
        """Return the calls per second of the usual mix that fill all slots."""
        mean = sum(item.rate * item.service_time for item in self.work)
        return self.upstreams * SLOTS / mean

    def scale_work(self, load: float, flooded: str = "") -> list[Work]:
        """Return the work at ``load`` times capacity, or with one rank flooded.

        In a flood, the usual mix runs at half of capacity, and the rate of the flooded
        rank is raised until that rank alone needs ``load`` times the slots.
        """
        base_rate = self.compute_capacity() * (0.5 if flooded else load)
        work = [replace(item, rate=item.rate * base_rate) for item in self.work]
        flood_capacity = self.upstreams * SLOTS * load
        return [
            (
                replace(item, rate=flood_capacity / item.service_time)
                if item.rank.name == flooded
                else item
            )
            for item in work
        ]


def _build_work(
    name,
    order,
    target_ms,
    worth,
    share,
    service_ms,
    timeout,
    rate_fraction,
    idempotent=True,
):
    rank = Rank(name, "service", order, target_ms, worth, share)
    return Work(rank, service_ms / 1000, timeout, rate_fraction, idempotent)


LEDGER = (
    _build_work("lookup", 0, 60, 10, 0.4, 20, 1.0, 0.8),
    _build_work("hand-over", 1, 250, 10, 0.3, 60, 3.0, 0.2, False),
)
ARCHIVE = (
    _build_work("index-check", 0, 50, 4, 0.2, 15, 1.0, 0.6),
    _build_work("bundle", 1, 2000, 5, 0.4, 400, 10.0, 0.25),
    _build_work("search", 2, 1000, 1, 0.1, 250, 5.0, 0.15),
)
BOOKING = (
    _build_work("slot-list", 0, 80, 8, 0.4, 20, 1.0, 0.85),
    _build_work("confirmation", 1, 300, 10, 0.3, 80, 3.0, 0.15, False),
)
DEPLOYMENTS = (
    Deployment("stall-ledger", 6, LEDGER),
    Deployment("pattern-archive", 3, ARCHIVE),
    Deployment("booking", 7, BOOKING),
    Deployment("catalogue", 5, ARCHIVE),
)
FAULTS = {
    "lying": {"misreports_load": True, "slots": SLOTS // 2},
    "shared": {"slots": SLOTS // 2},
    "cold": {"is_cold": True},
    "draining": {"is_draining": True},
    "frozen": {"is_frozen": True},
    "dead": {"is_dead": True},
}


def run_model(
    deployment: Deployment,
    work: list[Work],
    *,
    policy: str,
    seed: int,
    fault: str = "",
    seconds: float = SECONDS,
) -> dict[str, Outcome]:
    """Run one case; a fault affects every third upstream."""
    upstreams = []
    for index in range(deployment.upstreams):
        settings = {"slots": SLOTS}
        if fault and index % 3 == 0:
            settings.update(FAULTS[fault])
        upstreams.append(UpstreamModel(str(index), SLOTS, **settings))
    model = MeshModel(upstreams, work, policy=policy, random=random.Random(seed))
    model.run(seconds, WARM_UP_SECONDS if not fault else 0.0)
    return model.outcomes


def compute_goodput(work: list[Work], outcomes: dict[str, Outcome], seconds) -> float:
    """Return the worth of responses within their target, per second."""
    total = sum(w.rank.worth * outcomes[w.rank.name].in_target for w in work)
    return total / seconds


def compute_unflooded_success(outcomes: dict[str, Outcome], flooded: str) -> float:
    """Return the fraction of the other ranks' calls answered within their target."""
    unflooded = [outcome for name, outcome in outcomes.items() if name != flooded]
    return sum(o.in_target for o in unflooded) / max(1, sum(o.sent for o in unflooded))


@dataclass(frozen=True)
class _Case:
    """Identify one case of the results table."""

    deployment: Deployment
    policy: str
    load: float
    flooded: str = ""
    fault: str = ""

    def describe(self) -> dict[str, float | str]:
        values = {
            "service": self.deployment.name,
            "policy": self.policy,
            "load": self.load,
            "flooded": self.flooded,
            "fault": self.fault,
        }
        return {name: value for name, value in values.items() if value}

    def measure(self, seed: int) -> list[Row]:
        """Return the rows of this case over ``RUNS`` seeds."""
        work = self.deployment.scale_work(self.load, self.flooded)
        runs = [
            run_model(
                self.deployment,
                work,
                policy=self.policy,
                seed=seed + offset,
                fault=self.fault,
            )
            for offset in range(RUNS)
        ]
        seconds = SECONDS if self.fault else SECONDS - WARM_UP_SECONDS
        goodputs = [compute_goodput(work, outcomes, seconds) for outcomes in runs]
        rows = [self._build_row("worth-weighted goodput", goodputs, "worth/s")]
        for name in runs[0]:
            fractions = [o[name].in_target / max(1, o[name].sent) for o in runs]
            rows.append(self._build_row(f"in target: {name}", fractions, "part"))
        if self.flooded:
            fractions = [
                compute_unflooded_success(outcomes, self.flooded) for outcomes in runs
            ]
            rows.append(self._build_row("kept by the other ranks", fractions, "part"))
        attempts = [
            sum(o.attempts for o in outcomes.values())
            / sum(o.sent for o in outcomes.values())
            for outcomes in runs
        ]
        rows.append(self._build_row("attempts for each call", attempts, "attempts"))
        return rows

    def _build_row(self, name: str, values: list[float], unit: str) -> Row:
        mean = sum(values) / len(values)
        return Row(name, mean, unit, min(values), max(values), self.describe())


def _list_cases() -> list[_Case]:
    cases = []
    for deployment in DEPLOYMENTS:
        for load in LOADS:
            cases += [_Case(deployment, policy, load) for policy in POLICIES]
        for item in (deployment.work[0], deployment.work[-1]):
            name = item.rank.name
            cases += [_Case(deployment, p, FLOOD_LOAD, flooded=name) for p in POLICIES]
    for deployment in DEPLOYMENTS[:2]:
        cases += [_Case(deployment, "deadline bound", load) for load in LOADS]
        for fault in FAULTS:
            cases += [
                _Case(deployment, policy, FAULT_LOAD, fault=fault)
                for policy in FAULT_POLICIES
            ]
    return cases


@register_benchmark("policy")
def measure_policy(seed: int) -> list[Row]:
    """Return goodput and success by rank under load, floods and faults."""
    return [row for case in _list_cases() for row in case.measure(seed)]
