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
    CHECK_INTERVAL,
    COVERAGE_TIMEOUT,
    SUBSCRIBERS_PER_DOMAIN,
    Subscription,
    compute_capacity,
)
from flamingohead.core.versions import (
    MAX_SOURCE_RECORDS,
    RecordChain,
    Replica,
    VersionRecord,
    build_source_record,
)
from flamingohead.kernel import Kernel
from flamingohead.protocol import codec, packing, peers_pb2 as pb
from flamingohead.services.configuration import ConfigurationService
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
    return [name for name, own in subscriptions.items() if own.is_subscriber]


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
        # Those that follow the source themselves are told too.
        assert len(told) == len(set(told)) == 78 - 2

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

    @pytest.mark.parametrize(("fast", "expected"), [(0, 3), (1, 3), (2, 2), (3, 3)])
    def test_host_much_smaller_than_the_first_two_does_not_follow(self, fast, expected):
        small = compute_capacity(cores=0.43, link_mbps=7.0)
        large = compute_capacity(cores=2.15, link_mbps=140.0)
        members = [
            replace(member, capacity=large if number < fast else small)
            for number, member in enumerate(build_members(20))
        ]
        subscriptions = build_subscriptions(members)
        assert len(list_chosen(subscriptions)) == expected
        told = [m for own in subscriptions.values() for m in own.list_receivers()]
        assert len(told) == 19

    def test_daemon_that_met_nobody_asks_the_source_after_a_while(self):
        member = build_members(1)[0]
        own = build_subscriptions([member])[member.host_id]
        assert not own.needs_source(COVERAGE_TIMEOUT - 0.1)
        assert own.needs_source(COVERAGE_TIMEOUT)


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
            checked = own.choose_check_target(now)
            if checked is not None:
                checks += 1
                order = [m.host_id for m in own._subscribers]
                if order.index(checked) in answering:
                    is_current = order.index(checked) in current
                    own.record_heartbeat(checked, is_current=is_current, now=now)
            if own.needs_source(now):
                return now
            now += 0.1
        assert checks <= seconds / CHECK_INTERVAL + 1
        return None

    def test_daemon_relies_on_any_that_answers_and_reaches_the_source(self):
        assert self.replay(answering={0, 1, 2}, current={0, 1, 2}) is None
        assert self.replay(answering={1, 2}, current={1, 2}) is None
        assert self.replay(answering={2}, current={2}) is None
        assert self.replay(answering={0, 1, 2}, current={2}) is None

    @pytest.mark.parametrize("answering", [set(), {0, 1, 2}])
    def test_daemon_asks_by_itself_when_none_reaches_the_source(self, answering):
        assert self.replay(answering=answering, current=set()) < COVERAGE_TIMEOUT + 0.2

    def test_paused_daemon_no_longer_vouches_for_the_source(self):
        own = build_subscriptions(build_members(2))[f"{DOMAIN}-0"]
        assert not own.detect_pause(100.0)
        assert not own.detect_pause(100.3)
        assert own.detect_pause(105.0)
        assert not own.detect_pause(105.25)

    def test_word_of_another_daemon_does_not_count(self):
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        names = [n for n in subscriptions if n not in list_chosen(subscriptions)]
        own = subscriptions[names[0]]
        own.record_heartbeat(names[1], is_current=True, now=1.0)
        assert own.needs_source(COVERAGE_TIMEOUT)


def build_snapshot(version, *paths):
    resources = [
        Service("x"),
        Pool("x", "x"),
        Rank("r", "x", 0, 500, 1.0, 0.0),
        *(Route(p, "x", p, ("*",), "x", "r", 1000, True, "h") for p in paths),
    ]
    return Snapshot.build(version, {r.key: r for r in resources})


class TestRecordsOfTheSource:
    """Versions of the source have gaps, and their records no digests."""

    def test_record_turns_its_base_into_its_version(self):
        base, snapshot = build_snapshot(3, "/a/", "/b/"), build_snapshot(
            9, "/b/", "/c/"
        )
        replica = Replica(base)
        taken = replica.apply_record(build_source_record(base, snapshot))
        assert taken == snapshot
        assert replica.version == 9
        assert replica.list_records_after(3) is None

    def test_record_on_another_base_is_left_alone(self):
        base, snapshot = build_snapshot(3, "/a/"), build_snapshot(9, "/c/")
        for held in (build_snapshot(2), build_snapshot(4), build_snapshot(9, "/c/")):
            replica = Replica(held)
            assert replica.apply_record(build_source_record(base, snapshot)) is None
            assert replica.snapshot is held

    def test_record_never_leads_back(self):
        base, older = build_snapshot(9, "/a/"), build_snapshot(4, "/c/")
        replica = Replica(base)
        assert replica.apply_record(build_source_record(base, older)) is None
        assert replica.version == 9

    def test_record_that_breaks_a_reference_is_refused_whole(self):
        base = build_snapshot(3, "/a/")
        lost = tuple(r.key for r in base.resources.values() if isinstance(r, Pool))
        record = VersionRecord(
            9, b"", b"", "", "", 0.0, Change((), lost), base_version=3
        )
        replica = Replica(base)
        assert replica.apply_record(record).detail
        assert replica.snapshot is base


class TestChangesOfManyRoutes:
    """Replay a change of 1,160 routes for hosts with links of 3.5 Mbit/s."""

    LINK_BYTES_PER_SECOND = 3.5e6 / 8
    # The shortest bound of a deployment for a change to be in force, in seconds.
    IN_FORCE_SECONDS = 2.0

    def build_service(self):
        """Return the service of a daemon that took the change, and the base of it."""
        names = [f"/{zlib.crc32(b'%d' % n):x}/{n:x}/" for n in range(1200)]
        base = build_snapshot(3, *names[:40])
        replica = Replica(base)
        replica.apply_snapshot(build_snapshot(9, *names))
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        dissemination = Dissemination(replica, random=random.Random(1))
        return ConfigurationService(kernel, dissemination), base

    def test_change_takes_a_small_part_of_the_bound_on_a_small_link(self):
        service, base = self.build_service()
        reply = service.get_pull_reply(3, takes_packed=True)
        seconds = reply.ByteSize() / self.LINK_BYTES_PER_SECOND
        assert seconds < self.IN_FORCE_SECONDS / 10
        records = packing.unpack_pull_reply(reply).records
        other = Replica(base)
        for record in records:
            other.apply_record(codec.decode_record(record))
        assert other.snapshot == service.replica.snapshot

    def test_reply_is_made_once_for_all_that_hold_the_same_version(self):
        service, _ = self.build_service()
        first = service.get_pull_reply(3, takes_packed=True)
        assert service.get_pull_reply(3, takes_packed=True) is first

    def test_daemon_of_an_earlier_version_gets_a_reply_that_it_knows(self):
        reply = self.build_service()[0].get_pull_reply(3)
        assert not reply.packed and len(reply.records) == 1

    @pytest.mark.parametrize("data", [b"no zlib", zlib.compress(b"x" * 100)[:-5]])
    def test_packed_reply_that_is_not_whole_is_refused(self, data):
        with pytest.raises(codec.CodecError):
            packing.unpack_pull_reply(pb.PullReply(packed=data))

    def test_packed_reply_without_an_end_is_bounded(self):
        data = zlib.compress(bytes(2 * packing.MAX_UNPACKED_BYTES))
        with pytest.raises(codec.CodecError, match="over"):
            packing.unpack_pull_reply(pb.PullReply(packed=data))


class TestRecordChain:
    """Replay a storm in which some daemons miss a change."""

    def build_chain(self, versions):
        chain = RecordChain()
        for base, version in zip(versions, versions[1:], strict=False):
            chain.add(
                build_source_record(
                    build_snapshot(base), build_snapshot(version, "/a/")
                )
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
        assert len(self.list_versions(chain, 58 - MAX_SOURCE_RECORDS)) == 0
        assert (
            len(self.list_versions(chain, 59 - MAX_SOURCE_RECORDS))
            == MAX_SOURCE_RECORDS
        )
        chain.add(build_source_record(build_snapshot(70), build_snapshot(71, "/a/")))
        assert self.list_versions(chain, 58) == []

    def test_missed_changes_lead_to_the_version_of_the_others(self):
        versions = [build_snapshot(n, f"/{n}/", "/a/") for n in (3, 9, 11, 20)]
        chain = RecordChain()
        for base, snapshot in zip(versions, versions[1:], strict=False):
            chain.add(build_source_record(base, snapshot))
        replica = Replica(versions[1])
        for record in chain.list_after(replica.version):
            replica.apply_record(record)
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
            dissemination.record_table_read(0.0)
        else:
            dissemination.record_table_failure(0.0)
        return dissemination

    def hear(self, dissemination, times, version=9):
        return [
            (now, effect)
            for now in times
            for effect in dissemination.receive_peer_version("peer", version, now)
            if isinstance(effect, ReadSource | PullFromPeer)
        ]

    def test_missed_change_is_pulled_from_a_peer_that_is_ahead(self):
        heard = self.hear(self.build(follows=False), [n / 10 for n in range(20)])
        assert isinstance(heard[0][1], PullFromPeer) and heard[0][0] <= 0.7
        assert len(heard) == 1

    def test_pulls_that_bring_nothing_take_turns_with_reads_of_the_source(self):
        dissemination = self.build(follows=False)
        asked = []
        for now in (n / 10 for n in range(50)):
            for _, effect in self.hear(dissemination, [now]):
                asked.append(type(effect))
                if isinstance(effect, PullFromPeer):
                    assert len(dissemination.record_pull_end(now)) <= 1
        assert asked[0] is PullFromPeer and ReadSource in asked
        assert len(asked) <= 2 * 50

    def test_change_too_large_to_be_told_is_pulled_at_once_from_who_told(self):
        for follows in (False, True):
            dissemination = self.build(follows=follows)
            base = dissemination.replica.snapshot
            snapshot = build_snapshot(9, "/c/")
            record = replace(build_source_record(base, snapshot), change=None)
            told = dissemination.receive_records([record], 1.0, sender="first")
            assert told == [PullFromPeer("first", 3)]
            assert dissemination.receive_records([record], 1.1, sender="first") == []

    def test_change_on_a_version_that_was_missed_is_pulled_at_once(self):
        dissemination = self.build(follows=False)
        record = build_source_record(
            build_snapshot(9, "/c/"), build_snapshot(11, "/d/")
        )
        told = dissemination.receive_records([record], 1.0, sender="first")
        assert told == [PullFromPeer("first", 3)]

    def test_versions_told_during_a_pull_are_pulled_after_it(self):
        dissemination = self.build(follows=False)
        versions = [dissemination.replica.snapshot]
        versions += [build_snapshot(n, f"/{n}/") for n in (9, 11)]
        records = [
            build_source_record(base, snapshot)
            for base, snapshot in zip(versions, versions[1:], strict=False)
        ]
        large = replace(records[0], change=None)
        dissemination.receive_records([large], 1.0, sender="first")
        assert dissemination.receive_records([records[1]], 1.1, sender="first") == []
        dissemination.receive_records([records[0]], 1.2)
        assert dissemination.record_pull_end(1.2) == [PullFromPeer("first", 9)]

    def test_pull_that_brought_nothing_is_not_repeated_at_once(self):
        dissemination = self.build(follows=False)
        record = replace(
            build_source_record(
                dissemination.replica.snapshot, build_snapshot(9, "/c/")
            ),
            change=None,
        )
        dissemination.receive_records([record], 1.0, sender="first")
        assert dissemination.record_pull_end(1.01) == [ReadSource()]
        dissemination.receive_records([record], 1.02, sender="first")
        assert dissemination.record_pull_end(1.03) == []

    def test_source_that_is_behind_a_peer_does_not_hold_a_daemon_back(self):
        dissemination = self.build(follows=False)
        older = build_snapshot(3, "/a/")
        for now in (n / 10 for n in range(20)):
            for _, effect in self.hear(dissemination, [now]):
                if isinstance(effect, PullFromPeer):
                    dissemination.receive_snapshot(build_snapshot(9), None, now)
                    dissemination.record_pull_end(now)
                else:
                    dissemination.receive_snapshot(older, None, now)
        assert dissemination.replica.version == 9

    def test_daemon_that_serves_nobody_yet_reads_the_source(self):
        dissemination = Dissemination(
            Replica(), random=random.Random(1), settings=SETTINGS
        )
        dissemination.follows_source = False
        dissemination.record_table_read(0.0, found=False)
        heard = self.hear(dissemination, [n / 10 for n in range(8)])
        assert [type(effect) for _, effect in heard] == [ReadSource]

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
        record = build_source_record(base, build_snapshot(9, "/a/", "/c/"))
        effects = dissemination.receive_records([record], 1.0)
        assert isinstance(effects[0], ActivateSnapshot)
        assert not [e for e in effects if isinstance(e, PushRecord)]
        assert not self.hear(dissemination, [1.1, 2.0])


def build_configuration(replica):
    return SimpleNamespace(set_source_follower=bool, listeners=[], replica=replica)


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
            reply_with_record=lambda record, datagram: sent.append(record.version),
            ping=lambda host_id: None,
        )
        kernel.add("gossip", gossip)
        kernel.add("metrics", MetricsService())
        replica = Replica(build_snapshot(3, "/3/"))
        for n in (9, 11):
            replica.apply_snapshot(build_snapshot(n, f"/{n}/"))
        kernel.add("configuration", build_configuration(replica))
        service = SubscriptionService(kernel)
        asyncio.run(TestPausedDaemons().start(service))
        service._tick()
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
        kernel.add("configuration", build_configuration(Replica()))
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
        service.record_source_state(reached=True)
        assert membership._datagrams.follows_source
        clock[0] += 30.0
        service._tick()
        assert not membership._datagrams.follows_source
        service.record_source_state(reached=True)
        assert membership._datagrams.follows_source
