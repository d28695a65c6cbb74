"""Eras of a store that may come back from an earlier copy of itself.

A store that comes back so has lost the newest of what it acknowledged, and gives out
the numbers of its versions a second time. It begins a new era, and states the era in
each answer. A version stands for the same rows only within one era, and what a daemon
wrote before is its own to write again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class StoreVersion:
    """Locate a version of the store; its number means another one in each era."""

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> StoreVersion:
        """Return the version that ``str`` has written; raise ``ValueError``."""
        era, _, number = text.partition(".")
        return cls(int(era), int(number))


class EraChange(Enum):
    """Tell how the era of an answer relates to the newest one known."""

    NONE = "none"
    # The store came back from a copy since its last answer.
    RESTORED = "restored"
    # The answer was given before that, and arrived after it.
    PAST = "past"


class StoreEras:
    """Keep the newest era that the store is known to be in; 0 while none is."""

    def __init__(self) -> None:
        self.current = 0

    def note(self, era: int) -> EraChange:
        """Take the era of an answer, or one that another daemon knows of."""
        known = self.current
        if era < known:
            return EraChange.PAST
        self.current = era
        # The first era that a daemon learns says nothing of what it wrote.
        return EraChange.RESTORED if 0 < known < era else EraChange.NONE
