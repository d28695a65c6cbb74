"""Tests of log output and of the catalogue of events."""

from __future__ import annotations

import json
import logging
import re

from flamingohead.events import Event, log_event
from flamingohead.logs import JsonFormatter, LineFormatter, RepeatFilter
from flamingohead.testing.processes import ROOT

CATALOGUE = ROOT / "docs" / "log-catalogue.md"


def create_record(message="text", *, event=None, **fields):
    record = logging.LogRecord("tests", logging.INFO, "f", 1, message, (), None)
    if event is not None:
        record.event = event
    record.fields = fields
    return record


class TestCatalogue:
    def test_catalogue_and_code_agree(self):
        rows = re.findall(
            r"^\| E(\d+) \| (\w+) \| (.+?) \|", CATALOGUE.read_text(), re.MULTILINE
        )
        listed = {(int(number), level, message) for number, level, message in rows}
        defined = {
            (kind.number, logging.getLevelName(kind.level), kind.message)
            for kind in (event.value for event in Event)
        }
        assert listed == defined

    def test_numbers_are_used_once(self):
        numbers = [event.value.number for event in Event]
        assert len(numbers) == len(set(numbers))


class TestFormatters:
    def test_record_stays_on_one_line(self):
        text = LineFormatter("%(message)s").format(create_record("a\nb\r\nc"))
        assert text == "a\\nb\\r\\nc"

    def test_json_record_carries_event_and_fields(self, caplog):
        with caplog.at_level(logging.INFO):
            log_event(
                logging.getLogger("tests"), Event.VERSION_ACTIVATED, version="3\n"
            )
        text = JsonFormatter().format(caplog.records[-1])
        entry = json.loads(text)
        assert "\n" not in text
        assert entry["event"] == Event.VERSION_ACTIVATED.value.number
        assert entry["fields"] == {"version": "3\n"}


class TestRepeatFilter:
    def test_repeats_are_dropped_and_counted(self):
        now = 0.0
        repeats = RepeatFilter(period=10.0, shown=2, clock=lambda: now)
        shown = [repeats.filter(create_record(event=300)) for _ in range(5)]
        assert shown == [True, True, False, False, False]
        now = 10.0
        record = create_record("failed", event=300)
        assert repeats.filter(record)
        assert record.getMessage() == "failed (and 3 more like it)"

    def test_kinds_are_counted_separately(self):
        repeats = RepeatFilter(shown=1, clock=lambda: 0.0)
        assert repeats.filter(create_record(event=300))
        assert repeats.filter(create_record(event=301))
        assert not repeats.filter(create_record(event=300))
