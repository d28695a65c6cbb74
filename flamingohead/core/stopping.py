"""Graceful stop of a daemon: leave, settle, drain, abort the remaining connections.

The other daemons are notified first. Some of them still send requests for a short time,
so the listeners stay open meanwhile, and every response closes its connection. Then the
daemon waits until no connection is in use, at most until the deadline of the stop.

A daemon that steps back remains in the mesh until its listeners close, and serves
requests for which there is no other host. This is for rolling restarts of a service
that has few hosts.

A request in progress at the deadline of the stop is aborted, so a stopping daemon only
starts requests whose own deadline is earlier. Until it has settled, callers of this
host can't reach another daemon: their other requests are also started then, if they are
likely to complete.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

SETTLE_SECONDS = 1.0
# Time for peers to learn that the daemon leaves, and for connections to close.
MIN_DRAIN_SECONDS = 0.5


class StopEffect(Enum):
    """Enumerate the actions that a stop requires of the daemon."""

    STEP_BACK = "step_back"
    LEAVE_MESH = "leave_mesh"
    CLOSE_AFTER_ANSWERS = "close_after_answers"
    CLOSE_LISTENERS = "close_listeners"
    CLOSE_IDLE = "close_idle"
    CUT = "cut"


class StopPhase(Enum):
    """Enumerate the phases of a stop."""

    SERVING = "serving"
    SETTLING = "settling"
    DRAINING = "draining"
    ENDED = "ended"


class StopMachine(Protocol):
    """Move through the phases of a stop."""

    def begin(self) -> list[StopEffect]:
        """Leave the mesh, but continue to serve requests."""

    def drain(self) -> list[StopEffect]:
        """Accept no new connections."""

    def wait(self) -> list[StopEffect]:
        """Close the connections that have become idle."""

    def finish(self) -> list[StopEffect]:
        """End the stop with no open connections."""

    def cut(self) -> list[StopEffect]:
        """End the stop and abort the requests in progress."""

    def get_phase(self) -> StopPhase:
        """Return the current phase."""


_builder = TypeMachineBuilder(StopMachine, object)
_states = {phase: _builder.state(phase.value) for phase in StopPhase}


def _add_transition(
    event, source: StopPhase, target: StopPhase, *effects: StopEffect
) -> None:
    @_states[source].upon(event).to(_states[target])
    def _return_effects(machine: StopMachine, core: object) -> list[StopEffect]:
        return list(effects)


def _add_phase(phase: StopPhase) -> None:
    @_states[phase].upon(StopMachine.get_phase).loop()
    def _get_phase(machine: StopMachine, core: object) -> StopPhase:
        return phase


_add_transition(
    StopMachine.begin,
    StopPhase.SERVING,
    StopPhase.SETTLING,
    StopEffect.LEAVE_MESH,
    StopEffect.CLOSE_AFTER_ANSWERS,
)
_add_transition(
    StopMachine.drain,
    StopPhase.SETTLING,
    StopPhase.DRAINING,
    StopEffect.CLOSE_LISTENERS,
    StopEffect.CLOSE_IDLE,
)
_add_transition(
    StopMachine.wait, StopPhase.DRAINING, StopPhase.DRAINING, StopEffect.CLOSE_IDLE
)
_add_transition(StopMachine.finish, StopPhase.DRAINING, StopPhase.ENDED)
_add_transition(StopMachine.cut, StopPhase.DRAINING, StopPhase.ENDED, StopEffect.CUT)
for _phase in StopPhase:
    _add_phase(_phase)
_create_machine = _builder.build()


@dataclass(frozen=True)
class StopSchedule:
    """Hold the times of a stop, in monotonic seconds.

    New callers no longer choose this host after ``settled_at``. Requests still in
    progress at ``ends_at`` are aborted.
    """

    settled_at: float
    ends_at: float

    def compute_latest_start(self, deadline: float, *, relayed: bool) -> float:
        """Return the time until which a request with a deadline may start.

        A ``relayed`` request comes from another daemon, which can send it to another
        host. That daemon may also begin its own stop meanwhile, during which its caller
        must not be cut off.
        """
        if deadline <= self.ends_at:
            return math.inf
        return -math.inf if relayed else self.settled_at


class GracefulStop:
    """Run the phases of a stop; times in seconds.

    With ``steps_back``, the other daemons are first only notified to prefer other
    hosts.
    """

    def __init__(
        self,
        now: float,
        *,
        timeout: float,
        settle_seconds: float = SETTLE_SECONDS,
        steps_back: bool = False,
    ) -> None:
        self._steps_back = steps_back
        self._machine: StopMachine = _create_machine(object())
        self.schedule = StopSchedule(
            now + min(settle_seconds, timeout / 2), now + timeout
        )

    @property
    def has_ended(self) -> bool:
        """Return whether the stop is complete."""
        return self._machine.get_phase() is StopPhase.ENDED

    def begin(self) -> list[StopEffect]:
        """Start the stop."""
        effects = self._machine.begin()
        if not self._steps_back:
            return effects
        remaining_effects = [e for e in effects if e is not StopEffect.LEAVE_MESH]
        return [StopEffect.STEP_BACK, *remaining_effects]

    def advance(
        self, now: float, connections: int, *, exclusive_timeout: float | None = None
    ) -> list[StopEffect]:
        """Return the next effects, given the number of open connections.

        ``exclusive_timeout`` is the shortest timeout of the requests that no other host
        can run, or ``None`` if there are others for all. The daemon keeps serving while
        some of them still end before the stop does.
        """
        phase = self._machine.get_phase()
        if exclusive_timeout is not None and phase is StopPhase.SETTLING:
            reserved = max(exclusive_timeout, MIN_DRAIN_SECONDS)
            if now < self.schedule.ends_at - reserved:
                return []
        if phase is StopPhase.SETTLING and now >= self.schedule.settled_at:
            effects = self._machine.drain()
            return [StopEffect.LEAVE_MESH, *effects] if self._steps_back else effects
        if phase is not StopPhase.DRAINING:
            return []
        if connections == 0:
            return self._machine.finish()
        if now >= self.schedule.ends_at:
            return self._machine.cut()
        return self._machine.wait()
