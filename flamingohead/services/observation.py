"""Comparison of services with the legacy scripts' output, in mode ``observe``.

The mode changes nothing.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.comparison import compare_legacy
from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.core.comparison import LegacyDifference, LegacyState
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

COMPARE_PERIOD_SECONDS = 5.0
MAX_SERVICES = 2000


@dataclass(frozen=True)
class ObservedService:
    """Describe the differences found for a service, as text."""

    service: str
    differences: tuple[str, ...]


class ObservationService:
    """Compare the output of the legacy scripts with the state of this daemon."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._states: dict[str, LegacyState] = {}
        self._differences: dict[str, tuple[LegacyDifference, ...]] = {}
        self._ticks = PeriodicTimer(self._compare_all)

    async def start(self) -> None:
        self._ticks.start(COMPARE_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self._ticks.stop()

    def update_state(self, state: LegacyState) -> list[LegacyDifference]:
        """Store the legacy scripts' output for a service; return its differences."""
        if state.service not in self._states and len(self._states) >= MAX_SERVICES:
            self._states.pop(next(iter(self._states)))
        self._states[state.service] = state
        self._compare(state)
        return list(self._differences[state.service])

    def describe(self) -> list[ObservedService]:
        """Return the differences of each compared service."""
        return [
            ObservedService(service, tuple(str(d) for d in differences))
            for service, differences in sorted(self._differences.items())
        ]

    def _compare_all(self) -> None:
        for state in self._states.values():
            self._compare(state)

    def _compare(self, state: LegacyState) -> None:
        snapshot = self._kernel.get("configuration").replica.snapshot
        members = self._kernel.get("gossip").membership.list_all()
        differences = tuple(compare_legacy(snapshot, members, state))
        metrics = self._kernel.get("metrics")
        metrics.count("observe.comparisons")
        metrics.set_gauge(f"observe.differences.{state.service}", len(differences))
        if differences != self._differences.get(state.service):
            for difference in differences:
                log_event(
                    logger,
                    Event.LEGACY_DIFFERENCE,
                    service=state.service,
                    difference=difference,
                )
        self._differences[state.service] = differences
