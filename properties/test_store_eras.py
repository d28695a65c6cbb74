"""Rows of a store that comes back from copies, as its clients read and write them."""

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
    """Keep one table with its history; come back from a copy."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.era = 1

    def write(self, key, value):
        self.version += 1
        self.rows[key] = (value, self.version)
        self.history.append((self.version, key))

    def copy(self):
        return deepcopy((self.rows, self.history, self.version))

    def restore(self, copy):
        self.rows, self.history, self.version = deepcopy(copy)
        self.era += 1

    def answer(self, request):
        """Return the status and the body of an answer."""
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
    """Answer from the store, or give again an answer that was under way."""

    def __init__(self, store):
        self.store = store
        self.late = None

    async def send(self, address, request, sink, **options):
        answer = (*self.store.answer(request), self.store.era)
        if self.late is not None and request.method == "GET":
            answer, self.late = self.late, None
        status, body, era = answer
        sink.start(status, [(b"store-era", str(era).encode())], None)
        sink.write(json.dumps(body).encode())
        sink.finish()


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = ModelStore()
        self.copies = [self.store.copy()]
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
        self.seen = {}
        self.position = None
        self.read = None
        self.values = 0

    def name_value(self):
        # No two writes have the same value, so that a value names its write.
        self.values += 1
        return str(self.values)

    @rule(key=st.sampled_from(KEYS))
    def write_row_of_another(self, key):
        self.store.write(key, self.name_value())

    @rule()
    def keep_copy(self):
        self.copies.append(self.store.copy())

    @rule(back=st.integers(0, 3), keys=st.lists(st.sampled_from(KEYS), max_size=4))
    def come_back_from_copy(self, back, keys):
        """Lose what is newer than a copy; others write before anybody reads."""
        self.store.restore(self.copies[max(0, len(self.copies) - 1 - back)])
        for key in keys:
            self.write_row_of_another(key)

    @rule()
    def hear_of_era(self):
        self.eras.observe_era(self.store.era, "peer")

    @rule()
    def delay_answer(self):
        body = self.store._describe(sorted(self.store.rows))
        self.http.late = (200, body, self.store.era)

    @rule()
    def follow(self):
        """Follow as the feed does: read whole where the history is not there."""
        for _ in range(3):
            if self.position is None:
                page = asyncio.run(self.client.read_rows(TABLE, "hosts"))
                if not isinstance(page, Refusal):
                    self.seen = {}
            else:
                page = asyncio.run(
                    self.client.follow_rows(TABLE, self.position, wait=0.0)
                )
            if isinstance(page, HistoryUnavailable):
                self.position = None
                continue
            if isinstance(page, Refusal):
                return
            self.seen.update((row.key, row.value.decode()) for row in page.rows)
            self.position = page.version

    @rule()
    def read_row(self):
        row = asyncio.run(self.table.read(KEY))
        self.read = None if isinstance(row, Refusal) else row

    @rule()
    def replace_row_that_was_read(self):
        if self.read is None:
            return
        before = self.store.rows.get(KEY, ("", 0))[0]
        known_era = self.eras.current
        value = self.name_value().encode()
        done = asyncio.run(self.table.update(KEY, value, self.read.tag))
        if done is True:
            assert before == self.read.value.decode()
        elif known_era == self.store.era and done is False:
            assert before != self.read.value.decode() or (
                not self.read.tag.startswith(f"{self.store.era}.")
            )
        self.read = None

    @invariant()
    def no_change_is_missed(self):
        """Check that a follower holds what the store had at its position."""
        if self.position is None or self.position.era != self.store.era:
            return
        changed = {k for v, k in self.store.history if v > self.position.number}
        for key, (value, _) in self.store.rows.items():
            if key not in changed:
                assert self.seen.get(key) == value


StoreMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=25, deadline=None
)
TestStoreThatComesBack = StoreMachine.TestCase
