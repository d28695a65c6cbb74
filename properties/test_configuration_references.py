"""Property: references stay complete; incremental and full validation agree."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st

from flamingohead.core.changes import Change, apply_change
from flamingohead.core.resources import EMPTY_SNAPSHOT, Pool, Rank, Route, Service
from flamingohead.core.routing import ResolvedRoute, RouteTable
from flamingohead.core.validation import validate_snapshot

NAMES = st.sampled_from(["a", "b", "c"])
POOLS = st.sampled_from(["p", "q"])
PATHS = st.sampled_from(["/x", "/x/", "/y"])
RESOURCES = st.one_of(
    st.builds(Service, NAMES),
    st.builds(Pool, POOLS, NAMES),
    st.builds(
        Rank,
        st.just("r"),
        NAMES,
        st.integers(0, 1),
        st.just(5),
        st.just(1.0),
        st.sampled_from([0.5, 1.0, 1.5]),
    ),
    st.builds(
        Route,
        st.sampled_from(["m", "n"]),
        NAMES,
        PATHS,
        st.sampled_from([("GET",), ("GET", "POST")]),
        POOLS,
        st.just("r"),
        st.just(100),
        st.booleans(),
    ),
)
SMALL_CHANGES = st.tuples(
    st.lists(RESOURCES, max_size=3), st.lists(RESOURCES, max_size=2)
)
POOL_MOVES = st.tuples(
    st.lists(st.builds(Pool, POOLS, NAMES), max_size=2),
    st.lists(st.builds(Pool, POOLS, NAMES), max_size=2),
)
CHANGES = st.lists(st.one_of(SMALL_CHANGES, POOL_MOVES), min_size=1, max_size=8)
BASE_RESOURCES = [
    Service("a"),
    Pool("p", "a"),
    Service("b"),
    Service("c"),
    Rank("r", "b", 0, 5, 1.0, 0.5),
    Route("m", "b", "/x", ("GET",), "p", "r", 100, True),
]


def build_change(upserts, removed):
    upserted = {resource.key: resource for resource in upserts}
    keys = {resource.key for resource in removed} - set(upserted)
    return Change(tuple(upserted.values()), tuple(sorted(keys)))


def list_matches(table):
    requests = [(m, p) for m in ("GET", "POST") for p in ("/x", "/x/1", "/y")]
    return [table.match(*request) for request in requests]


class TestReferences:
    @settings(max_examples=400)
    @given(changes=CHANGES)
    def test_incremental_and_full_validation_agree(self, changes):
        base = apply_change(EMPTY_SNAPSHOT, Change(tuple(BASE_RESOURCES)), version=1)
        table = RouteTable(base)
        for upserts, removed in changes:
            change = build_change(upserts, removed)
            snapshot = apply_change(base, change, version=base.version + 1)
            problems = validate_snapshot(snapshot)
            assert bool(problems) == bool(validate_snapshot(snapshot, base=base))
            if problems:
                continue
            base, table = snapshot, table.build_next(snapshot)
            full_table = RouteTable(snapshot)
            assert list_matches(table) == list_matches(full_table)
            for name in ("a", "b", "c"):
                assert table.list_ranks(name) == full_table.list_ranks(name)

    @pytest.mark.parametrize(
        "other",
        [
            Pool("p", "b"),
            Route("o", "b", "/x/", ("GET",), "p", "r", 100, True),
            Route("o", "b", "/x", ("POST", "GET"), "p", "r", 100, True),
        ],
    )
    def test_conflict_that_only_order_would_resolve_is_refused(self, other):
        base = apply_change(EMPTY_SNAPSHOT, Change(tuple(BASE_RESOURCES)), version=1)
        snapshot = apply_change(base, Change((other,)), version=2)
        assert validate_snapshot(snapshot)
        assert validate_snapshot(snapshot, base=base)

    @settings(max_examples=200)
    @given(changes=CHANGES)
    def test_match_refers_only_to_resources_of_its_snapshot(self, changes):
        base = apply_change(EMPTY_SNAPSHOT, Change(tuple(BASE_RESOURCES)), version=1)
        table = RouteTable(base)
        for upserts, removed in changes:
            change = build_change(upserts, removed)
            snapshot = apply_change(base, change, version=base.version + 1)
            if not validate_snapshot(snapshot, base=base):
                base, table = snapshot, table.build_next(snapshot)
            resources = set(base.resources.values())
            for match in list_matches(table):
                if isinstance(match, ResolvedRoute):
                    matched = {match.route, match.service, match.pool, match.rank}
                    assert matched <= resources
