"""Tests, in separate processes, of crowds at the addresses for the host's own use."""

from __future__ import annotations

import contextlib

import pytest
import yaml

from flamingohead.testing.hosts import HostMesh, build_document
from flamingohead.testing.processes import LOOPBACK
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
from flamingohead.tests.test_subscription_processes import (
    request_status,
    wait_for_path,
)

# One worker runs all of them: the memory of a daemon is compared with a bound.
pytestmark = pytest.mark.xdist_group("hostile-callers")

ENDPOINTS = ("control", "ready", "metrics")
FEW_DESCRIPTORS = 100
# With an empty SETTINGS frame.
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0"


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


# Heads between daemons whose bodies wait for a grant, with a deadline in eleven days.
WAITING_HEAD = (
    b"POST /a/x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
    b"request-timeout-ms: 999999999\r\nflamingohead-service: ledger\r\n"
    b"flamingohead-rank: other\r\ncontent-length: 900000\r\n\r\n"
)
RELAY_SHAPES = {
    "waiting-bodies": WAITING_HEAD,
    "bodies-without-a-grant": WAITING_HEAD + bytes(899_999),
    "bodies-a-byte-short": (
        WAITING_HEAD.replace(b"expect: 100-continue\r\n", b"") + bytes(899_999)
    ),
    **{
        name: SHAPES[name]
        for name in ("large-heads-without-their-end", "large-chunks", "large-responses")
    },
}


class TestHostileClientsOfTheRelay:
    """Guard against a daemon that crowds at the address of daemons end."""

    @pytest.mark.parametrize("name", RELAY_SHAPES)
    def test_memory_stays_bounded_and_requests_are_served(self, mesh, name):
        limits = {
            "memory-mb": MEMORY_MB,
            "max-fds": MAX_DESCRIPTORS,
            "link-mbps": 10,
        }
        with run_host(mesh, **limits) as host:
            with Crowd(host.relay, RELAY_SHAPES[name], CONNECTIONS) as crowd:
                crowd.send()
                wait_until_idle(host)
                check_host(host)
                assert request_status(host, "/a/x") == 200
            assert wait_for_answer(host)
            check_host(host)


class TestHostileClientsOfPeers:
    """Guard against connections between daemons that use up the descriptors."""

    @pytest.mark.parametrize("payload", [b"", HTTP2_PREFACE], ids=["empty", "preface"])
    def test_silent_connections_leave_descriptors_for_callers(self, mesh, payload):
        limits = {"memory-mb": MEMORY_MB, "max-fds": FEW_DESCRIPTORS}
        with run_host(mesh, **limits) as host:
            settings = yaml.safe_load(host.settings_path.read_text())
            port = settings["internal-ports"][0]
            with Crowd(f"{LOOPBACK}:{port}", payload, 150) as crowd:
                crowd.send()
                wait_until_idle(host)
                assert request_status(host, "/a/x") == 200
                check_host(host, max_descriptors=FEW_DESCRIPTORS)
            assert wait_for_answer(host)


class TestCrowdsDuringChanges:
    """Guard against a crowd that adds to the memory of a large configuration."""

    ROUTES = 1400

    def build_document(self, version):
        routes = {"/a/": "ledger"}
        routes |= {f"/r{n}v{version}/": "ledger" for n in range(self.ROUTES)}
        return build_document(version, routes)

    @pytest.mark.parametrize(
        "shape", ["large-chunks", "large-heads-without-their-end", "large-responses"]
    )
    def test_memory_stays_bounded_while_the_configuration_changes(self, mesh, shape):
        limits = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        mesh.write_row("op", "config", self.build_document(self.next_version(mesh)))
        with run_host(mesh, **limits) as host:
            with Crowd(host.ingress, SHAPES[shape], CONNECTIONS) as crowd:
                for _ in range(5):
                    version = self.next_version(mesh)
                    mesh.write_row("op", "config", self.build_document(version))
                    crowd.send()
                wait_until_idle(host)
                check_host(host)
            assert wait_for_path([host], f"/r7v{version}/x", seconds=30)
            check_host(host)

    @staticmethod
    def next_version(mesh):
        mesh.version = getattr(mesh, "version", 2) + 1
        return mesh.version
