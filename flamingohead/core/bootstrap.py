"""Finding first peers, and keeping a few rows in the table that lead to them.

A starting daemon tries its seeds, then the host rows of its failure domain. Rows are
few: a daemon writes one only while there are fewer than ``wanted_rows``, or while it
finds nobody. No row is a heartbeat; rows of the dead are deleted by one member.
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

MUCH_NEWS = 5


@dataclass(frozen=True)
class BootstrapSettings:
    """Set waits and periods in seconds, and numbers of rows and of joins at once.

    ``row_read_rate`` bounds the reads a second of all daemons that share rows.
    """

    spread: float = 2.0
    first_wait: float = 0.5
    longest_wait: float = 10.0
    attempt_timeout: float = 5.0
    row_period: float = 600.0
    row_read_rate: float = 2.0
    next_rows_wait: float = 30.0
    first_row_spread: float = 30.0
    synchronize_period: float = 120.0
    second_join_wait: float = 15.0
    cleanup_spread: float = 60.0
    wanted_rows: int = 16
    join_targets: int = 3
    newest_rows: int = 8


@dataclass(frozen=True)
class HostRow:
    """Hold a row that leads to a daemon; ``written_at`` is wall-clock time."""

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
    """Delete the row of a host that is gone."""

    host_id: str


@dataclass(frozen=True)
class JoinOutcome:
    """Tell how a join ended.

    ``learned`` counts the states that were news. A peer that put the join off names
    when it admits one again, and other members.
    """

    joined: bool
    learned: int = 0
    retry_at: float | None = None
    alternatives: tuple[str, ...] = ()


BootstrapEffect = JoinPeers | ReadRows | WriteRow | DeleteRow


class Phase(Enum):
    """Name the phases of finding peers."""

    SEEDS = "seeds"
    ROWS = "rows"
    JOINED = "joined"


class BootstrapEvents(Protocol):
    """List the events that change the phase."""

    def fail(self) -> None: ...

    def join(self) -> None: ...

    def be_alone(self) -> None: ...


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
        connect(phase, events.be_alone, Phase.SEEDS)
    return builder.build()


_MACHINE = _build_machine()


def choose_owner(key: str, host_ids: Iterable[str]) -> str:
    """Return the host with the highest hash for a key (rendezvous hashing)."""
    return max(host_ids, key=lambda host: (zlib.crc32(f"{key}|{host}".encode()), host))


class Bootstrap:
    """Decide when to join, and when to touch the host rows.

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
        self._doubtful: set[str] = set()
        self._tried: set[str] = set()
        self._alternatives: set[str] = set()
        self._deletions: dict[str, float] = {}

    @property
    def phase(self) -> Phase:
        return self._state.phase

    # Events

    def tick(self, now: float, members: Mapping[str, Member]) -> list[BootstrapEffect]:
        """Act on what is due; ``members`` are the usable ones by host id."""
        if self._next_attempt_at is None:
            spread = 0.0 if self._seeds else self._settings.spread
            self._next_attempt_at = now + self._random.uniform(0, spread)
        if members and self.phase is not Phase.JOINED:
            # A peer has found this daemon first, and tells only what is new to itself.
            self._note_joined(now, len(members))
            self._next_attempt_at = now
        elif not members and self.phase is Phase.JOINED:
            self._machine.be_alone()
            self._next_attempt_at = now + self._compute_wait()
        effects = self._delete_rows(now, members)
        if now >= self._busy_until and now >= self._next_attempt_at:
            effects += self._attempt(now, members)
        if self.phase is Phase.JOINED and now >= self._next_row_check_at:
            period = max(self._settings.row_period, self._share_reads(members))
            self._next_row_check_at = now + self._random.uniform(0.5, 1.5) * period
            effects.append(ReadRows())
        return effects

    def receive_rows(
        self, rows: list[HostRow] | None, members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        """Take the rows that were read, or ``None`` if the table didn't answer."""
        if self.phase is Phase.JOINED:
            return self._check_rows(rows, members, now)
        effects = self._choose_row_write(rows)
        addresses = self._choose_addresses(rows or [])
        if not addresses:
            self.finish_join((), now)
            return effects
        return [*effects, JoinPeers(addresses)]

    def finish_join(self, outcomes: Iterable[JoinOutcome], now: float) -> None:
        """Take the outcomes of the joins that were asked for together."""
        outcomes = list(outcomes)
        self._busy_until = now
        if any(outcome.joined for outcome in outcomes):
            self._note_joined(now, sum(outcome.learned for outcome in outcomes))
            return
        if self.phase is Phase.JOINED:
            return
        self._machine.fail()
        self._attempts += 1
        self._next_attempt_at = now + self._compute_wait()
        self._alternatives = {a for o in outcomes for a in o.alternatives}
        if self._alternatives:
            wait = self._settings.first_wait
            self._next_attempt_at = now + self._random.uniform(0.5, 1.0) * wait
            return
        waits = [o.retry_at for o in outcomes if o.retry_at is not None]
        if waits:
            jitter = self._random.uniform(0, self._settings.first_wait)
            self._next_attempt_at = max(self._next_attempt_at, min(waits) + jitter)

    def note_gone(self, host_id: str, members: Iterable[str], now: float) -> None:
        """Note that a member died; one member by hash deletes its row later."""
        if self._owns(host_id, members):
            spread = self._settings.cleanup_spread
            self._deletions[host_id] = now + self._random.uniform(0.5, 1.5) * spread

    def note_restored(self) -> list[BootstrapEffect]:
        """Note that the rows may be those of an earlier time.

        The few hosts that have a row write it again at once. Rows of dead hosts that
        are back are deleted as all are that lead nowhere.
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
            known = sorted(self._alternatives)
            self._alternatives = set()
            return [JoinPeers((self._random.choice(known),))]
        if self.phase is Phase.SEEDS and self._seeds:
            count = min(len(self._seeds), self._settings.join_targets)
            return [JoinPeers(tuple(self._random.sample(self._seeds, count)))]
        return [ReadRows()]

    def _note_joined(self, now: float, learned: int) -> None:
        if self.phase is not Phase.JOINED:
            self._tried.clear()
            # A daemon that just met a large group has as many states to learn.
            shared = learned / self._settings.row_read_rate
            spread = max(self._settings.first_row_spread, shared)
            self._next_row_check_at = now + self._random.uniform(0, spread)
        self._machine.join()
        self._attempts = 0
        # While an exchange brings much news, others are likely to know more.
        wait = self._settings.synchronize_period
        if learned > MUCH_NEWS:
            wait = self._settings.second_join_wait
        self._next_attempt_at = now + self._random.uniform(0.5, 1.5) * wait

    def _compute_wait(self) -> float:
        longest = self._settings.first_wait * 2 ** min(self._attempts, 10)
        wait = min(longest, self._settings.longest_wait)
        return self._random.uniform(0.5, 1.0) * wait

    def _choose_addresses(self, rows: list[HostRow]) -> tuple[str, ...]:
        """Return some of the newest rows, which live most likely, and any other."""
        others = [row for row in rows if row.peer_address != self._peer_address]
        untried = [row for row in others if row.host_id not in self._tried]
        if not untried:
            self._tried.clear()
        others = untried or others
        others.sort(key=lambda row: row.written_at, reverse=True)
        newest = others[: self._settings.newest_rows]
        count = min(len(newest), self._settings.join_targets - 1)
        chosen = self._random.sample(newest, count)
        if others:
            chosen.append(self._random.choice(others))
        self._tried |= {row.host_id for row in chosen}
        return tuple({row.peer_address: None for row in chosen})

    # Rows

    def _choose_row_write(self, rows: list[HostRow] | None) -> list[BootstrapEffect]:
        """Write a row when rows are few, or when all that there are lead nowhere."""
        if rows is None or self.has_row:
            return []
        failed_often = self._attempts >= 3 and self._random.random() < 0.2
        if len(rows) < self._settings.wanted_rows or failed_often:
            return [WriteRow()]
        return []

    def _check_rows(
        self, rows: list[HostRow] | None, members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        if rows is None:
            return []
        present = {row.host_id for row in rows}
        self.has_row = self._host_id in present
        effects: list[BootstrapEffect] = []
        missing = self._settings.wanted_rows - len(rows)
        wanted = missing / (1 + len(members))
        if not self.has_row and self._random.random() < wanted:
            effects.append(WriteRow())
        unknown = [
            row
            for row in rows
            if row.host_id not in members and row.host_id != self._host_id
        ]
        effects += self._try_rows(unknown, members, now)
        owned = {row.host_id for row in unknown if self._owns(row.host_id, members)}
        if not self._tried:
            for host_id in owned & self._doubtful:
                self._deletions[host_id] = now
            self._doubtful = owned
        return effects

    def _owns(self, host_id: str, members: Iterable[str]) -> bool:
        return choose_owner(host_id, [self._host_id, *members]) == self._host_id

    def _share_reads(self, members: Mapping[str, Member]) -> float:
        """Return the time between two reads of one daemon at the rate of all."""
        return (1 + len(members)) / self._settings.row_read_rate

    def _try_rows(
        self, unknown: list[HostRow], members: Mapping[str, Member], now: float
    ) -> list[BootstrapEffect]:
        """Join some rows of unknown hosts, the newest first, and soon the others.

        They may live in a part of the failure domain that was cut off for long, or
        that formed by itself while everyone started.
        """
        untried = [row for row in unknown if row.host_id not in self._tried]
        # One member that finds them is enough: it tells both sides of each other.
        wait = max(self._settings.next_rows_wait, self._share_reads(members))
        if unknown:
            self._next_row_check_at = now + self._random.uniform(0.5, 1.5) * wait
        if not untried:
            self._tried.clear()
            return []
        untried.sort(key=lambda row: row.written_at, reverse=True)
        chosen = untried[: self._settings.join_targets]
        self._tried |= {row.host_id for row in chosen}
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
