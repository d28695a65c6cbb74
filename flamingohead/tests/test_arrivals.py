"""Tests that a restarted daemon uses no upstream that left before its start."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from types import SimpleNamespace

import pytest

from flamingohead.core.lifecycle.arrivals import (
    MAX_UNCONFIRMED,
    ArrivalTracker,
    Health,
    HealthResponse,
)
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.upstreams import Announcement
from flamingohead.kernel import Kernel
from flamingohead.services.arrivals import ArrivalService
from flamingohead.testing.hosts import (
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
    send_request,
)
from flamingohead.tests.test_departures import START_SECONDS, count_uses
from flamingohead.tests.test_subscription_processes import wait_for_path

STARTED_MS = 1_000_000
DELAY_SECONDS = 7.5


def build_announcement(name="i-1", incarnation=7, sequence=5):
    return Announcement(
        name, "ledger", "h:1", 4, UpstreamStatus.READY, incarnation, sequence
    )


def build_tracker():
    return ArrivalTracker(STARTED_MS, DELAY_SECONDS)


class TestConfirmation:
    """Replay late heartbeats after a start at which nobody knew of a departure."""

    @pytest.mark.parametrize(
        "incarnation, known_incarnation, expected",
        [
            (7, None, True),
            # Detected by its health response.
            (7, 0, False),
            (7, 7, False),
            (7, 6, True),
            # A later start of the daemon's upstream left before.
            (7, 9, False),
            (STARTED_MS, None, True),
            (STARTED_MS + 1, None, False),
        ],
    )
    def test_upstream_older_than_its_daemon_is_confirmed_once(
        self, incarnation, known_incarnation, expected
    ):
        announcement = build_announcement(incarnation=incarnation)
        needed = build_tracker().needs_confirmation(announcement, known_incarnation)
        assert needed is expected

    def test_late_heartbeats_do_not_confirm_each_other(self):
        tracker = build_tracker()
        for sequence in range(5, 9):
            announcement = build_announcement(sequence=sequence)
            assert not tracker.record(announcement, sequence - 5)

    def test_heartbeats_sent_after_the_longest_delay_are_current(self):
        tracker = build_tracker()
        assert not tracker.record(build_announcement(sequence=5), 0.0)
        assert not tracker.record(build_announcement(sequence=5), DELAY_SECONDS)
        assert tracker.record(build_announcement(sequence=6), DELAY_SECONDS)

    def test_heartbeats_of_another_start_confirm_nothing(self):
        tracker = build_tracker()
        assert not tracker.record(build_announcement(incarnation=7), 0.0)
        later = build_announcement(incarnation=8, sequence=9)
        assert not tracker.record(later, DELAY_SECONDS)

    def test_other_writers_do_not_fill_the_memory(self):
        tracker = build_tracker()
        for number in range(3 * MAX_UNCONFIRMED):
            tracker.record(build_announcement(name=f"i-{number}"), 0.0)
        assert len(tracker._first_heartbeats) == MAX_UNCONFIRMED

    @pytest.mark.parametrize(
        "health, name, expected",
        [
            (Health.READY, "i-1", True),
            (Health.READY, "i-2", False),
            # No request reaches an address that accepts no connections.
            (Health.ABSENT, "", True),
            (Health.UNCONFIRMED, "", False),
        ],
    )
    def test_health_response_contradicts_a_late_heartbeat(self, health, name, expected):
        found = build_announcement(name=name) if name else None
        response = HealthResponse(health, found)
        assert response.confirms(build_announcement()) is expected


class FakeProbe:
    """Return a response after a delay, and count the requests."""

    def __init__(self, response, *, seconds=0.0):
        self.response = response
        self.seconds = seconds
        self.requests = 0

    async def send(self):
        self.requests += 1
        await asyncio.sleep(self.seconds)
        return self.response


class FakeDepartures:
    knows_earlier = True

    async def wait_for_earlier(self, deadline):
        return self.knows_earlier


def build_service(probe, *, incarnations=None):
    kernel = Kernel()
    kernel.add("departures", FakeDepartures())
    known = incarnations or {}
    kernel.add("upstreams", SimpleNamespace(get_incarnation=known.get))
    kernel.add("metrics", SimpleNamespace(count=lambda name: None))
    return ArrivalService(kernel, probe, delay=DELAY_SECONDS)


class TestProbes:
    """Check how the first heartbeats of an upstream and its probe meet."""

    def test_heartbeats_share_a_probe(self):
        probe = FakeProbe(HealthResponse(Health.READY, build_announcement()))

        async def run():
            service = build_service(probe)
            deadline = time.monotonic() + 5.0
            beats = [build_announcement(sequence=n) for n in (5, 6)]
            return await asyncio.gather(*(service.confirm(b, deadline) for b in beats))

        assert asyncio.run(run()) == [True, True]
        assert probe.requests == 1

    def test_probe_without_a_response_postpones_the_heartbeat(self):
        probe = FakeProbe(HealthResponse(Health.READY, build_announcement()), seconds=9)

        async def run():
            service = build_service(probe)
            try:
                deadline = time.monotonic() + 0.05
                return await service.confirm(build_announcement(), deadline)
            finally:
                await service.stop()

        assert not asyncio.run(run())

    def test_heartbeats_of_an_upstream_in_use_are_not_probed(self):
        service = build_service(FakeProbe(None), incarnations={"i-1": 7})
        assert service.may_apply(build_announcement())


@pytest.fixture()
def mesh(tmp_path):
    with HostMesh(tmp_path) as mesh:
        for number in range(3):
            mesh.add_daemon(f"h{number}", "ledger")
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        yield mesh


def read_events(path):
    lines = path.read_text().splitlines() if path.exists() else []
    return [json.loads(line)["event"] for line in lines]


def wait_until(check):
    deadline = time.monotonic() + START_SECONDS
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.05)


class TestKillOfAllDaemons:
    """Guard against leaves that are forgotten when all daemons are killed."""

    # The leave is acknowledged while the store is silent, all daemons are killed, and
    # heartbeats sent before the leave arrive at the next daemon.
    def test_late_heartbeats_do_not_bring_back_an_upstream_that_left(
        self, mesh, tmp_path
    ):
        leaving, others = mesh.hosts["h0"], [mesh.hosts["h1"], mesh.hosts["h2"]]
        journal = tmp_path / "leaving"
        mesh.start_instance(leaving, "i-h0", journal=journal, drain_seconds=60.0)
        for host in others:
            mesh.start_instance(host, f"i-{host.name}")
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        # Daemons that started alone write their rows after they have joined each other.
        time.sleep(2.0)
        mesh.set_faults(silent=True)
        leaving.instance.popen.send_signal(signal.SIGTERM)
        wait_until(lambda: "left" in read_events(journal))
        for host in mesh.hosts.values():
            host.daemon.kill()
        used = count_uses(leaving, "i-h0")
        for host in mesh.hosts.values():
            mesh.start_daemon(host)
        mesh.set_faults()
        assert wait_for_path(others, "/a/x", seconds=START_SECONDS)
        born = int(time.time() * 1000) - 60_000
        for sequence in range(2, 8):
            beat = build_heartbeat(leaving, born=born, sequence=sequence)
            send_announcement(leaving, "PUT", "i-h0", beat)
            time.sleep(0.2)
        assert count_uses(leaving, "i-h0") == used
        runs = read_events(journal).count("run")
        for host in others:
            for number in range(20):
                headers = {
                    "Host": "ledger.example",
                    "Request-Id": f"{host.name}{number}",
                }
                send_request(host.ingress, "GET", "/a/x", headers=headers)
        assert read_events(journal).count("run") == runs

    def test_upstreams_in_use_are_used_again_at_once(self, mesh):
        for host in mesh.hosts.values():
            mesh.start_instance(host, f"i-{host.name}")
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        for host in mesh.hosts.values():
            host.daemon.kill()
        for host in mesh.hosts.values():
            mesh.start_daemon(host)
        assert wait_for_path(mesh.hosts.values(), "/a/x", seconds=START_SECONDS)
        for host in mesh.hosts.values():
            assert "E313" not in host.daemon.log_path.read_text()
