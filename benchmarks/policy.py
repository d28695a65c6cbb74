"""Service by rank under load, floods and faults, against simple policies.

The clock is virtual: the figures are those of the decisions, not of the machine.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from benchmarks.policy_model import MeshModel, Outcome, UpstreamModel, Work
from benchmarks.results import Row, register_benchmark
from flamingohead.core.resources import Rank

SLOTS = 20
SECONDS = 2.0
MEASURED_FROM = 1.0
LOADS = (0.5, 1.0, 2.0, 5.0)
FLOOD = 5.0
FAULT_LOAD = 0.6
RUNS = 2
POLICIES = ("baseline", "flamingohead")
BALANCERS = (
    "baseline",
    "flamingohead",
    "in flight",
    "reported load",
    "round robin",
)


@dataclass(frozen=True)
class Deployment:
    """Describe a service of today: its upstreams and its ordinary mix of work.

    The rates of ``work`` are parts of the whole and add up to 1.
    """

    name: str
    upstreams: int
    work: tuple[Work, ...]

    def compute_capacity(self) -> float:
        """Return the calls a second of the ordinary mix that fill all slots."""
        mean = sum(item.rate * item.service_time for item in self.work)
        return self.upstreams * SLOTS / mean

    def scale_work(self, load: float, flooded: str = "") -> list[Work]:
        """Return the work at ``load`` times capacity, or a flood of one rank.

        In a flood the others stay at half of capacity and the flooded rank alone
        asks for ``load`` times the slots.
        """
        base = self.compute_capacity() * (0.5 if flooded else load)
        work = [replace(item, rate=item.rate * base) for item in self.work]
        alone = self.upstreams * SLOTS * load
        return [
            (
                replace(item, rate=alone / item.service_time)
                if item.rank.name == flooded
                else item
            )
            for item in work
        ]


def _work(name, order, target_ms, worth, share, service_ms, timeout, part, safe=True):
    rank = Rank(name, "service", order, target_ms, worth, share)
    return Work(rank, service_ms / 1000, timeout, part, safe)


LEDGER = (
    _work("lookup", 0, 60, 10, 0.4, 20, 1.0, 0.8),
    _work("hand-over", 1, 250, 10, 0.3, 60, 3.0, 0.2, False),
)
ARCHIVE = (
    _work("index-check", 0, 50, 4, 0.2, 15, 1.0, 0.6),
    _work("bundle", 1, 2000, 5, 0.4, 400, 10.0, 0.25),
    _work("search", 2, 1000, 1, 0.1, 250, 5.0, 0.15),
)
BOOKING = (
    _work("slot-list", 0, 80, 8, 0.4, 20, 1.0, 0.85),
    _work("confirmation", 1, 300, 10, 0.3, 80, 3.0, 0.15, False),
)
DEPLOYMENTS = (
    Deployment("stall-ledger", 6, LEDGER),
    Deployment("pattern-archive", 3, ARCHIVE),
    Deployment("booking", 7, BOOKING),
    Deployment("catalogue", 5, ARCHIVE),
)
FAULTS = {
    "lying": {"lies": True, "slots": SLOTS // 2},
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
    """Run one case; a fault strikes one upstream in three."""
    upstreams = []
    for index in range(deployment.upstreams):
        settings = {"slots": SLOTS}
        if fault and index % 3 == 0:
            settings.update(FAULTS[fault])
        upstreams.append(UpstreamModel(str(index), SLOTS, **settings))
    model = MeshModel(upstreams, work, policy=policy, random=random.Random(seed))
    model.run(seconds, MEASURED_FROM if not fault else 0.0)
    return model.outcomes


def compute_worth(work: list[Work], outcomes: dict[str, Outcome], seconds) -> float:
    """Return the worth of answers inside their target, for each second."""
    total = sum(w.rank.worth * outcomes[w.rank.name].in_target for w in work)
    return total / seconds


def compute_kept(outcomes: dict[str, Outcome], flooded: str) -> float:
    """Return the part of the other ranks' calls answered inside their target."""
    others = [outcome for name, outcome in outcomes.items() if name != flooded]
    return sum(o.in_target for o in others) / max(1, sum(o.sent for o in others))


@dataclass(frozen=True)
class _Case:
    """Name one case of the table."""

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
        """Return the rows of this case from a few runs."""
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
        seconds = SECONDS if self.fault else SECONDS - MEASURED_FROM
        worths = [compute_worth(work, outcomes, seconds) for outcomes in runs]
        rows = [self._build_row("worth-weighted goodput", worths, "worth/s")]
        for name in runs[0]:
            parts = [o[name].in_target / max(1, o[name].sent) for o in runs]
            rows.append(self._build_row(f"in target: {name}", parts, "part"))
        if self.flooded:
            parts = [compute_kept(outcomes, self.flooded) for outcomes in runs]
            rows.append(self._build_row("kept by the other ranks", parts, "part"))
        attempts = [
            sum(o.attempts for o in outcomes.values())
            / sum(o.sent for o in outcomes.values())
            for outcomes in runs
        ]
        rows.append(self._build_row("attempts for each call", attempts, "attempts"))
        return rows

    def _build_row(self, name: str, values: list[float], unit: str) -> Row:
        middle = sum(values) / len(values)
        return Row(name, middle, unit, min(values), max(values), self.describe())


def _list_cases() -> list[_Case]:
    cases = []
    for deployment in DEPLOYMENTS:
        for load in LOADS:
            cases += [_Case(deployment, policy, load) for policy in POLICIES]
        for item in (deployment.work[0], deployment.work[-1]):
            name = item.rank.name
            cases += [_Case(deployment, p, FLOOD, flooded=name) for p in POLICIES]
    for deployment in DEPLOYMENTS[:2]:
        cases += [_Case(deployment, "deadline bound", load) for load in LOADS]
        for fault in FAULTS:
            cases += [
                _Case(deployment, policy, FAULT_LOAD, fault=fault)
                for policy in BALANCERS
            ]
    return cases


@register_benchmark("policy")
def measure_policy(seed: int) -> list[Row]:
    """Return service by rank under load, floods and faults."""
    return [row for case in _list_cases() for row in case.measure(seed)]
