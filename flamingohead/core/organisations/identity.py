"""Identification of the organisation that a request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import Organisation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingohead.core.resources import Route
    from flamingohead.core.routing import RouteTable


def identify_organisation(
    routes: RouteTable,
    route: Route,
    keys: Sequence[bytes],
    *,
    is_nested: bool = False,
    parent_organisation: str | None = None,
) -> Organisation | Refusal | None:
    """Return the organisation of a request with the given keys, or a refusal.

    A nested call without a key belongs to the organisation of its parent, which is
    ``None`` if the parent is not known and empty if it has no organisation. Requests
    without an organisation are ``None``.
    """
    if not routes.requires_keys:
        return None
    organisation = routes.find_organisation(keys[0]) if len(keys) == 1 else None
    if organisation is not None:
        return organisation
    if not keys and parent_organisation is not None:
        return _get_parent_organisation(routes, parent_organisation)
    if route.public:
        return None
    if not keys and is_nested:
        return Refusal(ErrorKind.CALLER_UNKNOWN, "the parent request does not run here")
    detail = "no key" if not keys else "the key belongs to no organisation"
    return Refusal(ErrorKind.API_KEY_UNKNOWN, detail)


def _get_parent_organisation(routes: RouteTable, name: str) -> Organisation | None:
    """Return the organisation of a running request.

    It may have been removed from the configuration since the request started; its
    nested calls still belong to it.
    """
    if not name:
        return None
    return routes.get_organisation(name) or Organisation(name, ())
