"""Datagrams between daemons: membership and records of new versions."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.protocol import DatagramProtocol

from flamingohead.addresses import split_address
from flamingohead.core.membership import Membership, SendDatagram
from flamingohead.core.messages import Ack, Body, Ping, RecordPush
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec
from flamingohead.services.ticks import PeriodicTimer
from flamingohead.services.transport import AsyncioDatagramTransport, listen_datagrams

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingohead.core.members import Departure, Member, UpstreamStatus
    from flamingohead.core.messages import Datagram
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD_SECONDS = 0.1
PUBLISH_PERIOD_SECONDS = 0.25
PING_BATCH_SIZE = 50
POLL_INTERVAL_SECONDS = 0.03


class GossipService(DatagramProtocol):
    """Run the membership protocol and exchange its datagrams over UDP."""

    def __init__(self, kernel: Kernel, membership: Membership, address: str) -> None:
        self.membership = membership
        self._kernel = kernel
        self._address = address
        self._port: AsyncioDatagramTransport | None = None
        self._has_left = False
        self._members_changed = False
        self._next_publish_at = 0.0
        self._ticks = PeriodicTimer(self._tick)
        # Called with each datagram from a member of the gossip group.
        self.listeners: list[Callable[[Datagram], None]] = []
        # Called with the sequence number of each ping that is sent.
        self.ping_listeners: list[Callable[[int], None]] = []
        # Returns ``confirmation_age_ms`` for an acknowledgement that has a version.
        self.get_confirmation_age_ms: Callable[[int], int] = lambda version: 0
        # Called when another member returns a departure from this host.
        self.departure_listeners: list[Callable[[Departure], None]] = []
        self._known_departure: Departure | None = None
        self.has_joined = False

    async def start(self) -> None:
        host, port = split_address(self._address)
        self._port = await listen_datagrams(self, host, port)
        self._ticks.start(TICK_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self.leave()
        self._ticks.stop()
        self._port.close()

    def leave(self) -> None:
        """Notify the other members, once, that this daemon leaves."""
        if not self._has_left:
            self._has_left = True
            self._run(self.membership.leave())

    def merge(self, members) -> None:
        """Merge member states that were received in a call."""
        self._run(self.membership.merge(members, time.monotonic()))

    def merge_peer_state(self, members) -> int:
        """Merge the membership state of a peer; return the number of changes."""
        effects = self.membership.merge_join_state(members, time.monotonic())
        self.has_joined = True
        self._run(effects)
        self._publish_members()
        return len(effects)

    async def poll_versions(self, deadline: float) -> dict[str, int]:
        """Ping every member and return the versions received until ``deadline``.

        Pings are sent in batches over the first half of the time. Members that have not
        responded by then are pinged again before 80 % of the time has passed.
        """
        poll_started_at = time.monotonic()
        for fraction in (0.5, 0.8):
            until = poll_started_at + fraction * (deadline - poll_started_at)
            await self._ping_members(self._list_unanswered(poll_started_at), until)
        while self._list_unanswered(poll_started_at) and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return {
            host_id: reported.version
            for host_id, reported in self.membership.observed_versions.items()
            if reported.observed_at >= poll_started_at
        }

    def _list_unanswered(self, since: float) -> list[str]:
        reported = self.membership.observed_versions
        return [
            host_id
            for host_id in self.membership.members
            if host_id not in reported or reported[host_id].observed_at < since
        ]

    async def _ping_members(self, host_ids: list[str], until: float) -> None:
        batches = range(0, len(host_ids), PING_BATCH_SIZE)
        interval = (until - time.monotonic()) / max(1, len(batches))
        for start in batches:
            self._run(
                self.membership.build_version_pings(
                    host_ids[start : start + PING_BATCH_SIZE]
                )
            )
            await asyncio.sleep(min(interval, POLL_INTERVAL_SECONDS))

    def set_upstreams(self, upstreams) -> None:
        """Set the upstreams of this host; send changed statuses to peers at once."""
        previous = self.membership.local_member
        self.membership.set_upstreams(upstreams)
        if self.membership.local_member is not previous:
            self._publish_members()
            if _list_statuses(previous) != _list_statuses(self.membership.local_member):
                self._run(self.membership.gossip_state())

    def set_departure(self, departure: Departure) -> None:
        """Set the departure of an upstream of this host; send it to peers at once."""
        host_id = self.membership.local_member.host_id
        self._known_departure = departure
        self.membership.keep_departure(host_id, departure)
        self._run(self.membership.gossip_state())

    def push_record(self, record, fanout: int) -> None:
        """Send a record to a few random peers."""
        self.send_record(record, self.membership.choose_members(fanout))

    def send_record(self, record: VersionRecord, members: Iterable[Member]) -> None:
        """Send a record to some members."""
        size = codec.encode_record(record).ByteSize()
        self._run(self.membership.build_record_pushes(record, members, size=size))

    def reply_with_record(self, record: VersionRecord, datagram: Datagram) -> None:
        """Send a record to the sender of a datagram."""
        sender = self.membership.members.get(datagram.sender)
        if sender is not None:
            self.send_record(record, [sender])

    def ping(self, host_id: str) -> None:
        """Send a ping to a member."""
        self._run(self.membership.build_version_pings([host_id]))

    def send_remote(self, address: str, sequence: int, body: Body) -> None:
        """Send a message to a daemon of another failure domain."""
        self._send(self.membership.build_remote_datagram(address, sequence, body))

    def datagramReceived(self, data: bytes, address) -> None:  # noqa: N802
        try:
            datagram = codec.decode_datagram(data)
        except codec.CodecError as error:
            log_event(logger, Event.DATAGRAM_MALFORMED, source=address, error=error)
            self._kernel.get("metrics").count("datagram.malformed")
            return
        self._kernel.get("metrics").count("datagram.received_bytes", len(data))
        now = time.monotonic()
        if datagram.failure_domain == self.membership.local_member.gossip_group:
            self._run(self.membership.receive(datagram, now))
            for listener in self.listeners:
                listener(datagram)
        else:
            self._kernel.get("summaries").receive(datagram)
        configuration = self._kernel.get("configuration")
        if isinstance(datagram.body, RecordPush):
            configuration.receive_record(datagram.body.record, datagram.sender_address)
        configuration.receive_peer_version(datagram.sender_address, datagram.version)

    def connectionRefused(self) -> None:  # noqa: N802
        self._kernel.get("metrics").count("datagram.refused")

    def _tick(self) -> None:
        now = time.monotonic()
        self._run(self.membership.tick(now))
        if self._members_changed and now >= self._next_publish_at:
            self._publish_members()

    def _run(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            else:
                self._members_changed = True
                self._log_change(effect)
                if not effect.member.is_usable:
                    self._kernel.get("bootstrap").note_removed(effect.member.host_id)
        self._report_departure()

    def _report_departure(self) -> None:
        departure = self.membership.local_member.departure
        if departure != self._known_departure:
            self._known_departure = departure
            for listener in self.departure_listeners:
                listener(departure)

    def _log_change(self, effect) -> None:
        member = effect.member
        if effect.previous is None or effect.previous.status is not member.status:
            log_event(
                logger,
                Event.MEMBER_CHANGED,
                host=member.host_id,
                status=member.status.name,
                incarnation=member.incarnation,
            )

    def _publish_members(self) -> None:
        """Pass the members on to the services that use them.

        Changes in a short time are published once per ``PUBLISH_PERIOD_SECONDS``.
        """
        self._members_changed = False
        self._next_publish_at = time.monotonic() + PUBLISH_PERIOD_SECONDS
        members = self.membership.list_all()
        self._kernel.get("attempts").set_members(members)
        self._kernel.get("metrics").set_gauge(
            "members", self.membership.count_members()
        )

    def _send(self, effect: SendDatagram) -> None:
        data = codec.encode_datagram(self._prepare(effect.datagram))
        self._kernel.get("metrics").count("datagram.sent_bytes", len(data))
        if self.transport is not None:
            self.transport.write(data, split_address(effect.address))

    def _prepare(self, datagram: Datagram) -> Datagram:
        """Report a ping that is sent; add the confirmation to an acknowledgement."""
        body = datagram.body
        if isinstance(body, Ping):
            for listener in self.ping_listeners:
                listener(datagram.sequence)
        elif isinstance(body, Ack) and body.subject == datagram.sender:
            age_ms = self.get_confirmation_age_ms(datagram.version)
            if age_ms:
                return replace(datagram, confirmation_age_ms=age_ms)
        return datagram


def _list_statuses(member: Member) -> list[UpstreamStatus]:
    return [upstream.status for upstream in member.upstreams]
