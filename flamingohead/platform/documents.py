"""The configuration document of the platform's operators, as a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import (
    ANY_METHOD,
    ClientLimits,
    Pool,
    Rank,
    Route,
    Service,
    Snapshot,
    WeightedPool,
)
from flamingohead.platform.durations import Milliseconds

if TYPE_CHECKING:
    from flamingohead.core.resources import Resource, ResourceKey

MAX_PROBLEMS_TOLD = 3


class _Message(BaseModel):
    model_config = ConfigDict(
        extra="ignore", alias_generator=lambda name: name.replace("_", "-")
    )


class _Part(_Message):
    service: str
    weight: int = Field(ge=0)


class _Match(_Message):
    prefix: str = Field(pattern=r"^/(.*/)?$")


class _Action(_Message):
    service: str = ""
    split: list[_Part] = []
    timeout: Milliseconds
    max_attempts: int = Field(ge=1)


class _Rule(_Message):
    name: str = Field(min_length=1)
    kind: Literal["safe", "unsafe", "download"]
    # The time within which an answer is worth its full credit.
    target_latency: Milliseconds
    # 0 is the most urgent.
    priority: int = Field(ge=0)
    match: _Match
    action: _Action


class _Listener(_Message):
    host: str = Field(min_length=1)
    route_rules: list[_Rule]


class _Cluster(_Message):
    name: str = Field(min_length=1)
    health_path: str = ""


class _Limits(_Message):
    max_header_bytes: int = Field(ge=1)
    max_body_bytes: int = Field(ge=1)
    header_timeout: Milliseconds
    idle_timeout: Milliseconds


class _Document(_Message):
    version: int = Field(ge=1)
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster]


def decode_document(data: bytes) -> Snapshot | Refusal:
    """Return the snapshot that a whole configuration document describes."""
    try:
        document = _Document.model_validate_json(data)
    except ValidationError as error:
        problems = error.errors()[:MAX_PROBLEMS_TOLD]
        detail = "; ".join(
            f"{'.'.join(map(str, problem['loc']))}: "
            f"found {str(problem['input'])[:60]!r}: {problem['msg']}"
            for problem in problems
        )
        return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
    resources = _DocumentReader(document).resources
    return Snapshot.build(document.version, resources)


class _DocumentReader:
    """Collect the resources of a document.

    The platform knows no ranks: routes of the same priority and target latency share
    one, in each service that they lead to.
    """

    def __init__(self, document: _Document) -> None:
        self.resources: dict[ResourceKey, Resource] = {}
        for cluster in document.clusters:
            self._add(Service(cluster.name))
            self._add(Pool(cluster.name, cluster.name, cluster.health_path))
        limits = document.limits
        self._add(
            ClientLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                round(limits.header_timeout),
                round(limits.idle_timeout),
            )
        )
        for listener in document.listeners:
            for rule in listener.route_rules:
                self._add_route(listener.host.lower(), rule)

    def _add(self, resource: Resource) -> None:
        self.resources[resource.key] = resource

    def _add_route(self, host: str, rule: _Rule) -> None:
        action = rule.action
        split = tuple(WeightedPool(p.service, p.weight) for p in action.split)
        service = split[0].pool if split else action.service
        rank = f"{rule.priority}-{rule.target_latency:g}ms"
        route = Route(
            name=f"{host}{rule.match.prefix} {rule.name}",
            service=service,
            path=rule.match.prefix,
            methods=ANY_METHOD,
            pool=service,
            rank=rank,
            timeout_ms=round(action.timeout),
            idempotent=rule.kind != "unsafe",
            host=host,
            split=split,
            bulky=rule.kind == "download",
            max_attempts=action.max_attempts,
        )
        self._add(route)
        for pool in route.list_pools():
            self._add(
                Rank(
                    name=rank,
                    service=pool,
                    order=rule.priority,
                    target_ms=round(rule.target_latency),
                    worth=1.0,
                    share=0.0,
                )
            )
