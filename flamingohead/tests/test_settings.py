"""Tests of the settings of a daemon."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from pydantic import ValidationError

from flamingohead.commands.daemon import daemon
from flamingohead.settings import (
    DaemonSettings,
    describe_problems,
    get_environment_name,
    get_flag,
)

VALID = {
    "host_id": "osu-1",
    "failure_domain": "osu",
    "ingress_address": "127.0.0.1:8080",
    "relay_address": "127.0.0.1:8081",
    "peer_address": "127.0.0.1:8082",
    "announce_address": "127.0.0.1:8083",
    "control_address": "127.0.0.1:8084",
    "control_token": "a-long-token",
    "table_url": "http://127.0.0.1:9000",
    "objects_url": "http://127.0.0.1:9001",
}


def collect_problems(**changes):
    with pytest.raises(ValidationError) as caught:
        DaemonSettings(**{**VALID, **changes})
    return describe_problems(caught.value)


class TestDaemonSettings:
    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("host_id", "a b"),
            ("ingress_address", "localhost:80"),
            ("relay_address", "10.0.0.300:80"),
            ("peer_address", "10.0.0.3:0"),
            ("table_url", "ftp://10.0.0.1"),
            ("seeds", "10.0.0.1:1,10.0.0.2"),
            ("log_level", "LOUD"),
            ("log_format", "xml"),
            ("stop_timeout", "0"),
            ("key_lifetime", "x"),
        ],
    )
    def test_wrong_value_is_named_with_flag_variable_and_value(self, name, value):
        (line,) = collect_problems(**{name: value})
        assert get_flag(name) in line
        assert get_environment_name(name) in line
        assert repr(value) in line

    def test_all_problems_are_reported_together(self):
        lines = collect_problems(host_id="", log_level="LOUD", stop_timeout="-1")
        assert len(lines) == 3

    def test_secret_is_not_shown(self):
        (line,) = collect_problems(control_token="short")
        assert "short" not in line.replace("shorter", "")
        assert "(hidden)" in line

    def test_one_address_for_two_purposes_is_refused(self):
        (line,) = collect_problems(relay_address="127.0.0.1:8080")
        assert "--ingress-address" in line and "--relay-address" in line


class TestPrintSettings:
    def test_shows_each_value_and_its_source(self):
        flags = []
        for name, value in VALID.items():
            if name != "host_id":
                flags += [get_flag(name), value]
        result = CliRunner().invoke(
            daemon,
            ["--print-settings", *flags],
            env={"FLAMINGOHEAD_HOST_ID": "osu-7"},
        )
        assert result.exit_code == 0, result.output
        assert "host-id = osu-7    # environment" in result.output
        assert "failure-domain = osu    # flag" in result.output
        assert "log-level = INFO    # default" in result.output
        assert "a-long-token" not in result.output

    def test_wrong_settings_exit_with_usage_code(self):
        result = CliRunner().invoke(daemon, ["--host-id", "osu-1"])
        assert result.exit_code == 2
        assert "--table-url (FLAMINGOHEAD_TABLE_URL) is missing" in result.output
