"""Tests of version records and the replica."""

from __future__ import annotations

from dataclasses import replace

from flamingohead.core.changes import Change, apply_change, compute_change
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.resources import EMPTY_SNAPSHOT, Pool, Rank, Route, Service
from flamingohead.core.versions import Replica, build_record
from flamingohead.protocol import codec

SERVICE = Service("a")
POOL = Pool("p", "a")
RANK = Rank("r", "a", 0, 50, 1.0, 0.5)
ROUTE = Route("x", "a", "/x", ("GET",), "p", "r", 1000, True)
ALL = (SERVICE, POOL, RANK, ROUTE)


def create_record(base=EMPTY_SNAPSHOT, resources=ALL, change_id="first-change"):
    change = compute_change(base, resources)
    return build_record(
        base, change, change_id=change_id, author="tests", accepted_at=1.0
    )


class TestBuildRecord:
    def test_route_without_its_pool_is_refused(self):
        refusal = create_record(resources=(SERVICE, RANK, ROUTE))
        assert refusal.kind is ErrorKind.INVALID_CONFIGURATION
        assert "pool 'p'" in refusal.detail

    def test_record_survives_the_codec(self):
        record = create_record()
        data = codec.encode_record(record).SerializeToString()
        assert codec.parse_record(data) == record


class TestReplica:
    def test_takes_the_next_record_once(self):
        replica = Replica()
        record = create_record()
        assert replica.apply_record(record).version == 1
        assert replica.apply_record(record) is None
        assert replica.version == 1

    def test_changed_record_is_refused_whole(self):
        replica = Replica()
        record = replace(create_record(), change=Change((SERVICE,)))
        assert isinstance(replica.apply_record(record), Refusal)
        assert replica.snapshot is EMPTY_SNAPSHOT

    def test_record_of_another_history_is_refused(self):
        replica = Replica()
        replica.apply_record(create_record())
        other = apply_change(EMPTY_SNAPSHOT, Change((SERVICE,)), version=1)
        second = create_record(base=other)
        assert isinstance(replica.apply_record(second), Refusal)
        assert replica.version == 1

    def test_older_snapshot_is_left_aside(self):
        replica = Replica()
        replica.apply_record(create_record())
        held = replica.snapshot
        older = replace(EMPTY_SNAPSHOT, version=1)
        assert replica.apply_snapshot(older, older.digest) is held
