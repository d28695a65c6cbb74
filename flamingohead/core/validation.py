"""Whole-snapshot validation."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingohead.core.resources import ResourceKey, Route, Snapshot

MODES = ("observe", "enforce")


@dataclass(frozen=True)
class Problem:
    """Name a resource and its field that make a snapshot unusable, and why."""

    key: ResourceKey
    field: str
    message: str


def validate_snapshot(snapshot: Snapshot) -> list[Problem]:
    """Return every problem of a snapshot; an empty list means it is valid."""
    problems = _check_owners(snapshot)
    problems += _check_routes(snapshot)
    problems += _check_ranks(snapshot)
    return problems


def _check_owners(snapshot: Snapshot) -> list[Problem]:
    problems = []
    for key, resource in snapshot.resources.items():
        if snapshot.get_service(key.service) is None:
            problems.append(
                Problem(key, "service", f"service {key.service!r} does not exist")
            )
        if key.kind == "service" and resource.mode not in MODES:
            problems.append(
                Problem(key, "mode", f"mode {resource.mode!r} is not one of {MODES}")
            )
    return problems


def _check_routes(snapshot: Snapshot) -> list[Problem]:
    problems = []
    pools = {pool.name for pool in snapshot.list_kind("pool")}
    ranks = {(rank.service, rank.name) for rank in snapshot.list_kind("rank")}
    matches: dict[tuple[str, str], Route] = {}
    for route in snapshot.list_kind("route"):
        if route.pool not in pools:
            problems.append(
                Problem(route.key, "pool", f"pool {route.pool!r} does not exist")
            )
        if (route.service, route.rank) not in ranks:
            problems.append(
                Problem(route.key, "rank", f"rank {route.rank!r} does not exist")
            )
        if not route.path.startswith("/"):
            problems.append(
                Problem(
                    route.key, "path", f"path {route.path!r} does not start with '/'"
                )
            )
        if route.timeout_ms <= 0:
            problems.append(
                Problem(
                    route.key,
                    "timeout_ms",
                    f"timeout {route.timeout_ms} ms is not positive",
                )
            )
        for method in route.methods:
            other = matches.setdefault((route.path, method), route)
            if other is not route:
                problems.append(
                    Problem(
                        route.key,
                        "methods",
                        f"{method} {route.path!r} is taken by route {other.name!r}",
                    )
                )
    return problems


def _check_ranks(snapshot: Snapshot) -> list[Problem]:
    problems = []
    shares: dict[str, float] = defaultdict(float)
    for rank in snapshot.list_kind("rank"):
        if not 0 <= rank.share <= 1:
            problems.append(
                Problem(rank.key, "share", f"share {rank.share} is not in 0..1")
            )
        if rank.target_ms <= 0:
            problems.append(
                Problem(
                    rank.key, "target_ms", f"target {rank.target_ms} ms is not positive"
                )
            )
        shares[rank.service] += rank.share
        if shares[rank.service] > 1 + 1e-9:
            total = round(shares[rank.service], 6)
            problems.append(
                Problem(
                    rank.key, "share", f"shares of {rank.service!r} add up to {total}"
                )
            )
    return problems
