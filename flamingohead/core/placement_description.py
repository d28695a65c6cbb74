"""Description of the costs by which upstreams are compared for a request.

``Placement`` adds up the cost of an upstream without keeping its parts, since it does
so for each request. The parts are computed here, for operators only; the total is the
one that ``Placement`` computed. Tests check that the parts add up to it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.placement import (
    BODY_TRANSFER_COST,
    FAILURE_COST,
    FULL_HOST_COST,
    LEAVING_HOST_COST,
    LOCAL_SAMPLE_SIZE,
    MISSED_TARGET_COST,
    OCCUPANCY_COST,
    REMOTE_SAMPLE_SIZE,
    TARGET_MARGIN,
    TIE_COST,
    compute_remote_cost,
)

if TYPE_CHECKING:
    from flamingohead.core.placement import (
        ComparedUpstream,
        Comparison,
        PlacementRequest,
    )


def compute_cost_parts(
    compared: ComparedUpstream,
    comparison: Comparison,
    request: PlacementRequest,
    now: float,
) -> dict[str, float]:
    """Return the parts of a cost by name, in multiples of the usual service time."""
    view, target = compared.view, comparison.target
    candidate = view.candidate
    limit = view.estimate_limit(now)
    occupancy = view.estimate_occupancy(request.rank, now)
    relative = view.estimate_relative_latency(request.rank, now)
    parts = {"service": relative}
    parts["queue"] = relative * max(0.0, occupancy + 1 - limit) / limit
    if request.body_bytes:
        is_own = candidate.host_id == comparison.host_id
        parts["transfer"] = 0.0 if is_own else BODY_TRANSFER_COST
        if comparison.baseline:
            parts["transfer"] += compared.transfer_seconds / comparison.baseline
    expected = sum(parts.values()) * TARGET_MARGIN
    if target and expected > target:
        parts["target"] = MISSED_TARGET_COST * min(expected / target - 1, 1.0)
    parts["occupancy"] = relative * OCCUPANCY_COST * min(occupancy / limit, 1.0)
    parts["failures"] = FAILURE_COST * view.estimate_failure_rate(now)
    if candidate.leaving:
        parts["leaving"] = LEAVING_HOST_COST
    is_full = occupancy >= limit
    if is_full and not request.bulky:
        parts["full"] = FULL_HOST_COST
    if candidate.failure_domain != comparison.failure_domain:
        parts["remote"] = compute_remote_cost(request, target, is_full=is_full)
    return parts


def describe_comparison(
    comparison: Comparison,
    request: PlacementRequest,
    now: float,
    *,
    max_candidates: int,
) -> dict:
    """Return a comparison as values for JSON, with the candidates of lowest cost."""
    shown = comparison.upstreams[:max_candidates]
    eligible = [c for c in comparison.upstreams if c.is_eligible]
    bound = eligible[0].cost + TIE_COST if eligible else 0.0
    total = comparison.local_count + comparison.remote_count
    return {
        "usual_service_ms": _round(1000 * comparison.baseline),
        "target_multiple": _round(comparison.target),
        "local_upstreams": comparison.local_count,
        "remote_upstreams": comparison.remote_count,
        "is_sampled": comparison.local_count > LOCAL_SAMPLE_SIZE
        or comparison.remote_count > REMOTE_SAMPLE_SIZE,
        "local_sample": LOCAL_SAMPLE_SIZE,
        "remote_sample": REMOTE_SAMPLE_SIZE,
        "may_queue": comparison.may_wait,
        "not_shown": total - len(shown),
        "not_compared": total - len(comparison.upstreams),
        "candidates": [
            {
                **_describe_upstream(compared, comparison, request, now),
                "lowest": bool(eligible) and compared is eligible[0],
                "tied": compared.is_eligible and compared.cost <= bound,
            }
            for compared in shown
        ],
    }


def _describe_upstream(
    compared: ComparedUpstream,
    comparison: Comparison,
    request: PlacementRequest,
    now: float,
) -> dict:
    view = compared.view
    candidate = view.candidate
    relative = view.estimate_relative_latency(request.rank, now)
    parts = compute_cost_parts(compared, comparison, request, now)
    return {
        "host": candidate.host_id,
        "upstream": candidate.upstream,
        "failure_domain": candidate.failure_domain,
        "leaving": candidate.leaving,
        "occupancy": _round(view.estimate_occupancy(request.rank, now)),
        "limit": view.estimate_limit(now),
        "slots": candidate.slots,
        "own_in_flight": view.in_flight,
        # As last reported; the report may be old.
        "waiting": view.waiting.get(request.rank, 0),
        "relative_time": _round(relative),
        "service_ms": _round(1000 * comparison.baseline * relative),
        "failure_rate": _round(view.estimate_failure_rate(now)),
        "transfer_ms": _round(1000 * compared.transfer_seconds),
        "body_arrives": compared.is_eligible,
        "cost_parts": {name: _round(part) for name, part in parts.items()},
        "cost": _round(compared.cost),
    }


def _round(value: float) -> float:
    return round(value, 3)
