"""Tests of the placement of requests with large bodies on hosts with slow links."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from flamingohead.core.candidates import list_candidates
from flamingohead.core.capacity.service_times import ServiceTime
from flamingohead.core.errors import ErrorKind
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport, Placement, PlacementRequest

SERVICE = "uploads"
BODY = PlacementRequest(SERVICE, "urgent", body_bytes=360_000, deadline=1.5)
SERVICE_TIME = ServiceTime(0.1, 0.1, 1.5)


def build_member(host, *, link_mbps=100, domain="makola", serves=True):
    upstream = UpstreamState(f"u-{host}", SERVICE, UpstreamStatus.READY, 6)
    upstreams = (upstream,) if serves else ()
    return Member(host, domain, "p", "r", 1, upstreams=upstreams, link_mbps=link_mbps)


def build_placement(*members, own="own"):
    """Return a placement that knows the service time of each upstream."""
    placement = Placement("makola", random=random.Random(1))
    placement.set_host(own)
    placement.set_members(members, -100.0)
    for member in members:
        for candidate in list_candidates(member):
            load = LoadReport(0, 0, 6, None, SERVICE_TIME)
            placement.record_load_report(candidate, "urgent", load, 0.0)
    return placement


def choose_host(placement, request=BODY, now=0.0):
    return placement.choose(request, now).candidate.host_id


class TestLargeBodies:
    def test_candidate_has_the_link_of_its_host(self):
        assert list_candidates(build_member("a", link_mbps=25))[0].link_mbps == 25

    def test_own_host_serves_its_callers(self):
        placement = build_placement(build_member("own"), build_member("a"))
        assert {choose_host(placement) for _ in range(20)} == {"own"}

    def test_host_with_the_wider_link_is_chosen(self):
        placement = build_placement(
            build_member("own", serves=False),
            build_member("a", link_mbps=5),
            build_member("b", link_mbps=50),
        )
        assert {choose_host(placement) for _ in range(20)} == {"b"}

    def test_own_domain_is_preferred_unless_its_link_is_slow(self):
        own = build_member("own", serves=False)
        remote = build_member("b", domain="osu", link_mbps=100)
        placement = build_placement(own, build_member("a", link_mbps=50), remote)
        assert {choose_host(placement) for _ in range(20)} == {"a"}
        placement = build_placement(own, build_member("a", link_mbps=5), remote)
        assert {choose_host(placement) for _ in range(20)} == {"b"}

    def test_bodies_on_their_way_count(self):
        # Guards against a burst of uploads over one slow link.
        placement = build_placement(
            build_member("own", serves=False),
            build_member("a", link_mbps=20),
            build_member("b", link_mbps=20),
        )
        hosts = Counter()
        for _ in range(4):
            choice = placement.choose(BODY, 0.0)
            hosts[choice.candidate.host_id] += 1
            placement.start(choice.candidate, "urgent", 0.0, body_bytes=BODY.body_bytes)
        assert hosts == {"a": 2, "b": 2}

    def test_body_that_arrives_nowhere_in_time_is_refused_at_once(self):
        placement = build_placement(
            build_member("own", serves=False, link_mbps=5), build_member("a")
        )
        # 360 KB over 5 Mbit/s take 0.82 s at the usable share, 60 KB 0.14 s.
        late = replace(BODY, deadline=0.5)
        refusal = placement.check_body(late, 0.0)
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refusal.retry_at > 0.0
        assert placement.choose(late, 0.0) == refusal
        assert placement.check_body(replace(late, body_bytes=60_000), 0.0) is None

    def test_only_host_that_it_reaches_in_time_is_found_among_many(self):
        # Guards against a refusal because none of a few sampled hosts is eligible.
        slow = [build_member(f"slow{n}", link_mbps=1) for n in range(60)]
        own = build_member("own", serves=False)
        placement = build_placement(own, *slow, build_member("fast"))
        assert {choose_host(placement) for _ in range(20)} == {"fast"}

    def test_link_that_is_busy_with_bodies_refuses_more(self):
        placement = build_placement(
            build_member("own", serves=False, link_mbps=10), build_member("a")
        )
        sent = 0
        while placement.check_body(BODY, 0.0) is None:
            choice = placement.choose(BODY, 0.0)
            placement.start(choice.candidate, "urgent", 0.0, body_bytes=BODY.body_bytes)
            sent += 1
        assert sent == 3
        # The link is free again when the bodies have passed it.
        assert placement.check_body(replace(BODY, deadline=3.5), 2.0) is None

    @pytest.mark.parametrize("link_mbps", [0, 100])
    def test_hosts_without_a_known_link_are_used(self, link_mbps):
        placement = build_placement(
            build_member("own", serves=False, link_mbps=0),
            build_member("a", link_mbps=link_mbps),
        )
        assert placement.check_body(BODY, 0.0) is None
        assert choose_host(placement) == "a"

    def test_own_host_needs_no_link(self):
        placement = build_placement(build_member("own", link_mbps=5))
        assert placement.check_body(replace(BODY, deadline=0.2), 0.0) is None
