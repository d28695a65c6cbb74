"""Datagrams between the daemons: membership and news of versions."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from twisted.internet.protocol import DatagramProtocol

from flamingohead.addresses import split_address
from flamingohead.core.membership import Membership, SendDatagram
from flamingohead.core.messages import Body, News
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec
from flamingohead.services.ticks import Ticks
from flamingohead.services.transport import AsyncioDatagrams, listen_datagrams

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingohead.core.members import Member, UpstreamStatus
    from flamingohead.core.messages import Datagram
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD = 0.1
PUBLISH_PERIOD = 0.25
POLL_GROUP = 50
POLL_WAIT = 0.03


class GossipService(DatagramProtocol):
    """Drive the membership and carry its datagrams over UDP."""

    def __init__(self, kernel: Kernel, membership: Membership, address: str) -> None:
        self.membership = membership
        self._kernel = kernel
        self._address = address
        self._port: AsyncioDatagrams | None = None
        self._left = False
        self._changed = False
        self._next_publish_at = 0.0
        self._ticks = Ticks(self._tick)
        # Called with each datagram of the group.
        self.listeners: list[Callable[[Datagram], None]] = []

    async def start(self) -> None:
        host, port = split_address(self._address)
        self._port = await listen_datagrams(self, host, port)
        self._ticks.start(TICK_PERIOD, now=False)

    async def stop(self) -> None:
        self.leave()
        self._ticks.stop()
        self._port.close()

    def leave(self) -> None:
        """Tell the other members, once, that this one leaves."""
        if not self._left:
            self._left = True
            self._run(self.membership.leave())

    def merge(self, members) -> None:
        """Take in members learned through a call."""
        self._run(self.membership.merge(members, time.monotonic()))

    def take_state(self, members) -> int:
        """Take in the state that a peer gave; return how much of it was news."""
        effects = self.membership.take_state(members, time.monotonic())
        self._run(effects)
        self._publish_members()
        return len(effects)

    async def poll_versions(self, deadline: float) -> dict[str, int]:
        """Ping every member and return the versions heard until ``deadline``.

        Pings go out in groups over the first half of the time, and again to those
        that have not answered.
        """
        asked_at = time.monotonic()
        for part in (0.5, 0.8):
            until = asked_at + part * (deadline - asked_at)
            await self._ping_members(self._list_unheard(asked_at), until)
        while self._list_unheard(asked_at) and time.monotonic() < deadline:
            await asyncio.sleep(POLL_WAIT)
        return {
            host_id: heard.version
            for host_id, heard in self.membership.heard_versions.items()
            if heard.heard_at >= asked_at
        }

    def _list_unheard(self, since: float) -> list[str]:
        heard = self.membership.heard_versions
        return [
            host_id
            for host_id in self.membership.members
            if host_id not in heard or heard[host_id].heard_at < since
        ]

    async def _ping_members(self, host_ids: list[str], until: float) -> None:
        groups = range(0, len(host_ids), POLL_GROUP)
        wait = (until - time.monotonic()) / max(1, len(groups))
        for start in groups:
            self._run(self.membership.build_pings(host_ids[start : start + POLL_GROUP]))
            await asyncio.sleep(min(wait, POLL_WAIT))

    def set_upstreams(self, upstreams) -> None:
        """Announce the upstreams of this host."""
        before = self.membership.myself
        self.membership.set_upstreams(upstreams)
        if self.membership.myself is not before:
            self._publish_members()
            if _list_statuses(before) != _list_statuses(self.membership.myself):
                self._run(self.membership.spread_state())

    def push_record(self, record, fanout: int) -> None:
        """Send a record to a few random peers."""
        self.send_record(record, self.membership.choose_members(fanout))

    def send_record(self, record: VersionRecord, members: Iterable[Member]) -> None:
        """Tell some members of a record."""
        size = codec.encode_record(record).ByteSize()
        self._run(self.membership.build_news(record, members, size=size))

    def send_answer(self, record: VersionRecord, datagram: Datagram) -> None:
        """Tell the sender of a datagram of a record."""
        sender = self.membership.members.get(datagram.sender)
        if sender is not None:
            self.send_record(record, [sender])

    def ping(self, host_id: str) -> None:
        """Ask a member for a sign of life."""
        self._run(self.membership.build_pings([host_id]))

    def send_remote(self, address: str, sequence: int, body: Body) -> None:
        """Send a message to a daemon of another failure domain."""
        self._send(self.membership.build_remote(address, sequence, body))

    def datagramReceived(self, data: bytes, address) -> None:  # noqa: N802
        try:
            datagram = codec.decode_datagram(data)
        except codec.CodecError as error:
            log_event(logger, Event.BAD_DATAGRAM, source=address, error=error)
            self._kernel.get("metrics").count("datagram.malformed")
            return
        self._kernel.get("metrics").count("datagram.received_bytes", len(data))
        now = time.monotonic()
        if datagram.failure_domain == self.membership.myself.gossip_group:
            self._run(self.membership.receive(datagram, now))
            for listener in self.listeners:
                listener(datagram)
        else:
            self._kernel.get("summaries").receive(datagram)
        configuration = self._kernel.get("configuration")
        if isinstance(datagram.body, News):
            configuration.receive_record(datagram.body.record, datagram.sender_address)
        configuration.receive_peer_version(datagram.sender_address, datagram.version)

    def connectionRefused(self) -> None:  # noqa: N802
        self._kernel.get("metrics").count("datagram.refused")

    def _tick(self) -> None:
        now = time.monotonic()
        self._run(self.membership.tick(now))
        if self._changed and now >= self._next_publish_at:
            self._publish_members()

    def _run(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            else:
                self._changed = True
                self._log_change(effect)
                if not effect.member.is_usable:
                    self._kernel.get("bootstrap").note_gone(effect.member.host_id)

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
        """Hand the members on; after a herd of changes, once in a while."""
        self._changed = False
        self._next_publish_at = time.monotonic() + PUBLISH_PERIOD
        members = self.membership.list_all()
        self._kernel.get("attempts").set_members(members)
        self._kernel.get("metrics").set_gauge(
            "members", self.membership.count_members()
        )

    def _send(self, effect: SendDatagram) -> None:
        data = codec.encode_datagram(effect.datagram)
        self._kernel.get("metrics").count("datagram.sent_bytes", len(data))
        if self.transport is not None:
            self.transport.write(data, split_address(effect.address))


def _list_statuses(member: Member) -> list[UpstreamStatus]:
    return [upstream.status for upstream in member.upstreams]
