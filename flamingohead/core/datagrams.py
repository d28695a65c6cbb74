"""Construction of datagrams from an envelope, a message and member updates."""

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
    """Build the datagrams of one member; each ping has its own sequence number."""

    def __init__(self, members: MemberList, sequence: int) -> None:
        self.version = 0
        self.follows_source = False
        self.store_era = 0
        self._member_list = members
        self._sequence = sequence

    def ping(
        self,
        address: str,
        *,
        priority_updates: tuple[Member, ...] = (),
        size: int | None = None,
    ) -> SendDatagram:
        """Return a ping with a new sequence number."""
        self._sequence += 1
        return self.send(
            address,
            Ping(),
            self._sequence,
            priority_updates=priority_updates,
            size=size,
        )

    def send(
        self,
        address: str,
        body: Body,
        sequence: int = 0,
        *,
        priority_updates: tuple[Member, ...] = (),
        size: int | None = None,
    ) -> SendDatagram:
        """Return a datagram with as many updates as fit.

        ``priority_updates`` are added before the queued ones. ``size`` is the size of
        the body in bytes; it is required where the size can't be estimated.
        """
        local_member = self._member_list.local_member
        body_bytes = estimate_body_size(body) if size is None else size
        datagram = Datagram(
            sender=local_member.host_id,
            sender_address=local_member.peer_address,
            failure_domain=local_member.gossip_group,
            sequence=sequence,
            version=self.version,
            body=body,
            updates=self._choose_updates(body_bytes, priority_updates),
            follows_source=self.follows_source,
            store_era=self.store_era,
        )
        return SendDatagram(address, datagram)

    def _choose_updates(
        self, body_bytes: int, priority_updates: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        available = (
            MAX_DATAGRAM_BYTES
            - estimate_envelope_size(self._member_list.local_member)
            - body_bytes
        )
        selected: list[Member] = []
        for member in priority_updates:
            size = estimate_member_size(member)
            if size <= available:
                available -= size
                selected.append(member)
        selected += [
            m for m in self._member_list.select_updates(available) if m not in selected
        ]
        return tuple(selected)
