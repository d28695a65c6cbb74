"""Tests that a daemon imports only what the deployment installs."""

from __future__ import annotations

import subprocess
import sys

from flamingohead.testing.processes import ROOT

REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
# Imports the daemon with every distribution hidden that the deployment doesn't install.
IMPORT_DAEMON = """
import importlib.abc
import importlib.metadata
import re
import sys

declared = set()
for line in open(sys.argv[1]):
    name = re.split(r"[=<>#\\s]", line, maxsplit=1)[0]
    if name:
        declared.add(re.sub(r"[-_.]+", "-", name).lower())
hidden = set()
for module, owners in importlib.metadata.packages_distributions().items():
    names = {re.sub(r"[-_.]+", "-", owner).lower() for owner in owners}
    if not names & declared:
        hidden.add(module)


class HidingFinder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name.partition(".")[0] in hidden:
            raise ModuleNotFoundError(f"{name} is not installed", name=name)


sys.meta_path.insert(0, HidingFinder())
import flamingohead.platform.__main__
from flamingohead.services.reactor import install_reactor

install_reactor()
import flamingohead.platform.daemon
import flamingohead.platform.start
assert "click" in hidden
"""


class TestRequirements:
    def test_daemon_imports_only_what_the_deployment_installs(self):
        command = [sys.executable, "-c", IMPORT_DAEMON, str(REQUIREMENTS)]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        assert result.returncode == 0, result.stderr

    def test_versions_match_the_lock_file(self):
        locked = (ROOT / "requirements.lock").read_text().splitlines()
        for line in REQUIREMENTS.read_text().splitlines():
            if line and not line.startswith("#"):
                assert line in locked
