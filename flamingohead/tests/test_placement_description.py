"""Tests of the description of a placement, which must agree with the choice."""

from __future__ import annotations

import copy
import random

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import (
    TIE_COST,
    LoadReport,
    Placement,
    PlacementRequest,
)
from flamingohead.core.placement_description import (
    compute_cost_parts,
    describe_comparison,
)

SERVICE = "stall-ledger"
STATUSES = (UpstreamStatus.READY,) * 4 + (UpstreamStatus.LEAVING,)


def build_member(host, domain="makola", *, status=UpstreamStatus.READY):
    upstream = UpstreamState(f"u-{host}", SERVICE, status, 6)
    return Member(host, domain, "peer", "relay", 1, upstreams=(upstream,), group="g")


def build_placement(generator, *, local=7, remote=5, statuses=STATUSES):
    """Return a placement with random loads, service times and failures."""
    placement = Placement("makola", random=random.Random(1))
    placement.set_host("host-0")
    members = [
        build_member(f"host-{n}", "makola" if n < local else "osu", status=status)
        for n, status in enumerate(generator.choices(statuses, k=local + remote))
    ]
    placement.set_members(members, -100.0)
    for view in list(placement._upstream_states.values()):
        for _ in range(generator.randrange(3)):
            held_ms = generator.uniform(20, 400)
            load = LoadReport(
                generator.randrange(8), generator.randrange(10), 6, held_ms
            )
            attempt = placement.start(view.candidate, "urgent", -0.1)
            placement.record_load_report(view.candidate, "urgent", load, -0.1)
            refusal = Refusal(ErrorKind.UPSTREAM_SHED)
            placement.finish(
                attempt, -0.1, generator.choice((refusal, None)), status=200
            )
    return placement


def build_request(generator):
    return PlacementRequest(
        SERVICE,
        "urgent",
        generator.random() < 0.3,
        generator.choice((0.3, 2.0, float("inf"))),
        body_bytes=generator.choice((0, 0, 60_000)),
        deadline=4.0,
    )


class TestAgreementWithTheChoice:
    @pytest.mark.parametrize("seed", range(40))
    def test_parts_add_up_to_the_cost_of_the_choice(self, seed):
        # A cost that is changed in Placement only would be explained wrongly.
        generator = random.Random(seed)
        placement = build_placement(generator)
        request = build_request(generator)
        comparison = placement.compare(request, 0.0, max_compared=100)
        assert len(comparison.upstreams) == 12
        for compared in comparison.upstreams:
            parts = compute_cost_parts(compared, comparison, request, 0.0)
            assert sum(parts.values()) == pytest.approx(compared.cost, abs=1e-9)

    @pytest.mark.parametrize("seed", range(40))
    def test_chosen_upstream_is_among_the_lowest(self, seed):
        generator = random.Random(seed)
        placement = build_placement(generator)
        request = build_request(generator)
        comparison = placement.compare(request, 0.0, max_compared=100)
        choice = placement.choose(request, 0.0)
        lowest = comparison.upstreams[0].cost
        tied = [c for c in comparison.upstreams if c.cost <= lowest + TIE_COST]
        keys = [compared.view.candidate.key for compared in tied]
        assert choice.candidate.key in keys
        if len(tied) == 1:
            assert choice.may_wait == comparison.may_wait


class TestSideEffects:
    def test_description_changes_nothing_and_draws_nothing(self):
        # A draw would change the sequence of the choices that follow.
        placement = build_placement(random.Random(5), local=20, remote=20)
        request = PlacementRequest(SERVICE, "urgent", target_deadline=1.0)
        twin = copy.deepcopy(placement)
        for _ in range(5):
            comparison = placement.compare(request, 0.0, max_compared=100)
            describe_comparison(comparison, request, 0.0, max_candidates=50)
        assert placement._random.getstate() == twin._random.getstate()
        assert repr(placement._baselines._means) == repr(twin._baselines._means)
        views = placement._upstream_states
        for key, view in twin._upstream_states.items():
            found, expected = dict(vars(views[key])), dict(vars(view))
            assert found.pop("speed") is not expected.pop("speed")
            assert found == expected
        choices = [placement.choose(request, 0.0) for _ in range(50)]
        assert choices == [twin.choose(request, 0.0) for _ in range(50)]


class TestBounds:
    def test_size_is_bounded_and_the_rest_is_counted(self):
        # A large service must not make a large response or block the daemon.
        placement = build_placement(random.Random(5), local=150, remote=150)
        request = PlacementRequest(SERVICE, "urgent")
        comparison = placement.compare(request, 0.0, max_compared=200)
        described = describe_comparison(comparison, request, 0.0, max_candidates=50)
        assert len(described["candidates"]) == 50
        assert (described["not_shown"], described["not_compared"]) == (250, 100)
        costs = [candidate["cost"] for candidate in described["candidates"]]
        assert costs == sorted(costs) and described["candidates"][0]["lowest"]

    def test_service_without_upstreams_has_no_candidates(self):
        placement = Placement("makola", random=random.Random(1))
        request = PlacementRequest(SERVICE, "urgent")
        comparison = placement.compare(request, 0.0, max_compared=10)
        described = describe_comparison(comparison, request, 0.0, max_candidates=5)
        assert described["candidates"] == [] and not described["may_queue"]
