"""Tests of the command that checks configuration documents."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from flamingohead.commands.changes import check
from flamingohead.exits import ExitCode
from flamingohead.testing.hosts import build_document

DOCUMENT = build_document(7, {"/ledger/": "ledger", "/unsafe/": "ledger"})


@pytest.fixture
def run_check(tmp_path):
    def run(document):
        path = tmp_path / "configuration.json"
        path.write_bytes(document)
        return CliRunner().invoke(check, [str(path)])

    return run


class TestCheckDocument:
    def test_valid_document_passes(self, run_check):
        result = run_check(DOCUMENT)
        assert result.exit_code == 0
        assert "no problem" in result.output

    @pytest.mark.parametrize(
        "before, after, named",
        [
            (b'"safe"', b'"odd"', "kind"),
            (b'"version": 7', b'"version": "x"', "version"),
            (b'"max-attempts": 2', b'"max-attempts": 0', "max-attempts"),
        ],
    )
    def test_invalid_field_is_named(self, run_check, before, after, named):
        result = run_check(DOCUMENT.replace(before, after))
        assert result.exit_code == ExitCode.REFUSED
        assert named in result.output

    def test_truncated_document_is_refused(self, run_check):
        assert run_check(DOCUMENT[:100]).exit_code == ExitCode.REFUSED
