"""Configuration resources and the immutable snapshot that holds them."""

from __future__ import annotations

import hashlib
import json
from collections import defaultdict
from dataclasses import dataclass, field
from functools import cached_property
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

EMPTY_DIGEST = b""
ANY_METHOD = ("*",)
# Attempts of a request where the configuration sets no bound of its own.
DEFAULT_MAX_ATTEMPTS = 3


class ResourceKey(NamedTuple):
    """Identify a resource: its kind, the service that owns it, its name."""

    kind: str
    service: str
    name: str


CLIENT_LIMITS_KEY = ResourceKey("client_limits", "", "")


@dataclass(frozen=True)
class Service:
    """Describe a service; ``mode`` is ``observe`` or ``enforce``."""

    name: str
    mode: str = "enforce"

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("service", self.name, self.name)


@dataclass(frozen=True)
class Pool:
    """Describe a set of upstreams that announce the same service.

    ``health_path`` is where an upstream tells that it may be used, if it does.
    """

    name: str
    service: str
    health_path: str = ""

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("pool", self.service, self.name)


@dataclass(frozen=True)
class Rank:
    """Describe a rank of work.

    ``order`` is served lowest first, ``target_ms`` is the answer time aimed at,
    ``worth`` weighs a request answered in time, and ``share`` is the fraction
    of slots (0 to 1) that the rank keeps in a flood.
    """

    name: str
    service: str
    order: int
    target_ms: int
    worth: float
    share: float

    def __post_init__(self) -> None:
        # A whole number would change its digest on the way through a message.
        object.__setattr__(self, "worth", float(self.worth))
        object.__setattr__(self, "share", float(self.share))

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("rank", self.service, self.name)


@dataclass(frozen=True)
class WeightedPool:
    """Name a pool and its part of the requests of a split route."""

    pool: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Map a path prefix and methods to a pool and a rank.

    A route with a ``host`` serves the requests for that host alone, of every method
    if ``methods`` is ``ANY_METHOD``. With a ``split``, requests are divided between
    its pools by weight, and ``pool`` is the first of them. ``bulky`` marks large
    answers, ``max_attempts`` bounds the upstreams that one request is sent to.
    """

    name: str
    service: str
    path: str
    methods: tuple[str, ...]
    pool: str
    rank: str
    timeout_ms: int
    idempotent: bool
    host: str = ""
    split: tuple[WeightedPool, ...] = ()
    bulky: bool = False
    max_attempts: int = DEFAULT_MAX_ATTEMPTS

    def __post_init__(self) -> None:
        object.__setattr__(self, "methods", tuple(self.methods))
        object.__setattr__(self, "split", tuple(self.split))

    def list_pools(self) -> tuple[str, ...]:
        """Return the names of the pools that requests may go to."""
        return tuple(part.pool for part in self.split) or (self.pool,)

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("route", self.service, self.name)


@dataclass(frozen=True)
class ClientLimits:
    """Bound what callers may send and how long they may take; one a configuration.

    Sizes are in bytes, times in milliseconds.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int

    @property
    def key(self) -> ResourceKey:
        return CLIENT_LIMITS_KEY


Resource = Service | Pool | Rank | Route | ClientLimits


def _hash_resources(resources: Iterable[Resource]) -> bytes:
    rows = [
        [type(resource).__name__, *_list_values(resource)]
        for resource in sorted(resources, key=_get_key)
    ]
    text = json.dumps(rows, separators=(",", ":"))
    return hashlib.sha256(text.encode()).digest()


def _list_values(resource: Resource) -> list:
    if isinstance(resource, Route):
        parts = [[part.pool, part.weight] for part in resource.split]
        return list({**vars(resource), "split": parts}.values())
    return list(vars(resource).values())


def _get_key(resource: Resource) -> ResourceKey:
    return resource.key


def list_differing(
    mine: Mapping[ResourceKey, Resource], others: Mapping[ResourceKey, Resource]
) -> Iterator[Resource]:
    """Yield what is not the same in ``others``."""
    for key, resource in mine.items():
        other = others.get(key)
        if other is not resource and other != resource:
            yield resource


@dataclass(frozen=True)
class SnapshotDifference:
    """Hold the resources of two snapshots that are not the same in both."""

    before: tuple[Resource, ...]
    after: tuple[Resource, ...]


@dataclass(frozen=True)
class Snapshot:
    """Hold every resource of one configuration version.

    The digest covers one digest for each service, so that a change costs the
    services it touches and not the whole configuration. Digests are computed when
    they are first asked for: a daemon that takes its configuration whole from its
    source may never need them.
    """

    version: int
    resources: Mapping[ResourceKey, Resource]
    inherited_digests: Mapping[str, bytes] = field(
        default_factory=dict, repr=False, compare=False
    )

    @classmethod
    def build(
        cls,
        version: int,
        resources: Mapping[ResourceKey, Resource],
        *,
        base: Snapshot | None = None,
        touched_services: Iterable[str] = (),
    ) -> Snapshot:
        """Return a snapshot.

        With a ``base``, the digests of all services but ``touched_services`` are taken
        over from it, if it has any.
        """
        inherited: dict[str, bytes] = {}
        if base is not None and base.has_digests:
            inherited = dict(base.service_digests)
            for name in touched_services:
                inherited.pop(name, None)
        return cls(
            version, MappingProxyType(dict(resources)), MappingProxyType(inherited)
        )

    @property
    def has_digests(self) -> bool:
        """Tell whether the digests have been computed."""
        return "service_digests" in vars(self)

    @cached_property
    def service_digests(self) -> Mapping[str, bytes]:
        """Return the digest of each service that owns a resource."""
        groups: dict[str, list[Resource]] = defaultdict(list)
        for key, resource in self.resources.items():
            if key.service not in self.inherited_digests:
                groups[key.service].append(resource)
        digests = {name: _hash_resources(owned) for name, owned in groups.items()}
        return MappingProxyType({**self.inherited_digests, **digests})

    @cached_property
    def digest(self) -> bytes:
        """Return the digest of the version and all its resources."""
        if not self.version:
            return EMPTY_DIGEST
        total = hashlib.sha256(self.version.to_bytes(8, "big"))
        for name in sorted(self.service_digests):
            total.update(name.encode())
            total.update(self.service_digests[name])
        return total.digest()

    def compare(self, base: Snapshot) -> SnapshotDifference:
        """Return what differs from ``base``."""
        return SnapshotDifference(
            tuple(list_differing(base.resources, self.resources)),
            tuple(list_differing(self.resources, base.resources)),
        )

    def get_service(self, name: str) -> Service | None:
        return self.resources.get(ResourceKey("service", name, name))

    def list_changed_services(self, base: Snapshot) -> set[str]:
        """Return the services that differ from ``base``, removed ones included."""
        mine, others = self.service_digests, base.service_digests
        changed = {name for name in mine if others.get(name) != mine[name]}
        changed.update(name for name in others if name not in mine)
        return changed

    def list_owned(self, services: set[str]) -> list[Resource]:
        """Return the resources of some services."""
        return [r for key, r in self.resources.items() if key.service in services]

    def list_kind(self, kind: str) -> list[Resource]:
        return [r for key, r in self.resources.items() if key.kind == kind]


EMPTY_SNAPSHOT = Snapshot(0, MappingProxyType({}))
