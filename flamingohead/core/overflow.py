"""Overflow of calls to other failure domains that report free capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.balancing import Candidate
from flamingohead.core.ejection import OVERLOAD_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.balancing import UpstreamKey
    from flamingohead.core.errors import Refusal
    from flamingohead.core.summaries import RemoteSummary

SMOOTHING = 0.05
OVERFLOW_START_RATE = 0.1
OVERFLOW_STOP_RATE = 0.02
MAX_REMOTE_LOAD = 0.75
HOST_BACKOFF_SECONDS = 5.0
DOMAIN_BACKOFF_SECONDS = 1.0


@dataclass
class _OverloadState:
    """Hold the rate of overload refusals and whether overflow is active."""

    overload_rate: float = 0.0
    is_active: bool = False


class Overflow:
    """Choose upstreams of other failure domains when the local ones are overloaded.

    A daemon never forwards a call that it received from another daemon, so a call
    overflows at most once.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._overload_states: dict[str, _OverloadState] = {}
        self._avoided_hosts: dict[str, float] = {}
        self._avoided_domains: dict[tuple[str, str], float] = {}
        self._failure_domains: dict[UpstreamKey, str] = {}

    def record_local_outcome(self, service: str, refusal: Refusal | None) -> None:
        """Record the outcome of an attempt in the local failure domain."""
        state = self._overload_states.setdefault(service, _OverloadState())
        is_overload = refusal is not None and refusal.kind in OVERLOAD_KINDS
        state.overload_rate += SMOOTHING * (is_overload - state.overload_rate)
        if state.overload_rate >= OVERFLOW_START_RATE:
            state.is_active = True
        elif state.overload_rate <= OVERFLOW_STOP_RATE:
            state.is_active = False

    def is_active(self, service: str) -> bool:
        """Return whether calls refused for load may leave the failure domain."""
        state = self._overload_states.get(service)
        return state is not None and state.is_active

    def choose(
        self,
        service: str,
        summaries: Iterable[RemoteSummary],
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
    ) -> Candidate | None:
        """Return an upstream of a remote failure domain, weighted by free capacity."""
        candidates: list[Candidate] = []
        weights: list[float] = []
        for summary in summaries:
            if not self._has_capacity(summary, service, now):
                continue
            usable = self._list_candidates(summary, now, excluded)
            if usable:
                candidates.append(self._random.choice(usable))
                weights.append(summary.slots * (1 - summary.load))
        if not candidates:
            return None
        chosen = self._random.choices(candidates, weights)[0]
        return chosen

    def record_remote_outcome(
        self, candidate: Candidate, refusal: Refusal | None, now: float
    ) -> None:
        """Record the outcome of an attempt in another failure domain."""
        if refusal is None:
            return
        domain = self._failure_domains.get(candidate.key)
        if refusal.kind in OVERLOAD_KINDS and domain is not None:
            avoid_until = now + DOMAIN_BACKOFF_SECONDS * self._random.uniform(0.5, 1.5)
            self._avoided_domains[domain, candidate.service] = avoid_until
        else:
            avoid_until = now + HOST_BACKOFF_SECONDS * self._random.uniform(0.5, 1.5)
            self._avoided_hosts[candidate.host_id] = avoid_until

    def is_remote(self, candidate: Candidate) -> bool:
        """Return whether a candidate is in another failure domain."""
        return candidate.key in self._failure_domains

    def _has_capacity(self, summary: RemoteSummary, service: str, now: float) -> bool:
        if summary.service != service or now >= summary.expires_at:
            return False
        if summary.slots <= 0 or summary.load > MAX_REMOTE_LOAD:
            return False
        key = summary.failure_domain, service
        return now >= self._avoided_domains.get(key, 0.0)

    def _list_candidates(
        self, summary: RemoteSummary, now: float, excluded: frozenset[UpstreamKey]
    ) -> list[Candidate]:
        usable = []
        for relay in summary.relays:
            key = relay.host_id, relay.upstream
            if key in excluded or now < self._avoided_hosts.get(relay.host_id, 0.0):
                continue
            self._failure_domains[key] = summary.failure_domain
            usable.append(
                Candidate(
                    relay.host_id,
                    relay.relay_address,
                    relay.upstream,
                    summary.service,
                    summary.slots,
                )
            )
        return usable
