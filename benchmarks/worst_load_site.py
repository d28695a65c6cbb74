"""Deployments and days of the model of work at its worst load."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


@dataclass(frozen=True)
class Kind:
    """Describe one kind of request; times in seconds, ``rate`` in requests a second.

    ``work`` is the mean time on a slot; one in a hundred takes ``tail`` times as long.
    ``calls`` is made by ``call_share`` of the requests while they run.
    """

    name: str
    service: str
    order: int
    rate: float
    work: float
    target: float
    deadline: float
    worth: float
    late_worth: float
    safe: bool = True
    bulky: bool = False
    tail: float = 3.0
    returns: int = 1
    impatient: float = 0.0
    calls: Kind | None = None
    call_share: float = 0.0

    @property
    def rank_name(self) -> str:
        return f"{self.order}-{1000 * self.target:.0f}ms"

    def draw_work(self, random: Random) -> float:
        """Return the time of one request on a slot."""
        seconds = self.work * random.lognormvariate(-0.045, 0.3)
        return seconds * self.tail if random.random() < 0.01 else seconds


@dataclass(frozen=True)
class Burst:
    """Multiply the rate of a kind, or of all, between two moments."""

    begins_at: float
    ends_at: float
    factor: float
    kind: str = ""


@dataclass(frozen=True)
class Slowdown:
    """Let the upstreams of a service take longer between two moments."""

    begins_at: float
    ends_at: float
    factor: float
    service: str


@dataclass(frozen=True)
class Change:
    """Let upstreams of a service leave, and cold ones join."""

    at: float
    service: str
    leaves: int = 0
    joins: int = 0


@dataclass(frozen=True)
class Day:
    """Hold a deployment and what happens on it."""

    name: str
    kinds: tuple[Kind, ...]
    hosts: tuple[tuple[str, str], ...]
    speeds: tuple[float, ...] = (1.0, 0.8, 1.2)
    slots: int = 18
    seconds: float = 24.0
    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    changes: tuple[Change, ...] = field(default_factory=tuple)

    @property
    def domains(self) -> list[str]:
        return sorted({domain for domain, _ in self.hosts})

    def list_kinds(self) -> list[Kind]:
        """Return the kinds of callers and those of nested calls."""
        nested = [kind.calls for kind in self.kinds if kind.calls is not None]
        return [*self.kinds, *nested]

    def list_hosts(self) -> list[tuple[str, str, str, float]]:
        """Return name, failure domain, service and speed of each host."""
        return [
            (f"h{number}", domain, service, self.speeds[number % len(self.speeds)])
            for number, (domain, service) in enumerate(self.hosts)
        ]

    def get_factor(self, kind: Kind, now: float) -> float:
        """Return what the rate of a kind is multiplied by."""
        factor = self.load
        for burst in self.bursts:
            if burst.begins_at <= now < burst.ends_at and burst.kind in ("", kind.name):
                factor *= burst.factor
        return factor

    def get_slowdown(self, service: str, now: float) -> float:
        """Return what work on a service's slots is multiplied by."""
        factor = 1.0
        for slow in self.slowdowns:
            if slow.begins_at <= now < slow.ends_at and slow.service == service:
                factor *= slow.factor
        return factor


_CHECK = Kind("check", "archive", 1, 0.0, 0.04, 0.15, 0.5, 0.0, 0.0, returns=0)
_KINDS = (
    Kind(
        "lookup",
        "ledger",
        1,
        246.0,
        0.16,
        0.5,
        1.2,
        0.99,
        0.099,
        calls=_CHECK,
        call_share=0.7,
    ),
    Kind("handover", "ledger", 1, 93.8, 0.21, 0.6, 1.5, 2.0, 0.2, safe=False, tail=5.0),
    Kind("bundle", "archive", 0, 29.9, 0.13, 0.4, 1.0, 1.9, 0.075, bulky=True),
    Kind("search", "archive", 2, 44.7, 0.64, 4.0, 5.0, 0.5, 0.074, tail=5.0),
)
_HOSTS = (
    ("makola", "ledger"),
    ("makola", "ledger"),
    ("makola", "ledger"),
    ("osu", "ledger"),
    ("osu", "ledger"),
    ("tema", "ledger"),
    ("makola", "archive"),
    ("osu", "archive"),
    ("tema", "archive"),
)

DAYS = {
    day.name: day
    for day in (
        Day("calm", _KINDS, _HOSTS),
        Day("busy", _KINDS, _HOSTS, load=1.5),
        Day("bursts", _KINDS, _HOSTS, bursts=(Burst(6, 10, 2.5), Burst(14, 18, 2.5))),
        Day(
            "searches",
            _KINDS,
            _HOSTS,
            bursts=(Burst(6, 12, 4.0, "search"), Burst(15, 19, 4.0, "bundle")),
        ),
        Day(
            "slow",
            _KINDS,
            _HOSTS,
            load=1.2,
            slowdowns=(
                Slowdown(6, 10, 2.5, "ledger"),
                Slowdown(14, 18, 2.5, "archive"),
            ),
        ),
        Day(
            "leaving",
            _KINDS,
            _HOSTS,
            load=1.1,
            changes=(
                Change(6.0, "ledger", leaves=3),
                Change(10.0, "ledger", joins=3),
                Change(14.0, "archive", leaves=1),
                Change(18.0, "archive", joins=1),
            ),
        ),
    )
}
