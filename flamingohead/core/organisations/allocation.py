"""Allocation of the limits of organisations to daemons, in tokens with a lifetime.

Each organisation has one allocator among the members. It keeps a bucket that is
refilled at the rate of the organisation. Tokens that daemons hold count against the
bucket's depth until they are reported as used or expire, so that the requests that run
in any window are at most the depth and the refill of the window, however late a token
is used.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from flamingohead.core.members import MemberStatus
from flamingohead.core.organisations.messages import QuotaGrant, QuotaShare

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping

    from flamingohead.core.members import Member
    from flamingohead.core.organisations.messages import QuotaDemand, QuotaRequest
    from flamingohead.core.resources import Organisation

# Seconds for which a daemon may use a granted token.
TOKEN_LIFETIME = 3.0
# An allocator that is replaced by a better one goes on for a time.
HANDOVER_SECONDS = 0.5
# The next one begins after that, although the news may reach the first 1 s later and is
# evaluated twice a second. The same holds for a host that comes back.
HANDOVER_DELAY = 2.0
START_DELAY = 2.0
# Delay of an allocator that follows one that is dead or has left.
SUCCESSION_DELAY = 0.5
# A gap between two calls of an allocator after which another one may have replaced it:
# members are declared dead after 3 s at the earliest. Busy hosts do not run a process
# for 0.1 s at a time, and rarely for 1.5 s.
PAUSE_THRESHOLD = 2.0
MIN_ALLOCATORS = 4
# An allocator answers this many times the requests that a daemon sends. With more
# allocators, fewer reports share a datagram with other demands.
MEMBERS_PER_ALLOCATOR = 16
# Daemons that are refused ask again at most this often.
MIN_RETRY_SECONDS = 0.15
# Daemons that were refused tokens of the same limit share this many requests a second.
RETRIES_PER_SECOND = 50.0
# Seconds for which a daemon that asked, or was refused, counts among those that share a
# limit.
SHARING_SECONDS = 2.0
# Time after its end in which a token may still be reported as returned.
REPORT_GRACE = 1.2
# Parts of the tolerance (overage and slack): depth of the bucket, content of the bucket
# of a new allocator, and requests that daemons admit while the allocator is silent. The
# rest covers calls that return tokens late.
DEPTH_PART = 0.45
# Part of the burst that is added again in each window instead of once: callers with a
# steady demand above the rate get more of the limit, those with short peaks less.
BURST_REFILL_PART = 0.75
INITIAL_PART = 0.05
RESERVE_PART = 0.4
# Parts of the depth that daemons may hold together: normally, and while tokens of an
# earlier allocator may still be held.
HELD_PART = 0.75
YOUNG_PART = 0.25
# Part of the depth up to which daemons get tokens in advance. The rest is left for
# requests that wait: with 0.75, idle tokens led to refusals at 0.8 of a limit.
IDLE_PART = 0.4


@dataclass(frozen=True)
class QuotaTolerance:
    """Bound the requests of an organisation in any window, which is in seconds.

    The bound is (rate * window + burst) * (1 + overage) + slack.
    """

    window: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def compute_bound(self, limit: Organisation) -> float:
        """Return the requests of an organisation that may run in a window."""
        allowed = limit.rate_per_second * self.window + limit.burst
        return allowed * (1 + self.overage) + self.slack

    def compute_extra(self, limit: Organisation) -> float:
        """Return the part of the bound beyond the limit itself."""
        allowed = limit.rate_per_second * self.window + limit.burst
        return allowed * self.overage + self.slack

    def compute_depth(self, limit: Organisation) -> float:
        """Return the depth of the bucket, which includes the tokens held by daemons."""
        kept = (1 - BURST_REFILL_PART) * limit.burst
        return max(1.0, kept + DEPTH_PART * self.compute_extra(limit))

    def compute_refill(self, limit: Organisation) -> float:
        """Return the tokens per second that are added to the bucket.

        The bound of a window includes the burst, so that a part of it may be used again
        in each window.
        """
        return limit.rate_per_second + BURST_REFILL_PART * limit.burst / self.window

    @property
    def reserve_fraction(self) -> float:
        """Return the requests admitted without an allocator, per request in a window.

        All requests of the last window together are at most the bound, so that this
        fraction of them fits into the overage.
        """
        return RESERVE_PART * self.overage


def choose_candidates(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the host ids of the members that are allocators.

    They are those of the highest capacity. The number grows with the members, so that
    the requests an allocator has to answer do not.
    """
    usable = sorted(
        (member for member in members if member.is_usable),
        key=lambda member: (-member.capacity, _hash(member.host_id)),
    )
    count = max(MIN_ALLOCATORS, math.ceil(len(usable) / MEMBERS_PER_ALLOCATOR))
    return tuple(member.host_id for member in usable[:count])


def choose_allocator(organisation: str, candidates: Iterable[str]) -> str:
    """Return the allocator of an organisation, or an empty string without candidates.

    If a candidate leaves, only its organisations move.
    """
    return max(
        candidates, key=lambda host_id: _hash(f"{organisation}\n{host_id}"), default=""
    )


@lru_cache(maxsize=1 << 16)
def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def sees_majority(members: Iterable[Member]) -> bool:
    """Return whether this side of a possible partition may grant tokens.

    Silent members of a failure domain of which most respond count as lost, not as cut
    off: a partition separates failure domains, while any number of hosts may be lost.
    Suspected members count as silent, so that an allocator in a minority stops before
    the majority has declared it dead and replaced it.
    """
    alive: Counter[str] = Counter()
    absent: Counter[str] = Counter()
    for member in members:
        if member.status is MemberStatus.ALIVE:
            alive[member.failure_domain] += 1
        elif member.status is not MemberStatus.LEFT:
            absent[member.failure_domain] += 1
    cut_off = sum(n for domain, n in absent.items() if n > alive[domain])
    return alive.total() > cut_off


@dataclass
class _Holder:
    """Track the tokens that one daemon holds of one organisation."""

    epoch: int
    sequence: int
    used: int
    returned: int
    # Tokens and the time until which they count as held, the oldest first.
    lots: list[list] = field(default_factory=list)
    asked_at: float = -math.inf
    refused_at: float = -math.inf

    @property
    def held(self) -> int:
        return sum(lot[0] for lot in self.lots)

    def expire(self, now: float) -> None:
        self.lots = [lot for lot in self.lots if lot[1] > now]

    def remove(self, count: int) -> int:
        """Remove the oldest tokens; return how many were there to remove."""
        removed = 0
        while self.lots and removed < count:
            part = min(self.lots[0][0], count - removed)
            self.lots[0][0] -= part
            removed += part
            if not self.lots[0][0]:
                self.lots.pop(0)
        return removed


class _Bucket:
    """Count the tokens of one organisation."""

    def __init__(self, limit: Organisation, tolerance: QuotaTolerance, now: float):
        self.limit = limit
        self._tolerance = tolerance
        self._holders: dict[str, _Holder] = {}
        self._refilled_at = now
        self.held = 0
        self.grants_from = now + START_DELAY
        # Set while another allocator is about to take over.
        self.ends_at = math.inf
        self.tokens = INITIAL_PART * tolerance.compute_extra(limit)

    def set_limit(self, limit: Organisation, now: float) -> None:
        """Apply another limit; a lowered one takes effect at once."""
        self._refill(now)
        self.limit = limit
        self._refill(now)

    def restart(self, now: float) -> None:
        """Empty the bucket, since another allocator may have granted meanwhile."""
        self.tokens = 0.0
        self.grants_from = now + START_DELAY

    def fill(self, now: float) -> None:
        """Fill the bucket of a limit that did not exist before."""
        self.tokens = HELD_PART * self._tolerance.compute_depth(self.limit)
        self._refill(now)

    def _refill(self, now: float) -> None:
        self.held = 0
        for sender, holder in list(self._holders.items()):
            holder.expire(now)
            self.held += holder.held
            if not holder.lots and now - holder.asked_at > TOKEN_LIFETIME:
                del self._holders[sender]
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self.tokens += elapsed * self._tolerance.compute_refill(self.limit)
        self.tokens = max(0.0, min(self.tokens, self._get_depth(now) - self.held))

    def _is_young(self, now: float) -> bool:
        return now < self.grants_from + TOKEN_LIFETIME

    def _get_depth(self, now: float) -> float:
        depth = self._tolerance.compute_depth(self.limit)
        return max(1.0, YOUNG_PART * depth) if self._is_young(now) else depth

    def answer(
        self, demand: QuotaDemand, sender: str, sequence: int, now: float
    ) -> QuotaShare | None:
        """Return the tokens for a demand.

        Reports, and demands that are old or repeated, have no answer.
        """
        holder = self._holders.get(sender)
        epoch, number = split_sequence(sequence)
        is_new = holder is None or holder.epoch != epoch
        if is_new:
            # The tokens of an earlier process on the host expire in their time.
            lots = [] if holder is None else holder.lots
            holder = _Holder(epoch, -1, demand.used, demand.returned, lots)
        if number <= holder.sequence:
            return None
        self._holders[sender] = holder
        in_advance = self._apply_report(holder, demand, now)
        holder.sequence = number
        holder.asked_at = now
        self._refill(now)
        if not demand.wanted:
            return None
        waiting = min(demand.wanted, in_advance)
        granted = self._choose_tokens(demand.wanted, waiting or int(is_new), now)
        if is_new and granted:
            # It is not known how many requests of this daemon wait; one does usually.
            granted = in_advance = 1
        if not granted and not waiting and not is_new:
            return QuotaShare(demand.organisation, 0, round(1000 * TOKEN_LIFETIME))
        if not granted:
            holder.refused_at = now
            return QuotaShare(demand.organisation, 0, 0, self._compute_retry_ms(now))
        self.tokens -= granted
        used = min(granted, in_advance)
        if not is_new:
            holder.used += used
        if granted > used:
            expires_at = now + TOKEN_LIFETIME + REPORT_GRACE
            holder.lots.append([granted - used, expires_at])
            self.held += granted - used
        return QuotaShare(demand.organisation, granted, round(1000 * TOKEN_LIFETIME))

    def _choose_tokens(self, wanted: int, waiting: int, now: float) -> int:
        depth = self._tolerance.compute_depth(self.limit)
        room = max(1.0, HELD_PART * depth) - self.held
        available = math.floor(min(self.tokens, room) + 1e-9)
        if available <= 0:
            return 0
        # One of several daemons does not take everything that the others may need.
        sharing = sum(
            now - holder.asked_at < SHARING_SECONDS for holder in self._holders.values()
        )
        if sharing >= 2:
            available = math.ceil(available / 2)
        idle = max(0, math.floor(IDLE_PART * depth - self.held))
        return min(wanted, available, waiting + idle)

    def _compute_retry_ms(self, now: float) -> int:
        refill = self._tolerance.compute_refill(self.limit)
        missing = max(0.0, 1.0 - self.tokens) / refill
        refused = sum(
            now - holder.refused_at < SHARING_SECONDS
            for holder in self._holders.values()
        )
        spread = refused / RETRIES_PER_SECOND
        return round(1000 * max(MIN_RETRY_SECONDS, missing, spread))

    def _apply_report(self, holder: _Holder, demand: QuotaDemand, now: float) -> int:
        """Remove used and returned tokens; returned ones go back to the bucket.

        ``used`` falls if a request that had used a token did not run. Returns how many
        of the used tokens are still to be granted.
        """
        used, returned = demand.used - holder.used, demand.returned - holder.returned
        holder.returned = demand.returned
        if used < 0:
            holder.used = demand.used
            again = min(-used, math.ceil(self._tolerance.compute_depth(self.limit)))
            holder.lots.append([again, now + TOKEN_LIFETIME + REPORT_GRACE])
        removed = holder.remove(used)
        holder.used += removed
        if returned > 0:
            self.tokens += holder.remove(returned)
        return max(0, used - removed)


class Allocator:
    """Grant the tokens of the organisations that this daemon is the allocator of."""

    def __init__(self, host_id: str, tolerance: QuotaTolerance) -> None:
        self._host_id = host_id
        self._tolerance = tolerance
        self._limits: Mapping[str, Organisation] = {}
        self._candidates: tuple[str, ...] = ()
        self._buckets: dict[str, _Bucket] = {}
        self.has_majority = False
        self._was_paused = False
        self._last_seen_at: float | None = None
        self._candidates_since = 0.0
        # Time before which this process grants nothing.
        self._starts_at = 0.0

    @property
    def owned(self) -> frozenset[str]:
        """Return the organisations that this daemon is the allocator of."""
        return frozenset(n for n, b in self._buckets.items() if b.ends_at == math.inf)

    def set_limits(self, limits: Mapping[str, Organisation], now: float) -> None:
        """Apply the limits of a configuration, by name of the organisation."""
        is_first = not self._limits
        self._starts_at = self._starts_at or now + START_DELAY
        known = set(self._buckets)
        self._limits = limits
        self._update_owned(now)
        for name in self._buckets.keys() - known:
            # No other allocator has granted tokens of a limit that is new.
            if not is_first:
                self._buckets[name].grants_from = self._candidates_since + START_DELAY
                self._buckets[name].fill(now)

    def set_members(
        self,
        candidates: tuple[str, ...],
        usable: Container[str],
        now: float,
        *,
        majority: bool,
    ) -> None:
        """Apply the allocators, the members and whether this side may grant.

        Call it once a second or more often.
        """
        self.note_time(now)
        if majority and not self.has_majority:
            self._restart(now)
        self.has_majority = majority
        if candidates != self._candidates:
            previous, self._candidates = self._candidates, candidates
            self._candidates_since = now
            self._update_owned(now, previous, usable)
        for name, bucket in list(self._buckets.items()):
            if now >= bucket.ends_at:
                del self._buckets[name]

    def note_time(self, now: float) -> None:
        """Discard all state after a pause: another allocator may have begun."""
        if (
            self._last_seen_at is not None
            and now - self._last_seen_at > PAUSE_THRESHOLD
        ):
            self._restart(now)
            self._was_paused = bool(self._buckets)
        self._last_seen_at = now

    def take_pause(self) -> bool:
        """Return whether state was discarded after a pause since the last call."""
        was_paused, self._was_paused = self._was_paused, False
        return was_paused

    def _restart(self, now: float) -> None:
        for bucket in self._buckets.values():
            bucket.restart(now)

    def _update_owned(
        self, now: float, previous: tuple[str, ...] = (), usable: Container[str] = ()
    ) -> None:
        buckets = {}
        for name, limit in self._limits.items():
            bucket = self._buckets.get(name)
            if choose_allocator(name, self._candidates) != self._host_id:
                if bucket is None:
                    continue
                bucket.ends_at = min(bucket.ends_at, now + HANDOVER_SECONDS)
            elif bucket is None:
                bucket = _Bucket(limit, self._tolerance, now)
                predecessor = choose_allocator(name, previous)
                if predecessor:
                    is_alive = predecessor in usable
                    delay = HANDOVER_DELAY if is_alive else SUCCESSION_DELAY
                    bucket.grants_from = max(self._starts_at, now + delay)
            else:
                bucket.ends_at = math.inf
            if bucket.limit != limit:
                bucket.set_limit(limit, now)
            buckets[name] = bucket
        self._buckets = buckets

    def grant(
        self, request: QuotaRequest, sender: str, sequence: int, now: float
    ) -> QuotaGrant | None:
        """Return the answer to a request, or ``None`` if it is old or repeated.

        A share without tokens, lifetime and time for a retry tells the daemon that this
        member does not grant tokens of the organisation at present.
        """
        self.note_time(now)
        shares = []
        for demand in request.demands:
            bucket = self._buckets.get(demand.organisation)
            if bucket is None or not self._may_grant(bucket, now):
                shares.append(QuotaShare(demand.organisation, 0))
                continue
            share = bucket.answer(demand, sender, sequence, now)
            if share is not None:
                shares.append(share)
        return QuotaGrant(tuple(shares)) if shares else None

    def _may_grant(self, bucket: _Bucket, now: float) -> bool:
        return self.has_majority and bucket.grants_from <= now < bucket.ends_at


SEQUENCE_BITS = 24


def split_sequence(sequence: int) -> tuple[int, int]:
    """Return the epoch of the sending process and the number of the message."""
    return sequence >> SEQUENCE_BITS, sequence & ((1 << SEQUENCE_BITS) - 1)
