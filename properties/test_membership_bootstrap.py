"""Property: daemons discover each other from any table rows and at any start times."""

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

MAX_DISCOVERY_SECONDS = 90.0
DAEMON_COUNT = 120
MAX_WRITES_PER_SECOND = 300 / 15
MAX_READS_PER_SECOND = 2000 / 4
DOMAIN_SIZE = 613


def build_network(seed, count, *, first_number=0, loss=0.0):
    network = FakeNetwork(Random(seed), settings=NetworkSettings(loss=loss))
    bootstraps = BootstrapSimulation(network, Random(seed))
    for number in range(first_number, first_number + count):
        bootstraps.add(network.start_node(f"h{number}", incarnation=number + 1))
    return network, bootstraps


def is_membership_complete(network):
    expected = len(network.nodes) - 1
    return all(len(n.membership.members) == expected for n in network.nodes.values())


class TestDiscovery:
    @given(
        seed=st.integers(0, 1000),
        dead_rows=st.integers(0, 80),
        outage=st.sampled_from([0.0, 3.0, 40.0]),
        loss=st.sampled_from([0.0, 0.1]),
    )
    @settings(max_examples=25)
    def test_starting_daemons_discover_each_other_after_an_outage(
        self, seed, dead_rows, outage, loss
    ):
        network, bootstraps = build_network(seed, 6, loss=loss)
        for number in range(dead_rows):
            row = HostRow(f"dead{number}", f"dead{number}:1", 10.0 + number)
            bootstraps.rows[row.host_id] = row
        bootstraps.is_table_available = False
        bootstraps.run(outage)
        bootstraps.is_table_available = True
        elapsed = 0.0
        while not is_membership_complete(network) and elapsed < MAX_DISCOVERY_SECONDS:
            bootstraps.run(5.0)
            elapsed += 5.0
        assert is_membership_complete(network)

    def test_partitions_without_tombstones_merge_through_rows(self):
        network, bootstraps = build_network(1, 0)
        short_periods = BootstrapSettings(row_period=60.0, first_row_spread=5.0)
        for number in range(6):
            node = network.start_node(f"h{number}", incarnation=1)
            node.group = number % 2
            bootstraps.add(node, settings=short_periods)
        bootstraps.run(60.0)
        sizes = {len(n.membership.members) for n in network.nodes.values()}
        assert sizes == {2}
        for node in network.nodes.values():
            node.group = 0
        bootstraps.run(180.0)
        assert is_membership_complete(network)

    def test_live_row_among_stale_rows_is_found(self):
        network, bootstraps = build_network(128, 6)
        for number in range(16):
            row = HostRow(f"dead{number}", f"dead{number}:1", 10.0 + number)
            bootstraps.rows[row.host_id] = row
        bootstraps.is_table_available = False
        bootstraps.run(40.0)
        bootstraps.is_table_available = True
        bootstraps.run(MAX_DISCOVERY_SECONDS)
        assert is_membership_complete(network)

    def test_groups_merge_after_one_of_them_was_frozen(self):
        network, bootstraps = build_network(4, 3)
        bootstraps.run(20.0)
        for node in network.nodes.values():
            network.freeze_node(node)
        for number in (7, 8, 9):
            node = network.start_node(f"h{number}", incarnation=1)
            bootstraps.add(node)
        bootstraps.run(60.0)
        for node in network.nodes.values():
            network.resume_node(node)
        bootstraps.run(MAX_DISCOVERY_SECONDS)
        assert is_membership_complete(network)

    def test_daemon_whose_only_member_died_joins_again(self):
        network, bootstraps = build_network(1, 2)
        bootstraps.run(20.0)
        first, second = list(network.nodes.values())
        network.kill_node(second)
        bootstraps.run(30.0)
        assert first.membership.members == {}
        new_node = network.start_node("h9", incarnation=9)
        bootstraps.add(new_node)
        bootstraps.run(20.0)
        assert list(first.membership.members) == ["h9"]


class TestSimultaneousStart:
    def test_table_load_stays_within_the_limits_of_a_domain(self):
        network, bootstraps = build_network(3, DAEMON_COUNT)
        bootstraps.run(30.0)
        assert is_membership_complete(network)
        assert len(bootstraps.rows) >= 8
        assert max(bootstraps.writes.values()) <= MAX_WRITES_PER_SECOND
        assert (
            max(bootstraps.reads.values())
            <= MAX_READS_PER_SECOND * DAEMON_COUNT / DOMAIN_SIZE
        )


class TestRows:
    def test_row_of_a_dead_host_is_deleted_once(self):
        network, bootstraps = build_network(5, 8)
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
        network, bootstraps = build_network(5, 4)
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
    def test_joins_are_rate_limited(self):
        admission = JoinAdmission(rate=2.0, burst=4)
        results = [admission.admit(0.0) for _ in range(20)]
        admitted = [result for result in results if result is None]
        assert len(admitted) == 5
        assert results[-1] == pytest.approx(2.5)
        assert admission.admit(2.5) is None


class TestPhase:
    def test_bootstrap_starts_with_seeds_and_alternates_with_rows(self):
        network = FakeNetwork(Random(1))
        bootstraps = BootstrapSimulation(network, Random(1))
        node = network.start_node("h0", incarnation=1)
        bootstrap = bootstraps.add(node, seeds=("nobody:1",))
        assert bootstrap.phase is Phase.SEEDS
        bootstrap.finish_join([JoinOutcome(False)], 0.0)
        assert bootstrap.phase is Phase.ROWS
        bootstrap.finish_join([], 1.0)
        assert bootstrap.phase is Phase.SEEDS
