"""Tests of daemons that follow the source of the configuration for others."""

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
    CALL_MARGIN_SECONDS,
    CHECK_INTERVAL_SECONDS,
    COVERAGE_TIMEOUT_SECONDS,
    SUBSCRIBER_COVERAGE_TIMEOUT_SECONDS,
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
        subscription = Subscription(member.host_id, member.failure_domain, now)
        subscription.set_members(members)
        subscriptions[member.host_id] = subscription
    return subscriptions


def list_chosen(subscriptions):
    return [
        name
        for name, subscription in subscriptions.items()
        if subscription.is_subscriber
    ]


class TestChoice:
    def test_few_daemons_per_failure_domain_follow_the_source(self):
        members = [*build_members(39), *build_members(39, "osu")]
        subscriptions = build_subscriptions(members)
        chosen = list_chosen(subscriptions)
        assert len(chosen) == 2 * SUBSCRIBERS_PER_DOMAIN
        domains = [name.rpartition("-")[0] for name in chosen]
        assert domains.count(DOMAIN) == SUBSCRIBERS_PER_DOMAIN

    def test_each_daemon_is_notified_by_one_of_its_failure_domain(self):
        members = [*build_members(39), *build_members(39, "osu")]
        receivers = [
            member.host_id
            for subscription in build_subscriptions(members).values()
            for member in subscription.list_receivers()
        ]
        # The followers of the source are notified too.
        assert len(receivers) == len(set(receivers)) == 78 - 2

    def test_replacement_is_chosen_for_a_removed_daemon(self):
        members = build_members(39)
        removed = list_chosen(build_subscriptions(members))[0]
        remaining = [member for member in members if member.host_id != removed]
        chosen = list_chosen(build_subscriptions(remaining))
        assert removed not in chosen and len(chosen) == SUBSCRIBERS_PER_DOMAIN

    def test_hosts_that_load_a_large_document_fastest_are_chosen(self):
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
        receivers = [
            m
            for subscription in subscriptions.values()
            for m in subscription.list_receivers()
        ]
        assert len(receivers) == 19

    def test_daemon_without_peers_needs_the_source_after_a_timeout(self):
        member = build_members(1)[0]
        subscription = build_subscriptions([member])[member.host_id]
        assert not subscription.needs_source(COVERAGE_TIMEOUT_SECONDS - 0.1)
        assert subscription.needs_source(COVERAGE_TIMEOUT_SECONDS)


class TestChecks:
    """Replay the loss of daemons that other daemons rely on."""

    def replay(self, *, answering, current, seconds=10.0):
        """Return when a daemon that relies on others needs the source itself."""
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        chosen = list_chosen(subscriptions)
        name = next(name for name in subscriptions if name not in chosen)
        subscription, now, checks = subscriptions[name], 0.0, 0
        while now < seconds:
            checked = subscription.choose_check_target(now)
            if checked is not None:
                checks += 1
                order = [m.host_id for m in subscription._subscribers]
                if order.index(checked) in answering:
                    is_current = order.index(checked) in current
                    subscription.record_heartbeat(
                        checked, is_current=is_current, now=now
                    )
            if subscription.needs_source(now):
                return now
            now += 0.1
        assert checks <= seconds / CHECK_INTERVAL_SECONDS + 1
        return None

    def test_daemon_relies_on_any_subscriber_that_reaches_the_source(self):
        assert self.replay(answering={0, 1, 2}, current={0, 1, 2}) is None
        assert self.replay(answering={1, 2}, current={1, 2}) is None
        assert self.replay(answering={2}, current={2}) is None
        assert self.replay(answering={0, 1, 2}, current={2}) is None

    @pytest.mark.parametrize("answering", [set(), {0, 1, 2}])
    def test_daemon_needs_the_source_when_no_subscriber_reaches_it(self, answering):
        assert (
            self.replay(answering=answering, current=set())
            < COVERAGE_TIMEOUT_SECONDS + 0.2
        )

    def test_paused_daemon_no_longer_confirms_the_source(self):
        subscription = build_subscriptions(build_members(2))[f"{DOMAIN}-0"]
        assert not subscription.detect_pause(100.0)
        assert not subscription.detect_pause(100.3)
        assert subscription.detect_pause(105.0)
        assert not subscription.detect_pause(105.25)

    def test_next_subscriber_is_checked_while_others_than_the_checked_one_respond(self):
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        chosen = list_chosen(subscriptions)
        name = next(name for name in subscriptions if name not in chosen)
        subscription = subscriptions[name]
        first, *others = [m.host_id for m in subscription._subscribers]
        checked, now = [], 0.0
        while now < 3 * CHECK_INTERVAL_SECONDS:
            checked.append(subscription.choose_check_target(now))
            for other in others:
                # Membership datagrams arrive from others than the checked daemon.
                subscription.record_heartbeat(other, is_current=True, now=now)
            now += 0.1
        assert [host for host in checked if host][:2] == [first, others[0]]

    def test_confirmation_from_an_unchosen_daemon_is_ignored(self):
        members = build_members(39)
        subscriptions = build_subscriptions(members)
        names = [n for n in subscriptions if n not in list_chosen(subscriptions)]
        subscription = subscriptions[names[0]]
        subscription.record_heartbeat(names[1], is_current=True, now=1.0)
        assert subscription.needs_source(COVERAGE_TIMEOUT_SECONDS)


class TestCalls:
    """Guard against reads of the document over full links, where datagrams are lost."""

    def build(self):
        subscriptions = build_subscriptions(build_members(39))
        chosen = list_chosen(subscriptions)
        name = next(name for name in subscriptions if name not in chosen)
        return subscriptions[name], [subscriptions[host] for host in chosen]

    def test_call_is_due_before_the_source_is_needed(self):
        subscription, _ = self.build()
        due_at = COVERAGE_TIMEOUT_SECONDS - CALL_MARGIN_SECONDS
        assert subscription.choose_called_subscriber(due_at - 0.01) is None
        called = {subscription.choose_called_subscriber(due_at) for _ in range(6)}
        assert called == set(subscription.list_other_subscribers())
        assert not subscription.needs_source(due_at)

    def test_subscribers_call_nobody(self):
        _, subscribers = self.build()
        for subscriber in subscribers:
            assert subscriber.choose_called_subscriber(60.0) is None

    def test_calls_stand_in_for_datagrams(self):
        subscription, _ = self.build()
        for step in range(100):
            now = step / 10
            member = subscription.choose_called_subscriber(now)
            if member is not None:
                subscription.record_heartbeat(member.host_id, is_current=True, now=now)
            assert not subscription.needs_source(now)

    @pytest.mark.parametrize("follows_source", [True, False])
    def test_reply_confirms_the_source_as_a_datagram_does(self, follows_source):
        subscription, subscribers = self.build()
        kernel, found = Kernel(), []
        reply = pb.StatusReply(version=9, follows_source=follows_source)

        async def call(address, method, request, *, timeout):
            return reply

        kernel.add("peers", SimpleNamespace(call=call))
        kernel.add("metrics", SimpleNamespace(count=lambda name: None))
        configuration = SimpleNamespace(
            receive_peer_version=lambda *arguments: found.append(arguments)
        )
        kernel.add("configuration", configuration)
        service = SubscriptionService(kernel)
        service._subscription = subscription
        member = subscription.list_other_subscribers()[0]
        asyncio.run(service._call_subscriber(member))
        now = time.monotonic()
        assert subscription.needs_source(now) is not follows_source
        assert found == [(member.peer_address, 9)]


class TestStandby:
    """Replay the followers behind the first, whose long polls may be lost unnoticed."""

    def build(self):
        subscriptions = build_subscriptions(build_members(39))
        names = [m.host_id for m in subscriptions[f"{DOMAIN}-0"]._subscribers]
        return names, [subscriptions[name] for name in names]

    def replay(self, subscription, *, until, confirmed_by=(), seconds=10.0):
        """Return when a subscriber polls often, from when it does not on."""
        now, polls = 0.0, []
        while now < seconds:
            checked = subscription.choose_check_target(now)
            if checked in confirmed_by and now < until:
                subscription.record_heartbeat(checked, is_current=True, now=now)
            polls.append((round(now, 1), subscription.polls_often(now)))
            now += 0.1
        return [at for at, often in polls if often]

    def test_first_subscriber_polls_often(self):
        names, (first, *_) = self.build()
        times = self.replay(first, until=10.0, confirmed_by=names)
        assert len(times) == len(self.replay(first, until=0.0))

    @pytest.mark.parametrize("rank", [1, 2])
    def test_others_poll_often_once_the_first_is_lost(self, rank):
        names, subscriptions = self.build()
        times = self.replay(subscriptions[rank], until=5.0, confirmed_by=names[:1])
        lost_at = 5.0 + SUBSCRIBER_COVERAGE_TIMEOUT_SECONDS
        assert 5.0 < min(times) <= lost_at

    def test_subscriber_does_not_rely_on_a_later_one(self):
        names, subscriptions = self.build()
        times = self.replay(subscriptions[1], until=10.0, confirmed_by=names[2:])
        assert min(times) == pytest.approx(COVERAGE_TIMEOUT_SECONDS)

    def test_third_relies_on_the_second(self):
        names, subscriptions = self.build()
        assert not self.replay(subscriptions[2], until=10.0, confirmed_by=names[1:2])


def build_snapshot(version, *paths):
    resources = [
        Service("x"),
        Pool("x", "x"),
        Rank("r", "x", 0, 500, 1.0, 0.0),
        *(Route(p, "x", p, ("*",), "x", "r", 1000, True, "h") for p in paths),
    ]
    return Snapshot.build(version, {r.key: r for r in resources})


class TestRecordsOfTheSource:
    """Check records of the source: versions with gaps, and no digests."""

    def test_record_updates_its_base_to_its_version(self):
        base, snapshot = build_snapshot(3, "/a/", "/b/"), build_snapshot(
            9, "/b/", "/c/"
        )
        replica = Replica(base)
        applied = replica.apply_record(build_source_record(base, snapshot))
        assert applied == snapshot
        assert replica.version == 9
        assert replica.list_records_after(3) is None

    def test_record_on_another_base_is_ignored(self):
        base, snapshot = build_snapshot(3, "/a/"), build_snapshot(9, "/c/")
        for current in (build_snapshot(2), build_snapshot(4), build_snapshot(9, "/c/")):
            replica = Replica(current)
            assert replica.apply_record(build_source_record(base, snapshot)) is None
            assert replica.snapshot is current

    def test_record_of_an_older_version_is_ignored(self):
        base, older = build_snapshot(9, "/a/"), build_snapshot(4, "/c/")
        replica = Replica(base)
        assert replica.apply_record(build_source_record(base, older)) is None
        assert replica.version == 9

    def test_record_that_breaks_a_reference_is_refused_without_effect(self):
        base = build_snapshot(3, "/a/")
        removed = tuple(r.key for r in base.resources.values() if isinstance(r, Pool))
        record = VersionRecord(
            9, b"", b"", "", "", 0.0, Change((), removed), base_version=3
        )
        replica = Replica(base)
        assert replica.apply_record(record).detail
        assert replica.snapshot is base


class TestChangesOfManyRoutes:
    """Replay a change of 1,160 routes for hosts with links of 3.5 Mbit/s."""

    LINK_BYTES_PER_SECOND = 3.5e6 / 8
    # Strictest time limit of a deployment for a change to be in force, in seconds.
    IN_FORCE_SECONDS = 2.0

    def build_service(self):
        """Return a service that has applied the change, and the base snapshot."""
        names = [f"/{zlib.crc32(b'%d' % n):x}/{n:x}/" for n in range(1200)]
        base = build_snapshot(3, *names[:40])
        replica = Replica(base)
        replica.apply_snapshot(build_snapshot(9, *names))
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        dissemination = Dissemination(replica, random=random.Random(1))
        return ConfigurationService(kernel, dissemination), base

    def test_change_takes_a_small_part_of_the_time_limit_on_a_slow_link(self):
        service, base = self.build_service()
        reply = service.get_pull_reply(3, takes_packed=True)
        seconds = reply.ByteSize() / self.LINK_BYTES_PER_SECOND
        assert seconds < self.IN_FORCE_SECONDS / 10
        records = packing.unpack_pull_reply(reply).records
        receiver = Replica(base)
        for record in records:
            receiver.apply_record(codec.decode_record(record))
        assert receiver.snapshot == service.replica.snapshot

    def test_reply_is_built_once_per_requested_version(self):
        service, _ = self.build_service()
        first = service.get_pull_reply(3, takes_packed=True)
        assert service.get_pull_reply(3, takes_packed=True) is first

    def test_daemon_of_an_earlier_release_gets_an_unpacked_reply(self):
        reply = self.build_service()[0].get_pull_reply(3)
        assert not reply.packed and len(reply.records) == 1

    @pytest.mark.parametrize("data", [b"no zlib", zlib.compress(b"x" * 100)[:-5]])
    def test_malformed_packed_reply_is_refused(self, data):
        with pytest.raises(codec.CodecError):
            packing.unpack_pull_reply(pb.PullReply(packed=data))

    def test_size_of_an_unpacked_reply_is_limited(self):
        data = zlib.compress(bytes(2 * packing.MAX_UNPACKED_BYTES))
        with pytest.raises(codec.CodecError, match="over"):
            packing.unpack_pull_reply(pb.PullReply(packed=data))


class TestRecordChain:
    """Replay frequent changes of which some daemons miss one."""

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

    def test_missed_records_are_listed_in_order(self):
        chain = self.build_chain([3, 9, 11, 20])
        assert self.list_versions(chain, 9) == [11, 20]
        assert self.list_versions(chain, 3) == [9, 11, 20]
        assert self.list_versions(chain, 20) == []

    def test_unknown_version_yields_no_records(self):
        assert self.list_versions(self.build_chain([3, 9, 11]), 10) == []

    def test_chain_is_bounded_and_restarts_after_a_gap(self):
        chain = self.build_chain(list(range(1, 60)))
        assert len(self.list_versions(chain, 58 - MAX_SOURCE_RECORDS)) == 0
        assert (
            len(self.list_versions(chain, 59 - MAX_SOURCE_RECORDS))
            == MAX_SOURCE_RECORDS
        )
        chain.add(build_source_record(build_snapshot(70), build_snapshot(71, "/a/")))
        assert self.list_versions(chain, 58) == []

    def test_missed_records_lead_to_the_newest_version(self):
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

    def receive_versions(self, dissemination, times, version=9):
        return [
            (now, effect)
            for now in times
            for effect in dissemination.receive_peer_version("peer", version, now)
            if isinstance(effect, ReadSource | PullFromPeer)
        ]

    def test_missed_change_is_pulled_from_a_peer_that_is_ahead(self):
        timed_effects = self.receive_versions(
            self.build(follows=False), [n / 10 for n in range(20)]
        )
        assert (
            isinstance(timed_effects[0][1], PullFromPeer) and timed_effects[0][0] <= 0.7
        )
        assert len(timed_effects) == 1

    def test_empty_pulls_alternate_with_reads_of_the_source(self):
        dissemination = self.build(follows=False)
        requested = []
        for now in (n / 10 for n in range(50)):
            for _, effect in self.receive_versions(dissemination, [now]):
                requested.append(type(effect))
                if isinstance(effect, PullFromPeer):
                    assert len(dissemination.record_pull_end(now)) <= 1
        assert requested[0] is PullFromPeer and ReadSource in requested
        assert len(requested) <= 2 * 50

    def test_change_too_large_to_push_is_pulled_at_once_from_its_sender(self):
        for follows in (False, True):
            dissemination = self.build(follows=follows)
            base = dissemination.replica.snapshot
            snapshot = build_snapshot(9, "/c/")
            record = replace(build_source_record(base, snapshot), change=None)
            effects = dissemination.receive_records([record], 1.0, sender="first")
            assert effects == [PullFromPeer("first", 3)]
            assert dissemination.receive_records([record], 1.1, sender="first") == []

    def test_change_on_a_version_that_was_missed_is_pulled_at_once(self):
        dissemination = self.build(follows=False)
        record = build_source_record(
            build_snapshot(9, "/c/"), build_snapshot(11, "/d/")
        )
        effects = dissemination.receive_records([record], 1.0, sender="first")
        assert effects == [PullFromPeer("first", 3)]

    def test_versions_received_during_a_pull_are_pulled_after_it(self):
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

    def test_empty_pull_is_not_repeated_at_once(self):
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

    def test_source_behind_a_peer_does_not_delay_a_daemon(self):
        dissemination = self.build(follows=False)
        older = build_snapshot(3, "/a/")
        for now in (n / 10 for n in range(20)):
            for _, effect in self.receive_versions(dissemination, [now]):
                if isinstance(effect, PullFromPeer):
                    dissemination.receive_snapshot(build_snapshot(9), None, now)
                    dissemination.record_pull_end(now)
                else:
                    dissemination.receive_snapshot(older, None, now)
        assert dissemination.replica.version == 9

    def test_daemon_without_a_configuration_reads_the_source(self):
        dissemination = Dissemination(
            Replica(), random=random.Random(1), settings=SETTINGS
        )
        dissemination.follows_source = False
        dissemination.record_table_read(0.0, found=False)
        timed_effects = self.receive_versions(dissemination, [n / 10 for n in range(8)])
        assert [type(effect) for _, effect in timed_effects] == [ReadSource]

    def test_peer_is_queried_when_the_source_is_unreachable(self):
        dissemination = self.build(follows=False, current=False)
        timed_effects = self.receive_versions(dissemination, [0.0, 0.4])
        assert isinstance(timed_effects[0][1], PullFromPeer)

    def test_daemon_that_follows_the_source_waits_for_it(self):
        timed_effects = self.receive_versions(
            self.build(follows=True), [n / 10 for n in range(15)]
        )
        assert (
            isinstance(timed_effects[0][1], PullFromPeer) and timed_effects[0][0] >= 1.0
        )

    def test_pushed_change_is_activated_and_not_forwarded(self):
        dissemination = self.build(follows=False)
        base = dissemination.replica.snapshot
        record = build_source_record(base, build_snapshot(9, "/a/", "/c/"))
        effects = dissemination.receive_records([record], 1.0)
        assert isinstance(effects[0], ActivateSnapshot)
        assert not [e for e in effects if isinstance(e, PushRecord)]
        assert not self.receive_versions(dissemination, [1.1, 2.0])


def build_configuration(replica):
    return SimpleNamespace(set_source_follower=bool, listeners=[], replica=replica)


class TestMissedChanges:
    def test_missed_changes_are_resent_to_a_daemon_with_an_old_version(self):
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
        gossip = SimpleNamespace(membership=membership, listeners=[])
        gossip.ping = lambda host_id: None
        kernel.add("gossip", gossip)
        kernel.add("configuration", build_configuration(Replica()))
        service = SubscriptionService(kernel)
        asyncio.run(self.start(service))
        return service, membership

    async def start(self, service):
        await service.start()
        await service.stop()

    def test_paused_daemon_does_not_follow_until_the_source_answers(self, monkeypatch):
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

    def test_paused_daemon_repeats_its_request_to_the_source(self, monkeypatch):
        clock, repeated = [100.0], []
        monkeypatch.setattr(time, "clock_gettime", lambda _: clock[0])
        service, _ = self.build_service()
        service.listeners.append(lambda: repeated.append(clock[0]))
        service._tick()
        assert not repeated
        clock[0] += 30.0
        service._tick()
        assert repeated == [130.0]


class TestTimeBehind:
    def test_longest_time_behind_a_newer_version_is_kept(self):
        dissemination = Dissemination(
            Replica(build_snapshot(3, "/a/")), random=random.Random(1)
        )
        for version, heard_at, held_at in ((4, 10.0, 12.5), (5, 20.0, 20.5)):
            dissemination.receive_peer_version("peer", version, heard_at)
            dissemination.receive_peer_version("peer", version, heard_at + 0.1)
            snapshot = build_snapshot(version, "/a/", f"/{version}/")
            dissemination.receive_snapshot(snapshot, None, held_at)
        assert dissemination.longest_behind == 2.5
