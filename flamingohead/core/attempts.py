"""Retry decisions after a failed attempt of a request.

Attempts fail because hosts are full and refuse at once, because hosts or upstreams
disappear during a request, and because upstreams fail some of their requests. An
attempt refused by a host's admission control never reached an upstream and adds no load
to the upstreams; an attempt after one that an upstream worked on is charged to the
retry budget.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.returns import spread_evenly

if TYPE_CHECKING:
    from flamingohead.core.candidates import UpstreamKey

# Hosts that may refuse to run a request immediately before it is queued at a host.
MAX_IMMEDIATE_ATTEMPTS = 2
# Hosts that may refuse to queue a request.
MAX_QUEUE_REFUSALS = 2
# Hosts that may turn out to be unreachable or draining.
MAX_MOVES = 4

# Only a few slots become free in this time, and queued requests take them; a full queue
# does not empty.
OVERLOAD_CACHE_SECONDS = 0.04
MAX_CACHED_REFUSALS = 4096
FULL_KINDS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.DEADLINE_UNREACHABLE})

MOVE_KINDS = frozenset(
    {
        ErrorKind.HOST_UNREACHABLE,
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.DRAINING,
    }
)


class Step(Enum):
    """Enumerate the next steps after a failed attempt."""

    MOVE = "move"
    REPEAT = "repeat"
    GIVE_UP = "give_up"


@dataclass
class AttemptTracker:
    """Track the attempts of a request and decide on the next one.

    At most ``max_upstreams`` upstreams may work on the request. ``ran`` states whether
    any of the attempts was executed.
    """

    idempotent: bool
    max_upstreams: int
    deadline: float
    excluded: set[UpstreamKey] = field(default_factory=set)
    upstreams: int = 0
    retry_at: float | None = None
    ran: ExecutionStatus = ExecutionStatus.NO
    _immediate_attempts: int = 0
    _queue_refusals: int = 0
    _moves: int = 0
    _last_refusal: Refusal | None = None
    _step: Step | None = Step.MOVE

    @property
    def must_wait(self) -> bool:
        """Return whether the attempts that must not queue are used up."""
        return self._immediate_attempts >= MAX_IMMEDIATE_ATTEMPTS

    @property
    def last_refusal(self) -> Refusal | None:
        """Return the refusal of the last attempt."""
        return self._last_refusal

    def start(self) -> bool:
        """Return whether another attempt may be started.

        Each start needs the record of the attempt before, so that a loop over attempts
        ends if one of its turns sends nothing.
        """
        may_start = self._step in (Step.MOVE, Step.REPEAT)
        self._step = None
        return may_start

    def record(
        self, key: UpstreamKey, refusal: Refusal, now: float, *, waited: bool
    ) -> Step:
        """Record the refusal of an attempt, and return the next step.

        ``REPEAT`` means that an upstream worked on the attempt, so that the next one is
        charged to the retry budget.
        """
        self._step = self._decide(key, refusal, now, waited=waited)
        return self._step

    def give_up(self) -> None:
        """Start no further attempt, whatever the last record decided."""
        self._step = Step.GIVE_UP

    def _decide(
        self, key: UpstreamKey, refusal: Refusal, now: float, *, waited: bool
    ) -> Step:
        self._last_refusal = refusal
        self.ran = self.ran.merge(refusal.ran)
        self.excluded.add(key)
        if refusal.retry_at is not None:
            is_earlier = self.retry_at is None or refusal.retry_at < self.retry_at
            self.retry_at = refusal.retry_at if is_earlier else self.retry_at
        if now >= self.deadline:
            return Step.GIVE_UP
        may_have_run = refusal.ran is not ExecutionStatus.NO
        if may_have_run and not self.idempotent:
            return Step.GIVE_UP
        if refusal.kind in FULL_KINDS and not may_have_run:
            return self._record_overload(waited)
        if refusal.kind in MOVE_KINDS and not may_have_run:
            self._moves += 1
            return Step.MOVE if self._moves <= MAX_MOVES else Step.GIVE_UP
        self.upstreams += 1
        if self.upstreams >= self.max_upstreams:
            return Step.GIVE_UP
        return Step.REPEAT

    def _record_overload(self, waited: bool) -> Step:
        if not waited:
            self._immediate_attempts += 1
            if self.must_wait:
                # A host without a free slot may still have the shortest queue.
                self.excluded.clear()
            return Step.MOVE
        self._queue_refusals += 1
        return Step.MOVE if self._queue_refusals < MAX_QUEUE_REFUSALS else Step.GIVE_UP

    def build_final_refusal(self) -> Refusal | None:
        """Return the final refusal, for all attempts.

        It has the earliest time at which to retry, and states "not run" only if no
        attempt may have run.
        """
        last = self._last_refusal
        if last is None:
            return None
        if last.ran is ExecutionStatus.NO and self.retry_at is not None:
            last = replace(last, retry_at=self.retry_at)
        return last.merge_ran(self.ran)


@dataclass
class _CachedRefusal:
    """Hold a refusal, until when it is used, and how often it has been."""

    refusal: Refusal
    until: float
    uses: int = 0


class OverloadCache:
    """Cache for a short time that no host could queue requests of a rank.

    Under overload, offering every request to several full hosts costs all of them more
    than refusing it. A slot that becomes free in the meantime goes to a queued request.
    Hosts refuse one organisation while they queue requests of others, so that a refusal
    is used for requests of the same organisation only. ``period`` is in seconds.
    """

    def __init__(self, period: float = OVERLOAD_CACHE_SECONDS) -> None:
        self._period = period
        # In the order in which they were recorded, which is that of their ends.
        self._refusals: OrderedDict[tuple[str, str, str], _CachedRefusal]
        self._refusals = OrderedDict()

    def __len__(self) -> int:
        return len(self._refusals)

    def record(
        self,
        service: str,
        rank: str,
        refusal: Refusal,
        now: float,
        *,
        organisation: str = "",
    ) -> None:
        """Record the final refusal of a request that was offered to hosts."""
        if refusal.kind not in FULL_KINDS:
            return
        # The state of its attempts is not that of other requests.
        refusal = Refusal(refusal.kind, refusal.detail, refusal.retry_at)
        key = service, rank, organisation
        self._refusals[key] = _CachedRefusal(refusal, now + self._period)
        self._refusals.move_to_end(key)
        self._remove_ended(now)

    def find(
        self, service: str, rank: str, now: float, *, organisation: str = ""
    ) -> Refusal | None:
        """Return the cached refusal for a new request, if there is one.

        Requests of an organisation get different times to retry, up to twice as far in
        the future, so that they don't come back together.
        """
        key = service, rank, organisation
        cached = self._refusals.get(key)
        if cached is None:
            return None
        if now >= cached.until:
            del self._refusals[key]
            return None
        refusal = cached.refusal
        if not organisation or refusal.retry_at is None:
            return refusal
        cached.uses += 1
        delay = max(0.0, refusal.retry_at - now) * spread_evenly(cached.uses)
        return replace(refusal, retry_at=refusal.retry_at + delay)

    def peek(
        self, service: str, rank: str, now: float, *, organisation: str = ""
    ) -> Refusal | None:
        """Return the cached refusal as it was recorded, without counting its use."""
        cached = self._refusals.get((service, rank, organisation))
        return None if cached is None or now >= cached.until else cached.refusal

    def _remove_ended(self, now: float) -> None:
        while self._refusals:
            first = next(iter(self._refusals.values()))
            if now < first.until and len(self._refusals) <= MAX_CACHED_REFUSALS:
                return
            self._refusals.popitem(last=False)
