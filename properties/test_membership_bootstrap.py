"""Property: daemons find each other, whatever rows they find and when they start."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from flamingohead.core.bootstrap import (
    BootstrapSettings,
    HostRow,
    JoinOutcome,
    Phase,
    choose_owner,
)
from flamingohead.core.joins import JoinAdmission
from flamingohead.core.memberlist import MemberChanged
from flamingohead.testing.bootstraps import BootstrapSimulation
from flamingohead.testing.network import FakeNetwork, NetworkSettings

MEETING_BOUND = 90.0
HERD = 120
WRITES_A_SECOND = 300 / 15
READS_A_SECOND = 2000 / 4
DOMAIN_SIZE = 613


def build(seed, count, *, first_at=0, loss=0.0):
    network = FakeNetwork(Random(seed), settings=NetworkSettings(loss=loss))
    bootstraps = BootstrapSimulation(network, Random(seed))
    for number in range(first_at, first_at + count):
        bootstraps.add(network.start_node(f"h{number}", incarnation=number + 1))
    return network, bootstraps


def all_know_all(network):
    expected = len(network.nodes) - 1
    return all(len(n.membership.members) == expected for n in network.nodes.values())


class TestMeeting:
    @given(
        seed=st.integers(0, 1000),
        dead_rows=st.integers(0, 80),
        outage=st.sampled_from([0.0, 3.0, 40.0]),
        loss=st.sampled_from([0.0, 0.1]),
    )
    @settings(max_examples=25)
    def test_starting_daemons_meet_after_an_outage(self, seed, dead_rows, outage, loss):
        network, bootstraps = build(seed, 6, loss=loss)
        for number in range(dead_rows):
            row = HostRow(f"dead{number}", f"dead{number}:1", 10.0 + number)
            bootstraps.rows[row.host_id] = row
        bootstraps.is_table_available = False
        bootstraps.run(outage)
        bootstraps.is_table_available = True
        waited = 0.0
        while not all_know_all(network) and waited < MEETING_BOUND:
            bootstraps.run(5.0)
            waited += 5.0
        assert all_know_all(network)

    def test_islands_without_tombstones_meet_through_rows(self):
        network, bootstraps = build(1, 0)
        quick = BootstrapSettings(row_period=60.0, first_row_spread=5.0)
        for number in range(6):
            node = network.start_node(f"h{number}", incarnation=1)
            node.group = number % 2
            bootstraps.add(node, settings=quick)
        bootstraps.run(60.0)
        sizes = {len(n.membership.members) for n in network.nodes.values()}
        assert sizes == {2}
        for node in network.nodes.values():
            node.group = 0
        bootstraps.run(180.0)
        assert all_know_all(network)

    def test_one_live_row_among_dead_ones_is_found(self):
        network, bootstraps = build(128, 6)
        for number in range(16):
            row = HostRow(f"dead{number}", f"dead{number}:1", 10.0 + number)
            bootstraps.rows[row.host_id] = row
        bootstraps.is_table_available = False
        bootstraps.run(40.0)
        bootstraps.is_table_available = True
        bootstraps.run(MEETING_BOUND)
        assert all_know_all(network)

    def test_groups_that_met_while_the_others_were_frozen_meet_them(self):
        network, bootstraps = build(4, 3)
        bootstraps.run(20.0)
        for node in network.nodes.values():
            network.freeze_node(node)
        for number in (7, 8, 9):
            node = network.start_node(f"h{number}", incarnation=1)
            bootstraps.add(node)
        bootstraps.run(60.0)
        for node in network.nodes.values():
            network.resume_node(node)
        bootstraps.run(MEETING_BOUND)
        assert all_know_all(network)

    def test_lone_daemon_forgets_that_it_had_joined(self):
        network, bootstraps = build(1, 2)
        bootstraps.run(20.0)
        first, second = list(network.nodes.values())
        network.kill_node(second)
        bootstraps.run(30.0)
        assert first.membership.members == {}
        fresh = network.start_node("h9", incarnation=9)
        bootstraps.add(fresh)
        bootstraps.run(20.0)
        assert list(first.membership.members) == ["h9"]


class TestHerd:
    def test_herd_stays_within_the_share_of_a_domain(self):
        network, bootstraps = build(3, HERD)
        bootstraps.run(30.0)
        assert all_know_all(network)
        assert len(bootstraps.rows) >= 8
        assert max(bootstraps.writes.values()) <= WRITES_A_SECOND
        assert max(bootstraps.reads.values()) <= READS_A_SECOND * HERD / DOMAIN_SIZE


class TestRows:
    def test_row_of_a_dead_host_is_deleted_once(self):
        network, bootstraps = build(5, 8)
        network._observe = lambda node, effect: (
            bootstraps.note_removed(node, effect.member.host_id)
            if isinstance(effect, MemberChanged) and not effect.member.is_usable
            else None
        )
        bootstraps.run(60.0)
        victim = network.nodes["h2:1"]
        assert "h2" in bootstraps.rows
        before = sum(bootstraps.writes.values())
        network.kill_node(victim)
        bootstraps.run(120.0)
        assert "h2" not in bootstraps.rows
        assert sum(bootstraps.writes.values()) == before + 1

    def test_restarted_host_keeps_its_row(self):
        network, bootstraps = build(5, 4)
        bootstraps.run(30.0)
        node = network.nodes["h2:1"]
        network.kill_node(node)
        for other in network.nodes.values():
            bootstraps.note_removed(other, "h2")
        bootstraps.add(network.start_node("h2", incarnation=99))
        bootstraps.run(120.0)
        assert "h2" in bootstraps.rows

    @given(hosts=st.sets(st.text("abcdef", min_size=1), min_size=1), key=st.text())
    @settings(max_examples=50)
    def test_owner_does_not_depend_on_order(self, hosts, key):
        ordered = sorted(hosts)
        assert choose_owner(key, ordered) == choose_owner(key, reversed(ordered))


class TestJoinAdmission:
    def test_joins_are_admitted_at_a_rate(self):
        admission = JoinAdmission(rate=2.0, burst=4)
        results = [admission.admit(0.0) for _ in range(20)]
        admitted = [result for result in results if result is None]
        assert len(admitted) == 5
        assert results[-1] == pytest.approx(2.5)
        assert admission.admit(2.5) is None


class TestPhase:
    def test_seeds_come_first_and_alternate_with_rows(self):
        network = FakeNetwork(Random(1))
        bootstraps = BootstrapSimulation(network, Random(1))
        node = network.start_node("h0", incarnation=1)
        bootstrap = bootstraps.add(node, seeds=("nobody:1",))
        assert bootstrap.phase is Phase.SEEDS
        bootstrap.finish_join([JoinOutcome(False)], 0.0)
        assert bootstrap.phase is Phase.ROWS
        bootstrap.finish_join([], 1.0)
        assert bootstrap.phase is Phase.SEEDS
