"""Tests, in separate processes, of crowds at the addresses for the host's own use."""

from __future__ import annotations

import contextlib

import pytest

from flamingohead.testing.hosts import HostMesh, build_document
from flamingohead.tests.test_hostile_callers_processes import (
    CONNECTIONS,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    SHAPES,
    Crowd,
    check_host,
    run_host,
    wait_for_answer,
    wait_until_idle,
)
from flamingohead.tests.test_subscription_processes import request_status

# One worker runs all of them: the memory of a daemon is compared with a bound.
pytestmark = pytest.mark.xdist_group("hostile-callers")

ENDPOINTS = ("control", "ready", "metrics")
FEW_DESCRIPTORS = 100


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("endpoints")) as mesh:
        mesh.write_row("op", "config", build_document(2, {"/a/": "ledger"}))
        yield mesh


class TestHostileClientsOfEndpoints:
    """Guard against endpoints that each hold as much as all callers together may."""

    @pytest.mark.parametrize(
        "shape", ["large-heads-without-their-end", "large-chunks", "large-responses"]
    )
    def test_memory_stays_bounded_with_crowds_at_all_addresses(self, mesh, shape):
        limits = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        with run_host(mesh, **limits) as host:
            with contextlib.ExitStack() as stack:
                for name in ("ingress", *ENDPOINTS):
                    address = getattr(host, name)
                    crowd = Crowd(address, SHAPES[shape], CONNECTIONS)
                    stack.enter_context(crowd)
                    crowd.send()
                wait_until_idle(host)
                check_host(host)
            assert wait_for_answer(host)
            check_host(host)

    @pytest.mark.parametrize("name", ENDPOINTS)
    def test_silent_connections_leave_descriptors_for_callers(self, mesh, name):
        limits = {"memory-mb": MEMORY_MB, "max-fds": FEW_DESCRIPTORS}
        with run_host(mesh, **limits) as host:
            with Crowd(getattr(host, name), b"", 150):
                assert request_status(host, "/a/x") == 200
                check_host(host, max_descriptors=FEW_DESCRIPTORS)
            assert wait_for_answer(host)
