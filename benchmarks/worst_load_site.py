"""Deployments and days for the overload simulation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


@dataclass(frozen=True)
class RequestKind:
    """Describe one kind of request; times in seconds, ``rate`` in requests per second.

    ``work`` is the mean time on a slot; 1 % of requests take ``tail_factor`` times as
    long. A fraction ``nested_share`` of the requests makes a call of ``nested_kind``.
    A fraction ``early_retry_share`` of retries ignores the requested delay.
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
    idempotent: bool = True
    bulky: bool = False
    tail_factor: float = 3.0
    retries: int = 1
    early_retry_share: float = 0.0
    nested_kind: RequestKind | None = None
    nested_share: float = 0.0

    @property
    def rank_name(self) -> str:
        return f"{self.order}-{1000 * self.target:.0f}ms"

    def draw_work(self, random: Random) -> float:
        """Draw the time that one request occupies a slot."""
        seconds = self.work * random.lognormvariate(-0.045, 0.3)
        return seconds * self.tail_factor if random.random() < 0.01 else seconds


@dataclass(frozen=True)
class Burst:
    """Multiply the rate of one kind, or of all, during an interval."""

    begins_at: float
    ends_at: float
    factor: float
    kind: str = ""


@dataclass(frozen=True)
class Flood:
    """Multiply the rate of one organisation during an interval."""

    begins_at: float
    ends_at: float
    factor: float
    organisation: int


@dataclass(frozen=True)
class Slowdown:
    """Slow down the upstreams of a service during an interval."""

    begins_at: float
    ends_at: float
    factor: float
    service: str


@dataclass(frozen=True)
class MembershipChange:
    """Remove upstreams of a service, and add cold ones."""

    at: float
    service: str
    removed: int = 0
    added: int = 0


@dataclass(frozen=True)
class Day:
    """Define a deployment, its load and its events.

    The sizes of ``organisations`` fall as 1/n^1.1; without any, no request belongs to
    one.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    hosts: tuple[tuple[str, str], ...]
    speeds: tuple[float, ...] = (1.0, 0.8, 1.2)
    slots: int = 18
    seconds: float = 24.0
    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    changes: tuple[MembershipChange, ...] = field(default_factory=tuple)
    organisations: int = 0
    floods: tuple[Flood, ...] = ()

    @property
    def domains(self) -> list[str]:
        return sorted({domain for domain, _ in self.hosts})

    def list_kinds(self) -> list[RequestKind]:
        """Return the kinds of callers' requests and of nested calls."""
        nested = [
            kind.nested_kind for kind in self.kinds if kind.nested_kind is not None
        ]
        return [*self.kinds, *nested]

    def list_hosts(self) -> list[tuple[str, str, str, float]]:
        """Return the name, failure domain, service and speed of each host."""
        return [
            (f"h{number}", domain, service, self.speeds[number % len(self.speeds)])
            for number, (domain, service) in enumerate(self.hosts)
        ]

    def get_factor(self, kind: RequestKind, now: float) -> float:
        """Return the factor applied to the rate of a kind."""
        factor = self.load
        for burst in self.bursts:
            if burst.begins_at <= now < burst.ends_at and burst.kind in ("", kind.name):
                factor *= burst.factor
        return factor

    def list_organisation_weights(self, now: float) -> list[float]:
        """Return the rate of each organisation as a part of the usual total rate."""
        weights = [1 / (number + 1) ** 1.1 for number in range(self.organisations)]
        total = sum(weights)
        weights = [weight / total for weight in weights]
        for flood in self.floods:
            if flood.begins_at <= now < flood.ends_at:
                weights[flood.organisation] *= flood.factor
        return weights

    def get_slowdown(self, service: str, now: float) -> float:
        """Return the factor applied to service times of a service."""
        factor = 1.0
        for slowdown in self.slowdowns:
            if (
                slowdown.begins_at <= now < slowdown.ends_at
                and slowdown.service == service
            ):
                factor *= slowdown.factor
        return factor


_CHECK = RequestKind("check", "archive", 1, 0.0, 0.04, 0.15, 0.5, 0.0, 0.0, retries=0)
_KINDS = (
    RequestKind(
        "lookup",
        "ledger",
        1,
        246.0,
        0.16,
        0.5,
        1.2,
        0.99,
        0.099,
        nested_kind=_CHECK,
        nested_share=0.7,
    ),
    RequestKind(
        "handover",
        "ledger",
        1,
        93.8,
        0.21,
        0.6,
        1.5,
        2.0,
        0.2,
        idempotent=False,
        tail_factor=5.0,
    ),
    RequestKind("bundle", "archive", 0, 29.9, 0.13, 0.4, 1.0, 1.9, 0.075, bulky=True),
    RequestKind(
        "search", "archive", 2, 44.7, 0.64, 4.0, 5.0, 0.5, 0.074, tail_factor=5.0
    ),
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

_SMALL_CHECK = RequestKind(
    "check", "archive", 1, 0.0, 0.023, 0.1, 0.4, 0.0, 0.0, retries=0
)
_SHARED_KINDS = (
    RequestKind(
        "lookup",
        "ledger",
        1,
        330.0,
        0.2,
        0.8,
        2.5,
        1.0,
        0.1,
        nested_kind=_SMALL_CHECK,
        nested_share=0.7,
    ),
    RequestKind("update", "ledger", 1, 60.0, 0.2, 2.0, 4.0, 1.0, 0.1, idempotent=False),
)
_SHARED_HOSTS = tuple(
    (domain, service)
    for domain in ("makola", "osu", "tema")
    for service in 6 * ("ledger",) + ("archive",)
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
            "flood",
            _SHARED_KINDS,
            _SHARED_HOSTS,
            slots=6,
            speeds=(0.5, 1.0, 1.0, 1.5),
            organisations=87,
            floods=(Flood(6, 12, 7.5, 0), Flood(15, 20, 6.0, 3)),
        ),
        Day(
            "shared-bursts",
            _SHARED_KINDS,
            _SHARED_HOSTS,
            slots=6,
            speeds=(0.5, 1.0, 1.0, 1.5),
            organisations=87,
            bursts=(Burst(6, 10, 1.7), Burst(14, 18, 1.7)),
        ),
        Day(
            "leaving",
            _KINDS,
            _HOSTS,
            load=1.1,
            changes=(
                MembershipChange(6.0, "ledger", removed=3),
                MembershipChange(10.0, "ledger", added=3),
                MembershipChange(14.0, "archive", removed=1),
                MembershipChange(18.0, "archive", added=1),
            ),
        ),
    )
}
