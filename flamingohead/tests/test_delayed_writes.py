"""Tests that a write which the store performs late replaces no later one."""

from __future__ import annotations

import asyncio
import json

from flamingohead.core.eras import StoreVersion
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.platform.store import RowPage, StoredRow
from flamingohead.platform.tables import StoreTable
from flamingohead.services import departures
from flamingohead.tests.test_departures import build_service


class DelayingStore:
    """Perform the first transaction late, if its condition still holds by then."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._delayed = None

    async def read_rows(self, table, part, *, first_key, limit):
        rows = [row for key, row in self.rows.items() if key.key >= first_key]
        return RowPage(tuple(rows), StoreVersion(0, self.version))

    async def commit(self, *, values, expected=None):
        if self._delayed is None:
            self._delayed = values, expected or {}
            return Refusal(ErrorKind.PLATFORM_UNAVAILABLE)
        return self._apply(values, expected or {})

    def perform_delayed(self):
        return self._apply(*self._delayed)

    def _apply(self, values, expected):
        for key, version in expected.items():
            row = self.rows.get(key)
            if version != (None if row is None else row.version):
                return None
        self.version += 1
        version = StoreVersion(0, self.version)
        for key, value in values.items():
            self.rows[key] = StoredRow(key.key, value, version)
        return version


class TestDepartures:
    """Guard against an acknowledged departure that an earlier write replaces."""

    def build(self, monkeypatch):
        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.0)
        store = DelayingStore()
        return store, *build_service("a", table=StoreTable(store))

    def test_write_performed_late_does_not_replace_a_later_one(self, monkeypatch):
        store, kernel, service = self.build(monkeypatch)

        async def run():
            await service.start()
            assert await service.record("i-1")
            kernel.get("upstreams").get_incarnation = {"i-1": 8}.get
            assert await service.record("i-1")
            store.perform_delayed()
            await service.stop()

        asyncio.run(run())
        (row,) = store.rows.values()
        assert json.loads(row.value)["incarnation"] == 8

    def test_departure_that_was_written_late_is_not_written_again(self, monkeypatch):
        store, kernel, service = self.build(monkeypatch)
        monkeypatch.setattr(departures, "RETRY_SECONDS", 0.01)

        async def run():
            await service.start()
            recorded = asyncio.create_task(service.record("i-1"))
            while store._delayed is None:
                await asyncio.sleep(0)
            assert store.perform_delayed() is not None
            assert await recorded
            await service.stop()

        asyncio.run(run())
        assert store.version == 1
