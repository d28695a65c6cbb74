"""Eras of a store that may be restored from a backup.

A restored store has lost the writes that it acknowledged after the backup, and assigns
their version numbers a second time. It therefore starts a new era and includes the era
in each response. A version number identifies the same rows only within one era, and
each daemon has to repeat its own earlier writes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class StoreVersion:
    """Identify a version of the store; numbers are only unique within an era."""

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> StoreVersion:
        """Parse the result of ``str``; raise ``ValueError`` if ``text`` is invalid."""
        era, _, number = text.partition(".")
        return cls(int(era), int(number))


class EraChange(Enum):
    """Classify the era of a response relative to the newest known era."""

    NONE = "none"
    # The store was restored from a backup after its previous response.
    RESTORED = "restored"
    # The response is from an earlier era and arrived after a response from a newer one.
    STALE = "past"


class StoreEras:
    """Track the newest known era of the store; 0 while none is known."""

    def __init__(self) -> None:
        self.current = 0

    def observe_era(self, era: int) -> EraChange:
        """Process the era of a response or one reported by another daemon."""
        known = self.current
        if era < known:
            return EraChange.STALE
        self.current = era
        # The first era that a daemon observes does not show that its writes were lost.
        return EraChange.RESTORED if 0 < known < era else EraChange.NONE
