"""Assembly of the services of a daemon, in the order in which they start.

Import this module only after the reactor has been installed.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from flamingohead.core.balancing import Balancer
from flamingohead.core.dissemination import Dissemination
from flamingohead.core.ledger import MEBIBYTE, LedgerSettings
from flamingohead.core.overflow import Overflow
from flamingohead.core.versions import Replica
from flamingohead.mesh import add_bootstrap, add_mesh
from flamingohead.platform.store import StoreClient
from flamingohead.platform.tables import StoreObjects, StoreTable
from flamingohead.services.announcements import AnnouncementService
from flamingohead.services.attempts import AttemptService
from flamingohead.services.calls import CallService
from flamingohead.services.eras import EraService
from flamingohead.services.history import HistoryService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.keys import KeyService
from flamingohead.services.loop_lag import LoopLagService
from flamingohead.services.metrics import MetricsService
from flamingohead.services.observation import ObservationService
from flamingohead.services.operators import OperatorService
from flamingohead.services.outcomes import OutcomeService
from flamingohead.services.platform import ObjectClient, TableClient
from flamingohead.services.scopes import ScopeService
from flamingohead.services.slots import SlotService
from flamingohead.services.status import StatusService
from flamingohead.services.upstreams import UpstreamService
from flamingohead.services.version_log import VersionLogService

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.kernel import Kernel
    from flamingohead.settings import DaemonSettings


def add_services(kernel: Kernel, settings: DaemonSettings) -> None:
    """Add every service of a daemon to the kernel."""
    generator = random.Random()
    kernel.add("metrics", MetricsService(settings.statsd_address))
    kernel.add("loop_lag", LoopLagService(kernel))
    kernel.add("eras", EraService(kernel))
    _add_platform(kernel, settings)
    kernel.add("http_client", HttpClientService())
    add_mesh(kernel, settings, generator)
    _add_keys(kernel, settings, generator)
    _add_requests(kernel, settings, generator)
    _add_operators(kernel, settings)
    add_bootstrap(kernel, settings, generator, seeds=settings.list_seeds())


def _add_platform(kernel: Kernel, settings: DaemonSettings) -> None:
    for name, url in (
        ("table", settings.table_url),
        ("objects", settings.objects_url),
    ):
        scheme, _, address = url.partition("://")
        kernel.add(name, PLATFORM_CLIENTS[scheme, name](kernel, address))


# Functions that create the clients of the platform's services, by URL scheme and
# name of the service.
PLATFORM_CLIENTS: dict[tuple[str, str], Callable] = {}


def register_client(scheme: str, name: str):
    """Register the function that creates the client of a platform service."""

    def decorate(create: Callable):
        PLATFORM_CLIENTS[scheme, name] = create
        return create

    return decorate


@register_client("http", "table")
def _create_table(kernel: Kernel, address: str) -> TableClient:
    return TableClient(f"http://{address}")


@register_client("http", "objects")
def _create_objects(kernel: Kernel, address: str) -> ObjectClient:
    return ObjectClient(f"http://{address}")


@register_client("store", "table")
def _create_store_table(kernel: Kernel, address: str) -> StoreTable:
    return StoreTable(StoreClient(kernel, address))


@register_client("store", "objects")
def _create_store_objects(kernel: Kernel, address: str) -> StoreObjects:
    return StoreObjects(StoreClient(kernel, address))


def _add_keys(
    kernel: Kernel, settings: DaemonSettings, generator: random.Random
) -> None:
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


def _add_requests(
    kernel: Kernel, settings: DaemonSettings, generator: random.Random
) -> None:
    dissemination = Dissemination(Replica(), random=generator)
    balancer = Balancer(random=generator)
    overflow = Overflow(random=generator)
    kernel.add("slots", SlotService(kernel))
    kernel.add("configuration", VersionLogService(kernel, dissemination))
    kernel.add("attempts", AttemptService(kernel, balancer, overflow))
    kernel.add(
        "calls",
        CallService(
            kernel,
            ingress_address=settings.ingress_address,
            relay_address=settings.relay_address,
            stop_timeout=settings.stop_timeout,
        ),
    )
    kernel.add("upstreams", UpstreamService(kernel))
    kernel.add("announcements", AnnouncementService(kernel, settings.announce_address))


def _add_operators(kernel: Kernel, settings: DaemonSettings) -> None:
    kernel.add("observation", ObservationService(kernel))
    kernel.add("history", HistoryService(kernel))
    kernel.add("status", StatusService(kernel))
    kernel.add(
        "operators",
        OperatorService(kernel, settings.control_address, settings.control_token),
    )
