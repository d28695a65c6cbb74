"""Validation of configuration snapshots."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.resources import (
    CLIENT_LIMITS_KEY,
    ORGANISATION_KIND,
    KeyRequirement,
    Organisation,
    Pool,
    Rank,
    ResourceKey,
    Route,
)
from flamingohead.core.routing import get_prefix

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.resources import ClientLimits, Resource, Snapshot

MODES = ("observe", "enforce")


@dataclass(frozen=True)
class Problem:
    """Identify the resource and field that make a snapshot invalid, and why."""

    key: ResourceKey
    field: str
    message: str


def validate_snapshot(
    snapshot: Snapshot, *, base: Snapshot | None = None
) -> list[Problem]:
    """Return all problems of a snapshot; it is valid if the list is empty.

    If a valid ``base`` is given, only resources that the differences from it can
    invalidate are checked.
    """
    resources = list(snapshot.resources.values())
    if base is not None:
        resources = _select_affected(snapshot, base)
    problems = _check_services(snapshot, resources)
    problems += _check_pools(snapshot, resources)
    problems += _check_routes(snapshot, resources)
    problems += _check_ranks(resources)
    problems += _check_organisations(snapshot, resources)
    return problems


def _select_affected(snapshot: Snapshot, base: Snapshot) -> list[Resource]:
    """Return the resources whose validity may differ from that in ``base``."""
    difference = snapshot.compare(base)
    removed = [r for r in difference.before if r.key not in snapshot.resources]
    if all(isinstance(resource, Route) for resource in removed):
        return _include_all_ranks(snapshot, difference.after)
    changed = snapshot.list_changed_services(base)
    resources = snapshot.list_owned(changed)
    if _collect_pool_names(base.list_owned(changed)) <= _collect_pool_names(resources):
        return resources
    return list(snapshot.resources.values())


def _include_all_ranks(
    snapshot: Snapshot, resources: Iterable[Resource]
) -> list[Resource]:
    """Return ``resources`` and all ranks of each service with a rank among them."""
    affected = {resource.key: resource for resource in resources}
    services = {r.service for r in affected.values() if isinstance(r, Rank)}
    for rank in snapshot.list_kind("rank") if services else ():
        if rank.service in services:
            affected[rank.key] = rank
    return list(affected.values())


def _collect_pool_names(resources: list[Resource]) -> set[str]:
    return {resource.name for resource in resources if isinstance(resource, Pool)}


def _check_services(snapshot: Snapshot, resources: list[Resource]) -> list[Problem]:
    problems = []
    for resource in resources:
        key = resource.key
        if key == CLIENT_LIMITS_KEY:
            problems += _check_limits(resource)
            continue
        if isinstance(resource, Organisation | KeyRequirement):
            continue
        if snapshot.get_service(key.service) is None:
            problems.append(
                Problem(key, "service", f"service {key.service!r} does not exist")
            )
        if key.kind == "service" and resource.mode not in MODES:
            problems.append(
                Problem(key, "mode", f"mode {resource.mode!r} is not one of {MODES}")
            )
    return problems


def _check_limits(limits: ClientLimits) -> list[Problem]:
    return [
        Problem(limits.key, name, f"{name} {value} is not positive")
        for name, value in vars(limits).items()
        if value <= 0
    ]


def _check_pools(snapshot: Snapshot, resources: list[Resource]) -> list[Problem]:
    """Check that no two services have pools with the same name."""
    problems = []
    names = _collect_pool_names(resources)
    owners: dict[str, str] = {}
    for pool in snapshot.list_kind("pool"):
        if pool.name not in names:
            continue
        owner = owners.setdefault(pool.name, pool.service)
        if owner != pool.service:
            message = f"service {owner!r} has a pool {pool.name!r} too"
            problems.append(Problem(pool.key, "name", message))
    return problems


def _check_routes(snapshot: Snapshot, resources: list[Resource]) -> list[Problem]:
    problems = []
    pools = {pool.name for pool in snapshot.list_kind("pool")}
    routes = [resource for resource in resources if isinstance(resource, Route)]
    for route in routes:
        problems += [
            Problem(route.key, "pool", f"pool {pool!r} does not exist")
            for pool in route.list_pools()
            if pool not in pools
        ]
        problems += _check_optional_fields(route)
        if ResourceKey("rank", route.service, route.rank) not in snapshot.resources:
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
    return problems + _check_overlaps(snapshot, routes)


def _check_optional_fields(route: Route) -> list[Problem]:
    """Check the fields that only some routes set."""
    problems = []
    if route.max_attempts < 1:
        message = f"{route.max_attempts} attempts allow no request"
        problems.append(Problem(route.key, "max_attempts", message))
    weights = [part.weight for part in route.split]
    if weights and (min(weights) < 0 or not any(weights)):
        message = f"weights {weights} must not be negative, nor all 0"
        problems.append(Problem(route.key, "split", message))
    return problems


def _check_overlaps(snapshot: Snapshot, routes: list[Route]) -> list[Problem]:
    """Check that no other route matches the same requests as one of ``routes``."""
    problems = []
    prefixes = {(route.host, get_prefix(route.path)) for route in routes}
    matches: dict[tuple[str, str, str], Route] = {}
    for route in snapshot.list_kind("route"):
        prefix = get_prefix(route.path)
        if (route.host, prefix) not in prefixes:
            continue
        for method in route.methods:
            other = matches.setdefault((route.host, prefix, method), route)
            if other is not route:
                message = f"{method} {route.path!r} is taken by route {other.name!r}"
                problems.append(Problem(route.key, "methods", message))
    return problems


def _check_ranks(resources: list[Resource]) -> list[Problem]:
    problems = []
    shares: dict[str, float] = defaultdict(float)
    for rank in (r for r in resources if isinstance(r, Rank)):
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


def _check_organisations(
    snapshot: Snapshot, resources: list[Resource]
) -> list[Problem]:
    """Check the limits of organisations, and that no key belongs to two of them."""
    problems = []
    organisations = [r for r in resources if isinstance(r, Organisation)]
    for organisation in organisations:
        for name in ("rate_per_second", "burst"):
            value = getattr(organisation, name)
            if not 0 <= value < math.inf:
                message = f"{name} {value} is not a number from 0"
                problems.append(Problem(organisation.key, name, message))
    owners: dict[str, Organisation] = {}
    for other in snapshot.list_kind(ORGANISATION_KIND) if organisations else ():
        for digest in other.key_digests:
            owner = owners.setdefault(digest, other)
            if owner is not other:
                message = f"organisation {owner.name!r} has the same key"
                problems.append(Problem(other.key, "key_digests", message))
    return problems
