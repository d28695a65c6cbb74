"""Daemons that follow the source of the configuration for others."""

from __future__ import annotations

import asyncio
import random
import time
import zlib
from dataclasses import replace
from types import SimpleNamespace

import pytest

from flamingohead.core.changes import Change
from flamingohead.core.dissemination import (
    ActivateSnapshot,
    Dissemination,
    DisseminationSettings,
    PullFromPeer,
    PushRecord,
    ReadSource,
)
from flamingohead.core.members import Member
from flamingohead.core.membership import Membership
from flamingohead.core.messages import Datagram, Ping
from flamingohead.core.resources import Pool, Rank, Route, Service, Snapshot
from flamingohead.core.subscription import (
    CHECK_PERIOD,
    COVER_SECONDS,
    KEPT_RECORDS,
    SUBSCRIBERS_PER_DOMAIN,
    RecordChain,
    Subscription,
    compute_capacity,
)
from flamingohead.core.versions import Replica, VersionRecord
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.subscription import SubscriptionService

DOMAIN = "makola"
SETTINGS = DisseminationSettings(polls_table=False, pull_delay=1.0, push_fanout=0)


def build_members(count, domain=DOMAIN):
    return [
        Member(f"{domain}-{n}", domain, f"10.0.0.1:{n + 1}", "relay", 1, group="g")
        for n in range(count)
    ]


def build_subscriptions(members, now=0.0):
    subscriptions = {}
    for member in members:
        own = Subscription(member.host_id, member.failure_domain, now)
        own.set_members(members)
        subscriptions[member.host_id] = own
    return subscriptions


def list_chosen(subscriptions):
    return [name for name, own in subscriptions.items() if own.is_chosen]


class TestChoice:
    def test_a_few_of_each_failure_domain_ask_the_source(self):
        members = [*build_members(39), *build_members(39, "osu")]
        subscriptions = build_subscriptions(members)
        chosen = list_chosen(subscriptions)
        assert len(chosen) == 2 * SUBSCRIBERS_PER_DOMAIN
        domains = [name.rpartition("-")[0] for name in chosen]
        assert domains.count(DOMAIN) == SUBSCRIBERS_PER_DOMAIN

    def test_one_tells_all_others_of_its_failure_domain(self):
        members = [*build_members(39), *build_members(39, "osu")]
        told = [
            member.host_id
            for own in build_subscriptions(members).values()
            for member in own.list_receivers()
        ]
        assert len(told) == len(set(told)) == 78 - 2 * SUBSCRIBERS_PER_DOMAIN

    def test_another_is_chosen_in_place_of_one_that_is_gone(self):
        members = build_members(39)
        gone = list_chosen(build_subscriptions(members))[0]
        left = [member for member in members if member.host_id != gone]
        chosen = list_chosen(build_subscriptions(left))
        assert gone not in chosen and len(chosen) == SUBSCRIBERS_PER_DOMAIN

    def test_hosts_that_take_a_large_document_fastest_are_chosen(self):
        small = compute_capacity(cores=0.43, link_mbps=5.0)
        large = compute_capacity(cores=2.15, link_mbps=100.0)
        assert small < large / 5
        members = [
            replace(member, capacity=large if number < 5 else small)
            for number, member in enumerate(build_members(39))
        ]
        chosen = list_chosen(build_subscriptions(members))
        assert set(chosen) < {f"{DOMAIN}-{number}" for number in range(5)}

    def test_daemon_that_met_nobody_asks_the_source_after_a_while(self):
        member = build_members(1)[0]
        own = build_subscriptions([member])[member.host_id]
        assert not own.is_needed(COVER_SECONDS - 0.1)
        assert own.is_needed(COVER_SECONDS)


class TestChecks:
    """Replay the loss of daemons that others rely on."""

    def replay(self, *, answering, current, seconds=10.0):
        """Return when a daemon that relies on others begins to ask by itself."""
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        chosen = list_chosen(subscriptions)
        name = next(name for name in subscriptions if name not in chosen)
        own, now, checks = subscriptions[name], 0.0, 0
        while now < seconds:
            checked = own.choose_check(now)
            if checked is not None:
                checks += 1
                order = [m.host_id for m in own._chosen]
                if order.index(checked) in answering:
                    is_current = order.index(checked) in current
                    own.receive(checked, is_current=is_current, now=now)
            if own.is_needed(now):
                return now
            now += 0.1
        assert checks <= seconds / CHECK_PERIOD + 1
        return None

    def test_daemon_relies_on_any_that_answers_and_reaches_the_source(self):
        assert self.replay(answering={0, 1, 2}, current={0, 1, 2}) is None
        assert self.replay(answering={1, 2}, current={1, 2}) is None
        assert self.replay(answering={2}, current={2}) is None
        assert self.replay(answering={0, 1, 2}, current={2}) is None

    @pytest.mark.parametrize("answering", [set(), {0, 1, 2}])
    def test_daemon_asks_by_itself_when_none_reaches_the_source(self, answering):
        assert self.replay(answering=answering, current=set()) < COVER_SECONDS + 0.2

    def test_paused_daemon_no_longer_vouches_for_the_source(self):
        own = build_subscriptions(build_members(2))[f"{DOMAIN}-0"]
        assert not own.note_turn(100.0)
        assert not own.note_turn(100.3)
        assert own.note_turn(105.0)
        assert not own.note_turn(105.25)

    def test_word_of_another_daemon_does_not_count(self):
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        names = [n for n in subscriptions if n not in list_chosen(subscriptions)]
        own = subscriptions[names[0]]
        own.receive(names[1], is_current=True, now=1.0)
        assert own.is_needed(COVER_SECONDS)


def build_snapshot(version, *paths):
    resources = [
        Service("x"),
        Pool("x", "x"),
        Rank("r", "x", 0, 500, 1.0, 0.0),
        *(Route(p, "x", p, ("*",), "x", "r", 1000, True, "h") for p in paths),
    ]
    return Snapshot.build(version, {r.key: r for r in resources})


def build_record(base, snapshot):
    difference = snapshot.compare(base)
    removed = [r.key for r in difference.before if r.key not in snapshot.resources]
    change = Change(difference.after, tuple(removed))
    return VersionRecord(
        snapshot.version, b"", b"", "", "", 0.0, change, base_version=base.version
    )


class TestRecordsOfTheSource:
    """Versions of the source have gaps, and their records no digests."""

    def test_record_turns_its_base_into_its_version(self):
        base, snapshot = build_snapshot(3, "/a/", "/b/"), build_snapshot(
            9, "/b/", "/c/"
        )
        replica = Replica(base)
        taken = replica.take_record(build_record(base, snapshot))
        assert taken == snapshot
        assert replica.version == 9
        assert replica.list_records_after(3) is None

    def test_record_on_another_base_is_left_alone(self):
        base, snapshot = build_snapshot(3, "/a/"), build_snapshot(9, "/c/")
        for held in (build_snapshot(2), build_snapshot(4), build_snapshot(9, "/c/")):
            replica = Replica(held)
            assert replica.take_record(build_record(base, snapshot)) is None
            assert replica.snapshot is held

    def test_record_never_leads_back(self):
        base, older = build_snapshot(9, "/a/"), build_snapshot(4, "/c/")
        replica = Replica(base)
        assert replica.take_record(build_record(base, older)) is None
        assert replica.version == 9

    def test_record_that_breaks_a_reference_is_refused_whole(self):
        base = build_snapshot(3, "/a/")
        lost = tuple(r.key for r in base.resources.values() if isinstance(r, Pool))
        record = VersionRecord(
            9, b"", b"", "", "", 0.0, Change((), lost), base_version=3
        )
        replica = Replica(base)
        assert replica.take_record(record).detail
        assert replica.snapshot is base


class TestRecordChain:
    """Replay a storm in which some daemons miss a change."""

    def build_chain(self, versions):
        chain = RecordChain()
        for base, version in zip(versions, versions[1:], strict=False):
            chain.add(
                build_record(build_snapshot(base), build_snapshot(version, "/a/"))
            )
        return chain

    def list_versions(self, chain, version):
        return [record.version for record in chain.list_after(version)]

    def test_daemon_is_told_all_that_it_missed_in_order(self):
        chain = self.build_chain([3, 9, 11, 20])
        assert self.list_versions(chain, 9) == [11, 20]
        assert self.list_versions(chain, 3) == [9, 11, 20]
        assert self.list_versions(chain, 20) == []

    def test_version_that_was_never_held_here_leads_nowhere(self):
        assert self.list_versions(self.build_chain([3, 9, 11]), 10) == []

    def test_chain_is_bounded_and_starts_anew_after_a_gap(self):
        chain = self.build_chain(list(range(1, 60)))
        assert len(self.list_versions(chain, 58 - KEPT_RECORDS)) == 0
        assert len(self.list_versions(chain, 59 - KEPT_RECORDS)) == KEPT_RECORDS
        chain.add(build_record(build_snapshot(70), build_snapshot(71, "/a/")))
        assert self.list_versions(chain, 58) == []

    def test_missed_changes_lead_to_the_version_of_the_others(self):
        versions = [build_snapshot(n, f"/{n}/", "/a/") for n in (3, 9, 11, 20)]
        chain = RecordChain()
        for base, snapshot in zip(versions, versions[1:], strict=False):
            chain.add(build_record(base, snapshot))
        replica = Replica(versions[1])
        for record in chain.list_after(replica.version):
            replica.take_record(record)
        assert replica.snapshot == versions[-1]


class TestReadsOfTheSource:
    def build(self, *, follows, current=True):
        dissemination = Dissemination(
            Replica(build_snapshot(3, "/a/")),
            random=random.Random(1),
            settings=SETTINGS,
        )
        dissemination.follows_source = follows
        if current:
            dissemination.finish_table_read(0.0)
        else:
            dissemination.fail_table_read(0.0)
        return dissemination

    def hear(self, dissemination, times, version=9):
        return [
            (now, effect)
            for now in times
            for effect in dissemination.receive_peer_version("peer", version, now)
            if isinstance(effect, ReadSource | PullFromPeer)
        ]

    def test_missed_change_is_read_from_the_source_once_in_a_while(self):
        heard = self.hear(self.build(follows=False), [n / 10 for n in range(20)])
        assert all(isinstance(effect, ReadSource) for _, effect in heard)
        assert heard[0][0] <= 0.7
        assert len(heard) == 2

    def test_change_too_large_to_be_told_is_read_at_once(self):
        dissemination = self.build(follows=False)
        base = dissemination.replica.snapshot
        record = replace(build_record(base, build_snapshot(9, "/c/")), change=None)
        assert dissemination.receive_records([record], 1.0) == [ReadSource()]
        assert dissemination.receive_records([record], 1.1) == []
        assert self.build(follows=True).receive_records([record], 1.0) == []

    def test_peer_is_asked_where_the_source_is_out_of_reach(self):
        dissemination = self.build(follows=False, current=False)
        heard = self.hear(dissemination, [0.0, 0.4])
        assert isinstance(heard[0][1], PullFromPeer)

    def test_daemon_that_follows_the_source_waits_for_it(self):
        heard = self.hear(self.build(follows=True), [n / 10 for n in range(15)])
        assert isinstance(heard[0][1], PullFromPeer) and heard[0][0] >= 1.0

    def test_change_that_is_told_is_in_force_and_not_told_on(self):
        dissemination = self.build(follows=False)
        base = dissemination.replica.snapshot
        record = build_record(base, build_snapshot(9, "/a/", "/c/"))
        effects = dissemination.receive_records([record], 1.0)
        assert isinstance(effects[0], ActivateSnapshot)
        pushed = [e for e in effects if isinstance(e, PushRecord)]
        assert all(effect.fanout == 0 for effect in pushed)
        assert not self.hear(dissemination, [1.1, 2.0])


class TestMissedChanges:
    def test_daemon_that_checks_with_an_old_version_is_told_again(self):
        kernel, sent = Kernel(), []
        members = build_members(9)
        first = min(members, key=lambda m: zlib.crc32(m.host_id.encode()))
        last = max(members, key=lambda m: zlib.crc32(m.host_id.encode()))
        membership = Membership(first, random=random.Random(1))
        membership.merge(members, 0.0)
        gossip = SimpleNamespace(
            membership=membership,
            listeners=[],
            send_record=lambda record, receivers: None,
            send_answer=lambda record, datagram: sent.append(record.version),
            ping=lambda host_id: None,
        )
        kernel.add("gossip", gossip)
        kernel.add("metrics", MetricsService())
        kernel.add("configuration", SimpleNamespace(set_source_follower=bool))
        service = SubscriptionService(kernel)
        asyncio.run(TestPausedDaemons().start(service))
        service._tick()
        versions = [build_snapshot(n, f"/{n}/") for n in (3, 9, 11)]
        for base, snapshot in zip(versions, versions[1:], strict=False):
            service.spread(base, snapshot)
        for version in (9, 11, 10):
            ping = Datagram(last.host_id, "a", "g", 1, version, Ping())
            gossip.listeners[0](ping)
        assert sent == [11]


class TestPausedDaemons:
    def build_service(self):
        kernel = Kernel()
        membership = Membership(build_members(2)[0], random=random.Random(1))
        membership.merge(build_members(2), 0.0)
        kernel.add("gossip", SimpleNamespace(membership=membership, listeners=[]))
        kernel.add("configuration", SimpleNamespace(set_source_follower=bool))
        service = SubscriptionService(kernel)
        asyncio.run(self.start(service))
        return service, membership

    async def start(self, service):
        await service.start()
        await service.stop()

    def test_daemon_that_slept_says_so_until_the_source_answers(self, monkeypatch):
        clock = [100.0]
        monkeypatch.setattr(time, "clock_gettime", lambda _: clock[0])
        service, membership = self.build_service()
        service._tick()
        service.note_source(reached=True)
        assert membership._datagrams.follows_source
        clock[0] += 30.0
        service._tick()
        assert not membership._datagrams.follows_source
        service.note_source(reached=True)
        assert membership._datagrams.follows_source
