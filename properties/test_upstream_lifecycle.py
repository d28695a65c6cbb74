"""Property: a leaving upstream receives no new requests after a few seconds."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingohead.core.members import UpstreamState, UpstreamStatus
from flamingohead.core.upstreams import (
    Announcement,
    UpstreamRegistry,
    UpstreamSettings,
    UpstreamStage,
)
from flamingohead.testing.network import FakeNetwork, NetworkSettings

SETTINGS = UpstreamSettings()
MAX_DELAY_SECONDS = 1.0
ANNOUNCEMENT_PERIOD = 0.5
STEP_SECONDS = 0.1
MAX_PROPAGATION_SECONDS = 5.0
STATUS_ORDER = [UpstreamStatus.WARMING, UpstreamStatus.READY, UpstreamStatus.DRAINING]


class LifecycleMachine(RuleBasedStateMachine):
    """Lose, delay, duplicate and reorder the announcements of a changing upstream."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.registry = UpstreamRegistry(SETTINGS)
        self.random = Random(3)
        self.incarnation = 0
        self.sequence = 0
        self.status = None
        self.left_at = None
        self.in_flight = []
        self.delivered = []
        self.network_unreliable = False
        self.frozen = False
        self.resumed_at = 0.0
        self.next_announcement_at = 0.0

    @rule()
    def start(self):
        """Start the upstream or its successor at the same address."""
        self.incarnation += 1
        self.sequence = 0
        self.status = UpstreamStatus.WARMING
        self.left_at = None

    @rule()
    def proceed(self):
        if self.status in STATUS_ORDER[:2]:
            self.status = STATUS_ORDER[STATUS_ORDER.index(self.status) + 1]
            if self.status is UpstreamStatus.DRAINING:
                self.left_at = self.now
            self.send()

    @rule(announces_end=st.booleans())
    def end(self, announces_end):
        """End the upstream, with a last announcement or without one."""
        if self.status is None:
            return
        if announces_end:
            self.status = UpstreamStatus.GONE
            self.send()
        self.status = None
        self.left_at = self.left_at or self.now

    @rule(unreliable=st.booleans())
    def change_network(self, unreliable):
        self.network_unreliable = unreliable

    @rule(frozen=st.booleans())
    def freeze_daemon(self, frozen):
        if self.frozen and not frozen:
            self.resumed_at = self.now
        self.frozen = frozen

    @rule(steps=st.sampled_from([3, 10, 50]))
    def wait(self, steps):
        for _ in range(steps):
            self.now += STEP_SECONDS
            if self.status is not None and self.now >= self.next_announcement_at:
                self.next_announcement_at = self.now + ANNOUNCEMENT_PERIOD
                self.send()
            if self.frozen:
                continue
            self.deliver()
            self.registry.tick(self.now)
            self.check_not_ready_after_leaving()
            self.check_newest_announcement()

    def send(self):
        self.sequence += 1
        announcement = Announcement(
            "u", "booking", "a:1", 20, self.status, self.incarnation, self.sequence
        )
        if not self.network_unreliable:
            self.in_flight.append((self.now, announcement))
            return
        for _ in range(self.random.randrange(3)):
            delay = self.random.uniform(0, MAX_DELAY_SECONDS - STEP_SECONDS)
            self.in_flight.append((self.now + delay, announcement))

    def deliver(self):
        due = [delivery for delivery in self.in_flight if delivery[0] <= self.now]
        self.in_flight = [
            delivery for delivery in self.in_flight if delivery[0] > self.now
        ]
        for _, announcement in sorted(due, key=lambda delivery: delivery[0]):
            self.delivered.append((self.now, announcement))
            self.registry.announce(announcement, self.now)

    def check_not_ready_after_leaving(self):
        ready = self.registry.get_stage("u") is UpstreamStage.READY
        if not ready or self.left_at is None:
            return
        since = max(self.left_at, self.resumed_at)
        assert self.now - since <= MAX_DELAY_SECONDS + SETTINGS.lifetime + STEP_SECONDS

    def check_newest_announcement(self):
        """Check the record against the highest number delivered within its lifetime."""
        record = self.registry._records.get("u")
        oldest = self.now - SETTINGS.lifetime
        recent = [a.number for at, a in self.delivered if at > oldest]
        if record is not None and recent:
            assert record.announcement.number >= max(recent)

    @invariant()
    def drained_is_never_ready_again(self):
        for record in self.registry._records.values():
            if record.announcement.status is UpstreamStatus.DRAINING:
                assert record.stage in (UpstreamStage.DRAINING, UpstreamStage.GONE)


TestLifecycle = LifecycleMachine.TestCase
TestLifecycle.settings = settings(
    max_examples=200, stateful_step_count=30, report_multiple_bugs=False
)


class TestPropagation:
    @pytest.mark.parametrize("loss", [0.0, 0.1])
    def test_draining_reaches_every_daemon_within_seconds(self, loss):
        network = FakeNetwork(Random(5), settings=NetworkSettings(loss=loss))
        nodes = [network.start_node(f"h{n}", incarnation=n + 1) for n in range(60)]
        for node in nodes[1:]:
            network.join(node, nodes[0])
        for node in nodes[1:]:
            network.join(node, nodes[0])
        ready = UpstreamState("u", "booking", UpstreamStatus.READY, 20)
        nodes[7].membership.set_upstreams([ready])
        network.run(20.0)
        draining = UpstreamState("u", "booking", UpstreamStatus.DRAINING, 20)
        nodes[7].membership.set_upstreams([draining])
        network.run(MAX_PROPAGATION_SECONDS)
        outdated = [
            node.host_id
            for node in nodes
            if node is not nodes[7]
            and node.membership.members["h7"].upstreams != (draining,)
        ]
        assert outdated == []


class TestRegistry:
    def test_number_of_upstreams_is_bounded(self):
        registry = UpstreamRegistry()
        results = [
            registry.announce(
                Announcement(f"u{n}", "s", "a:1", 1, UpstreamStatus.READY, 1, 1), 0.0
            )
            for n in range(5)
        ]
        assert [bool(result) for result in results[:4]] == [True] * 4
        assert "upstream 5 of this host" in results[4].detail

    def test_load_changes_in_steps_at_a_limited_rate(self):
        registry = UpstreamRegistry()
        announcement = Announcement("u", "s", "a:1", 1, UpstreamStatus.READY, 1, 1)
        registry.announce(announcement, 0.0)
        assert registry.set_load("u", 0.8, 1.0)
        assert not registry.set_load("u", 0.0, 2.0)
        assert not registry.set_load("u", 0.9, 7.0)
        assert registry.set_load("u", 0.0, 8.0)
        assert registry.list_states()[0].load == 0.0
