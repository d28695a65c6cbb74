"""Tests of load reports between daemons and of the pace that upstreams report."""

from __future__ import annotations

import pytest

from flamingohead.core.capacity.service_times import ServiceTime
from flamingohead.core.placement import LoadReport
from flamingohead.platform.dialect import PLATFORM_DIALECT, read_pace
from flamingohead.services.dialects import PRODUCT_DIALECT
from flamingohead.services.http_messages import find_header
from flamingohead.services.relay import (
    RELAY_LOAD,
    REPORT_HEADERS,
    build_load_headers,
    read_load,
)

TIMES = ServiceTime(0.15, 0.1, 1.5)


class TestLoadReports:
    def test_report_is_read_as_it_was_sent(self):
        report = LoadReport(3, 1, 6, 42.5, TIMES)
        assert read_load(build_load_headers(report)) == report

    def test_earlier_build_reads_its_four_figures(self):
        # It reads the first line, splits it in four, and removes all lines by name.
        headers = build_load_headers(LoadReport(3, 1, 6, 42.5, TIMES))
        assert find_header(headers, RELAY_LOAD) == b"3,1,6,42.5"
        assert all(name in REPORT_HEADERS for name, _ in headers)

    def test_report_of_an_earlier_build_is_read(self):
        report = read_load([(RELAY_LOAD, b"3,1,6,")])
        assert report == LoadReport(3, 1, 6)

    @pytest.mark.parametrize(
        "value", [b"times=", b"times=1,2", b"times=a,b,c", b"times=nan,1,1", b"more"]
    )
    def test_malformed_service_times_do_not_hide_the_load(self, value):
        headers = [(RELAY_LOAD, b"3,1,6,42.5"), (RELAY_LOAD, value)]
        assert read_load(headers) == LoadReport(3, 1, 6, 42.5)

    @pytest.mark.parametrize("value", [b"", b"1,2", b"1,2,3,inf", b"1,2,3,-1"])
    def test_malformed_load_is_ignored(self, value):
        assert read_load([(RELAY_LOAD, value)]) is None


class TestPace:
    @pytest.mark.parametrize(
        ("value", "pace"),
        [
            (b"3,0,6,250", 2.5),
            (b"3, 0, 6, 100", 1.0),
            (b"3,0,6", None),
            (b"3,0,6,0", None),
            (b"3,0,6,x", None),
            (b"3,0,6,9999999", None),
        ],
    )
    def test_fourth_figure_is_the_pace(self, value, pace):
        assert read_pace([(b"instance-load", value)]) == pace

    def test_pace_is_read_in_platform_terms_only(self):
        headers = [(b"instance-load", b"3,0,6,250")]
        assert PLATFORM_DIALECT.read_pace(headers) == 2.5
        assert PRODUCT_DIALECT.read_pace(headers) is None
