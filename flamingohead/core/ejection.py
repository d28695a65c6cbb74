"""Ejection of upstreams on the outcomes of real requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

from flamingohead.core.errors import ErrorKind

if TYPE_CHECKING:
    from random import Random

    from flamingohead.core.errors import Refusal

EJECTION_SCORE = 1.0
MAX_EJECTED_FRACTION = 0.5
FIRST_TRIAL_SECONDS = 1.0
LONGEST_TRIAL_SECONDS = 30.0
SHORTEST_TIMEOUT_SECONDS = 0.25
TIMEOUT_USUAL_FACTOR = 4.0

# A connection that can't be made and a stated drain are certain. A cut or a
# timeout may be the fault of one request, so that several in a row are needed.
FAILURE_SCORES: dict[ErrorKind, float] = {
    ErrorKind.HOST_UNREACHABLE: 1.0,
    ErrorKind.UPSTREAM_UNREACHABLE: 1.0,
    ErrorKind.DRAINING: 1.0,
    ErrorKind.HOST_CUT: 0.5,
    ErrorKind.UPSTREAM_CUT: 0.34,
    ErrorKind.UPSTREAM_MALFORMED: 0.34,
    ErrorKind.UPSTREAM_TIMEOUT: 0.34,
}

# An answer that is a server error may be due to its request: five in a row count.
SERVER_ERROR_SCORE = 0.2
FIRST_SERVER_ERROR = 500

# Refusals that come from a live host: evidence of load, not of a fault.
OVERLOAD_KINDS = frozenset(
    {
        ErrorKind.UPSTREAM_SHED,
        ErrorKind.QUEUE_FULL,
        ErrorKind.DEADLINE_UNREACHABLE,
    }
)


def compute_failure_score(refusal: Refusal, *, held: float, usual: float) -> float:
    """Return how much a refusal counts towards ejection.

    ``held`` is the time the attempt was given and ``usual`` that of an answer, in
    seconds: a timeout that the caller set too short is no evidence.
    """
    if refusal.kind is ErrorKind.UPSTREAM_TIMEOUT:
        shortest = max(SHORTEST_TIMEOUT_SECONDS, TIMEOUT_USUAL_FACTOR * usual)
        if held < shortest:
            return 0.0
    return FAILURE_SCORES.get(refusal.kind, 0.0)


def is_server_error(status: int) -> bool:
    """Tell whether the status of an answer speaks of a fault of its upstream."""
    return status >= FIRST_SERVER_ERROR


class Health(Protocol):
    """Track whether an upstream may be chosen."""

    def eject(self, now: float) -> None:
        """Take the upstream out until a trial."""

    def start_trial(self) -> None:
        """Let one request through."""

    def pass_trial(self) -> None:
        """Take the upstream back after a trial that was answered."""

    def fail_trial(self, now: float) -> None:
        """Eject again after a failed trial, for longer."""

    def abandon_trial(self, now: float) -> None:
        """Eject again after a trial that ended without evidence."""

    def readmit(self) -> None:
        """Take the upstream back without a trial."""

    def is_open(self) -> bool:
        """Tell whether ordinary requests may be sent."""

    def get_trial_at(self) -> float | None:
        """Return when a trial is due, or ``None`` if none is waited for."""


@dataclass
class _Schedule:
    random: Random
    failed_trials: int = 0
    trial_at: float = 0.0

    def set_trial(self, now: float) -> None:
        wait = FIRST_TRIAL_SECONDS * 2.0 ** min(self.failed_trials, 10)
        jitter = self.random.uniform(0.5, 1.5)
        self.trial_at = now + min(wait, LONGEST_TRIAL_SECONDS) * jitter


_builder = TypeMachineBuilder(Health, _Schedule)
_healthy = _builder.state("healthy")
_ejected = _builder.state("ejected")
_on_trial = _builder.state("on_trial")


@_healthy.upon(Health.eject).to(_ejected)
def _eject(health: Health, schedule: _Schedule, now: float) -> None:
    schedule.failed_trials = 0
    schedule.set_trial(now)


@_on_trial.upon(Health.fail_trial).to(_ejected)
def _fail_trial(health: Health, schedule: _Schedule, now: float) -> None:
    schedule.failed_trials += 1
    schedule.set_trial(now)


@_on_trial.upon(Health.abandon_trial).to(_ejected)
def _abandon_trial(health: Health, schedule: _Schedule, now: float) -> None:
    schedule.set_trial(now)


_ejected.upon(Health.eject).loop().returns(None)
_on_trial.upon(Health.eject).loop().returns(None)
_ejected.upon(Health.start_trial).to(_on_trial).returns(None)
_on_trial.upon(Health.pass_trial).to(_healthy).returns(None)
_healthy.upon(Health.readmit).loop().returns(None)
_ejected.upon(Health.readmit).to(_healthy).returns(None)
_on_trial.upon(Health.readmit).to(_healthy).returns(None)
# A trial may end after its upstream was taken back by another way.
for _input in (Health.pass_trial, Health.fail_trial, Health.abandon_trial):
    _healthy.upon(_input).loop().returns(None)
    _ejected.upon(_input).loop().returns(None)
_healthy.upon(Health.is_open).loop().returns(True)
_ejected.upon(Health.is_open).loop().returns(False)
_on_trial.upon(Health.is_open).loop().returns(False)
_healthy.upon(Health.get_trial_at).loop().returns(None)
_on_trial.upon(Health.get_trial_at).loop().returns(None)


@_ejected.upon(Health.get_trial_at).loop()
def _get_trial_at(health: Health, schedule: _Schedule) -> float:
    return schedule.trial_at


_build_machine = _builder.build()


def create_health(random: Random) -> Health:
    """Return the state of an upstream that may be chosen."""
    return _build_machine(_Schedule(random))
