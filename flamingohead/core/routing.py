"""Route lookup compiled from one snapshot."""

from __future__ import annotations

import copy
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import (
    ANY_METHOD,
    CLIENT_LIMITS_KEY,
    Pool,
    Rank,
    Route,
)

if TYPE_CHECKING:
    from flamingohead.core.resources import (
        ClientLimits,
        Resource,
        Service,
        Snapshot,
    )

# Host, method and path prefix; the host is empty for routes of every host.
RouteMatch = tuple[str, str, str]


@dataclass(frozen=True)
class ResolvedRoute:
    """Join a route with the service, pools and rank it names.

    ``pool`` is the first of the pools; a split route has several.
    """

    route: Route
    service: Service
    pool: Pool
    rank: Rank
    pools: tuple[Pool, ...] = ()


class RouteTable:
    """Match requests by longest path prefix, cut at ``/``."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._routes: dict[RouteMatch, ResolvedRoute] = {}
        self._ranks: dict[str, tuple[Rank, ...]] = {}
        self._pools: dict[str, Pool] = {}
        self._add_resources(list(snapshot.resources.values()))

    @property
    def version(self) -> int:
        return self.snapshot.version

    def build_next(self, snapshot: Snapshot) -> RouteTable:
        """Return the table of another snapshot; this one stays as it is.

        Only the services that differ are compiled again, unless a pool was added,
        moved or removed, which may concern the routes of any service.
        """
        changed = snapshot.list_changed_services(self.snapshot)
        before = self.snapshot.list_owned(changed)
        after = snapshot.list_owned(changed)
        if _select_pools(before) != _select_pools(after):
            return RouteTable(snapshot)
        table = copy.copy(self)
        table.snapshot = snapshot
        table._routes = dict(self._routes)
        table._ranks = {n: r for n, r in self._ranks.items() if n not in changed}
        table._remove_routes(before)
        table._add_resources(after)
        return table

    def _add_resources(self, resources: list[Resource]) -> None:
        ranks: dict[str, dict[str, Rank]] = defaultdict(dict)
        for resource in resources:
            if isinstance(resource, Pool):
                self._pools[resource.name] = resource
            elif isinstance(resource, Rank):
                ranks[resource.service][resource.name] = resource
        for service, owned in ranks.items():
            ordered = sorted(owned.values(), key=lambda rank: (rank.order, rank.name))
            self._ranks[service] = tuple(ordered)
        for route in resources:
            if isinstance(route, Route):
                self._add_route(route, ranks[route.service][route.rank])

    def _add_route(self, route: Route, rank: Rank) -> None:
        service = self.snapshot.get_service(route.service)
        pools = tuple(self._pools[name] for name in route.list_pools())
        resolved = ResolvedRoute(route, service, pools[0], rank, pools)
        for match in _list_matches(route):
            self._routes[match] = resolved

    def _remove_routes(self, resources: list[Resource]) -> None:
        for route in resources:
            if isinstance(route, Route):
                for match in _list_matches(route):
                    del self._routes[match]

    @property
    def client_limits(self) -> ClientLimits | None:
        """Return the limits on callers, if the configuration sets any."""
        return self.snapshot.resources.get(CLIENT_LIMITS_KEY)

    def match(self, method: str, path: str, host: str = "") -> ResolvedRoute | Refusal:
        """Return the route for a request; one for its host goes before the others."""
        if self.version == 0:
            return Refusal(ErrorKind.NO_CONFIGURATION, "no configuration is held yet")
        path = path.partition("?")[0]
        if host:
            resolved = self._match_host(method, path, host)
            if resolved is not None:
                return _check_mode(resolved)
        prefix = path.rstrip("/")
        while True:
            resolved = self._routes.get(("", method, prefix))
            if resolved is not None:
                return _check_mode(resolved)
            if not prefix:
                return Refusal(ErrorKind.NO_ROUTE, f"no route for {method} {path!r}")
            prefix = prefix.rpartition("/")[0]

    def _match_host(self, method: str, path: str, host: str) -> ResolvedRoute | None:
        """Return the route of a host whose longest prefix begins the path."""
        end = path.rfind("/")
        while end >= 0:
            prefix = path[:end]
            for name in (ANY_METHOD[0], method):
                resolved = self._routes.get((host, name, prefix))
                if resolved is not None:
                    return resolved
            end = path.rfind("/", 0, end)
        return None

    def list_services(self) -> set[str]:
        """Return the services that routes lead to."""
        return {pool.service for route in self._routes.values() for pool in route.pools}

    def get_pool(self, name: str) -> Pool | None:
        """Return a pool by its name."""
        return self._pools.get(name)

    def list_ranks(self, service: str) -> tuple[Rank, ...]:
        """Return the ranks of a service, most urgent first."""
        return self._ranks.get(service, ())


def get_prefix(path: str) -> str:
    """Return the prefix that the path of a route stands for."""
    return path.rstrip("/")


def _list_matches(route: Route) -> list[RouteMatch]:
    prefix = get_prefix(route.path)
    return [(route.host, method, prefix) for method in route.methods]


def _select_pools(resources: list[Resource]) -> set[Pool]:
    return {resource for resource in resources if isinstance(resource, Pool)}


def _check_mode(resolved: ResolvedRoute) -> ResolvedRoute | Refusal:
    if resolved.service.mode == "enforce":
        return resolved
    detail = f"service {resolved.service.name!r} is in observe"
    return Refusal(ErrorKind.SERVICE_OBSERVED, detail)
