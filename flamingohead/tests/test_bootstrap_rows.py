"""Tests of host rows, the rate at which they are read, and serving readiness."""

from __future__ import annotations

import random

from flamingohead.core.bootstrap import (
    Bootstrap,
    BootstrapSettings,
    HostRow,
    JoinOutcome,
    JoinPeers,
    ReadRows,
)
from flamingohead.core.members import Member
from flamingohead.core.membership import Membership
from flamingohead.core.readiness import ServingReadiness
from flamingohead.core.rows import Row
from flamingohead.kernel import Kernel
from flamingohead.services.bootstrap import BootstrapService
from flamingohead.services.metrics import MetricsService


class FakeGossip:
    def __init__(self, member):
        self.membership = Membership(member, random=random.Random(1))


def build_service(member):
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    kernel.add("gossip", FakeGossip(member))
    bootstrap = Bootstrap("h", "peer", (), random=random.Random(1))
    return BootstrapService(kernel, bootstrap)


class TestHostRows:
    def test_rows_of_other_failure_domains_of_the_group_are_used(self):
        member = Member("h", "makola", "10.0.0.1:1", "relay", 1, group="mesh")
        service = build_service(member)
        body = b'{"peer_address": "10.0.0.2:7000", "written_at": 1.0}'
        rows = service._decode_rows([Row("hosts/mesh/osu-1", body, "1")], "mesh")
        assert [row.host_id for row in rows] == ["osu-1"]
        assert service._get_row_key("h") == "hosts/mesh/h"

    def test_group_defaults_to_the_failure_domain(self):
        service = build_service(Member("h", "makola", "10.0.0.1:1", "relay", 1))
        assert service._get_row_key("h") == "hosts/makola/h"


class TestFoundByPeers:
    def test_daemon_found_by_peers_joins_at_once_to_get_the_full_state(self):
        bootstrap = Bootstrap("h", "p", (), random=random.Random(1))
        bootstrap.tick(0.0, {})
        members = {"m": Member("m", "makola", "10.0.0.2:7000", "relay", 1)}
        effects = bootstrap.tick(10.0, members)
        assert JoinPeers(("10.0.0.2:7000",)) in effects


class TestRowReads:
    def test_read_rate_of_a_large_group_is_bounded(self):
        settings = BootstrapSettings(row_period=15.0, row_read_rate=2.0)
        reads = 0
        members = {
            f"m{n}": Member(f"m{n}", "makola", f"p{n}", "relay", 1) for n in range(600)
        }
        for seed in range(20):
            bootstrap = Bootstrap(
                "h", "p", (), random=random.Random(seed), settings=settings
            )
            for second in range(600):
                effects = bootstrap.tick(float(second), members)
                reads += sum(isinstance(effect, ReadRows) for effect in effects)
        assert reads / 20 <= 600 / (601 / 2.0 * 0.5) + 1


class TestRowReadsOfLargeGroups:
    """Replay groups of 200 and of 8 daemons whose rows name only unreachable hosts."""

    SETTINGS = BootstrapSettings(
        row_period=15.0, row_read_rate=5.0, unknown_rows_wait=2.0, first_row_spread=3.0
    )

    def count_reads(self, size, *, seconds):
        """Return the number of row reads of one member while each join fails."""
        bootstrap = Bootstrap(
            "h", "p", (), random=random.Random(1), settings=self.SETTINGS
        )
        members = {
            f"m{n}": Member(f"m{n}", "makola", f"10.0.0.2:{n}", "relay", 1)
            for n in range(size - 1)
        }
        rows = [HostRow(f"gone{n}", f"10.0.1.2:{n}", 0.0) for n in range(16)]
        reads = 0
        for step in range(10 * seconds):
            now = step / 10
            for effect in bootstrap.tick(now, members):
                if isinstance(effect, ReadRows):
                    reads += 1
                    bootstrap.receive_rows(rows, members, now)
                elif isinstance(effect, JoinPeers):
                    bootstrap.finish_join([JoinOutcome(False)], now)
        return reads

    def test_read_rate_is_bounded_while_joins_fail(self):
        assert self.count_reads(200, seconds=60) <= 60 * 5.0 / 200 + 2

    def test_small_group_reads_rows_often(self):
        assert self.count_reads(8, seconds=60) > 20

    def test_first_read_after_a_join_is_spread_by_the_group_size(self):
        waits = []
        for seed in range(40):
            bootstrap = Bootstrap(
                "h", "p", (), random=random.Random(seed), settings=self.SETTINGS
            )
            bootstrap.finish_join([JoinOutcome(True, new_states=200)], 0.0)
            waits.append(bootstrap._next_row_check_at)
        assert max(waits) > 30.0


class TestServingReadiness:
    def test_daemon_is_ready_once_each_service_has_an_upstream(self):
        readiness = ServingReadiness(grace=2.0)
        assert not readiness.check({"ledger", "archive"}, {"ledger"}, 5.0)
        assert readiness.check({"ledger", "archive"}, {"ledger", "archive"}, 5.1)
        assert readiness.check({"ledger", "archive"}, set(), 5.2)

    def test_service_without_upstreams_delays_readiness_by_the_grace(self):
        readiness = ServingReadiness(grace=2.0)
        assert not readiness.check({"archive"}, set(), 5.0)
        assert readiness.check({"archive"}, set(), 7.0)
