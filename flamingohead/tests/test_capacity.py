"""Tests that docs/CAPACITY.md agrees with the result files."""

from __future__ import annotations

import subprocess
import sys

from flamingohead.testing.processes import ROOT


class TestCapacityPage:
    def test_tables_match_the_result_files(self):
        result = subprocess.run(
            [sys.executable, "-m", "benchmarks.capacity_page", "--check"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, (
            result.stderr or "docs/CAPACITY.md differs from the result files"
        )
