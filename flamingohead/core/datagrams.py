"""Building of datagrams: envelope, message and the updates that fit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Ping,
    estimate_body_size,
    estimate_envelope_size,
    estimate_member_size,
)

if TYPE_CHECKING:
    from flamingohead.core.memberlist import MemberList
    from flamingohead.core.members import Member
    from flamingohead.core.messages import Body


@dataclass(frozen=True)
class SendDatagram:
    """Send a datagram to an address."""

    address: str
    datagram: Datagram


class DatagramBuilder:
    """Build the datagrams of one member; each ping has its own sequence."""

    def __init__(self, members: MemberList, sequence: int) -> None:
        self.version = 0
        self.follows_source = False
        self.store_era = 0
        self._list = members
        self._sequence = sequence

    def ping(
        self, address: str, *, first: tuple[Member, ...] = (), size: int | None = None
    ) -> SendDatagram:
        """Return a ping under a new sequence number."""
        self._sequence += 1
        return self.send(address, Ping(), self._sequence, first=first, size=size)

    def send(
        self,
        address: str,
        body: Body,
        sequence: int = 0,
        *,
        first: tuple[Member, ...] = (),
        size: int | None = None,
    ) -> SendDatagram:
        """Return a datagram with ``first`` and then waiting updates, as they fit.

        ``size`` is that of the body in bytes, where it can't be estimated.
        """
        myself = self._list.myself
        used = estimate_body_size(body) if size is None else size
        datagram = Datagram(
            sender=myself.host_id,
            sender_address=myself.peer_address,
            failure_domain=myself.gossip_group,
            sequence=sequence,
            version=self.version,
            body=body,
            updates=self._choose_updates(used, first),
            follows_source=self.follows_source,
            store_era=self.store_era,
        )
        return SendDatagram(address, datagram)

    def _choose_updates(
        self, used: int, first: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        room = MAX_DATAGRAM_BYTES - estimate_envelope_size(self._list.myself) - used
        told: list[Member] = []
        for member in first:
            size = estimate_member_size(member)
            if size <= room:
                room -= size
                told.append(member)
        told += [m for m in self._list.take_updates(room) if m not in told]
        return tuple(told)
