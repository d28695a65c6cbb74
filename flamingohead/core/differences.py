"""Human-readable differences between two configurations."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from flamingohead.core.changes import Change
    from flamingohead.core.resources import Resource, ResourceKey


@dataclass(frozen=True)
class FieldDifference:
    """Describe the change of one field: its values before and after."""

    field: str
    before: str
    after: str


@dataclass(frozen=True)
class Difference:
    """Describe the change of one resource; it is added, changed or removed."""

    action: str
    kind: str
    service: str
    name: str
    fields: tuple[FieldDifference, ...] = ()

    def __str__(self) -> str:
        text = f"{self.action} {self.kind} {self.service}/{self.name}"
        for field in self.fields:
            text += f" {field.field}: {field.before} -> {field.after}"
        return text


def describe_change(
    base: Mapping[ResourceKey, Resource], change: Change
) -> list[Difference]:
    """Return one difference per resource that the change affects."""
    differences = [
        Difference("removed", key.kind, key.service, key.name)
        for key in change.removals
        if key in base
    ]
    for resource in change.upserts:
        differences.append(_describe_upsert(base.get(resource.key), resource))
    return sorted(differences, key=lambda d: (d.service, d.kind, d.name))


def _describe_upsert(before: Resource | None, after: Resource) -> Difference:
    key = after.key
    if before is None:
        return Difference("added", key.kind, key.service, key.name)
    fields = tuple(_compare_fields(asdict(before), asdict(after)))
    return Difference("changed", key.kind, key.service, key.name, fields)


def _compare_fields(before: dict, after: dict) -> Iterable[FieldDifference]:
    for name, value in after.items():
        if before[name] != value:
            yield FieldDifference(name, str(before[name]), str(value))
