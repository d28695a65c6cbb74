"""Tests that an acknowledged departure of an upstream outlives its daemon."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from types import SimpleNamespace

import pytest

from flamingohead.core.departures import (
    JOIN_WAIT_SECONDS,
    TABLE_WAIT_SECONDS,
    DepartureTracker,
)
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Departure, Member, MemberStatus
from flamingohead.core.membership import Membership
from flamingohead.core.messages import estimate_member_size
from flamingohead.kernel import Kernel
from flamingohead.protocol import codec
from flamingohead.services import departures
from flamingohead.services.departures import DepartureService
from flamingohead.testing.hosts import (
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
    send_request,
)
from flamingohead.tests.test_subscription_processes import wait_for_path

DEPARTURE = Departure(1_000, "i-1", 7)
START_SECONDS = 30.0


class TestAcknowledgement:
    """Replay a departure while the store does not respond."""

    def test_departure_is_safe_once_it_is_stored(self):
        tracker = DepartureTracker()
        assert tracker.record("i-1", 7, 1_000)
        assert not tracker.is_safe(peers=3)
        tracker.confirm_stored(DEPARTURE)
        assert tracker.is_safe(peers=3)

    def test_two_other_daemons_stand_in_for_the_store(self):
        tracker = DepartureTracker()
        tracker.record("i-1", 7, 1_000)
        tracker.confirm_copy("a", DEPARTURE)
        tracker.confirm_copy("a", DEPARTURE)
        assert not tracker.is_safe(peers=3)
        tracker.confirm_copy("b", DEPARTURE)
        assert tracker.is_safe(peers=3)

    def test_only_other_daemon_is_enough_but_none_is_not(self):
        tracker = DepartureTracker()
        tracker.record("i-1", 7, 1_000)
        assert not tracker.is_safe(peers=0)
        tracker.confirm_copy("a", DEPARTURE)
        assert tracker.is_safe(peers=1)

    def test_copies_of_an_earlier_departure_do_not_count(self):
        tracker = DepartureTracker()
        tracker.record("i-1", 7, 1_000)
        tracker.record("i-2", 3, 900)
        assert tracker.latest == Departure(1_001, "i-2", 3)
        tracker.confirm_copy("a", DEPARTURE)
        tracker.confirm_copy("b", DEPARTURE)
        tracker.confirm_stored(DEPARTURE)
        assert not tracker.is_safe(peers=3)

    def test_repeated_message_of_the_same_departure_is_not_a_new_one(self):
        tracker = DepartureTracker()
        assert tracker.record("i-1", 7, 1_000)
        assert not tracker.record("i-1", 7, 2_000)

    def test_restored_store_may_lack_the_departure(self):
        tracker = DepartureTracker()
        tracker.adopt(DEPARTURE, is_stored=True)
        assert tracker.is_safe(peers=3)
        tracker.handle_store_restored()
        assert not tracker.is_safe(peers=3)


class TestStart:
    """Replay starts of daemons with and without the store and peers."""

    def test_both_the_table_and_a_peer_are_asked(self):
        tracker = DepartureTracker()
        assert not tracker.knows_earlier(0.0)
        tracker.note_table_read(0.0)
        assert not tracker.knows_earlier(0.1)
        tracker.note_joined(0.2)
        assert tracker.knows_earlier(0.2)

    def test_daemon_without_peers_goes_on_alone(self):
        tracker = DepartureTracker()
        tracker.note_table_read(5.0)
        assert not tracker.knows_earlier(5.0 + JOIN_WAIT_SECONDS - 0.01)
        assert tracker.knows_earlier(5.0 + JOIN_WAIT_SECONDS)

    def test_peers_are_enough_while_the_store_is_away(self):
        tracker = DepartureTracker()
        tracker.note_joined(5.0)
        tracker.note_joined(9.0)
        assert not tracker.knows_earlier(5.0 + TABLE_WAIT_SECONDS - 0.01)
        assert tracker.knows_earlier(5.0 + TABLE_WAIT_SECONDS)

    def test_daemon_that_reached_nobody_knows_nothing(self):
        assert not DepartureTracker().knows_earlier(1e9)

    def test_later_of_two_departures_is_taken_over(self):
        tracker = DepartureTracker()
        assert tracker.adopt(DEPARTURE, is_stored=True)
        assert not tracker.adopt(Departure(999, "i-0", 9), is_stored=False)
        assert tracker.latest == DEPARTURE and tracker.is_stored
        assert tracker.adopt(Departure(1_001, "i-2", 1), is_stored=False)
        assert not tracker.is_stored


def build_membership(host_id, incarnation=1):
    member = Member(host_id, "d", f"{host_id}:1", f"{host_id}:2", incarnation)
    return Membership(member, random=random.Random(1))


def join(joiner, peer):
    """Exchange states as a join does."""
    peer.merge([joiner.local_member], 0.0)
    joiner.merge_join_state(peer.list_all(), 0.0)


class TestMembers:
    """Check that the members return a departure to the next daemon of its host."""

    def build_left_host(self, peer):
        """Let a host record a departure and stop."""
        host = build_membership("h")
        join(host, peer)
        host.keep_departure("h", DEPARTURE)
        host.leave()
        peer.merge([host.local_member], 0.0)

    def test_restarted_daemon_receives_the_departure_with_its_join(self):
        peer = build_membership("p")
        self.build_left_host(peer)
        restarted = build_membership("h", incarnation=1_000)
        join(restarted, peer)
        assert restarted.local_member.departure == DEPARTURE

    def test_peer_started_while_the_host_was_down_returns_it_too(self):
        peer = build_membership("p")
        self.build_left_host(peer)
        later_peer = build_membership("q")
        join(later_peer, peer)
        restarted = build_membership("h", incarnation=1_000)
        join(restarted, later_peer)
        assert restarted.local_member.departure == DEPARTURE

    def test_departure_handed_over_by_a_call_is_gossiped(self):
        first, second, host = map(build_membership, "pqh")
        join(host, first)
        join(second, first)
        first.keep_departure("h", DEPARTURE)
        for effect in first.gossip_state():
            second.receive(effect.datagram, 0.0)
        assert second.members["h"].departure == DEPARTURE

    def test_earlier_departure_does_not_replace_a_later_one(self):
        peer, host = build_membership("p"), build_membership("h")
        join(host, peer)
        assert peer.keep_departure("h", DEPARTURE)
        assert peer.keep_departure("h", DEPARTURE)
        assert not peer.keep_departure("h", Departure(900, "i-0", 9))
        assert peer.members["h"].departure == DEPARTURE

    def test_departure_of_a_dead_member_is_kept(self):
        peer, host = build_membership("p"), build_membership("h")
        join(host, peer)
        dead = host.local_member.with_status(MemberStatus.DEAD)
        peer.merge([dead], 0.0)
        peer.keep_departure("h", DEPARTURE)
        restarted = build_membership("h", incarnation=1_000)
        join(restarted, peer)
        assert restarted.local_member.departure == DEPARTURE

    def test_member_with_a_departure_is_encoded_within_its_estimate(self):
        host = build_membership("h")
        host.keep_departure("h", Departure(2**63, "i-1", 2**63))
        message = codec.encode_member(host.local_member)
        assert codec.decode_member(message) == host.local_member
        assert message.ByteSize() <= estimate_member_size(host.local_member)


class SilentTable:
    """Respond to no request."""

    async def read(self, key):
        await asyncio.Event().wait()

    async def insert(self, key, value):
        await asyncio.Event().wait()


class FakePeers:
    """Keep departures at the given addresses; other peers are unreachable."""

    def __init__(self, *reachable):
        self.reachable = reachable
        self.kept = []

    async def hand_over_departure(self, address, departure, *, timeout):
        if address not in self.reachable:
            return False
        self.kept.append((address, departure))
        return True


class FakeGossip:
    def __init__(self, *host_ids):
        self.membership = build_membership("h")
        for host_id in host_ids:
            join(self.membership, build_membership(host_id))
        self.departure_listeners = []
        self.has_joined = bool(host_ids)
        self.departures = []

    def set_departure(self, departure):
        self.departures.append(departure)


def build_service(*members, reachable=(), table=None):
    kernel = Kernel()
    kernel.add("table", table or SilentTable())
    kernel.add("peers", FakePeers(*reachable))
    kernel.add("gossip", FakeGossip(*members))
    kernel.add("eras", SimpleNamespace(listeners=[]))
    upstreams = SimpleNamespace(announced=[], get_incarnation={"i-1": 7}.get)
    upstreams.announce = upstreams.announced.append
    kernel.add("upstreams", upstreams)
    return kernel, DepartureService(kernel, "h")


class TestRecords:
    """Replay departures while the store responds to nothing."""

    async def record(self, service):
        started_at = time.monotonic()
        is_kept = await service.record("i-1")
        assert time.monotonic() - started_at < 1.0
        await service.stop()
        return is_kept

    def test_departure_that_peers_hold_is_acknowledged(self):
        kernel, service = build_service(*"abc", reachable=("a:1", "c:1"))
        assert asyncio.run(self.record(service))
        kept = kernel.get("peers").kept
        assert sorted(address for address, _ in kept) == ["a:1", "c:1"]
        assert {(d.name, d.incarnation) for _, d in kept} == {("i-1", 7)}

    @pytest.mark.parametrize("reachable", [(), ("b:1",)])
    def test_departure_that_nobody_else_holds_is_refused(self, reachable):
        _, service = build_service(*"abc", reachable=reachable)
        assert not asyncio.run(self.record(service))

    def test_departure_on_a_lone_host_is_refused(self):
        _, service = build_service()
        assert not asyncio.run(self.record(service))

    def test_returned_departure_is_in_force_and_stored_again(self, monkeypatch):
        kernel, service = build_service("a")
        written = []

        async def read(key):
            return None

        async def refuse_then_store(key, value):
            written.append((key, value))
            is_first = len(written) == 1
            return Refusal(ErrorKind.PLATFORM_UNAVAILABLE) if is_first else True

        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.0)
        monkeypatch.setattr(kernel.get("table"), "read", read)
        monkeypatch.setattr(kernel.get("table"), "insert", refuse_then_store)

        async def run():
            await service.start()
            kernel.get("gossip").departure_listeners[0](DEPARTURE)
            await service._write_task
            await service.stop()

        asyncio.run(run())
        assert len(written) == 2 and written[0][0] == "departures/h"
        (announcement,) = kernel.get("upstreams").announced
        assert (announcement.name, announcement.incarnation) == ("i-1", 7)


@pytest.fixture()
def mesh(tmp_path):
    with HostMesh(tmp_path) as mesh:
        for number in range(3):
            mesh.add_host(f"h{number}", "ledger")
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        # Daemons that started alone write their rows after they have joined each other.
        time.sleep(2.0)
        yield mesh


def announce_late(host, name, born):
    """Send a heartbeat of before the departure until the daemon acknowledges it."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        try:
            beat = build_heartbeat(host, born=born, sequence=2)
            if send_announcement(host, "PUT", name, beat) == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"{host.name} acknowledged no heartbeat of {name}")


def count_uses(host, name):
    """Return how often the daemon of a host put an upstream into use."""
    ready = f'"upstream": "{name}", "service": "ledger", "status": "READY"'
    return host.daemon.log_path.read_text().count(ready)


class TestRestarts:
    """Guard against leaving upstreams that a restarted daemon puts back into use."""

    def announce_and_leave(self, host, name):
        born = int(time.time() * 1000) + 60_000
        beat = build_heartbeat(host, born=born)
        assert send_announcement(host, "PUT", name, beat) == 200
        return born, send_announcement(host, "DELETE", name, {})

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
    def test_leave_acknowledged_during_a_store_outage_outlives_its_daemon(
        self, mesh, number
    ):
        # The store is silent until the daemon has been restarted, and the heartbeat
        # sent before the leave arrives after that.
        host = mesh.hosts["h1"]
        host.instance.kill()
        mesh.set_faults(silent=True)
        born, status = self.announce_and_leave(host, "i-left")
        assert status == 200
        host.daemon.popen.send_signal(number)
        host.daemon.popen.wait(timeout=START_SECONDS)
        mesh.start_daemon(host)
        mesh.set_faults()
        announce_late(host, "i-left", born)
        assert count_uses(host, "i-left") == 1

    def test_leave_missing_in_a_restored_store_outlives_its_daemon(self, mesh):
        host = mesh.hosts["h1"]
        host.instance.kill()
        mesh.back_up_store()
        born, status = self.announce_and_leave(host, "i-left")
        assert status == 200
        host.daemon.kill()
        mesh.restore_store()
        mesh.start_daemon(host)
        announce_late(host, "i-left", born)
        assert count_uses(host, "i-left") == 1

    def test_leave_that_only_its_daemon_knows_is_not_acknowledged(self, mesh):
        for name in ("h0", "h2"):
            mesh.hosts[name].daemon.kill()
        host = mesh.hosts["h1"]
        mesh.set_faults(silent=True)
        _, status = self.announce_and_leave(host, "i-left")
        assert status == 503
        mesh.set_faults()
        deadline = time.monotonic() + START_SECONDS
        while send_announcement(host, "DELETE", "i-left", {}) != 200:
            assert time.monotonic() < deadline

    def test_late_leave_of_an_earlier_start_does_not_end_the_later_one(self, mesh):
        # An upstream starts again under its name, then its earlier leave arrives.
        host = mesh.hosts["h1"]
        host.instance.kill()
        born = int(time.time() * 1000)
        leave = {**build_heartbeat(host, born=born, sequence=9), "state": "draining"}
        later = build_heartbeat(host, born=born + 1)
        assert send_announcement(host, "PUT", "i-again", later) == 200
        assert send_announcement(host, "PUT", "i-again", leave) == 200
        uses = count_uses(host, "i-again")
        host.daemon.kill()
        mesh.start_daemon(host)
        announce_late(host, "i-again", born + 1)
        assert count_uses(host, "i-again") == uses + 1

    def test_upstream_of_a_restarted_daemon_is_used_again(self, mesh):
        host = mesh.hosts["h1"]
        uses = count_uses(host, "i-h1")
        host.daemon.kill()
        mesh.start_daemon(host)
        assert wait_for_path([host], "/a/x", seconds=START_SECONDS)
        deadline = time.monotonic() + START_SECONDS
        while count_uses(host, "i-h1") == uses:
            assert time.monotonic() < deadline
            assert send_request(host.ready, "GET", "/v1/ready")
            time.sleep(0.05)
