"""What the start of a daemon on the platform's hosts loads."""

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
# Each of these takes as long to load as a tenth of the daemon.
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
    def test_start_loads_nothing_that_a_daemon_does_without(self):
        command = [sys.executable, "-c", LIST_MODULES]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        assert result.returncode == 0, result.stderr
        assert not UNNEEDED & set(result.stdout.split())


class TestSettingsInJson:
    def test_settings_are_the_same_in_either_format(self):
        text = build_settings(HOST, "127.0.0.1:9", 7380)
        assert parse_settings(json.dumps(yaml.safe_load(text))) == parse_settings(text)

    def test_template_of_the_deployment_asks_for_all_fields_in_json(self):
        assert (ROOT / "deploy" / "settings.json").read_text().strip() == "{{.|json}}"

    def test_half_a_file_is_refused(self):
        try:
            parse_settings('{"node": "h')
        except SettingsError as error:
            assert "JSON" in str(error)
        else:
            raise AssertionError("half a file was taken")
