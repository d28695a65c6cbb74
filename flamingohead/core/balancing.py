"""Load balancing over the upstreams that members announce."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.candidates import Candidate, UpstreamKey, list_candidates
from flamingohead.core.decay import compute_decay
from flamingohead.core.ejection import (
    EJECTION_SCORE,
    MAX_EJECTED_FRACTION,
    OVERLOAD_KINDS,
    SERVER_ERROR_SCORE,
    compute_failure_score,
    create_health,
    is_server_error,
)
from flamingohead.core.warmup import RAMP_SECONDS, compute_ramped_share

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.ejection import Health
    from flamingohead.core.errors import Refusal
    from flamingohead.core.members import Member

LATENCY_SMOOTHING = 0.2
BASELINE_SMOOTHING = 0.02
MAX_RELATIVE_LATENCY = 10.0
# Fraction by which the costs of two upstreams must differ for one to be preferred.
TIE_FRACTION = 0.05
OVERLOAD_BACKOFF_SECONDS = 0.1
TRIAL_GRACE_SECONDS = 5.0
MAX_SAMPLE_ATTEMPTS = 4


@dataclass(eq=False)
class _Upstream:
    """Hold the local state of an upstream.

    ``relative_latency`` is the smoothed ratio of its response times to the baseline of
    their ranks.
    """

    candidate: Candidate
    health: Health
    ready_since: float
    in_flight: int = 0
    relative_latency: float = 1.0
    relative_latency_at: float = 0.0
    failure_score: float = 0.0
    avoided_until: float = 0.0

    def compute_cost(self, now: float) -> tuple[bool, float]:
        """Return whether the upstream is failing, and its load times its latency."""
        failing = self.failure_score >= EJECTION_SCORE or now < self.avoided_until
        load = (self.in_flight + 1) / max(self.candidate.slots, 1)
        return failing, load * self.estimate_relative_latency(now)

    def estimate_relative_latency(self, now: float) -> float:
        """Return the relative latency, which decays to 1 without responses."""
        weight = compute_decay(now - self.relative_latency_at)
        return 1.0 + weight * (self.relative_latency - 1.0)


def _is_preferred(upstream: _Upstream, other: _Upstream, now: float) -> bool:
    failing, cost = upstream.compute_cost(now)
    other_failing, other_cost = other.compute_cost(now)
    is_cheaper = cost < (1 - TIE_FRACTION) * other_cost
    return is_cheaper if failing == other_failing else other_failing


@dataclass(frozen=True, eq=False)
class Attempt:
    """Represent a request sent to an upstream; ``started_at`` in seconds."""

    upstream: _Upstream
    rank: str
    started_at: float
    is_trial: bool


@dataclass(frozen=True)
class HealthChange:
    """Report that an upstream was ejected or readmitted."""

    candidate: Candidate
    ejected: bool


@dataclass
class _Pool:
    """Hold the upstreams of a service and the subset that is not ejected."""

    upstreams: list[_Upstream] = field(default_factory=list)
    available: list[_Upstream] = field(default_factory=list)
    next_trial_at: float = float("inf")

    def refresh(self) -> None:
        """Recompute the available upstreams and the time of the next trial."""
        self.available = [u for u in self.upstreams if u.health.is_available()]
        times = [u.health.get_trial_time() for u in self.upstreams]
        self.next_trial_at = min(
            (time for time in times if time is not None), default=float("inf")
        )

    def count_allowed_ejections(self) -> int:
        return int(len(self.upstreams) * MAX_EJECTED_FRACTION)

    def count_ejected(self) -> int:
        return len(self.upstreams) - len(self.available)


@dataclass(frozen=True)
class _Host:
    """Hold the last known state of a member, and its candidates."""

    member: Member
    candidates: tuple[Candidate, ...]


class Balancer:
    """Choose the better of two random upstreams by local in-flight and latency.

    Failing upstreams are ejected until a trial with a real request succeeds. Upstreams
    that have just become ready are sampled less often.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._pools: dict[str, _Pool] = {}
        self._hosts: dict[str, _Host] = {}
        self._upstreams: dict[UpstreamKey, _Upstream] = {}
        self._baselines: dict[tuple[str, str], float] = {}

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the candidates by the ready upstreams of ``members``.

        Only members that changed since the last call are processed again.
        """
        hosts: dict[str, _Host] = {}
        changed_services: set[str] = set()
        for member in members:
            existing = self._hosts.pop(member.host_id, None)
            if existing is None or existing.member is not member:
                existing = self._update_host(existing, member, changed_services, now)
            hosts[member.host_id] = existing
        for host in self._hosts.values():
            self._remove_candidates(host.candidates, changed_services)
        self._hosts = hosts
        for service in changed_services:
            self._update_pool(service)

    def choose(
        self,
        service: str,
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
        idempotent: bool = True,
    ) -> Candidate | None:
        """Return an upstream of ``service``, or ``None`` if there is none.

        A due trial takes precedence. Requests that are not idempotent are used for a
        trial only ``TRIAL_GRACE_SECONDS`` after it was due, so that idempotent ones,
        which may be retried, are preferred.
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        grace = 0.0 if idempotent else TRIAL_GRACE_SECONDS
        if now >= pool.next_trial_at + grace:
            upstream = self._find_trial(pool, now - grace, excluded)
            if upstream is not None:
                return upstream.candidate
        eligible = pool.available
        if excluded:
            eligible = [u for u in eligible if u.candidate.key not in excluded]
        if not eligible:
            return None
        return self._pick(eligible, now).candidate

    def start(self, candidate: Candidate, rank: str, now: float) -> Attempt:
        """Record a request sent to an upstream."""
        upstream = self._upstreams.get(candidate.key)
        if upstream is None:
            upstream = _Upstream(candidate, create_health(self._random), now)
        upstream.in_flight += 1
        is_trial = upstream.health.get_trial_time() is not None
        if is_trial:
            upstream.health.start_trial()
            self._refresh_pool(upstream)
        return Attempt(upstream, rank, now, is_trial)

    def finish(
        self,
        attempt: Attempt,
        now: float,
        refusal: Refusal | None,
        *,
        status: int = 0,
    ) -> HealthChange | None:
        """Record the outcome of a request; ``refusal`` is ``None`` for a response.

        ``status`` is the status code of the response. Returns the change if the
        upstream was ejected or readmitted, otherwise ``None``.
        """
        upstream = attempt.upstream
        upstream.in_flight -= 1
        was_available = upstream.health.is_available()
        if refusal is None:
            self._record_response(attempt, now, status)
        elif refusal.kind in OVERLOAD_KINDS:
            self._record_overload(attempt, refusal, now)
        else:
            self._record_failure(attempt, refusal, now)
        is_available = upstream.health.is_available()
        if is_available == was_available:
            return None
        return HealthChange(upstream.candidate, not is_available)

    def count_ejected(self, service: str) -> int:
        """Return the number of upstreams of a service that are ejected or on trial."""
        pool = self._pools.get(service)
        return 0 if pool is None else pool.count_ejected()

    def list_services(self) -> list[str]:
        """Return the services with at least one ready upstream."""
        return list(self._pools)

    # Choice

    def _pick(self, eligible: list[_Upstream], now: float) -> _Upstream:
        if len(eligible) == 1:
            return eligible[0]
        first = self._sample(eligible, now)
        second = self._random.choice(eligible)
        while second is first:
            second = self._random.choice(eligible)
        if not self._is_admitted_by_ramp(second, now):
            return first
        return second if _is_preferred(second, first, now) else first

    def _sample(self, eligible: list[_Upstream], now: float) -> _Upstream:
        for _ in range(MAX_SAMPLE_ATTEMPTS):
            upstream = self._random.choice(eligible)
            if self._is_admitted_by_ramp(upstream, now):
                break
        return upstream

    def _is_admitted_by_ramp(self, upstream: _Upstream, now: float) -> bool:
        """Return at random whether an upstream may be chosen during its slow start."""
        if now - upstream.ready_since >= RAMP_SECONDS:
            return True
        share = compute_ramped_share(upstream.ready_since, now)
        return self._random.random() < share

    def _find_trial(
        self, pool: _Pool, latest: float, excluded: frozenset[UpstreamKey]
    ) -> _Upstream | None:
        for upstream in pool.upstreams:
            trial_at = upstream.health.get_trial_time()
            if trial_at is None or trial_at > latest:
                continue
            if upstream.candidate.key not in excluded:
                return upstream
        return None

    # Outcomes

    def _record_response(self, attempt: Attempt, now: float, status: int) -> None:
        upstream = attempt.upstream
        if is_server_error(status):
            self._record_score(attempt, SERVER_ERROR_SCORE, now)
            return
        self._record_time(attempt, now)
        if attempt.is_trial:
            self._readmit(upstream, now)
        elif upstream.health.is_available():
            upstream.failure_score = 0.0

    def _record_time(self, attempt: Attempt, now: float) -> None:
        upstream, elapsed = attempt.upstream, now - attempt.started_at
        key = upstream.candidate.service, attempt.rank
        baseline = self._baselines.get(key, elapsed)
        baseline += BASELINE_SMOOTHING * (elapsed - baseline)
        self._baselines[key] = baseline
        ratio = min(elapsed / baseline, MAX_RELATIVE_LATENCY) if baseline > 0 else 1.0
        latency = upstream.estimate_relative_latency(now)
        upstream.relative_latency = latency + LATENCY_SMOOTHING * (ratio - latency)
        upstream.relative_latency_at = now

    def _record_overload(self, attempt: Attempt, refusal: Refusal, now: float) -> None:
        upstream = attempt.upstream
        upstream.avoided_until = now + OVERLOAD_BACKOFF_SECONDS
        if refusal.retry_at is not None:
            upstream.avoided_until = min(upstream.avoided_until, refusal.retry_at)
        if attempt.is_trial:
            self._readmit(upstream, now)

    def _record_failure(self, attempt: Attempt, refusal: Refusal, now: float) -> None:
        key = attempt.upstream.candidate.service, attempt.rank
        elapsed = now - attempt.started_at
        baseline = self._baselines.get(key, 0.0)
        score = compute_failure_score(refusal, elapsed=elapsed, baseline=baseline)
        self._record_score(attempt, score, now)

    def _record_score(self, attempt: Attempt, score: float, now: float) -> None:
        upstream = attempt.upstream
        if attempt.is_trial:
            if score:
                upstream.health.fail_trial(now)
            else:
                upstream.health.abandon_trial(now)
            self._refresh_pool(upstream)
        elif score and attempt.started_at >= upstream.ready_since:
            upstream.failure_score += score
            if upstream.failure_score >= EJECTION_SCORE:
                self._eject(upstream, now)

    def _eject(self, upstream: _Upstream, now: float) -> None:
        pool = self._pools.get(upstream.candidate.service)
        if pool is None or not upstream.health.is_available():
            return
        if pool.count_ejected() < pool.count_allowed_ejections():
            upstream.health.eject(now)
            pool.refresh()

    def _readmit(self, upstream: _Upstream, now: float) -> None:
        upstream.health.pass_trial()
        upstream.failure_score = 0.0
        upstream.ready_since = now
        self._refresh_pool(upstream)

    def _refresh_pool(self, upstream: _Upstream) -> None:
        pool = self._pools.get(upstream.candidate.service)
        if pool is not None:
            pool.refresh()

    # Members

    def _update_host(
        self,
        existing: _Host | None,
        member: Member,
        changed_services: set[str],
        now: float,
    ) -> _Host:
        candidates = list_candidates(member)
        previous = existing.candidates if existing is not None else ()
        if candidates != previous:
            removed = [c for c in previous if c.key not in {n.key for n in candidates}]
            self._remove_candidates(removed, changed_services)
            for candidate in candidates:
                self._add_candidate(candidate, changed_services, now)
        return _Host(member, candidates)

    def _add_candidate(
        self, candidate: Candidate, changed_services: set[str], now: float
    ) -> None:
        existing = self._upstreams.get(candidate.key)
        if existing is not None and existing.candidate.service == candidate.service:
            existing.candidate = candidate
            return
        if existing is not None:
            self._remove_candidates([existing.candidate], changed_services)
        changed_services.add(candidate.service)
        upstream = _Upstream(candidate, create_health(self._random), now)
        self._upstreams[candidate.key] = upstream
        self._pools.setdefault(candidate.service, _Pool()).upstreams.append(upstream)

    def _remove_candidates(
        self, candidates: Iterable[Candidate], changed_services: set[str]
    ) -> None:
        for candidate in candidates:
            upstream = self._upstreams.pop(candidate.key, None)
            if upstream is None:
                continue
            self._pools[candidate.service].upstreams.remove(upstream)
            changed_services.add(candidate.service)

    def _update_pool(self, service: str) -> None:
        pool = self._pools[service]
        if not pool.upstreams:
            del self._pools[service]
            return
        pool.refresh()
        self._enforce_ejection_limit(pool)

    def _enforce_ejection_limit(self, pool: _Pool) -> None:
        """Readmit upstreams if a pool that has shrunk exceeds the ejection limit."""
        excess = pool.count_ejected() - pool.count_allowed_ejections()
        if excess <= 0:
            return
        ejected_upstreams = [u for u in pool.upstreams if not u.health.is_available()]
        for upstream in ejected_upstreams[:excess]:
            upstream.health.readmit()
        pool.refresh()
