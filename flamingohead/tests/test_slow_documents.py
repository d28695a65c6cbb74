"""Tests of documents that take long over a slow link."""

from __future__ import annotations

import asyncio
import base64
import json
from types import SimpleNamespace

from flamingohead.core.following import derive_timeouts
from flamingohead.kernel import Kernel
from flamingohead.platform.feed import ConfigurationFeed
from flamingohead.platform.store import StoreClient
from flamingohead.services.eras import EraService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.metrics import MetricsService
from flamingohead.testing.hosts import build_document
from flamingohead.testing.processes import choose_address

PARTS = 30
# Longer than any other call to the store may take.
TRANSFER_SECONDS = 3.0


class SlowStore:
    """Send the configuration row in parts, as over a link that other data fills."""

    def __init__(self, version):
        document = build_document(version, {f"/{n}/": "ledger" for n in range(50)})
        value = base64.b64encode(document).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value, "ver": 1}
        body = json.dumps({"rows": [row], "ver": 1, "now": "1ms"}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self.response = head + body
        self.requests = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        size = -(-len(self.response) // PARTS)
        for start in range(0, len(self.response), size):
            writer.write(self.response[start : start + size])
            await asyncio.sleep(TRANSFER_SECONDS / PARTS)
        writer.close()


class TestSlowDocuments:
    """Guard against reads of a large document that never end on a small host's link."""

    def run(self, read):
        async def exchange():
            store, address = SlowStore(7), choose_address()
            host, port = address.split(":")
            server = await asyncio.start_server(store.serve, host, int(port))
            kernel, applied = Kernel(), []
            kernel.add("metrics", MetricsService())
            kernel.add("http_client", HttpClientService())
            kernel.add("eras", EraService(kernel))
            kernel.add("store", StoreClient(kernel, address))
            replica = SimpleNamespace(version=0, snapshot=SimpleNamespace(version=0))
            configuration = SimpleNamespace(
                replica=replica,
                apply_document=lambda snapshot: applied.append(snapshot.version),
                record_source_read=lambda succeeded, found=True: None,
            )
            kernel.add("configuration", configuration)
            subscription = SimpleNamespace(record_source_state=lambda reached: None)
            kernel.add("subscription", subscription)
            feed = ConfigurationFeed(kernel, derive_timeouts(3.0))
            try:
                await read(feed)
            finally:
                server.close()
            return applied, store.requests

        return asyncio.run(exchange())

    def test_document_that_keeps_coming_is_taken_however_long_it_takes(self):
        applied, _ = self.run(lambda feed: feed.read())
        assert applied == [7]

    def test_missed_versions_do_not_start_further_copies(self):
        # Each version of a storm asks for the document while one is on its way.
        async def read_repeatedly(feed):
            async with asyncio.TaskGroup() as tasks:
                for _ in range(3):
                    tasks.create_task(feed.read())
                    await asyncio.sleep(TRANSFER_SECONDS / 6)

        applied, requests = self.run(read_repeatedly)
        assert (applied, requests) == ([7], 1)
