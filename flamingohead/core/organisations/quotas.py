"""The tokens that a daemon holds of the limits of organisations, and its demand."""

from __future__ import annotations

import copy
import hashlib
import itertools
import math
from collections import defaultdict, deque
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from flamingohead.core.organisations.messages import QuotaDemand

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from flamingohead.core.organisations.allocation import QuotaTolerance
    from flamingohead.core.organisations.messages import QuotaShare
    from flamingohead.core.resources import Organisation

TICK_SECONDS = 0.25
# A daemon keeps tokens for the requests that it expects in this time, and none if it
# expects less than one: idle tokens of many daemons used up small limits.
PREFETCH_SECONDS = 0.5
# Weight of the last tick in the estimates of demand and grants. With more, a single
# request made daemons hold tokens for a demand that they did not have.
ESTIMATE_WEIGHT = 0.15
# Uses and returns are reported after this time if no other message carries them. Until
# then the tokens count as held, which bounds what others are granted.
REPORT_SECONDS = 1.0
# Part of the bucket's depth, and number of tokens, above which uses are reported at
# once: a daemon that used the whole limit waited for tokens that only its report freed.
URGENT_REPORT_PART = 0.125
MIN_URGENT_REPORT = 4
# A request that brought no answer is repeated after this time, within the time that a
# caller's request waits.
REPEAT_SECONDS = 0.03
# Without an answer for this long, requests are decided without waiting. A process on a
# busy host may not run for 0.1 s.
SILENCE_SECONDS = 0.3
# An unanswered request that is older tells nothing about the allocator.
STALE_SECONDS = 1.0
# Pause between requests to a silent allocator.
PROBE_SECONDS = 0.1
# Time for which a limit that was not in the previous configuration is not enforced, in
# which the configuration reaches the allocator.
NEW_LIMIT_SECONDS = 2.5
# A refused request returns its token only within this time, since the window in which
# it was counted moves on.
RELEASE_SECONDS = 0.5
USE_STEP_SECONDS = 0.5
UNREACHABLE_RETRY_SECONDS = 0.5


class Decision(Enum):
    """Enumerate what happens to a request of an organisation with a limit."""

    ADMIT = "admit"
    WAIT = "wait"
    OVER_LIMIT = "over_limit"
    UNREACHABLE = "unreachable"


@dataclass
class _Lot:
    tokens: int
    expires_at: float
    source: str


@dataclass
class _Report:
    """Count tokens of one allocator since the start of this process."""

    used: int = 0
    returned: int = 0
    sent: tuple[int, int] = (0, 0)

    @property
    def is_due(self) -> bool:
        return (self.used, self.returned) != self.sent


@dataclass
class _Account:
    """Hold the tokens and the demand of one organisation on this daemon."""

    limit: Organisation
    reports: dict[str, _Report]
    lots: deque[_Lot] = field(default_factory=deque)
    # Allocator of the token used last.
    last_source: str = ""
    waiting: int = 0
    arrivals: int = 0
    demand: float = 0.0
    granted: int = 0
    grant_rate: float = 0.0
    # Time until which requests are refused without asking.
    refused_until: float = 0.0
    refusals: int = 0
    free_until: float = 0.0
    asked_at: float | None = None
    unanswered_since: float | None = None
    # Uses of granted tokens in steps of time, for the reserve.
    uses: deque[list] = field(default_factory=deque)
    reserve_left: int = 0
    reserve_used_at: float = -math.inf

    @property
    def held(self) -> int:
        return sum(lot.tokens for lot in self.lots)

    @property
    def prefetch(self) -> int:
        return math.floor(self.demand * PREFETCH_SECONDS)

    def is_asked(self, now: float) -> bool:
        """Return whether a recent request for tokens has not been answered."""
        return self.asked_at is not None and now - self.asked_at < STALE_SECONDS

    def is_silent(self, now: float) -> bool:
        since = self.unanswered_since
        return (
            since is not None and now - since >= SILENCE_SECONDS and self.is_asked(now)
        )


@dataclass(frozen=True)
class QuotaPreview:
    """Describe the decision on a request that would arrive now.

    ``held`` counts the tokens on this daemon, ``waiting`` the requests that wait for a
    grant. A limit that is new ``is_binding`` later.
    """

    decision: Decision
    retry_at: float
    held: int
    waiting: int
    is_binding: bool


class Quotas:
    """Decide on requests by the tokens that this daemon holds.

    Times are of a clock that goes on while the host is suspended, in seconds, so that
    tokens expire during a pause.
    """

    def __init__(self, host_id: str, tolerance: QuotaTolerance) -> None:
        self._host_id = host_id
        self._tolerance = tolerance
        self._accounts: dict[str, _Account] = {}
        # Kept for removed limits, since an allocator may not know of the removal.
        self._reports: dict[str, dict[str, _Report]] = {}
        self._has_limits = False
        self._last_sent: dict[str, float] = {}

    def set_limits(self, limits: Mapping[str, Organisation], now: float) -> None:
        """Apply the limits of a configuration, by name of the organisation."""
        for name in self._accounts.keys() - limits.keys():
            self._return_surplus(self._accounts.pop(name), 0)
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                reports = self._reports.setdefault(name, defaultdict(_Report))
                account = self._accounts[name] = _Account(limit, reports)
                if self._has_limits:
                    account.free_until = now + NEW_LIMIT_SECONDS
            elif account.limit != limit:
                depth = math.floor(self._tolerance.compute_depth(limit))
                self._return_surplus(account, depth)
                account.limit = limit
                account.refused_until = 0.0
        self._has_limits = True

    def has_limit(self, name: str) -> bool:
        return name in self._accounts

    def preview(self, name: str, now: float) -> QuotaPreview | None:
        """Return what ``decide`` would return, without a change; ``None`` if no limit.

        The decision is made on a copy of the account.
        """
        if name not in self._accounts:
            return None
        view = copy.copy(self)
        account = self._copy_account(self._accounts[name], now)
        view._accounts = {name: account}
        view._expire(account, now)
        held, waiting = account.held, account.waiting
        decision = view.decide(name, now)
        return QuotaPreview(
            decision,
            view.compute_retry_at(name, decision, now),
            held,
            waiting,
            now >= account.free_until,
        )

    def _copy_account(self, account: _Account, now: float) -> _Account:
        """Return a copy with the uses of the last window, the only ones that count."""
        since = now - self._tolerance.window
        recent = itertools.takewhile(
            lambda use: use[0] >= since, reversed(account.uses)
        )
        reports = {source: replace(r) for source, r in account.reports.items()}
        return replace(
            account,
            reports=defaultdict(_Report, reports),
            lots=deque(replace(lot) for lot in account.lots),
            uses=deque([list(use) for use in recent][::-1]),
        )

    # Requests

    def decide(self, name: str, now: float) -> Decision:
        """Count an arriving request and decide on it; ``ADMIT`` has used a token."""
        account = self._accounts[name]
        account.arrivals += 1
        if now < account.free_until or self._take(account, now):
            return Decision.ADMIT
        if now < account.refused_until:
            account.refusals += 1
            return Decision.OVER_LIMIT
        if account.is_silent(now) and now - account.asked_at < PROBE_SECONDS:
            return self._decide_alone(account, now)
        return Decision.WAIT

    def decide_late(self, name: str, now: float) -> Decision:
        """Decide on a request that has waited for a grant as long as it may."""
        account = self._accounts.get(name)
        if account is None or self._take(account, now):
            return Decision.ADMIT
        if now < account.refused_until:
            account.refusals += 1
            return Decision.OVER_LIMIT
        return self._decide_alone(account, now)

    def take_for_waiting(self, name: str, now: float) -> bool:
        """Use a token for a waiting request; return whether there was one."""
        account = self._accounts.get(name)
        return account is None or self._take(account, now)

    def change_waiting(self, name: str, change: int) -> None:
        """Count a request that begins or ends to wait for a grant."""
        account = self._accounts.get(name)
        if account is not None:
            account.waiting = max(0, account.waiting + change)

    def release(self, name: str, admitted_at: float, now: float) -> None:
        """Return the token of a request that did not run.

        It can be used again here and counts as held until then. A request of the
        reserve gives a token back as well, in exchange for its part of the reserve.
        """
        account = self._accounts.get(name)
        if account is None or now - admitted_at > RELEASE_SECONDS:
            return
        source = account.last_source
        if not account.reports[source].used:
            return
        account.reports[source].used -= 1
        if account.uses:
            account.uses[-1][1] -= 1
        account.lots.append(_Lot(1, now + RELEASE_SECONDS, source))

    def compute_retry_at(self, name: str, decision: Decision, now: float) -> float:
        """Return when a refused request may succeed.

        The requests refused since the last grant come back at the rate of the grants.
        """
        account = self._accounts.get(name)
        if account is None or decision is Decision.UNREACHABLE:
            return now + UNREACHABLE_RETRY_SECONDS
        delay = account.refusals / max(1.0, account.grant_rate)
        return max(now, account.refused_until) + min(self._tolerance.window, delay)

    def _take(self, account: _Account, now: float) -> bool:
        self._expire(account, now)
        if not account.lots:
            return False
        lot = account.lots[0]
        lot.tokens -= 1
        account.reports[lot.source].used += 1
        account.last_source = lot.source
        if not lot.tokens:
            account.lots.popleft()
        if not account.uses or now - account.uses[-1][0] >= USE_STEP_SECONDS:
            account.uses.append([now, 0])
            self._drop_old_uses(account, now)
        account.uses[-1][1] += 1
        return True

    def _expire(self, account: _Account, now: float) -> None:
        if not account.lots or now < min(lot.expires_at for lot in account.lots):
            return
        kept = deque()
        for lot in account.lots:
            if now < lot.expires_at:
                kept.append(lot)
            else:
                account.reports[lot.source].returned += lot.tokens
        account.lots = kept

    def _drop_old_uses(self, account: _Account, now: float) -> None:
        since = now - self._tolerance.window
        while account.uses and account.uses[0][0] < since:
            account.uses.popleft()

    def _decide_alone(self, account: _Account, now: float) -> Decision:
        """Admit a small part of the usual requests while the allocator is silent.

        The part of all daemons together fits into the overage, since it is one of what
        they have used of earlier grants.
        """
        window = self._tolerance.window
        if now - account.reserve_used_at >= window:
            self._drop_old_uses(account, now)
            used = sum(count for _, count in account.uses)
            exact = self._tolerance.reserve_fraction * max(0, used)
            account.reserve_left = math.floor(exact + self._get_rounding(account))
        if account.reserve_left <= 0:
            return Decision.UNREACHABLE
        account.reserve_left -= 1
        account.reserve_used_at = now
        return Decision.ADMIT

    def _get_rounding(self, account: _Account) -> float:
        """Return a fixed number below 1, which differs between daemons."""
        text = f"{self._host_id}\n{account.limit.name}".encode()
        digest = hashlib.blake2b(text, digest_size=4).digest()
        return int.from_bytes(digest, "big") / 2**32

    # Messages

    def tick(self, now: float, elapsed: float) -> None:
        """Update the estimates of demand, and return tokens that are not needed."""
        for account in self._accounts.values():
            if not (account.arrivals or account.demand or account.lots):
                continue
            self._expire(account, now)
            rate = account.arrivals / elapsed
            account.demand += ESTIMATE_WEIGHT * (rate - account.demand)
            if account.demand < 0.01:
                account.demand = 0.0
            granted = account.granted / elapsed
            account.grant_rate += ESTIMATE_WEIGHT * (granted - account.grant_rate)
            account.arrivals = account.granted = 0
            self._return_surplus(account, 2 * account.prefetch)

    def _return_surplus(self, account: _Account, keep: int) -> None:
        surplus = account.held - keep
        while surplus > 0:
            lot = account.lots[-1]
            part = min(lot.tokens, surplus)
            lot.tokens -= part
            account.reports[lot.source].returned += part
            surplus -= part
            if not lot.tokens:
                account.lots.pop()

    def collect_demands(
        self, choose: Callable[[str], str], now: float
    ) -> dict[str, list[QuotaDemand]]:
        """Return the demands to send now, by host id of the allocator.

        A message that is due for one organisation carries the reports and the needs of
        all others of the same allocator.
        """
        due: set[str] = set()
        ready: dict[str, list[tuple[str, _Account]]] = defaultdict(list)
        for name, account in self._accounts.items():
            if not (account.waiting or account.demand or account.reports):
                continue
            allocator = choose(name)
            if not allocator or not self._has_news(account, allocator, now):
                continue
            ready[allocator].append((name, account))
            if self._is_urgent(account, allocator, now) or self._is_report_due(
                allocator, now
            ):
                due.add(allocator)
        messages = {}
        # In a fixed order, so that a replay with a seed sends the same messages.
        for allocator in sorted(due):
            messages[allocator] = [
                self._build_demand(name, account, allocator, now)
                for name, account in ready[allocator]
            ]
            self._last_sent[allocator] = now
        return messages

    def _has_news(self, account: _Account, allocator: str, now: float) -> bool:
        report = account.reports.get(allocator)
        return (report is not None and report.is_due) or bool(
            self._count_wanted(account, now)
        )

    def _count_wanted(self, account: _Account, now: float) -> int:
        if now < account.refused_until or now < account.free_until:
            return 0
        if account.waiting or account.held < (account.prefetch + 1) // 2:
            return max(0, account.waiting + account.prefetch - account.held)
        return 0

    def _is_urgent(self, account: _Account, allocator: str, now: float) -> bool:
        depth = self._tolerance.compute_depth(account.limit)
        report = account.reports.get(allocator)
        unreported = 0 if report is None else report.used - report.sent[0]
        if unreported >= max(MIN_URGENT_REPORT, URGENT_REPORT_PART * depth):
            return True
        if not self._count_wanted(account, now):
            return False
        if account.asked_at is None:
            return True
        if not account.waiting:
            pause = TICK_SECONDS
        else:
            pause = PROBE_SECONDS if account.is_silent(now) else REPEAT_SECONDS
        return now - account.asked_at >= pause

    def _is_report_due(self, allocator: str, now: float) -> bool:
        return now - self._last_sent.get(allocator, -math.inf) >= REPORT_SECONDS

    def _build_demand(
        self, name: str, account: _Account, allocator: str, now: float
    ) -> QuotaDemand:
        wanted = self._count_wanted(account, now)
        report = account.reports[allocator]
        # Requests that wait use their tokens as soon as these arrive. Counted in
        # advance, the tokens are not held and need no message later.
        used = report.used + min(wanted, account.waiting)
        if wanted:
            if account.unanswered_since is None or not account.is_asked(now):
                account.unanswered_since = now
            account.asked_at = now
        report.sent = (used, report.returned)
        return QuotaDemand(name, wanted, used, report.returned)

    def receive(
        self, share: QuotaShare, source: str, sent_at: float, now: float
    ) -> bool:
        """Apply the answer to a request that was sent at ``sent_at``.

        Returns whether its sender grants tokens of the organisation at present. The
        lifetime of the tokens begins when the request was sent, so that a delayed
        answer does not extend it.
        """
        account = self._accounts.get(share.organisation)
        if account is None:
            return True
        if not (share.tokens or share.lifetime_ms or share.retry_after_ms):
            # The member does not grant tokens at present; nobody waits for it.
            account.unanswered_since = sent_at - SILENCE_SECONDS
            return False
        account.unanswered_since = None
        if share.tokens or share.retry_after_ms:
            account.asked_at = None
        if share.tokens:
            expires_at = sent_at + share.lifetime_ms / 1000
            account.lots.append(_Lot(share.tokens, expires_at, source))
            account.granted += share.tokens
            account.refusals = 0
        if share.retry_after_ms:
            until = now + share.retry_after_ms / 1000
            account.refused_until = max(account.refused_until, until)
        return True
