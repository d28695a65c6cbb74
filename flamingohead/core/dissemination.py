"""Dissemination of accepted versions to the daemons of a failure domain.

Each daemon polls the table at random intervals, such that its failure domain as a whole
polls at a fixed rate. A daemon that applies a new version pushes it to a few peers. If
a datagram shows that a peer has a newer version, the daemon pulls it from that peer.

If the source announces each change itself, a daemon that was notified of a version but
can't build it from the notification pulls it immediately from the daemon that sent it.
A pull without a new version is followed by a read of the source.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal
from flamingohead.core.readiness import SAMPLE_SIZE, Readiness
from flamingohead.core.rejections import RejectionLog
from flamingohead.core.resources import Snapshot
from flamingohead.core.versions import Replica, VersionRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random


@dataclass(frozen=True)
class DisseminationSettings:
    """Configure rates in 1/s, periods in seconds and the number of peers to push to.

    Another pull may begin ``pull_interval`` after one whose reply is still awaited.

    Without ``polls_table``, the configuration comes from a source that announces each
    change itself. While that source responds, newer versions are pulled from peers only
    after ``pull_delay``, or after ``subscriber_pull_delay`` by a daemon that relies on
    other daemons to follow the source. Such a daemon reads the source at most once per
    ``read_period``.
    """

    domain_poll_rate: float = 4.0
    minimum_poll_period: float = 0.25
    first_poll_spread: float = 2.0
    unready_poll_period: float = 5.0
    pull_interval: float = 2.0
    sample_period: float = 2.0
    push_fanout: int = 3
    polls_table: bool = True
    pull_delay: float = 0.0
    subscriber_pull_delay: float = 0.6
    read_period: float = 1.0


@dataclass(frozen=True)
class ReadTable:
    """Read the log records after ``version`` from the table."""

    version: int


@dataclass(frozen=True)
class ReadSource:
    """Read the newest version from the source once."""


@dataclass(frozen=True)
class PullFromPeer:
    """Pull the records after ``version`` from the peer at ``address``."""

    address: str
    version: int


@dataclass(frozen=True)
class QueryPeers:
    """Query ``count`` random peers for their versions."""

    count: int


@dataclass(frozen=True)
class PushRecord:
    """Push a record to ``fanout`` random peers."""

    record: VersionRecord
    fanout: int


@dataclass(frozen=True)
class ActivateSnapshot:
    """Activate a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True)
class BecomeReady:
    """Mark the daemon as ready to serve callers."""


@dataclass(frozen=True)
class ReportRejection:
    """Report a version that could not be applied, once per reason."""

    version: int
    refusal: Refusal


@dataclass(frozen=True)
class _PeerVersion:
    """Identify a peer that has a newer version, and that version."""

    address: str
    version: int


DisseminationEffect = (
    ReadTable
    | ReadSource
    | PullFromPeer
    | QueryPeers
    | PushRecord
    | ActivateSnapshot
    | BecomeReady
    | ReportRejection
)


class Dissemination:
    """Schedule polls, pulls and pushes; times are monotonic seconds."""

    def __init__(
        self,
        replica: Replica,
        *,
        random: Random,
        settings: DisseminationSettings = DisseminationSettings(),
    ) -> None:
        self.replica = replica
        self.readiness = Readiness()
        self.rejections = RejectionLog()
        self.follows_source = True
        self._random = random
        self._settings = settings
        self._next_poll_at: float | None = None
        self._next_sample_at = 0.0
        self._next_pull_at = 0.0
        self._next_read_at = 0.0
        self._members = 1
        self._is_source_current = False
        self._behind_since: float | None = None
        # When a newer version was first heard of, and the longest time from then until
        # the replica was updated.
        self._heard_at: float | None = None
        self.longest_behind = 0.0
        # The newest version that was announced but could not be built yet.
        self._announced: _PeerVersion | None = None
        self._pulled_from_version: int | None = None
        self._last_pull_failed = False

    def tick(self, now: float, *, members: int) -> list[DisseminationEffect]:
        """Poll the table if due; ``members`` is the size of the failure domain."""
        self._members = members
        effects = self._poll_table(now)
        if not self.readiness.is_ready:
            effects += self._query_peers(now)
            effects += self._update_readiness(now)
        return effects

    def receive_peer_version(
        self, address: str, version: int, now: float
    ) -> list[DisseminationEffect]:
        """Process the version of a peer; pull it if it is newer."""
        effects: list[DisseminationEffect] = []
        if not self.readiness.is_ready:
            self.readiness.receive_peer_version(address, version, now)
            effects += self._update_readiness(now)
        if version <= self.replica.version:
            return effects
        self._record_newer(now)
        if self._should_await_source(now):
            return effects
        return [*effects, *self._request_version(_PeerVersion(address, version), now)]

    def _record_newer(self, now: float) -> None:
        """Record that a version newer than the replica is heard of."""
        if self._heard_at is None:
            self._heard_at = now

    @property
    def _relies_on_subscribers(self) -> bool:
        """Return whether the source responds and others follow it for this daemon."""
        return self._is_source_current and not self.follows_source

    def _request_version(
        self, candidate: _PeerVersion, now: float
    ) -> list[DisseminationEffect]:
        """Pull a newer version from a peer, or read the source after a failed pull."""
        if self.rejections.is_postponed(candidate.version, now):
            return []
        if self._relies_on_subscribers and not (
            candidate.address and self.readiness.is_ready
        ):
            # The version of a peer is not necessarily the newest one.
            return self._read_source(now)
        if (
            self._relies_on_subscribers
            and self._last_pull_failed
            and now >= self._next_read_at
        ):
            return self._read_source(now)
        if now < self._next_pull_at or not candidate.address:
            return []
        self._next_pull_at = now + self._settings.pull_interval
        self._pulled_from_version = self.replica.version
        return [PullFromPeer(candidate.address, self.replica.version)]

    def _should_await_source(self, now: float) -> bool:
        """Return whether the source is likely to deliver the newer version itself."""
        if self._behind_since is None:
            self._behind_since = now
        delay = self._settings.pull_delay
        if not self.follows_source:
            delay = self._settings.subscriber_pull_delay
        deadline = self._behind_since + delay
        return self._is_source_current and now < deadline

    def _read_source(self, now: float) -> list[DisseminationEffect]:
        if now < self._next_read_at:
            return []
        self._next_read_at = now + self._settings.read_period
        self._last_pull_failed = False
        return [ReadSource()]

    def receive_records(
        self, records: Iterable[VersionRecord], now: float, *, sender: str = ""
    ) -> list[DisseminationEffect]:
        """Apply records in order, from the table or the peer at address ``sender``."""
        effects: list[DisseminationEffect] = []
        newest: VersionRecord | None = None
        for record in records:
            result = self.replica.apply_record(record)
            if isinstance(result, Refusal):
                effects += self.report_rejected(record.version, result, now)
                break
            if result is not None:
                newest = record
            elif record.base_version and record.version > self.replica.version:
                # The change is too large for a notification, or an earlier change was
                # missed.
                self._announced = _PeerVersion(sender, record.version)
                self._record_newer(now)
                effects += self._request_version(self._announced, now)
        if newest is not None:
            effects += self._activate(now)
            if self._settings.push_fanout:
                effects.append(PushRecord(newest, self._settings.push_fanout))
        return effects

    def receive_snapshot(
        self, snapshot: Snapshot, digest: bytes | None, now: float
    ) -> list[DisseminationEffect]:
        """Apply a full snapshot from a peer, the object store or the source."""
        previous_version = self.replica.version
        result = self.replica.apply_snapshot(snapshot, digest)
        if isinstance(result, Refusal):
            return self.report_rejected(snapshot.version, result, now)
        if result.version == previous_version:
            return []
        return self._activate(now)

    def report_rejected(
        self, version: int, refusal: Refusal, now: float
    ) -> list[DisseminationEffect]:
        """Record a version that can't be applied, unless it is outdated by now."""
        if version <= self.replica.version:
            return []
        if not self.rejections.add(version, refusal, now):
            return []
        return [ReportRejection(version, refusal)]

    def postpone_poll(self, until: float) -> None:
        """Postpone the next poll of the table to time ``until``."""
        self._next_poll_at = until

    def record_pull_end(
        self, now: float, retry_at: float | None = None
    ) -> list[DisseminationEffect]:
        """Record the end of a pull; ``retry_at`` is set if the peer refused it for now.

        A version that was announced during the pull is requested immediately.
        """
        self._next_pull_at = now if retry_at is None else retry_at
        self._last_pull_failed = self.replica.version == self._pulled_from_version
        if self._announced is None or self._announced.version <= self.replica.version:
            return []
        if not self._last_pull_failed:
            return self._request_version(self._announced, now)
        return self._read_source(now) if self._relies_on_subscribers else []

    def record_table_read(
        self, now: float, *, found: bool = True
    ) -> list[DisseminationEffect]:
        """Record a read of the table; ``found`` if it reached the end of the log."""
        was_ready = self.readiness.is_ready
        self._is_source_current = True
        if not found:
            return []
        self.readiness.record_table_read()
        return self._report_ready(was_ready)

    def record_table_failure(self, now: float) -> list[DisseminationEffect]:
        """Record that the table could not be read."""
        self._is_source_current = False
        if self.readiness.is_ready:
            return []
        self.readiness.record_table_failure(now)
        return self._update_readiness(now)

    def _poll_table(self, now: float) -> list[DisseminationEffect]:
        if not self._settings.polls_table:
            return []
        if self._next_poll_at is None:
            spread = self._settings.first_poll_spread
            self._next_poll_at = now + self._random.uniform(0, spread)
        if now < self._next_poll_at:
            return []
        self._next_poll_at = now + self._choose_poll_wait()
        return [ReadTable(self.replica.version)]

    def _choose_poll_wait(self) -> float:
        """Return seconds until the next poll, based on the poll rate of the domain."""
        mean = max(
            self._members / self._settings.domain_poll_rate,
            self._settings.minimum_poll_period,
        )
        if not self.readiness.is_ready:
            mean = min(mean, self._settings.unready_poll_period)
        return self._random.uniform(0.5, 1.5) * mean

    def _query_peers(self, now: float) -> list[DisseminationEffect]:
        if now < self._next_sample_at or self._members < 2:
            return []
        self._next_sample_at = now + self._settings.sample_period
        return [QueryPeers(SAMPLE_SIZE)]

    def _update_readiness(self, now: float) -> list[DisseminationEffect]:
        was_ready = self.readiness.is_ready
        self.readiness.update(self.replica.version, now, members=self._members)
        return self._report_ready(was_ready)

    def _report_ready(self, was_ready: bool) -> list[DisseminationEffect]:
        if was_ready or not self.readiness.is_ready:
            return []
        return [BecomeReady()]

    def _activate(self, now: float) -> list[DisseminationEffect]:
        if self._heard_at is not None:
            self.longest_behind = max(self.longest_behind, now - self._heard_at)
        self._heard_at = None
        self._behind_since = None
        self._last_pull_failed = False
        self.rejections.remove_up_to(self.replica.version)
        return [ActivateSnapshot(self.replica.snapshot), *self._update_readiness(now)]
