"""Tests of the service that accepts keys, with fakes of the other services."""

from __future__ import annotations

import asyncio
import logging
import random
from types import SimpleNamespace

import pytest

from flamingohead.core.datagrams import SendDatagram
from flamingohead.core.eras import StoreVersion
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.following import CONFIRMING_POLL_SECONDS, derive_timeouts
from flamingohead.core.members import Member
from flamingohead.core.membership import Membership
from flamingohead.core.messages import Ack, Datagram
from flamingohead.core.organisations.identity import identify_organisation
from flamingohead.core.routing import RouteTable
from flamingohead.kernel import Kernel
from flamingohead.platform.documents import decode_document
from flamingohead.platform.feed import ConfigurationFeed
from flamingohead.platform.store import RowPage, StoredRow
from flamingohead.protocol import codec
from flamingohead.services import revocation as revocation_module
from flamingohead.services.gossip import GossipService
from flamingohead.services.metrics import MetricsService
from flamingohead.services.revocation import (
    RevocationService,
    StoreDocumentRead,
    StoreResponse,
)
from flamingohead.testing.hosts import HOST, build_document

SHRINE = {"name": "shrine", "api-keys": ["key-1", "key-2"]}
SHRINE_AFTER = {"name": "shrine", "api-keys": ["key-1"]}
TIMEOUT = 5.0


def decode(version, *tenants, **changes):
    routes = changes.pop("routes", {"/a/": "ledger"})
    if tenants:
        changes["tenants"] = list(tenants)
    document = build_document(version, routes, **changes)
    snapshot = decode_document(document)
    assert not isinstance(snapshot, Refusal), snapshot
    return snapshot


class FakeConfiguration:
    """Hold a configuration that the test activates."""

    def __init__(self, snapshot):
        self.routes = RouteTable(snapshot)
        self.route_listeners = []
        self.reads = 0

    @property
    def replica(self):
        snapshot = self.routes.snapshot
        return SimpleNamespace(version=snapshot.version, snapshot=snapshot)

    def activate(self, snapshot):
        replaced = self.routes
        self.routes = replaced.build_next(snapshot)
        for listener in self.route_listeners:
            listener(replaced)

    def read_source(self):
        self.reads += 1


class Daemon:
    """Run the service with fakes, on a clock that the test sets."""

    def __init__(self, monkeypatch, *tenants, timeout=TIMEOUT):
        self.now = 100.0
        monkeypatch.setattr(revocation_module, "read_boot_time", lambda: self.now)
        kernel = self.kernel = Kernel()
        self.metrics = MetricsService()
        self.configuration = FakeConfiguration(decode(7, *tenants))
        member = Member("h", "makola", "10.0.0.1:1", "relay", 1, group="mesh")
        self.membership = Membership(member, random=random.Random(1))
        self.membership.set_version(7)
        self.gossip = GossipService(kernel, self.membership, "10.0.0.1:1")
        self.feed = SimpleNamespace(response_listeners=[], confirms_changes=None)
        kernel.add("metrics", self.metrics)
        kernel.add("configuration", self.configuration)
        kernel.add("gossip", self.gossip)
        kernel.add("feed", self.feed)
        kernel.add("subscription", SimpleNamespace(polls_often=False))
        self.service = RevocationService(kernel, timeout)
        asyncio.run(self.start())

    async def start(self):
        await self.service.start()
        self.service._ticks.stop()

    def read(self, snapshot, *, number, sent_at=None, version=None):
        """Process a response with a document, sent now by default."""
        document = StoreDocumentRead(
            StoreVersion(1, number),
            version or getattr(snapshot, "version", None),
            snapshot,
        )
        sent_at = self.now if sent_at is None else sent_at
        self.service.record_response(
            StoreResponse(sent_at, self.now, document=document)
        )

    def poll(self, wait=1.5):
        """Process a poll that ended now without a change."""
        self.service.record_response(StoreResponse(self.now - wait, self.now, wait))

    def check(self, *keys, path="/a/x", parent=None):
        routes = self.configuration.routes
        resolved = routes.match("GET", path, HOST)
        organisation = identify_organisation(
            routes, resolved.route, keys, is_nested=parent is not None, **(parent or {})
        )
        refusal = self.service.check(routes, keys, organisation)
        if refusal is not None:
            return refusal
        return organisation

    def build_ack(self, *, subject="h"):
        """Return the acknowledgement as it is sent."""
        datagram = Datagram("h", "10.0.0.1:1", "mesh", 5, 7, Ack(subject))
        return self.gossip._prepare(datagram)


@pytest.fixture
def daemon(monkeypatch):
    return Daemon(monkeypatch, SHRINE)


class TestRequests:
    def test_key_needs_a_confirmation(self, daemon):
        refusal = daemon.check(b"key-1")
        assert refusal.kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        assert refusal.caller_status == 503
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        assert daemon.check(b"key-1").name == "shrine"
        daemon.now += TIMEOUT
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_unknown_key_is_not_denied_without_a_confirmation(self, daemon):
        # The key may be in a newer configuration.
        for keys in ((b"new",), ()):
            refusal = daemon.check(*keys)
            assert refusal.kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        assert daemon.check(b"new").kind is ErrorKind.API_KEY_UNKNOWN

    def test_nested_call_and_public_request_without_a_key_need_none(self, daemon):
        # A request that runs must finish while its host is out of touch.
        found = daemon.check(parent={"parent_organisation": "shrine"})
        assert found.name == "shrine"
        routes = daemon.configuration.routes
        assert daemon.service.check(routes, (), None) is None
        assert daemon.service.check(routes, (b"unknown",), None) is None

    def test_key_of_a_nested_call_needs_a_confirmation(self, daemon):
        refusal = daemon.check(b"key-1", parent={"parent_organisation": "shrine"})
        assert refusal.kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_refusal_of_an_unknown_parent_is_kept(self, daemon):
        assert daemon.check(parent={}).kind is ErrorKind.CALLER_UNKNOWN

    def test_withdrawn_key_is_denied_when_no_host_may_accept_it(self, daemon):
        # The version before may be in force on other hosts for 2.5 s.
        daemon.configuration.activate(decode(8, SHRINE_AFTER))
        daemon.read(daemon.configuration.replica.snapshot, number=2)
        refusal = daemon.check(b"key-2")
        assert refusal.kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        assert daemon.check(b"never").kind is ErrorKind.API_KEY_UNKNOWN
        daemon.now += 2.4
        daemon.poll()
        assert daemon.check(b"key-2").kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        daemon.now += 0.2
        assert daemon.check(b"key-2").kind is ErrorKind.API_KEY_UNKNOWN

    def test_first_organisations_are_no_outage(self, monkeypatch):
        # Callers would else be told to come back seconds after the first confirmation.
        daemon = Daemon(monkeypatch)
        daemon.now += 1000.0
        daemon.configuration.activate(decode(8, SHRINE))
        daemon.now += 0.2
        routes = daemon.configuration.routes
        assert daemon.service._revocation.check_key(routes.version, daemon.now) == 0.5

    def test_refusal_contains_no_key(self, daemon, caplog):
        with caplog.at_level(logging.INFO):
            refusals = [daemon.check(b"key-1"), daemon.check(b"unknown-key")]
            daemon.service._tick()
            daemon.read(daemon.configuration.replica.snapshot, number=1)
            daemon.service._tick()
        text = repr(refusals) + caplog.text
        assert "key-1" not in text and "unknown-key" not in text


class TestWithoutStrictRevocation:
    @pytest.fixture
    def daemon(self, monkeypatch):
        return Daemon(monkeypatch, SHRINE, timeout=None)

    def test_key_needs_no_confirmation_but_a_denial_does(self, daemon):
        assert daemon.check(b"key-1").name == "shrine"
        assert daemon.check(b"new").kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        assert daemon.check(b"new").kind is ErrorKind.API_KEY_UNKNOWN

    def test_nothing_is_sent_for_a_confirmation(self, daemon):
        daemon.now += 100.0
        daemon.service._tick()
        assert not daemon.metrics.counters and not daemon.configuration.reads


class TestAcknowledgements:
    def test_age_is_added_to_an_acknowledgement(self, daemon):
        assert daemon.build_ack().confirmation_age_ms == 0
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        daemon.now += 1.0
        datagram = daemon.build_ack()
        assert datagram.confirmation_age_ms == 1001
        assert codec.decode_datagram(codec.encode_datagram(datagram)) == datagram

    def test_relayed_acknowledgement_has_no_age(self, daemon):
        # Its version is that of the relay, and its sequence that of another ping.
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        assert daemon.build_ack(subject="other").confirmation_age_ms == 0

    def test_nothing_is_added_without_organisations(self, monkeypatch):
        daemon = Daemon(monkeypatch, timeout=None)
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        assert daemon.build_ack().confirmation_age_ms == 0
        assert daemon.configuration.routes.requires_keys is False

    def send_ping(self, daemon):
        ping = daemon.membership._datagrams.ping("10.0.0.2:1")
        assert isinstance(ping, SendDatagram)
        daemon.gossip._send(ping)
        return ping.datagram.sequence

    def receive_ack(self, daemon, sequence, *, subject="peer", version=7, age_ms=1):
        datagram = Datagram(
            "peer", "10.0.0.2:1", "mesh", sequence, version, Ack(subject)
        )
        datagram = Datagram(**{**vars(datagram), "confirmation_age_ms": age_ms})
        for listener in daemon.gossip.listeners:
            listener(datagram)

    def test_acknowledgement_counts_from_the_ping(self, daemon):
        sequence = self.send_ping(daemon)
        daemon.now += 3.0
        self.receive_ack(daemon, sequence, age_ms=1001)
        assert daemon.check(b"key-1").name == "shrine"
        daemon.now += 1.0
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_relayed_acknowledgement_is_ignored(self, daemon):
        self.receive_ack(daemon, self.send_ping(daemon), subject="other")
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_peer_with_a_newer_version_confirms_nothing_until_it_is_active(
        self, daemon
    ):
        self.receive_ack(daemon, self.send_ping(daemon), version=8)
        assert daemon.check(b"key-2").kind is ErrorKind.CONFIGURATION_UNCONFIRMED
        daemon.configuration.activate(decode(8, SHRINE_AFTER))
        assert daemon.check(b"key-1").name == "shrine"


class TestDocumentsNotInForce:
    REJECTED = Refusal(ErrorKind.INVALID_CONFIGURATION, "invalid")

    def list_events(self, caplog):
        return [r.event for r in caplog.records if getattr(r, "event", 0) == 583]

    def test_invalid_document_does_not_end_the_use_of_keys(self, daemon, caplog):
        with caplog.at_level(logging.INFO):
            daemon.read(daemon.configuration.replica.snapshot, number=1)
            daemon.now += 4.0
            daemon.read(self.REJECTED, number=2, version=8)
            daemon.now += 4.0
            assert daemon.check(b"key-1").name == "shrine"
            daemon.poll()
            daemon.read(self.REJECTED, number=2, version=8)
        assert self.list_events(caplog) == [583]

    def test_invalid_document_that_a_peer_applied_confirms_nothing(self, daemon):
        # Daemons of a newer build may accept what this one refuses.
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        observed = SimpleNamespace(version=8, observed_at=0.0)
        daemon.membership.observed_versions["peer"] = observed
        daemon.now += 4.0
        daemon.read(self.REJECTED, number=2, version=8)
        daemon.now += 1.0
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_invalid_document_after_a_missed_version_confirms_nothing(self, daemon):
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        daemon.now += 4.0
        daemon.read(self.REJECTED, number=3, version=9)
        daemon.poll()
        daemon.now += 1.0
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_other_content_under_the_version_in_force_confirms_nothing(self, daemon):
        daemon.read(decode(7, SHRINE_AFTER), number=1)
        daemon.poll()
        assert daemon.check(b"key-1").kind is ErrorKind.CONFIGURATION_UNCONFIRMED

    def test_restored_store_with_an_earlier_document_confirms(self, daemon):
        # All keys would else be refused until the operators write the newest again.
        earlier = daemon.configuration.replica.snapshot
        daemon.configuration.activate(decode(8, SHRINE_AFTER))
        daemon.read(earlier, number=1)
        assert daemon.check(b"key-1").name == "shrine"

    def test_document_written_to_a_restored_store_under_an_earlier_version(
        self, daemon
    ):
        # It withdraws a key, but is not applied since its version is not higher.
        daemon.configuration.activate(decode(8, SHRINE, routes={"/b/": "ledger"}))
        daemon.read(decode(7, SHRINE_AFTER), number=9)
        daemon.poll()
        routes = daemon.configuration.routes
        organisation = routes.find_organisation(b"key-2")
        assert daemon.service.check(routes, (b"key-2",), organisation) is not None


class TestRefresh:
    def test_peers_are_pinged_and_then_the_store_is_read(self, daemon, caplog):
        member = Member("p", "osu", "10.0.0.2:1", "relay", 1, group="mesh")
        daemon.gossip.ping = lambda host_id: None
        daemon.membership.merge([member], 0.0)
        daemon.read(daemon.configuration.replica.snapshot, number=1)
        with caplog.at_level(logging.INFO):
            for _ in range(40):
                daemon.service._tick()
                daemon.now += 0.25
        counters = daemon.metrics.counters
        assert 10 <= counters["confirmation.pings"] <= 20
        assert counters["confirmation.reads"] == daemon.configuration.reads == 3
        assert counters["confirmation.lost"] == 1
        events = [r.event for r in caplog.records if 580 <= r.event <= 584]
        assert events == [580, 582, 584, 584, 581, 584]

    def test_daemon_without_organisations_does_nothing(self, monkeypatch):
        daemon = Daemon(monkeypatch)
        daemon.now += 100.0
        daemon.service._tick()
        assert not daemon.metrics.counters and not daemon.metrics.gauges
        assert not daemon.feed.confirms_changes()


class FakeStore:
    """Answer reads and polls with prepared pages; record the waits of polls."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.waits = []

    async def read_rows(self, *arguments, **options):
        return self.pages.pop(0)

    async def follow_rows(self, table, version, timeouts):
        self.waits.append(timeouts.poll_seconds)
        return self.pages.pop(0)


class TestFeed:
    def build(self, *pages, confirms=True):
        kernel = Kernel()
        kernel.add("store", FakeStore(*pages))
        kernel.add("metrics", MetricsService())
        kernel.add(
            "subscription",
            SimpleNamespace(record_source_state=lambda reached: None, polls_often=True),
        )
        kernel.add(
            "configuration",
            SimpleNamespace(
                replica=SimpleNamespace(version=7, snapshot=decode(7, SHRINE)),
                apply_document=lambda snapshot: None,
                reject_document=lambda version, refusal: None,
                record_source_read=lambda succeeded, found=True: None,
            ),
        )
        feed = ConfigurationFeed(kernel, derive_timeouts(3.0))
        feed.confirms_changes = lambda: confirms
        responses = []
        feed.response_listeners.append(responses.append)
        return feed, kernel.get("store"), responses

    def build_page(self, value=None):
        version = StoreVersion(1, 4)
        row = StoredRow("config", value, version)
        return RowPage((row,) if value is not None else (), version)

    async def follow(self, feed, times):
        version = await feed._read()
        for _ in range(times):
            version = await feed._follow(version)

    def test_responses_are_passed_on_with_their_documents(self):
        document = build_document(8, {"/a/": "ledger"}, tenants=[SHRINE])
        feed, _, responses = self.build(
            self.build_page(document),
            self.build_page(),
            self.build_page(b'{"version":9}'),
        )
        asyncio.run(self.follow(feed, 2))
        assert [r.document and r.document.version for r in responses] == [8, None, 9]
        assert isinstance(responses[2].document.snapshot, Refusal)
        assert [r.wait for r in responses] == [0.0, CONFIRMING_POLL_SECONDS, 1.5]
        assert all(r.sent_at <= r.received_at for r in responses)

    @pytest.mark.parametrize("confirms", [True, False])
    def test_poll_after_a_change_is_short_only_where_keys_need_it(self, confirms):
        # Confirmations would else be 3.6 s old after each change, on all hosts at once.
        document = build_document(8, {"/a/": "ledger"})
        feed, store, _ = self.build(
            self.build_page(document),
            self.build_page(),
            self.build_page(),
            confirms=confirms,
        )
        asyncio.run(self.follow(feed, 2))
        assert store.waits == [CONFIRMING_POLL_SECONDS if confirms else 1.5, 1.5]

    def test_failed_request_confirms_nothing(self):
        refusal = Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "rejected")
        feed, _, responses = self.build(refusal, refusal)
        asyncio.run(feed._read())
        asyncio.run(feed._follow(StoreVersion(1, 4)))
        assert responses == []
