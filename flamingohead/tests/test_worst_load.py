"""Tests of the load model that compares changes of placement and admission."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.worst_load import OverloadModel, run_seeds
from benchmarks.worst_load_site import DAYS

SHORT = replace(DAYS["bursts"], seconds=3.0, bursts=())


class TestModel:
    def test_one_seed_gives_one_result(self):
        assert OverloadModel(SHORT, 3).run() == OverloadModel(SHORT, 3).run()

    def test_every_request_of_a_caller_ends_once(self):
        result = OverloadModel(SHORT, 3).run()
        sent = sum(kind.rate for kind in SHORT.kinds) * SHORT.seconds
        ended = sum(
            result.max_credit[kind.name] / kind.worth
            for kind in SHORT.kinds
            if kind.rate
        )
        assert ended == pytest.approx(sent, rel=0.15)

    def test_light_load_is_almost_fully_served(self):
        assert OverloadModel(SHORT, 3).run().credit_ratio > 0.95

    def test_overload_costs_callers(self):
        assert OverloadModel(replace(SHORT, load=4.0), 3).run().credit_ratio < 0.7

    def test_changed_constant_is_in_force_for_the_run_only(self):
        overload = replace(SHORT, load=3.0)
        usual = run_seeds(overload, range(1), policy="system", settings={})
        changed = run_seeds(
            overload,
            range(1),
            policy="system",
            settings={"admission.QUEUED_TARGET_FRACTION": 0.01},
        )
        assert changed != usual
        assert run_seeds(overload, range(1), policy="system", settings={}) == usual
