"""Assembly of a daemon from its services."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import signal
import time
from typing import TYPE_CHECKING

from flamingohead.events import Event, log_event
from flamingohead.kernel import Kernel
from flamingohead.logs import configure_logging
from flamingohead.services.reactor import install_reactor

if TYPE_CHECKING:
    from flamingohead.settings import DaemonSettings

logger = logging.getLogger(__name__)


def build_kernel(settings: DaemonSettings) -> Kernel:
    """Return a kernel with every service of a daemon, not yet started."""
    install_reactor()
    from flamingohead.core.balancing import Balancer
    from flamingohead.core.bootstrap import Bootstrap
    from flamingohead.core.dissemination import Dissemination
    from flamingohead.core.ledger import MEBIBYTE, LedgerSettings
    from flamingohead.core.members import Member
    from flamingohead.core.membership import Membership
    from flamingohead.core.overflow import Overflow
    from flamingohead.core.versions import Replica
    from flamingohead.services.announcements import AnnouncementService
    from flamingohead.services.attempts import AttemptService
    from flamingohead.services.bootstrap import BootstrapService
    from flamingohead.services.calls import CallService
    from flamingohead.services.configuration import ConfigurationService
    from flamingohead.services.gossip import GossipService
    from flamingohead.services.history import HistoryService
    from flamingohead.services.http_client import HttpClientService
    from flamingohead.services.keys import KeyService
    from flamingohead.services.metrics import MetricsService
    from flamingohead.services.observation import ObservationService
    from flamingohead.services.operators import OperatorService
    from flamingohead.services.outcomes import OutcomeService
    from flamingohead.services.peers import PeersService
    from flamingohead.services.platform import ObjectClient, TableClient
    from flamingohead.services.scopes import ScopeService
    from flamingohead.services.slots import SlotService
    from flamingohead.services.status import StatusService
    from flamingohead.services.summaries import SummaryService

    generator = random.Random()
    myself = Member(
        host_id=settings.host_id,
        failure_domain=settings.failure_domain,
        peer_address=settings.peer_address,
        relay_address=settings.relay_address,
        incarnation=int(time.time() * 1000),
    )
    membership = Membership(myself, random=generator)
    dissemination = Dissemination(Replica(), random=generator)
    kernel = Kernel()
    kernel.add("metrics", MetricsService(settings.statsd_address))
    kernel.add("table", TableClient(settings.table_url))
    kernel.add("objects", ObjectClient(settings.objects_url))
    kernel.add("http_client", HttpClientService())
    kernel.add("gossip", GossipService(kernel, membership, settings.peer_address))
    kernel.add(
        "summaries",
        SummaryService(kernel, settings.failure_domain, random=generator),
    )
    kernel.add("peers", PeersService(kernel, settings.peer_address))
    limits = LedgerSettings(
        maximum_entries=settings.key_limit,
        maximum_total_bytes=settings.key_answer_mib * MEBIBYTE,
    )
    kernel.add("outcomes", OutcomeService(kernel, limits))
    kernel.add(
        "keys",
        KeyService(
            kernel,
            key_lifetime=settings.key_lifetime,
            claim_limit=settings.claim_limit,
            stop_timeout=settings.stop_timeout,
            limits=limits,
            random=generator,
        ),
    )
    kernel.add(
        "scopes",
        ScopeService(
            kernel,
            lifetime=settings.key_scope_lifetime,
            secret=settings.key_scope_secret or settings.control_token,
            stop_timeout=settings.stop_timeout,
            limits=limits,
        ),
    )
    kernel.add("slots", SlotService(kernel))
    kernel.add("configuration", ConfigurationService(kernel, dissemination))
    kernel.add(
        "attempts",
        AttemptService(kernel, Balancer(random=generator), Overflow(random=generator)),
    )
    kernel.add(
        "calls",
        CallService(
            kernel,
            ingress_address=settings.ingress_address,
            relay_address=settings.relay_address,
            stop_timeout=settings.stop_timeout,
        ),
    )
    kernel.add("announcements", AnnouncementService(kernel, settings.announce_address))
    kernel.add("observation", ObservationService(kernel))
    kernel.add("history", HistoryService(kernel))
    kernel.add("status", StatusService(kernel))
    kernel.add(
        "operators",
        OperatorService(kernel, settings.control_address, settings.control_token),
    )
    bootstrap = Bootstrap(
        settings.host_id,
        settings.peer_address,
        settings.list_seeds(),
        random=generator,
    )
    kernel.add("bootstrap", BootstrapService(kernel, bootstrap))
    return kernel


async def run_daemon(settings: DaemonSettings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    configure_logging(settings)
    kernel = build_kernel(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await kernel.start()
    # A full collection over the modules and classes of the start would take tens of
    # milliseconds, in which no call is served.
    gc.collect()
    gc.freeze()
    log_event(
        logger,
        Event.DAEMON_STARTED,
        host=settings.host_id,
        failure_domain=settings.failure_domain,
    )
    await stopping.wait()
    log_event(logger, Event.DAEMON_STOPPING, host=settings.host_id)
    await kernel.stop()
    log_event(logger, Event.DAEMON_STOPPED, host=settings.host_id)
    return 0
