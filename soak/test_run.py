"""Test short soaks: one of all parts, and the seeds that have failed before."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from soak.run import Soak, SoakSettings

REGRESSIONS = Path(__file__).with_name("regressions.txt")
SECONDS = 6.0
# The seed chooses keys, limits and uneven upstreams; the others choose none of them.
SEED = 43001


def read_regressions():
    """Return the seeds that have failed before, each with the faults to exclude."""
    lines = REGRESSIONS.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    fields = [entry.partition(" ")[0].split("!") for entry in entries]
    return [(int(seed), frozenset(excluded)) for seed, *excluded in fields]


class TestSoak:
    @pytest.mark.parametrize(
        ("seed", "excluded"), [(SEED, frozenset()), *read_regressions()]
    )
    def test_no_promise_is_broken(self, seed, excluded, tmp_path):
        settings = SoakSettings(seed, SECONDS, hosts=4, callers=2, excluded=excluded)
        soak = Soak(settings, tmp_path)
        assert asyncio.run(soak.run()) == []
