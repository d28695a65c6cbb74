"""Tests of the helpers that start processes for tests."""

from __future__ import annotations

import subprocess
import sys

from flamingohead.testing.processes import ROOT, choose_address

CHOOSE_SCRIPT = (
    "from flamingohead.testing.processes import choose_address\n"
    "print(*[choose_address() for _ in range(500)], flush=True)\n"
    "input()"
)


class TestChooseAddress:
    def test_concurrent_processes_choose_different_ports(self):
        choosers = [
            subprocess.Popen(
                [sys.executable, "-c", CHOOSE_SCRIPT],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(4)
        ]
        chosen = [choose_address()]
        for chooser in choosers:
            chosen += chooser.stdout.readline().split()
        for chooser in choosers:
            chooser.communicate("\n")
        assert len(chosen) == 2001
        assert len(set(chosen)) == len(chosen)
