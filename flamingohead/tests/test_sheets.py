"""Tests of planners' sheets."""

from __future__ import annotations

from pathlib import Path

import pytest

from flamingohead.core.sheets import parse_sheet

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
HEADER = (
    "kind,service,name,mode,path,methods,pool,rank,timeout_ms,idempotent,"
    "order,target_ms,worth,share\n"
)


class TestParseSheet:
    @pytest.mark.parametrize("name", ["kente-mirror.csv", "randuiala.csv"])
    def test_examples_are_valid(self, name):
        sheet = parse_sheet((EXAMPLES / name).read_text())
        assert sheet.problems == ()
        assert len(sheet.resources) == 14

    @pytest.mark.parametrize(
        ("row", "column", "found"),
        [
            ("tenant,a,,,,,,,,,,,,", "kind", "tenant"),
            ("service,a,,sometimes,,,,,,,,,,", "mode", "sometimes"),
            ("pool,a,,,,,,,,,,,,", "name", ""),
            ("rank,a,r,,,,,,,,x,5,1,0.5", "order", "x"),
            ("rank,a,r,,,,,,,,0,5,1,1.5", "share", "1.5"),
            ("rank,a,r,,,,,,,,0,5,nan,0.5", "worth", "nan"),
            ("route,a,r,,x,GET,p,k,5,yes,,,,", "path", "x"),
            ("route,a,r,,/x,FETCH,p,k,5,yes,,,,", "methods", "FETCH"),
            ("route,a,r,,/x,GET,p,k,0,yes,,,,", "timeout_ms", "0"),
            ("route,a,r,,/x,GET,p,k,5,maybe,,,,", "idempotent", "maybe"),
        ],
    )
    def test_problem_names_line_column_and_value(self, row, column, found):
        problems = parse_sheet(HEADER + row + "\n").problems
        assert [(p.line, p.column, p.found) for p in problems] == [(2, column, found)]

    def test_duplicate_resource_names_the_first_line(self):
        text = HEADER + "pool,a,p,,,,,,,,,,,\npool,a,p,,,,,,,,,,,\n"
        (problem,) = parse_sheet(text).problems
        assert "line 2" in problem.expected
