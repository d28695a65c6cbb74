"""Properties of the membership: nothing goes back, the gone stay gone, cuts heal."""

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
SETTLE_SECONDS = 120.0
CUT_SECONDS = 2.5
SETTINGS = MembershipSettings()


class MembershipMachine(RuleBasedStateMachine):
    """Kill, freeze, restart and cut members over a bad network."""

    def __init__(self):
        super().__init__()
        self.random = Random(7)
        self.network = FakeNetwork(self.random, observe=self.observe)
        self.seen = {}
        self.thawed_at = {}
        self.running = {}
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
        seen = self.seen.setdefault(key, state)
        assert state >= seen, f"{node.host_id} went back on {member.host_id}"
        self.seen[key] = state
        own = member.accuser == node.host_id
        if own and member.status is MemberStatus.DEAD:
            awake = self.network.now - self.thawed_at.get(node.host_id, 0.0)
            assert awake >= SETTINGS.minimum_suspicion

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.random.seed(seed)
        for host_id in HOSTS:
            self.start_host(host_id, host_id, 0)
        self.pass_time(5.0)

    def start_host(self, host_id, address, step_back):
        self.incarnation += 10
        node = self.network.start_node(
            host_id,
            incarnation=self.incarnation - step_back,
            address=f"{address}:1",
        )
        self.running[host_id] = node
        self.thawed_at.pop(host_id, None)
        self.join_anyone(node)

    def join_anyone(self, node):
        others = [n for n in self.network.nodes.values() if n is not node]
        self.random.shuffle(others)
        return any(self.network.join(node, o) is not None for o in others)

    def pass_time(self, seconds):
        until = self.network.now + seconds
        while self.network.now < until:
            self.network.run(min(SYNC_PERIOD, until - self.network.now))
            if self.network.now >= self.sync_at:
                self.sync_at = self.network.now + SYNC_PERIOD
                self.synchronize()

    def synchronize(self):
        """Exchange states with a member, and with a host never heard of.

        The bootstrap of a daemon does so too: it tries the rows of unknown hosts,
        and those of any host when it holds nobody alive.
        """
        for node in list(self.network.nodes.values()):
            known = [m.peer_address for m in node.membership.list_usable()]
            if known:
                other = self.network.nodes.get(self.random.choice(known))
                if other is not None:
                    self.network.join(node, other)
            else:
                self.join_anyone(node)
            heard = {m.host_id for m in node.membership.list_all()}
            unheard = [n for n in self.network.nodes.values() if n.host_id not in heard]
            if unheard:
                self.network.join(node, self.random.choice(unheard))

    def pick(self, index):
        nodes = sorted(self.running.values(), key=lambda node: node.host_id)
        return nodes[index % len(nodes)] if nodes else None

    @rule(loss=st.sampled_from([0.0, 0.1, 0.5]), late=st.sampled_from([0.01, 2.0]))
    def change_network(self, loss, late):
        self.network.settings = NetworkSettings(loss, loss, 0.001, late)

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    @rule(index=st.integers(0, 4))
    def kill(self, index):
        node = self.pick(index)
        if node and len(self.running) > 2:
            self.network.kill_node(node)
            del self.running[node.host_id]

    @rule(index=st.integers(0, 4))
    def leave(self, index):
        node = self.pick(index)
        if node and not node.frozen and len(self.running) > 2:
            self.network.leave_node(node)
            del self.running[node.host_id]

    @rule(index=st.integers(0, 4), group=st.integers(0, 1))
    def cut(self, index, group):
        node = self.pick(index)
        if node:
            node.group = group

    @rule(index=st.integers(0, 4))
    def freeze(self, index):
        node = self.pick(index)
        if node and not node.frozen:
            self.network.freeze_node(node)

    @rule(index=st.integers(0, 4))
    def thaw(self, index):
        node = self.pick(index)
        if node and node.frozen:
            self.resume_node(node)

    @rule(index=st.integers(0, 4), seconds=st.sampled_from([0.4, 2.0, 8.0]))
    def stall(self, index, seconds):
        node = self.pick(index)
        if node and not node.frozen:
            self.network.freeze_node(node)
            self.pass_time(seconds)
            self.resume_node(node)
            self.pass_time(1.0)

    def resume_node(self, node):
        paused = self.network.now - node.frozen_at
        if paused > SETTINGS.pause_threshold + TICK_PERIOD:
            self.thawed_at[node.host_id] = self.network.now
        self.network.resume_node(node)

    @rule(
        host=st.sampled_from(HOSTS),
        address=st.sampled_from(HOSTS),
        step_back=st.sampled_from([0, 500]),
    )
    def restart(self, host, address, step_back):
        taken = f"{address}:1" in self.network.nodes
        if host not in self.running and not taken:
            self.start_host(host, address, step_back)

    @invariant()
    def knows_only_its_failure_domain(self):
        for node in self.network.nodes.values():
            assert node.host_id not in node.membership.members

    def teardown(self):
        """Heal everything; every running member must know exactly the others."""
        self.network.settings = NetworkSettings()
        for node in list(self.network.nodes.values()):
            node.group = 0
            if node.frozen:
                self.resume_node(node)
        deadline = self.network.now + SETTLE_SECONDS
        while not self.all_agree() and self.network.now < deadline:
            self.pass_time(5.0)
        assert self.all_agree()

    def all_agree(self):
        expected = set(self.running)
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


class TestCutThatHeals:
    def test_sides_that_refuted_in_private_meet_again(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.wait(2.0)
        machine.cut(index=2, group=1)
        machine.wait(2.5)
        machine.cut(index=0, group=1)
        machine.wait(12.0)
        machine.teardown()


class TestDatagramSize:
    def test_largest_member_fits(self):
        upstream = UpstreamState("u" * 63, "s" * 63, UpstreamStatus.READY, 10_000, 1.0)
        member = Member("h" * 63, "d" * 63, "1" * 21, "2" * 21, 2**60)
        other = replace(member, host_id="o" * 63, upstreams=(upstream,) * MAX_UPSTREAMS)
        membership = Membership(member, random=Random(1))
        membership.merge([replace(member, host_id="first")], 0.0)
        membership.merge([other], 0.0)
        told = set()
        for tenth in range(60):
            for effect in membership.tick(tenth / 10):
                if isinstance(effect, SendDatagram):
                    told |= {update.host_id for update in effect.datagram.updates}
        assert told >= {member.host_id, other.host_id}

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


class TestHerd:
    def test_every_update_is_sent_while_many_wait(self):
        local_member = Member("m", "makola", "3:1", "4:1", 1)
        membership = Membership(local_member, random=Random(1))
        members = [Member(f"h{n}", "makola", f"{n}:1", f"{n}:2", 1) for n in range(612)]
        membership.merge(members[:1], 0.0)
        membership.merge(members, 0.0)
        sent = set()
        for tenth in range(1200):
            for effect in membership.tick(tenth / 10):
                if isinstance(effect, SendDatagram):
                    sent |= {update.host_id for update in effect.datagram.updates}
        assert sent >= {member.host_id for member in members}


class TestRegressions:
    def test_member_that_starts_while_the_others_are_frozen_meets_them_later(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.leave(index=0)
        machine.kill(index=0)
        machine.freeze(index=0)
        machine.freeze(index=1)
        machine.restart(host="a", address="a", step_back=0)
        machine.teardown()

    def test_hosts_that_restart_at_each_others_address_meet(self):
        machine = MembershipMachine()
        machine.start(seed=16383)
        machine.kill(index=0)
        machine.kill(index=2)
        machine.restart(host="a", address="d", step_back=0)
        machine.kill(index=2)
        machine.restart(host="d", address="a", step_back=0)
        machine.kill(index=1)
        machine.teardown()

    def test_newcomers_that_met_only_each_other_meet_the_others(self):
        machine = MembershipMachine()
        machine.start(seed=0)
        machine.leave(index=0)
        machine.freeze(index=0)
        machine.freeze(index=2)
        machine.leave(index=1)
        machine.restart(address="a", host="c", step_back=0)
        machine.restart(address="c", host="a", step_back=0)
        machine.teardown()

    def test_member_repeats_a_refutation_that_the_other_side_of_a_cut_missed(self):
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
    def test_prober_is_learned_by_the_member_that_it_probes(self):
        network = FakeNetwork(Random(1))
        first = network.start_node("a", incarnation=1)
        second = network.start_node("b", incarnation=1)
        first.membership.merge([second.membership.local_member], network.now)
        first.membership._member_list.queue.discard("a")
        network.run(5.0)
        assert list(second.membership.members) == ["a"]


class TestShortCut:
    def test_members_that_were_out_of_reach_for_a_moment_are_not_declared_dead(self):
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
            network.run(CUT_SECONDS)
            nodes[index].group = 0
            network.run(5.0)
        assert dead == []


class TestLoss:
    def test_no_member_is_declared_dead_for_lost_datagrams(self):
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
