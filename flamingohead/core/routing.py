"""Route lookup compiled from one snapshot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from flamingohead.core.resources import Pool, Rank, Route, Service, Snapshot


@dataclass(frozen=True)
class ResolvedRoute:
    """Join a route with the service, pool and rank it names."""

    route: Route
    service: Service
    pool: Pool
    rank: Rank


class RouteTable:
    """Match requests by longest path prefix, cut at ``/``."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.version = snapshot.version
        self._routes: dict[tuple[str, str], ResolvedRoute] = {}
        self._ranks: dict[str, tuple[Rank, ...]] = {}
        pools = {pool.name: pool for pool in snapshot.list_kind("pool")}
        ranks = {(r.service, r.name): r for r in snapshot.list_kind("rank")}
        for route in snapshot.list_kind("route"):
            resolved = ResolvedRoute(
                route,
                snapshot.get_service(route.service),
                pools[route.pool],
                ranks[route.service, route.rank],
            )
            for method in route.methods:
                self._routes[method, route.path.rstrip("/")] = resolved
        for service in snapshot.list_kind("service"):
            owned = [r for r in ranks.values() if r.service == service.name]
            self._ranks[service.name] = tuple(sorted(owned, key=lambda r: r.order))

    def match(self, method: str, path: str) -> ResolvedRoute | Refusal:
        """Return the route for a request."""
        if self.version == 0:
            return Refusal(ErrorKind.NO_CONFIGURATION, "no configuration is held yet")
        prefix = path.partition("?")[0].rstrip("/")
        while True:
            resolved = self._routes.get((method, prefix))
            if resolved is not None:
                return _check_mode(resolved)
            if not prefix:
                return Refusal(ErrorKind.NO_ROUTE, f"no route for {method} {path!r}")
            prefix = prefix.rpartition("/")[0]

    def list_ranks(self, service: str) -> tuple[Rank, ...]:
        """Return the ranks of a service, most urgent first."""
        return self._ranks.get(service, ())


def _check_mode(resolved: ResolvedRoute) -> ResolvedRoute | Refusal:
    if resolved.service.mode == "enforce":
        return resolved
    detail = f"service {resolved.service.name!r} is in observe"
    return Refusal(ErrorKind.SERVICE_OBSERVED, detail)
