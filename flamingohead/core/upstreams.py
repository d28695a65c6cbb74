"""Life cycle of the upstreams on one host, from their announcements.

An upstream numbers its announcements: the incarnation grows with each start, the
sequence with each announcement. So an old announcement that arrives late changes
nothing. An upstream that stops announcing is lost when its last announcement
expires.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import LOAD_STEP, UpstreamState, UpstreamStatus

MAX_UPSTREAMS = 4
# Follows every announcement of an incarnation.
LAST_SEQUENCE = 2**63


class UpstreamStage(Enum):
    """Name the stages of an upstream's life."""

    ARRIVING = "arriving"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"


PUBLISHED = {
    UpstreamStage.WARMING: UpstreamStatus.WARMING,
    UpstreamStage.READY: UpstreamStatus.READY,
    UpstreamStage.DRAINING: UpstreamStatus.DRAINING,
}


@dataclass(frozen=True)
class Announcement:
    """Hold what an upstream says of itself."""

    name: str
    service: str
    address: str
    slots: int
    status: UpstreamStatus
    incarnation: int
    sequence: int

    @property
    def number(self) -> tuple[int, int]:
        """Return what orders the announcements of one name."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class UpstreamChanged:
    """Report that an upstream moved to another stage."""

    announcement: Announcement
    stage: UpstreamStage
    previous: UpstreamStage


class UpstreamEvents(Protocol):
    """List the events in the life of an upstream."""

    def warm(self) -> None: ...

    def become_ready(self) -> None: ...

    def drain(self) -> None: ...

    def leave(self) -> None: ...

    def expire(self) -> None: ...


@dataclass
class UpstreamRecord:
    """Hold an upstream, its stage and the deadlines that it lives by."""

    announcement: Announcement
    expires_at: float
    stage: UpstreamStage = UpstreamStage.ARRIVING
    load: float = 0.0
    load_fixed_until: float = 0.0


def _build_machine():
    builder = TypeMachineBuilder(UpstreamEvents, UpstreamRecord)
    states = {stage: builder.state(stage.value) for stage in UpstreamStage}

    def connect(source: UpstreamStage, event, target: UpstreamStage) -> None:
        @states[source].upon(event).to(states[target])
        def enter(events: UpstreamEvents, record: UpstreamRecord) -> None:
            record.stage = target

    stages = UpstreamStage
    for source in (stages.ARRIVING, stages.WARMING, stages.READY, stages.LOST):
        connect(source, UpstreamEvents.warm, stages.WARMING)
        connect(source, UpstreamEvents.become_ready, stages.READY)
        connect(source, UpstreamEvents.drain, stages.DRAINING)
        connect(source, UpstreamEvents.leave, stages.GONE)
        connect(source, UpstreamEvents.expire, stages.LOST)
    # A drain is final for an incarnation, and so is its end.
    for event in (
        UpstreamEvents.warm,
        UpstreamEvents.become_ready,
        UpstreamEvents.drain,
    ):
        connect(stages.DRAINING, event, stages.DRAINING)
        connect(stages.GONE, event, stages.GONE)
    for event in (UpstreamEvents.leave, UpstreamEvents.expire):
        connect(stages.DRAINING, event, stages.GONE)
        connect(stages.GONE, event, stages.GONE)
    return builder.build()


_MACHINE = _build_machine()


@dataclass(frozen=True)
class UpstreamSettings:
    """Set lifetimes in seconds.

    An announcement holds for ``lifetime``. The numbers of an upstream that is gone or
    lost are remembered for ``memory``; then a lower number is taken again.
    """

    lifetime: float = 2.0
    memory: float = 10.0
    load_period: float = 5.0
    pause_threshold: float = 0.5


class UpstreamRegistry:
    """Decide which upstreams of this host may be used, and for what.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(self, settings: UpstreamSettings = UpstreamSettings()) -> None:
        self._settings = settings
        self._records: dict[str, UpstreamRecord] = {}
        self._machines: dict[str, UpstreamEvents] = {}
        self._last_at: float | None = None

    # Views

    @property
    def is_empty(self) -> bool:
        return not self._records

    def get_stage(self, name: str) -> UpstreamStage | None:
        """Return the stage of an upstream, or ``None`` if it is not known."""
        record = self._records.get(name)
        return record.stage if record else None

    def get_incarnation(self, name: str) -> int | None:
        """Return the incarnation of a known upstream."""
        record = self._records.get(name)
        return record.announcement.incarnation if record else None

    def get_address(self, name: str) -> str:
        """Return the address of a known upstream."""
        return self._records[name].announcement.address

    def list_states(self) -> list[UpstreamState]:
        """Return the upstreams to announce to other daemons."""
        states = []
        for record in self._records.values():
            status = PUBLISHED.get(record.stage)
            if status is not None:
                given = record.announcement
                states.append(
                    UpstreamState(
                        given.name, given.service, status, given.slots, record.load
                    )
                )
        return states

    # Events

    def announce(
        self, announcement: Announcement, now: float
    ) -> list[UpstreamChanged] | Refusal:
        """Take an announcement; one older than the newest taken changes nothing."""
        self._note_time(now)
        name = announcement.name
        record = self._records.get(name)
        if self._is_overtaken(announcement):
            return []
        if record is None:
            self._make_room()
            if len(self._records) >= MAX_UPSTREAMS:
                detail = f"{name!r} would be upstream {MAX_UPSTREAMS + 1} of this host"
                return Refusal(ErrorKind.QUEUE_FULL, detail)
            record = self._start(announcement)
        elif announcement.number <= record.announcement.number:
            return []
        elif announcement.incarnation > record.announcement.incarnation:
            record = self._start(announcement, previous=record)
        record.announcement = announcement
        record.expires_at = now + self._settings.lifetime
        changes = self._end_predecessors(announcement)
        return [*changes, *self._move(record, _EVENTS[announcement.status])]

    def end(
        self, name: str, now: float, *, incarnation: int = 0
    ) -> list[UpstreamChanged]:
        """Take the word of an upstream that it leaves.

        Announcements of incarnations up to ``incarnation`` change nothing from then on,
        also if the upstream was not known or only by a probe.
        """
        self._note_time(now)
        record = self._records.get(name)
        if record is None:
            unknown = Announcement(name, "", "", 1, UpstreamStatus.GONE, incarnation, 0)
            self._make_room()
            record = self._start(unknown)
        known = record.announcement
        record.announcement = replace(
            known,
            incarnation=max(known.incarnation, incarnation),
            sequence=LAST_SEQUENCE,
        )
        record.expires_at = now + self._settings.lifetime
        return self._move(record, "leave")

    def _is_overtaken(self, announcement: Announcement) -> bool:
        """Tell whether a later start has taken the address.

        The leave of an upstream that is known by its name alone has no address.
        """
        if not announcement.address:
            return False
        return any(
            other.announcement.address == announcement.address
            and other.announcement.name != announcement.name
            and other.announcement.incarnation > announcement.incarnation
            for other in self._records.values()
        )

    def _end_predecessors(self, announcement: Announcement) -> list[UpstreamChanged]:
        """End those whose address an upstream has taken over."""
        changes = []
        for name, other in self._records.items():
            known = other.announcement
            taken_over = (
                known.address == announcement.address
                and known.incarnation < announcement.incarnation
            )
            if name != announcement.name and taken_over:
                changes += self._move(other, "leave")
        return changes

    def _make_room(self) -> None:
        """Forget the oldest upstream that has ended, if there are many."""
        if len(self._records) < MAX_UPSTREAMS:
            return
        for name, record in self._records.items():
            if record.stage in (UpstreamStage.GONE, UpstreamStage.LOST):
                del self._records[name]
                del self._machines[name]
                return

    def tick(self, now: float) -> list[UpstreamChanged]:
        """Let announcements expire, and forget those long gone."""
        self._note_time(now)
        effects: list[UpstreamChanged] = []
        for name, record in list(self._records.items()):
            if now >= record.expires_at:
                effects += self._move(record, "expire")
            if now >= record.expires_at + self._settings.memory:
                del self._records[name]
                del self._machines[name]
        return effects

    def set_load(self, name: str, load: float, now: float) -> bool:
        """Take the share of slots in use; return whether the published load moved.

        It moves in steps, only past the middle of a step, and at most once in
        ``load_period``, since each change is told to the whole failure domain.
        """
        record = self._records.get(name)
        if record is None or now < record.load_fixed_until:
            return False
        if abs(load - record.load) < 0.75 * LOAD_STEP:
            return False
        record.load = min(1.0, round(load / LOAD_STEP) * LOAD_STEP)
        record.load_fixed_until = now + self._settings.load_period
        return True

    def _start(
        self, announcement: Announcement, previous: UpstreamRecord | None = None
    ) -> UpstreamRecord:
        record = UpstreamRecord(announcement, 0.0)
        if previous is not None:
            record.load_fixed_until = previous.load_fixed_until
        self._records[announcement.name] = record
        self._machines[announcement.name] = _MACHINE(record)
        return record

    def _move(self, record: UpstreamRecord, event: str) -> list[UpstreamChanged]:
        previous = record.stage
        getattr(self._machines[record.announcement.name], event)()
        if record.stage is previous:
            return []
        return [UpstreamChanged(record.announcement, record.stage, previous)]

    def _note_time(self, now: float) -> None:
        """Let no announcement expire for a pause of this process."""
        last_at = self._last_at
        self._last_at = now
        if last_at is None or now - last_at <= self._settings.pause_threshold:
            return
        for record in self._records.values():
            if record.stage not in (UpstreamStage.GONE, UpstreamStage.LOST):
                grace = now + self._settings.lifetime
                record.expires_at = min(grace, record.expires_at + now - last_at)


_EVENTS = {
    UpstreamStatus.WARMING: "warm",
    UpstreamStatus.READY: "become_ready",
    UpstreamStatus.DRAINING: "drain",
    UpstreamStatus.GONE: "leave",
}
