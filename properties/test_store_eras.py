"""Property: clients of a restored store miss no change and overwrite none."""

from __future__ import annotations

import asyncio
import base64
import json
import random
from copy import deepcopy
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingohead.core.errors import Refusal
from flamingohead.core.following import derive_timeouts
from flamingohead.core.members import Member
from flamingohead.core.membership import Membership
from flamingohead.kernel import Kernel
from flamingohead.platform.store import HistoryUnavailable, StoreClient
from flamingohead.platform.tables import TABLE, StoreTable
from flamingohead.services.eras import EraService
from flamingohead.services.metrics import MetricsService

KEY = "hosts/h"
KEYS = [KEY, "hosts/i"]


class ModelStore:
    """Keep one table with its history, and restore it from a backup."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.era = 1

    def write(self, key, value):
        self.version += 1
        self.rows[key] = (value, self.version)
        self.history.append((self.version, key))

    def back_up(self):
        return deepcopy((self.rows, self.history, self.version))

    def restore(self, backup):
        self.rows, self.history, self.version = deepcopy(backup)
        self.era += 1

    def respond(self, request):
        """Return the status and the body of a response."""
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.endswith("rows-get"):
            return 200, self._describe(sorted(self.rows))
        if url.path.endswith("rows-feed"):
            after = int(query["after"])
            if after > self.version:
                return 410, {}
            changed = {key for version, key in self.history if version > after}
            return 200, self._describe(sorted(changed))
        body = json.loads(request.body)
        for row in body["precondition"]:
            if self.rows.get(row["key"], (None, 0))[1] != row["ver"]:
                return 412, {"rows": [], "ver": self.version}
        for row in body["set-keys"]:
            self.write(row["key"], base64.b64decode(row["value"]).decode())
        return 200, {"ver": self.version}

    def _describe(self, keys):
        rows = [
            {
                "key": key,
                "value": base64.b64encode(self.rows[key][0].encode()).decode(),
                "ver": self.rows[key][1],
            }
            for key in keys
        ]
        return {"rows": rows, "ver": self.version}


class ModelHttp:
    """Respond from the store, or with an older response that was delayed."""

    def __init__(self, store):
        self.store = store
        self.delayed_response = None

    async def send(self, address, request, sink, **options):
        response = (*self.store.respond(request), self.store.era)
        if self.delayed_response is not None and request.method == "GET":
            response, self.delayed_response = self.delayed_response, None
        status, body, era = response
        sink.start(status, [(b"store-era", str(era).encode())], None)
        sink.write(json.dumps(body).encode())
        sink.finish()


class StoreMachine(RuleBasedStateMachine):
    """Restore backups while clients read, follow and replace rows."""

    def __init__(self):
        super().__init__()
        self.store = ModelStore()
        self.backups = [self.store.back_up()]
        self.http = ModelHttp(self.store)
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        member = Member("h", "makola", "10.0.0.1:1", "relay", 1)
        membership = Membership(member, random=random.Random(1))
        kernel.add("gossip", SimpleNamespace(membership=membership))
        self.eras = EraService(kernel)
        kernel.add("eras", self.eras)
        kernel.add("http_client", self.http)
        self.client = StoreClient(kernel, "127.0.0.1:9")
        self.table = StoreTable(self.client)
        self.followed_rows = {}
        self.position = None
        self.last_read = None
        self.value_count = 0

    def create_value(self):
        # Values are unique, so that a value identifies the write that stored it.
        self.value_count += 1
        return str(self.value_count)

    @rule(key=st.sampled_from(KEYS))
    def write_row_of_another(self, key):
        self.store.write(key, self.create_value())

    @rule()
    def keep_copy(self):
        self.backups.append(self.store.back_up())

    @rule(
        backup_age=st.integers(0, 3), keys=st.lists(st.sampled_from(KEYS), max_size=4)
    )
    def come_back_from_copy(self, backup_age, keys):
        """Restore a backup and write rows before any client reads again."""
        self.store.restore(self.backups[max(0, len(self.backups) - 1 - backup_age)])
        for key in keys:
            self.write_row_of_another(key)

    @rule()
    def hear_of_era(self):
        self.eras.observe_era(self.store.era, "peer")

    @rule()
    def delay_answer(self):
        body = self.store._describe(sorted(self.store.rows))
        self.http.delayed_response = (200, body, self.store.era)

    @rule()
    def follow(self):
        """Follow like the feed, and read all rows where the history was dropped."""
        for _ in range(3):
            if self.position is None:
                page = asyncio.run(self.client.read_rows(TABLE, "hosts"))
                if not isinstance(page, Refusal):
                    self.followed_rows = {}
            else:
                page = asyncio.run(
                    self.client.follow_rows(TABLE, self.position, derive_timeouts(3.0))
                )
            if isinstance(page, HistoryUnavailable):
                self.position = None
                continue
            if isinstance(page, Refusal):
                return
            self.followed_rows.update(
                (row.key, row.value.decode()) for row in page.rows
            )
            self.position = page.version

    @rule()
    def read_row(self):
        row = asyncio.run(self.table.read(KEY))
        self.last_read = None if isinstance(row, Refusal) else row

    @rule()
    def replace_row_that_was_read(self):
        if self.last_read is None:
            return
        before = self.store.rows.get(KEY, ("", 0))[0]
        known_era = self.eras.current
        value = self.create_value().encode()
        updated = asyncio.run(self.table.update(KEY, value, self.last_read.tag))
        if updated is True:
            assert before == self.last_read.value.decode()
        elif known_era == self.store.era and updated is False:
            assert before != self.last_read.value.decode() or (
                not self.last_read.tag.startswith(f"{self.store.era}.")
            )
        self.last_read = None

    @invariant()
    def no_change_is_missed(self):
        """Check that a follower has the rows that the store had at its position."""
        if self.position is None or self.position.era != self.store.era:
            return
        changed = {k for v, k in self.store.history if v > self.position.number}
        for key, (value, _) in self.store.rows.items():
            if key not in changed:
                assert self.followed_rows.get(key) == value


StoreMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=25, deadline=None
)
TestRestoredStore = StoreMachine.TestCase
