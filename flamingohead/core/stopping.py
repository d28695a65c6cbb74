"""The planned stop of a daemon: leave, settle, drain, cut what is left.

The other daemons are told first. Some still send for a moment, so the listeners stay
open for a short time; every answer closes its connection meanwhile. Then the daemon
waits until no connection is in use, at most until the deadline of the stop.

A daemon that steps back stays in the mesh until its listeners close, and serves those
that find no other host: the load it answers is a roll of stops through the hosts of a
service that has few.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

SETTLE_SECONDS = 1.0
# Most requests in progress end within this time.
ENDING_SECONDS = 1.2


class StopEffect(Enum):
    """Name what a stop asks of the daemon."""

    STEP_BACK = "step_back"
    LEAVE_MESH = "leave_mesh"
    CLOSE_AFTER_ANSWERS = "close_after_answers"
    CLOSE_LISTENERS = "close_listeners"
    CLOSE_IDLE = "close_idle"
    CUT = "cut"


class StopPhase(Enum):
    """Name the phases of a stop."""

    SERVING = "serving"
    SETTLING = "settling"
    DRAINING = "draining"
    ENDED = "ended"


class StopMachine(Protocol):
    """Move through the phases of a stop."""

    def begin(self) -> list[StopEffect]:
        """Leave the mesh and serve on."""

    def drain(self) -> list[StopEffect]:
        """Take no new connections."""

    def wait(self) -> list[StopEffect]:
        """Close the connections that have come to rest."""

    def finish(self) -> list[StopEffect]:
        """End with nothing left open."""

    def cut(self) -> list[StopEffect]:
        """End with requests still open."""

    def get_phase(self) -> StopPhase:
        """Return the phase reached."""


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


class PlannedStop:
    """Order the steps of one stop; times in seconds.

    With ``steps_back`` it first only asks the others to prefer other hosts.
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
        self._settled_at = now + min(settle_seconds, timeout / 2)
        self._deadline = now + timeout

    @property
    def has_ended(self) -> bool:
        """Tell whether nothing is left to do."""
        return self._machine.get_phase() is StopPhase.ENDED

    def begin(self) -> list[StopEffect]:
        """Start the stop."""
        effects = self._machine.begin()
        if not self._steps_back:
            return effects
        others = [e for e in effects if e is not StopEffect.LEAVE_MESH]
        return [StopEffect.STEP_BACK, *others]

    def advance(
        self, now: float, connections: int, *, is_needed: bool = False
    ) -> list[StopEffect]:
        """Go on at ``now`` with this number of open connections.

        A daemon that ``is_needed``, since no other serves its upstreams' service, stays
        until the time left is that for ending what is in progress.
        """
        phase = self._machine.get_phase()
        if is_needed and now < self._deadline - ENDING_SECONDS:
            if phase is StopPhase.SETTLING:
                return []
        if phase is StopPhase.SETTLING and now >= self._settled_at:
            effects = self._machine.drain()
            return [StopEffect.LEAVE_MESH, *effects] if self._steps_back else effects
        if phase is not StopPhase.DRAINING:
            return []
        if connections == 0:
            return self._machine.finish()
        if now >= self._deadline:
            return self._machine.cut()
        return self._machine.wait()
