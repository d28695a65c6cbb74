"""The era of the platform's store, as its answers and other daemons tell it."""

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
    """Notify the services that wrote to the store when it came back from a copy."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._eras = StoreEras()
        # Called after the store came back from an earlier copy.
        self.listeners: list[Callable[[], None]] = []

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    @property
    def current(self) -> int:
        """Return the newest era known; 0 while none is."""
        return self._eras.current

    def note(self, era: int, source: str) -> EraChange:
        """Take an era that ``source`` told of."""
        before = self.current
        change = self._eras.note(era)
        if self.current != before:
            self._kernel.get("gossip").membership.set_store_era(self.current)
        if change is EraChange.RESTORED:
            self._kernel.get("metrics").count("store.restored")
            log_event(
                logger, Event.STORE_RESTORED, era=era, before=before, source=source
            )
            for listener in self.listeners:
                listener()
        return change
