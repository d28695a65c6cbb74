"""Tests of the platform adapter: settings, documents, heartbeats and the store."""

from __future__ import annotations

import asyncio
import base64
import json
import logging
import random
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from flamingohead.core.bootstrap import Bootstrap, WriteRow
from flamingohead.core.dissemination import Dissemination
from flamingohead.core.eras import EraChange, StoreEras, StoreVersion
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.following import (
    MIN_RETRY_SECONDS,
    RetryBackoff,
    derive_timeouts,
)
from flamingohead.core.members import Member, UpstreamStatus
from flamingohead.core.membership import Membership
from flamingohead.core.routing import RouteTable
from flamingohead.core.upstreams import (
    FINAL_SEQUENCE,
    Announcement,
    UpstreamRegistry,
    UpstreamStage,
)
from flamingohead.core.versions import Replica
from flamingohead.kernel import Kernel
from flamingohead.platform.boot import SettingsError, parse_settings, read_settings
from flamingohead.platform.dialect import PLATFORM_DIALECT, find_parent
from flamingohead.platform.documents import DocumentReader, decode_document
from flamingohead.platform.durations import parse_milliseconds
from flamingohead.platform.endpoints import decode_heartbeat
from flamingohead.platform.feed import ConfigurationFeed
from flamingohead.platform.store import (
    HistoryUnavailable,
    RowKey,
    StoreClient,
    StoredRow,
)
from flamingohead.platform.tables import StoreTable
from flamingohead.protocol import codec
from flamingohead.services import departures
from flamingohead.services.configuration import ConfigurationService
from flamingohead.services.departures import DepartureService
from flamingohead.services.eras import EraService
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.hosts import Host, build_document, build_settings

HOST = Host(
    "h0",
    "ledger",
    *(f"127.0.0.1:{port}" for port in range(7001, 7006)),
    settings_path=None,
)
BEAT = {
    "service": "ledger",
    "address": "10.0.0.1:80",
    "zone": "makola",
    "version": "v1",
    "slots": 18,
    "state": "ready",
    "cold-remaining": "1500ms",
    "seq": 4,
    "born": 1_700_000_000_000,
}


class TestDurations:
    @pytest.mark.parametrize(
        ("text", "expected"), [("1500ms", 1500), ("2.5s", 2500), ("0ms", 0)]
    )
    def test_time_with_unit_is_parsed(self, text, expected):
        assert parse_milliseconds(text) == expected

    @pytest.mark.parametrize("text", ["1500", "ms", "-1ms", "1 s", 5, None, "1e3ms"])
    def test_other_values_are_refused(self, text):
        with pytest.raises(ValueError, match="expected a time"):
            parse_milliseconds(text)


class TestSettings:
    def test_settings_are_decoded_into_seconds_and_internal_names(self):
        settings = parse_settings(build_settings(HOST, "127.0.0.1:9", 7380))
        assert settings.announcement_period == 0.3
        assert settings.stop_timeout == 6.0
        assert settings.settle_seconds == 3.0
        assert settings.peer_address == "127.0.0.1:7380"
        assert settings.ingress_address == HOST.ingress

    @pytest.mark.parametrize(
        ("change", "name"),
        [
            ({"zone": ""}, "zone"),
            ({"heartbeat": "soon"}, "heartbeat"),
            ({"bounds": {"grace": 6}}, "bounds.grace"),
            ({"app-addr": "here"}, "app-addr"),
        ],
    )
    def test_invalid_value_is_named(self, change, name):
        with pytest.raises(SettingsError, match=name):
            parse_settings(build_settings(HOST, "127.0.0.1:9", 7380, **change))

    def test_metrics_port_is_checked(self, tmp_path, monkeypatch):
        path = tmp_path / "boot.yaml"
        path.write_text(build_settings(HOST, "127.0.0.1:9", 7380))
        assert read_settings(str(path)).metrics_address == ""
        monkeypatch.setenv("FLAMINGOHEAD_METRICS_PORT", "9464")
        assert read_settings(str(path)).metrics_address == "127.0.0.1:9464"
        monkeypatch.setenv("FLAMINGOHEAD_METRICS_PORT", "many")
        with pytest.raises(SettingsError, match="many"):
            read_settings(str(path))

    def test_text_that_is_not_yaml_is_refused(self):
        with pytest.raises(SettingsError):
            parse_settings("node: [")


class TestDocuments:
    def test_document_becomes_a_snapshot(self):
        snapshot = decode_document(build_document(7, {"/a/": "x", "/unsafe/": "x"}))
        assert snapshot.version == 7
        routes = {r.path: r for r in snapshot.list_kind("route")}
        assert routes["/a/"].idempotent and not routes["/unsafe/"].idempotent
        assert routes["/a/"].max_attempts == 2
        assert [rank.order for rank in snapshot.list_kind("rank")] == [1]

    def test_same_document_has_the_same_digest(self):
        data = build_document(7, {"/a/": "x"})
        assert decode_document(data).digest == decode_document(data).digest

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{}",
            b"\xff",
            build_document(0, {"/a/": "x"}),
            build_document(7, {"a": "x"}),
            build_document(7, {"/a/": "x"}, limits={}),
            build_document(7, {"/a/": "x"}).replace(b'"safe"', b'"odd"'),
            build_document(7, {"/a/": "x"}).replace(b'"1200ms"', b"1200"),
            build_document(7, {"/a/": "x"})[:-9],
        ],
    )
    def test_invalid_document_is_refused(self, data):
        refusal = decode_document(data)
        assert refusal.kind is ErrorKind.INVALID_CONFIGURATION and refusal.detail


class TestBeats:
    def test_beat_becomes_an_announcement(self):
        announcement = decode_heartbeat("i-1", json.dumps(BEAT).encode())
        assert announcement.number == (BEAT["born"], 4)
        assert announcement.status is UpstreamStatus.READY

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"slots": "18"},
            {"seq": 4.5},
            {"born": "x"},
            {"service": ""},
            {"cold-remaining": 3},
            # Numbers that neither datagrams nor later heartbeats can exceed.
            {"seq": 2**80},
            {"seq": 2**53 + 1},
            {"born": 2**70},
            {"born": BEAT["born"] * 2},
            {"slots": 2**40},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:-1"},
            {"address": "nowhere"},
            {"service": "s" * 201},
            {"zone": None},
        ],
    )
    def test_beat_with_an_invalid_field_is_refused(self, change):
        with pytest.raises(ValueError):
            decode_heartbeat("i-1", json.dumps({**BEAT, **change}).encode())

    @pytest.mark.parametrize("hours", [-12, 1, 12])
    def test_beat_of_an_upstream_with_a_wrong_clock_is_accepted(self, hours):
        born = round(1000 * (time.time() + 3600 * hours))
        beat = json.dumps({**BEAT, "born": born}).encode()
        assert decode_heartbeat("i-1", beat).incarnation == born

    @pytest.mark.parametrize("depth", [100, 200_000])
    def test_deeply_nested_beat_is_refused(self, depth):
        beat = json.dumps(BEAT)[:-1] + ', "slots": ' + "[" * depth + "]" * depth + "}"
        with pytest.raises(ValueError):
            decode_heartbeat("i-1", beat.encode())

    @pytest.mark.parametrize("name", ["", "i" * 201])
    def test_beat_under_an_unusable_name_is_refused(self, name):
        with pytest.raises(ValueError, match="name of"):
            decode_heartbeat(name, json.dumps(BEAT).encode())

    @pytest.mark.parametrize(
        "name",
        "service address zone version slots state cold-remaining seq".split(),
    )
    def test_beat_that_lacks_a_field_is_refused(self, name):
        beat = {key: value for key, value in BEAT.items() if key != name}
        with pytest.raises(ValueError):
            decode_heartbeat("i-1", json.dumps(beat).encode())


class TestDialect:
    def test_responses_that_state_non_execution(self):
        is_stated = PLATFORM_DIALECT.states_not_executed
        assert is_stated(421, [])
        assert is_stated(503, [(b"not-executed", b"1")])
        assert not is_stated(503, [])
        assert not is_stated(500, [])

    def test_parent_of_a_nested_call(self):
        assert find_parent("a.b") == "a"
        assert find_parent("a.b.c") == "a.b"
        assert find_parent("a") == ""


class FakeHttp:
    """Answer calls with scripted statuses and bodies or with refusals."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.options = []

    async def send(self, address, request, sink, **options):
        self.requests.append(request)
        self.options.append(options)
        answer = self.answers.pop(0)
        if isinstance(answer, Refusal):
            return answer
        status, body, *headers = answer
        sink.start(status, headers, None)
        sink.write(json.dumps(body).encode())
        sink.finish()
        return None


def build_store(*answers):
    kernel = Kernel()
    kernel.add("metrics", MetricsService())
    member = Member("h", "makola", "10.0.0.1:1", "relay", 1)
    membership = Membership(member, random=random.Random(1))
    kernel.add("gossip", SimpleNamespace(membership=membership))
    kernel.add("eras", EraService(kernel))
    kernel.add("http_client", FakeHttp(*answers))
    store = StoreClient(kernel, "127.0.0.1:9")
    kernel.add("store", store)
    kernel.add("table", StoreTable(store))
    return kernel


TIMEOUTS = derive_timeouts(3.0)
ROW = {"table": "op", "part": "", "key": "config", "value": "aGk=", "ver": 4}
KEY = RowKey("t", "p", "k")


class TestStore:
    def test_feed_returns_changes_and_the_next_version(self):
        page = {"rows": [ROW, {**ROW, "deleted": True}], "ver": 9, "now": "1ms"}
        store = build_store((200, page)).get("store")
        result = asyncio.run(store.follow_rows("op", StoreVersion(0, 3), TIMEOUTS))
        assert result.version == StoreVersion(0, 9)
        assert [row.value for row in result.rows] == [b"hi", None]

    def test_dropped_history_is_reported(self):
        store = build_store((410, {})).get("store")
        result = asyncio.run(store.follow_rows("op", StoreVersion(0, 3), TIMEOUTS))
        assert isinstance(result, HistoryUnavailable)

    def test_request_after_a_lost_response_takes_a_new_connection(self):
        page = (200, {"ver": 9})
        kernel = build_store(page, Refusal(ErrorKind.UPSTREAM_TIMEOUT), page, page)
        for _ in range(4):
            asyncio.run(kernel.get("store").read_rows("op", ""))
        options = kernel.get("http_client").options
        assert [option["fresh"] for option in options] == [False, False, True, False]

    @pytest.mark.parametrize("status", [429, 503])
    def test_refused_write_was_not_done(self, status):
        store = build_store((status, {})).get("store")
        refusal = asyncio.run(store.commit(values={KEY: b"v"}))
        assert refusal.ran is ExecutionStatus.NO

    def test_write_without_an_answer_may_have_been_done(self):
        store = build_store(Refusal(ErrorKind.UPSTREAM_CUT)).get("store")
        refusal = asyncio.run(store.commit(values={KEY: b"v"}))
        assert refusal.ran is ExecutionStatus.UNKNOWN

    def test_write_that_was_never_sent_was_not_done(self):
        store = build_store(Refusal(ErrorKind.UPSTREAM_UNREACHABLE)).get("store")
        assert asyncio.run(store.commit(values={KEY: b"v"})).ran is ExecutionStatus.NO

    def test_conflict_is_not_a_refusal(self):
        store = build_store((412, {"rows": [], "ver": 3})).get("store")
        assert (
            asyncio.run(store.commit(expected={KEY: None}, values={KEY: b"v"})) is None
        )

    @pytest.mark.parametrize(
        "body", [{}, {"rows": 3, "ver": 1}, {"rows": [{"key": 1}], "ver": 1}]
    )
    def test_malformed_page_is_refused(self, body):
        store = build_store((200, body)).get("store")
        refusal = asyncio.run(store.read_rows("op", ""))
        assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE

    def test_insert_requires_that_the_row_is_absent(self):
        kernel = build_store((200, {"ver": 5}))
        assert asyncio.run(kernel.get("table").insert("hosts/mesh/h", b"v")) is True
        body = json.loads(kernel.get("http_client").requests[0].body)
        row = {"table": "flamingohead", "part": "hosts", "key": "hosts/mesh/h"}
        assert body["precondition"] == [{**row, "ver": 0}]

    def test_scan_reads_page_after_page(self):
        rows = [{"key": f"hosts/{n:04}", "value": "", "ver": 1} for n in range(700)]
        kernel = build_store(
            (200, {"rows": rows[:500], "ver": 9, "truncated": True}),
            (200, {"rows": rows[500:], "ver": 9}),
        )
        found = asyncio.run(kernel.get("table").scan("hosts/", limit=1000))
        assert [row.key for row in found] == [row["key"] for row in rows]


def build_era_header(era):
    return b"store-era", str(era).encode()


class TestEras:
    def test_first_observed_era_is_not_a_restoration(self):
        eras = StoreEras()
        assert eras.observe_era(4) is EraChange.NONE
        assert eras.observe_era(4) is EraChange.NONE
        assert eras.observe_era(5) is EraChange.RESTORED
        assert eras.observe_era(4) is EraChange.STALE
        assert eras.current == 5

    def test_version_is_read_back_from_its_text(self):
        assert StoreVersion.parse(str(StoreVersion(3, 17))) == StoreVersion(3, 17)


class TestRestoredStore:
    """Check that versions reused for other rows after a restore are not mixed up."""

    PAGE = {"rows": [], "ver": 9}

    def follow(self, store, after):
        return asyncio.run(store.follow_rows("op", after, TIMEOUTS))

    def test_reused_version_is_not_followed(self):
        kernel = build_store(
            (200, self.PAGE, build_era_header(1)), (200, self.PAGE, build_era_header(2))
        )
        store = kernel.get("store")
        asyncio.run(store.read_rows("op", ""))
        # The response is based on another version with the same number.
        assert isinstance(self.follow(store, StoreVersion(1, 9)), HistoryUnavailable)
        # A version of an earlier era is not requested at all.
        assert isinstance(self.follow(store, StoreVersion(1, 9)), HistoryUnavailable)
        assert len(kernel.get("http_client").requests) == 2

    def test_answer_of_an_earlier_era_is_refused(self):
        kernel = build_store((200, {"rows": [ROW], "ver": 9}, build_era_header(1)))
        kernel.get("eras").observe_era(2, "peer")
        refusal = asyncio.run(kernel.get("store").read_rows("op", ""))
        assert refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE

    def test_write_acknowledged_in_an_earlier_era_is_unknown(self):
        kernel = build_store((200, {"ver": 5}, build_era_header(1)))
        kernel.get("eras").observe_era(2, "peer")
        refusal = asyncio.run(kernel.get("store").commit(values={KEY: b"v"}))
        assert refusal.ran is ExecutionStatus.UNKNOWN

    def test_tag_of_an_earlier_era_never_matches(self):
        kernel = build_store((200, {"ver": 5}, build_era_header(2)))
        kernel.get("eras").observe_era(2, "peer")
        table = kernel.get("table")
        assert asyncio.run(table.update("hosts/mesh/h", b"v", "1.4")) is False
        assert kernel.get("http_client").requests == []
        assert asyncio.run(table.update("hosts/mesh/h", b"v", "2.4")) is True

    def test_condition_met_by_a_row_of_another_era_is_unknown(self):
        kernel = build_store((200, {"ver": 5}, build_era_header(2)))
        kernel.get("eras").observe_era(1, "peer")
        refusal = asyncio.run(kernel.get("table").update("hosts/mesh/h", b"v", "1.4"))
        assert refusal.ran is ExecutionStatus.UNKNOWN

    def test_pages_of_two_eras_are_not_joined(self):
        rows = [{"key": f"hosts/{n:04}", "value": "", "ver": 1} for n in range(700)]
        kernel = build_store(
            (
                200,
                {"rows": rows[:500], "ver": 9, "truncated": True},
                build_era_header(1),
            ),
            (200, {"rows": rows[500:], "ver": 9}, build_era_header(2)),
        )
        found = asyncio.run(kernel.get("table").scan("hosts/", limit=1000))
        assert isinstance(found, Refusal)

    def test_answer_without_an_era_is_assigned_the_known_era(self):
        kernel = build_store((200, self.PAGE))
        kernel.get("eras").observe_era(2, "peer")
        page = asyncio.run(kernel.get("store").read_rows("op", ""))
        assert page.version == StoreVersion(2, 9)

    @pytest.mark.parametrize("headers", [[], [(b"store-era", b"two")]])
    def test_era_that_is_missing_or_unreadable_is_logged_once(self, headers, caplog):
        kernel = build_store(*[(200, self.PAGE, *headers)] * 2)
        kernel.get("eras").observe_era(2, "peer")
        with caplog.at_level(logging.INFO):
            for _ in range(2):
                asyncio.run(kernel.get("store").read_rows("op", ""))
        assert [r.event for r in caplog.records if r.event == 308] == [308]

    def test_era_is_sent_to_peers_and_listeners_are_notified_once(self):
        kernel, calls = build_store(), []
        eras = kernel.get("eras")
        eras.listeners.append(lambda: calls.append(eras.current))
        for era in (1, 2, 2, 1, 3):
            eras.observe_era(era, "peer")
        assert calls == [2, 3]
        membership = kernel.get("gossip").membership
        assert membership.gossip_state() == []
        ping = membership._datagrams.ping("10.0.0.2:1")
        assert codec.decode_datagram(codec.encode_datagram(ping.datagram)) == (
            ping.datagram
        )
        assert ping.datagram.store_era == 3


class TestConfigurationOfARestoredStore:
    """Replay a store that lacks the operator's writes until they are repeated."""

    def read(self, caplog, *documents):
        """Return the active snapshot after the documents, and the logged events."""
        kernel = build_store()
        dissemination = Dissemination(Replica(), random=random.Random(1))
        service = ConfigurationService(kernel, dissemination)
        service._publish_routes = lambda: None
        kernel.add("configuration", service)
        kernel.add(
            "subscription", SimpleNamespace(record_source_state=lambda reached: None)
        )
        feed = ConfigurationFeed(kernel, TIMEOUTS)
        with caplog.at_level(logging.INFO):
            for number, document in enumerate(documents):
                row = StoredRow("config", document, StoreVersion(1, number))
                feed._apply_rows((row,), 0.0)
        return service.replica.snapshot, [record.event for record in caplog.records]

    def test_older_document_changes_nothing(self, caplog):
        newer = build_document(9, {"/b/": "ledger"})
        active, events = self.read(caplog, newer, build_document(3, {"/a/": "ledger"}))
        assert active == decode_document(newer)
        assert 218 not in events

    def test_other_content_under_the_version_in_force_is_reported(self, caplog):
        first = build_document(9, {"/b/": "ledger"})
        active, events = self.read(caplog, first, build_document(9, {"/a/": "ledger"}))
        assert active == decode_document(first)
        assert events.count(218) == 1

    def test_rewritten_version_is_not_reported(self, caplog):
        document = build_document(9, {"/b/": "ledger"})
        _, events = self.read(caplog, document, document)
        assert 218 not in events and events.count(200) == 1


class TestRepeatedReads:
    """Replay lost responses while reads are also requested for missed changes."""

    def test_read_for_a_missed_change_does_not_delay_the_next_request(self):
        assert asyncio.run(self.follow()) < 2 * MIN_RETRY_SECONDS

    async def follow(self):
        """Return the seconds from a lost response to the next request of the feed."""
        loop, calls, kernel = asyncio.get_running_loop(), [], Kernel()

        async def read_rows(*arguments, **options):
            calls.append(loop.time())
            await asyncio.sleep(0.3 if len(calls) == 1 else 0.0)
            return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "no response")

        kernel.add("store", SimpleNamespace(read_rows=read_rows))
        kernel.add(
            "subscription", SimpleNamespace(record_source_state=lambda reached: None)
        )
        kernel.add(
            "configuration",
            SimpleNamespace(record_source_read=lambda succeeded: None),
        )
        feed = ConfigurationFeed(kernel, TIMEOUTS)
        feed._backoff = RetryBackoff(
            random=SimpleNamespace(uniform=lambda low, high: 0.2), max_seconds=1.0
        )
        for _ in range(5):
            feed._backoff.record_failure(requested_at=0.0, now=0.0)
        task = loop.create_task(feed._run())
        await asyncio.sleep(0.25)
        await feed.read()
        await asyncio.sleep(0.25)
        task.cancel()
        return calls[2] - (calls[0] + 0.3)


class TestLeavesInARestoredStore:
    NO_ROW = (200, {"rows": [], "ver": 4})
    DONE = (200, {"ver": 5})

    def build(self, *answers):
        kernel = build_store(*answers)
        upstreams = SimpleNamespace(incarnations={"i": 7}, announced=[])
        upstreams.get_incarnation = upstreams.incarnations.get
        upstreams.announce = upstreams.announced.append
        kernel.add("upstreams", upstreams)
        kernel.get("gossip").set_departure = lambda departure: None
        return kernel, DepartureService(kernel, "h")

    def read_written(self, kernel):
        requests = kernel.get("http_client").requests
        bodies = [json.loads(r.body) for r in requests if r.method == "POST"]
        values = [row["value"] for body in bodies for row in body["set-keys"]]
        leaves = [json.loads(base64.b64decode(value)) for value in values]
        assert all(leave.pop("recorded_at") > 0 for leave in leaves)
        return leaves

    def test_leave_is_rewritten(self, monkeypatch):
        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.0)
        kernel, recorder = self.build(
            (*self.NO_ROW, build_era_header(1)),
            (*self.DONE, build_era_header(1)),
            (*self.NO_ROW, build_era_header(2)),
            (503, {}, build_era_header(2)),
            (*self.DONE, build_era_header(2)),
        )

        async def run():
            kernel.get("eras").listeners.append(recorder._handle_store_restored)
            await recorder.record("i")
            kernel.get("eras").observe_era(2, "peer")
            await recorder._write_task

        asyncio.run(run())
        assert self.read_written(kernel) == 3 * [{"name": "i", "incarnation": 7}]

    def test_write_of_a_leave_is_retried(self, monkeypatch):
        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.0)
        kernel, recorder = self.build(self.NO_ROW, (503, {}), (503, {}), self.DONE)

        async def run():
            await recorder.record("i")
            await recorder._write_task

        asyncio.run(run())
        assert len(self.read_written(kernel)) == 3

    def test_leave_of_an_earlier_start_does_not_overwrite_a_later_one(
        self, monkeypatch
    ):
        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.0)
        kernel, recorder = self.build(self.NO_ROW, (503, {}), self.DONE)

        async def run():
            first = asyncio.create_task(recorder.record("i"))
            while len(kernel.get("http_client").requests) < 2:
                await asyncio.sleep(0)
            kernel.get("upstreams").incarnations["i"] = 8
            await recorder.record("i")
            await first

        asyncio.run(run())
        written = [leave["incarnation"] for leave in self.read_written(kernel)]
        assert written == [7, 8]

    def test_leave_is_acknowledged_only_once_it_is_kept(self, monkeypatch):
        monkeypatch.setattr(departures, "RECORD_TIMEOUT_SECONDS", 0.05)
        kernel, recorder = self.build(self.NO_ROW, (503, {}), self.DONE)

        async def run():
            assert not await recorder.record("i")
            # Another message of the same leave waits for the same write.
            await recorder._write_task
            assert await recorder.record("i")

        asyncio.run(run())
        assert len(self.read_written(kernel)) == 2


class TestHostRowsInARestoredStore:
    def test_row_is_rewritten_at_once_by_hosts_that_had_one(self):
        bootstrap = Bootstrap("h", "p", (), random=random.Random(1))
        assert bootstrap.handle_store_restored() == []
        bootstrap.has_row = True
        assert bootstrap.handle_store_restored() == [WriteRow()]


class TestLeaves:
    BEAT = Announcement("i-1", "s", "a:1", 4, UpstreamStatus.READY, 1000, 7)

    def test_leave_of_an_unknown_upstream_overrides_late_messages(self):
        registry = UpstreamRegistry()
        registry.end_upstream("i-1", 0.0, incarnation=2000)
        assert registry.announce(self.BEAT, 0.1) == []
        assert registry.get_stage("i-1") is UpstreamStage.GONE

    def test_leave_of_a_probed_upstream_overrides_late_messages(self):
        registry = UpstreamRegistry()
        registry.announce(replace(self.BEAT, incarnation=0, sequence=0), 0.0)
        registry.end_upstream("i-1", 0.1, incarnation=2000)
        assert registry.announce(self.BEAT, 0.2) == []

    def test_later_start_under_the_same_name_is_accepted(self):
        registry = UpstreamRegistry()
        registry.end_upstream("i-1", 0.0, incarnation=2000)
        registry.announce(replace(self.BEAT, incarnation=3000), 0.1)
        assert registry.get_stage("i-1") is UpstreamStage.READY

    def test_leaves_known_by_name_alone_do_not_supersede_each_other(self):
        registry = UpstreamRegistry()
        registry.end_upstream("i-2", 0.0, incarnation=2000)
        leave = replace(
            self.BEAT, address="", status=UpstreamStatus.GONE, sequence=FINAL_SEQUENCE
        )
        registry.announce(leave, 0.1)
        assert registry.announce(self.BEAT, 0.2) == []
        assert registry.get_stage("i-1") is UpstreamStage.GONE

    def test_upstream_after_one_with_a_wrong_clock_is_used(self):
        # Guards against a server that stays unused because its predecessor, which has
        # left, had a clock that was an hour ahead.
        registry = UpstreamRegistry()
        ahead = replace(self.BEAT, incarnation=3_600_000)
        registry.announce(ahead, 0.0)
        registry.end_upstream("i-1", 0.1, incarnation=2000)
        registry.announce(replace(self.BEAT, name="i-2", incarnation=3000), 0.2)
        assert registry.get_stage("i-2") is UpstreamStage.READY
        assert registry.announce(replace(ahead, sequence=8), 0.3) == []
        assert registry.get_stage("i-1") is UpstreamStage.GONE

    def test_late_leave_does_not_end_a_later_upstream_at_its_address(self):
        # Guards against a server that stays unused because its predecessor's leave
        # arrives late, with the time of its arrival.
        registry = UpstreamRegistry()
        later = replace(self.BEAT, name="i-2", incarnation=2000)
        registry.announce(self.BEAT, 0.0)
        registry.announce(later, 0.1)
        registry.end_upstream("i-1", 0.2, incarnation=3000)
        # Heartbeats over two lifetimes, in steps that are no pause of the process.
        for step in range(1, 21):
            beat = replace(later, sequence=later.sequence + step)
            registry.announce(beat, 0.2 + 0.2 * step)
            registry.tick(0.2 + 0.2 * step)
        assert registry.get_stage("i-2") is UpstreamStage.READY
        assert registry.announce(replace(self.BEAT, sequence=9), 4.3) == []
        assert registry.get_stage("i-1") is UpstreamStage.GONE


class TestSuccessiveDocuments:
    """Replay frequent changes of a configuration with many routes."""

    def read(self, reader, version, prefixes):
        routes = {prefix: "x" for prefix in prefixes}
        return reader.read(build_document(version, routes))

    def test_change_builds_only_changed_resources(self):
        reader = DocumentReader()
        prefixes = [f"/r{number}/" for number in range(300)]
        before = self.read(reader, 1, prefixes)
        after = self.read(reader, 2, [*prefixes[:-1], "/new/"])
        rebuilt = [
            resource
            for key, resource in after.resources.items()
            if key.kind != "rank" and before.resources.get(key) is not resource
        ]
        assert [route.path for route in rebuilt] == ["/new/"]
        assert after.compare(before).after == tuple(rebuilt)
        assert after.digest == self.read(DocumentReader(), 2, list_paths(after)).digest

    def test_next_table_keeps_the_unchanged_routes(self):
        reader = DocumentReader()
        prefixes = [f"/r{number}/" for number in range(300)]
        table = RouteTable(self.read(reader, 1, prefixes))
        match = table.match("GET", "/r7/x", "ledger.example")
        table = table.build_next(self.read(reader, 2, prefixes[:-1]))
        assert table.match("GET", "/r7/x", "ledger.example") is match
        assert isinstance(table.match("GET", "/r299/x", "ledger.example"), Refusal)

    def test_document_that_is_refused_changes_nothing(self):
        reader = DocumentReader()
        before = self.read(reader, 1, ["/a/"])
        assert isinstance(reader.read(b"{}"), Refusal)
        after = self.read(reader, 2, ["/a/", "/b/"])
        unchanged = [key for key in before.resources if key.kind != "rank"]
        assert all(after.resources[k] is before.resources[k] for k in unchanged)

    def test_problem_names_its_location_and_value(self):
        data = build_document(7, {"/a/": "x"}).replace(b'"1200ms"', b'"soon"')
        refusal = DocumentReader().read(data)
        assert "found 'soon'" in refusal.detail
        assert "listeners[0].route-rules[0]" in refusal.detail


def list_paths(snapshot):
    return [route.path for route in snapshot.list_kind("route")]
