"""Process tests of the operators' commands."""

from __future__ import annotations

import http.client
import json
import re
import time

import pytest

from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh, run_command

SHEET = ROOT / "examples" / "kente-mirror.csv"
WAIT_SECONDS = 20.0


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("commands")) as mesh:
        mesh.start_platform()
        for number in range(2):
            mesh.start_daemon(f"tema-{number}", "tema")
        for host_id in mesh.daemons:
            mesh.start_upstream(f"ledger-{host_id}", "stall-ledger", host_id)
        mesh.wait_until_listening()
        yield mesh


def wait_for_output(mesh, text, *arguments):
    deadline = time.monotonic() + WAIT_SECONDS
    while True:
        result = run_command(mesh, *arguments)
        if text in result.stdout or time.monotonic() > deadline:
            return result
        time.sleep(0.1)


class TestChangeCommands:
    def test_dry_run_shows_differences_and_changes_nothing(self, mesh):
        result = run_command(mesh, "apply", str(SHEET), "--dry-run")
        assert result.returncode == 0, result.stderr
        assert "added service stall-ledger/stall-ledger" in result.stdout
        assert "14 differences" in result.stdout
        assert '"version": 0' in run_command(mesh, "status", "--json").stdout

    def test_invalid_sheet_is_refused_with_line_and_column(self, mesh, tmp_path):
        sheet = tmp_path / "bad.csv"
        text = SHEET.read_text()
        sheet.write_text(text.replace("GET HEAD,stall-ledger-workers", "GET HEAD,none"))
        result = run_command(mesh, "apply", str(sheet))
        assert result.returncode == 3
        assert "line 6, column 7 (pool): found 'none'" in result.stderr
        assert '"version": 0' in run_command(mesh, "status", "--json").stdout

    def test_apply_diff_revert_history_and_show(self, mesh, tmp_path):
        assert run_command(mesh, "apply", str(SHEET), "--wait").returncode == 0
        sheet = tmp_path / "second.csv"
        sheet.write_text(SHEET.read_text().replace("0,60,10,0.4", "0,80,10,0.4"))
        second = run_command(mesh, "apply", str(sheet), "--wait", "--base", "1")
        assert "accepted as version 2" in second.stdout, second.stderr
        stale = run_command(mesh, "apply", str(SHEET), "--base", "1")
        assert stale.returncode == 3
        assert "version 2 was taken by" in stale.stderr
        diff = run_command(mesh, "diff", "1", "2")
        assert diff.returncode == 7
        changed = "changed rank stall-ledger/lookup target_ms: 60 -> 80"
        assert diff.stdout.strip() == changed
        assert run_command(mesh, "revert", "1", "--wait").returncode == 0
        assert run_command(mesh, "diff", "1", "3").returncode == 0
        history = json.loads(run_command(mesh, "history", "--json").stdout)
        assert [row["version"] for row in history] == [3, 2, 1]
        assert "target_ms=60" in run_command(mesh, "show", "3").stdout
        assert run_command(mesh, "show", "4").returncode == 3

    def test_repeated_change_id_returns_the_same_version(self, mesh, tmp_path):
        newest = json.loads(run_command(mesh, "status", "--json").stdout)["version"]
        sheet = tmp_path / "third.csv"
        sheet.write_text(SHEET.read_text().replace("0,60,10,0.4", "0,70,10,0.4"))
        options = ["--change-id", "asked-twice", "--base", str(newest)]
        first = run_command(mesh, "apply", str(sheet), *options)
        repeated = run_command(mesh, "apply", str(sheet), *options)
        assert first.stdout == repeated.stdout == f"accepted as version {newest + 1}\n"

    def test_revert_to_the_current_version_creates_no_version(self, mesh):
        before = json.loads(run_command(mesh, "status", "--json").stdout)["version"]
        result = run_command(mesh, "revert", str(before), "--wait")
        assert result.returncode == 0, result.stderr
        assert f"nothing to change: version {before} holds it" in result.stdout
        after = json.loads(run_command(mesh, "status", "--json").stdout)["version"]
        assert after == before


class TestStateCommands:
    def test_drain_is_visible_on_the_other_daemon_and_can_be_undone(self, mesh):
        name = "ledger-tema-1"
        ready = wait_for_output(mesh, name, "status")
        assert re.search(rf"{name} +stall-ledger +ready +20 +0%", ready.stdout)
        assert run_command(mesh, "drain", name).returncode == 0
        assert "draining" in wait_for_output(mesh, "draining", "status").stdout
        assert run_command(mesh, "undrain", name).returncode == 0
        assert run_command(mesh, "drain", "unknown").returncode == 3

    def test_comparison_with_the_old_scripts_lists_each_difference(
        self, mesh, tmp_path
    ):
        path = tmp_path / "old.json"
        path.write_text(json.dumps({"routes": [], "upstreams": ["ledger-gone"]}))
        result = run_command(mesh, "compare", "stall-ledger", str(path))
        assert result.returncode == 7, result.stderr
        assert "upstream ledger-gone: here absent, old scripts ready" in result.stdout
        assert "route GET /ledger/lookup" in result.stdout
        assert "observed: stall-ledger" in run_command(mesh, "status").stdout
        path.write_text("{")
        assert run_command(mesh, "compare", "stall-ledger", str(path)).returncode == 2

    def test_wrong_token_is_refused(self, mesh):
        result = run_command(mesh, "status", token="not-the-token")
        assert result.returncode == 3
        assert "unauthorized" in result.stderr

    def test_unreachable_daemon_is_named(self, mesh):
        result = run_command(mesh, "status", control="127.0.0.1:9")
        assert result.returncode == 6
        assert "127.0.0.1:9" in result.stderr


class TestTableOutage:
    def test_status_is_incomplete_while_the_table_is_unavailable(self, mesh):
        assert run_command(mesh, "status").returncode == 0
        mesh.set_platform_faults(mesh.table_address, outage=True)
        try:
            result = run_command(mesh, "status")
        finally:
            mesh.set_platform_faults(mesh.table_address)
        assert result.returncode == 5
        assert "can't be listed" in result.stdout
        assert run_command(mesh, "status").returncode == 0


class TestBodyLimit:
    def test_oversized_body_is_refused_before_it_is_read(self, mesh):
        address = mesh.daemons["tema-0"].addresses.control
        connection = http.client.HTTPConnection(address, timeout=10)
        connection.putrequest("POST", "/v1/changes")
        connection.putheader("Authorization", f"Bearer {TOKEN}")
        connection.putheader("Content-Length", str(10**9))
        connection.endheaders()
        assert connection.getresponse().status == 413
        connection.close()
