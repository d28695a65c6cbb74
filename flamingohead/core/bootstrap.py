"""Discovery of initial peers through seeds and a few host rows in the table.

A starting daemon tries its seeds, then the host rows of its failure domain. Only a few
hosts have a row: a daemon writes one while there are fewer than ``target_rows``, or
while it finds no peers. Rows are not heartbeats. The row of a dead host is deleted by
one member that is chosen by hash.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from flamingohead.core.members import Member

MANY_NEW_STATES = 5


@dataclass(frozen=True)
class BootstrapSettings:
    """Configure waits and periods in seconds, and the numbers of rows and joins.

    ``row_read_rate`` bounds the total reads per second of all daemons that share the
    rows.
    """

    spread: float = 2.0
    initial_backoff: float = 0.5
    maximum_backoff: float = 10.0
    attempt_timeout: float = 5.0
    row_period: float = 600.0
    row_read_rate: float = 2.0
    unknown_rows_wait: float = 30.0
    first_row_spread: float = 30.0
    synchronize_period: float = 120.0
    follow_up_join_wait: float = 15.0
    cleanup_spread: float = 60.0
    target_rows: int = 16
    join_targets: int = 3
    newest_rows: int = 8


@dataclass(frozen=True)
class HostRow:
    """Locate a daemon; ``written_at`` is the wall-clock time of the row."""

    host_id: str
    peer_address: str
    written_at: float


@dataclass(frozen=True)
class JoinPeers:
    """Join through the daemons at these addresses."""

    addresses: tuple[str, ...]


@dataclass(frozen=True)
class ReadRows:
    """Read the host rows of this failure domain."""


@dataclass(frozen=True)
class WriteRow:
    """Write the row of this host."""


@dataclass(frozen=True)
class DeleteRow:
    """Delete the row of a host that has died."""

    host_id: str


@dataclass(frozen=True)
class JoinOutcome:
    """Report how a join ended.

    ``new_states`` is the number of member states that were new. A peer that deferred
    the join returns ``retry_at``, the time at which it admits joins again, and
    addresses of other members as ``alternatives``.
    """

    joined: bool
    new_states: int = 0
    retry_at: float | None = None
    alternatives: tuple[str, ...] = ()


BootstrapEffect = JoinPeers | ReadRows | WriteRow | DeleteRow


class Phase(Enum):
    """Enumerate the phases of peer discovery."""

    SEEDS = "seeds"
    ROWS = "rows"
    JOINED = "joined"


class BootstrapEvents(Protocol):
    """List the events that change the phase."""

    def fail(self) -> None: ...

    def join(self) -> None: ...

    def lose_peers(self) -> None: ...


@dataclass
class _State:
    phase: Phase = Phase.SEEDS


def _build_machine():
    builder = TypeMachineBuilder(BootstrapEvents, _State)
    states = {phase: builder.state(phase.value) for phase in Phase}

    def connect(source: Phase, event, target: Phase) -> None:
        @states[source].upon(event).to(states[target])
        def enter(events: BootstrapEvents, state: _State) -> None:
            state.phase = target

    events = BootstrapEvents
    connect(Phase.SEEDS, events.fail, Phase.ROWS)
    connect(Phase.ROWS, events.fail, Phase.SEEDS)
    connect(Phase.JOINED, events.fail, Phase.JOINED)
    for phase in Phase:
        connect(phase, events.join, Phase.JOINED)
        connect(phase, events.lose_peers, Phase.SEEDS)
    return builder.build()


_MACHINE = _build_machine()


def choose_owner(key: str, host_ids: Iterable[str]) -> str:
    """Return the host that owns a key, by rendezvous hashing."""
    return max(host_ids, key=lambda host: (zlib.crc32(f"{key}|{host}".encode()), host))


class Bootstrap:
    """Decide when to join peers, and when to read, write and delete host rows.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(
        self,
        host_id: str,
        peer_address: str,
        seeds: Iterable[str],
        *,
        random: Random,
        settings: BootstrapSettings = BootstrapSettings(),
    ) -> None:
        self.has_row = False
        self._host_id = host_id
        self._peer_address = peer_address
        self._seeds = [seed for seed in seeds if seed != peer_address]
        self._random = random
        self._settings = settings
        self._state = _State()
        self._machine = _MACHINE(self._state)
        self._attempts = 0
        self._busy_until = 0.0
        self._next_attempt_at: float | None = None
        self._next_row_check_at = 0.0
        self._deletion_candidates: set[str] = set()
        self._tried_host_ids: set[str] = set()
        self._alternatives: set[str] = set()
        self._deletions: dict[str, float] = {}

    @property
    def phase(self) -> Phase:
        return self._state.phase

    # Events

    def tick(self, now: float, members: Mapping[str, Member]) -> list[BootstrapEffect]:
        """Return the effects that are due at ``now``.

        ``members`` holds the usable members other than this one, by host id.
        """
        if self._next_attempt_at is None:
            spread = 0.0 if self._seeds else self._settings.spread
            self._next_attempt_at = now + self._random.uniform(0, spread)
        if members and self.phase is not Phase.JOINED:
            # A peer has contacted this daemon first. It gossips only states that are
            # new to itself, so a join is needed for the others.
            self._handle_join(now, len(members))
            self._next_attempt_at = now
        elif not members and self.phase is Phase.JOINED:
            self._machine.lose_peers()
            self._next_attempt_at = now + self._compute_wait()
        effects = self._delete_rows(now, members)
        if now >= self._busy_until and now >= self._next_attempt_at:
            effects += self._attempt(now, members)
        if self.phase is Phase.JOINED and now >= self._next_row_check_at:
            period = max(
                self._settings.row_period, self._compute_read_interval(members)
            )
            self._next_row_check_at = now + self._random.uniform(0.5, 1.5) * period
            effects.append(ReadRows())
        return effects

    def receive_rows(
        self, rows: list[HostRow] | None, members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        """Handle the rows that were read, or ``None`` if the table didn't respond."""
        if self.phase is Phase.JOINED:
            return self._check_rows(rows, members, now)
        effects = self._choose_row_write(rows)
        addresses = self._choose_addresses(rows or [])
        if not addresses:
            self.finish_join((), now)
            return effects
        return [*effects, JoinPeers(addresses)]

    def finish_join(self, outcomes: Iterable[JoinOutcome], now: float) -> None:
        """Handle the outcomes of the joins that were requested together."""
        outcomes = list(outcomes)
        self._busy_until = now
        if any(outcome.joined for outcome in outcomes):
            self._handle_join(now, sum(outcome.new_states for outcome in outcomes))
            return
        if self.phase is Phase.JOINED:
            return
        self._machine.fail()
        self._attempts += 1
        self._next_attempt_at = now + self._compute_wait()
        self._alternatives = {a for o in outcomes for a in o.alternatives}
        if self._alternatives:
            wait = self._settings.initial_backoff
            self._next_attempt_at = now + self._random.uniform(0.5, 1.0) * wait
            return
        retry_times = [o.retry_at for o in outcomes if o.retry_at is not None]
        if retry_times:
            jitter = self._random.uniform(0, self._settings.initial_backoff)
            self._next_attempt_at = max(
                self._next_attempt_at, min(retry_times) + jitter
            )

    def note_removed(self, host_id: str, members: Iterable[str], now: float) -> None:
        """Schedule the deletion of a dead member's row, if this host owns it."""
        if self._owns(host_id, members):
            spread = self._settings.cleanup_spread
            self._deletions[host_id] = now + self._random.uniform(0.5, 1.5) * spread

    def handle_store_restored(self) -> list[BootstrapEffect]:
        """Rewrite the row of this host after the store was restored.

        The rows may be those of an earlier time, so the few hosts that have a row write
        it again at once. Restored rows of dead hosts are deleted like all other rows
        whose host can't be reached.
        """
        return [WriteRow()] if self.has_row else []

    # Joining

    def _attempt(
        self, now: float, members: Mapping[str, Member]
    ) -> list[BootstrapEffect]:
        self._busy_until = now + self._settings.attempt_timeout
        self._next_attempt_at = now + self._compute_wait()
        if self.phase is Phase.JOINED:
            chosen = self._random.choice(list(members.values()))
            return [JoinPeers((chosen.peer_address,))]
        if self._alternatives:
            alternatives = sorted(self._alternatives)
            self._alternatives = set()
            return [JoinPeers((self._random.choice(alternatives),))]
        if self.phase is Phase.SEEDS and self._seeds:
            count = min(len(self._seeds), self._settings.join_targets)
            return [JoinPeers(tuple(self._random.sample(self._seeds, count)))]
        return [ReadRows()]

    def _handle_join(self, now: float, new_states: int) -> None:
        if self.phase is not Phase.JOINED:
            self._tried_host_ids.clear()
            # The number of new states estimates the size of the group, whose members
            # share the read rate.
            shared_interval = new_states / self._settings.row_read_rate
            spread = max(self._settings.first_row_spread, shared_interval)
            self._next_row_check_at = now + self._random.uniform(0, spread)
        self._machine.join()
        self._attempts = 0
        # After an exchange with many new states, other members are likely to have more.
        wait = self._settings.synchronize_period
        if new_states > MANY_NEW_STATES:
            wait = self._settings.follow_up_join_wait
        self._next_attempt_at = now + self._random.uniform(0.5, 1.5) * wait

    def _compute_wait(self) -> float:
        backoff = self._settings.initial_backoff * 2 ** min(self._attempts, 10)
        wait = min(backoff, self._settings.maximum_backoff)
        return self._random.uniform(0.5, 1.0) * wait

    def _choose_addresses(self, rows: list[HostRow]) -> tuple[str, ...]:
        """Return the addresses of some of the newest rows, and of one random row.

        The hosts of the newest rows are the most likely to be alive.
        """
        candidates = [row for row in rows if row.peer_address != self._peer_address]
        untried = [row for row in candidates if row.host_id not in self._tried_host_ids]
        if not untried:
            self._tried_host_ids.clear()
        candidates = untried or candidates
        candidates.sort(key=lambda row: row.written_at, reverse=True)
        newest = candidates[: self._settings.newest_rows]
        count = min(len(newest), self._settings.join_targets - 1)
        chosen = self._random.sample(newest, count)
        if candidates:
            chosen.append(self._random.choice(candidates))
        self._tried_host_ids |= {row.host_id for row in chosen}
        return tuple({row.peer_address: None for row in chosen})

    # Rows

    def _choose_row_write(self, rows: list[HostRow] | None) -> list[BootstrapEffect]:
        """Write a row if there are too few, or sometimes after repeated failures.

        Repeated failures suggest that none of the existing rows leads to a live peer.
        """
        if rows is None or self.has_row:
            return []
        writes_after_failures = self._attempts >= 3 and self._random.random() < 0.2
        if len(rows) < self._settings.target_rows or writes_after_failures:
            return [WriteRow()]
        return []

    def _check_rows(
        self, rows: list[HostRow] | None, members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        if rows is None:
            return []
        listed_host_ids = {row.host_id for row in rows}
        self.has_row = self._host_id in listed_host_ids
        effects: list[BootstrapEffect] = []
        missing_rows = self._settings.target_rows - len(rows)
        write_probability = missing_rows / (1 + len(members))
        if not self.has_row and self._random.random() < write_probability:
            effects.append(WriteRow())
        unknown_rows = [
            row
            for row in rows
            if row.host_id not in members and row.host_id != self._host_id
        ]
        effects += self._join_unknown_rows(unknown_rows, members, now)
        owned_host_ids = {
            row.host_id for row in unknown_rows if self._owns(row.host_id, members)
        }
        if not self._tried_host_ids:
            for host_id in owned_host_ids & self._deletion_candidates:
                self._deletions[host_id] = now
            self._deletion_candidates = owned_host_ids
        return effects

    def _owns(self, host_id: str, members: Iterable[str]) -> bool:
        return choose_owner(host_id, [self._host_id, *members]) == self._host_id

    def _compute_read_interval(self, members: Mapping[str, Member]) -> float:
        """Return the interval between the row reads of one daemon.

        The daemons that share the rows then stay within ``row_read_rate`` together.
        """
        return (1 + len(members)) / self._settings.row_read_rate

    def _join_unknown_rows(
        self, unknown_rows: list[HostRow], members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        """Join the newest untried rows of unknown hosts, and check the rest soon.

        The hosts may be in another partition of the failure domain: one that was cut
        off for a long time, or that formed separately while all daemons started.
        """
        untried = [
            row for row in unknown_rows if row.host_id not in self._tried_host_ids
        ]
        # One member that reaches them is enough, since it gossips to both partitions.
        wait = max(
            self._settings.unknown_rows_wait, self._compute_read_interval(members)
        )
        if unknown_rows:
            self._next_row_check_at = now + self._random.uniform(0.5, 1.5) * wait
        if not untried:
            self._tried_host_ids.clear()
            return []
        untried.sort(key=lambda row: row.written_at, reverse=True)
        chosen = untried[: self._settings.join_targets]
        self._tried_host_ids |= {row.host_id for row in chosen}
        return [JoinPeers(tuple(row.peer_address for row in chosen))]

    def _delete_rows(
        self, now: float, members: Mapping[str, Member]
    ) -> list[BootstrapEffect]:
        effects: list[BootstrapEffect] = []
        for host_id, due_at in list(self._deletions.items()):
            if host_id in members:
                del self._deletions[host_id]
            elif now >= due_at:
                del self._deletions[host_id]
                effects.append(DeleteRow(host_id))
        return effects
