"""Passive health checking: ejection of upstreams by the outcomes of real requests."""

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
INITIAL_TRIAL_DELAY_SECONDS = 1.0
MAX_TRIAL_DELAY_SECONDS = 30.0
MIN_TIMEOUT_SECONDS = 0.25
TIMEOUT_BASELINE_FACTOR = 4.0

# A failed connection attempt or a reported drain is conclusive. An aborted connection
# or a time-out may be due to a single request, so several in a row are required.
FAILURE_SCORES: dict[ErrorKind, float] = {
    ErrorKind.HOST_UNREACHABLE: 1.0,
    ErrorKind.UPSTREAM_UNREACHABLE: 1.0,
    ErrorKind.DRAINING: 1.0,
    ErrorKind.HOST_CUT: 0.5,
    ErrorKind.UPSTREAM_CUT: 0.34,
    ErrorKind.UPSTREAM_MALFORMED: 0.34,
    ErrorKind.UPSTREAM_TIMEOUT: 0.34,
}

# A server error may be due to the request, so five in a row are required.
SERVER_ERROR_SCORE = 0.2
MIN_SERVER_ERROR_STATUS = 500

# Refusals by a live host: evidence of load, not of a fault.
OVERLOAD_KINDS = frozenset(
    {
        ErrorKind.UPSTREAM_SHED,
        ErrorKind.QUEUE_FULL,
        ErrorKind.DEADLINE_UNREACHABLE,
    }
)


def compute_failure_score(
    refusal: Refusal, *, elapsed: float, baseline: float
) -> float:
    """Return the weight of a refusal towards ejection.

    ``elapsed`` is the duration of the attempt and ``baseline`` the usual response time,
    in seconds. A time-out that the caller set too short is not evidence of a fault.
    """
    if refusal.kind is ErrorKind.UPSTREAM_TIMEOUT:
        min_timeout = max(MIN_TIMEOUT_SECONDS, TIMEOUT_BASELINE_FACTOR * baseline)
        if elapsed < min_timeout:
            return 0.0
    return FAILURE_SCORES.get(refusal.kind, 0.0)


def is_server_error(status: int) -> bool:
    """Return whether the status code of a response indicates a server error."""
    return status >= MIN_SERVER_ERROR_STATUS


class Health(Protocol):
    """Track whether an upstream may be chosen."""

    def eject(self, now: float) -> None:
        """Eject the upstream until a trial succeeds."""

    def start_trial(self) -> None:
        """Send one request to the ejected upstream."""

    def pass_trial(self) -> None:
        """Readmit the upstream after a successful trial."""

    def fail_trial(self, now: float) -> None:
        """Eject the upstream again after a failed trial, with a longer delay."""

    def abandon_trial(self, now: float) -> None:
        """Eject the upstream again after an inconclusive trial, with the same delay."""

    def readmit(self) -> None:
        """Readmit the upstream without a trial."""

    def is_available(self) -> bool:
        """Return whether ordinary requests may be sent."""

    def get_trial_time(self) -> float | None:
        """Return when the next trial is due, or ``None`` if no trial is scheduled."""


@dataclass
class _TrialSchedule:
    random: Random
    failed_trials: int = 0
    trial_at: float = 0.0

    def schedule_trial(self, now: float) -> None:
        delay = INITIAL_TRIAL_DELAY_SECONDS * 2.0 ** min(self.failed_trials, 10)
        jitter = self.random.uniform(0.5, 1.5)
        self.trial_at = now + min(delay, MAX_TRIAL_DELAY_SECONDS) * jitter


_builder = TypeMachineBuilder(Health, _TrialSchedule)
_healthy = _builder.state("healthy")
_ejected = _builder.state("ejected")
_on_trial = _builder.state("on_trial")


@_healthy.upon(Health.eject).to(_ejected)
def _eject(health: Health, schedule: _TrialSchedule, now: float) -> None:
    schedule.failed_trials = 0
    schedule.schedule_trial(now)


@_on_trial.upon(Health.fail_trial).to(_ejected)
def _fail_trial(health: Health, schedule: _TrialSchedule, now: float) -> None:
    schedule.failed_trials += 1
    schedule.schedule_trial(now)


@_on_trial.upon(Health.abandon_trial).to(_ejected)
def _abandon_trial(health: Health, schedule: _TrialSchedule, now: float) -> None:
    schedule.schedule_trial(now)


_ejected.upon(Health.eject).loop().returns(None)
_on_trial.upon(Health.eject).loop().returns(None)
_ejected.upon(Health.start_trial).to(_on_trial).returns(None)
_on_trial.upon(Health.pass_trial).to(_healthy).returns(None)
_healthy.upon(Health.readmit).loop().returns(None)
_ejected.upon(Health.readmit).to(_healthy).returns(None)
_on_trial.upon(Health.readmit).to(_healthy).returns(None)
# A trial may end after its upstream was readmitted without one.
for _input in (Health.pass_trial, Health.fail_trial, Health.abandon_trial):
    _healthy.upon(_input).loop().returns(None)
    _ejected.upon(_input).loop().returns(None)
_healthy.upon(Health.is_available).loop().returns(True)
_ejected.upon(Health.is_available).loop().returns(False)
_on_trial.upon(Health.is_available).loop().returns(False)
_healthy.upon(Health.get_trial_time).loop().returns(None)
_on_trial.upon(Health.get_trial_time).loop().returns(None)


@_ejected.upon(Health.get_trial_time).loop()
def _get_trial_time(health: Health, schedule: _TrialSchedule) -> float:
    return schedule.trial_at


_build_machine = _builder.build()


def create_health(random: Random) -> Health:
    """Return the health state of a new upstream, which is available."""
    return _build_machine(_TrialSchedule(random))
