"""Tests, in separate processes, of a store whose responses are lost for a while."""

from __future__ import annotations

import time
import zlib

import pytest

from flamingohead.testing.hosts import build_document
from flamingohead.tests.test_store_restored import build_routes, run_mesh
from flamingohead.tests.test_subscription_processes import (
    IN_FORCE_SECONDS,
    wait_for_path,
)

SILENCE_SECONDS = 4.0
# Time limit of a deployment for daemons to be up to date after an outage of the store.
STABLE_WINDOW_SECONDS = 3.0
# A change that is acknowledged this long after the silence has to be in force by the
# end of the stable window.
DELAY_SECONDS = STABLE_WINDOW_SECONDS - IN_FORCE_SECONDS


@pytest.fixture()
def mesh(tmp_path):
    # Daemons that started alone query the source until they have joined each other.
    with run_mesh(tmp_path, settle_seconds=4.0) as mesh:
        yield mesh


def silence_store(mesh, seconds):
    mesh.set_faults(silent=True)
    time.sleep(seconds)
    mesh.set_faults()


class TestChangesAroundASilence:
    """Replay a silence during which the feed requests of all followers are lost."""

    def test_change_after_a_silence_is_in_force_in_time(self, mesh):
        document = build_document(3, build_routes("before"))
        mesh.write_row("op", "config", document)
        silence_store(mesh, SILENCE_SECONDS)
        time.sleep(DELAY_SECONDS)
        document = build_document(4, build_routes("before", "after"))
        mesh.write_row("op", "config", document)
        hosts = mesh.hosts.values()
        assert wait_for_path(hosts, "/after/x", seconds=IN_FORCE_SECONDS)

    def test_change_in_a_silence_is_in_force_in_time(self, mesh):
        mesh.set_faults(silent=True)
        time.sleep(0.2)
        document = build_document(3, build_routes("during"))
        mesh.write_row("op", "config", document)
        time.sleep(0.5)
        mesh.set_faults()
        hosts = mesh.hosts.values()
        assert wait_for_path(hosts, "/during/x", seconds=STABLE_WINDOW_SECONDS)

    def test_change_after_a_long_silence_is_in_force_in_time(self, mesh):
        silence_store(mesh, 3 * SILENCE_SECONDS)
        time.sleep(DELAY_SECONDS)
        mesh.write_row("op", "config", build_document(3, build_routes("after")))
        hosts = mesh.hosts.values()
        assert wait_for_path(hosts, "/after/x", seconds=IN_FORCE_SECONDS)


class TestStandbyFollowers:
    """Replay a silence after which the only daemon that polls often is lost."""

    def test_change_after_the_first_follower_was_killed_is_in_force(self, mesh):
        mesh.write_row("op", "config", build_document(3, build_routes("before")))
        silence_store(mesh, 1.0)
        time.sleep(STABLE_WINDOW_SECONDS)
        hosts = sorted(mesh.hosts.values(), key=lambda h: zlib.crc32(h.name.encode()))
        hosts.pop(0).daemon.kill()
        document = build_document(4, build_routes("before", "after"))
        mesh.write_row("op", "config", document)
        assert wait_for_path(hosts, "/after/x", seconds=IN_FORCE_SECONDS)
