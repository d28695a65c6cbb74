"""Decoding of the operators' configuration document into a snapshot."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import (
    ANY_METHOD,
    KEY_REQUIREMENT_KEY,
    ClientLimits,
    KeyRequirement,
    Organisation,
    Pool,
    Rank,
    Route,
    Service,
    Snapshot,
    WeightedPool,
    digest_key,
)
from flamingohead.decoding import DECODING_ERRORS, describe_decoding_error
from flamingohead.platform.durations import DurationText, parse_milliseconds
from flamingohead.platform.messages import Message

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from flamingohead.core.resources import Resource, ResourceKey

    # A message that is decoded independently of the others, with its listener's host
    # and the orders of the organisations.
    Section = tuple[str, Message, tuple[int, ...]]
    Resources = tuple[tuple[ResourceKey, Resource], ...]

# Replaces values in error messages that may contain keys of callers.
HIDDEN = "(hidden)"
SHOWN_DOCUMENT_FIELDS = ("version", "limits", "listeners", "clusters", "tenants")
SHOWN_TENANT_FIELDS = ("name", "priority", "rate-per-s", "burst")
IDEMPOTENT_KINDS = ("safe", "download")

NonEmptyText = Annotated[str, Meta(min_length=1)]
Count = Annotated[int, Meta(ge=0)]
Positive = Annotated[int, Meta(ge=1)]
Amount = Annotated[float, Meta(ge=0)]


class _WeightedService(Message):
    service: str
    weight: Count


class _Match(Message):
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]


class _Action(Message):
    timeout: DurationText
    max_attempts: Positive
    service: str = ""
    split: tuple[_WeightedService, ...] = ()


class _Rule(Message):
    name: NonEmptyText
    kind: Literal["safe", "unsafe", "download", "upload"]
    # Time within which a response earns full credit.
    target_latency: DurationText
    # 0 is the most urgent.
    priority: Count
    match: _Match
    action: _Action
    # Requests need no key.
    public: bool = False


class _Listener(Message):
    # Host name that requests are addressed to, not a machine.
    host: NonEmptyText
    route_rules: tuple[_Rule, ...]


class _Cluster(Message):
    # Also the name of the service, which has this one pool.
    name: NonEmptyText
    health_path: str = ""


class _Limits(Message):
    max_header_bytes: Positive
    max_body_bytes: Positive
    header_timeout: DurationText
    idle_timeout: DurationText


class _Tenant(Message):
    # Sent as a header value.
    name: Annotated[str, Meta(pattern=r"^[^\x00-\x1f\x7f]+$")]
    api_keys: tuple[NonEmptyText, ...]
    # Replaces the priority of the route; 0 is the most urgent.
    priority: Count | None = None
    # Without a rate there is no limit.
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


class _Document(Message):
    version: Positive
    limits: _Limits
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...]
    # Without the field, requests need no key; with an empty list, none is valid.
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType = msgspec.UNSET


_DOCUMENT_DECODER = msgspec.json.Decoder(_Document)


class _VersionOnly(Message):
    version: Positive


_VERSION_DECODER = msgspec.json.Decoder(_VersionOnly)


def decode_version(data: bytes) -> int | None:
    """Return the version of a document that may be invalid, or ``None``."""
    try:
        return _VERSION_DECODER.decode(data).version
    except DECODING_ERRORS:
        return None


def decode_document(data: bytes) -> Snapshot | Refusal:
    """Decode a complete configuration document into a snapshot."""
    return DocumentReader().read(data)


class DocumentReader:
    """Decode a series of configuration documents into snapshots.

    Sections that are unchanged since the previous document reuse its resources, so that
    the cost is proportional to the change.

    The platform has no ranks. Routes of the same priority and target latency share a
    rank in each service that they lead to.
    """

    def __init__(self) -> None:
        self._sections: dict[Section, Resources] = {}

    def read(self, data: bytes) -> Snapshot | Refusal:
        """Decode the next document; a refusal leaves the cached resources unchanged."""
        try:
            document = _DOCUMENT_DECODER.decode(data)
        except DECODING_ERRORS as error:
            detail = describe_decoding_error(error, data, _decode_without_keys)
            return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
        tenants = document.tenants or ()
        repeated = _find_repeated(tenant.name for tenant in tenants)
        if repeated is not None:
            detail = f"tenants: found the name {repeated!r} twice, expected it once"
            return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
        sections = {
            section: self._build_section(section)
            for section in _list_sections(document)
        }
        resources = dict(itertools.chain.from_iterable(sections.values()))
        if document.tenants == ():
            resources[KEY_REQUIREMENT_KEY] = KeyRequirement()
        self._sections = sections
        return Snapshot.build(document.version, resources)

    def _build_section(self, section: Section) -> Resources:
        cached = self._sections.get(section)
        if cached is not None:
            return cached
        host, message, orders = section
        resources = _BUILDERS[type(message)](host, message, orders)
        return tuple((resource.key, resource) for resource in resources)


def _decode_without_keys(data: bytes) -> object:
    """Decode a document for an error message, which must not contain keys of callers.

    Fields of an organisation with other names are hidden too, since the name of the
    field with the keys may be misspelt.
    """
    document = msgspec.json.decode(data)
    if not isinstance(document, dict):
        return HIDDEN
    shown = {n: v for n, v in document.items() if n in SHOWN_DOCUMENT_FIELDS}
    tenants = shown.get("tenants")
    if tenants is not None:
        shown["tenants"] = (
            [_hide_keys(tenant) for tenant in tenants]
            if isinstance(tenants, list)
            else HIDDEN
        )
    return shown


def _hide_keys(tenant: object) -> object:
    if not isinstance(tenant, dict):
        return HIDDEN
    return {
        name: value if name in SHOWN_TENANT_FIELDS else _hide(value)
        for name, value in tenant.items()
    }


def _hide(value: object) -> object:
    """Hide a value; a list keeps its length, so that an item can be named."""
    return [HIDDEN] * len(value) if isinstance(value, list) else HIDDEN


def _list_sections(document: _Document) -> Iterator[Section]:
    """Yield the sections of a document that are decoded independently."""
    for cluster in document.clusters:
        yield "", cluster, ()
    yield "", document.limits, ()
    tenants = document.tenants or ()
    for tenant in tenants:
        yield "", tenant, ()
    priorities = {tenant.priority for tenant in tenants} - {None}
    orders = tuple(sorted(priorities))
    for listener in document.listeners:
        host = listener.host.lower()
        for rule in listener.route_rules:
            yield host, rule, orders


def _find_repeated(names: Iterable[str]) -> str | None:
    """Return a name that occurs more than once, or ``None``."""
    counts = Counter(names)
    return next((name for name, count in counts.items() if count > 1), None)


def _build_cluster(_: str, cluster: _Cluster, __: object) -> tuple[Resource, ...]:
    pool = Pool(cluster.name, cluster.name, cluster.health_path)
    return Service(cluster.name), pool


def _build_organisation(_: str, tenant: _Tenant, __: object) -> tuple[Resource, ...]:
    return (
        Organisation(
            tenant.name,
            tuple(digest_key(key.encode()) for key in tenant.api_keys),
            tenant.priority,
            tenant.rate_per_s,
            tenant.burst,
        ),
    )


def _build_limits(_: str, limits: _Limits, __: object) -> tuple[Resource, ...]:
    return (
        ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            round(parse_milliseconds(limits.header_timeout)),
            round(parse_milliseconds(limits.idle_timeout)),
        ),
    )


def _build_route(
    host: str, rule: _Rule, orders: tuple[int, ...]
) -> tuple[Resource, ...]:
    """Return a route and its ranks in each service that it leads to.

    The route has a rank for its own order and for each order of an organisation.
    """
    action = rule.action
    split = tuple(WeightedPool(p.service, p.weight) for p in action.split)
    service = split[0].pool if split else action.service
    target_ms = parse_milliseconds(rule.target_latency)
    route = Route(
        name=f"{host}{rule.match.prefix} {rule.name}",
        service=service,
        path=rule.match.prefix,
        methods=ANY_METHOD,
        pool=service,
        rank=_name_rank(rule.priority, target_ms),
        timeout_ms=round(parse_milliseconds(action.timeout)),
        idempotent=rule.kind in IDEMPOTENT_KINDS,
        host=host,
        split=split,
        bulky=rule.kind == "download",
        max_attempts=action.max_attempts,
        public=rule.public,
        large_body=rule.kind == "upload",
    )
    ranks = (
        Rank(
            name=_name_rank(order, target_ms),
            service=pool,
            order=order,
            target_ms=round(target_ms),
            worth=1.0,
            share=0.0,
        )
        for pool in route.list_pools()
        for order in sorted({rule.priority, *orders})
    )
    return route, *ranks


def _name_rank(order: int, target_ms: float) -> str:
    return f"{order}-{target_ms:g}ms"


_BUILDERS = {
    _Cluster: _build_cluster,
    _Limits: _build_limits,
    _Rule: _build_route,
    _Tenant: _build_organisation,
}
