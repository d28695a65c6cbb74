"""Overflow of calls to another failure domain that states it has room."""

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
ENTER_OVERLOAD = 0.1
LEAVE_OVERLOAD = 0.02
HIGHEST_REMOTE_LOAD = 0.75
AVOID_HOST_SECONDS = 5.0
AVOID_DOMAIN_SECONDS = 1.0


@dataclass
class _Pressure:
    """Hold the part of local attempts refused for load, and what follows."""

    overloaded: float = 0.0
    is_active: bool = False


class Overflow:
    """Choose upstreams of other failure domains when the local ones can't serve.

    A call that arrives from another daemon runs on that host or nowhere, so that
    a call overflows at most once.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._pressures: dict[str, _Pressure] = {}
        self._avoided_hosts: dict[str, float] = {}
        self._avoided_domains: dict[tuple[str, str], float] = {}
        self._domains: dict[UpstreamKey, str] = {}

    def record_local(self, service: str, refusal: Refusal | None) -> None:
        """Take the outcome of an attempt inside the failure domain."""
        pressure = self._pressures.setdefault(service, _Pressure())
        sample = refusal is not None and refusal.kind in OVERLOAD_KINDS
        pressure.overloaded += SMOOTHING * (sample - pressure.overloaded)
        if pressure.overloaded >= ENTER_OVERLOAD:
            pressure.is_active = True
        elif pressure.overloaded <= LEAVE_OVERLOAD:
            pressure.is_active = False

    def is_active(self, service: str) -> bool:
        """Tell whether calls refused for load may go elsewhere."""
        pressure = self._pressures.get(service)
        return pressure is not None and pressure.is_active

    def choose(
        self,
        service: str,
        summaries: Iterable[RemoteSummary],
        now: float,
        *,
        excluded: frozenset[UpstreamKey] = frozenset(),
    ) -> Candidate | None:
        """Return an upstream of a failure domain with room, weighed by its room."""
        candidates: list[Candidate] = []
        weights: list[float] = []
        for summary in summaries:
            if not self._has_room(summary, service, now):
                continue
            usable = self._list_candidates(summary, now, excluded)
            if usable:
                candidates.append(self._random.choice(usable))
                weights.append(summary.slots * (1 - summary.load))
        if not candidates:
            return None
        chosen = self._random.choices(candidates, weights)[0]
        return chosen

    def record_remote(
        self, candidate: Candidate, refusal: Refusal | None, now: float
    ) -> None:
        """Take the outcome of an attempt in another failure domain."""
        if refusal is None:
            return
        domain = self._domains.get(candidate.key)
        if refusal.kind in OVERLOAD_KINDS and domain is not None:
            until = now + AVOID_DOMAIN_SECONDS * self._random.uniform(0.5, 1.5)
            self._avoided_domains[domain, candidate.service] = until
        else:
            until = now + AVOID_HOST_SECONDS * self._random.uniform(0.5, 1.5)
            self._avoided_hosts[candidate.host_id] = until

    def is_remote(self, candidate: Candidate) -> bool:
        """Tell whether a candidate was chosen here."""
        return candidate.key in self._domains

    def _has_room(self, summary: RemoteSummary, service: str, now: float) -> bool:
        if summary.service != service or now >= summary.expires_at:
            return False
        if summary.slots <= 0 or summary.load > HIGHEST_REMOTE_LOAD:
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
            self._domains[key] = summary.failure_domain
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
