"""Changes between configuration snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.resources import Resource, ResourceKey, Snapshot, list_differing

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(frozen=True)
class Change:
    """Contain the resources to insert or update and the keys to remove."""

    upserts: tuple[Resource, ...] = ()
    removals: tuple[ResourceKey, ...] = ()

    @property
    def is_empty(self) -> bool:
        return not self.upserts and not self.removals

    def count_resources(self) -> int:
        """Return the number of resources that are written or removed."""
        return len(self.upserts) + len(self.removals)

    def list_touched_services(self) -> set[str]:
        names = {resource.key.service for resource in self.upserts}
        names.update(key.service for key in self.removals)
        return names


def apply_change(base: Snapshot, change: Change, *, version: int) -> Snapshot:
    """Return the snapshot that results from a change; ``base`` is not modified."""
    resources = dict(base.resources)
    for key in change.removals:
        resources.pop(key, None)
    for resource in change.upserts:
        resources[resource.key] = resource
    return Snapshot.build(
        version,
        resources,
        base=base,
        touched_services=change.list_touched_services(),
    )


def compute_change(base: Snapshot, resources: Iterable[Resource]) -> Change:
    """Return the change that turns ``base`` into exactly ``resources``."""
    return compare_resources(base, {resource.key: resource for resource in resources})


def compare_resources(base: Snapshot, target: Mapping[ResourceKey, Resource]) -> Change:
    """Return the change that turns ``base`` into exactly ``target``."""
    upserts = list_differing(target, base.resources)
    removals = [key for key in base.resources if key not in target]
    return Change(
        tuple(sorted(upserts, key=lambda resource: resource.key)),
        tuple(sorted(removals)),
    )
