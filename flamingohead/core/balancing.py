"""Choice of an upstream among the members that announce one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.members import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.members import Member

LATENCY_SMOOTHING = 0.2


@dataclass(frozen=True)
class Candidate:
    """Locate an upstream: its host, the host's relay address and its slots."""

    host_id: str
    relay_address: str
    upstream: str
    service: str
    slots: int

    @property
    def key(self) -> tuple[str, str]:
        return self.host_id, self.upstream


@dataclass
class _Load:
    in_flight: int = 0
    latency: float = 0.0


class Balancer:
    """Choose by power of two choices on own in-flight counts and latency."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._candidates: dict[str, list[Candidate]] = {}
        self._loads: dict[tuple[str, str], _Load] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the candidates by the ready upstreams of ``members``."""
        candidates: dict[str, list[Candidate]] = {}
        for member in members:
            if not member.is_usable:
                continue
            for upstream in member.upstreams:
                if upstream.status is not UpstreamStatus.READY:
                    continue
                candidates.setdefault(upstream.service, []).append(
                    Candidate(
                        member.host_id,
                        member.relay_address,
                        upstream.name,
                        upstream.service,
                        upstream.slots,
                    )
                )
        self._candidates = candidates
        known = {c.key for group in candidates.values() for c in group}
        for key in [k for k, load in self._loads.items() if not load.in_flight]:
            if key not in known:
                del self._loads[key]

    def choose(
        self, service: str, *, excluded: frozenset[tuple[str, str]] = frozenset()
    ) -> Candidate | None:
        """Return an upstream of ``service``, or ``None`` if there is none."""
        group = self._candidates.get(service, [])
        if excluded:
            group = [c for c in group if c.key not in excluded]
        if not group:
            return None
        if len(group) == 1:
            return group[0]
        first, second = self._random.sample(group, 2)
        return min(first, second, key=self._compute_cost)

    def start(self, candidate: Candidate) -> None:
        """Count a request sent to an upstream."""
        self._loads.setdefault(candidate.key, _Load()).in_flight += 1

    def finish(self, candidate: Candidate, *, latency: float | None) -> None:
        """Count a request ended; ``latency`` in seconds when it was answered."""
        load = self._loads[candidate.key]
        load.in_flight -= 1
        if latency is not None:
            load.latency += LATENCY_SMOOTHING * (latency - load.latency)

    def _compute_cost(self, candidate: Candidate) -> tuple[float, float]:
        load = self._loads.get(candidate.key)
        if load is None:
            return 0.0, 0.0
        return load.in_flight / max(candidate.slots, 1), load.latency
