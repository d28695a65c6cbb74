"""Tests of the command that traces a request through the logs of daemons."""

from __future__ import annotations

import json

from click.testing import CliRunner

from flamingohead.commands.explain import explain
from flamingohead.exits import ExitCode


def write_log(path, host, *entries):
    lines = [
        {"time": 10.0, "event": 100, "message": "started", "fields": {"host": host}}
    ]
    for at, event, fields in entries:
        lines.append({"time": at, "event": event, "message": "m", "fields": fields})
    path.write_text("\n".join(json.dumps(line) for line in lines) + "\nnot a line\n")
    return str(path)


class TestExplain:
    def write_logs(self, tmp_path):
        entry = write_log(
            tmp_path / "a.log",
            "h-a",
            (11.0, 200, {"version": "7"}),
            (11.5, 400, {"host": "h-b", "status": "ALIVE"}),
            (13.0, 521, {"request": "r-1", "reason": "queue_full"}),
            (13.5, 400, {"host": "h-b", "status": "DEAD"}),
            (14.0, 521, {"request": "r-2", "reason": "no_upstream"}),
        )
        owner = write_log(
            tmp_path / "b.log",
            "h-b",
            (11.0, 401, {"upstream": "i-1", "status": "READY"}),
            (12.0, 522, {"request": "r-1.3", "reason": "queue_full"}),
            (12.5, 522, {"request": "r-10", "reason": "queue_full"}),
        )
        return entry, owner

    def test_lines_of_a_request_and_its_calls_are_in_order(self, tmp_path):
        result = CliRunner().invoke(explain, ["r-1", *self.write_logs(tmp_path)])
        lines = [line for line in result.output.splitlines() if line[0] != " "]
        assert [line.split()[1:3] for line in lines] == [
            ["h-b", "E522"],
            ["h-a", "E521"],
        ]

    def test_state_known_to_the_daemon_at_that_time_is_printed(self, tmp_path):
        logs = self.write_logs(tmp_path)
        first = CliRunner().invoke(explain, ["r-1", *logs]).output
        assert "h-a believed: version 7, 1 other members seen" in first
        assert "i-1 READY here" in first
        second = CliRunner().invoke(explain, ["r-2", *logs]).output
        assert "0 other members seen, h-b DEAD" in second

    def test_unknown_request_is_reported(self, tmp_path):
        result = CliRunner().invoke(explain, ["r-9", *self.write_logs(tmp_path)])
        assert result.exit_code == ExitCode.DIFFERENT

    def test_lines_of_several_daemons_in_one_file_keep_their_host(self, tmp_path):
        path = tmp_path / "all.log"
        line = {"time": 1.0, "event": 521, "message": "m", "fields": {"request": "r"}}
        path.write_text(f"  0.1 host-a {json.dumps(line)}\n 0.2 host-b {{}}\n")
        output = CliRunner().invoke(explain, ["r", str(path)]).output
        assert "host-a E521" in output
