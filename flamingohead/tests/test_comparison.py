"""Tests of services in observe mode and of the comparison with the old scripts."""

from __future__ import annotations

from dataclasses import replace

from flamingohead.core.comparison import LegacyRoute, LegacyState, compare_legacy
from flamingohead.core.errors import ErrorKind
from flamingohead.core.members import (
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamStatus,
)
from flamingohead.core.resources import Pool, Rank, Route, Service, Snapshot
from flamingohead.core.routing import RouteTable

RESOURCES = (
    Service("booking", "observe"),
    Pool("workers", "booking"),
    Rank("slot-list", "booking", 0, 80, 8.0, 0.4),
    Route("a", "booking", "/slots", ("GET",), "workers", "slot-list", 100, True),
)
SNAPSHOT = Snapshot.build(1, {resource.key: resource for resource in RESOURCES})
READY = UpstreamState("booking-1", "booking", UpstreamStatus.READY, 20)
MEMBER = Member("h", "rc-a", "", "", 1, upstreams=(READY,))
EQUAL_STATE = LegacyState(
    "booking", (LegacyRoute("/slots", ("GET",), "workers"),), ("booking-1",)
)


class TestCompareLegacy:
    def test_equal_states_have_no_differences(self):
        assert compare_legacy(SNAPSHOT, [MEMBER], EQUAL_STATE) == []

    def test_routes_differ_by_method_and_pool(self):
        routes = (LegacyRoute("/slots", ("GET", "POST"), "others"),)
        differences = compare_legacy(
            SNAPSHOT, [MEMBER], replace(EQUAL_STATE, routes=routes)
        )
        assert [str(difference) for difference in differences] == [
            "route GET /slots: here workers, old scripts others",
            "route POST /slots: here absent, old scripts others",
        ]

    def test_dead_and_draining_upstreams_are_absent(self):
        dead = MEMBER.with_status(MemberStatus.DEAD)
        draining = replace(READY, status=UpstreamStatus.DRAINING)
        for member in (dead, replace(MEMBER, upstreams=(draining,))):
            (difference,) = compare_legacy(SNAPSHOT, [member], EQUAL_STATE)
            assert difference.subject == "upstream booking-1"
            assert (difference.here, difference.there) == ("absent", "ready")


class TestObserveMode:
    def test_calls_of_an_observed_service_are_refused_as_not_run(self):
        refusal = RouteTable(SNAPSHOT).match("GET", "/slots/7")
        assert refusal.kind is ErrorKind.SERVICE_OBSERVED
        assert refusal.ran.value == "no"
