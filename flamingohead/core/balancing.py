"""Choice of an upstream among the members that announce one."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingohead.core.candidates import Candidate, UpstreamKey, list_candidates
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

SLOWNESS_SMOOTHING = 0.2
USUAL_SMOOTHING = 0.02
HIGHEST_SLOWNESS = 10.0
OVERLOAD_BACKOFF_SECONDS = 0.1
TRIAL_GRACE_SECONDS = 5.0
SAMPLE_TRIES = 4


@dataclass(eq=False)
class _Upstream:
    """Keep what this daemon has seen of an upstream.

    ``slowness`` is the time of its answers over the usual time of their ranks.
    """

    candidate: Candidate
    health: Health
    ready_since: float
    in_flight: int = 0
    slowness: float = 1.0
    failure_score: float = 0.0
    avoided_until: float = 0.0

    def compute_cost(self, now: float) -> tuple[bool, float]:
        """Return a key that is lower for the better choice."""
        failing = self.failure_score >= EJECTION_SCORE or now < self.avoided_until
        slots = max(self.candidate.slots, 1)
        return failing, (self.in_flight + 1) / slots * self.slowness


@dataclass(frozen=True, eq=False)
class Attempt:
    """Stand for a request sent to an upstream; ``started_at`` in seconds."""

    upstream: _Upstream
    rank: str
    started_at: float
    is_trial: bool


@dataclass(frozen=True)
class HealthChange:
    """Report that an upstream was ejected or taken back."""

    candidate: Candidate
    ejected: bool


@dataclass
class _Pool:
    """Hold the upstreams of one service, and those that are not ejected."""

    upstreams: list[_Upstream] = field(default_factory=list)
    open: list[_Upstream] = field(default_factory=list)
    next_trial_at: float = float("inf")

    def refresh(self) -> None:
        """Work out the open upstreams and the next trial after a change."""
        self.open = [u for u in self.upstreams if u.health.is_open()]
        times = [u.health.get_trial_at() for u in self.upstreams]
        self.next_trial_at = min(
            (time for time in times if time is not None), default=float("inf")
        )

    def count_allowed_ejections(self) -> int:
        return int(len(self.upstreams) * MAX_EJECTED_FRACTION)

    def count_ejected(self) -> int:
        return len(self.upstreams) - len(self.open)


@dataclass(frozen=True)
class _Host:
    """Hold a member as it was last seen, and its candidates."""

    member: Member
    candidates: tuple[Candidate, ...]


class Balancer:
    """Choose between two upstreams drawn at random, by own in-flight and slowness.

    Upstreams that fail are ejected until a trial with a real request; upstreams
    that have just become ready are drawn less often.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._pools: dict[str, _Pool] = {}
        self._hosts: dict[str, _Host] = {}
        self._upstreams: dict[UpstreamKey, _Upstream] = {}
        self._usual_times: dict[tuple[str, str], float] = {}

    def set_members(self, members: Iterable[Member], now: float) -> None:
        """Replace the candidates by the ready upstreams of ``members``.

        Takes time for the members that changed since the last call.
        """
        hosts: dict[str, _Host] = {}
        touched: set[str] = set()
        for member in members:
            known = self._hosts.pop(member.host_id, None)
            if known is None or known.member is not member:
                known = self._update_host(known, member, touched, now)
            hosts[member.host_id] = known
        for host in self._hosts.values():
            self._drop_candidates(host.candidates, touched)
        self._hosts = hosts
        for service in touched:
            self._update_pool(service)

    def choose(
        self,
        service: str,
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
        idempotent: bool = True,
    ) -> Candidate | None:
        """Return an upstream of ``service``, or ``None`` if there is none."""
        pool = self._pools.get(service)
        if pool is None:
            return None
        grace = 0.0 if idempotent else TRIAL_GRACE_SECONDS
        if now >= pool.next_trial_at + grace:
            upstream = self._find_trial(pool, now - grace, excluded)
            if upstream is not None:
                return upstream.candidate
        group = pool.open
        if excluded:
            group = [u for u in group if u.candidate.key not in excluded]
        if not group:
            return None
        return self._pick(group, now).candidate

    def start(self, candidate: Candidate, rank: str, now: float) -> Attempt:
        """Count a request sent to an upstream."""
        upstream = self._upstreams.get(candidate.key)
        if upstream is None:
            upstream = _Upstream(candidate, create_health(self._random), now)
        upstream.in_flight += 1
        is_trial = upstream.health.get_trial_at() is not None
        if is_trial:
            upstream.health.start_trial()
            self._refresh(upstream)
        return Attempt(upstream, rank, now, is_trial)

    def finish(
        self,
        attempt: Attempt,
        now: float,
        refusal: Refusal | None,
        *,
        status: int = 0,
    ) -> HealthChange | None:
        """Take the outcome of a request; ``None`` means that it was answered.

        ``status`` is that of the answer. Returns what became of the upstream, if
        that changed.
        """
        upstream = attempt.upstream
        upstream.in_flight -= 1
        was_open = upstream.health.is_open()
        if refusal is None:
            self._record_answer(attempt, now, status)
        elif refusal.kind in OVERLOAD_KINDS:
            self._record_overload(attempt, refusal, now)
        else:
            self._record_failure(attempt, refusal, now)
        is_open = upstream.health.is_open()
        if is_open == was_open:
            return None
        return HealthChange(upstream.candidate, not is_open)

    def count_ejected(self, service: str) -> int:
        """Return how many upstreams of a service are ejected or on trial."""
        pool = self._pools.get(service)
        return 0 if pool is None else pool.count_ejected()

    def list_services(self) -> list[str]:
        """Return the services with at least one ready upstream."""
        return list(self._pools)

    # Choice

    def _pick(self, group: list[_Upstream], now: float) -> _Upstream:
        if len(group) == 1:
            return group[0]
        first = self._draw(group, now)
        second = self._random.choice(group)
        while second is first:
            second = self._random.choice(group)
        if not self._accept(second, now):
            return first
        return min(first, second, key=lambda upstream: upstream.compute_cost(now))

    def _draw(self, group: list[_Upstream], now: float) -> _Upstream:
        for _ in range(SAMPLE_TRIES):
            upstream = self._random.choice(group)
            if self._accept(upstream, now):
                break
        return upstream

    def _accept(self, upstream: _Upstream, now: float) -> bool:
        """Tell by chance whether a starting upstream may be chosen now."""
        if now - upstream.ready_since >= RAMP_SECONDS:
            return True
        share = compute_ramped_share(upstream.ready_since, now)
        return self._random.random() < share

    def _find_trial(
        self, pool: _Pool, due: float, excluded: frozenset[UpstreamKey]
    ) -> _Upstream | None:
        for upstream in pool.upstreams:
            trial_at = upstream.health.get_trial_at()
            if trial_at is None or trial_at > due:
                continue
            if upstream.candidate.key not in excluded:
                return upstream
        return None

    # Outcomes

    def _record_answer(self, attempt: Attempt, now: float, status: int) -> None:
        upstream = attempt.upstream
        if is_server_error(status):
            self._record_score(attempt, SERVER_ERROR_SCORE, now)
            return
        self._record_time(attempt, now - attempt.started_at)
        if attempt.is_trial:
            self._readmit(upstream, now)
        elif upstream.health.is_open():
            upstream.failure_score = 0.0

    def _record_time(self, attempt: Attempt, held: float) -> None:
        name = attempt.upstream.candidate.service, attempt.rank
        usual = self._usual_times.get(name, held)
        usual += USUAL_SMOOTHING * (held - usual)
        self._usual_times[name] = usual
        ratio = min(held / usual, HIGHEST_SLOWNESS) if usual > 0 else 1.0
        upstream = attempt.upstream
        upstream.slowness += SLOWNESS_SMOOTHING * (ratio - upstream.slowness)

    def _record_overload(self, attempt: Attempt, refusal: Refusal, now: float) -> None:
        upstream = attempt.upstream
        upstream.avoided_until = now + OVERLOAD_BACKOFF_SECONDS
        if refusal.retry_at is not None:
            upstream.avoided_until = min(upstream.avoided_until, refusal.retry_at)
        if attempt.is_trial:
            self._readmit(upstream, now)

    def _record_failure(self, attempt: Attempt, refusal: Refusal, now: float) -> None:
        name = attempt.upstream.candidate.service, attempt.rank
        held = now - attempt.started_at
        usual = self._usual_times.get(name, 0.0)
        score = compute_failure_score(refusal, held=held, usual=usual)
        self._record_score(attempt, score, now)

    def _record_score(self, attempt: Attempt, score: float, now: float) -> None:
        upstream = attempt.upstream
        if attempt.is_trial:
            if score:
                upstream.health.fail_trial(now)
            else:
                upstream.health.abandon_trial(now)
            self._refresh(upstream)
        elif score and attempt.started_at >= upstream.ready_since:
            upstream.failure_score += score
            if upstream.failure_score >= EJECTION_SCORE:
                self._eject(upstream, now)

    def _eject(self, upstream: _Upstream, now: float) -> None:
        pool = self._pools.get(upstream.candidate.service)
        if pool is None or not upstream.health.is_open():
            return
        if pool.count_ejected() < pool.count_allowed_ejections():
            upstream.health.eject(now)
            pool.refresh()

    def _readmit(self, upstream: _Upstream, now: float) -> None:
        upstream.health.pass_trial()
        upstream.failure_score = 0.0
        upstream.ready_since = now
        self._refresh(upstream)

    def _refresh(self, upstream: _Upstream) -> None:
        pool = self._pools.get(upstream.candidate.service)
        if pool is not None:
            pool.refresh()

    # Members

    def _update_host(
        self, known: _Host | None, member: Member, touched: set[str], now: float
    ) -> _Host:
        candidates = list_candidates(member)
        before = known.candidates if known is not None else ()
        if candidates != before:
            gone = [c for c in before if c.key not in {n.key for n in candidates}]
            self._drop_candidates(gone, touched)
            for candidate in candidates:
                self._take_candidate(candidate, touched, now)
        return _Host(member, candidates)

    def _take_candidate(
        self, candidate: Candidate, touched: set[str], now: float
    ) -> None:
        known = self._upstreams.get(candidate.key)
        if known is not None and known.candidate.service == candidate.service:
            known.candidate = candidate
            return
        if known is not None:
            self._drop_candidates([known.candidate], touched)
        touched.add(candidate.service)
        upstream = _Upstream(candidate, create_health(self._random), now)
        self._upstreams[candidate.key] = upstream
        self._pools.setdefault(candidate.service, _Pool()).upstreams.append(upstream)

    def _drop_candidates(
        self, candidates: Iterable[Candidate], touched: set[str]
    ) -> None:
        for candidate in candidates:
            upstream = self._upstreams.pop(candidate.key, None)
            if upstream is None:
                continue
            self._pools[candidate.service].upstreams.remove(upstream)
            touched.add(candidate.service)

    def _update_pool(self, service: str) -> None:
        pool = self._pools[service]
        if not pool.upstreams:
            del self._pools[service]
            return
        pool.refresh()
        self._keep_ejection_limit(pool)

    def _keep_ejection_limit(self, pool: _Pool) -> None:
        """Take upstreams back that a pool grown smaller can't do without."""
        excess = pool.count_ejected() - pool.count_allowed_ejections()
        if excess <= 0:
            return
        closed = [u for u in pool.upstreams if not u.health.is_open()]
        for upstream in closed[:excess]:
            upstream.health.readmit()
        pool.refresh()
