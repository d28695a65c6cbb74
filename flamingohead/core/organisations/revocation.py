"""Proof that the configuration in force on a daemon was the newest one.

A key may be withdrawn while a host is cut off, or while the store rejects it. A daemon
therefore accepts a key only while it holds a recent confirmation: the statement that,
at some time, the store contained no version newer than a certain one. It is valid for
every daemon whose active version is at least that one.

All times are seconds on a clock that also advances while the process or the machine is
suspended.
"""

from __future__ import annotations

import copy
import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from flamingohead.core.members import Member

# Share of the revocation timeout for which a confirmation counts. The rest is a margin
# for differences in clock rates; ages are never underestimated otherwise.
VALID_SHARE = 0.95
# Shares of that time after which other daemons are pinged for a confirmation, and after
# which the store is read. The usual age on a daemon that relies on a subscriber is
# below 2.1 s: a poll of 1.5 s and a check interval of 0.5 s.
PING_SHARE = 0.5
READ_SHARE = 0.7
PING_INTERVAL_SECONDS = 0.5
# The interval doubles while no read brings a confirmation: all daemons may lack one.
READ_INTERVAL_SECONDS = 1.0
MAX_READ_INTERVAL_SECONDS = 8.0
# A configuration takes effect within this time. With a confirmation younger than that,
# no configuration that has to be in force contains a key that this daemon lacks.
IN_FORCE_SECONDS = 2.5
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
# Lifetime of a confirmation where keys need none; it is then only used for denials.
UNLIMITED_SECONDS = 60.0
# Confirmations for versions that this daemon doesn't have yet; a burst of changes has
# about two versions per second.
MAX_CONFIRMATIONS = 8
# A daemon sends about ten pings per second, and their acknowledgements count for 5 s.
MAX_PENDING_PINGS = 256
# The wait that a store ends a long poll after may be exceeded by this much; a response
# that took longer was delayed and may have been created earlier.
MAX_POLL_DELAY_SECONDS = 0.5
# A store that rounds its timers may end a poll this much earlier.
POLL_TOLERANCE_SECONDS = 0.05


def estimate_creation(
    sent_at: float, received_at: float, *, wait: float, changed: bool
) -> float:
    """Return a time at which a response of the store was created, or an earlier one.

    The store ends a long poll without a change after ``wait`` seconds, so such a
    response was created that long after the request. A response that came earlier, or
    was delayed, only confirms the time of the request.
    """
    earliest = wait - POLL_TOLERANCE_SECONDS
    latest = wait + MAX_POLL_DELAY_SECONDS
    if changed or not 0 < earliest <= received_at - sent_at <= latest:
        return sent_at
    return sent_at + earliest


class ConfirmationLog:
    """Keep the latest confirmation for each version that may become active."""

    def __init__(self) -> None:
        # Ordered by version; a later version always has a later time.
        self._confirmations: list[tuple[int, float]] = []

    def add(self, version: int, at: float) -> None:
        """Record that no version newer than ``version`` existed at time ``at``."""
        known = self._confirmations
        if any(v <= version and t >= at for v, t in known):
            return
        known = [(v, t) for v, t in known if v < version or t > at]
        known.append((version, at))
        known.sort()
        if len(known) > MAX_CONFIRMATIONS:
            # The lowest may be valid now, and the highest will be valid longest.
            del known[1]
        self._confirmations = known

    def find(self, version: int) -> float | None:
        """Return the latest time at which the given version was the newest one."""
        valid = [entry for entry in self._confirmations if entry[0] <= version]
        if not valid:
            return None
        # Active versions never decrease, so that older entries are not needed again.
        self._confirmations = self._confirmations[len(valid) - 1 :]
        return valid[-1][1]


class DocumentContent(Enum):
    """Compare a document of the store with the configuration in force."""

    # In force, or in force earlier and returned by a store restored from a backup.
    APPLIED = "applied"
    # Invalid, so that the previous configuration stays in force on every daemon.
    REJECTED = "rejected"
    # Its version has other content here, or was never in force here.
    DIFFERENT = "different"


class StoreDocument:
    """Decide which version a response of the store confirms.

    A rejected document is not a configuration and confirms the version before it, but
    only if no version between them may have been missed: its number must follow that of
    the active version or of another rejected document.
    """

    def __init__(self) -> None:
        self._position = (0, 0)
        self._last_rejected = 0
        self.content = DocumentContent.DIFFERENT
        # The confirmed version, or ``None`` if responses confirm none.
        self.confirmed_version: int | None = None

    def record(
        self,
        position: tuple[int, int],
        version: int | None,
        content: DocumentContent,
        *,
        active_version: int,
    ) -> None:
        """Process the document at a position (era and number) of the store.

        ``version`` is ``None`` if it can't be read from the document.
        """
        if position < self._position:
            return
        self._position = position
        self.content = content
        if content is DocumentContent.APPLIED:
            self.confirmed_version = version
        elif content is DocumentContent.REJECTED and self._follows(
            version, active_version
        ):
            self._last_rejected = version
            self.confirmed_version = active_version
        else:
            self.confirmed_version = None

    def _follows(self, version: int | None, active_version: int) -> bool:
        if version is None or not active_version:
            return False
        newest = max(active_version, self._last_rejected)
        return version == newest + 1 or version == self._last_rejected > active_version


@dataclass(frozen=True)
class RefreshActions:
    """State what to do to get a younger confirmation."""

    pings_peer: bool = False
    reads_store: bool = False


class Revocation:
    """Decide whether keys are accepted, and how to obtain confirmations.

    Without a ``timeout`` keys need no confirmation.
    """

    def __init__(self, timeout: float | None, now: float) -> None:
        self._is_strict = timeout is not None
        self._lifetime = UNLIMITED_SECONDS if timeout is None else timeout * VALID_SHARE
        self._started_at = now
        self._confirmations = ConfirmationLog()
        self._pings: OrderedDict[int, float] = OrderedDict()
        self._next_ping_at = now
        self._next_read_at = now
        self._read_interval = READ_INTERVAL_SECONDS

    def restart(self, now: float) -> None:
        """Record that confirmations were not needed until now.

        They may be missing at first, but that is no outage.
        """
        self._started_at = now

    # Confirmations

    def record_response(self, version: int, created_at: float) -> None:
        """Record a response of the store that confirms a version."""
        self._confirmations.add(version, created_at)

    def record_ping(self, sequence: int, now: float) -> None:
        """Record the first sending of a ping."""
        if sequence in self._pings:
            return
        self._pings[sequence] = now
        if len(self._pings) > MAX_PENDING_PINGS:
            self._pings.popitem(last=False)

    def record_acknowledgement(
        self, sequence: int, version: int, age_ms: int, now: float
    ) -> bool:
        """Record the age that a peer reports; return whether its ping is known.

        The age counts from the time of the ping, so that a delayed or repeated datagram
        can't make it look more recent.
        """
        pinged_at = self._pings.get(sequence)
        if pinged_at is None or age_ms <= 0 or pinged_at > now:
            return False
        self._confirmations.add(version, pinged_at - (age_ms - 1) / 1000)
        return True

    def get_age(self, version: int, now: float) -> float:
        """Return the age of the confirmation of the active version, in seconds."""
        confirmed_at = self._confirmations.find(version)
        return math.inf if confirmed_at is None else max(0.0, now - confirmed_at)

    def encode_age(self, version: int, now: float) -> int:
        """Return the age in milliseconds plus 1 for an acknowledgement, or 0."""
        age = self.get_age(version, now)
        return math.ceil(age * 1000) + 1 if age < self._lifetime else 0

    # Decisions

    def copy(self) -> Revocation:
        """Return a copy whose decisions leave the confirmations held here as they are.

        It must not be used to record confirmations or to choose what to refresh.
        """
        view = copy.copy(self)
        view._confirmations = copy.copy(self._confirmations)
        return view

    def is_confirmed(self, version: int, now: float) -> bool:
        """Return whether the confirmation of the active version is recent enough."""
        return not self._is_strict or self.get_age(version, now) < self._lifetime

    def check_key(self, version: int, now: float) -> float | None:
        """Return ``None`` if keys are accepted, else seconds until a retry."""
        if self.is_confirmed(version, now):
            return None
        return self._estimate_retry(version, now, self._lifetime)

    def check_denial(self, version: int, now: float) -> float | None:
        """Return ``None`` if an unknown key may be denied, else seconds until a retry.

        It may be denied if a newer configuration, which may contain the key, need not
        be in force yet.
        """
        if self.get_age(version, now) < IN_FORCE_SECONDS:
            return None
        return self._estimate_retry(version, now, IN_FORCE_SECONDS)

    def _estimate_retry(self, version: int, now: float, lifetime: float) -> float:
        """Return a delay as long as the confirmation has been missing, within bounds.

        The end of an outage can't be known; its expected rest is as long as it lasted.
        """
        confirmed_at = self._confirmations.find(version)
        missing_since = (
            self._started_at if confirmed_at is None else confirmed_at + lifetime
        )
        return min(max(now - missing_since, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def choose_refresh(
        self, version: int, now: float, *, polls_store: bool
    ) -> RefreshActions:
        """Return what to do now; with ``polls_store`` the store is polled anyway."""
        if not self._is_strict:
            return RefreshActions()
        age = self.get_age(version, now)
        pings = age >= PING_SHARE * self._lifetime and now >= self._next_ping_at
        if pings:
            self._next_ping_at = now + PING_INTERVAL_SECONDS
        needs_read = age >= READ_SHARE * self._lifetime
        if not needs_read:
            self._read_interval = READ_INTERVAL_SECONDS
        reads = needs_read and not polls_store and now >= self._next_read_at
        if reads:
            self._next_read_at = now + self._read_interval
            self._read_interval = min(
                2 * self._read_interval, MAX_READ_INTERVAL_SECONDS
            )
        return RefreshActions(pings, reads)


def choose_ping_target(
    members: Sequence[Member], failure_domain: str, random: Random
) -> Member | None:
    """Return a member to ping for a confirmation, or ``None`` if there is none.

    Members of other failure domains are preferred, since those of the same one have
    lost the same subscribers; but the links to all other domains may be cut. A random
    choice spreads the pings of many daemons.
    """
    remote = [m for m in members if m.failure_domain != failure_domain]
    if remote and random.random() < 0.75:
        return random.choice(remote)
    return random.choice(members) if members else None
