"""Acceptance of keys while the configuration is confirmed as the newest one."""

from __future__ import annotations

import logging
import math
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.messages import Ack
from flamingohead.core.organisations.revocation import (
    IN_FORCE_SECONDS,
    DocumentContent,
    Revocation,
    StoreDocument,
    choose_ping_target,
    estimate_creation,
)
from flamingohead.events import Event, log_event
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from flamingohead.core.eras import StoreVersion
    from flamingohead.core.messages import Datagram
    from flamingohead.core.resources import Organisation, Snapshot
    from flamingohead.core.routing import RouteTable
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD_SECONDS = 0.25
# Configurations kept to recognise an earlier one that a restored store returns.
MAX_EARLIER_TABLES = 8


def read_boot_time() -> float:
    """Return seconds on the clock that also advances while a machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class StoreDocumentRead:
    """Describe the configuration document in a response of the store.

    ``version`` is ``None`` if it can't be read from the document.
    """

    position: StoreVersion
    version: int | None
    snapshot: Snapshot | Refusal


@dataclass(frozen=True)
class StoreResponse:
    """Describe a response of the store; times are seconds on the boot-time clock.

    ``wait`` is the time after which the store ends a long poll without a change, or 0.
    """

    sent_at: float
    received_at: float
    wait: float = 0.0
    document: StoreDocumentRead | None = None


@dataclass(frozen=True)
class KeyStatus:
    """Describe whether keys are accepted; ``age`` is that of the confirmation.

    ``refusal`` is that of a request with a key of an organisation, ``denial_refusal``
    the one that a request with an unknown key gets instead of 401.
    """

    is_strict: bool
    age: float
    refusal: Refusal | None
    denial_refusal: Refusal | None


class RevocationService:
    """Track confirmations of the configuration, and decide whether keys are accepted.

    ``timeout`` is the longest time for which a withdrawn key may be used, or ``None``
    without a limit.
    """

    def __init__(self, kernel: Kernel, timeout: float | None) -> None:
        self._kernel = kernel
        self._is_strict = timeout is not None
        self._revocation = Revocation(timeout, read_boot_time())
        self._document = StoreDocument()
        self._random = random.Random()
        self._ticks = PeriodicTimer(self._tick)
        # Replaced route tables with the time of their replacement.
        self._earlier_tables: deque[tuple[float, RouteTable]] = deque(
            maxlen=MAX_EARLIER_TABLES
        )
        self._is_confirmed = False
        self._is_seeking = False
        self._last_source = ""

    async def start(self) -> None:
        gossip = self._kernel.get("gossip")
        gossip.ping_listeners.append(self._handle_ping_sent)
        gossip.listeners.append(self._handle_datagram)
        gossip.get_confirmation_age_ms = self._encode_age
        configuration = self._kernel.get("configuration")
        configuration.route_listeners.append(self._handle_replaced_routes)
        feed = self._kernel.get("feed")
        feed.response_listeners.append(self.record_response)
        feed.confirms_changes = lambda: configuration.routes.requires_keys
        if self._is_strict:
            self._ticks.start(TICK_PERIOD_SECONDS)

    async def stop(self) -> None:
        self._ticks.stop()

    # Decisions

    def check(
        self,
        routes: RouteTable,
        keys: Sequence[bytes],
        organisation: Organisation | Refusal | None,
    ) -> Refusal | None:
        """Return a refusal if keys must be neither accepted nor denied now.

        ``organisation`` is the result of their lookup in ``routes``.
        """
        if isinstance(organisation, Refusal):
            if organisation.kind is not ErrorKind.API_KEY_UNKNOWN:
                return None
            return self._check_denial(routes, keys)
        if organisation is None or not keys:
            # Requests without a key, and nested calls, need no confirmation.
            return None
        now = read_boot_time()
        delay = self._revocation.check_key(routes.version, now)
        if delay is None:
            return None
        return _refuse(routes, self._revocation.get_age(routes.version, now), delay)

    def describe(self, routes: RouteTable, organisation: str) -> KeyStatus:
        """Return whether keys would be accepted and denied now, without a change.

        An ``organisation`` that was removed a moment ago is not denied yet.
        """
        now = read_boot_time()
        revocation = self._revocation.copy()
        age = revocation.get_age(routes.version, now)
        delay = revocation.check_key(routes.version, now)
        refusal = None if delay is None else _refuse(routes, age, delay)
        denial_delay = revocation.check_denial(routes.version, now)
        if denial_delay is not None:
            denial_refusal = _refuse(routes, age, denial_delay)
        else:
            denial_refusal = self._find_earlier(
                now,
                lambda table: not table.requires_keys
                or table.get_organisation(organisation) is not None,
            )
        return KeyStatus(self._is_strict, age, refusal, denial_refusal)

    def _check_denial(
        self, routes: RouteTable, keys: Sequence[bytes]
    ) -> Refusal | None:
        now = read_boot_time()
        delay = self._revocation.check_denial(routes.version, now)
        if delay is not None:
            age = self._revocation.get_age(routes.version, now)
            return _refuse(routes, age, delay)
        return self._find_earlier(now, lambda table: _accepts(table, keys))

    def _find_earlier(
        self, now: float, accepts: Callable[[RouteTable], bool]
    ) -> Refusal | None:
        """Return a refusal if an earlier configuration that accepts may be in force."""
        for replaced_at, table in self._earlier_tables:
            active_until = replaced_at + IN_FORCE_SECONDS
            if now < active_until and accepts(table):
                detail = f"version {table.version}, which has the key, may be in force"
                return _build_refusal(detail, active_until - now)
        return None

    # Confirmations

    def record_response(self, response: StoreResponse) -> None:
        """Process a response of the store about the configuration document."""
        if response.document is not None:
            self._record_document(response.document)
        version = self._document.confirmed_version
        if not version or (
            self._document.content is DocumentContent.REJECTED
            and self._is_newer_version_known()
        ):
            return
        created_at = estimate_creation(
            response.sent_at,
            response.received_at,
            wait=response.wait,
            changed=response.document is not None,
        )
        self._last_source = "store"
        self._revocation.record_response(version, created_at)

    def _record_document(self, document: StoreDocumentRead) -> None:
        active = self._kernel.get("configuration").replica.snapshot
        content = self._compare(document.snapshot, active)
        previous = (self._document.content, self._document.confirmed_version)
        self._document.record(
            (document.position.era, document.position.number),
            document.version,
            content,
            active_version=active.version,
        )
        found = (self._document.content, self._document.confirmed_version)
        if (
            self._document.content is not DocumentContent.APPLIED
            and found != previous
            and self._is_required
        ):
            log_event(
                logger,
                Event.CONFIRMATION_LIMITED,
                found=document.version,
                held=active.version,
                content=content.value,
                confirms=self._document.confirmed_version,
            )

    def _compare(
        self, snapshot: Snapshot | Refusal, active: Snapshot
    ) -> DocumentContent:
        if isinstance(snapshot, Refusal) or snapshot.version > active.version:
            return DocumentContent.REJECTED
        candidates = [active, *(table.snapshot for _, table in self._earlier_tables)]
        is_known = any(
            (snapshot.version, snapshot.resources) == (known.version, known.resources)
            for known in candidates
        )
        return DocumentContent.APPLIED if is_known else DocumentContent.DIFFERENT

    def _is_newer_version_known(self) -> bool:
        """Return whether a peer applied a version that this daemon doesn't have."""
        held = self._kernel.get("configuration").replica.version
        observed = self._kernel.get("gossip").membership.observed_versions
        return any(peer.version > held for peer in observed.values())

    def _handle_replaced_routes(self, replaced: RouteTable) -> None:
        """Keep the replaced routes, which may still be in force on other daemons."""
        now = read_boot_time()
        if not replaced.requires_keys:
            self._revocation.restart(now)
        if replaced.version and (
            replaced.requires_keys
            or self._kernel.get("configuration").routes.requires_keys
        ):
            self._earlier_tables.append((now, replaced))

    def _handle_ping_sent(self, sequence: int) -> None:
        if self._is_required:
            self._revocation.record_ping(sequence, read_boot_time())

    def _handle_datagram(self, datagram: Datagram) -> None:
        body = datagram.body
        if not isinstance(body, Ack) or not datagram.confirmation_age_ms:
            return
        # A relayed acknowledgement has the version of the relay, not of its subject.
        if body.subject != datagram.sender:
            return
        now = read_boot_time()
        if self._revocation.record_acknowledgement(
            datagram.sequence, datagram.version, datagram.confirmation_age_ms, now
        ):
            self._last_source = datagram.sender

    def _encode_age(self, version: int) -> int:
        if not self._is_required:
            return 0
        return self._revocation.encode_age(version, read_boot_time())

    @property
    def _is_required(self) -> bool:
        """Return whether this or another daemon may need confirmations."""
        return self._is_strict or self._kernel.get("configuration").routes.requires_keys

    # Refresh

    def _tick(self) -> None:
        routes = self._kernel.get("configuration").routes
        if not routes.requires_keys:
            return
        now = read_boot_time()
        age = self._revocation.get_age(routes.version, now)
        if not math.isinf(age):
            self._kernel.get("metrics").set_gauge("confirmation.age", round(age, 3))
        self._report_change(routes.version, now, age)
        polls_store = self._kernel.get("subscription").polls_often
        actions = self._revocation.choose_refresh(
            routes.version, now, polls_store=polls_store
        )
        if actions.pings_peer:
            self._ping_peer()
        if actions.reads_store:
            self._read_store(age)
        self._report_seeking(routes.version, age, actions.pings_peer)

    def _ping_peer(self) -> None:
        membership = self._kernel.get("gossip").membership
        target = choose_ping_target(
            membership.list_usable(),
            membership.local_member.failure_domain,
            self._random,
        )
        if target is not None:
            self._kernel.get("metrics").count("confirmation.pings")
            self._kernel.get("gossip").ping(target.host_id)

    def _read_store(self, age: float) -> None:
        self._kernel.get("metrics").count("confirmation.reads")
        log_event(logger, Event.CONFIRMATION_READ, age_seconds=round(age, 3))
        self._kernel.get("configuration").read_source()

    def _report_change(self, version: int, now: float, age: float) -> None:
        is_confirmed = self._revocation.is_confirmed(version, now)
        if is_confirmed == self._is_confirmed:
            return
        self._is_confirmed = is_confirmed
        if not is_confirmed:
            self._kernel.get("metrics").count("confirmation.lost")
        log_event(
            logger,
            Event.KEYS_ACCEPTED if is_confirmed else Event.KEYS_SUSPENDED,
            version=version,
            age_seconds=round(age, 3),
            last_source=self._last_source,
            members=self._kernel.get("gossip").membership.count_members(),
        )

    def _report_seeking(self, version: int, age: float, pinged: bool) -> None:
        """Log the first ping after a time in which none was needed."""
        if pinged and not self._is_seeking:
            log_event(
                logger,
                Event.CONFIRMATION_SOUGHT,
                version=version,
                age_seconds=round(age, 3),
                last_source=self._last_source,
            )
        if pinged:
            self._is_seeking = True
        elif age < IN_FORCE_SECONDS / 2:
            self._is_seeking = False


def _accepts(table: RouteTable, keys: Sequence[bytes]) -> bool:
    """Return whether a table has an organisation for the keys, or needs none."""
    if not table.requires_keys:
        return True
    return len(keys) == 1 and table.find_organisation(keys[0]) is not None


def _refuse(routes: RouteTable, age: float, delay: float) -> Refusal:
    since = "since the start" if math.isinf(age) else f"for {age:.1f} s"
    detail = f"version {routes.version} not confirmed as newest {since}"
    return _build_refusal(detail, delay)


def _build_refusal(detail: str, delay: float) -> Refusal:
    return Refusal(
        ErrorKind.CONFIGURATION_UNCONFIRMED,
        detail,
        retry_at=time.monotonic() + delay,
    )
