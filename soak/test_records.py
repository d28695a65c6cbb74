"""Test that the journals of upstreams are read."""

from __future__ import annotations

import json

from soak.records import Execution, Records


def write_journal(path, *events):
    entries = [
        {"event": event, "id": "a", "upstream": "i-1", "at": at} for event, at in events
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
