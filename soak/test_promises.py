"""Test that each violation of a promise is found."""

from __future__ import annotations

import pytest

from soak.organisations import KeyHistory
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
        keys={"kept": KeyHistory("o-1", True), "old": KeyHistory("o-2", True, 0.9, 1)},
        limits={"o-3": (20, 10)},
    )


def build_outcome(request_id, *, safe=False, sent_at=2.0, status=200, **changes):
    fields = {
        "body": f"answer to {request_id}".encode(),
        "stamp": "i-1",
        "ended_at": sent_at + 0.1,
        **changes,
    }
    return Outcome(request_id, "h0", safe, sent_at, status=status, **fields)


def add_run(records, request_id, key, *, organisation="", has_key=False, **changes):
    """Add a request with a key that ran."""
    outcome = build_outcome(request_id, key=key, **changes)
    records.outcomes.append(outcome)
    execution = Execution(request_id, "i-1", outcome.sent_at, organisation, has_key)
    records.executions.append(execution)


def add_runs_within_limit(records, *, count, span):
    records.keys["limited"] = KeyHistory("o-3", True)
    for number in range(count):
        sent_at = 2.0 + span * number / (count - 1)
        request_id = f"limited-{number}"
        add_run(
            records,
            request_id,
            "limited",
            organisation="o-3",
            sent_at=sent_at,
            safe=True,
        )


def refuse_by_limit(records, *, sent_at=9.1):
    records.keys["limited"] = KeyHistory("o-3", True)
    records.outcomes.append(
        build_outcome("c", key="limited", status=429, sent_at=sent_at)
    )


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
            (
                "a request with an unknown key doesn't run",
                lambda r: add_run(r, "c", "unknown"),
            ),
            (
                "an upstream gets the organisation of a key, never the key",
                lambda r: add_run(r, "c", "kept", organisation="o-2"),
            ),
            (
                "a withdrawn key is not used",
                lambda r: add_run(r, "c", "old", organisation="o-2", sent_at=6.1),
            ),
            (
                "a key of all configurations is not denied",
                lambda r: r.outcomes.append(build_outcome("c", key="kept", status=401)),
            ),
            (
                "a calm host accepts keys",
                lambda r: r.outcomes.append(
                    build_outcome(
                        "c",
                        key="kept",
                        status=503,
                        body=b"configuration_unconfirmed: version 1",
                    )
                ),
            ),
            (
                # The bound is (20 * 5 + 10) * 1.1 + 20 runs.
                "the runs of an organisation stay within its limit",
                lambda r: add_runs_within_limit(r, count=142, span=5.0),
            ),
            (
                "an organisation below its limit is not refused in calm",
                refuse_by_limit,
            ),
            (
                "an upstream is never sent more than it can hold",
                lambda r: r.unanswered["overflow"].add("a"),
            ),
            (
                "a connection is not used after an upstream fell silent on it",
                lambda r: r.unanswered["unread"].add("a"),
            ),
            (
                "a request that met silence is not said not to have run",
                lambda r: (
                    r.unanswered["silent"].add("c"),
                    r.outcomes.append(build_outcome("c", status=503)),
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


class TestKeys:
    def test_missing_key_must_not_run(self):
        records = build_records()
        add_run(records, "c", "")
        assert find_broken(records) == {"a request with an unknown key doesn't run"}

    def test_key_must_not_reach_an_upstream(self):
        records = build_records()
        add_run(records, "c", "kept", organisation="o-1", has_key=True)
        assert find_broken(records) == {
            "an upstream gets the organisation of a key, never the key"
        }

    def test_name_sent_by_a_caller_must_not_reach_an_upstream(self):
        # A probe has no key, and its route requires none.
        records = build_records()
        add_run(records, "c", None, organisation="forged")
        assert find_broken(records) == {
            "an upstream gets the organisation of a key, never the key"
        }

    def test_withdrawn_key_may_be_used_and_denied_for_some_time(self):
        records = build_records()
        add_run(records, "c", "old", organisation="o-2", sent_at=5.9)
        records.outcomes.append(build_outcome("d", key="old", status=401))
        assert find_broken(records) == set()

    def test_key_of_later_configurations_may_be_denied_at_first(self):
        records = build_records()
        records.keys["new"] = KeyHistory("o-1")
        records.outcomes.append(build_outcome("c", key="new", status=401))
        assert find_broken(records) == set()


class TestLimits:
    def test_runs_up_to_the_bound_are_allowed(self):
        records = build_records()
        add_runs_within_limit(records, count=141, span=4.9)
        assert find_broken(records) == set()

    def test_request_that_ran_twice_counts_once(self):
        records = build_records()
        add_runs_within_limit(records, count=80, span=4.9)
        records.executions.extend(records.executions[-80:])
        assert find_broken(records) == set()

    def test_refusal_is_allowed_shortly_after_a_fault(self):
        records = build_records()
        records.fault_intervals.append(FaultInterval("kill", "h1", 6.0, 6.5))
        refuse_by_limit(records, sent_at=8.4)
        assert find_broken(records) == set()

    def test_refusal_beyond_the_limit_is_allowed(self):
        records = build_records()
        add_runs_within_limit(records, count=101, span=1.0)
        refuse_by_limit(records, sent_at=3.1)
        assert find_broken(records) == set()
