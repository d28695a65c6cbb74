"""Life cycle of the upstreams on one host, driven by their announcements.

An upstream numbers its announcements: the incarnation increases with each start, the
sequence with each announcement. A late announcement with a lower number is therefore
ignored. An upstream that stops announcing is lost when its last announcement expires.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import LOAD_STEP, UpstreamState, UpstreamStatus

MAX_UPSTREAMS = 4
# Steps of the sequence that an upstream may skip while its announcements are lost.
MAX_SEQUENCE_STEP = 10_000
# Assigned when an upstream leaves: higher than any announcement of its incarnation.
FINAL_SEQUENCE = 2**63


class UpstreamStage(Enum):
    """Enumerate the stages in the life cycle of an upstream."""

    ARRIVING = "arriving"
    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"


ENDING_STAGES = (UpstreamStage.DRAINING, UpstreamStage.GONE)
PUBLISHED_STATUSES = {
    UpstreamStage.WARMING: UpstreamStatus.WARMING,
    UpstreamStage.READY: UpstreamStatus.READY,
    UpstreamStage.DRAINING: UpstreamStatus.DRAINING,
}


@dataclass(frozen=True)
class Announcement:
    """Describe an upstream as announced by itself."""

    name: str
    service: str
    address: str
    slots: int
    status: UpstreamStatus
    incarnation: int
    sequence: int

    @property
    def number(self) -> tuple[int, int]:
        """Return the sort key of the announcements under one name."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class UpstreamChanged:
    """Report that an upstream moved to another stage."""

    announcement: Announcement
    stage: UpstreamStage
    previous: UpstreamStage


class UpstreamEvents(Protocol):
    """List the events in the life cycle of an upstream."""

    def warm(self) -> None: ...

    def become_ready(self) -> None: ...

    def drain(self) -> None: ...

    def leave(self) -> None: ...

    def expire(self) -> None: ...


@dataclass
class UpstreamRecord:
    """Track an upstream with its stage, its published load and its deadlines.

    Announcements of incarnations up to ``ended_incarnation`` are ignored. It is the
    time of a leave, while the incarnation of the announcement is that of a start.
    """

    announcement: Announcement
    expires_at: float
    ended_incarnation: int = -1
    stage: UpstreamStage = UpstreamStage.ARRIVING
    load: float = 0.0
    next_load_change_at: float = 0.0


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
    # Within an incarnation, draining is only followed by gone, and gone is final.
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
    """Configure lifetimes, in seconds.

    An announcement is valid for ``lifetime``. The announcement number of an upstream
    that is gone or lost is kept for ``retention`` after that; then lower numbers are
    accepted again.
    """

    lifetime: float = 2.0
    retention: float = 10.0
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
        # Announcements refused for their sequence, until the next one of the upstream.
        self._outliers: dict[str, Announcement] = {}
        self._last_event_at: float | None = None

    # Views

    @property
    def is_empty(self) -> bool:
        return not self._records

    def get_stage(self, name: str) -> UpstreamStage | None:
        """Return the stage of an upstream, or ``None`` if it is unknown."""
        record = self._records.get(name)
        return record.stage if record else None

    def get_incarnation(self, name: str) -> int | None:
        """Return the latest incarnation that is known to have started or ended.

        It is ``None`` if the upstream is unknown.
        """
        record = self._records.get(name)
        if record is None:
            return None
        return max(record.announcement.incarnation, record.ended_incarnation)

    def get_address(self, name: str) -> str:
        """Return the address of a known upstream."""
        return self._records[name].announcement.address

    def list_states(self) -> list[UpstreamState]:
        """Return the upstreams to announce to other daemons."""
        states = []
        for record in self._records.values():
            status = PUBLISHED_STATUSES.get(record.stage)
            if status is not None:
                current = record.announcement
                states.append(
                    UpstreamState(
                        current.name,
                        current.service,
                        status,
                        current.slots,
                        record.load,
                    )
                )
        return states

    # Events

    def announce(
        self, announcement: Announcement, now: float
    ) -> list[UpstreamChanged] | Refusal:
        """Apply an announcement, unless it is older than the newest one applied.

        One that the upstream itself can't have sent is refused: it would keep the
        later ones of the upstream from being applied.
        """
        self._extend_after_pause(now)
        name = announcement.name
        record = self._records.get(name)
        if self._is_superseded(announcement):
            return []
        if record is None:
            self._evict_ended()
            if len(self._records) >= MAX_UPSTREAMS:
                detail = f"{name!r} would be upstream {MAX_UPSTREAMS + 1} of this host"
                return Refusal(ErrorKind.QUEUE_FULL, detail)
            record = self._add_record(announcement)
        elif (
            announcement.number <= record.announcement.number
            or announcement.incarnation <= record.ended_incarnation
        ):
            return []
        elif refusal := self._check_successor(announcement, record.announcement):
            return refusal
        elif announcement.incarnation > record.announcement.incarnation:
            record = self._add_record(announcement, previous=record)
        record.announcement = announcement
        record.expires_at = now + self._settings.lifetime
        changes = self._end_predecessors(announcement)
        return [
            *changes,
            *self._apply_event(record, _STATUS_EVENTS[announcement.status]),
        ]

    def end_upstream(
        self, name: str, now: float, *, incarnation: int = 0
    ) -> list[UpstreamChanged]:
        """Mark an upstream as gone after it has reported that it leaves.

        Later announcements of incarnations up to ``incarnation`` are ignored, even if
        the upstream was unknown or known only through a probe.
        """
        self._extend_after_pause(now)
        record = self._records.get(name)
        if record is None:
            placeholder = Announcement(name, "", "", 1, UpstreamStatus.GONE, 0, 0)
            self._evict_ended()
            record = self._add_record(placeholder)
        record.announcement = replace(record.announcement, sequence=FINAL_SEQUENCE)
        record.ended_incarnation = max(record.ended_incarnation, incarnation)
        record.expires_at = now + self._settings.lifetime
        return self._apply_event(record, "leave")

    def _check_successor(
        self, later: Announcement, known: Announcement
    ) -> Refusal | None:
        """Return a refusal if two announcements can't be from one incarnation.

        A sequence far ahead is taken for real once a later announcement confirms it.
        """
        outlier = self._outliers.pop(later.name, None)
        # A probe has no sequence, and knows only what the settings say.
        if later.incarnation != known.incarnation or not known.sequence:
            return None
        for name in ("service", "address"):
            found, expected = getattr(later, name), getattr(known, name)
            if found != expected:
                detail = f"{name} of {known.name!r} is {found!r}, expected {expected!r}"
                return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
        is_confirmed = outlier is not None and later.sequence > outlier.sequence
        if later.sequence <= known.sequence + MAX_SEQUENCE_STEP or is_confirmed:
            return None
        self._outliers[later.name] = later
        detail = f"sequence {later.sequence} of {known.name!r} after {known.sequence}"
        return Refusal(ErrorKind.MALFORMED_REQUEST, detail)

    def _is_superseded(self, announcement: Announcement) -> bool:
        """Return whether an upstream of a later incarnation uses the same address.

        One that has left uses it no more, and its clock may have been ahead. The
        address is empty for an upstream that left while only its name was known.
        """
        if not announcement.address:
            return False
        return any(
            other.announcement.address == announcement.address
            and other.announcement.name != announcement.name
            and other.announcement.incarnation > announcement.incarnation
            and other.stage is not UpstreamStage.GONE
            for other in self._records.values()
        )

    def _end_predecessors(self, announcement: Announcement) -> list[UpstreamChanged]:
        """Mark upstreams as gone whose address a later incarnation has taken over."""
        changes = []
        for name, other in self._records.items():
            known = other.announcement
            taken_over = (
                known.address == announcement.address
                and known.incarnation < announcement.incarnation
            )
            if name != announcement.name and taken_over:
                changes += self._apply_event(other, "leave")
        return changes

    def _evict_ended(self) -> None:
        """Remove the oldest upstream that is gone or lost if the registry is full."""
        if len(self._records) < MAX_UPSTREAMS:
            return
        for name, record in self._records.items():
            if record.stage in (UpstreamStage.GONE, UpstreamStage.LOST):
                del self._records[name]
                del self._machines[name]
                return

    def tick(self, now: float) -> list[UpstreamChanged]:
        """Expire announcements, and remove upstreams that ended long ago."""
        self._extend_after_pause(now)
        changes: list[UpstreamChanged] = []
        for name, record in list(self._records.items()):
            if now >= record.expires_at:
                changes += self._apply_event(record, "expire")
            if now >= record.expires_at + self._settings.retention:
                del self._records[name]
                del self._machines[name]
                self._outliers.pop(name, None)
        return changes

    def set_load(self, name: str, load: float, now: float) -> bool:
        """Set the fraction of slots in use; return whether the published load changed.

        The published load moves in steps of ``LOAD_STEP``, once ``load`` differs by at
        least three quarters of a step. It moves at most once per ``load_period``, since
        each change is gossiped to the whole failure domain.
        """
        record = self._records.get(name)
        if record is None or now < record.next_load_change_at:
            return False
        if abs(load - record.load) < 0.75 * LOAD_STEP:
            return False
        record.load = min(1.0, round(load / LOAD_STEP) * LOAD_STEP)
        record.next_load_change_at = now + self._settings.load_period
        return True

    def _add_record(
        self, announcement: Announcement, previous: UpstreamRecord | None = None
    ) -> UpstreamRecord:
        record = UpstreamRecord(announcement, 0.0)
        if previous is not None:
            record.next_load_change_at = previous.next_load_change_at
        self._records[announcement.name] = record
        self._machines[announcement.name] = _MACHINE(record)
        return record

    def _apply_event(self, record: UpstreamRecord, event: str) -> list[UpstreamChanged]:
        previous = record.stage
        getattr(self._machines[record.announcement.name], event)()
        if record.stage is previous:
            return []
        return [UpstreamChanged(record.announcement, record.stage, previous)]

    def _extend_after_pause(self, now: float) -> None:
        """Extend announcements so that none expires because of a process pause."""
        previous_at = self._last_event_at
        self._last_event_at = now
        if previous_at is None or now - previous_at <= self._settings.pause_threshold:
            return
        for record in self._records.values():
            if record.stage not in (UpstreamStage.GONE, UpstreamStage.LOST):
                latest_expiry = now + self._settings.lifetime
                record.expires_at = min(
                    latest_expiry, record.expires_at + now - previous_at
                )


_STATUS_EVENTS = {
    UpstreamStatus.WARMING: "warm",
    UpstreamStatus.READY: "become_ready",
    UpstreamStatus.DRAINING: "drain",
    UpstreamStatus.GONE: "leave",
}
