"""Tests of placement in a group of daemons, with replayed loads."""

from __future__ import annotations

import random
from collections import Counter

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.placement import LoadReport, Placement, PlacementRequest

SERVICE = "stall-ledger"
DEMAND = PlacementRequest(SERVICE, "urgent")
BULKY = PlacementRequest(SERVICE, "urgent", bulky=True)
SLOTS = 10


def build_member(host, domain="makola", *, status=UpstreamStatus.READY):
    upstream = UpstreamState(f"u-{host}", SERVICE, status, SLOTS)
    return Member(host, domain, "peer", "relay", 1, upstreams=(upstream,), group="g")


def build_placement(*members, now=0.0):
    placement = Placement("makola", random=random.Random(1))
    placement.set_members(members, now)
    return placement


def report(placement, host, now, *, running=0, waiting=0, held_ms=None):
    for upstream_state in placement._upstream_states.values():
        if upstream_state.candidate.host_id == host:
            load = LoadReport(running, waiting, SLOTS, held_ms)
            placement.record_load_report(upstream_state.candidate, "urgent", load, now)
            return upstream_state.candidate
    raise LookupError(host)


class TestPlacement:
    def test_no_choice_without_a_ready_upstream(self):
        placement = build_placement(build_member("a", status=UpstreamStatus.DRAINING))
        assert placement.choose(DEMAND, 0.0).kind is ErrorKind.NO_UPSTREAM

    def test_full_host_is_skipped_while_another_has_free_slots(self):
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

    def test_old_report_does_not_exclude_a_host(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        report(placement, "a", 0.0, running=SLOTS, waiting=20)
        report(placement, "b", 5.0, running=SLOTS - 1)
        assert placement.choose(DEMAND, 5.0).candidate.host_id == "a"

    def test_slow_upstream_gets_fewer_requests_and_is_retried_later(self):
        placement = build_placement(build_member("a"), build_member("b"), now=-100.0)
        for _ in range(40):
            report(placement, "b", 0.0, held_ms=100.0)
        for _ in range(40):
            report(placement, "a", 0.0, held_ms=1000.0)
        assert placement.choose(DEMAND, 0.0).candidate.host_id == "b"
        hosts = {placement.choose(DEMAND, 30.0).candidate.host_id for _ in range(50)}
        assert hosts == {"a", "b"}

    def test_upstream_that_fails_half_of_its_requests_gets_few(self):
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

    def test_refusal_for_load_does_not_count_as_failure(self):
        placement = build_placement(build_member("a"), now=-100.0)
        choice = placement.choose(DEMAND, 0.0)
        attempt = placement.start(choice.candidate, "urgent", 0.0)
        placement.finish(attempt, 0.0, Refusal(ErrorKind.QUEUE_FULL))
        assert attempt.upstream_state.failure_rate == 0.0

    def test_large_answers_stay_in_the_failure_domain(self):
        placement = build_placement(
            build_member("a"), build_member("b", "osu"), now=-100.0
        )
        report(placement, "a", 0.0, running=SLOTS)
        hosts = [placement.choose(BULKY, 0.0).candidate.host_id for _ in range(20)]
        assert set(hosts) == {"a"}
        hosts = [placement.choose(DEMAND, 0.0).candidate.host_id for _ in range(20)]
        assert set(hosts) == {"b"}

    def test_new_upstream_is_used_within_seconds(self):
        members = [build_member("a"), build_member("b")]
        placement = build_placement(*members, now=-100.0)
        placement.set_members([*members, build_member("c")], 0.0)
        attempts = []
        hosts = Counter()
        for step in range(200):
            now = step * 0.02
            choice = placement.choose(DEMAND, now)
            hosts[choice.candidate.host_id] += 1
            attempts.append(placement.start(choice.candidate, "urgent", now))
            if len(attempts) > 15:
                placement.finish(attempts.pop(0), now, None, status=200)
        assert hosts["c"] > 10


class TestLeavingHosts:
    def test_leaving_host_is_chosen_only_without_another_host(self):
        leaving = build_member("a", status=UpstreamStatus.LEAVING)
        placement = build_placement(leaving, build_member("b"), now=-100.0)
        report(placement, "b", 0.0, running=SLOTS, waiting=SLOTS)
        hosts = [placement.choose(DEMAND, 0.0).candidate.host_id for _ in range(20)]
        assert set(hosts) == {"b"}
        placement = build_placement(leaving, now=-100.0)
        assert placement.choose(DEMAND, 0.0).candidate.host_id == "a"

    def test_request_does_not_queue_while_a_leaving_host_has_free_slots(self):
        # Guards against a queue at the last host that stays, which outlasts deadlines.
        leaving = build_member("a", status=UpstreamStatus.LEAVING)
        placement = build_placement(leaving, build_member("b"), now=-100.0)
        report(placement, "b", 0.0, running=SLOTS, waiting=1)
        choice = placement.choose(DEMAND, 0.0)
        assert choice.candidate.host_id == "b" and not choice.may_wait
        excluded = frozenset({choice.candidate.key})
        choice = placement.choose(DEMAND, 0.0, excluded=excluded)
        assert choice.candidate.host_id == "a"

    def test_leaving_host_does_not_count_as_another_host(self):
        leaving = build_member("b", status=UpstreamStatus.LEAVING)
        placement = build_placement(build_member("a"), leaving)
        assert not placement.has_other_host(SERVICE, "a")
        assert placement.has_other_host(SERVICE, "b")


class _SimulatedHost:
    """Simulate a host on which each request occupies a slot for the same time."""

    def __init__(self, slots=SLOTS):
        self.slots = slots
        self.end_times = []

    def count_running(self, now):
        self.end_times = [end for end in self.end_times if end > now]
        return len(self.end_times)

    def offer(self, now, work):
        """Accept a request if a slot is free; return whether it was accepted."""
        if self.count_running(now) >= self.slots:
            return False
        self.end_times.append(now + work)
        return True


class TestFailureDomains:
    """Replay load from several failure domains, each with its own placement."""

    WORK = 0.1

    def replay(self, hosts_by_domain, rate, *, seconds=20.0):
        """Return the fractions of remote requests and of refused requests."""
        generator = random.Random(3)
        members = [
            build_member(host, domain)
            for domain, names in hosts_by_domain.items()
            for host in names
        ]
        domains = {m.host_id: m.failure_domain for m in members}
        hosts = {member.host_id: _SimulatedHost() for member in members}
        views = {}
        for domain in hosts_by_domain:
            views[domain] = Placement(domain, random=random.Random(domain))
            views[domain].set_members(members, -100.0)
        now, total, remote, refused, in_progress = 0.0, 0, 0, 0, []
        while now < seconds:
            now += generator.expovariate(rate)
            for end in sorted(
                (e for e in in_progress if e[0] <= now), key=lambda e: e[0]
            ):
                in_progress.remove(end)
                self.finish(*end, hosts)
            domain = generator.choice(list(hosts_by_domain))
            placed = self.place(views[domain], hosts, now)
            total += 1
            if placed is None:
                refused += 1
                continue
            candidate, attempt = placed
            remote += domains[candidate.host_id] != domain
            in_progress.append((now + self.WORK, views[domain], candidate, attempt))
        return remote / total, refused / total

    def place(self, placement, hosts, now):
        excluded = frozenset()
        for _ in range(3):
            choice = placement.choose(DEMAND, now, excluded=excluded)
            if choice is None:
                return None
            candidate = choice.candidate
            host = hosts[candidate.host_id]
            attempt = placement.start(candidate, "urgent", now)
            if host.offer(now, self.WORK):
                return candidate, attempt
            self.report(placement, candidate, host, now)
            placement.finish(attempt, now, Refusal(ErrorKind.QUEUE_FULL))
            excluded |= {candidate.key}
        return None

    def finish(self, now, placement, candidate, attempt, hosts):
        self.report(placement, candidate, hosts[candidate.host_id], now)
        placement.finish(attempt, now, None, status=200)

    def report(self, placement, candidate, host, now):
        load = LoadReport(host.count_running(now) + 1, 0, host.slots, 1000 * self.WORK)
        placement.record_load_report(candidate, "urgent", load, now)

    def test_requests_stay_local_where_each_domain_has_free_slots(self):
        domains = {"makola": ["a"], "osu": ["b"], "tema": ["c"]}
        remote, refused = self.replay(domains, 0.5 * 3 * SLOTS / self.WORK)
        assert remote < 0.1
        assert refused < 0.001

    def test_requests_leave_a_domain_with_too_few_upstreams(self):
        domains = {"makola": ["a", "b", "c"], "osu": ["d", "e"], "tema": ["f"]}
        remote, refused = self.replay(domains, 0.75 * 6 * SLOTS / self.WORK)
        # Tema can serve four ninths of its callers, and osu eight ninths.
        assert 0.15 < remote < 0.4
        assert refused < 0.01

    def test_slower_local_upstream_is_chosen_if_it_meets_the_target(self):
        local, remote = build_member("a"), build_member("b", "osu")
        placement = build_placement(local, remote, now=-100.0)
        for _ in range(40):
            report(placement, "b", 0.0, held_ms=100.0)
            report(placement, "a", 0.0, held_ms=220.0)
        lenient = PlacementRequest(SERVICE, "urgent", target_deadline=0.8)
        strict = PlacementRequest(SERVICE, "urgent", target_deadline=0.2)
        assert placement.choose(lenient, 0.0).candidate.host_id == "a"
        assert placement.choose(strict, 0.0).candidate.host_id == "b"

    def test_large_group_is_served_in_its_failure_domains(self):
        # Sampling 120 upstreams in five failure domains must still include local ones.
        domains = {
            name: [f"{name}-{number}" for number in range(24)]
            for name in ("makola", "osu", "tema", "kaneshie", "madina")
        }
        rate = 0.5 * 120 * SLOTS / self.WORK
        remote, refused = self.replay(domains, rate, seconds=1.0)
        assert remote < 0.1
        assert refused < 0.001

    def test_request_that_has_to_wait_takes_the_shorter_queue(self):
        local, remote = build_member("a"), build_member("b", "osu")
        placement = build_placement(local, remote, now=-100.0)
        report(placement, "a", 0.0, running=SLOTS, waiting=4)
        report(placement, "b", 0.0, running=SLOTS, waiting=1)
        choice = placement.choose(DEMAND, 0.0)
        assert choice.candidate.host_id == "b" and choice.may_wait
