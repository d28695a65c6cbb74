"""Route lookup in a table compiled from a snapshot."""

from __future__ import annotations

import copy
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import (
    ANY_METHOD,
    CLIENT_LIMITS_KEY,
    KEY_REQUIREMENT_KEY,
    ORGANISATION_KIND,
    KeyRequirement,
    Organisation,
    Pool,
    Rank,
    ResourceKey,
    Route,
    Service,
    digest_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingohead.core.resources import ClientLimits, Resource, Snapshot

# Host, method and path prefix; the host is empty for routes of every host.
RouteMatch = tuple[str, str, str]


@dataclass(frozen=True)
class ResolvedRoute:
    """Hold a route with the service, pools and rank that it refers to.

    ``pool`` is the first of the pools; a split route has several.
    """

    route: Route
    service: Service
    pool: Pool
    rank: Rank
    pools: tuple[Pool, ...] = ()


class RouteTable:
    """Match requests by the longest path prefix that ends at a ``/``."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._routes: dict[RouteMatch, ResolvedRoute] = {}
        self._ranks: dict[str, tuple[Rank, ...]] = {}
        self._pools: dict[str, Pool] = {}
        self._index_organisations()
        self._add_resources(list(snapshot.resources.values()))

    @property
    def version(self) -> int:
        return self.snapshot.version

    def build_next(self, snapshot: Snapshot) -> RouteTable:
        """Return the table of another snapshot; this one is not modified.

        Only routes that differ, or whose service or rank differs, are compiled again,
        unless a pool was added, changed or removed.
        """
        difference = snapshot.compare(self.snapshot)
        resources = (*difference.before, *difference.after)
        if any(isinstance(resource, Pool) for resource in resources):
            return RouteTable(snapshot)
        table = copy.copy(self)
        table.snapshot = snapshot
        table._routes = dict(self._routes)
        table._ranks = dict(self._ranks)
        if any(isinstance(r, Organisation | KeyRequirement) for r in resources):
            table._index_organisations()
        replaced_services = {
            resource.key.service
            for resource in difference.before
            if isinstance(resource, Service | Rank)
        }
        ranked_services = {r.service for r in resources if isinstance(r, Rank)}
        table._remove_routes(
            [*difference.before, *self.snapshot.list_owned(replaced_services)]
        )
        table._add_resources(
            [
                *difference.after,
                *snapshot.list_owned(replaced_services | ranked_services),
            ]
        )
        for service in replaced_services:
            if not any(rank.service == service for rank in snapshot.list_kind("rank")):
                table._ranks.pop(service, None)
        return table

    def _index_organisations(self) -> None:
        """Index the organisations by the digests of their keys.

        Requests to routes that are not public need a key if there are organisations,
        even if none of them has a key left.
        """
        organisations = self.snapshot.list_kind(ORGANISATION_KIND)
        is_required = KEY_REQUIREMENT_KEY in self.snapshot.resources
        self.requires_keys = bool(organisations) or is_required
        self._organisations: dict[str, Organisation] = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def _add_resources(self, resources: Iterable[Resource]) -> None:
        ranks: dict[str, dict[str, Rank]] = defaultdict(dict)
        for resource in resources:
            if isinstance(resource, Pool):
                self._pools[resource.name] = resource
            elif isinstance(resource, Rank):
                ranks[resource.service][resource.name] = resource
        for service, service_ranks in ranks.items():
            ordered = sorted(
                service_ranks.values(), key=lambda rank: (rank.order, rank.name)
            )
            self._ranks[service] = tuple(ordered)
        for route in resources:
            if isinstance(route, Route):
                self._add_route(route)

    def _add_route(self, route: Route) -> None:
        service = self.snapshot.get_service(route.service)
        rank = self.snapshot.resources[ResourceKey("rank", route.service, route.rank)]
        pools = tuple(self._pools[name] for name in route.list_pools())
        resolved = ResolvedRoute(route, service, pools[0], rank, pools)
        for match in _list_matches(route):
            self._routes[match] = resolved

    def _remove_routes(self, resources: Iterable[Resource]) -> None:
        for route in resources:
            if isinstance(route, Route):
                for match in _list_matches(route):
                    self._routes.pop(match, None)

    @property
    def client_limits(self) -> ClientLimits | None:
        """Return the client limits, if the configuration sets any."""
        return self.snapshot.resources.get(CLIENT_LIMITS_KEY)

    def find_organisation(self, key: bytes) -> Organisation | None:
        """Return the organisation that a key belongs to."""
        return self._organisations.get(digest_key(key))

    def get_organisation(self, name: str) -> Organisation | None:
        """Return an organisation by its name."""
        return self.snapshot.resources.get(ResourceKey(ORGANISATION_KIND, "", name))

    def choose_rank(
        self, resolved: ResolvedRoute, organisation: Organisation | None
    ) -> Rank:
        """Return the rank of a request; the order of its organisation has priority."""
        rank = resolved.rank
        if organisation is None or organisation.order in (None, rank.order):
            return rank
        for other in self._ranks[rank.service]:
            if (other.order, other.target_ms) == (organisation.order, rank.target_ms):
                return other
        return rank

    def match(self, method: str, path: str, host: str = "") -> ResolvedRoute | Refusal:
        """Return the route for a request; routes of its host take precedence."""
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
        """Return the route of a host with the longest prefix of the path."""
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
        """Return the services that routes refer to."""
        return {pool.service for route in self._routes.values() for pool in route.pools}

    def get_shortest_timeout(self, service: str) -> float | None:
        """Return the shortest timeout of the routes to a service, in seconds.

        It is ``None`` if there is no route.
        """
        timeouts = (
            route.route.timeout_ms
            for route in self._routes.values()
            if any(pool.service == service for pool in route.pools)
        )
        shortest = min(timeouts, default=None)
        return None if shortest is None else shortest / 1000

    def get_pool(self, name: str) -> Pool | None:
        """Return a pool by its name."""
        return self._pools.get(name)

    def list_ranks(self, service: str) -> tuple[Rank, ...]:
        """Return the ranks of a service, most urgent first."""
        return self._ranks.get(service, ())

    def find_rank(self, service: str, name: str) -> Rank | None:
        """Return a rank of a service by its name, or ``None``."""
        return next((r for r in self.list_ranks(service) if r.name == name), None)


def get_prefix(path: str) -> str:
    """Return the path prefix that a route matches."""
    return path.rstrip("/")


def _list_matches(route: Route) -> list[RouteMatch]:
    prefix = get_prefix(route.path)
    return [(route.host, method, prefix) for method in route.methods]


def _check_mode(resolved: ResolvedRoute) -> ResolvedRoute | Refusal:
    if resolved.service.mode == "enforce":
        return resolved
    detail = f"service {resolved.service.name!r} is in observe"
    return Refusal(ErrorKind.SERVICE_OBSERVED, detail)
