"""Tests of the routes of a host and of routes split between pools."""

from __future__ import annotations

from dataclasses import replace

import pytest

from flamingohead.core.errors import ErrorKind
from flamingohead.core.resources import (
    ANY_METHOD,
    ClientLimits,
    Pool,
    Rank,
    Route,
    Service,
    Snapshot,
    WeightedPool,
)
from flamingohead.core.routing import RouteTable
from flamingohead.core.splits import WeightedRoundRobin
from flamingohead.core.validation import validate_snapshot
from flamingohead.protocol import codec

HOST = "ledger.example"


def build_route(name, path, *, host=HOST, split=(), **fields):
    pool = split[0].pool if split else "a"
    return Route(
        name, pool, path, ANY_METHOD, pool, "urgent", 1000, True, host, split, **fields
    )


def build_snapshot(*routes, limits=ClientLimits(16384, 1_000_000, 3000, 15000)):
    resources = [limits, *routes]
    for service in ("a", "b"):
        resources += [Service(service), Pool(service, service)]
        resources.append(Rank("urgent", service, 0, 500, 1.0, 0.0))
    return Snapshot.build(1, {r.key: r for r in resources})


class TestHostRoutes:
    @pytest.fixture
    def table(self):
        return RouteTable(
            build_snapshot(
                build_route("root", "/"),
                build_route("lookup", "/lookup/"),
                build_route("deep", "/lookup/old/"),
                build_route("other", "/only/", host="other.example"),
            )
        )

    @pytest.mark.parametrize(
        ("path", "name"),
        [
            ("/lookup/1", "lookup"),
            ("/lookup/", "lookup"),
            ("/lookup/old/1?x=/", "deep"),
            ("/lookup/old", "lookup"),
            ("/lookup", "root"),
            ("/lookups/1", "root"),
        ],
    )
    def test_longest_prefix_that_begins_the_path_wins(self, table, path, name):
        assert table.match("PATCH", path, HOST).route.name == name

    def test_route_of_another_host_is_not_found(self, table):
        assert table.match("GET", "/only/1", "other.example").route.name == "other"
        refusal = table.match("GET", "/only/1", "third.example")
        assert refusal.kind is ErrorKind.NO_ROUTE

    def test_next_table_drops_a_removed_route(self, table):
        table = table.build_next(build_snapshot(build_route("lookup", "/lookup/")))
        assert table.match("GET", "/x", HOST).kind is ErrorKind.NO_ROUTE
        assert table.match("GET", "/lookup/1", HOST).route.name == "lookup"

    def test_client_limits_are_part_of_the_configuration(self, table):
        assert table.client_limits.idle_timeout_ms == 15000


class TestValidation:
    def test_split_must_name_known_pools(self):
        split = (WeightedPool("a", 1), WeightedPool("missing", 1))
        problems = validate_snapshot(build_snapshot(build_route("r", "/", split=split)))
        assert [p.field for p in problems] == ["pool"]

    @pytest.mark.parametrize("weights", [(0, 0), (-1, 2)])
    def test_weights_must_be_non_negative_with_a_positive_sum(self, weights):
        split = tuple(WeightedPool("a", weight) for weight in weights)
        problems = validate_snapshot(build_snapshot(build_route("r", "/", split=split)))
        assert [p.field for p in problems] == ["split"]

    def test_route_must_allow_an_attempt(self):
        route = build_route("r", "/", max_attempts=0)
        assert [p.field for p in validate_snapshot(build_snapshot(route))] == [
            "max_attempts"
        ]

    def test_limits_must_be_positive(self):
        snapshot = build_snapshot(limits=ClientLimits(0, 1, 1, 1))
        assert [p.field for p in validate_snapshot(snapshot)] == ["head_bytes"]

    def test_routes_of_a_host_must_not_match_the_same_requests(self):
        routes = build_route("r", "/x/"), build_route("s", "/x/")
        assert [p.field for p in validate_snapshot(build_snapshot(*routes))] == [
            "methods"
        ]
        routes = build_route("r", "/x/"), build_route("s", "/x/", host="b.example")
        assert not validate_snapshot(build_snapshot(*routes))


class TestCodec:
    def test_snapshot_keeps_its_digest_through_a_message(self):
        split = (WeightedPool("a", 9), WeightedPool("b", 1))
        route = build_route("r", "/", split=split, bulky=True, max_attempts=2)
        snapshot = build_snapshot(route)
        message = codec.encode_snapshot(snapshot).SerializeToString()
        decoded = codec.parse_snapshot(message)
        assert decoded.digest == snapshot.digest
        assert decoded.resources[route.key] == route


class TestSplitTurns:
    def test_shares_hold_over_any_hundred_requests(self):
        split = (WeightedPool("a", 90), WeightedPool("b", 10))
        turns = WeightedRoundRobin()
        chosen = [turns.choose(split) for _ in range(1000)]
        for start in range(0, 900, 7):
            assert 9 <= chosen[start : start + 100].count("b") <= 11

    def test_pool_with_weight_zero_gets_no_requests(self):
        split = (WeightedPool("a", 0), WeightedPool("b", 3))
        turns = WeightedRoundRobin()
        assert {turns.choose(split) for _ in range(50)} == {"b"}


class TestTimeouts:
    def test_shortest_timeout_includes_parts_of_split_routes(self):
        split = (WeightedPool("a", 1), WeightedPool("b", 1))
        table = RouteTable(
            build_snapshot(
                replace(build_route("long", "/long/"), timeout_ms=3000),
                replace(build_route("split", "/split/", split=split), timeout_ms=800),
            )
        )
        assert table.get_shortest_timeout("a") == 0.8
        assert table.get_shortest_timeout("b") == 0.8
        assert table.get_shortest_timeout("c") is None
