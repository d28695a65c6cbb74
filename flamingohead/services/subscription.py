"""The part of this daemon in following the source of the configuration."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.changes import Change
from flamingohead.core.messages import Ping
from flamingohead.core.subscription import RecordChain, Subscription
from flamingohead.core.versions import VersionRecord
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec
from flamingohead.services.ticks import Ticks

if TYPE_CHECKING:
    from flamingohead.core.messages import Datagram
    from flamingohead.core.resources import Snapshot
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD = 0.25
# What fits into a datagram beside its envelope.
MAX_RECORD_BYTES = 1000


class SubscriptionService:
    """Ask the source, or rely on the daemons of the failure domain that do."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._subscription: Subscription | None = None
        self._ticks = Ticks(self._tick)
        self._needed = asyncio.Event()
        self._is_source_reached = False
        self._records = RecordChain()

    async def start(self) -> None:
        gossip = self._kernel.get("gossip")
        myself = gossip.membership.myself
        self._subscription = Subscription(
            myself.host_id, myself.failure_domain, time.monotonic()
        )
        gossip.listeners.append(self._receive)
        # Until it is needed, this daemon relies on others.
        self._kernel.get("configuration").set_source_follower(False)
        self._ticks.start(TICK_PERIOD, now=False)

    async def stop(self) -> None:
        self._ticks.stop()

    @property
    def is_needed(self) -> bool:
        """Tell whether this daemon has to ask the source itself."""
        return self._needed.is_set()

    async def wait_until_needed(self) -> None:
        """Wait until this daemon has to ask the source itself."""
        await self._needed.wait()

    def note_source(self, *, reached: bool) -> None:
        """Note whether the source has answered the last question."""
        self._is_source_reached = reached
        self._tell_state()

    def spread(self, base: Snapshot, snapshot: Snapshot) -> None:
        """Tell those who rely on this daemon what a new version changes."""
        if not self._subscription.is_chosen or not base.version:
            return
        record = _build_record(base, snapshot)
        if codec.encode_record(record).ByteSize() > MAX_RECORD_BYTES:
            # They hear of the version, and read the source themselves.
            record = replace(record, change=None)
        self._records.add(record)
        receivers = self._subscription.list_receivers()
        if not receivers:
            return
        self._kernel.get("metrics").count("subscription.told", len(receivers))
        self._kernel.get("gossip").send_record(record, receivers)

    def _receive(self, datagram: Datagram) -> None:
        now = time.monotonic()
        is_current = datagram.follows_source
        self._subscription.receive(datagram.sender, is_current=is_current, now=now)
        if self._subscription.is_chosen and isinstance(datagram.body, Ping):
            self._tell_missed(datagram)

    def _tell_missed(self, datagram: Datagram) -> None:
        """Tell a daemon that checks on this one of the changes that it missed."""
        missed = self._records.list_after(datagram.version)
        if missed:
            self._kernel.get("metrics").count("subscription.repeated", len(missed))
        for record in missed:
            self._kernel.get("gossip").send_answer(record, datagram)

    def _tick(self) -> None:
        gossip = self._kernel.get("gossip")
        now = time.monotonic()
        if self._subscription.note_turn(time.clock_gettime(time.CLOCK_BOOTTIME)):
            # Until the source answers again, others must not rely on this daemon.
            self.note_source(reached=False)
        self._subscription.set_members(
            [gossip.membership.myself, *gossip.membership.list_alive()]
        )
        host_id = self._subscription.choose_check(now)
        if host_id is not None:
            gossip.ping(host_id)
        self._set_needed(self._subscription.is_needed(now))

    def _set_needed(self, needed: bool) -> None:
        if needed == self.is_needed:
            return
        if needed:
            self._needed.set()
        else:
            self._needed.clear()
        self._kernel.get("configuration").set_source_follower(needed)
        self._tell_state()
        log_event(
            logger,
            Event.SUBSCRIPTION_CHANGED,
            asks_source=needed,
            chosen=self._subscription.is_chosen,
        )

    def _tell_state(self) -> None:
        follows = self.is_needed and self._is_source_reached
        self._kernel.get("gossip").membership.set_follows_source(follows)


def _build_record(base: Snapshot, snapshot: Snapshot) -> VersionRecord:
    difference = snapshot.compare(base)
    removed = [r.key for r in difference.before if r.key not in snapshot.resources]
    return VersionRecord(
        version=snapshot.version,
        parent_digest=b"",
        snapshot_digest=b"",
        change_id="",
        author="",
        accepted_at=0.0,
        change=Change(difference.after, tuple(removed)),
        base_version=base.version,
    )
