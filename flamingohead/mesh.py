"""Assembly of membership and peer services, common to every kind of daemon."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from flamingohead.core.bootstrap import Bootstrap, BootstrapSettings
from flamingohead.core.members import Member
from flamingohead.core.membership import Membership, MembershipSettings
from flamingohead.services.bootstrap import BootstrapService
from flamingohead.services.gossip import GossipService
from flamingohead.services.peers import PeersService
from flamingohead.services.summaries import SummaryService

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.kernel import Kernel


class HostIdentity(Protocol):
    """Identify a daemon, its failure domain and its addresses for other daemons."""

    host_id: str
    failure_domain: str
    peer_address: str
    relay_address: str


def add_mesh(
    kernel: Kernel,
    identity: HostIdentity,
    random: Random,
    *,
    group: str = "",
    capacity: int = 0,
    link_mbps: int = 0,
    max_peer_connections: int = 0,
    settings: MembershipSettings = MembershipSettings(),
) -> None:
    """Add membership, summaries and calls between daemons.

    Without a ``group`` the daemons of each failure domain form a gossip group, in which
    each keeps a record of every other member. Up to ``max_peer_connections`` of other
    daemons are open, without a bound if it is 0.
    """
    local_member = Member(
        host_id=identity.host_id,
        failure_domain=identity.failure_domain,
        peer_address=identity.peer_address,
        relay_address=identity.relay_address,
        incarnation=int(time.time() * 1000),
        group=group,
        capacity=capacity,
        link_mbps=link_mbps,
    )
    membership = Membership(local_member, random=random, settings=settings)
    kernel.add("gossip", GossipService(kernel, membership, local_member.peer_address))
    kernel.add(
        "summaries", SummaryService(kernel, local_member.gossip_group, random=random)
    )
    peers = PeersService(
        kernel, local_member.peer_address, max_connections=max_peer_connections
    )
    kernel.add("peers", peers)


def add_bootstrap(
    kernel: Kernel,
    identity: HostIdentity,
    random: Random,
    *,
    seeds: Iterable[str] = (),
    settings: BootstrapSettings = BootstrapSettings(),
) -> None:
    """Add the service that discovers and joins the first other daemons."""
    bootstrap = Bootstrap(
        identity.host_id,
        identity.peer_address,
        seeds,
        random=random,
        settings=settings,
    )
    service = BootstrapService(kernel, bootstrap)
    kernel.add("bootstrap", service)
    kernel.get("eras").listeners.append(service.handle_store_restored)
