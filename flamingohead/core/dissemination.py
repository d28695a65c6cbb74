"""Spreading of accepted versions to the daemons of a failure domain.

Each daemon polls the table at random, so that its failure domain as a whole polls
at a fixed rate. A daemon that takes a version pushes it to a few peers; versions
seen on other datagrams lead to a pull from the peer that is ahead.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.resources import Snapshot
from flamingohead.core.versions import Replica, VersionRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random


@dataclass(frozen=True)
class DisseminationSettings:
    """Set rates in 1/s, periods in seconds and the number of peers pushed to."""

    domain_poll_rate: float = 4.0
    minimum_poll_period: float = 0.25
    pull_timeout: float = 2.0
    push_fanout: int = 3


@dataclass(frozen=True)
class ReadTable:
    """Read the log records after ``version`` from the table."""

    version: int


@dataclass(frozen=True)
class PullFromPeer:
    """Pull the records after ``version`` from the peer at ``address``."""

    address: str
    version: int


@dataclass(frozen=True)
class PushRecord:
    """Push a record to ``fanout`` random peers."""

    record: VersionRecord
    fanout: int


@dataclass(frozen=True)
class ActivateSnapshot:
    """Put a snapshot in force."""

    snapshot: Snapshot


@dataclass(frozen=True)
class ReportRejected:
    """Report a version that this daemon could not take."""

    version: int
    refusal: Refusal


DisseminationEffect = (
    ReadTable | PullFromPeer | PushRecord | ActivateSnapshot | ReportRejected
)


class Dissemination:
    """Decide when to poll, pull and push; times are monotonic seconds."""

    def __init__(
        self,
        replica: Replica,
        *,
        random: Random,
        settings: DisseminationSettings = DisseminationSettings(),
    ) -> None:
        self.replica = replica
        self._random = random
        self._settings = settings
        self._next_poll_at = 0.0
        self._pull_expires_at = 0.0
        self._pulling = False

    def tick(self, now: float, *, members: int) -> list[DisseminationEffect]:
        """Poll the table when due; ``members`` counts the failure domain."""
        if now < self._next_poll_at:
            return []
        mean = max(
            members / self._settings.domain_poll_rate,
            self._settings.minimum_poll_period,
        )
        self._next_poll_at = now + self._random.uniform(0.5, 1.5) * mean
        return [ReadTable(self.replica.version)]

    def receive_peer_version(
        self, address: str, version: int, now: float
    ) -> list[DisseminationEffect]:
        """Pull from a peer that holds a newer version."""
        if version <= self.replica.version:
            return []
        if self._pulling and now < self._pull_expires_at:
            return []
        self._pulling = True
        self._pull_expires_at = now + self._settings.pull_timeout
        return [PullFromPeer(address, self.replica.version)]

    def receive_records(
        self, records: Iterable[VersionRecord], now: float
    ) -> list[DisseminationEffect]:
        """Take records in order, from the table or a peer."""
        effects: list[DisseminationEffect] = []
        newest: VersionRecord | None = None
        for record in records:
            result = self.replica.take_record(record)
            if isinstance(result, Refusal):
                effects.append(ReportRejected(record.version, result))
                break
            if result is not None:
                newest = record
        if newest is not None:
            effects.append(ActivateSnapshot(self.replica.snapshot))
            effects.append(PushRecord(newest, self._settings.push_fanout))
        return effects

    def receive_snapshot(
        self, snapshot: Snapshot, digest: bytes, now: float
    ) -> list[DisseminationEffect]:
        """Take a whole snapshot from a peer or from the object store."""
        held = self.replica.version
        result = self.replica.take_snapshot(snapshot, digest)
        if isinstance(result, Refusal):
            return [ReportRejected(snapshot.version, result)]
        if result.version == held:
            return []
        return [ActivateSnapshot(result)]

    def finish_pull(self) -> None:
        """Note that the pull in progress ended, with or without success."""
        self._pulling = False
