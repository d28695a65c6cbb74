"""Reports of requests and connections that were dropped to free memory."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from flamingohead.core.memory import Relief
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.core.memory import ByteBudget
    from flamingohead.services.metrics import MetricsService

logger = logging.getLogger(__name__)

RELIEF_EVENTS = {
    Relief.REQUEST_REFUSED: Event.REQUEST_REFUSED_FOR_MEMORY,
    Relief.CONNECTION_CLOSED: Event.CONNECTION_CLOSED_FOR_MEMORY,
    Relief.CONNECTION_REPLACED: Event.CONNECTION_REPLACED,
}


def report_relief(
    metrics: MetricsService, budget: ByteBudget | None, relief: Relief, size: int
) -> None:
    """Count and log what was done; ``size`` is what the connection held, in bytes."""
    if relief is Relief.REQUEST_REFUSED:
        metrics.count("memory.refused")
    elif relief is Relief.CONNECTION_CLOSED:
        metrics.count("memory.closed")
    else:
        metrics.count("connections.replaced")
    log_event(
        logger,
        RELIEF_EVENTS[relief],
        connection_bytes=size,
        held_bytes=0 if budget is None else budget.reserved_bytes,
    )
