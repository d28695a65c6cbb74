"""Property: a replica never goes back and only holds whole, valid versions."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings, strategies as st

from flamingohead.core import versions
from flamingohead.core.changes import Change
from flamingohead.core.errors import Refusal
from flamingohead.core.resources import (
    EMPTY_SNAPSHOT,
    Pool,
    Rank,
    Route,
    Service,
    Snapshot,
)
from flamingohead.core.routing import RouteTable
from flamingohead.core.versions import Replica, build_record
from flamingohead.protocol import codec
from flamingohead.testing.fakes import create_service_resources

NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.tuples(NAMES, st.integers(1, 9), st.booleans()), min_size=1, max_size=12
)
DELIVERIES = st.lists(
    st.tuples(
        st.integers(0, 11),
        st.sampled_from(["record", "snapshot", "torn record", "torn snapshot"]),
    ),
    max_size=40,
)


def build_history(steps):
    """Return records and snapshots of a log with services added and removed."""
    writer = Replica()
    history = []
    for name, timeout, remove in steps:
        base = writer.snapshot
        change = Change(tuple(create_service_resources(name, timeout_ms=timeout)))
        if remove:
            keys = [key for key in base.resources if key.service == name]
            change = Change((), tuple(keys))
        record = build_record(base, change, change_id="c", author="t", accepted_at=0.0)
        history.append((record, writer.apply_record(record)))
    return history


def tear_record(record):
    """Return a record whose change lost its last part on the way."""
    change = record.change
    torn = Change(change.upserts[:-1], change.removals[:-1])
    return replace(record, change=torn)


def tear_snapshot(snapshot):
    resources = dict(list(snapshot.resources.items())[:-1])
    return Snapshot.build(snapshot.version, resources)


def deliver(replica, record, snapshot, kind):
    if kind == "record":
        return replica.apply_record(record)
    if kind == "torn record":
        return replica.apply_record(tear_record(record))
    if kind == "snapshot":
        return replica.apply_snapshot(snapshot, snapshot.digest)
    return replica.apply_snapshot(tear_snapshot(snapshot), snapshot.digest)


def check_references(snapshot):
    resources = snapshot.resources.values()
    pools = {r.name for r in resources if isinstance(r, Pool)}
    assert all(r.pool in pools for r in resources if isinstance(r, Route))
    RouteTable(snapshot)


class TestReplicaUnderCrossedDeliveries:
    @settings(max_examples=300)
    @given(steps=STEPS, deliveries=DELIVERIES)
    def test_versions_never_go_back_and_stay_whole(self, steps, deliveries):
        history = build_history(steps)
        by_version = {snapshot.version: snapshot for _, snapshot in history}
        replica = Replica()
        for position, kind in deliveries:
            record, snapshot = history[position % len(history)]
            before = replica.snapshot
            result = deliver(replica, record, snapshot, kind)
            assert replica.version >= before.version
            if isinstance(result, Refusal):
                assert replica.snapshot is before
            if replica.version:
                assert replica.snapshot == by_version[replica.version]
                assert replica.snapshot.digest == by_version[replica.version].digest
            check_references(replica.snapshot)

    @given(steps=STEPS)
    def test_digest_is_the_same_by_steps_and_at_once(self, steps):
        for _, snapshot in build_history(steps):
            whole = Snapshot.build(snapshot.version, snapshot.resources)
            assert whole.digest == snapshot.digest

    @given(
        worth=st.one_of(st.integers(0, 9), st.floats(0, 1e9)),
        share=st.sampled_from([0, 1, 0.25]),
        methods=st.sampled_from([("GET",), ["GET", "POST"]]),
    )
    def test_digest_survives_a_transfer(self, worth, share, methods):
        resources = [
            Service("a"),
            Pool("p", "a"),
            Rank("r", "a", 0, 5, worth, share),
            Route("m", "a", "/x", methods, "p", "r", 100, True),
        ]
        snapshot = Snapshot.build(1, {r.key: r for r in resources})
        data = codec.encode_snapshot(snapshot).SerializeToString()
        assert codec.parse_snapshot(data).digest == snapshot.digest

    @given(
        steps=STEPS,
        after=st.integers(0, 12),
        kept=st.integers(1, 4),
        resources=st.sampled_from([4, 9, 100]),
    )
    def test_kept_records_lead_on_without_a_gap(self, steps, after, kept, resources):
        replica = Replica()
        limits = versions.MAX_RECORDS, versions.MAX_RECORD_RESOURCES
        versions.MAX_RECORDS, versions.MAX_RECORD_RESOURCES = kept, resources
        try:
            for record, _ in build_history(steps):
                replica.apply_record(record)
        finally:
            versions.MAX_RECORDS, versions.MAX_RECORD_RESOURCES = limits
        changes = [record.change for record in replica.records.values()]
        assert len(changes) <= kept
        assert sum(change.count_resources() for change in changes) <= resources
        records = replica.list_records_after(after)
        if records is None:
            assert after + 1 not in replica.records
        else:
            assert [r.version for r in records] == list(
                range(after + 1, replica.version + 1)
            )


class TestBadVersion:
    @settings(max_examples=100)
    @given(steps=STEPS, name=NAMES, cut=st.integers(0, 3))
    def test_no_writer_accepts_a_sheet_with_a_hole(self, steps, name, cut):
        base = build_history(steps)[-1][1]
        service = create_service_resources(name)
        removed = service.pop(cut)
        if cut == 3:
            return
        keys = (removed.key,) if removed.key in base.resources else ()
        outcome = build_record(
            base,
            Change(tuple(service), keys),
            change_id="c",
            author="t",
            accepted_at=0.0,
        )
        assert isinstance(outcome, Refusal)
        assert base.version == 0 or base is not EMPTY_SNAPSHOT
