"""Tests of the page and the command that explain where a request would go."""

from __future__ import annotations

import asyncio
import http.server
import json
import random
import threading
import time
from collections import deque
from collections.abc import Mapping
from types import SimpleNamespace
from urllib.parse import urlencode

import pytest
from click.testing import CliRunner

from flamingohead.commands.where import fetch_explanation, where
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import Member, UpstreamState, UpstreamStatus
from flamingohead.core.organisations.allocation import QuotaTolerance
from flamingohead.core.organisations.messages import QuotaShare
from flamingohead.core.placement import LoadReport, Placement
from flamingohead.core.resources import EMPTY_SNAPSHOT
from flamingohead.core.retries import SharedBudgetSettings, SharedRetryBudget
from flamingohead.core.routing import RouteTable
from flamingohead.exits import ExitCode
from flamingohead.kernel import Kernel
from flamingohead.platform.documents import decode_document
from flamingohead.services import revocation as revocation_module
from flamingohead.services.group_attempts import GroupAttemptService
from flamingohead.services.metrics import MetricsService
from flamingohead.services.metrics_page import MetricsPage
from flamingohead.services.quotas import QuotaService, read_clock
from flamingohead.services.revocation import RevocationService
from flamingohead.services.slots import SlotService
from flamingohead.testing.hosts import HOST, build_document
from flamingohead.testing.processes import choose_address

SHRINE = {"name": "shrine", "api-keys": ["key-1"], "priority": 0}
SCHOOL = {"name": "school", "api-keys": ["key-2"], "rate-per-s": 20, "burst": 5}
ROUTES = {"/a/": "ledger", "/b/": {"ledger": 3, "archive": 1}, "/c/": "missing"}


def build_routes(*tenants):
    changes = {"tenants": list(tenants)} if tenants else {}
    document = build_document(7, ROUTES, **changes)
    return RouteTable(decode_document(document))


def build_member(host, domain, service):
    upstream = UpstreamState(f"u-{host}", service, UpstreamStatus.READY, 6)
    return Member(host, domain, "peer", "relay", 1, upstreams=(upstream,), group="g")


class Daemon:
    """Serve the page of a daemon whose other services are not running.

    Its gossip can send nothing: an attempt to do so raises an error.
    """

    def __init__(self, *tenants, timeout=None):
        kernel = self.kernel = Kernel()
        self.metrics = MetricsService()
        member = build_member("h-1", "makola", "ledger")
        self.configuration = SimpleNamespace(routes=build_routes(*tenants))
        self.placement = Placement("makola", random=random.Random(3))
        budget = SharedRetryBudget(SharedBudgetSettings(0.1, 10, 10.0))
        self.attempts = GroupAttemptService(kernel, self.placement, budget)
        self.quotas = QuotaService(kernel, "h-1", QuotaTolerance(5.0, 0.1, 20))
        self.revocation = RevocationService(kernel, timeout)
        self.slots = SlotService(kernel)
        self.address = choose_address()
        kernel.add("metrics", self.metrics)
        kernel.add("configuration", self.configuration)
        membership = SimpleNamespace(local_member=member)
        kernel.add("gossip", SimpleNamespace(membership=membership))
        kernel.add("attempts", self.attempts)
        kernel.add("quotas", self.quotas)
        kernel.add("revocation", self.revocation)
        kernel.add("slots", self.slots)
        self.page = MetricsPage(kernel, self.address)
        members = [
            member,
            build_member("h-2", "makola", "ledger"),
            build_member("h-3", "osu", "ledger"),
            build_member("h-4", "osu", "archive"),
        ]
        self.placement.set_host("h-1")
        self.placement.set_members(members, time.monotonic() - 100)
        for view in self.placement._upstream_states.values():
            load = LoadReport(2, 0, 6, 80.0)
            for rank in self.configuration.routes.list_ranks(view.candidate.service):
                self.placement.record_load_report(
                    view.candidate, rank.name, load, time.monotonic()
                )

    def ask(self, *queries):
        """Return the statuses and bodies of the responses to queries over HTTP."""
        return asyncio.run(self._ask(queries))

    async def _ask(self, queries):
        await self.page.start()
        try:
            return [
                await asyncio.to_thread(fetch_explanation, self.address, query)
                for query in queries
            ]
        finally:
            await self.page.stop()

    def explain(self, path="/a/x", **query):
        ((status, body),) = self.ask({"host": HOST, "path": path, **query})
        assert status == 200, body
        return body


def freeze(value, depth=0):
    """Return the complete state of an object as text, without its kernel."""
    assert depth < 30
    if isinstance(value, random.Random):
        return repr(value.getstate())
    if isinstance(value, Kernel):
        return "kernel"
    if isinstance(value, Mapping):
        items = [(freeze(k, depth + 1), freeze(v, depth + 1)) for k, v in value.items()]
        return repr(items)
    if isinstance(value, list | tuple | deque):
        return repr([freeze(item, depth + 1) for item in value])
    names = [name for c in type(value).__mro__ for name in getattr(c, "__slots__", ())]
    state = {name: getattr(value, name) for name in names if hasattr(value, name)}
    state.update(getattr(value, "__dict__", {}))
    if type(value).__module__.startswith("flamingohead") and state:
        return type(value).__name__ + freeze(state, depth + 1)
    return repr(value)


class TestPage:
    def test_route_rank_keys_limit_and_candidates_are_explained(self):
        daemon = Daemon(SHRINE, SCHOOL)
        body = daemon.explain(organisation="shrine", deadline_ms="300")
        assert (body["version"], body["daemon"]) == (7, "h-1")
        assert body["refusal"] is None and body["limit"] is None
        assert body["route"]["name"].endswith("r0")
        assert (body["rank"]["order"], body["request"]["timeout_ms"]) == (0, 300)
        assert body["keys"]["required"] and body["keys"]["accepted"]
        (service,) = body["services"]
        assert service["service"] == "ledger" and service["overload_cache"] is None
        hosts = [candidate["host"] for candidate in service["candidates"]]
        assert sorted(hosts[:2]) == ["h-1", "h-2"] and hosts[2] == "h-3"
        assert service["candidates"][2]["cost_parts"]["remote"] > 0
        assert [c["lowest"] for c in service["candidates"]] == [True, False, False]

    def test_split_route_shows_all_services_with_their_weights(self):
        body = Daemon().explain("/b/x")
        shown = [(s["service"], s["weight"]) for s in body["services"]]
        assert shown == [("ledger", 3), ("archive", 1)]
        assert body["route"]["is_split"] and body["refusal"] is None

    def test_split_route_is_refused_only_if_all_services_refuse(self):
        daemon = Daemon()
        members = [build_member("h-2", "makola", "ledger")]
        daemon.placement.set_members(members, time.monotonic())
        body = daemon.explain("/b/x")
        refusals = [service["refusal"] for service in body["services"]]
        assert refusals[0] is None and refusals[1]["kind"] == "no_upstream"
        assert body["refusal"] is None
        daemon.placement.set_members([], time.monotonic())
        assert daemon.explain("/b/x")["refusal"]["kind"] == "no_upstream"

    @pytest.mark.parametrize(
        ("query", "status", "kind"),
        [
            ({"path": "/nowhere"}, 404, ErrorKind.NO_ROUTE),
            ({"organisation": "other"}, 401, ErrorKind.API_KEY_UNKNOWN),
            ({}, 401, ErrorKind.API_KEY_UNKNOWN),
            (
                {"path": "/c/x", "organisation": "shrine"},
                503,
                ErrorKind.NO_UPSTREAM,
            ),
            (
                {"organisation": "shrine", "deadline_ms": "0"},
                504,
                ErrorKind.DEADLINE_PASSED,
            ),
        ],
    )
    def test_refusals_have_the_status_of_the_caller(self, query, status, kind):
        daemon = Daemon(SHRINE)
        # A recent confirmation: without one, unknown keys are not denied.
        now = revocation_module.read_boot_time()
        daemon.revocation._revocation.record_response(7, now)
        refusal = daemon.explain(**query)["refusal"]
        assert (refusal["status"], refusal["kind"]) == (status, kind.value)

    def test_missing_configuration_is_explained(self):
        daemon = Daemon()
        daemon.configuration.routes = RouteTable(EMPTY_SNAPSHOT)
        refusal = daemon.explain()["refusal"]
        assert (refusal["status"], refusal["kind"]) == (503, "no_configuration")

    @pytest.mark.parametrize("organisation", ["shrine", "other"])
    def test_unconfirmed_configuration_is_explained(self, organisation):
        body = Daemon(SHRINE, timeout=5.0).explain(organisation=organisation)
        refusal = body["refusal"]
        assert (refusal["status"], refusal["kind"]) == (
            503,
            "configuration_unconfirmed",
        )
        assert not body["keys"]["accepted"]
        # The candidates are shown all the same.
        assert len(body["services"][0]["candidates"]) == 3

    def test_limit_shows_tokens_and_refuses_while_it_is_exhausted(self):
        daemon = Daemon(SCHOOL)
        daemon.quotas._apply_limits()
        daemon.quotas._candidates = ("h-2", "h-3")
        now = read_clock()
        share = QuotaShare("school", 4, 3000, 0)
        daemon.quotas._quotas.receive(share, "h-2", now, now)
        limit = daemon.explain(organisation="school")["limit"]
        assert (limit["tokens_held"], limit["decision"]) == (4, "admit")
        assert limit["allocator"] in ("h-2", "h-3")
        account = daemon.quotas._quotas._accounts["school"]
        account.lots.clear()
        account.refused_until = read_clock() + 60
        body = daemon.explain(organisation="school")
        assert body["refusal"]["status"] == 429
        assert body["limit"]["decision"] == "over_limit"

    def test_overload_cache_is_explained(self):
        daemon = Daemon()
        daemon.attempts._overload_cache._period = 60
        rank = daemon.explain()["rank"]["name"]
        refusal = Refusal(ErrorKind.QUEUE_FULL, "full")
        daemon.attempts._overload_cache.record(
            "ledger", rank, refusal, time.monotonic()
        )
        body = daemon.explain()
        assert body["refusal"]["kind"] == "queue_full"
        assert body["services"][0]["overload_cache"]["status"] == 503

    def test_keys_are_neither_accepted_nor_repeated(self, caplog):
        # A key in a query must not reach a log or a terminal.
        daemon = Daemon(SHRINE)
        responses = daemon.ask(
            {"host": HOST, "path": "/a/x", "x-api-key": "key-1"},
            {"host": HOST, "path": "/a/x?x-api-key=key-1"},
            {"host": HOST, "path": "/nowhere?x-api-key=key-1"},
        )
        assert [status for status, _ in responses] == [400, 200, 200]
        assert "key-1" not in json.dumps(responses) + caplog.text

    @pytest.mark.parametrize(
        "query", [{}, {"host": HOST}, {"host": HOST, "path": "/", "body_bytes": "-1"}]
    )
    def test_invalid_query_is_rejected(self, query):
        ((status, body),) = Daemon().ask(query)
        assert status == 400 and "error" in body


class TestSideEffects:
    def test_explanations_change_no_state_of_the_daemon(self):
        # An explanation that used a token, drew a random number or counted a request
        # would change what happens to the requests that follow.
        daemon = Daemon(SHRINE, SCHOOL, timeout=60.0)
        daemon.quotas._apply_limits()
        now = read_clock()
        daemon.quotas._quotas.receive(QuotaShare("school", 4, 60000, 0), "h", now, now)
        boot = revocation_module.read_boot_time()
        # The confirmation of an earlier version would be dropped by a real check.
        daemon.revocation._revocation.record_response(6, boot - 1)
        daemon.revocation._revocation.record_response(7, boot)
        daemon.attempts._overload_cache._period = 60
        rank = daemon.configuration.routes.match("GET", "/a/x", HOST).rank.name
        refusal = Refusal(ErrorKind.QUEUE_FULL, "full", time.monotonic() + 60)
        daemon.attempts._overload_cache.record(
            "ledger", rank, refusal, time.monotonic(), organisation="school"
        )
        services = (
            daemon.metrics,
            daemon.attempts,
            daemon.quotas,
            daemon.revocation,
            daemon.slots,
        )
        # The first start of the page registers it with the metrics.
        daemon.ask({"host": HOST, "path": "/nowhere"})
        before = [freeze(service) for service in services]
        assert "UpstreamView" in before[1] and "_Account" in before[2]
        paths = ("/a/x", "/b/x", "/c/x", "/nowhere")
        names = ("school", "shrine", "other")
        query = {"host": HOST, "deadline_ms": "900", "body_bytes": "100000"}
        responses = daemon.ask(
            *(
                {**query, "path": path, "organisation": name}
                for path in paths
                for name in names
            )
        )
        assert [status for status, _ in responses] == [200] * 12
        cached = responses[0][1]["services"][0]["overload_cache"]
        assert cached["kind"] == "queue_full"
        assert [freeze(service) for service in services] == before


class FakePage(http.server.BaseHTTPRequestHandler):
    """Answer each request with the status and the body of the server."""

    def do_GET(self):
        self.server.targets.append(self.path)
        status, body = self.server.reply
        self.send_response(status)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def fake():
    server = http.server.HTTPServer(("127.0.0.1", 0), FakePage)
    server.targets = []
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def run_command(server, *options):
    address = f"127.0.0.1:{server.server_port}"
    arguments = [address, "--host", HOST, "--path", "/a/x", *options]
    return CliRunner().invoke(where, arguments)


class TestCommand:
    def reply(self, fake, daemon, **query):
        body = daemon.explain(**query)
        fake.reply = 200, json.dumps(body).encode()
        return body

    def test_explanation_is_printed(self, fake):
        self.reply(fake, Daemon(SHRINE), organisation="shrine")
        result = run_command(fake, "--organisation", "shrine", "--deadline-ms", "300")
        assert result.exit_code == ExitCode.DONE, result.output
        query = {"host": HOST, "path": "/a/x", "method": "GET"}
        query.update(organisation="shrine", deadline_ms="300")
        assert fake.targets == [f"/placement?{urlencode(query)}"]
        for text in (
            "version 7",
            "order 0",
            "no limit",
            "* h-",
            "remote",
            "time 80 ms",
        ):
            assert text in result.output

    def test_refusal_is_printed_with_its_status(self, fake):
        self.reply(fake, Daemon(SHRINE, timeout=5.0), organisation="shrine")
        result = run_command(fake)
        assert result.exit_code == ExitCode.REFUSED
        assert "refused with 503 configuration_unconfirmed" in result.output

    def test_limit_and_split_are_printed(self, fake):
        daemon = Daemon(SCHOOL)
        daemon.quotas._apply_limits()
        self.reply(fake, daemon, path="/b/x", organisation="school")
        output = run_command(fake).output
        assert "school: 20/s, burst 5" in output and "weight 3" in output

    def test_json_is_what_the_daemon_said(self, fake):
        body = self.reply(fake, Daemon())
        assert json.loads(run_command(fake, "--json").output) == body

    @pytest.mark.parametrize(
        ("reply", "code"),
        [
            ((400, b'{"error": "path is missing"}'), ExitCode.USAGE),
            ((404, b""), ExitCode.UNREACHABLE),
            ((200, b"[]"), ExitCode.UNREACHABLE),
            ((200, b"{}"), ExitCode.UNREACHABLE),
        ],
    )
    def test_other_responses_have_their_exit_code(self, fake, reply, code):
        # A daemon of an earlier build answers 404 without a body.
        fake.reply = reply
        result = run_command(fake)
        assert result.exit_code == code and result.exception.code == code

    def test_unreachable_daemon_is_named(self):
        address = choose_address()
        arguments = [address, "--host", HOST, "--path", "/a/x"]
        result = CliRunner().invoke(where, arguments)
        assert result.exit_code == ExitCode.UNREACHABLE and address in result.output

    def test_query_of_the_path_is_not_sent(self, fake):
        # A key in a query must not reach the address, which may be another service.
        self.reply(fake, Daemon())
        run_command(fake, "--path", "/a/x?x-api-key=key-1")
        assert len(fake.targets) == 1 and "key-1" not in fake.targets[0]

    def test_there_is_no_option_for_a_key(self):
        names = {option for p in where.params for option in p.opts}
        assert not any("key" in name for name in names)
