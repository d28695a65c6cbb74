"""Test that the journals of upstreams are read."""

from __future__ import annotations

import json

from soak.records import Execution, Records


def write_journal(path, *events):
    entries = [
        {"event": event, "id": "a", "upstream": "i-1", "at": at, **details}
        for event, at, *other in events
        for details in other or [{}]
    ]
    path.write_text("".join(f"{json.dumps(entry)}\n" for entry in entries))


class TestReadJournal:
    def test_refusal_is_not_taken_for_the_leave_of_its_upstream(self, tmp_path):
        path = tmp_path / "journal.jsonl"
        write_journal(path, ("refused", 1.0), ("run", 4.0), ("left", 5.0))
        records = Records()
        records.read_journal(path)
        assert records.leave_times == {"i-1": 5.0}
        assert records.executions == [Execution("a", "i-1", 4.0)]
        assert records.refusals == {("a", "i-1")}
        assert records.list_returned() == ["a"]

    def test_organisations_and_silence_are_read(self, tmp_path):
        path = tmp_path / "journal.jsonl"
        identity = {"organisation": "o-1", "has_key": True}
        write_journal(path, ("run", 1.0, identity), ("overflow", 2.0), ("unread", 3.0))
        records = Records()
        records.read_journal(path)
        assert records.executions == [Execution("a", "i-1", 1.0, "o-1", True)]
        assert records.unanswered == {
            "silent": set(),
            "overflow": {"a"},
            "unread": {"a"},
        }
