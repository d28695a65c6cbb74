"""Mesh whose links to the store and to the upstreams pass through proxies."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from flamingohead.testing.hosts import HostMesh, build_document
from flamingohead.testing.processes import choose_address
from soak.proxy import LinkProxy

if TYPE_CHECKING:
    from pathlib import Path

    from flamingohead.testing.hosts import Host
    from soak.records import Records

# A single slot is often taken, so that requests are turned away and return; the
# archive has one upstream and is no place to return to.
SLOTS = {"ledger": 1, "archive": 8}
# An upstream keeps serving after its leave for longer than the bound on draining, so
# that requests which reach it too late are recorded.
DRAIN_SECONDS = 2.5
# Share of the responses that are lost: the connection is closed after the execution.
LOST_RESPONSE_SHARE = 0.02
# The retry budget allows every retry, since retries are what may break a promise.
BOUNDS = {"drain": "2000ms", "grace": "6s", "budget-slack": 1_000_000}
MAX_ATTEMPTS = 4
ROUTES = {
    "/ledger/": "ledger",
    "/archive/": "archive",
    "/unsafe-ledger/": "ledger",
    "/unsafe-archive/": "archive",
}


class SoakMesh(HostMesh):
    """Start hosts whose links can be made to fail, and change their configuration."""

    def __init__(self, directory: Path, records: Records) -> None:
        super().__init__(directory)
        self._records = records
        self._instance_counts: Counter[str] = Counter()
        self._document = b""
        self.store_links: dict[str, LinkProxy] = {}
        self.upstream_links: dict[str, LinkProxy] = {}

    async def add_proxied_host(self, name: str, service: str) -> None:
        """Start a host with proxies to the store and to its upstream."""
        store, upstream, listen = (choose_address() for _ in range(3))
        self.store_links[name] = LinkProxy(store, self.store)
        self.upstream_links[name] = LinkProxy(upstream, listen)
        for links in (self.store_links, self.upstream_links):
            await links[name].start()
        host = self.add_daemon(
            name, service, store=store, upstream=upstream, bounds=BOUNDS
        )
        host.listen = listen
        self.start_next_instance(host)

    async def stop_links(self) -> None:
        """Close the proxies."""
        for links in (self.store_links, self.upstream_links):
            for proxy in links.values():
                await proxy.stop()

    def start_next_instance(self, host: Host, *, clock_offset_ms: int = 0) -> None:
        """Start a new incarnation of the upstream of a host."""
        self._instance_counts[host.name] += 1
        self.start_instance(
            host,
            f"i-{host.name}-{self._instance_counts[host.name]}",
            slots=SLOTS[host.service],
            journal=self.get_journal(host),
            clock_offset_ms=clock_offset_ms,
            drain_seconds=DRAIN_SECONDS,
            lost_share=LOST_RESPONSE_SHARE,
        )

    def get_journal(self, host: Host) -> Path:
        """Return the file in which the upstreams of a host log executed requests."""
        return self.directory / f"journal-{host.name}.jsonl"

    def change_configuration(self) -> None:
        """Write the next version, with one more route that shows it is in force."""
        version = len(self._records.versions) + 1
        routes = {f"/v{n}/": "ledger" for n in range(1, version + 1)}
        document = build_document(
            version, {**ROUTES, **routes}, max_attempts=MAX_ATTEMPTS
        )
        self._document = document
        self.write_row("op", "config", document)
        self._records.versions[version] = time.monotonic()

    def restore_configuration(self) -> None:
        """Write the newest version again after the store was restored without it."""
        if self._document:
            self.write_row("op", "config", self._document)
