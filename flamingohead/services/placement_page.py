"""Explanation of where a request would go now, without sending or counting it.

All that it calls leaves the state of the daemon as it is: it asks for the same
decisions as a request does, through read-only methods of the services that make them.
"""

from __future__ import annotations

import json
import math
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.organisations.quotas import Decision
from flamingohead.core.placement import PlacementRequest
from flamingohead.core.placement_description import describe_comparison

if TYPE_CHECKING:
    from flamingohead.core.resources import Organisation
    from flamingohead.core.routing import ResolvedRoute, RouteTable
    from flamingohead.kernel import Kernel

PLACEMENT_PATH = b"/placement"
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
PARAMETERS = frozenset(
    ("host", "path", "method", "organisation", "deadline_ms", "body_bytes")
)
MAX_DIGITS = 12
# Candidates in a response, over all services of the route.
MAX_CANDIDATES = 50
# Upstreams whose costs are computed, over all services of the route. Computing the cost
# of one takes some microseconds, for which the daemon serves nothing else.
MAX_COMPARED = 500
# Services of a split route that are described.
MAX_SERVICES = 8


class PlacementQueryError(ValueError):
    """Report a query that can't be read; the message contains no values."""


def read_query(target: bytes) -> dict[str, str]:
    """Return the parameters of a request for an explanation.

    Other parameters are rejected: operators must not send keys of organisations.
    """
    query = target.partition(b"?")[2].decode("latin-1")
    try:
        pairs = parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            max_num_fields=len(PARAMETERS),
        )
    except ValueError as error:
        raise PlacementQueryError("the query can't be read") from error
    parameters = dict(pairs)
    if len(parameters) != len(pairs) or not parameters.keys() <= PARAMETERS:
        allowed = ", ".join(sorted(PARAMETERS))
        raise PlacementQueryError(f"expected each at most once: {allowed}")
    for name in ("host", "path"):
        if not parameters.get(name):
            raise PlacementQueryError(f"{name} is missing")
    for name in ("deadline_ms", "body_bytes"):
        value = parameters.get(name, "0")
        if not (value.isascii() and value.isdigit()) or len(value) > MAX_DIGITS:
            raise PlacementQueryError(f"{name} is not a whole number")
    return parameters


class PlacementExplainer:
    """Explain where a request of a caller would go now."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def respond(self, target: bytes) -> tuple[int, bytes]:
        """Return the status and the JSON body for a query."""
        try:
            parameters = read_query(target)
        except PlacementQueryError as error:
            return 400, json.dumps({"error": str(error)}).encode()
        return 200, json.dumps(self.explain(parameters)).encode()

    def explain(self, parameters: dict[str, str]) -> dict:
        """Return the explanation; ``refusal`` is that of the first check that fails."""
        now = time.monotonic()
        routes = self._kernel.get("configuration").routes
        method = parameters.get("method", "GET")
        # A query may contain what must not be shown, and takes no part in routing.
        path = parameters["path"].partition("?")[0]
        host = parameters["host"].lower().partition(":")[0]
        result: dict = {
            "daemon": self._kernel.get("gossip").membership.local_member.host_id,
            "version": routes.version,
            "request": {"method": method, "host": host, "path": path},
            "refusal": None,
        }
        resolved = routes.match(method, path, host)
        if isinstance(resolved, Refusal):
            result["refusal"] = _describe_refusal(resolved, now)
            return result
        name = parameters.get("organisation", "")
        organisation = None
        if name and routes.requires_keys:
            organisation = routes.get_organisation(name)
        rank = routes.choose_rank(resolved, organisation)
        result["organisation"] = None if organisation is None else organisation.name
        result["route"] = _describe_route(resolved)
        result["rank"] = {
            "name": rank.name,
            "order": rank.order,
            "target_ms": resolved.rank.target_ms,
        }
        refusals = [self._describe_keys(result, routes, resolved, name)]
        timeout_ms = resolved.route.timeout_ms
        if "deadline_ms" in parameters:
            timeout_ms = min(timeout_ms, int(parameters["deadline_ms"]))
        result["request"]["timeout_ms"] = timeout_ms
        deadline = now + timeout_ms / 1000
        refusals.append(self._check_start(deadline, now))
        if organisation is not None:
            refusals.append(self._describe_limit(result, organisation))
        body_bytes = int(parameters.get("body_bytes", "0"))
        request = PlacementRequest(
            "",
            rank.name,
            resolved.route.bulky,
            now + resolved.rank.target_ms / 1000,
            body_bytes=body_bytes if resolved.route.large_body else 0,
            deadline=deadline,
        )
        result["services"] = self._describe_services(
            resolved, request, result["organisation"] or "", now
        )
        found = [_describe_refusal(r, now) for r in refusals if r is not None]
        # The service of a split route that the next request goes to is not told.
        by_service = [service["refusal"] for service in result["services"]]
        if all(by_service):
            found.append(by_service[0])
        result["refusal"] = found[0] if found else None
        return result

    def _describe_keys(
        self,
        result: dict,
        routes: RouteTable,
        resolved: ResolvedRoute,
        name: str,
    ) -> Refusal | None:
        """Describe the acceptance of keys; return the refusal of the organisation."""
        status = self._kernel.get("revocation").describe(routes, name)
        result["keys"] = {
            "required": routes.requires_keys and not resolved.route.public,
            "strict": status.is_strict,
            "accepted": status.refusal is None,
            "confirmation_age_s": (
                None if math.isinf(status.age) else round(status.age, 3)
            ),
        }
        if not routes.requires_keys:
            return None
        if result["organisation"] is not None:
            return status.refusal
        if resolved.route.public:
            return None
        if status.denial_refusal is not None:
            return status.denial_refusal
        detail = "the organisation is not in the configuration" if name else "no key"
        return Refusal(ErrorKind.API_KEY_UNKNOWN, detail)

    def _check_start(self, deadline: float, now: float) -> Refusal | None:
        if now >= deadline:
            return Refusal(ErrorKind.DEADLINE_PASSED, "the deadline has passed")
        call = Call("", "", "GET", b"/", (), b"", deadline, idempotent=True)
        return self._kernel.get("slots").check_stop(call)

    def _describe_limit(
        self, result: dict, organisation: Organisation
    ) -> Refusal | None:
        """Describe the limit of an organisation; return a refusal if it is reached."""
        quotas = self._kernel.get("quotas")
        described = quotas.describe(organisation.name)
        if described is None:
            result["limit"] = None
            return None
        preview, allocator = described
        result["limit"] = {
            "rate_per_second": organisation.rate_per_second,
            "burst": organisation.burst,
            "tokens_held": preview.held,
            "waiting": preview.waiting,
            "is_binding": preview.is_binding,
            "allocator": allocator,
            "decision": preview.decision.value,
        }
        if preview.decision in (Decision.ADMIT, Decision.WAIT):
            return None
        detail = f"limit of {organisation.name}, allocated by {allocator!r}"
        retry_at = quotas.convert_retry_at(preview.retry_at)
        return Refusal(ErrorKind.ORGANISATION_OVER_LIMIT, detail, retry_at)

    def _describe_services(
        self,
        resolved: ResolvedRoute,
        request: PlacementRequest,
        organisation: str,
        now: float,
    ) -> list[dict]:
        weights = {part.pool: part.weight for part in resolved.route.split}
        pools = resolved.pools[:MAX_SERVICES]
        described = []
        for pool in pools:
            service_request = PlacementRequest(
                pool.service,
                request.rank,
                request.bulky,
                request.target_deadline,
                request.body_bytes,
                request.deadline,
            )
            cached, refusal, comparison = self._kernel.get("attempts").describe(
                service_request, organisation, now, MAX_COMPARED // len(pools)
            )
            if cached is None and refusal is None and not comparison.upstreams:
                detail = f"no upstream of {pool.service!r}"
                refusal = Refusal(ErrorKind.NO_UPSTREAM, detail)
            first = cached or refusal
            described.append(
                {
                    "service": pool.service,
                    "weight": weights.get(pool.name),
                    "overload_cache": (
                        None if cached is None else _describe_refusal(cached, now)
                    ),
                    "refusal": None if first is None else _describe_refusal(first, now),
                    **describe_comparison(
                        comparison,
                        service_request,
                        now,
                        max_candidates=MAX_CANDIDATES // len(pools),
                    ),
                }
            )
        return described


def _describe_route(resolved: ResolvedRoute) -> dict:
    route = resolved.route
    return {
        "name": route.name,
        "path": route.path,
        "host": route.host,
        "public": route.public,
        "idempotent": route.idempotent,
        "large_response": route.bulky,
        "large_body": route.large_body,
        "max_attempts": route.max_attempts,
        "is_split": bool(route.split),
        "services_not_shown": max(0, len(resolved.pools) - MAX_SERVICES),
    }


def _describe_refusal(refusal: Refusal, now: float) -> dict:
    return {
        "status": refusal.caller_status,
        "kind": refusal.kind.value,
        "detail": refusal.detail,
        "retry_after_ms": refusal.compute_retry_after_ms(now),
    }
