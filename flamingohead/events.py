"""Numbered log events; docs/log-catalogue.md lists them all."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class EventKind:
    """Define the number, level and message of an event."""

    number: int
    level: int
    message: str


class Event(Enum):
    """Enumerate the events that the system logs."""

    DAEMON_STARTED = EventKind(100, logging.INFO, "daemon started")
    DAEMON_STOPPING = EventKind(101, logging.INFO, "daemon stopping")
    DAEMON_STOPPED = EventKind(102, logging.INFO, "daemon stopped")
    DAEMON_NOT_STARTED = EventKind(103, logging.ERROR, "daemon can't start")
    SETTINGS_RELOADED = EventKind(104, logging.INFO, "settings reloaded")
    SETTINGS_REJECTED = EventKind(105, logging.ERROR, "settings file rejected")
    LOOP_BLOCKED = EventKind(106, logging.WARNING, "event loop blocked or paused")
    VERSION_ACTIVATED = EventKind(200, logging.INFO, "configuration in force")
    VERSION_REJECTED = EventKind(201, logging.ERROR, "configuration rejected")
    VERSION_ACCEPTED = EventKind(202, logging.INFO, "change accepted")
    CHANGE_REFUSED = EventKind(203, logging.WARNING, "change refused")
    CONFIGURATION_READY = EventKind(210, logging.INFO, "ready to serve requests")
    PULL_MALFORMED = EventKind(211, logging.WARNING, "malformed response to a pull")
    SUBSCRIPTION_CHANGED = EventKind(
        212, logging.INFO, "role in the source subscription changed"
    )
    SOURCE_READ = EventKind(213, logging.INFO, "configuration read from its source")
    NEWER_VERSION_REQUESTED = EventKind(
        214, logging.INFO, "newer configuration requested"
    )
    CHANGES_PULLED = EventKind(215, logging.INFO, "configuration pulled from a peer")
    LOG_RESTORED = EventKind(
        216, logging.INFO, "lost versions restored to the version log"
    )
    LOG_CONFLICT = EventKind(
        217, logging.ERROR, "version log has other content for a version"
    )
    SOURCE_CONFLICT = EventKind(
        218, logging.ERROR, "source has other content for the version in force"
    )
    SOURCE_FEED_LOST = EventKind(
        219, logging.WARNING, "request to the feed of the source failed"
    )
    PLATFORM_FAILED = EventKind(300, logging.WARNING, "platform request failed")
    PEER_FAILED = EventKind(301, logging.WARNING, "peer request failed")
    DATAGRAM_MALFORMED = EventKind(302, logging.WARNING, "malformed datagram")
    STORE_UNREACHABLE = EventKind(303, logging.WARNING, "platform store unreachable")
    STORE_REACHABLE = EventKind(304, logging.INFO, "platform store reachable again")
    ANNOUNCEMENT_MALFORMED = EventKind(305, logging.WARNING, "malformed announcement")
    DEPARTURE_NOT_STORED = EventKind(
        306, logging.WARNING, "departure of the upstream not stored in time"
    )
    STORE_RESTORED = EventKind(
        307, logging.WARNING, "platform store restored from an earlier copy"
    )
    ERA_MISSING = EventKind(308, logging.WARNING, "response of the store has no era")
    DEPARTURE_NOT_KEPT = EventKind(
        309, logging.WARNING, "departure not acknowledged: no other host keeps it"
    )
    DEPARTURE_RETURNED = EventKind(
        310, logging.INFO, "departure returned by another host"
    )
    HEARTBEAT_POSTPONED = EventKind(
        311, logging.INFO, "heartbeat postponed: earlier departures are not known"
    )
    HEARTBEAT_UNCONFIRMED = EventKind(
        313, logging.INFO, "heartbeat postponed: the upstream does not confirm it"
    )
    PEER_MESSAGE_TOO_LARGE = EventKind(
        312, logging.WARNING, "message of a peer refused for its size"
    )
    MEMBER_CHANGED = EventKind(400, logging.INFO, "member changed")
    UPSTREAM_CHANGED = EventKind(401, logging.INFO, "upstream changed")
    DOMAIN_JOINED = EventKind(410, logging.INFO, "joined the failure domain")
    HOST_ROW_DELETED = EventKind(411, logging.INFO, "row of a dead host deleted")
    HOST_ROW_NOT_DELETED = EventKind(
        413, logging.WARNING, "row of the local host not deleted in time"
    )
    HOST_ROW_MALFORMED = EventKind(414, logging.WARNING, "malformed host row ignored")
    PEER_RECONNECTED = EventKind(
        412, logging.INFO, "unresponsive connection to a peer replaced"
    )
    LEGACY_DIFFERENCE = EventKind(
        600, logging.WARNING, "configuration differs from the old scripts"
    )
    REQUEST_FAILED = EventKind(500, logging.ERROR, "request handler failed")
    CLAIM_MALFORMED = EventKind(570, logging.ERROR, "malformed claim row")
    OUTCOMES_HANDED_OVER = EventKind(571, logging.INFO, "key outcomes handed over")
    OUTCOME_MALFORMED = EventKind(572, logging.WARNING, "malformed key outcome")
    KEYS_ACCEPTED = EventKind(
        580, logging.INFO, "keys accepted: the configuration is confirmed as newest"
    )
    KEYS_SUSPENDED = EventKind(
        581, logging.WARNING, "keys not accepted: the configuration is not confirmed"
    )
    CONFIRMATION_SOUGHT = EventKind(
        582, logging.INFO, "peers pinged for a confirmation of the configuration"
    )
    CONFIRMATION_LIMITED = EventKind(
        583, logging.WARNING, "newest document of the store is not in force"
    )
    CONFIRMATION_READ = EventKind(
        584, logging.INFO, "store read for a confirmation of the configuration"
    )
    LIMIT_REACHED = EventKind(585, logging.INFO, "organisations refused at their limit")
    ALLOCATOR_SILENT = EventKind(
        586, logging.WARNING, "allocator of a limit does not grant"
    )
    ALLOCATIONS_CHANGED = EventKind(587, logging.INFO, "limits allocated here changed")
    MAJORITY_CHANGED = EventKind(
        588, logging.WARNING, "majority for granting limits lost or found"
    )
    ALLOCATOR_PAUSED = EventKind(
        589, logging.WARNING, "allocator was paused, its limits start again"
    )
    REQUEST_ABORTED_BY_STOP = EventKind(510, logging.WARNING, "request cut by the stop")
    REQUEST_RETRIED = EventKind(520, logging.INFO, "request retried")
    REQUEST_REFUSED = EventKind(521, logging.INFO, "request refused")
    REQUEST_NOT_ADMITTED = EventKind(
        522, logging.INFO, "request not admitted on this host"
    )
    REQUEST_NOT_ROUTED = EventKind(523, logging.INFO, "request not routed")
    UPSTREAM_DECLINED = EventKind(
        524, logging.INFO, "upstream stated that it did not execute a request"
    )
    EXECUTION_NOT_STATED = EventKind(
        525,
        logging.WARNING,
        "upstream refused a request without stating that it did not run",
    )
    SURPLUS_RESPONSE = EventKind(
        526, logging.WARNING, "data of an upstream or daemon without a pending request"
    )
    CONNECTION_AVOIDED = EventKind(
        527,
        logging.INFO,
        "connection not reused: a duplicate could pass for its next response",
    )
    CALLER_LIMITS_SET = EventKind(
        595, logging.INFO, "limits of callers' connections in force"
    )
    REQUEST_REFUSED_FOR_MEMORY = EventKind(
        596, logging.WARNING, "request refused for the memory of connections"
    )
    CONNECTION_CLOSED_FOR_MEMORY = EventKind(
        597, logging.WARNING, "connection closed: its caller does not read"
    )
    CONNECTION_REPLACED = EventKind(
        598, logging.WARNING, "connection closed: too many are open"
    )
    BODY_REFUSED = EventKind(
        599, logging.INFO, "request refused before its body was read"
    )
    BODY_NOT_GRANTED = EventKind(
        594, logging.INFO, "relayed request refused before its body was sent"
    )
    UPSTREAM_EJECTED = EventKind(540, logging.WARNING, "upstream ejected")
    UPSTREAM_READMITTED = EventKind(541, logging.INFO, "upstream readmitted")
    WAITING_REFUSED = EventKind(590, logging.INFO, "waiting request refused")
    CONCURRENCY_LIMIT_CHANGED = EventKind(
        542, logging.INFO, "concurrency limit of an upstream changed"
    )
    UPSTREAM_SLOW = EventKind(543, logging.INFO, "upstream slower than usual")
    UPSTREAM_USUAL = EventKind(544, logging.INFO, "upstream as fast as usual again")
    REQUEST_SLOW = EventKind(
        545, logging.INFO, "request took several times the usual service time"
    )


class _Details:
    """Format fields as ``name=value`` lazily, only if a record is written as text."""

    def __init__(self, fields: dict[str, object]) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return " ".join(f"{name}={value}" for name, value in self._fields.items())


def log_event(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Log an event with its fields as ``name=value``."""
    kind = event.value
    if not logger.isEnabledFor(kind.level):
        return
    extra = {"event": kind.number, "fields": fields, "text": kind.message}
    details = _Details(fields)
    logger.log(kind.level, "E%d %s %s", kind.number, kind.message, details, extra=extra)
