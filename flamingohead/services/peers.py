"""Calls between daemons (grpclib)."""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from typing import TYPE_CHECKING

from flamingohead.addresses import split_address
from flamingohead.core.bootstrap import JoinOutcome
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.joins import JoinAdmission
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec, key_codec, peers_pb2 as pb
from flamingohead.protocol.peers_grpc import PeersBase, PeersStub
from flamingohead.services.bounded_server import BoundedServer
from flamingohead.services.channels import ChannelPool, PooledChannel
from flamingohead.services.memory_relief import report_relief
from flamingohead.services.message_bounds import limit_messages
from flamingohead.services.transport import bind

if TYPE_CHECKING:
    from flamingohead.core.members import Departure
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 2.0
STATUS_TIMEOUT_SECONDS = 1.5
MAX_SHARED_CONTACTS = 2


class PeersService(PeersBase):
    """Serve calls from other daemons, and make calls to them."""

    def __init__(
        self, kernel: Kernel, address: str, *, max_connections: int = 0
    ) -> None:
        limit_messages()
        self._max_connections = max_connections
        self._kernel = kernel
        self._address = address
        self._server: BoundedServer | None = None
        self._channels = ChannelPool()
        self._joins = JoinAdmission()
        self._status_poll: asyncio.Task | None = None

    async def start(self) -> None:
        report = functools.partial(report_relief, self._kernel.get("metrics"), None)
        self._server = BoundedServer(
            [self], max_connections=self._max_connections, report=report
        )
        host, port = split_address(self._address)
        await self._server.start(sock=bind(host, port))

    async def stop(self) -> None:
        self._channels.close()
        self._server.close()
        await self._server.wait_closed()

    # Outgoing calls

    async def call(
        self,
        address: str,
        method: str,
        request,
        *,
        timeout: float = CALL_TIMEOUT_SECONDS,
        fresh: bool = False,
    ):
        """Call a method of a peer; return its reply or a refusal.

        ``timeout`` is in seconds, and ``fresh`` forces a new connection. A reused one
        may be dead, so a failure on it does not show that the peer is unreachable: the
        call is retried once on a new one. Every method of the service can safely be
        called twice.
        """
        pooled = self._channels.acquire(address, fresh=fresh)
        is_fresh = pooled.fresh
        reply = await self._call_once(pooled, method, request, timeout)
        if isinstance(reply, Refusal) and not is_fresh:
            self._kernel.get("metrics").count("peer.reconnected")
            log_event(logger, Event.PEER_RECONNECTED, peer=address, method=method)
            pooled = self._channels.acquire(address)
            reply = await self._call_once(pooled, method, request, timeout)
        return reply

    async def _call_once(
        self, pooled: PooledChannel, method: str, request, timeout: float
    ):
        failed = True
        try:
            stub = PeersStub(pooled.channel)
            reply = await getattr(stub, method)(request, timeout=timeout)
            failed = False
            return reply
        except Exception as error:
            log_event(
                logger,
                Event.PEER_FAILED,
                peer=pooled.address,
                method=method,
                error=type(error).__name__,
            )
            return Refusal(ErrorKind.HOST_UNREACHABLE, f"{method} at {pooled.address}")
        finally:
            self._channels.release(pooled, failed=failed)

    async def join(self, address: str) -> JoinOutcome:
        """Join the failure domain through a peer."""
        gossip = self._kernel.get("gossip")
        member = codec.encode_member(gossip.membership.local_member)
        reply = await self.call(address, "Join", pb.JoinRequest(member=member))
        if isinstance(reply, Refusal):
            return JoinOutcome(False)
        now = time.monotonic()
        if reply.retry_after_ms:
            self._kernel.get("metrics").count("join.put_off")
            retry_at = now + reply.retry_after_ms / 1000
            return JoinOutcome(
                False, retry_at=retry_at, alternatives=tuple(reply.alternatives)
            )
        members = [codec.decode_member(member) for member in reply.members]
        changes = gossip.merge_peer_state(members)
        remote = self._kernel.get("summaries").remote
        for member in members[-MAX_SHARED_CONTACTS:]:
            # A seed may be in another failure domain; contacts in the domain of this
            # daemon are ignored by ``add_contact``.
            remote.add_contact(member.failure_domain, member.peer_address, now)
        for contact in reply.contacts:
            remote.add_contact(contact.failure_domain, contact.peer_address, now)
        return JoinOutcome(True, changes)

    async def hand_over_departure(
        self, address: str, departure: Departure, *, timeout: float
    ) -> bool:
        """Let a peer keep a departure of this host; return whether it confirmed it.

        ``timeout`` is in seconds.
        """
        request = pb.KeepDepartureRequest(
            host_id=self._kernel.get("gossip").membership.local_member.host_id,
            departure=codec.encode_departure(departure),
        )
        reply = await self.call(address, "KeepDeparture", request, timeout=timeout)
        return not isinstance(reply, Refusal) and reply.kept

    # Incoming calls

    async def Join(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        gossip = self._kernel.get("gossip")
        now = time.monotonic()
        retry_at = self._joins.admit(now)
        if retry_at is not None:
            wait_ms = max(1, round((retry_at - now) * 1000))
            alternatives = gossip.membership.choose_alternative_peers()
            reply = pb.JoinReply(retry_after_ms=wait_ms, alternatives=alternatives)
            await stream.send_message(reply)
            return
        joiner = codec.decode_member(request.member)
        gossip.merge([joiner])
        members = gossip.membership.list_all()
        reply = pb.JoinReply(members=[codec.encode_member(m) for m in members])
        remote = self._kernel.get("summaries").remote
        remote.add_contact(joiner.failure_domain, joiner.peer_address, now)
        for domain in remote.list_domains():
            for address in remote.list_contacts(domain)[-MAX_SHARED_CONTACTS:]:
                reply.contacts.add(failure_domain=domain, peer_address=address)
        await stream.send_message(reply)

    async def Pull(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        reply = self._kernel.get("configuration").get_pull_reply(
            request.version, takes_packed=request.takes_packed
        )
        await stream.send_message(reply)

    async def FetchOutcome(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        outcome = await self._kernel.get("outcomes").fetch(request)
        await stream.send_message(key_codec.encode_outcome(outcome))

    async def HandOver(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        kept = self._kernel.get("outcomes").adopt(request)
        await stream.send_message(pb.HandOverReply(kept=kept))

    async def FetchStatus(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self.build_status_reply())

    async def FetchDomainStatus(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(await self.collect_domain_status())

    async def SetDrain(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        slots = self._kernel.get("slots")
        found = slots.set_drain(request.upstream, draining=request.draining)
        await stream.send_message(pb.SetDrainReply(found=found))

    async def KeepDeparture(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        membership = self._kernel.get("gossip").membership
        departure = codec.decode_departure(request.departure)
        kept = membership.keep_departure(request.host_id, departure)
        await stream.send_message(pb.KeepDepartureReply(kept=kept))

    # Status

    def build_status_reply(self) -> pb.StatusReply:
        """Return the status of this daemon with its active version."""
        snapshot = self._kernel.get("configuration").replica.snapshot
        membership = self._kernel.get("gossip").membership
        return pb.StatusReply(
            host_id=membership.local_member.host_id,
            version=snapshot.version,
            digest=snapshot.digest,
            follows_source=membership.follows_source,
        )

    async def collect_domain_status(self) -> pb.DomainStatusReply:
        """Query every member of this failure domain for its active version.

        Concurrent callers share one round of pings.
        """
        if self._status_poll is None:
            task = asyncio.get_running_loop().create_task(self._poll_domain())
            self._status_poll = task
            task.add_done_callback(self._clear_status_poll)
        return await asyncio.shield(self._status_poll)

    def _clear_status_poll(self, task: asyncio.Task) -> None:
        self._status_poll = None

    async def _poll_domain(self) -> pb.DomainStatusReply:
        gossip = self._kernel.get("gossip")
        poll_started_at = time.monotonic()
        versions = await gossip.poll_versions(poll_started_at + STATUS_TIMEOUT_SECONDS)
        domain = gossip.membership.local_member.failure_domain
        status = pb.DomainStatusReply(failure_domain=domain)
        status.members.append(self.build_status_reply())
        for host_id in sorted(gossip.membership.members):
            version = versions.get(host_id)
            if version is None:
                status.unreachable.append(host_id)
            else:
                status.members.add(host_id=host_id, version=version)
        return status
