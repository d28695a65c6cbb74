"""Tests of KeyService and ScopeService with a fake table and fake responses."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from types import SimpleNamespace

import pytest

from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.ledger import KeyLedger, LedgerSettings
from flamingohead.core.members import Member, MemberStatus
from flamingohead.services.keys import KeyService
from flamingohead.services.platform import Row
from flamingohead.services.scopes import ScopeService

QUEUE_FULL = Refusal(ErrorKind.QUEUE_FULL)


def run_on_own_loop(coroutine):
    """Run a coroutine; unlike asyncio.run, leave the reactor's loop in place."""
    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


class FakeTable:
    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.available = asyncio.Event()
        self.available.set()

    async def insert(self, key, value):
        await self.available.wait()
        self.writes += 1
        if key in self.rows:
            return False
        self.rows[key] = Row(key, value, f"{self.writes}")
        return True

    async def read(self, key):
        await self.available.wait()
        return self.rows.get(key)

    async def delete(self, key, *, tag=None):
        if self.rows[key].tag != tag:
            return False
        del self.rows[key]
        return True


async def ignore(*arguments):
    pass


class FakeResponse:
    def __init__(self):
        self.on_disconnect = self.on_pause = self.on_resume = None
        self.started = self.finished = False
        self.body = b""

    def start(self, status, headers, *, length):
        self.started = True

    def write(self, data):
        self.body += data

    def finish(self):
        self.finished = True

    def send(self, status, headers, body):
        self.start(status, headers, length=len(body))
        self.write(body)
        self.finish()


class FakeRun:
    """Respond while `responding` is set, and count the runs."""

    def __init__(self):
        self.count = 0
        self.responding = asyncio.Event()
        self.responding.set()

    async def __call__(self, response):
        self.count += 1
        await self.responding.wait()
        response.start(200, [], length=4)
        response.write(b"done")
        response.finish()


def build_service(table, *, claim_limit=64, key_lifetime=60.0):
    member = Member("osu-1", "osu", "127.0.0.1:1", "127.0.0.1:2", 1)
    membership = SimpleNamespace(
        local_member=member, list_usable=lambda: [], count_members=lambda: 1
    )
    counters = Counter()
    services = {
        "table": table,
        "gossip": SimpleNamespace(membership=membership),
        "outcomes": SimpleNamespace(adopted=KeyLedger(), hand_over=ignore),
        "metrics": SimpleNamespace(
            count=lambda name, amount=1: counters.update({name: amount}),
            set_gauge=lambda name, value: None,
        ),
    }
    return KeyService(
        SimpleNamespace(get=services.__getitem__),
        key_lifetime=key_lifetime,
        claim_limit=claim_limit,
        stop_timeout=1.0,
        limits=LedgerSettings(),
        random=random.Random(1),
    )


def build_call(key, attempt=0):
    deadline = time.monotonic() + 5.0
    return Call(
        "booking",
        "confirm",
        "POST",
        b"/visits",
        (),
        b"",
        deadline,
        False,
        key,
        attempt=attempt,
        call_id=f"{key}-{attempt}",
    )


class TestScopeService:
    @pytest.mark.parametrize("status", [MemberStatus.ALIVE, MemberStatus.LEFT])
    def test_leaving_daemon_issues_no_scope(self, status):
        member = Member("osu-1", "osu", "127.0.0.1:1", "127.0.0.1:2", 1, status)
        services = {
            "gossip": SimpleNamespace(membership=SimpleNamespace(local_member=member)),
            "keys": SimpleNamespace(ledger_id="1f"),
        }
        service = ScopeService(
            SimpleNamespace(get=services.__getitem__),
            lifetime=60.0,
            secret="secret",
            stop_timeout=1.0,
            limits=LedgerSettings(),
        )
        response = FakeResponse()
        refusal = service.issue_scope(response)
        if status is MemberStatus.ALIVE:
            assert refusal is None
            assert json.loads(response.body)["scope"].startswith("fhs1~osu-1~")
        else:
            assert refusal.kind is ErrorKind.DRAINING
            assert not response.started


class TestKeyService:
    def test_call_refused_by_admission_writes_no_claim(self):
        async def run():
            table, fake_run = FakeTable(), FakeRun()
            service = build_service(table)
            call = build_call("visit-1")
            refusal = await service.execute_once(
                call, FakeResponse(), fake_run, check=lambda: QUEUE_FULL
            )
            assert refusal is QUEUE_FULL
            assert (table.writes, fake_run.count, len(service.ledger)) == (0, 0, 0)

        run_on_own_loop(run())

    def test_slow_table_bounds_claims_and_delays_runs(self):
        async def run():
            table, fake_run = FakeTable(), FakeRun()
            table.available.clear()
            service = build_service(table, claim_limit=2)
            waiting = [
                asyncio.create_task(
                    service.execute_once(build_call(key), FakeResponse(), fake_run)
                )
                for key in ("visit-1", "visit-2")
            ]
            await asyncio.sleep(0)
            for attempt, ran in ((0, ExecutionStatus.UNKNOWN), (1, ExecutionStatus.NO)):
                call = build_call("visit-3", attempt)
                refusal = await service.execute_once(call, FakeResponse(), fake_run)
                assert refusal.kind is ErrorKind.CLAIM_UNAVAILABLE
                assert refusal.ran is ran
            assert fake_run.count == 0
            table.available.set()
            assert await asyncio.gather(*waiting) == [None, None]
            assert fake_run.count == 2

        run_on_own_loop(run())

    def test_response_is_kept_for_a_disconnected_caller(self):
        async def run():
            service, fake_run = build_service(FakeTable()), FakeRun()
            fake_run.responding.clear()
            disconnected = FakeResponse()
            task = asyncio.create_task(
                service.execute_once(build_call("visit-1"), disconnected, fake_run)
            )
            disconnected.on_disconnect = task.cancel
            while not fake_run.count:
                await asyncio.sleep(0)
            disconnected.on_disconnect()
            await asyncio.gather(task, return_exceptions=True)
            fake_run.responding.set()
            response = FakeResponse()
            call = build_call("visit-1", 2)
            assert await service.execute_once(call, response, fake_run) is None
            assert (response.body, fake_run.count) == (b"done", 1)

        run_on_own_loop(run())

    def test_row_is_deleted_when_its_key_expires(self):
        async def run():
            table = FakeTable()
            service = build_service(table, key_lifetime=0.5)
            await service.start()
            await service.execute_once(build_call("visit-1"), FakeResponse(), FakeRun())
            assert len(table.rows) == 1
            while table.rows:
                await asyncio.sleep(0.05)
            assert len(service.ledger) == 0
            await service.stop()

        run_on_own_loop(run())
