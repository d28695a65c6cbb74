"""Comparison of a service's configuration with that of the legacy scripts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.members import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.members import Member
    from flamingohead.core.resources import Snapshot

MAX_DIFFERENCES = 200


@dataclass(frozen=True)
class LegacyRoute:
    """Describe a route as configured by the legacy scripts."""

    path: str
    methods: tuple[str, ...]
    pool: str


@dataclass(frozen=True)
class LegacyState:
    """Contain the legacy configuration of one service; upstreams are given by name."""

    service: str
    routes: tuple[LegacyRoute, ...]
    upstreams: tuple[str, ...]


@dataclass(frozen=True)
class LegacyDifference:
    """Describe a route or upstream that differs between the two configurations."""

    subject: str
    here: str
    there: str

    def __str__(self) -> str:
        return f"{self.subject}: here {self.here}, old scripts {self.there}"


def compare_legacy(
    snapshot: Snapshot, members: Iterable[Member], legacy: LegacyState
) -> list[LegacyDifference]:
    """Return the differences between this system and the legacy configuration."""
    differences = _compare_routes(snapshot, legacy)
    differences += _compare_upstreams(members, legacy)
    return differences[:MAX_DIFFERENCES]


def _compare_routes(snapshot: Snapshot, legacy: LegacyState) -> list[LegacyDifference]:
    current_pools = {
        (method, route.path): route.pool
        for route in snapshot.list_kind("route")
        if route.service == legacy.service
        for method in route.methods
    }
    legacy_pools = {
        (method, route.path): route.pool
        for route in legacy.routes
        for method in route.methods
    }
    differences = []
    for method, path in sorted(current_pools.keys() | legacy_pools.keys()):
        current_pool = current_pools.get((method, path), "absent")
        legacy_pool = legacy_pools.get((method, path), "absent")
        if current_pool != legacy_pool:
            subject = f"route {method} {path}"
            differences.append(LegacyDifference(subject, current_pool, legacy_pool))
    return differences


def _compare_upstreams(
    members: Iterable[Member], legacy: LegacyState
) -> list[LegacyDifference]:
    current_names = {
        upstream.name
        for member in members
        if member.is_usable
        for upstream in member.upstreams
        if upstream.service == legacy.service
        and upstream.status is UpstreamStatus.READY
    }
    legacy_names = set(legacy.upstreams)
    return [
        LegacyDifference(
            f"upstream {name}",
            "ready" if name in current_names else "absent",
            "ready" if name in legacy_names else "absent",
        )
        for name in sorted(current_names ^ legacy_names)
    ]
