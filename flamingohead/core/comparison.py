"""Comparison of a service's configuration with what the old scripts made."""

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
    """Describe a route as the old scripts made it."""

    path: str
    methods: tuple[str, ...]
    pool: str


@dataclass(frozen=True)
class LegacyState:
    """Hold what the old scripts made for one service; upstreams by name."""

    service: str
    routes: tuple[LegacyRoute, ...]
    upstreams: tuple[str, ...]


@dataclass(frozen=True)
class LegacyDifference:
    """Name a route or an upstream on which the two sides differ."""

    subject: str
    here: str
    there: str

    def __str__(self) -> str:
        return f"{self.subject}: here {self.here}, old scripts {self.there}"


def compare_legacy(
    snapshot: Snapshot, members: Iterable[Member], legacy: LegacyState
) -> list[LegacyDifference]:
    """Return the differences between this system and the old scripts."""
    differences = _compare_routes(snapshot, legacy)
    differences += _compare_upstreams(members, legacy)
    return differences[:MAX_DIFFERENCES]


def _compare_routes(snapshot: Snapshot, legacy: LegacyState) -> list[LegacyDifference]:
    here = {
        (method, route.path): route.pool
        for route in snapshot.list_kind("route")
        if route.service == legacy.service
        for method in route.methods
    }
    there = {
        (method, route.path): route.pool
        for route in legacy.routes
        for method in route.methods
    }
    differences = []
    for method, path in sorted(here.keys() | there.keys()):
        own = here.get((method, path), "absent")
        other = there.get((method, path), "absent")
        if own != other:
            subject = f"route {method} {path}"
            differences.append(LegacyDifference(subject, own, other))
    return differences


def _compare_upstreams(
    members: Iterable[Member], legacy: LegacyState
) -> list[LegacyDifference]:
    here = {
        upstream.name
        for member in members
        if member.is_usable
        for upstream in member.upstreams
        if upstream.service == legacy.service
        and upstream.status is UpstreamStatus.READY
    }
    there = set(legacy.upstreams)
    return [
        LegacyDifference(
            f"upstream {name}",
            "ready" if name in here else "absent",
            "ready" if name in there else "absent",
        )
        for name in sorted(here ^ there)
    ]
