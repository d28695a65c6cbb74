"""Property: a remote summary matches a report of its failure domain or has expired."""

from __future__ import annotations

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.summaries import (
    LocalSummary,
    RemoteSummaries,
    SummarySettings,
    summarize_members,
)

SERVICES = ("booking", "catalogue")
LIFETIME = 20.0
REPLY_TIMEOUT = 3.0
REMOTE_DOMAIN = "rc-b"


class SummaryMachine(RuleBasedStateMachine):
    """Lose, delay, duplicate and reorder replies while services change."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.local = LocalSummary()
        self.remote = RemoteSummaries(
            "rc-a",
            random=Random(1),
            settings=SummarySettings(1.0, REPLY_TIMEOUT, LIFETIME),
        )
        self.remote.add_contact(REMOTE_DOMAIN, "127.0.0.1:1", self.now)
        self.members = {}
        self.reported_slots = {service: [(0.0, None)] for service in SERVICES}
        self.in_flight = []

    @rule(
        service=st.sampled_from(SERVICES),
        slots=st.integers(1, 3),
        status=st.sampled_from([UpstreamStatus.READY, UpstreamStatus.DRAINING]),
    )
    def change_service(self, service, slots, status):
        upstream = UpstreamState(service, service, status, slots)
        self.members[service] = Member(
            "h", REMOTE_DOMAIN, "a", "r", 1, upstreams=(upstream,)
        )
        self.local.set_services(summarize_members(self.members.values()))
        reported = slots if status is UpstreamStatus.READY else None
        self.reported_slots[service].append((self.now, reported))

    @rule()
    def ask(self):
        for effect in self.remote.tick(self.now):
            replies = self.local.answer(effect.request, (), Random(2))
            self.in_flight += [(effect.sequence, reply) for reply in replies]

    @rule(index=st.integers(0, 5), duplicate=st.booleans())
    def deliver(self, index, duplicate):
        if index >= len(self.in_flight):
            return
        message = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        self.remote.receive_reply(REMOTE_DOMAIN, *message, self.now)

    @rule()
    def exchange(self):
        for effect in self.remote.tick(self.now):
            for reply in self.local.answer(effect.request, (), Random(2)):
                self.remote.receive_reply(
                    REMOTE_DOMAIN, effect.sequence, reply, self.now
                )

    @rule(seconds=st.sampled_from([2.0, LIFETIME + REPLY_TIMEOUT + 1.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def holds_only_what_was_stated_within_its_lifetime(self):
        for service in SERVICES:
            for summary in self.remote.list_remote(service, self.now):
                history = self.reported_slots[service]
                oldest = self.now - LIFETIME - REPLY_TIMEOUT
                recent = [
                    reported
                    for (_, reported), (ended_at, _) in zip(
                        history, [*history[1:], (self.now, None)], strict=True
                    )
                    if ended_at >= oldest
                ]
                assert summary.slots in recent


TestSummaries = SummaryMachine.TestCase
TestSummaries.settings = settings(max_examples=300)


class TestExchange:
    def test_unchanged_services_send_no_buckets(self):
        local = LocalSummary()
        members = []
        for number in range(550):
            upstream = UpstreamState("u", f"s{number}", UpstreamStatus.READY, 20)
            members.append(
                Member(f"h{number}", REMOTE_DOMAIN, "a", "r", 1, upstreams=(upstream,))
            )
        local.set_services(summarize_members(members))
        remote = RemoteSummaries("rc-a", random=Random(1))
        remote.add_contact(REMOTE_DOMAIN, "a", 0.0)
        for second in range(40):
            for effect in remote.tick(second * 2.0):
                for reply in local.answer(effect.request, (), Random(second)):
                    remote.receive_reply(
                        REMOTE_DOMAIN, effect.sequence, reply, second * 2.0
                    )
        assert len(remote.list_remote("s7", 79.0)) == 1
        [effect] = remote.tick(100.0)
        [reply] = local.answer(effect.request, (), Random(1))
        assert reply.buckets == ()

    def test_requested_service_is_sent_first(self):
        local = LocalSummary()
        members = []
        for number in range(550):
            upstream = UpstreamState("u" * 30, f"s{number}", UpstreamStatus.READY, 20)
            member = Member(
                f"h{number}", REMOTE_DOMAIN, "a", "r", 1, upstreams=(upstream,)
            )
            members.append(member)
        local.set_services(summarize_members(members))
        for seed in range(10):
            remote = RemoteSummaries("rc-a", random=Random(seed))
            remote.add_contact(REMOTE_DOMAIN, "a", 0.0)
            assert remote.list_remote("s7", 0.0) == []
            [effect] = remote.tick(0.0)
            for reply in local.answer(effect.request, (), Random(seed)):
                remote.receive_reply(REMOTE_DOMAIN, effect.sequence, reply, 0.0)
            assert remote.list_remote("s7", 0.0) != []
