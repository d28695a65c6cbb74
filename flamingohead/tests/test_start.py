"""Tests of the modules and settings that a starting platform daemon loads."""

from __future__ import annotations

import json
import subprocess
import sys

import yaml

from flamingohead.platform.boot import SettingsError, parse_settings
from flamingohead.testing.hosts import Host, build_settings
from flamingohead.testing.processes import ROOT

HOST = Host(
    "h0",
    "ledger",
    *(f"127.0.0.1:{port}" for port in range(7001, 7006)),
    settings_path=None,
)
LIST_MODULES = """
import sys
import flamingohead.platform.start
import flamingohead.platform.daemon
print(" ".join(sys.modules))
"""
# Importing any one of these takes a tenth of the time of importing the daemon.
UNNEEDED = {
    "click",
    "klein",
    "pydantic",
    "statsd",
    "treq",
    "twisted.internet.asyncioreactor",
    "twisted.internet.reactor",
    "twisted.internet.tcp",
    "yaml",
}


class TestImports:
    def test_start_imports_no_unneeded_modules(self):
        command = [sys.executable, "-c", LIST_MODULES]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        assert result.returncode == 0, result.stderr
        assert not UNNEEDED & set(result.stdout.split())


class TestSettingsInJson:
    def test_settings_are_the_same_in_either_format(self):
        text = build_settings(HOST, "127.0.0.1:9", 7380)
        assert parse_settings(json.dumps(yaml.safe_load(text))) == parse_settings(text)

    def test_deployment_template_requests_all_fields_as_json(self):
        assert (ROOT / "deploy" / "settings.json").read_text().strip() == "{{.|json}}"

    def test_truncated_file_is_refused(self):
        try:
            parse_settings('{"node": "h')
        except SettingsError as error:
            assert "JSON" in str(error)
        else:
            raise AssertionError("a truncated file was accepted")
