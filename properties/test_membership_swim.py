"""Properties: member states never regress, dead members stay dead, partitions heal."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingohead.core.memberlist import MemberChanged
from flamingohead.core.members import (
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamStatus,
)
from flamingohead.core.membership import Membership, MembershipSettings, SendDatagram
from flamingohead.core.messages import MAX_DATAGRAM_BYTES
from flamingohead.core.upstreams import MAX_UPSTREAMS
from flamingohead.protocol.codec import encode_datagram
from flamingohead.testing.network import TICK_PERIOD, FakeNetwork, NetworkSettings

HOSTS = ("a", "b", "c", "d")
SYNC_PERIOD = 30.0
CONVERGENCE_SECONDS = 120.0
PARTITION_SECONDS = 2.5
SETTINGS = MembershipSettings()


class MembershipMachine(RuleBasedStateMachine):
    """Kill, freeze, restart and partition members over an unreliable network."""

    def __init__(self):
        super().__init__()
        self.random = Random(7)
        self.network = FakeNetwork(self.random, observe=self.observe)
        self.observed_states = {}
        self.resumed_at = {}
        self.running_nodes = {}
        self.incarnation = 1000
        self.sync_at = 0.0

    def observe(self, node, effect):
        if isinstance(effect, SendDatagram):
            assert len(encode_datagram(effect.datagram)) <= MAX_DATAGRAM_BYTES
        if not isinstance(effect, MemberChanged):
            return
        member = effect.member
        state = (member.incarnation, member.status)
        key = (node.number, member.host_id)
        last_state = self.observed_states.setdefault(key, state)
        assert (
            state >= last_state
        ), f"{node.host_id} regressed its state of {member.host_id}"
        self.observed_states[key] = state
        declared_here = member.accuser == node.host_id
        if declared_here and member.status is MemberStatus.DEAD:
            awake_seconds = self.network.now - self.resumed_at.get(node.host_id, 0.0)
            assert awake_seconds >= SETTINGS.minimum_suspicion

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.random.seed(seed)
        for host_id in HOSTS:
            self.start_host(host_id, host_id, 0)
        self.advance_clock(5.0)

    def start_host(self, host_id, address, step_back):
        self.incarnation += 10
        node = self.network.start_node(
            host_id,
            incarnation=self.incarnation - step_back,
            address=f"{address}:1",
        )
        self.running_nodes[host_id] = node
        self.resumed_at.pop(host_id, None)
        self.join_random_node(node)

    def join_random_node(self, node):
        others = [n for n in self.network.nodes.values() if n is not node]
        self.random.shuffle(others)
        return any(self.network.join(node, o) is not None for o in others)

    def advance_clock(self, seconds):
        until = self.network.now + seconds
        while self.network.now < until:
            self.network.run(min(SYNC_PERIOD, until - self.network.now))
            if self.network.now >= self.sync_at:
                self.sync_at = self.network.now + SYNC_PERIOD
                self.synchronize()

    def synchronize(self):
        """Exchange states with a known member and with an unknown host.

        The bootstrap of a daemon does the same: it tries the rows of unknown hosts,
        and those of any host when it knows no live member.
        """
        for node in list(self.network.nodes.values()):
            known_addresses = [m.peer_address for m in node.membership.list_usable()]
            if known_addresses:
                other = self.network.nodes.get(self.random.choice(known_addresses))
                if other is not None:
                    self.network.join(node, other)
            else:
                self.join_random_node(node)
            known_hosts = {m.host_id for m in node.membership.list_all()}
            unknown_nodes = [
                n for n in self.network.nodes.values() if n.host_id not in known_hosts
            ]
            if unknown_nodes:
                self.network.join(node, self.random.choice(unknown_nodes))

    def choose_node(self, index):
        nodes = sorted(self.running_nodes.values(), key=lambda node: node.host_id)
        return nodes[index % len(nodes)] if nodes else None

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        longest_delay=st.sampled_from([0.01, 2.0]),
    )
    def change_network(self, loss, longest_delay):
        self.network.settings = NetworkSettings(loss, loss, 0.001, longest_delay)

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]))
    def wait(self, seconds):
        self.advance_clock(seconds)

    @rule(index=st.integers(0, 4))
    def kill(self, index):
        node = self.choose_node(index)
        if node and len(self.running_nodes) > 2:
            self.network.kill_node(node)
            del self.running_nodes[node.host_id]

    @rule(index=st.integers(0, 4))
    def leave(self, index):
        node = self.choose_node(index)
        if node and not node.frozen and len(self.running_nodes) > 2:
            self.network.leave_node(node)
            del self.running_nodes[node.host_id]

    @rule(index=st.integers(0, 4), group=st.integers(0, 1))
    def cut(self, index, group):
        node = self.choose_node(index)
        if node:
            node.group = group

    @rule(index=st.integers(0, 4))
    def freeze(self, index):
        node = self.choose_node(index)
        if node and not node.frozen:
            self.network.freeze_node(node)

    @rule(index=st.integers(0, 4))
    def thaw(self, index):
        node = self.choose_node(index)
        if node and node.frozen:
            self.resume_node(node)

    @rule(index=st.integers(0, 4), seconds=st.sampled_from([0.4, 2.0, 8.0]))
    def stall(self, index, seconds):
        node = self.choose_node(index)
        if node and not node.frozen:
            self.network.freeze_node(node)
            self.advance_clock(seconds)
            self.resume_node(node)
            self.advance_clock(1.0)

    def resume_node(self, node):
        paused = self.network.now - node.frozen_at
        if paused > SETTINGS.pause_threshold + TICK_PERIOD:
            self.resumed_at[node.host_id] = self.network.now
        self.network.resume_node(node)

    @rule(
        host=st.sampled_from(HOSTS),
        address=st.sampled_from(HOSTS),
        step_back=st.sampled_from([0, 500]),
    )
    def restart(self, host, address, step_back):
        address_in_use = f"{address}:1" in self.network.nodes
        if host not in self.running_nodes and not address_in_use:
            self.start_host(host, address, step_back)

    @invariant()
    def knows_only_its_failure_domain(self):
        for node in self.network.nodes.values():
            assert node.host_id not in node.membership.members

    def teardown(self):
        """End all faults and check that running members know exactly each other."""
        self.network.settings = NetworkSettings()
        for node in list(self.network.nodes.values()):
            node.group = 0
            if node.frozen:
                self.resume_node(node)
        deadline = self.network.now + CONVERGENCE_SECONDS
        while not self.is_converged() and self.network.now < deadline:
            self.advance_clock(5.0)
        assert self.is_converged()

    def is_converged(self):
        expected = set(self.running_nodes)
        for node in self.network.nodes.values():
            alive = {
                member.host_id
                for member in node.membership.list_usable()
                if member.status is MemberStatus.ALIVE
            }
            if alive | {node.host_id} != expected:
                return False
        return True


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=300, stateful_step_count=25, report_multiple_bugs=False
)


class TestHealedPartition:
    def test_sides_with_separate_refutations_merge(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.wait(2.0)
        machine.cut(index=2, group=1)
        machine.wait(2.5)
        machine.cut(index=0, group=1)
        machine.wait(12.0)
        machine.teardown()


class TestDatagramSize:
    def test_largest_member_fits_a_datagram(self):
        upstream = UpstreamState("u" * 63, "s" * 63, UpstreamStatus.READY, 10_000, 1.0)
        member = Member("h" * 63, "d" * 63, "1" * 21, "2" * 21, 2**60)
        other = replace(member, host_id="o" * 63, upstreams=(upstream,) * MAX_UPSTREAMS)
        membership = Membership(member, random=Random(1))
        membership.merge([replace(member, host_id="first")], 0.0)
        membership.merge([other], 0.0)
        sent_hosts = set()
        for tenth in range(60):
            for effect in membership.tick(tenth / 10):
                if isinstance(effect, SendDatagram):
                    sent_hosts |= {update.host_id for update in effect.datagram.updates}
        assert sent_hosts >= {member.host_id, other.host_id}

    @given(
        names=st.lists(st.text("abcé", min_size=1, max_size=63), max_size=30),
        upstreams=st.integers(0, MAX_UPSTREAMS),
    )
    @settings(max_examples=50)
    def test_datagrams_stay_within_their_size(self, names, upstreams):
        states = tuple(
            UpstreamState("u" * 63, "s" * 63, UpstreamStatus.DRAINING, 10_000, 0.75)
            for _ in range(upstreams)
        )
        members = [
            Member(f"{n}-{name}", "d" * 63, "1" * 21, "2" * 21, 2**60, upstreams=states)
            for n, name in enumerate(names)
        ]
        local_member = Member("m" * 63, "d" * 63, "3" * 21, "4" * 21, 2**60)
        membership = Membership(local_member, random=Random(1))
        membership.set_version(2**60)
        membership.merge([replace(local_member, host_id="first")], 0.0)
        membership.merge(members, 0.0)
        for tenth in range(60):
            for effect in membership.tick(tenth / 10):
                if isinstance(effect, SendDatagram):
                    size = len(encode_datagram(effect.datagram))
                    assert size <= MAX_DATAGRAM_BYTES


class TestUpdateQueue:
    def test_every_update_of_a_long_queue_is_sent(self):
        local_member = Member("m", "makola", "3:1", "4:1", 1)
        membership = Membership(local_member, random=Random(1))
        members = [Member(f"h{n}", "makola", f"{n}:1", f"{n}:2", 1) for n in range(612)]
        membership.merge(members[:1], 0.0)
        membership.merge(members, 0.0)
        sent_hosts = set()
        for tenth in range(1200):
            for effect in membership.tick(tenth / 10):
                if isinstance(effect, SendDatagram):
                    sent_hosts |= {update.host_id for update in effect.datagram.updates}
        assert sent_hosts >= {member.host_id for member in members}


class TestRegressions:
    def test_member_started_while_others_are_frozen_joins_them_later(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.leave(index=0)
        machine.kill(index=0)
        machine.freeze(index=0)
        machine.freeze(index=1)
        machine.restart(host="a", address="a", step_back=0)
        machine.teardown()

    def test_hosts_restarted_at_swapped_addresses_join(self):
        machine = MembershipMachine()
        machine.start(seed=16383)
        machine.kill(index=0)
        machine.kill(index=2)
        machine.restart(host="a", address="d", step_back=0)
        machine.kill(index=2)
        machine.restart(host="d", address="a", step_back=0)
        machine.kill(index=1)
        machine.teardown()

    def test_new_members_known_only_to_each_other_join_the_others(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.leave(index=0)
        machine.freeze(index=0)
        machine.freeze(index=2)
        machine.leave(index=1)
        machine.restart(address="a", host="c", step_back=0)
        machine.restart(address="c", host="a", step_back=0)
        machine.teardown()

    def test_refutation_missed_during_a_partition_is_repeated(self):
        machine = MembershipMachine()
        machine.start(seed=1)
        machine.freeze(index=0)
        machine.kill(index=1)
        machine.wait(seconds=2.0)
        machine.cut(group=1, index=0)
        machine.kill(index=1)
        machine.thaw(index=0)
        machine.stall(index=0, seconds=0.4)
        machine.teardown()


class TestUnknownProber:
    def test_probed_member_adds_an_unknown_prober(self):
        network = FakeNetwork(Random(1))
        first = network.start_node("a", incarnation=1)
        second = network.start_node("b", incarnation=1)
        first.membership.merge([second.membership.local_member], network.now)
        first.membership._member_list.queue.discard("a")
        network.run(5.0)
        assert list(second.membership.members) == ["a"]


class TestShortPartition:
    def test_briefly_unreachable_members_are_not_declared_dead(self):
        dead = []

        def observe(node, effect):
            if isinstance(effect, MemberChanged):
                if effect.member.status is MemberStatus.DEAD:
                    dead.append(effect.member.host_id)

        network = FakeNetwork(Random(3), observe=observe)
        nodes = [network.start_node(f"h{n}", incarnation=1) for n in range(300)]
        states = [node.membership.local_member for node in nodes]
        for node in nodes:
            node.membership.merge_join_state(states, network.now)
        network.run(5.0)
        for index in range(0, 300, 30):
            nodes[index].group = 1
            network.run(PARTITION_SECONDS)
            nodes[index].group = 0
            network.run(5.0)
        assert dead == []


class TestDatagramLoss:
    def test_no_member_is_declared_dead_because_of_lost_datagrams(self):
        dead = []

        def observe(node, effect):
            if isinstance(effect, MemberChanged):
                if effect.member.status is MemberStatus.DEAD:
                    dead.append(effect.member.host_id)

        network = FakeNetwork(
            Random(3), settings=NetworkSettings(loss=0.1), observe=observe
        )
        nodes = [network.start_node(f"h{n}", incarnation=1) for n in range(300)]
        states = [node.membership.local_member for node in nodes]
        for node in nodes:
            node.membership.merge_join_state(states, network.now)
        network.run(20.0)
        assert dead == []
