"""Tests of the load model that compares changes of placement and admission."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.worst_load import Model, compare
from benchmarks.worst_load_site import DAYS

SHORT = replace(DAYS["bursts"], seconds=3.0, bursts=())


class TestModel:
    def test_one_seed_gives_one_result(self):
        assert Model(SHORT, 3).run() == Model(SHORT, 3).run()

    def test_every_request_of_a_caller_ends_once(self):
        result = Model(SHORT, 3).run()
        sent = sum(kind.rate for kind in SHORT.kinds) * SHORT.seconds
        ended = sum(
            result.owed[kind.name] / kind.worth for kind in SHORT.kinds if kind.rate
        )
        assert ended == pytest.approx(sent, rel=0.15)

    def test_light_load_is_almost_fully_served(self):
        assert Model(SHORT, 3).run().whole > 0.95

    def test_overload_costs_callers(self):
        assert Model(replace(SHORT, load=4.0), 3).run().whole < 0.7

    def test_changed_constant_is_in_force_for_the_run_only(self):
        overload = replace(SHORT, load=3.0)
        usual = compare(overload, range(1), policy="system", settings={})
        changed = compare(
            overload,
            range(1),
            policy="system",
            settings={"admission.QUEUED_TARGET_FRACTION": 0.01},
        )
        assert changed != usual
        assert compare(overload, range(1), policy="system", settings={}) == usual
