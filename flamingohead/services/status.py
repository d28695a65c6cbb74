"""Reports on the state of the mesh for operators."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.services.bootstrap import HOST_PREFIX

if TYPE_CHECKING:
    from flamingohead.core.members import Member, UpstreamState
    from flamingohead.kernel import Kernel
    from flamingohead.services.observation import ObservedService

DOMAIN_STATUS_TIMEOUT_SECONDS = 3.0
MAX_QUERIED_HOSTS = 3
HOST_SCAN_LIMIT = 1000


@dataclass(frozen=True)
class UpstreamView:
    """Describe an upstream; slots in use are only known on its own host."""

    name: str
    service: str
    status: str
    slots: int
    load: float
    in_use: int | None = None
    waiting: int | None = None


@dataclass(frozen=True)
class MemberView:
    """Describe a member of the failure domain and its upstreams."""

    host_id: str
    status: str
    upstreams: tuple[UpstreamView, ...]


@dataclass(frozen=True)
class RejectedVersion:
    """Describe a version that the daemon could not apply, and the reason."""

    version: int
    reason: str
    times: int


@dataclass(frozen=True)
class DaemonStatus:
    """Describe a daemon; ``activated_at`` is in seconds since the epoch."""

    host_id: str
    failure_domain: str
    version: int
    digest: str
    activated_at: float
    ready: bool
    rejected: tuple[RejectedVersion, ...]
    observed: tuple[ObservedService, ...]
    members: tuple[MemberView, ...]


@dataclass(frozen=True)
class MetricValues:
    """List the counters and gauges of a daemon by name."""

    counters: dict[str, int]
    gauges: dict[str, float]


@dataclass(frozen=True)
class DomainConvergence:
    """List the active version of each daemon of a failure domain."""

    failure_domain: str
    members: dict[str, int]
    unreachable: tuple[str, ...]


@dataclass(frozen=True)
class MeshConvergence:
    """List the versions of every known failure domain.

    ``complete`` is true only if the failure domains were listed from the table.
    """

    domains: tuple[DomainConvergence, ...]
    complete: bool


@dataclass(frozen=True)
class DrainResult:
    """Report the host on which a drain was started or ended."""

    host_id: str
    upstream: str
    draining: bool


class StatusService:
    """Collect the state of this daemon, and query other daemons for theirs."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def describe_daemon(self) -> DaemonStatus:
        """Return the state of this daemon and its view of the failure domain."""
        membership = self._kernel.get("gossip").membership
        configuration = self._kernel.get("configuration")
        rejections = configuration.list_rejections()
        return DaemonStatus(
            host_id=membership.local_member.host_id,
            failure_domain=membership.local_member.failure_domain,
            version=configuration.replica.version,
            digest=configuration.replica.snapshot.digest.hex(),
            activated_at=configuration.activated_at,
            ready=configuration.is_ready,
            rejected=tuple(
                RejectedVersion(r.version, r.refusal.detail, r.times)
                for r in rejections
            ),
            observed=tuple(self._kernel.get("observation").describe()),
            members=tuple(self._describe_member(m) for m in membership.list_all()),
        )

    def describe_metrics(self) -> MetricValues:
        """Return the counters and gauges of this daemon."""
        metrics = self._kernel.get("metrics")
        return MetricValues(dict(metrics.counters), dict(metrics.gauges))

    async def describe_convergence(self) -> MeshConvergence:
        """Query every failure domain for the active versions of its daemons."""
        local_reply = await self._kernel.get("peers").collect_domain_status()
        stored_domains = await self._list_domains()
        known = self._list_contacts() if stored_domains is None else stored_domains
        queries = [
            self._query_domain(domain, addresses)
            for domain, addresses in known.items()
            if domain != local_reply.failure_domain
        ]
        replies = [local_reply, *await asyncio.gather(*queries)]
        domains = tuple(_describe_domain(reply) for reply in replies)
        return MeshConvergence(domains, complete=stored_domains is not None)

    async def set_drain(self, upstream: str, draining: bool) -> DrainResult | Refusal:
        """Start or end a drain on the host that runs the upstream."""
        membership = self._kernel.get("gossip").membership
        for member in membership.list_all():
            if upstream in (state.name for state in member.upstreams):
                return await self._set_drain_on(member, upstream, draining)
        detail = f"no upstream {upstream!r} in {membership.local_member.failure_domain}"
        return Refusal(ErrorKind.NOT_FOUND, detail)

    async def _set_drain_on(
        self, member: Member, upstream: str, draining: bool
    ) -> DrainResult | Refusal:
        if member.host_id == self._kernel.get("gossip").membership.local_member.host_id:
            found = self._kernel.get("slots").set_drain(upstream, draining=draining)
        else:
            request = pb.SetDrainRequest(upstream=upstream, draining=draining)
            reply = await self._kernel.get("peers").call(
                member.peer_address, "SetDrain", request
            )
            if isinstance(reply, Refusal):
                return reply
            found = reply.found
        if not found:
            return Refusal(
                ErrorKind.NOT_FOUND, f"{member.host_id} no longer has {upstream!r}"
            )
        return DrainResult(member.host_id, upstream, draining)

    def _describe_member(self, member: Member) -> MemberView:
        upstreams = tuple(self._describe_upstream(member, u) for u in member.upstreams)
        return MemberView(member.host_id, member.status.name.lower(), upstreams)

    def _describe_upstream(
        self, member: Member, upstream: UpstreamState
    ) -> UpstreamView:
        view = UpstreamView(
            name=upstream.name,
            service=upstream.service,
            status=upstream.status.name.lower(),
            slots=upstream.slots,
            load=upstream.load,
        )
        local = self._kernel.get("slots").upstreams.get(upstream.name)
        local_member = self._kernel.get("gossip").membership.local_member
        if local is None or member.host_id != local_member.host_id:
            return view
        in_use = local.admission.in_use
        return replace(view, in_use=in_use, waiting=len(local.waiters))

    async def _list_domains(self) -> dict[str, list[str]] | None:
        rows = await self._kernel.get("table").scan(HOST_PREFIX, limit=HOST_SCAN_LIMIT)
        if isinstance(rows, Refusal):
            return None
        domains: dict[str, list[str]] = {}
        for row in rows:
            domain = row.key.split("/")[1]
            address = json.loads(row.value)["peer_address"]
            domains.setdefault(domain, []).append(address)
        return domains

    def _list_contacts(self) -> dict[str, list[str]]:
        remote = self._kernel.get("summaries").remote
        names = remote.list_domains()
        return {name: remote.list_contacts(name) for name in names}

    async def _query_domain(
        self, domain: str, addresses: list[str]
    ) -> pb.DomainStatusReply:
        for address in addresses[:MAX_QUERIED_HOSTS]:
            reply = await self._kernel.get("peers").call(
                address,
                "FetchDomainStatus",
                pb.DomainStatusRequest(),
                timeout=DOMAIN_STATUS_TIMEOUT_SECONDS,
            )
            if not isinstance(reply, Refusal):
                return reply
        return pb.DomainStatusReply(failure_domain=domain, unreachable=["*"])


def _describe_domain(reply: pb.DomainStatusReply) -> DomainConvergence:
    return DomainConvergence(
        reply.failure_domain,
        {member.host_id: member.version for member in reply.members},
        tuple(reply.unreachable),
    )
