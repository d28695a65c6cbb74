"""Placement in a group of daemons, replayed on the loads that it answers."""

from __future__ import annotations

import random
from collections import Counter

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import Demand, LoadReport, Placement

SERVICE = "stall-ledger"
DEMAND = Demand(SERVICE, "urgent")
BULKY = Demand(SERVICE, "urgent", bulky=True)
SLOTS = 10


def build_member(host, domain="makola", *, status=UpstreamStatus.READY):
    upstream = UpstreamState(f"u-{host}", SERVICE, status, SLOTS)
    return Member(host, domain, "peer", "relay", 1, upstreams=(upstream,), group="g")


def build_placement(*members, now=0.0):
    placement = Placement("makola", random=random.Random(1))
    placement.set_members(members, now)
    return placement


def report(placement, host, now, *, running=0, waiting=0, held_ms=None):
    for view in placement._views.values():
        if view.candidate.host_id == host:
            load = LoadReport(running, waiting, SLOTS, held_ms)
            placement.record_load(view.candidate, "urgent", load, now)
            return view.candidate
    raise LookupError(host)


class TestPlacement:
    def test_no_ready_upstream_is_no_choice(self):
        placement = build_placement(build_member("a", status=UpstreamStatus.DRAINING))
        assert placement.choose(DEMAND, 0.0) is None

    def test_full_host_is_passed_over_while_another_has_room(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        report(placement, "a", 0.0, running=SLOTS, waiting=5)
        for _ in range(SLOTS):
            choice = placement.choose(DEMAND, 0.1)
            assert choice.candidate.host_id == "b" and not choice.may_wait
            placement.start(choice.candidate, "urgent", 0.1)

    def test_request_waits_where_all_are_full_and_the_queue_is_shortest(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        report(placement, "a", 0.0, running=SLOTS, waiting=9)
        report(placement, "b", 0.0, running=SLOTS, waiting=1)
        choice = placement.choose(DEMAND, 0.0)
        assert choice.candidate.host_id == "b" and choice.may_wait

    def test_old_report_does_not_keep_a_host_out(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        report(placement, "a", 0.0, running=SLOTS, waiting=20)
        report(placement, "b", 5.0, running=SLOTS - 1)
        assert placement.choose(DEMAND, 5.0).candidate.host_id == "a"

    def test_slow_upstream_gets_less_and_is_tried_again_later(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        for _ in range(40):
            report(placement, "b", 0.0, held_ms=100.0)
        for _ in range(40):
            report(placement, "a", 0.0, held_ms=1000.0)
        assert placement.choose(DEMAND, 0.0).candidate.host_id == "b"
        hosts = {placement.choose(DEMAND, 30.0).candidate.host_id for _ in range(50)}
        assert hosts == {"a", "b"}

    def test_upstream_that_fails_half_of_its_work_gets_little(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        generator = random.Random(2)
        served = Counter()
        for step in range(400):
            now = step * 0.02
            choice = placement.choose(DEMAND, now)
            host = choice.candidate.host_id
            served[host] += 1
            attempt = placement.start(choice.candidate, "urgent", now)
            refusal = None
            if host == "a" and generator.random() < 0.5:
                refusal = Refusal(ErrorKind.UPSTREAM_SHED)
            placement.finish(attempt, now, refusal, status=200)
        assert served["a"] < 0.15 * served["b"]

    def test_refusal_for_load_is_no_failure(self):
        placement = build_placement(build_member("a"), now=-100.0)
        choice = placement.choose(DEMAND, 0.0)
        attempt = placement.start(choice.candidate, "urgent", 0.0)
        placement.finish(attempt, 0.0, Refusal(ErrorKind.QUEUE_FULL))
        assert attempt.view.failures == 0.0

    def test_large_answers_stay_in_the_failure_domain(self):
        placement = build_placement(
            build_member("a"), build_member("b", "osu"), now=-100.0
        )
        report(placement, "a", 0.0, running=SLOTS - 1)
        hosts = [placement.choose(BULKY, 0.0).candidate.host_id for _ in range(20)]
        assert set(hosts) == {"a"}
        hosts = [placement.choose(DEMAND, 0.0).candidate.host_id for _ in range(20)]
        assert "b" in hosts

    def test_upstream_that_joined_is_used_within_seconds(self):
        members = [build_member("a"), build_member("b")]
        placement = build_placement(*members, now=-100.0)
        placement.set_members([*members, build_member("c")], 0.0)
        busy = []
        hosts = Counter()
        for step in range(200):
            now = step * 0.02
            choice = placement.choose(DEMAND, now)
            hosts[choice.candidate.host_id] += 1
            busy.append(placement.start(choice.candidate, "urgent", now))
            if len(busy) > 15:
                placement.finish(busy.pop(0), now, None, status=200)
        assert hosts["c"] > 10


class TestLeavingHosts:
    def test_leaving_host_serves_only_what_finds_no_other(self):
        leaving = build_member("a", status=UpstreamStatus.LEAVING)
        placement = build_placement(leaving, build_member("b"), now=-100.0)
        report(placement, "b", 0.0, running=SLOTS, waiting=SLOTS)
        hosts = [placement.choose(DEMAND, 0.0).candidate.host_id for _ in range(20)]
        assert set(hosts) == {"b"}
        placement = build_placement(leaving, now=-100.0)
        assert placement.choose(DEMAND, 0.0).candidate.host_id == "a"

    def test_host_that_stays_is_told_apart_from_leaving_ones(self):
        leaving = build_member("b", status=UpstreamStatus.LEAVING)
        placement = build_placement(build_member("a"), leaving)
        assert not placement.has_other(SERVICE, "a")
        assert placement.has_other(SERVICE, "b")
