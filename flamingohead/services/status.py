"""Descriptions of the running mesh for operators."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.services.bootstrap import HOST_PREFIX

if TYPE_CHECKING:
    from flamingohead.core.members import Member, UpstreamState
    from flamingohead.kernel import Kernel

DOMAIN_STATUS_TIMEOUT = 3.0
HOSTS_ASKED = 3
HOST_SCAN_LIMIT = 1000


class StatusService:
    """Collect what this daemon and the others know of themselves."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def describe_daemon(self) -> dict:
        """Return the state of this daemon and its view of the failure domain."""
        membership = self._kernel.get("gossip").membership
        configuration = self._kernel.get("configuration")
        members = membership.list_all()
        return {
            "host_id": membership.myself.host_id,
            "failure_domain": membership.myself.failure_domain,
            "version": configuration.replica.version,
            "digest": configuration.replica.snapshot.digest.hex(),
            "activated_at": configuration.activated_at,
            "ready": configuration.is_ready,
            "rejected": [
                {"version": r.version, "reason": r.refusal.detail, "times": r.times}
                for r in configuration.list_rejections()
            ],
            "observed": self._kernel.get("observation").describe(),
            "members": [self._describe_member(member) for member in members],
        }

    def describe_metrics(self) -> dict:
        """Return the counters and gauges of this daemon."""
        metrics = self._kernel.get("metrics")
        return {"counters": dict(metrics.counters), "gauges": dict(metrics.gauges)}

    async def describe_convergence(self) -> dict:
        """Return the version held by each daemon of each failure domain.

        The answer is complete only if the table told which failure domains exist.
        """
        own = await self._kernel.get("peers").collect_domain_status()
        listed = await self._list_domains()
        known = self._list_contacts() if listed is None else listed
        others = [
            self._ask_domain(domain, addresses)
            for domain, addresses in known.items()
            if domain != own.failure_domain
        ]
        domains = [own, *await asyncio.gather(*others)]
        return {
            "domains": [_describe_domain(domain) for domain in domains],
            "complete": listed is not None,
        }

    async def set_drain(self, upstream: str, draining: bool) -> dict | Refusal:
        """Start or end a drain on whichever host has the upstream."""
        membership = self._kernel.get("gossip").membership
        for member in membership.list_all():
            if upstream in (known.name for known in member.upstreams):
                return await self._set_drain_on(member, upstream, draining)
        detail = f"no upstream {upstream!r} in {membership.myself.failure_domain}"
        return Refusal(ErrorKind.NOT_FOUND, detail)

    async def _set_drain_on(
        self, member: Member, upstream: str, draining: bool
    ) -> dict | Refusal:
        if member.host_id == self._kernel.get("gossip").membership.myself.host_id:
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
        return {"host_id": member.host_id, "upstream": upstream, "draining": draining}

    def _describe_member(self, member: Member) -> dict:
        return {
            "host_id": member.host_id,
            "status": member.status.name.lower(),
            "upstreams": [self._describe_upstream(member, u) for u in member.upstreams],
        }

    def _describe_upstream(self, member: Member, upstream: UpstreamState) -> dict:
        description = {
            "name": upstream.name,
            "service": upstream.service,
            "status": upstream.status.name.lower(),
            "slots": upstream.slots,
            "load": upstream.load,
        }
        local = self._kernel.get("slots").upstreams.get(upstream.name)
        myself = self._kernel.get("gossip").membership.myself
        if local is not None and member.host_id == myself.host_id:
            description["in_use"] = local.admission.in_use
            description["waiting"] = len(local.waiters)
        return description

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

    async def _ask_domain(
        self, domain: str, addresses: list[str]
    ) -> pb.DomainStatusReply:
        for address in addresses[:HOSTS_ASKED]:
            reply = await self._kernel.get("peers").call(
                address,
                "FetchDomainStatus",
                pb.DomainStatusRequest(),
                timeout=DOMAIN_STATUS_TIMEOUT,
            )
            if not isinstance(reply, Refusal):
                return reply
        return pb.DomainStatusReply(failure_domain=domain, unreachable=["*"])


def _describe_domain(domain: pb.DomainStatusReply) -> dict:
    return {
        "failure_domain": domain.failure_domain,
        "members": {member.host_id: member.version for member in domain.members},
        "unreachable": list(domain.unreachable),
    }
