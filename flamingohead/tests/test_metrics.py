"""Tests that hold the documented metric names to the code."""

from __future__ import annotations

import ast
import re

from flamingohead.testing.processes import ROOT

METHODS = ("count", "set_gauge", "record_time")
CATALOGUE = ROOT / "docs" / "metrics.md"


def read_pattern(node):
    """Return a metric name with ``*`` for each computed part."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else "*"
            for part in node.values
        ]
        return "".join(parts)
    return None


def find_metric_names():
    names = set()
    for path in (ROOT / "flamingohead" / "services").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "attr", None) in METHODS:
                name = read_pattern(node.args[0])
                if name is not None:
                    names.add(name)
    return names


class TestMetricNames:
    def test_catalogue_and_code_agree(self):
        listed = set(re.findall(r"^\| `([^`]+)`", CATALOGUE.read_text(), re.MULTILINE))
        assert listed == find_metric_names()
