"""Parts of a run that its seed chooses, and the organisations of its callers."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.records import Records

# Keys are added and withdrawn, with strict revocation.
KEYS = "keys"
# Two organisations have limits, and one of them sends more than its limit.
LIMITS = "limits"
# Upstreams differ in speed, and never answer what they can't queue.
UNEVEN = "uneven"
PART_SHARE = 0.75
# Earlier seeds were first run without these parts, and keep their faults.
FIRST_SEED_WITH_PARTS = 43001

# Share of the versions that withdraw a key.
WITHDRAWAL_SHARE = 0.7
INITIAL_ROTATING_KEYS = 3
MAX_ROTATING_KEYS = 5
FLOODING = "flooding"
CALM = "calm"
FLOODING_KEY = f"key-of-{FLOODING}"
# Callers choose among these keys, that of ``CALM`` and the rotating ones. With a single
# steady key, ``CALM`` sent 104 requests a second, which is beyond its limit.
STEADY_KEYS = [f"steady-key-{number}" for number in range(5)]
LIMITED = (
    {"name": FLOODING, "api-keys": [FLOODING_KEY], "rate-per-s": 20, "burst": 10},
    {"name": CALM, "api-keys": [f"key-of-{CALM}"], "rate-per-s": 80, "burst": 50},
)


def choose_parts(seed: int) -> frozenset[str]:
    """Return the parts that the run of a seed has beside its faults and callers."""
    if seed < FIRST_SEED_WITH_PARTS:
        return frozenset()
    random = Random(f"{seed}/parts")
    return frozenset(
        part for part in (KEYS, LIMITS, UNEVEN) if random.random() < PART_SHARE
    )


@dataclass
class KeyHistory:
    """Hold what configurations said of a key; times are monotonic seconds.

    ``removed_at`` is when the first configuration without the key was sent to the
    store, and ``withdrawn_at`` when the store acknowledged it.
    """

    organisation: str
    is_initial: bool = False
    removed_at: float | None = None
    withdrawn_at: float | None = None


class Organisations:
    """Choose the organisations of each configuration, and the keys of requests."""

    def __init__(self, records: Records, parts: frozenset[str], seed: int) -> None:
        self._records = records
        self._parts = parts
        # A generator of its own, so that a seed chooses the same faults.
        self._random = Random(f"{seed}/organisations")
        self._numbers = itertools.count(1)
        self._rotating: list[str] = []
        # Keys that callers use, all of them contained in the newest configuration.
        self.usable: tuple[str, ...] = ()

    def change(self, now: float, withdraws_key: bool) -> list[dict[str, object]]:
        """Return the organisations of the next configuration, which is sent ``now``."""
        keys = self._records.keys
        is_first = not keys
        if is_first:
            for key in STEADY_KEYS:
                self._add(key, "steady", is_initial=True)
            if LIMITS in self._parts:
                for organisation in LIMITED:
                    (key,) = organisation["api-keys"]
                    self._add(key, organisation["name"], is_initial=True)
        if KEYS in self._parts:
            self._rotate(now, withdraws_key, is_first=is_first)
        # Callers stop to use a key before the store is told, and begin afterwards.
        self.usable = tuple(key for key in self.usable if keys[key].removed_at is None)
        names = {keys[key].organisation for key in self._rotating}
        organisations = [{"name": "steady", "api-keys": STEADY_KEYS}]
        organisations += LIMITED if LIMITS in self._parts else ()
        for name in sorted(names):
            own = [key for key in self._rotating if keys[key].organisation == name]
            organisations.append({"name": name, "api-keys": own})
        return organisations

    def acknowledge(self, now: float) -> None:
        """Record that the store acknowledged the configuration of ``change``."""
        for history in list(self._records.keys.values()):
            if history.removed_at is not None and history.withdrawn_at is None:
                history.withdrawn_at = now
        self.usable = tuple(
            key
            for key, history in self._records.keys.items()
            if history.removed_at is None and key != FLOODING_KEY
        )

    def rewrite(self, backed_up: tuple[str, ...], now: float) -> None:
        """Record that a store that had gone back to a backup got the newest version."""
        for key in backed_up:
            if self._records.keys[key].withdrawn_at is not None:
                self._records.keys[key].withdrawn_at = now

    def _add(self, key: str, organisation: str, *, is_initial: bool) -> None:
        self._records.keys[key] = KeyHistory(organisation, is_initial)

    def _rotate(self, now: float, withdraws_key: bool, *, is_first: bool) -> None:
        """Withdraw at most one key; without keys an organisation is left out."""
        withdraws_key = withdraws_key or self._random.random() < WITHDRAWAL_SHARE
        if withdraws_key and not is_first:
            key = self._rotating.pop(self._random.randrange(len(self._rotating)))
            self._records.keys[key].removed_at = now
        minimum = INITIAL_ROTATING_KEYS if is_first else 1
        while len(self._rotating) < minimum or (
            len(self._rotating) < MAX_ROTATING_KEYS and self._random.random() < 0.5
        ):
            number = next(self._numbers)
            organisation = self._random.choice(("rotating", f"guest-{number}"))
            self._rotating.append(f"key-{number}")
            self._add(f"key-{number}", organisation, is_initial=is_first)
