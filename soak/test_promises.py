"""Test that each violation of a promise is found."""

from __future__ import annotations

import pytest

from soak.promises import PROMISES, check_promises
from soak.records import Execution, FaultInterval, Outcome, Records, VersionObservation


def build_records():
    """Return records of a run without violations."""
    return Records(
        outcomes=[build_outcome("a"), build_outcome("b", safe=True, sent_at=9.0)],
        version_observations=[
            VersionObservation("h0", 1, 5.0, 1, True),
            VersionObservation("h0", 1, 5.1, 2, True),
        ],
        fault_intervals=[],
        versions={1: 1.0, 2: 4.0},
        executions=[Execution("a", "i-1", 2.0), Execution("b", "i-1", 9.0)],
        leave_times={"i-1": 8.0},
        recovery_checked_from=8.5,
    )


def build_outcome(request_id, *, safe=False, sent_at=2.0, status=200, **changes):
    fields = {
        "body": f"answer to {request_id}".encode(),
        "stamp": "i-1",
        "ended_at": sent_at + 0.1,
        **changes,
    }
    return Outcome(request_id, "h0", safe, sent_at, status=status, **fields)


def find_broken(records):
    return {violation.partition(":")[0] for violation in check_promises(records)}


class TestPromises:
    def test_run_without_violations_passes(self):
        assert check_promises(build_records()) == []

    def test_every_promise_has_a_violation_case(self):
        cases = TestPromises.test_broken_promise_is_found.pytestmark[0].args[1]
        assert {name for name, _ in cases} == set(PROMISES)

    @pytest.mark.parametrize(
        "name, spoil",
        [
            (
                "an unsafe request runs at most once",
                lambda r: r.executions.append(Execution("a", "i-2", 2.1)),
            ),
            (
                "a request said not to have run has not run",
                lambda r: r.outcomes.append(build_outcome("a", status=503)),
            ),
            (
                "an answer is that of the upstream that ran the request",
                lambda r: r.outcomes.append(build_outcome("b", stamp="i-2")),
            ),
            (
                "only requests of callers run",
                lambda r: r.executions.append(Execution("made-up", "i-1", 2.0)),
            ),
            (
                "a process never goes back to an older version",
                lambda r: r.version_observations.append(
                    VersionObservation("h0", 1, 5.2, 1, False)
                ),
            ),
            (
                "a version is in force in time",
                lambda r: r.version_observations.append(
                    VersionObservation("h1", 1, 6.1, 2, False)
                ),
            ),
            (
                "an upstream gets no request long after its leave",
                lambda r: r.executions.append(Execution("b", "i-1", 10.1)),
            ),
            (
                "a calm host answers by the deadline",
                lambda r: r.outcomes.append(
                    build_outcome("c", status=0, timed_out=True, sent_at=9.1)
                ),
            ),
            (
                "every host serves again after the faults",
                lambda r: r.outcomes.append(
                    build_outcome("d", status=503, sent_at=9.1)
                ),
            ),
            ("no daemon ends by itself", lambda r: r.unexpected_exits.append("h0")),
        ],
    )
    def test_broken_promise_is_found(self, name, spoil):
        records = build_records()
        spoil(records)
        assert name in find_broken(records)

    def test_safe_request_said_not_to_have_run_is_found(self):
        records = build_records()
        records.outcomes.append(build_outcome("b", safe=True, status=503))
        assert find_broken(records) == {"a request said not to have run has not run"}

    def test_late_version_is_allowed_shortly_after_a_fault_of_its_host(self):
        records = build_records()
        records.version_observations.append(VersionObservation("h1", 1, 6.1, 2, False))
        records.fault_intervals.append(FaultInterval("pause", "h1", 4.5, 5.0))
        assert find_broken(records) == set()

    def test_restarted_process_may_have_an_older_version(self):
        records = build_records()
        records.version_observations.append(VersionObservation("h0", 2, 5.2, 2, False))
        assert find_broken(records) == set()
