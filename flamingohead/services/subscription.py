"""Subscription to configuration changes: requests to the source, or pushes of peers."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.messages import Ping
from flamingohead.core.subscription import COVERAGE_TIMEOUT_SECONDS, Subscription
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec, peers_pb2 as pb
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.members import Member
    from flamingohead.core.messages import Datagram
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD_SECONDS = 0.25
# Size of a record that fits into a datagram beside the envelope.
MAX_RECORD_BYTES = 1000
# A route takes at least 60 bytes, so a record with more resources can't fit into a
# datagram and need not be encoded to find that out.
MAX_RECORD_RESOURCES = 16


class SubscriptionService:
    """Request changes from the source, or rely on subscribers of the failure domain."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._subscription: Subscription | None = None
        self._ticks = PeriodicTimer(self._tick)
        self._call: asyncio.Task | None = None
        self._source_needed = asyncio.Event()
        self._is_source_reachable = False
        self.polls_often = True
        # Called when an open request to the source may have been lost without notice.
        self.listeners: list[Callable[[], None]] = []

    async def start(self) -> None:
        gossip = self._kernel.get("gossip")
        local_member = gossip.membership.local_member
        self._subscription = Subscription(
            local_member.host_id, local_member.failure_domain, time.monotonic()
        )
        gossip.listeners.append(self._handle_datagram)
        # A daemon relies on the subscribers until its own requests are needed.
        configuration = self._kernel.get("configuration")
        configuration.set_source_follower(False)
        configuration.listeners.append(self._push_newest_record)
        configuration.list_pull_sources = self._list_pull_sources
        self._ticks.start(TICK_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self._ticks.stop()
        if self._call is not None:
            self._call.cancel()

    @property
    def needs_source(self) -> bool:
        """Return whether this daemon has to request from the source itself."""
        return self._source_needed.is_set()

    async def wait_until_source_needed(self) -> None:
        """Wait until this daemon has to request from the source itself."""
        await self._source_needed.wait()

    def record_source_state(self, *, reached: bool) -> None:
        """Record whether the source responded to the last request."""
        self._is_source_reachable = reached
        self._publish_source_state()

    def _list_pull_sources(self) -> list[str]:
        members = self._subscription.list_other_subscribers()
        return [member.peer_address for member in members]

    def _push_newest_record(self) -> None:
        """Send the newest change to the members that rely on this daemon."""
        record = self._kernel.get("configuration").replica.source_records.newest
        receivers = self._subscription.list_receivers()
        if record is None or not receivers:
            return
        self._kernel.get("metrics").count("subscription.told", len(receivers))
        self._kernel.get("gossip").send_record(_trim_record(record), receivers)

    def _handle_datagram(self, datagram: Datagram) -> None:
        now = time.monotonic()
        if datagram.store_era:
            self._kernel.get("eras").observe_era(datagram.store_era, datagram.sender)
        is_current = datagram.follows_source
        self._subscription.record_heartbeat(
            datagram.sender, is_current=is_current, now=now
        )
        if self._subscription.is_subscriber and isinstance(datagram.body, Ping):
            self._resend_missed_records(datagram)

    def _resend_missed_records(self, datagram: Datagram) -> None:
        """Resend the records after the version of a member that pinged this one."""
        replica = self._kernel.get("configuration").replica
        missed = replica.source_records.list_after(datagram.version)
        if missed:
            self._kernel.get("metrics").count("subscription.repeated", len(missed))
        for record in missed:
            self._kernel.get("gossip").reply_with_record(_trim_record(record), datagram)

    def _tick(self) -> None:
        gossip = self._kernel.get("gossip")
        now = time.monotonic()
        if self._subscription.detect_pause(time.clock_gettime(time.CLOCK_BOOTTIME)):
            # The process was suspended and its connections may be lost. Other daemons
            # must not rely on this one until the source has responded again.
            self.record_source_state(reached=False)
            self._report_possible_loss()
        self._subscription.set_members(
            [gossip.membership.local_member, *gossip.membership.list_usable()]
        )
        host_id = self._subscription.choose_check_target(now)
        if host_id is not None:
            gossip.ping(host_id)
        self._call_if_unanswered(now)
        self._set_source_needed(self._subscription.needs_source(now))
        self._set_polls_often(self._subscription.polls_often(now))

    def _call_if_unanswered(self, now: float) -> None:
        """Call a subscriber if the datagrams between it and this daemon may be lost."""
        if self._call is not None and not self._call.done():
            return
        member = self._subscription.choose_called_subscriber(now)
        if member is not None:
            loop = asyncio.get_running_loop()
            self._call = loop.create_task(self._call_subscriber(member))

    async def _call_subscriber(self, member: Member) -> None:
        self._kernel.get("metrics").count("subscription.called")
        reply = await self._kernel.get("peers").call(
            member.peer_address,
            "FetchStatus",
            pb.StatusRequest(),
            timeout=COVERAGE_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Refusal):
            return
        self._subscription.record_heartbeat(
            member.host_id, is_current=reply.follows_source, now=time.monotonic()
        )
        configuration = self._kernel.get("configuration")
        configuration.receive_peer_version(member.peer_address, reply.version)

    def _set_polls_often(self, often: bool) -> None:
        if often == self.polls_often:
            return
        self.polls_often = often
        if often:
            self._report_possible_loss()

    def _report_possible_loss(self) -> None:
        for listener in self.listeners:
            listener()

    def _set_source_needed(self, needed: bool) -> None:
        if needed == self.needs_source:
            return
        if needed:
            self._source_needed.set()
        else:
            self._source_needed.clear()
        self._kernel.get("configuration").set_source_follower(needed)
        self._publish_source_state()
        log_event(
            logger,
            Event.SUBSCRIPTION_CHANGED,
            asks_source=needed,
            chosen=self._subscription.is_subscriber,
            confirmed_by=self._subscription.confirmed_by,
        )

    def _publish_source_state(self) -> None:
        is_follower = self.needs_source and self._is_source_reachable
        self._kernel.get("gossip").membership.set_follows_source(is_follower)


def _trim_record(record: VersionRecord) -> VersionRecord:
    """Omit a change that is too large for a datagram, so that receivers pull it."""
    if record.change.count_resources() <= MAX_RECORD_RESOURCES:
        if codec.encode_record(record).ByteSize() <= MAX_RECORD_BYTES:
            return record
    return replace(record, change=None)
