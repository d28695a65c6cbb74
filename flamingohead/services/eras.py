"""The era of the platform's store, from its responses and from other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from flamingohead.core.eras import EraChange, StoreEras
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)


class EraService:
    """Track the era of the store, and notify listeners after the store is restored."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._eras = StoreEras()
        # Called after the store was restored from an earlier copy.
        self.listeners: list[Callable[[], None]] = []

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    @property
    def current(self) -> int:
        """Return the newest known era; 0 if none is known."""
        return self._eras.current

    def observe_era(self, era: int, source: str) -> EraChange:
        """Compare an era reported by ``source`` with the newest known one."""
        previous_era = self.current
        change = self._eras.observe_era(era)
        if self.current != previous_era:
            self._kernel.get("gossip").membership.set_store_era(self.current)
        if change is EraChange.RESTORED:
            self._kernel.get("metrics").count("store.restored")
            log_event(
                logger,
                Event.STORE_RESTORED,
                era=era,
                before=previous_era,
                source=source,
            )
            for listener in self.listeners:
                listener()
        return change
