"""Calls between daemons over grpclib."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.server import Server

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec, key_codec, peers_pb2 as pb
from flamingohead.protocol.peers_grpc import PeersBase, PeersStub
from flamingohead.settings import split_address

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

CALL_TIMEOUT = 2.0
STATUS_TIMEOUT = 1.0


class PeersService(PeersBase):
    """Answer the calls of other daemons, and make calls to them."""

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self._server: Server | None = None
        self._channels: dict[str, Channel] = {}

    async def start(self) -> None:
        self._server = Server([self])
        host, port = split_address(self._address)
        await self._server.start(host, port)

    async def stop(self) -> None:
        for channel in self._channels.values():
            channel.close()
        self._server.close()
        await self._server.wait_closed()

    # Outgoing calls

    async def call(self, address: str, method: str, request, *, timeout=CALL_TIMEOUT):
        """Call a method of a peer; return its reply or a refusal.

        A failed call closes the channel, so that the next call opens a new one.
        """
        channel = self._channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = self._channels[address] = Channel(host, port)
        try:
            stub = PeersStub(channel)
            return await getattr(stub, method)(request, timeout=timeout)
        except Exception as error:
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            log_event(
                logger,
                Event.PEER_FAILED,
                peer=address,
                method=method,
                error=type(error).__name__,
            )
            return Refusal(ErrorKind.HOST_UNREACHABLE, f"{method} at {address}")

    async def join(self, address: str) -> bool:
        """Join the failure domain through a peer; return whether it answered."""
        gossip = self._kernel.get("gossip")
        member = codec.encode_member(gossip.membership.myself)
        reply = await self.call(address, "Join", pb.JoinRequest(member=member))
        if isinstance(reply, Refusal):
            return False
        gossip.merge(codec.decode_member(member) for member in reply.members)
        return True

    # Incoming calls

    async def Join(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        gossip = self._kernel.get("gossip")
        gossip.merge([codec.decode_member(request.member)])
        members = gossip.membership.list_all()
        reply = pb.JoinReply(members=[codec.encode_member(m) for m in members])
        await stream.send_message(reply)

    async def Pull(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        reply = self._kernel.get("configuration").answer_pull(request.version)
        await stream.send_message(reply)

    async def FetchOutcome(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        outcome = await self._kernel.get("keys").fetch_outcome(request)
        await stream.send_message(key_codec.encode_outcome(outcome))

    async def HandOver(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        kept = self._kernel.get("keys").adopt(request)
        await stream.send_message(pb.HandOverReply(kept=kept))

    async def FetchStatus(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self.describe_myself())

    async def FetchDomainStatus(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(await self.collect_domain_status())

    async def SetDrain(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        slots = self._kernel.get("slots")
        found = slots.set_drain(request.upstream, draining=request.draining)
        await stream.send_message(pb.SetDrainReply(found=found))

    # Status

    def describe_myself(self) -> pb.StatusReply:
        """Return the version held by this daemon."""
        snapshot = self._kernel.get("configuration").replica.snapshot
        host_id = self._kernel.get("gossip").membership.myself.host_id
        return pb.StatusReply(
            host_id=host_id, version=snapshot.version, digest=snapshot.digest
        )

    async def collect_domain_status(self) -> pb.DomainStatusReply:
        """Ask every member of this failure domain which version it holds."""
        membership = self._kernel.get("gossip").membership
        members = membership.list_alive()
        replies = await asyncio.gather(
            *(
                self.call(
                    member.peer_address,
                    "FetchStatus",
                    pb.StatusRequest(),
                    timeout=STATUS_TIMEOUT,
                )
                for member in members
            )
        )
        status = pb.DomainStatusReply(failure_domain=membership.myself.failure_domain)
        status.members.append(self.describe_myself())
        for member, reply in zip(members, replies, strict=True):
            if isinstance(reply, Refusal):
                status.unreachable.append(member.host_id)
            else:
                status.members.append(reply)
        return status
