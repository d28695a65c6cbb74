"""Configuration resources and immutable configuration snapshots."""

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
# Maximum attempts per request if the configuration does not specify one.
DEFAULT_MAX_ATTEMPTS = 3


class ResourceKey(NamedTuple):
    """Identify a resource by kind, owning service and name."""

    kind: str
    service: str
    name: str


CLIENT_LIMITS_KEY = ResourceKey("client_limits", "", "")
KEY_REQUIREMENT_KEY = ResourceKey("key_requirement", "", "")
ORGANISATION_KIND = "organisation"
# Bytes of a key digest; a longer one would only lengthen messages between daemons.
KEY_DIGEST_BYTES = 16


@dataclass(frozen=True)
class Service:
    """Define a service; ``mode`` is ``observe`` or ``enforce``."""

    name: str
    mode: str = "enforce"

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("service", self.name, self.name)


@dataclass(frozen=True)
class Pool:
    """Define a set of upstreams that announce the same service.

    ``health_path`` is the path of the upstreams' health check, or empty if they have
    none.
    """

    name: str
    service: str
    health_path: str = ""

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("pool", self.service, self.name)


@dataclass(frozen=True)
class Rank:
    """Define a priority class of requests.

    Ranks are served in ascending ``order``. ``target_ms`` is the target response time,
    ``worth`` is the weight of a request answered within it, and ``share`` is the
    fraction of slots (0 to 1) reserved for the rank under overload.
    """

    name: str
    service: str
    order: int
    target_ms: int
    worth: float
    share: float

    def __post_init__(self) -> None:
        # An integer becomes a float when it is encoded in a message and decoded again,
        # which would change the digest.
        object.__setattr__(self, "worth", float(self.worth))
        object.__setattr__(self, "share", float(self.share))

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("rank", self.service, self.name)


@dataclass(frozen=True)
class WeightedPool:
    """Assign a pool its share of the requests of a split route."""

    pool: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Map a path prefix and methods to a pool and a rank.

    A route with a ``host`` matches only requests for that host, and requests of every
    method if ``methods`` is ``ANY_METHOD``. With a ``split``, requests are distributed
    over its pools by weight, and ``pool`` is the first of them. ``bulky`` marks routes
    with large responses, ``large_body`` those with large request bodies.
    ``max_attempts`` limits how many upstreams a request is sent to. Requests to a
    ``public`` route need no key.
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
    public: bool = False
    large_body: bool = False

    def __post_init__(self) -> None:
        object.__setattr__(self, "methods", tuple(self.methods))
        object.__setattr__(self, "split", tuple(self.split))

    def list_pools(self) -> tuple[str, ...]:
        """Return the names of the pools that requests may be sent to."""
        return tuple(part.pool for part in self.split) or (self.pool,)

    @property
    def key(self) -> ResourceKey:
        return ResourceKey("route", self.service, self.name)


@dataclass(frozen=True)
class ClientLimits:
    """Limit the size and duration of requests from callers.

    A configuration has at most one. Sizes are in bytes, times in milliseconds.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int

    @property
    def key(self) -> ResourceKey:
        return CLIENT_LIMITS_KEY


@dataclass(frozen=True)
class Organisation:
    """Define a customer of the operators, identified by its keys.

    Keys are stored as digests only. The ``order`` replaces that of the route's rank,
    if it is set. ``rate_per_second`` and ``burst`` limit the requests of the
    organisation on all daemons together; without a rate there is no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    order: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0

    def __post_init__(self) -> None:
        object.__setattr__(self, "key_digests", tuple(self.key_digests))
        object.__setattr__(self, "rate_per_second", float(self.rate_per_second))
        object.__setattr__(self, "burst", float(self.burst))

    @property
    def key(self) -> ResourceKey:
        return ResourceKey(ORGANISATION_KIND, "", self.name)


@dataclass(frozen=True)
class KeyRequirement:
    """Require keys although the configuration has no organisation.

    Organisations require keys too, so only a configuration without any needs it.
    """

    @property
    def key(self) -> ResourceKey:
        return KEY_REQUIREMENT_KEY


def digest_key(key: bytes) -> str:
    """Return the digest that identifies a key of an organisation."""
    return hashlib.sha256(key).hexdigest()[: 2 * KEY_DIGEST_BYTES]


Resource = Service | Pool | Rank | Route | ClientLimits | Organisation | KeyRequirement


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
    resources: Mapping[ResourceKey, Resource],
    reference: Mapping[ResourceKey, Resource],
) -> Iterator[Resource]:
    """Yield the resources that are absent from ``reference`` or differ there."""
    for key, resource in resources.items():
        counterpart = reference.get(key)
        if counterpart is not resource and counterpart != resource:
            yield resource


@dataclass(frozen=True)
class SnapshotDifference:
    """Contain the resources that differ between two snapshots, as in each of them."""

    before: tuple[Resource, ...]
    after: tuple[Resource, ...]


@dataclass(frozen=True)
class Snapshot:
    """Contain all resources of one configuration version.

    The digest is computed from one digest per service, so that only the services that
    a change affects have to be hashed again, not the whole configuration. Digests are
    computed on first access: a daemon that loads complete configurations from its
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

        If the digests of ``base`` have been computed, those of all services except
        ``touched_services`` are reused.
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
        """Return whether the digests have been computed."""
        return "service_digests" in vars(self)

    @cached_property
    def service_digests(self) -> Mapping[str, bytes]:
        """Return the digest of each service that owns resources, by service name."""
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
        """Return the resources that differ from those of ``base``."""
        return SnapshotDifference(
            tuple(list_differing(base.resources, self.resources)),
            tuple(list_differing(self.resources, base.resources)),
        )

    def get_service(self, name: str) -> Service | None:
        return self.resources.get(ResourceKey("service", name, name))

    def list_changed_services(self, base: Snapshot) -> set[str]:
        """Return the services that differ from ``base``, including removed ones."""
        digests, base_digests = self.service_digests, base.service_digests
        changed = {name for name in digests if base_digests.get(name) != digests[name]}
        changed.update(name for name in base_digests if name not in digests)
        return changed

    def list_owned(self, services: set[str]) -> list[Resource]:
        """Return the resources that the given services own."""
        return [r for key, r in self.resources.items() if key.service in services]

    def list_kind(self, kind: str) -> list[Resource]:
        return [r for key, r in self.resources.items() if key.kind == kind]


EMPTY_SNAPSHOT = Snapshot(0, MappingProxyType({}))
