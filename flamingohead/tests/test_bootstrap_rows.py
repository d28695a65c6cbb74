"""Host rows of a group that spans failure domains."""

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
    def test_rows_of_all_failure_domains_of_a_group_lead_to_peers(self):
        member = Member("h", "makola", "10.0.0.1:1", "relay", 1, group="mesh")
        service = build_service(member)
        body = b'{"peer_address": "10.0.0.2:7000", "written_at": 1.0}'
        found = service._decode_rows([Row("hosts/mesh/osu-1", body, "1")], "mesh")
        assert [row.host_id for row in found] == ["osu-1"]
        assert service._get_row_key("h") == "hosts/mesh/h"

    def test_group_falls_back_to_the_failure_domain(self):
        service = build_service(Member("h", "makola", "10.0.0.1:1", "relay", 1))
        assert service._get_row_key("h") == "hosts/makola/h"


class TestFoundByPeers:
    def test_daemon_that_peers_have_found_joins_at_once_for_the_whole_state(self):
        bootstrap = Bootstrap("h", "p", (), random=random.Random(1))
        bootstrap.tick(0.0, {})
        members = {"m": Member("m", "makola", "10.0.0.2:7000", "relay", 1)}
        effects = bootstrap.tick(10.0, members)
        assert JoinPeers(("10.0.0.2:7000",)) in effects


class TestRowReads:
    def test_large_group_reads_rows_at_a_common_rate(self):
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
    """Replay a group of 200 daemons with rows of hosts that none of them knows."""

    SETTINGS = BootstrapSettings(
        row_period=15.0, row_read_rate=5.0, unknown_rows_wait=2.0, first_row_spread=3.0
    )

    def count_reads(self, size, *, seconds):
        """Return the reads of one member while the rows lead nowhere."""
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

    def test_rows_that_lead_nowhere_are_read_at_a_common_rate(self):
        assert self.count_reads(200, seconds=60) <= 60 * 5.0 / 200 + 2

    def test_small_group_looks_for_the_others_soon(self):
        assert self.count_reads(8, seconds=60) > 20

    def test_first_look_after_a_join_is_spread_by_the_size_of_the_group(self):
        waits = []
        for seed in range(40):
            bootstrap = Bootstrap(
                "h", "p", (), random=random.Random(seed), settings=self.SETTINGS
            )
            bootstrap.finish_join([JoinOutcome(True, new_states=200)], 0.0)
            waits.append(bootstrap._next_row_check_at)
        assert max(waits) > 30.0


class TestServingReadiness:
    def test_daemon_without_peers_is_not_ready_at_once(self):
        readiness = ServingReadiness(grace=2.0)
        assert not readiness.check({"ledger", "archive"}, {"ledger"}, 5.0)
        assert readiness.check({"ledger", "archive"}, {"ledger", "archive"}, 5.1)
        assert readiness.check({"ledger", "archive"}, set(), 5.2)

    def test_service_without_upstreams_holds_it_back_for_a_while_only(self):
        readiness = ServingReadiness(grace=2.0)
        assert not readiness.check({"archive"}, set(), 5.0)
        assert readiness.check({"archive"}, set(), 7.0)
