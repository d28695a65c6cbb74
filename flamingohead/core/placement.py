"""Placement of requests over the upstreams of a group of daemons.

The load it answers: failure domains with as many upstreams as their callers need, where
what leaves takes a longer way and is lost in a cut; failure domains with equal callers
and unequal upstreams, where much has to leave; upstreams that differ in speed, start
cold, turn slow or fail part of their requests; and loads near the capacity, where the
few slots that are free move from host to host faster than any report. So each request
is first offered to the best hosts without waiting there, which their admission answers
exactly, and only then waits, where the wait is likely to be the shortest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.candidates import Candidate, UpstreamKey, list_candidates
from flamingohead.core.ejection import OVERLOAD_KINDS, is_server_error
from flamingohead.core.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.errors import Refusal
    from flamingohead.core.members import Member

# Weight of one answer in the learned time of an upstream, and of a rank.
SLOWNESS_SMOOTHING = 0.2
USUAL_SMOOTHING = 0.02
HIGHEST_SLOWNESS = 10.0
# Time in which what was learned of an idle upstream loses half of its weight.
MEMORY_SECONDS = 3.0
# Weight of one outcome in the share of failures.
FAILURE_SMOOTHING = 0.25
# Cost of a failed attempt, as a multiple of the ordinary time of an answer.
FAILURE_COST = 10.0
# Time after which the part of a report that speaks of other senders counts half.
REPORT_MEMORY_SECONDS = 0.5
# Cost of leaving the failure domain, in multiples of the time of an answer. Where the
# target leaves time, a slower upstream nearby still meets it: a quarter of the target
# is given for staying.
REMOTE_COST = 0.5
HIGHEST_REMOTE_COST = 2.0
REMOTE_TARGET_FRACTION = 0.25
# A large answer takes the links between the failure domains as well.
BULKY_REMOTE_COST = 1.5
# Where a request has to wait anyway, the shorter queue is worth the longer way.
QUEUED_REMOTE_COST = 0.05
# Cost of offering a request to a host that is likely to have no free slot.
FULL_COST = 5.0
# Cost of a host that is being stopped; only what finds no other goes there.
LEAVING_COST = 20.0
# Two costs closer than this are alike; the choice between them is drawn.
TIE_COST = 0.1
# Candidates weighed for a request, in the failure domain and beyond; of larger groups
# samples are drawn.
NEAR_SAMPLE = 8
FAR_SAMPLE = 6
# A new upstream is slow at first, and is known to be sound only by its answers.
NEW_SECONDS = 3.0
NEW_SLOWNESS = 1.5

# Failures that are certain after one attempt: nothing listens, or it says so.
CERTAIN_KINDS = frozenset(
    {
        ErrorKind.HOST_UNREACHABLE,
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.DRAINING,
    }
)
# Outcomes that say nothing of the upstream.
NEUTRAL_KINDS = OVERLOAD_KINDS - {ErrorKind.UPSTREAM_SHED} | {
    ErrorKind.DEADLINE_PASSED,
    ErrorKind.INTERNAL,
}


@dataclass(frozen=True)
class LoadReport:
    """Hold what a host reports with each answer.

    ``running`` counts the requests on its slots, ``waiting`` those that go before a new
    one of the same rank. ``held_ms`` is the time for which the answered request held
    its slot, or ``None`` if it held none.
    """

    running: int
    waiting: int
    slots: int
    held_ms: float | None = None


@dataclass(frozen=True)
class Demand:
    """Describe the request to place; ``target_deadline`` in monotonic seconds."""

    service: str
    rank: str
    bulky: bool = False
    target_deadline: float = math.inf


@dataclass(frozen=True)
class Choice:
    """Name the upstream chosen, and whether the request may wait for a slot there."""

    candidate: Candidate
    may_wait: bool


@dataclass(eq=False)
class _View:
    """Keep what this daemon knows of an upstream."""

    key: UpstreamKey
    candidate: Candidate
    ready_since: float
    in_flight: int = 0
    others: float = 0.0
    waiting: dict[str, int] = field(default_factory=dict)
    reported_at: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    failures: float = 0.0
    failures_at: float = 0.0

    def estimate_busy(self, rank: str, now: float) -> float:
        """Return the requests likely to be served before a new one of a rank.

        Those of this daemon are known.
        """
        age = max(0.0, now - self.reported_at)
        others = self.others + self.waiting.get(rank, 0)
        return self.in_flight + others * 0.5 ** (age / REPORT_MEMORY_SECONDS)

    def estimate_slowness(self, now: float) -> float:
        weight = _compute_memory(now - self.slowness_at)
        if now - self.ready_since < NEW_SECONDS:
            return max(NEW_SLOWNESS, 1.0 + weight * (self.slowness - 1.0))
        return 1.0 + weight * (self.slowness - 1.0)

    def estimate_failures(self, now: float) -> float:
        return self.failures * _compute_memory(now - self.failures_at)

    def is_full(self, rank: str, now: float) -> bool:
        return self.estimate_busy(rank, now) >= self.candidate.slots


@dataclass(frozen=True, eq=False)
class PlacedAttempt:
    """Stand for a request sent to an upstream; ``started_at`` in seconds."""

    view: _View
    rank: str
    started_at: float


class Placement:
    """Choose an upstream for each request from reports, own requests and outcomes."""

    def __init__(self, failure_domain: str, *, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._views: dict[UpstreamKey, _View] = {}
        self._near: dict[str, list[_View]] = {}
        self._far: dict[str, list[_View]] = {}
        self._usual_times: dict[tuple[str, str], float] = {}

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the candidates by the ready upstreams of ``members``."""
        views: dict[UpstreamKey, _View] = {}
        near: dict[str, list[_View]] = {}
        far: dict[str, list[_View]] = {}
        for member in members:
            is_near = member.failure_domain == self._failure_domain
            pools = near if is_near else far
            for candidate in list_candidates(member, with_leaving=True):
                key = candidate.key
                view = self._views.get(key)
                if view is None or view.candidate.service != candidate.service:
                    view = _View(key, candidate, now)
                view.candidate = candidate
                views[key] = view
                pools.setdefault(candidate.service, []).append(view)
        self._views, self._near, self._far = views, near, far

    def list_services(self) -> list[str]:
        """Return the services with at least one ready upstream."""
        return list({**self._near, **self._far})

    def has_other(self, service: str, host_id: str) -> bool:
        """Tell whether a host other than ``host_id`` serves, and is not leaving."""
        pools = self._near.get(service, ()), self._far.get(service, ())
        candidates = (view.candidate for pool in pools for view in pool)
        return any(c.host_id != host_id and not c.leaving for c in candidates)

    def choose(
        self,
        demand: Demand,
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
        must_wait: bool = False,
    ) -> Choice | None:
        """Return where to send a request, or ``None`` if there is nowhere.

        Without ``must_wait`` it waits only where every candidate seems to be full, or
        for a large answer, which is better waited for than brought from far away.
        """
        near = self._near.get(demand.service, [])
        far = self._far.get(demand.service, [])
        views = self._draw(near, NEAR_SAMPLE, excluded)
        views += self._draw(far, FAR_SAMPLE, excluded)
        if not views:
            return None
        chosen = self._pick(views, demand, now)
        may_wait = (
            must_wait
            or demand.bulky
            or all(view.is_full(demand.rank, now) for view in views)
        )
        return Choice(chosen.candidate, may_wait)

    def _draw(
        self, pool: list[_View], count: int, excluded: frozenset[UpstreamKey]
    ) -> list[_View]:
        """Return up to ``count`` random views of a pool."""
        if excluded:
            pool = [view for view in pool if view.key not in excluded]
        if len(pool) > count:
            return self._random.sample(pool, count)
        return list(pool)

    def start(self, candidate: Candidate, rank: str, now: float) -> PlacedAttempt:
        """Count a request sent to an upstream."""
        key = candidate.key
        view = self._views.get(key) or _View(key, candidate, now)
        view.in_flight += 1
        return PlacedAttempt(view, rank, now)

    def finish(
        self,
        attempt: PlacedAttempt,
        now: float,
        refusal: Refusal | None,
        *,
        status: int = 0,
    ) -> None:
        """Take the outcome; ``None`` with the ``status`` that was answered."""
        view = attempt.view
        view.in_flight -= 1
        if refusal is None:
            failed = is_server_error(status)
        elif refusal.kind in NEUTRAL_KINDS:
            return
        elif refusal.kind in CERTAIN_KINDS:
            view.failures, view.failures_at = 1.0, now
            return
        else:
            failed = True
        current = view.estimate_failures(now)
        view.failures = current + FAILURE_SMOOTHING * (failed - current)
        view.failures_at = now

    def record_load(
        self, candidate: Candidate, rank: str, load: LoadReport, now: float
    ) -> None:
        """Take what a host reports with an answer or a refusal."""
        view = self._views.get(candidate.key)
        if view is None:
            return
        # The request that is being answered is still counted as one of this daemon.
        own = max(0, view.in_flight - 1)
        view.others = max(0.0, load.running - own)
        view.waiting[rank] = max(0, load.waiting - max(0, own - load.running))
        view.reported_at = now
        if load.held_ms is not None:
            self._record_time(view, rank, load.held_ms / 1000, now)

    def _record_time(self, view: _View, rank: str, held: float, now: float) -> None:
        name = view.candidate.service, rank
        usual = self._usual_times.get(name, held)
        usual += USUAL_SMOOTHING * (held - usual)
        self._usual_times[name] = usual
        ratio = min(held / usual, HIGHEST_SLOWNESS) if usual > 0 else 1.0
        view.slowness += SLOWNESS_SMOOTHING * (ratio - view.slowness)
        view.slowness_at = now

    def _pick(self, views: list[_View], demand: Demand, now: float) -> _View:
        costs = [(self._compute_cost(view, demand, now), view) for view in views]
        lowest = min(cost for cost, _ in costs)
        alike = [view for cost, view in costs if cost <= lowest + TIE_COST]
        return alike[0] if len(alike) == 1 else self._random.choice(alike)

    def _compute_cost(self, view: _View, demand: Demand, now: float) -> float:
        """Return the expected time of an answer, in multiples of the usual one."""
        slots = max(view.candidate.slots, 1)
        busy = view.estimate_busy(demand.rank, now)
        queued = max(0.0, busy + 1 - slots)
        cost = view.estimate_slowness(now) * (1 + queued / slots)
        cost += TIE_COST * busy / slots
        cost += FAILURE_COST * view.estimate_failures(now)
        if view.candidate.leaving:
            cost += LEAVING_COST
        is_full = busy >= slots
        if is_full and not demand.bulky:
            cost += FULL_COST
        if view.candidate.failure_domain != self._failure_domain:
            cost += self._get_remote_cost(demand, now, is_full=is_full)
        return cost

    def _get_remote_cost(self, demand: Demand, now: float, *, is_full: bool) -> float:
        if demand.bulky:
            return BULKY_REMOTE_COST
        if is_full:
            return QUEUED_REMOTE_COST
        usual = self._usual_times.get((demand.service, demand.rank))
        if not usual or demand.target_deadline == math.inf:
            return REMOTE_COST
        cost = REMOTE_TARGET_FRACTION * (demand.target_deadline - now) / usual
        return min(max(cost, REMOTE_COST), HIGHEST_REMOTE_COST)


def _compute_memory(age: float) -> float:
    return math.pow(0.5, max(0.0, age) / MEMORY_SECONDS)
