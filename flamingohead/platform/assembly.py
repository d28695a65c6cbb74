"""Assembly of the services of a daemon on the platform's hosts."""

from __future__ import annotations

import random
import resource
from typing import TYPE_CHECKING

from flamingohead.core.bootstrap import BootstrapSettings
from flamingohead.core.dissemination import Dissemination, DisseminationSettings
from flamingohead.core.following import derive_timeouts
from flamingohead.core.membership import MembershipSettings
from flamingohead.core.memory import (
    compute_budget,
    compute_connection_limits,
    compute_endpoint_connections,
    compute_peer_connections,
)
from flamingohead.core.organisations.allocation import QuotaTolerance
from flamingohead.core.placement import Placement
from flamingohead.core.retries import SharedBudgetSettings, SharedRetryBudget
from flamingohead.core.upstreams import UpstreamSettings
from flamingohead.core.versions import Replica
from flamingohead.mesh import add_bootstrap, add_mesh
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.platform.endpoints import InstanceEndpoint, ReadyEndpoint
from flamingohead.platform.feed import ConfigurationFeed
from flamingohead.platform.probe import UpstreamProbe
from flamingohead.platform.store import StoreClient
from flamingohead.platform.tables import StoreObjects, StoreTable
from flamingohead.platform.watch import SettingsWatcher
from flamingohead.services.arrivals import ArrivalService
from flamingohead.services.calls import CallService
from flamingohead.services.configuration import ConfigurationService
from flamingohead.services.departures import DepartureService
from flamingohead.services.eras import EraService
from flamingohead.services.group_attempts import GroupAttemptService
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.loop_lag import LoopLagService
from flamingohead.services.metrics import MetricsService
from flamingohead.services.metrics_page import MetricsPage
from flamingohead.services.quotas import QuotaService
from flamingohead.services.revocation import RevocationService
from flamingohead.services.slots import SlotService
from flamingohead.services.subscription import SubscriptionService
from flamingohead.services.upstreams import UpstreamService

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.platform.boot import HostSettings

# Heartbeat periods after which an announcement expires. Heartbeats of a healthy
# upstream may be delayed by seconds.
MAX_MISSED_HEARTBEATS = 5
# The platform stops sending new callers after two failed readiness checks, 1 s apart.
SETTLE_SECONDS = 2.2
# Part of the stop timeout that is reserved for the exit of the process.
STOP_MARGIN_SECONDS = 0.5
# A timer on a slow host may fire this late, and the request still has to arrive.
DRAIN_MARGIN_SECONDS = 0.5
# Shorter delays than the defaults: a restarted daemon must find its peers within 1 to
# 2 s.
BOOTSTRAP_SETTINGS = BootstrapSettings(
    spread=0.05,
    initial_backoff=0.3,
    maximum_backoff=2.0,
    first_row_spread=3.0,
    unknown_rows_wait=2.0,
    row_period=15.0,
    row_read_rate=5.0,
    cleanup_spread=20.0,
)
# All daemons of a deployment form one membership group, in which each knows every
# other, because a request may be served in any failure domain.
MEMBERSHIP_GROUP = "mesh"
# After a network partition, failure domains reconnect within 1 to 2 s.
MEMBERSHIP_SETTINGS = MembershipSettings(dead_probe_period=1.0)
# ``pull_delay`` is longer than the interval between requests to the store in a burst of
# changes. One daemon sends each change to all others of its failure domain, so that
# receivers do not forward it.
DISSEMINATION_SETTINGS = DisseminationSettings(
    polls_table=False, pull_delay=1.0, pull_interval=1.0, push_fanout=0
)


def add_services(kernel: Kernel, settings: HostSettings, path: str) -> None:
    """Add every service of a daemon; ``path`` is the path of its settings file."""
    generator = random.Random()
    kernel.add("metrics", MetricsService())
    kernel.add("loop_lag", LoopLagService(kernel))
    link_mbps = round(settings.link_mbps)
    kernel.add("http_client", HttpClientService(link_mbps=link_mbps))
    kernel.add("eras", EraService(kernel))
    store = StoreClient(kernel, settings.store_address)
    kernel.add("store", store)
    kernel.add("table", StoreTable(store))
    kernel.add("objects", StoreObjects(store))
    add_mesh(
        kernel,
        settings,
        generator,
        group=MEMBERSHIP_GROUP,
        capacity=settings.capacity,
        link_mbps=link_mbps,
        max_peer_connections=compute_peer_connections(
            _read_max_descriptors(settings.max_descriptors)
        ),
        settings=MEMBERSHIP_SETTINGS,
    )
    _add_request_services(kernel, settings, generator)
    add_bootstrap(kernel, settings, generator, settings=BOOTSTRAP_SETTINGS)
    max_connections = _compute_endpoint_connections(settings)
    kernel.add(
        "ready",
        ReadyEndpoint(kernel, settings.ready_address, max_connections=max_connections),
    )
    if settings.metrics_address:
        page = MetricsPage(
            kernel, settings.metrics_address, max_connections=max_connections
        )
        kernel.add("metrics_page", page)
    kernel.add("watch", SettingsWatcher(kernel, settings, path))


def _read_max_descriptors(setting: int) -> int:
    """Return the limit of the settings or of the process, the lower one."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [n for n in (setting, limit) if n not in (0, resource.RLIM_INFINITY)]
    return min(known, default=0)


def _compute_endpoint_connections(settings: HostSettings) -> int:
    return compute_endpoint_connections(_read_max_descriptors(settings.max_descriptors))


def _add_request_services(
    kernel: Kernel, settings: HostSettings, generator: random.Random
) -> None:
    dissemination = Dissemination(
        Replica(), random=generator, settings=DISSEMINATION_SETTINGS
    )
    placement = Placement(settings.failure_domain, random=generator)
    budget = SharedRetryBudget(
        SharedBudgetSettings(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )
    )
    drain_timeout = settings.drain_timeout - DRAIN_MARGIN_SECONDS
    slots = SlotService(
        kernel,
        PLATFORM_DIALECT,
        drain_timeout=drain_timeout,
        adapts_limits=settings.adapts_limits,
    )
    kernel.add("slots", slots)
    kernel.add("configuration", ConfigurationService(kernel, dissemination))
    # Stopped after the calls: until then, other daemons rely on what a subscriber
    # follows, and callers of this host on its configuration.
    kernel.add("subscription", SubscriptionService(kernel))
    kernel.add("revocation", RevocationService(kernel, settings.revocation_timeout))
    kernel.add(
        "feed", ConfigurationFeed(kernel, derive_timeouts(settings.settle_seconds))
    )
    kernel.add("attempts", GroupAttemptService(kernel, placement, budget))
    tolerance = QuotaTolerance(
        settings.quota_window, settings.quota_overage, settings.quota_slack
    )
    kernel.add("quotas", QuotaService(kernel, settings.host_id, tolerance))
    kernel.add(
        "calls",
        CallService(
            kernel,
            ingress_address=settings.ingress_address,
            relay_address=settings.relay_address,
            stop_timeout=settings.stop_timeout - STOP_MARGIN_SECONDS,
            settle_seconds=SETTLE_SECONDS,
            steps_back=True,
            dialect=PLATFORM_DIALECT,
            own_service=settings.service,
            budget_bytes=compute_budget(settings.memory_bytes),
            connection_limits=compute_connection_limits(
                _read_max_descriptors(settings.max_descriptors)
            ),
        ),
    )
    lifetime = MAX_MISSED_HEARTBEATS * settings.announcement_period
    upstreams = UpstreamService(kernel, UpstreamSettings(lifetime=lifetime))
    kernel.add("upstreams", upstreams)
    kernel.add("departures", DepartureService(kernel, settings.host_id))
    probe = UpstreamProbe(kernel, settings)
    kernel.add("arrivals", ArrivalService(kernel, probe, delay=lifetime))
    endpoint = InstanceEndpoint(
        kernel,
        settings.announce_address,
        max_connections=_compute_endpoint_connections(settings),
    )
    kernel.add("announcements", endpoint)
