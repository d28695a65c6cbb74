"""Tests that the operators' pages agree with the code."""

from __future__ import annotations

import re

from flamingohead.commands import changes, daemon, explain, state, versions, where
from flamingohead.exits import ExitCode
from flamingohead.settings import DaemonSettings, get_environment_name, get_flag
from flamingohead.testing.processes import ROOT

DOCS = ROOT / "docs"
MODULES = (changes, daemon, explain, state, versions, where)


class TestCommandsPage:
    def test_listed_commands_match_the_code(self):
        text = (DOCS / "commands.md").read_text()
        listed = set(re.findall(r"^\| `([a-z]+)[ `]", text, re.MULTILINE))
        defined = {command.name for module in MODULES for command in module.COMMANDS}
        assert listed == defined

    def test_every_command_has_help_with_an_example(self):
        for module in MODULES:
            for command in module.COMMANDS:
                assert f"Example: flamingohead {command.name}" in command.help

    def test_exit_codes_match_the_code(self):
        text = (DOCS / "commands.md").read_text()
        rows = re.findall(r"^\| (\d+) \| (\w+) \|", text, re.MULTILINE)
        assert rows == [(str(code.value), code.name) for code in ExitCode]


class TestSettingsPage:
    def test_settings_match_the_code(self):
        text = (DOCS / "settings.md").read_text()
        rows = re.findall(r"^\| `([^`]+)` \| `([^`]+)` \| (.+?) \|", text, re.MULTILINE)
        assert rows == [
            (get_flag(name), get_environment_name(name), self.describe_default(field))
            for name, field in DaemonSettings.model_fields.items()
        ]

    def describe_default(self, field):
        if field.is_required():
            return "required"
        return f"`{field.default}`" if field.default != "" else "empty"


class TestLinks:
    def test_link_targets_exist(self):
        pages = [ROOT / "README.md", *DOCS.rglob("*.md")]
        for page in pages:
            for target in re.findall(r"\]\(([^)#:]+)[)#]", page.read_text()):
                assert (page.parent / target).exists(), f"{page.name}: {target}"


class TestEmbeddingPage:
    def test_example_runs(self, capsys, monkeypatch):
        monkeypatch.chdir(ROOT)
        lines = (DOCS / "embedding.md").read_text().splitlines()
        code = "\n".join(line[4:] for line in lines if line.startswith("    "))
        exec(compile(code, "embedding.md", "exec"), {})
        assert capsys.readouterr().out == "in force: 1\n"
