"""Mesh whose links to the store and to the upstreams pass through proxies."""

from __future__ import annotations

import threading
import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from flamingohead.testing.hosts import HostMesh, build_document
from flamingohead.testing.processes import choose_address
from soak.organisations import KEYS, LIMITED, LIMITS, UNEVEN, Organisations
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
STRICT_BOUNDS = {"strict-revoke": True, "revoke": "5000ms"}
QUOTA_BOUNDS = {"quota-window": "5s", "quota-overage": 0.1, "quota-slack": 20}
# Upstreams of uneven runs have more slots and a queue of four requests a slot; the
# speeds are those of the hosts, in turn.
UNEVEN_SLOTS = {"ledger": 2, "archive": 6}
QUEUED_PER_SLOT = 4
SPEEDS = (0.5, 1.0, 1.5)
COLD_SECONDS = 3.0
MAX_ATTEMPTS = 4
ROUTES = {
    "/ledger/": "ledger",
    "/archive/": "archive",
    "/unsafe-ledger/": "ledger",
    "/unsafe-archive/": "archive",
    "/upload-ledger/": "ledger",
    "/upload-archive/": "archive",
}
# A body of an upload takes some tens of milliseconds: several wait for the link.
LINK_MBPS = 10


class SoakMesh(HostMesh):
    """Start hosts whose links can be made to fail, and change their configuration."""

    def __init__(
        self,
        directory: Path,
        records: Records,
        parts: frozenset[str] = frozenset(),
        seed: int = 0,
    ) -> None:
        super().__init__(directory)
        self._records = records
        self._parts = parts
        self._organisations: Organisations | None = None
        if parts & {KEYS, LIMITS}:
            self._organisations = Organisations(records, parts, seed)
        self._backed_up_keys: tuple[str, ...] = ()
        self._change_lock = threading.Lock()
        self._links_down: defaultdict[str, set[str]] = defaultdict(set)
        if LIMITS in parts:
            records.limits = {
                entry["name"]: (entry["rate-per-s"], entry["burst"])
                for entry in LIMITED
            }
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
        bounds = dict(BOUNDS)
        if KEYS in self._parts:
            bounds |= STRICT_BOUNDS
        if LIMITS in self._parts:
            bounds |= QUOTA_BOUNDS
        host = self.add_daemon(
            name,
            service,
            store=store,
            upstream=upstream,
            isolated=KEYS in self._parts,
            bounds=bounds,
            limits={"link-mbps": LINK_MBPS},
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
        slots, options = SLOTS[host.service], ()
        if UNEVEN in self._parts:
            slots = UNEVEN_SLOTS[host.service]
            speed = SPEEDS[sorted(self.hosts).index(host.name) % len(SPEEDS)]
            options = (
                *("--queue", str(QUEUED_PER_SLOT * slots), "--silent-when-full"),
                *("--speed", str(speed), "--cold-seconds", str(COLD_SECONDS)),
            )
        self.start_instance(
            host,
            f"i-{host.name}-{self._instance_counts[host.name]}",
            slots=slots,
            journal=self.get_journal(host),
            clock_offset_ms=clock_offset_ms,
            drain_seconds=DRAIN_SECONDS,
            lost_share=LOST_RESPONSE_SHARE,
            options=options,
        )

    def set_link(self, host: Host, name: str, *, is_down: bool) -> None:
        """Cut or restore a link of a daemon; the others stay as they are."""
        names = self._links_down[host.name]
        names.add(name) if is_down else names.discard(name)
        self.set_links_down(host, *sorted(names))

    def list_usable_keys(self) -> tuple[str, ...]:
        """Return the keys of the newest configuration that callers may use."""
        return () if self._organisations is None else self._organisations.usable

    def get_journal(self, host: Host) -> Path:
        """Return the file in which the upstreams of a host log executed requests."""
        return self.directory / f"journal-{host.name}.jsonl"

    def change_configuration(self, *, withdraws_key: bool = False) -> None:
        """Write the next version, with one more route that shows it is in force.

        Each may withdraw a key, and does so if ``withdraws_key`` is set.
        """
        with self._change_lock:
            self._write_next_version(withdraws_key)

    def _write_next_version(self, withdraws_key: bool) -> None:
        version = len(self._records.versions) + 1
        routes = {f"/v{n}/": "ledger" for n in range(1, version + 1)}
        changes = {}
        if self._organisations is not None:
            tenants = self._organisations.change(time.monotonic(), withdraws_key)
            changes = {"tenants": tenants, "public": routes}
        document = build_document(
            version, {**ROUTES, **routes}, max_attempts=MAX_ATTEMPTS, **changes
        )
        self._document = document
        self.write_row("op", "config", document)
        now = time.monotonic()
        self._records.versions[version] = now
        if self._organisations is not None:
            self._organisations.acknowledge(now)

    def back_up_store(self) -> None:
        """Back up the contents of the store, and note the keys among them."""
        self._backed_up_keys = tuple(
            key
            for key, history in list(self._records.keys.items())
            if history.withdrawn_at is None
        )
        super().back_up_store()

    def restore_configuration(self) -> None:
        """Write the newest version again after the store was restored without it."""
        if self._document:
            self.write_row("op", "config", self._document)
        if self._organisations is not None:
            self._organisations.rewrite(self._backed_up_keys, time.monotonic())
