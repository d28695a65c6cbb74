"""Records of the log that a store has lost, and that daemons still hold."""

from __future__ import annotations

from dataclasses import replace

import pytest

from flamingohead.core.changes import compute_change
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.restoration import restore_log
from flamingohead.core.storage import InsertRecord, ReadLog, Reply, StoreChange
from flamingohead.core.versions import Replica, build_record
from flamingohead.testing.fakes import FakePlatform, create_service_resources


def build_records(count):
    """Return records of versions that add a service each; the third is large."""
    replica, resources = Replica(), []
    for number in range(count):
        for extra in range(4 if number == 2 else 1):
            resources += create_service_resources(f"s{number}-{extra}")
        change = compute_change(replica.snapshot, resources)
        record = build_record(
            replica.snapshot, change, change_id=f"c{number}", author="a", accepted_at=1
        )
        replica.apply_record(record)
    return list(replica.records.values())


def run(procedure, perform):
    try:
        operation = next(procedure)
        while True:
            operation = procedure.send(Reply(perform(operation), 0.0))
    except StopIteration as end:
        return end.value


@pytest.fixture
def records():
    return build_records(5)


@pytest.fixture
def platform(records):
    """Return a platform that holds the first two records."""
    platform = FakePlatform()
    for record in records[:2]:
        platform.perform(InsertRecord(platform.perform(StoreChange(record))))
    return platform


class TestLostRecords:
    def test_records_that_the_log_lacks_are_written_again(self, records, platform):
        assert run(restore_log(records), platform.perform) == 3
        rows = platform.perform(ReadLog(0, 10))
        digests = [row.snapshot_digest for row in rows]
        assert digests == [record.snapshot_digest for record in records]
        # The change that does not fit into a row is in the object store.
        assert rows[2].change is None and rows[2].change_digest in platform.objects
        assert run(restore_log(records), platform.perform) == 0

    def test_log_with_another_record_is_left_alone(self, records, platform):
        other = replace(records[2], snapshot_digest=b"other", change_id="later")
        platform.perform(InsertRecord(other))
        before = dict(platform.log)
        refusal = run(restore_log(records), platform.perform)
        assert refusal.kind is ErrorKind.VERSION_CONFLICT
        assert platform.log == before

    @pytest.mark.parametrize("kind", [ReadLog, StoreChange, InsertRecord])
    def test_failure_of_the_store_ends_the_try(self, records, platform, kind):
        refusal = Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "away")

        def perform(operation):
            if isinstance(operation, kind):
                return refusal
            return platform.perform(operation)

        assert run(restore_log(records), perform) is refusal

    def test_daemon_without_records_writes_nothing(self, platform):
        assert run(restore_log([]), platform.perform) == 0
