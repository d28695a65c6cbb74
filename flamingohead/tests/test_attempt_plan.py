"""Tests of the steps after a failed attempt and of the shared retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from flamingohead.core.attempts import (
    FULL_KINDS,
    MAX_CACHED_REFUSALS,
    MAX_IMMEDIATE_ATTEMPTS,
    MOVE_KINDS,
    AttemptTracker,
    OverloadCache,
    Step,
)
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.retries import SharedBudgetSettings, SharedRetryBudget

FULL = Refusal(ErrorKind.QUEUE_FULL, retry_at=4.0)
CUT = Refusal(ErrorKind.HOST_CUT)


def build_plan(*, idempotent=True, max_upstreams=2):
    return AttemptTracker(idempotent, max_upstreams, deadline=10.0)


class TestAttemptPlan:
    def test_full_hosts_are_tried_without_queueing_and_then_with_it(self):
        plan = build_plan()
        for number in range(MAX_IMMEDIATE_ATTEMPTS):
            assert not plan.must_wait
            step = plan.record((f"h{number}", "u"), FULL, 0.0, waited=False)
            assert step is Step.MOVE
        assert plan.must_wait and not plan.excluded
        assert plan.record(("h0", "u"), FULL, 0.0, waited=True) is Step.MOVE
        assert plan.record(("h1", "u"), FULL, 0.0, waited=True) is Step.GIVE_UP
        assert plan.upstreams == 0

    def test_turn_that_records_no_attempt_ends_the_loop(self):
        # Guards against a loop over attempts that sends nothing and never ends.
        plan = build_plan()
        assert plan.start()
        assert not plan.start()

    def test_recorded_attempts_allow_others_until_one_gives_up(self):
        plan = build_plan()
        assert plan.start()
        plan.record(("a", "u"), FULL, 0.0, waited=False)
        assert plan.start()
        plan.record(("b", "u"), CUT, 0.0, waited=False)
        plan.give_up()
        assert not plan.start()

    def test_final_refusal_has_the_earliest_retry_time(self):
        plan = build_plan()
        plan.record(("a", "u"), FULL, 0.0, waited=True)
        later = Refusal(ErrorKind.DEADLINE_UNREACHABLE, retry_at=9.0)
        plan.record(("b", "u"), later, 0.0, waited=True)
        assert plan.build_final_refusal().retry_at == 4.0

    def test_request_that_may_have_run_earlier_is_not_denied(self):
        plan = build_plan()
        plan.record(("a", "u"), CUT, 0.0, waited=False)
        plan.record(("b", "u"), FULL, 0.0, waited=True)
        refusal = plan.build_final_refusal()
        assert refusal.kind is ErrorKind.QUEUE_FULL
        assert refusal.ran is ExecutionStatus.UNKNOWN
        assert refusal.retry_at == 4.0

    @pytest.mark.parametrize(("idempotent", "step"), [(True, "REPEAT"), (False, None)])
    def test_call_that_may_have_run_is_retried_only_if_idempotent(
        self, idempotent, step
    ):
        plan = build_plan(idempotent=idempotent)
        expected = Step[step] if step else Step.GIVE_UP
        assert plan.record(("a", "u"), CUT, 0.0, waited=False) is expected

    def test_call_that_did_not_run_is_always_retried(self):
        plan = build_plan(idempotent=False)
        shed = Refusal(ErrorKind.UPSTREAM_SHED)
        assert shed.ran is ExecutionStatus.NO
        assert plan.record(("a", "u"), shed, 0.0, waited=False) is Step.REPEAT

    @pytest.mark.parametrize("waited", [False, True])
    @pytest.mark.parametrize("kind", sorted(MOVE_KINDS | FULL_KINDS, key=str))
    def test_refusal_that_may_have_run_is_not_sent_again(self, kind, waited):
        refusal = Refusal(kind, ran_override=ExecutionStatus.UNKNOWN)
        plan = build_plan(idempotent=False)
        assert plan.record(("a", "u"), refusal, 0.0, waited=waited) is Step.GIVE_UP

    @pytest.mark.parametrize("kind", sorted(MOVE_KINDS | FULL_KINDS, key=str))
    def test_attempt_after_one_that_may_have_run_is_charged(self, kind):
        refusal = Refusal(kind, ran_override=ExecutionStatus.UNKNOWN)
        plan = build_plan(max_upstreams=2)
        assert plan.record(("a", "u"), refusal, 0.0, waited=False) is Step.REPEAT
        assert plan.record(("b", "u"), refusal, 0.0, waited=False) is Step.GIVE_UP

    def test_route_limits_the_number_of_upstreams(self):
        plan = build_plan(max_upstreams=2)
        assert plan.record(("a", "u"), CUT, 0.0, waited=False) is Step.REPEAT
        assert plan.record(("b", "u"), CUT, 0.0, waited=False) is Step.GIVE_UP

    def test_no_attempt_follows_the_deadline(self):
        plan = build_plan()
        assert plan.record(("a", "u"), FULL, 10.0, waited=False) is Step.GIVE_UP


class TestFullServices:
    def test_flood_is_refused_without_new_offers_to_full_hosts(self):
        full = OverloadCache(period=0.04)
        offered = 0
        for step in range(1000):
            now = step * 0.001
            if full.find("s", "search", now) is None:
                offered += 1
                full.record("s", "search", FULL, now)
        assert 20 <= offered <= 30

    def test_other_ranks_and_services_are_not_affected(self):
        full = OverloadCache()
        full.record("s", "search", FULL, 0.0)
        assert full.find("s", "bundle", 0.0) is None
        assert full.find("t", "search", 0.0) is None

    def test_failures_of_another_kind_are_not_recorded(self):
        full = OverloadCache()
        full.record("s", "search", CUT, 0.0)
        assert full.find("s", "search", 0.0) is None

    def test_state_of_earlier_attempts_is_not_that_of_other_requests(self):
        full = OverloadCache()
        refusal = replace(FULL, ran_override=ExecutionStatus.UNKNOWN)
        full.record("s", "search", refusal, 0.0)
        assert full.find("s", "search", 0.0) == FULL


class TestSharedRetryBudget:
    SETTINGS = SharedBudgetSettings(ratio=0.2, slack=58, window=10.0)

    def test_retries_of_all_daemons_stay_within_the_shared_bound(self):
        budgets = [SharedRetryBudget(self.SETTINGS) for _ in range(9)]
        for budget in budgets:
            budget.observe_daemon_count(9)
        retries = []
        requests = []
        for step in range(4000):
            now = step * 0.005
            budget = budgets[step % 9]
            budget.record_request("s", now)
            requests.append(now)
            while budget.spend("s", now):
                retries.append(now)
        for start in range(0, 10):
            retries_in_window = [t for t in retries if start <= t < start + 10]
            requests_in_window = [t for t in requests if start <= t < start + 10]
            assert len(retries_in_window) <= 0.2 * len(requests_in_window) + 58

    def test_share_does_not_grow_when_fewer_daemons_are_visible(self):
        budget = SharedRetryBudget(self.SETTINGS)
        budget.observe_daemon_count(29)
        budget.observe_daemon_count(1)
        assert [budget.spend("s", 0.0) for _ in range(3)] == [True, False, False]

    def test_retries_expire_after_the_window(self):
        budget = SharedRetryBudget(self.SETTINGS)
        budget.observe_daemon_count(29)
        assert budget.spend("s", 0.0)
        assert not budget.spend("s", 9.9)
        assert budget.spend("s", 10.1)


class TestOverloadCacheOfOrganisations:
    """Replay a flood of one of many organisations at an ingress daemon."""

    REFUSAL = Refusal(ErrorKind.QUEUE_FULL, "full", 5.0)

    def test_refusal_of_a_large_organisation_is_not_used_for_a_small_one(self):
        cache = OverloadCache()
        cache.record("s", "lookup", self.REFUSAL, 1.0, organisation="large")
        assert cache.find("s", "lookup", 1.01, organisation="large") is not None
        assert cache.find("s", "lookup", 1.01, organisation="small") is None
        assert cache.find("s", "lookup", 1.01) is None

    def test_cached_refusals_name_different_times_to_retry(self):
        cache = OverloadCache()
        cache.record("s", "lookup", self.REFUSAL, 1.0, organisation="large")
        times = {
            cache.find("s", "lookup", 1.01, organisation="large").retry_at
            for _ in range(10)
        }
        assert len(times) == 10
        assert min(times) >= 5.0

    def test_size_is_bounded(self):
        cache = OverloadCache()
        for number in range(2 * MAX_CACHED_REFUSALS):
            cache.record("s", "lookup", self.REFUSAL, 1.0, organisation=str(number))
        assert len(cache) == MAX_CACHED_REFUSALS

    def test_ended_refusals_are_removed(self):
        cache = OverloadCache()
        for number in range(100):
            cache.record("s", "lookup", self.REFUSAL, 1.0, organisation=str(number))
        cache.record("s", "lookup", self.REFUSAL, 2.0, organisation="last")
        assert len(cache) == 1
