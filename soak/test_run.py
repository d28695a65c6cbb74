"""A short soak, as in every run of the tests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from soak.run import Soak, SoakSettings

REGRESSIONS = Path(__file__).with_name("regressions.txt")
SECONDS = 6.0


def read_regressions():
    """Return the seeds that failed once."""
    lines = REGRESSIONS.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return [int(entry.partition(" ")[0]) for entry in entries]


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *read_regressions()])
    def test_no_promise_is_broken(self, seed, tmp_path):
        soak = Soak(SoakSettings(seed, SECONDS, hosts=4, callers=2), tmp_path)
        assert asyncio.run(soak.run()) == []
