"""The part of this daemon in following the source of the configuration."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.messages import Ping
from flamingohead.core.subscription import Subscription
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec
from flamingohead.services.ticks import Ticks

if TYPE_CHECKING:
    from flamingohead.core.messages import Datagram
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD = 0.25
# What fits into a datagram beside its envelope.
MAX_RECORD_BYTES = 1000
# A route takes 60 bytes or more, so that a record of more of them can't fit.
MAX_RECORD_RESOURCES = 16


class SubscriptionService:
    """Ask the source, or rely on the daemons of the failure domain that do."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._subscription: Subscription | None = None
        self._ticks = Ticks(self._tick)
        self._needed = asyncio.Event()
        self._is_source_reached = False

    async def start(self) -> None:
        gossip = self._kernel.get("gossip")
        myself = gossip.membership.myself
        self._subscription = Subscription(
            myself.host_id, myself.failure_domain, time.monotonic()
        )
        gossip.listeners.append(self._receive)
        # Until it is needed, this daemon relies on others.
        configuration = self._kernel.get("configuration")
        configuration.set_source_follower(False)
        configuration.listeners.append(self._spread)
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

    def _spread(self) -> None:
        """Tell those who rely on this daemon what a new version changes."""
        record = self._kernel.get("configuration").replica.source_records.newest
        receivers = self._subscription.list_receivers()
        if record is None or not receivers:
            return
        self._kernel.get("metrics").count("subscription.told", len(receivers))
        self._kernel.get("gossip").send_record(_trim_record(record), receivers)

    def _receive(self, datagram: Datagram) -> None:
        now = time.monotonic()
        if datagram.store_era:
            self._kernel.get("eras").note(datagram.store_era, datagram.sender)
        is_current = datagram.follows_source
        self._subscription.receive(datagram.sender, is_current=is_current, now=now)
        if self._subscription.is_chosen and isinstance(datagram.body, Ping):
            self._tell_missed(datagram)

    def _tell_missed(self, datagram: Datagram) -> None:
        """Tell a daemon that checks on this one of the changes that it missed."""
        replica = self._kernel.get("configuration").replica
        missed = replica.source_records.list_after(datagram.version)
        if missed:
            self._kernel.get("metrics").count("subscription.repeated", len(missed))
        for record in missed:
            self._kernel.get("gossip").send_answer(_trim_record(record), datagram)

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


def _trim_record(record: VersionRecord) -> VersionRecord:
    """Leave a change out that is too large for a datagram; it is pulled then."""
    if record.change.count_resources() <= MAX_RECORD_RESOURCES:
        if codec.encode_record(record).ByteSize() <= MAX_RECORD_BYTES:
            return record
    return replace(record, change=None)
