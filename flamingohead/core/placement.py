"""Placement of requests on the upstreams of a group of daemons.

It is designed for these conditions:

- Failure domains with enough upstreams for their callers. Requests sent to another
  domain have a higher latency and are lost when the link between the domains fails.
- Failure domains with similar callers but unequal upstreams, where many requests have
  to be sent to other domains.
- Upstreams that differ in speed, start cold, become slow or fail some requests.
- Loads near the capacity, where the few free slots move from host to host faster than
  load reports arrive.

A request is therefore first offered to the best hosts without queueing there, since
their admission control knows exactly whether a slot is free. Only then it is queued, at
the host with the shortest expected wait.

The owner of each upstream reports its service times with every response, so that all
senders know a change of speed after one response. Costs are expected completion times:
the requests ahead divided by the slots, and the service itself, at the reported speed.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.candidates import Candidate, UpstreamKey, list_candidates
from flamingohead.core.capacity.speeds import Baselines
from flamingohead.core.ejection import OVERLOAD_KINDS, is_server_error
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.transfers.links import (
    Link,
    compute_latest_begin,
    estimate_transfer,
    may_arrive,
)
from flamingohead.core.upstream_views import LoadReport, UpstreamView

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.members import Member

# Weight of one response in the relative latency of an upstream whose owner does not
# report service times.
LATENCY_SMOOTHING = 0.2
MAX_RELATIVE_LATENCY = 10.0
# Weight of one outcome in the failure rate.
FAILURE_SMOOTHING = 0.25
# Cost of a failed attempt, as a multiple of the baseline service time.
FAILURE_COST = 10.0
# Cost of leaving the failure domain, in multiples of the baseline service time. If the
# target allows, a slower local upstream still meets it: a quarter of the remaining
# target may be spent on staying in the failure domain.
REMOTE_COST = 0.5
MAX_REMOTE_COST = 2.0
REMOTE_TARGET_FRACTION = 0.25
# A large response also uses bandwidth of the links between failure domains.
BULKY_REMOTE_COST = 1.5
# If a request has to queue anyway, a shorter queue outweighs the network latency. With
# a target that can be met at home, it has to be shorter by a few requests.
QUEUED_REMOTE_COST = 0.05
TARGET_QUEUED_REMOTE_COST = 0.5
# Cost of any transfer of a large body, in addition to its time: bytes are few on slow
# links.
BODY_TRANSFER_COST = 0.5
# Cost of a host that is likely to have no free slot. An upstream half as fast as usual
# costs as much: rather than use a much slower one, a request queues.
FULL_HOST_COST = 2.5
# Cost of an upstream that is unlikely to meet the target. Response times vary, so that
# the expected one has to be shorter than the target by this factor.
TARGET_MARGIN = 2.0
MISSED_TARGET_COST = 4.0
# Cost of an occupied upstream: the last free slots may be taken before a request
# arrives.
OCCUPANCY_COST = 0.1
# Cost of a host that is being stopped; it is chosen only if there is no other.
LEAVING_HOST_COST = 20.0
# Candidates whose costs differ by less than this are tied; one is chosen at random.
TIE_COST = 0.1
# Maximum number of candidates compared for a request, in the local failure domain and
# in remote ones. Larger pools are sampled.
LOCAL_SAMPLE_SIZE = 8
REMOTE_SAMPLE_SIZE = 6

# Failures that one attempt proves: nothing listens, or the host reports draining.
CONCLUSIVE_KINDS = frozenset(
    {
        ErrorKind.HOST_UNREACHABLE,
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.DRAINING,
    }
)
# Outcomes that are no evidence about the upstream.
NEUTRAL_KINDS = OVERLOAD_KINDS - {ErrorKind.UPSTREAM_SHED} | {
    ErrorKind.DEADLINE_PASSED,
    ErrorKind.INTERNAL,
}


@dataclass(frozen=True)
class PlacementRequest:
    """Describe a request to be placed; ``target_deadline`` in monotonic seconds.

    ``body_bytes`` is set if its body is large, ``deadline`` the time by which the
    response must begin.
    """

    service: str
    rank: str
    bulky: bool = False
    target_deadline: float = math.inf
    body_bytes: int = 0
    deadline: float = math.inf


@dataclass(frozen=True)
class PlacementChoice:
    """Hold the chosen upstream and whether the request may queue for a slot there."""

    candidate: Candidate
    may_wait: bool


@dataclass(frozen=True)
class ComparedUpstream:
    """Hold an upstream with its cost; a large body takes ``transfer_seconds``.

    It is eligible if a large body may arrive there before the deadline.
    """

    view: UpstreamView
    cost: float
    transfer_seconds: float
    is_eligible: bool


@dataclass(frozen=True)
class Comparison:
    """Hold the costs of the upstreams for a request, the lowest first.

    ``baseline`` is the usual service time in seconds, 0 if it is not known. ``target``
    is the remaining time to the target as a multiple of it, 0 if there is none.
    ``local_count`` and ``remote_count`` include the upstreams that were left out.
    """

    host_id: str
    failure_domain: str
    baseline: float
    target: float
    local_count: int
    remote_count: int
    upstreams: list[ComparedUpstream]
    may_wait: bool


@dataclass(frozen=True, eq=False)
class PlacedAttempt:
    """Represent a request sent to an upstream; ``started_at`` in seconds.

    ``body_bytes`` is the size of a large body that is sent over the links.
    """

    upstream_state: UpstreamView
    rank: str
    started_at: float
    body_bytes: int = 0


class Placement:
    """Choose upstreams by load reports, local in-flight requests and outcomes."""

    def __init__(self, failure_domain: str, *, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._upstream_states: dict[UpstreamKey, UpstreamView] = {}
        self._local_pools: dict[str, list[UpstreamView]] = {}
        self._remote_pools: dict[str, list[UpstreamView]] = {}
        self._baselines = Baselines()
        self._host_id = ""
        self._link = Link()

    def set_host(self, host_id: str) -> None:
        """Set the host of this daemon, to which bodies need no transfer."""
        self._host_id = host_id

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the candidates by the ready upstreams of ``members``."""
        upstreams: dict[UpstreamKey, UpstreamView] = {}
        local: dict[str, list[UpstreamView]] = {}
        remote: dict[str, list[UpstreamView]] = {}
        for member in members:
            if member.host_id == self._host_id:
                self._link.mbps = member.link_mbps
            is_local = member.failure_domain == self._failure_domain
            pools = local if is_local else remote
            for candidate in list_candidates(member, include_leaving=True):
                key = candidate.key
                upstream = self._upstream_states.get(key)
                if upstream is None or upstream.candidate.service != candidate.service:
                    upstream = UpstreamView(key, candidate, now)
                upstream.candidate = candidate
                upstream.link.mbps = candidate.link_mbps
                upstreams[key] = upstream
                pools.setdefault(candidate.service, []).append(upstream)
        self._upstream_states, self._local_pools, self._remote_pools = (
            upstreams,
            local,
            remote,
        )

    def list_services(self) -> list[str]:
        """Return the services with at least one ready upstream."""
        return list({**self._local_pools, **self._remote_pools})

    def has_other_host(self, service: str, host_id: str) -> bool:
        """Return whether a host other than ``host_id`` serves and is not leaving."""
        pools = self._local_pools.get(service, ()), self._remote_pools.get(service, ())
        candidates = (upstream.candidate for pool in pools for upstream in pool)
        return any(c.host_id != host_id and not c.leaving for c in candidates)

    def choose(
        self,
        request: PlacementRequest,
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
        must_wait: bool = False,
    ) -> PlacementChoice | Refusal:
        """Return the upstream for a request, or why it can't be sent to any.

        Without ``must_wait``, the request may queue only if the upstream is chosen
        although it is estimated to be full and no leaving one is free, or if its
        response or body is large: queueing is then cheaper than another transfer.
        """
        local = self._list_others(self._local_pools, request.service, excluded)
        remote = self._list_others(self._remote_pools, request.service, excluded)
        if not local and not remote:
            detail = f"no upstream of {request.service!r}"
            return Refusal(ErrorKind.NO_UPSTREAM, detail)
        if request.body_bytes:
            known = local + remote
            local = [u for u in local if self._may_arrive(u, request, now)]
            remote = [u for u in remote if self._may_arrive(u, request, now)]
            if not local and not remote:
                return self._refuse_body(known, request, now)
        upstreams = self._sample(local, LOCAL_SAMPLE_SIZE)
        upstreams += self._sample(remote, REMOTE_SAMPLE_SIZE)
        chosen = self._pick(upstreams, request, now)
        may_wait = (
            must_wait
            or request.bulky
            or request.body_bytes > 0
            or (
                chosen.is_full(request.rank, now)
                and not _has_free_leaving_upstream(upstreams, request.rank, now)
            )
        )
        return PlacementChoice(chosen.candidate, may_wait)

    def compare(
        self, request: PlacementRequest, now: float, *, max_compared: int
    ) -> Comparison:
        """Return the costs by which ``choose`` would compare all upstreams now.

        At most ``max_compared`` upstreams are compared, those of the local failure
        domain first. Nothing is changed and no random number is drawn.
        """
        local = self._local_pools.get(request.service, [])
        remote = self._remote_pools.get(request.service, [])
        baseline, target = self._get_baseline_and_target(request, now)
        upstreams = []
        for view in itertools.islice(itertools.chain(local, remote), max_compared):
            cost = self._compute_cost(view, request, now, target, baseline)
            transfer = 0.0
            is_eligible = True
            if request.body_bytes:
                transfer = self._estimate_transfer(view, request, now)
                is_eligible = self._may_arrive(view, request, now)
            upstreams.append(ComparedUpstream(view, cost, transfer, is_eligible))
        upstreams.sort(key=lambda compared: (not compared.is_eligible, compared.cost))
        eligible = [compared.view for compared in upstreams if compared.is_eligible]
        may_wait = bool(eligible) and (
            request.bulky
            or request.body_bytes > 0
            or (
                eligible[0].is_full(request.rank, now)
                and not _has_free_leaving_upstream(eligible, request.rank, now)
            )
        )
        return Comparison(
            self._host_id,
            self._failure_domain,
            baseline,
            target,
            len(local),
            len(remote),
            upstreams,
            may_wait,
        )

    def check_body(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Return a refusal if a large body is likely to arrive too late everywhere."""
        if not request.body_bytes:
            return None
        pools = self._local_pools, self._remote_pools
        upstreams = [u for pool in pools for u in pool.get(request.service, ())]
        if not upstreams or any(self._may_arrive(u, request, now) for u in upstreams):
            return None
        return self._refuse_body(upstreams, request, now)

    def _refuse_body(
        self, upstreams: list[UpstreamView], request: PlacementRequest, now: float
    ) -> Refusal:
        seconds = min(self._estimate_body_time(u, request, now) for u in upstreams)
        detail = f"the body takes {seconds:.2f} s to arrive and be served"
        # Enough of the bodies on their way will have arrived by then.
        retry_at = now + min(self._estimate_excess(u, request, now) for u in upstreams)
        return Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail, retry_at)

    def _may_arrive(
        self, upstream: UpstreamView, request: PlacementRequest, now: float
    ) -> bool:
        return self._estimate_excess(upstream, request, now) <= 0

    def _estimate_excess(
        self, upstream: UpstreamView, request: PlacementRequest, now: float
    ) -> float:
        """Return the seconds by which the wait for an upstream is too long."""
        seconds = self._estimate_body_time(upstream, request, now)
        excess = -math.inf
        if not may_arrive(seconds, request.deadline, now):
            excess = now + seconds - request.deadline
        if upstream.candidate.host_id == self._host_id:
            return excess
        # The receiving host decides by the same bound.
        needed = request.body_bytes / upstream.link.bytes_per_second
        needed += self._estimate_service(upstream, request, now)
        latest_begin = compute_latest_begin(
            needed, request.deadline, request.target_deadline, now
        )
        return max(excess, max(upstream.link.busy_until, now) - latest_begin)

    def _estimate_service(
        self, upstream: UpstreamView, request: PlacementRequest, now: float
    ) -> float:
        baseline = self._baselines.get(request.service, request.rank) or 0.0
        return baseline * upstream.estimate_relative_latency(request.rank, now)

    def _estimate_body_time(
        self, upstream: UpstreamView, request: PlacementRequest, now: float
    ) -> float:
        """Return the seconds until a request with a large body has been served."""
        baseline = self._baselines.get(request.service, request.rank) or 0.0
        limit = upstream.estimate_limit(now)
        queued = max(0.0, upstream.estimate_occupancy(request.rank, now) + 1 - limit)
        relative = upstream.estimate_relative_latency(request.rank, now)
        # Requests that are queued now are served during the transfer.
        wait = baseline * relative * queued / limit
        transfer = self._estimate_transfer(upstream, request, now)
        return max(transfer, wait) + baseline * relative

    @staticmethod
    def _list_others(
        pools: dict[str, list[UpstreamView]],
        service: str,
        excluded: frozenset[UpstreamKey],
    ) -> list[UpstreamView]:
        """Return the upstreams of a service without the excluded ones."""
        pool = pools.get(service, [])
        if not excluded:
            return pool
        return [upstream for upstream in pool if upstream.key not in excluded]

    def _sample(self, pool: list[UpstreamView], count: int) -> list[UpstreamView]:
        """Return up to ``count`` random upstreams of a pool."""
        if len(pool) > count:
            return self._random.sample(pool, count)
        return list(pool)

    def start(
        self, candidate: Candidate, rank: str, now: float, *, body_bytes: int = 0
    ) -> PlacedAttempt:
        """Record a request sent to an upstream, and the size of a large body."""
        key = candidate.key
        upstream = self._upstream_states.get(key) or UpstreamView(key, candidate, now)
        upstream.in_flight += 1
        if candidate.host_id == self._host_id:
            body_bytes = 0
        if body_bytes:
            upstream.link.add(body_bytes, now)
            self._link.add(body_bytes, now)
        return PlacedAttempt(upstream, rank, now, body_bytes)

    def finish(
        self,
        attempt: PlacedAttempt,
        now: float,
        refusal: Refusal | None,
        *,
        status: int = 0,
    ) -> None:
        """Record the outcome; without a refusal it is a response with ``status``."""
        upstream = attempt.upstream_state
        upstream.in_flight -= 1
        if attempt.body_bytes and _is_refused_body(refusal):
            self._link.remove(attempt.body_bytes)
        if refusal is None:
            failed = is_server_error(status)
        elif refusal.kind in NEUTRAL_KINDS:
            return
        elif refusal.kind in CONCLUSIVE_KINDS:
            upstream.failure_rate, upstream.failure_rate_at = 1.0, now
            return
        else:
            failed = True
        current = upstream.estimate_failure_rate(now)
        upstream.failure_rate = current + FAILURE_SMOOTHING * (failed - current)
        upstream.failure_rate_at = now

    def record_load_report(
        self, candidate: Candidate, rank: str, load: LoadReport, now: float
    ) -> None:
        """Record the load that a host reported with a response or a refusal."""
        upstream = self._upstream_states.get(candidate.key)
        if upstream is None:
            return
        # The request that this report belongs to still counts as in flight.
        own_in_flight = max(0, upstream.in_flight - 1)
        upstream.other_in_flight = max(0.0, load.running - own_in_flight)
        upstream.waiting[rank] = max(
            0, load.waiting - max(0, own_in_flight - load.running)
        )
        upstream.reported_at = now
        upstream.limit = load.slots
        if load.link_wait is not None:
            # The bodies of all senders, this one included.
            upstream.link.busy_until = now + load.link_wait
        service = upstream.candidate.service
        if load.times is not None:
            baseline = self._baselines.update(service, rank, load.times.current)
            upstream.speed.record(rank, load.times, baseline, now)
        elif load.held_ms is not None:
            self._record_time(upstream, rank, load.held_ms / 1000, now)

    def _record_time(
        self, upstream: UpstreamView, rank: str, service_time: float, now: float
    ) -> None:
        service = upstream.candidate.service
        baseline = self._baselines.update(service, rank, service_time)
        ratio = (
            min(service_time / baseline, MAX_RELATIVE_LATENCY) if baseline > 0 else 1.0
        )
        upstream.relative_latency += LATENCY_SMOOTHING * (
            ratio - upstream.relative_latency
        )
        upstream.relative_latency_at = now

    def _pick(
        self, upstreams: list[UpstreamView], request: PlacementRequest, now: float
    ) -> UpstreamView:
        baseline, target = self._get_baseline_and_target(request, now)
        costs = [
            self._compute_cost(upstream, request, now, target, baseline)
            for upstream in upstreams
        ]
        bound = min(costs) + TIE_COST
        tied = [u for cost, u in zip(costs, upstreams) if cost <= bound]
        return tied[0] if len(tied) == 1 else self._random.choice(tied)

    def _get_baseline_and_target(
        self, request: PlacementRequest, now: float
    ) -> tuple[float, float]:
        """Return the usual service time and the remaining time as a multiple of it."""
        baseline = self._baselines.get(request.service, request.rank) or 0.0
        target = 0.0
        if baseline and request.target_deadline < math.inf:
            target = max(0.0, request.target_deadline - now) / baseline
        return baseline, target

    def _compute_cost(
        self,
        upstream: UpstreamView,
        request: PlacementRequest,
        now: float,
        target: float,
        baseline: float,
    ) -> float:
        """Return the expected response time, in multiples of the baseline.

        ``target`` is the remaining time to the target in the same unit, 0 if there is
        none.
        """
        limit = upstream.estimate_limit(now)
        occupancy = upstream.estimate_occupancy(request.rank, now)
        queued = max(0.0, occupancy + 1 - limit)
        relative_latency = upstream.estimate_relative_latency(request.rank, now)
        cost = relative_latency * (1 + queued / limit)
        if request.body_bytes and upstream.candidate.host_id != self._host_id:
            cost += BODY_TRANSFER_COST
        if request.body_bytes and baseline:
            cost += self._estimate_transfer(upstream, request, now) / baseline
        if target and cost * TARGET_MARGIN > target:
            cost += MISSED_TARGET_COST * min(cost * TARGET_MARGIN / target - 1, 1.0)
        cost += relative_latency * OCCUPANCY_COST * min(occupancy / limit, 1.0)
        cost += FAILURE_COST * upstream.estimate_failure_rate(now)
        if upstream.candidate.leaving:
            cost += LEAVING_HOST_COST
        is_full = occupancy >= limit
        if is_full and not request.bulky:
            cost += FULL_HOST_COST
        if upstream.candidate.failure_domain != self._failure_domain:
            cost += compute_remote_cost(request, target, is_full=is_full)
        return cost

    def _estimate_transfer(
        self, upstream: UpstreamView, request: PlacementRequest, now: float
    ) -> float:
        """Return the seconds that the transfer of a large body takes."""
        if upstream.candidate.host_id == self._host_id:
            return 0.0
        return estimate_transfer(request.body_bytes, self._link, upstream.link, now)


def _has_free_leaving_upstream(
    upstreams: list[UpstreamView], rank: str, now: float
) -> bool:
    """Return whether an upstream that is about to leave has free slots."""
    return any(
        upstream.candidate.leaving and not upstream.is_full(rank, now)
        for upstream in upstreams
    )


def compute_remote_cost(
    request: PlacementRequest, target: float, *, is_full: bool
) -> float:
    """Return the cost of leaving the failure domain, for the bytes between domains."""
    if request.bulky or request.body_bytes:
        return BULKY_REMOTE_COST
    if is_full:
        return TARGET_QUEUED_REMOTE_COST if target else QUEUED_REMOTE_COST
    if not target:
        return REMOTE_COST
    return min(max(REMOTE_TARGET_FRACTION * target, REMOTE_COST), MAX_REMOTE_COST)


def _is_refused_body(refusal: Refusal | None) -> bool:
    """Return whether a request was refused, most likely before its body was sent."""
    return refusal is not None and refusal.ran is ExecutionStatus.NO
