"""Summaries of services, exchanged between failure domains.

A daemon periodically requests, from one daemon of another failure domain, whatever
differs from the summary it has cached. Services are hashed into buckets. The request
carries one digest per bucket, and the reply contains the complete buckets that differ.
Any daemon can respond to any other, since neither keeps state about its peer.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from flamingohead.core.members import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from flamingohead.core.members import Member

BUCKET_COUNT = 128
DIGEST_BYTES = 4
MAX_RELAYS = 3
MAX_CONTACTS = 8
MAX_REPLY_BYTES = 1000
MAX_REPLIES = 6
MAX_WANTED_BUCKETS = 16


@dataclass(frozen=True)
class RelayPoint:
    """Locate an upstream behind the relay address of its host."""

    host_id: str
    relay_address: str
    upstream: str


@dataclass(frozen=True)
class ServiceSummary:
    """Summarize a service inside a failure domain.

    ``slots`` is the number of slots of its ready upstreams, ``load`` the fraction of
    them in use, from 0 to 1. The digest of a bucket is computed from the ``repr`` of
    this class, so its name and fields are part of the protocol.
    """

    service: str
    slots: int
    load: float
    relays: tuple[RelayPoint, ...]


@dataclass(frozen=True)
class RemoteSummary:
    """Summarize a service of another failure domain, valid until ``expires_at``."""

    failure_domain: str
    service: str
    slots: int
    load: float
    relays: tuple[RelayPoint, ...]
    expires_at: float


@dataclass(frozen=True)
class SummaryRequest:
    """Request the buckets of a failure domain that differ from these digests.

    ``wanted`` lists the indexes of buckets to return first, one byte each.
    """

    digests: bytes
    wanted: bytes = b""


@dataclass(frozen=True)
class SummaryBucket:
    """Contain the summaries of all services of one bucket."""

    index: int
    services: tuple[ServiceSummary, ...]


@dataclass(frozen=True)
class SummaryReply:
    """Return some differing buckets, and a bit set of those that match the request.

    ``contacts`` are addresses of further daemons of the failure domain.
    """

    matching: bytes
    buckets: tuple[SummaryBucket, ...]
    contacts: tuple[str, ...] = ()


@dataclass(frozen=True)
class SendSummaryRequest:
    """Send a summary request to a daemon of another failure domain."""

    address: str
    sequence: int
    request: SummaryRequest


@dataclass(frozen=True)
class SummarySettings:
    """Configure periods and lifetimes, in seconds.

    One request is sent per ``request_period``, to one failure domain at a time.
    """

    request_period: float = 1.0
    reply_timeout: float = 3.0
    lifetime: float = 60.0


@dataclass(frozen=True)
class _PendingRequest:
    failure_domain: str
    expires_at: float


@dataclass
class _Domain:
    contacts: dict[str, float] = field(default_factory=dict)
    buckets: dict[int, tuple[RemoteSummary, ...]] = field(default_factory=dict)
    digests: bytearray = field(
        default_factory=lambda: bytearray(BUCKET_COUNT * DIGEST_BYTES)
    )
    expires_at: dict[int, float] = field(default_factory=dict)
    requested_at: float = float("-inf")


def compute_bucket(service: str) -> int:
    """Return the index of the bucket of a service."""
    return zlib.crc32(service.encode()) % BUCKET_COUNT


def compute_digest(services: Iterable[ServiceSummary]) -> bytes:
    """Return the digest of a bucket, which is all zeros for an empty bucket."""
    ordered = sorted(services, key=lambda summary: summary.service)
    if not ordered:
        return bytes(DIGEST_BYTES)
    return zlib.crc32(repr(ordered).encode()).to_bytes(DIGEST_BYTES, "big")


def summarize_members(members: Iterable[Member]) -> list[ServiceSummary]:
    """Summarize each service that has ready upstreams among ``members``.

    The result does not depend on the order of the members, so that daemons with equal
    views compute equal digests.
    """
    summaries: dict[str, ServiceSummary] = {}
    slots_in_use: dict[str, float] = {}
    for member in sorted(members, key=lambda m: m.host_id):
        if not member.is_usable:
            continue
        for upstream in member.upstreams:
            if upstream.status is not UpstreamStatus.READY:
                continue
            name = upstream.service
            partial = summaries.get(name, ServiceSummary(name, 0, 0.0, ()))
            relay = RelayPoint(member.host_id, member.relay_address, upstream.name)
            relays = (*partial.relays, relay)[:MAX_RELAYS]
            slots = partial.slots + upstream.slots
            slots_in_use[name] = (
                slots_in_use.get(name, 0.0) + upstream.load * upstream.slots
            )
            load = round(slots_in_use[name] / slots, 2)
            summaries[name] = ServiceSummary(name, slots, load, relays)
    return list(summaries.values())


class LocalSummary:
    """Respond to requests for the summary of this failure domain."""

    def __init__(self) -> None:
        self._buckets: dict[int, tuple[ServiceSummary, ...]] = {}
        self._digests = bytearray(BUCKET_COUNT * DIGEST_BYTES)

    def set_services(self, services: Iterable[ServiceSummary]) -> None:
        """Replace the services of this failure domain."""
        buckets: dict[int, list[ServiceSummary]] = {}
        for summary in services:
            buckets.setdefault(compute_bucket(summary.service), []).append(summary)
        self._buckets = {index: tuple(group) for index, group in buckets.items()}
        for index in range(BUCKET_COUNT):
            digest = compute_digest(self._buckets.get(index, ()))
            _set_digest(self._digests, index, digest)

    def answer(
        self, request: SummaryRequest, contacts: tuple[str, ...], random: Random
    ) -> list[SummaryReply]:
        """Return replies, one datagram each, that carry the differing buckets.

        Buckets that do not fit into ``MAX_REPLIES`` replies are left for a later
        request. Wanted buckets come first. The others are shuffled, so that none is
        left out indefinitely.
        """
        matching = bytearray(BUCKET_COUNT // 8)
        differing: list[int] = []
        for index in range(BUCKET_COUNT):
            if _get_digest(request.digests, index) == _get_digest(self._digests, index):
                matching[index // 8] |= 1 << index % 8
            else:
                differing.append(index)
        random.shuffle(differing)
        differing.sort(key=lambda index: index not in request.wanted)
        groups = self._pack(differing)[:MAX_REPLIES]
        return [
            SummaryReply(bytes(matching), tuple(group), contacts) for group in groups
        ]

    def _pack(self, indexes: list[int]) -> list[list[SummaryBucket]]:
        groups: list[list[SummaryBucket]] = [[]]
        size = 0
        for index in indexes:
            bucket = SummaryBucket(index, self._buckets.get(index, ()))
            bucket_size = estimate_bucket_size(bucket)
            if groups[-1] and size + bucket_size > MAX_REPLY_BYTES:
                groups.append([])
                size = 0
            groups[-1].append(bucket)
            size += bucket_size
        return groups


def estimate_bucket_size(bucket: SummaryBucket) -> int:
    """Return an upper bound for the encoded size of a bucket, in bytes."""
    size = 8
    for summary in bucket.services:
        size += 24 + len(summary.service)
        for relay in summary.relays:
            size += 8 + len(relay.host_id)
            size += len(relay.relay_address) + len(relay.upstream)
    return size


class RemoteSummaries:
    """Cache the summaries of the other failure domains.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        *,
        random: Random,
        settings: SummarySettings = SummarySettings(),
    ) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._settings = settings
        self._domains: dict[str, _Domain] = {}
        self._by_service: dict[str, dict[str, RemoteSummary]] = {}
        self._next_request_at = 0.0
        self._sequence = random.getrandbits(32)
        self._pending: dict[int, _PendingRequest] = {}
        self._wanted: dict[int, float] = {}

    # Views

    def list_remote(self, service: str, now: float) -> list[RemoteSummary]:
        """Return the unexpired summaries of a service in other failure domains.

        Until its bucket is cached, the next requests list it as wanted, so that it is
        returned first.
        """
        bucket = compute_bucket(service)
        if bucket in self._wanted or len(self._wanted) < MAX_WANTED_BUCKETS:
            self._wanted[bucket] = now + self._settings.lifetime
        by_domain = self._by_service.get(service, {})
        result = []
        for domain_name, summary in by_domain.items():
            domain = self._domains[domain_name]
            expires_at = domain.expires_at[bucket]
            if now < expires_at:
                result.append(replace(summary, expires_at=expires_at))
        return result

    def count_services(self) -> int:
        """Return the number of distinct services known in other failure domains."""
        return len(self._by_service)

    def list_contacts(self, failure_domain: str) -> list[str]:
        """Return the known peer addresses in another failure domain."""
        domain = self._domains.get(failure_domain)
        return list(domain.contacts) if domain else []

    def list_domains(self) -> list[str]:
        """Return the names of the known other failure domains."""
        return list(self._domains)

    # Events

    def add_contact(self, failure_domain: str, address: str, now: float) -> None:
        """Add a daemon of another failure domain, evicting the least recently added."""
        if failure_domain == self._failure_domain:
            return
        contacts = self._domains.setdefault(failure_domain, _Domain()).contacts
        contacts.pop(address, None)
        contacts[address] = now
        while len(contacts) > MAX_CONTACTS:
            del contacts[next(iter(contacts))]

    def tick(self, now: float) -> list[SendSummaryRequest]:
        """Send a request, if due, to the least recently queried failure domain."""
        if now < self._next_request_at or not self._domains:
            return []
        delay = self._random.uniform(0.5, 1.5) * self._settings.request_period
        self._next_request_at = now + delay
        name = min(self._domains, key=lambda d: self._domains[d].requested_at)
        domain = self._domains[name]
        domain.requested_at = now
        self._sequence += 1
        self._expire_pending(now)
        expires_at = now + self._settings.reply_timeout
        self._pending[self._sequence] = _PendingRequest(name, expires_at)
        address = self._random.choice(list(domain.contacts))
        request = SummaryRequest(bytes(domain.digests), self._list_wanted(domain, now))
        return [SendSummaryRequest(address, self._sequence, request)]

    def _list_wanted(self, domain: _Domain, now: float) -> bytes:
        for bucket, expires_at in list(self._wanted.items()):
            if now >= expires_at:
                del self._wanted[bucket]
        return bytes(b for b in self._wanted if b not in domain.expires_at)

    def _expire_pending(self, now: float) -> None:
        for sequence, pending in list(self._pending.items()):
            if now >= pending.expires_at:
                del self._pending[sequence]

    def receive_reply(
        self, failure_domain: str, sequence: int, reply: SummaryReply, now: float
    ) -> None:
        """Store the buckets of a reply, and renew the cached buckets that match.

        A reply that arrives after ``reply_timeout`` is dropped, since its content may
        be outdated.
        """
        pending = self._pending.get(sequence)
        if pending is None or pending.failure_domain != failure_domain:
            return
        if now >= pending.expires_at or len(reply.matching) != BUCKET_COUNT // 8:
            return
        domain = self._domains[failure_domain]
        expires_at = now + self._settings.lifetime
        for index in domain.expires_at:
            if reply.matching[index // 8] & 1 << index % 8:
                domain.expires_at[index] = expires_at
        for bucket in reply.buckets:
            if 0 <= bucket.index < BUCKET_COUNT:
                self._store_bucket(failure_domain, domain, bucket, expires_at)
        for address in reply.contacts:
            if address not in domain.contacts:
                self.add_contact(failure_domain, address, now)

    def _store_bucket(
        self,
        failure_domain: str,
        domain: _Domain,
        bucket: SummaryBucket,
        expires_at: float,
    ) -> None:
        for previous in domain.buckets.pop(bucket.index, ()):
            self._by_service[previous.service].pop(failure_domain, None)
            if not self._by_service[previous.service]:
                del self._by_service[previous.service]
        summaries = tuple(
            RemoteSummary(
                failure_domain, s.service, s.slots, s.load, s.relays, expires_at
            )
            for s in bucket.services
            if compute_bucket(s.service) == bucket.index
        )
        domain.buckets[bucket.index] = summaries
        domain.expires_at[bucket.index] = expires_at
        _set_digest(domain.digests, bucket.index, compute_digest(bucket.services))
        for summary in summaries:
            by_domain = self._by_service.setdefault(summary.service, {})
            by_domain[failure_domain] = summary


def _get_digest(digests: bytes | bytearray, index: int) -> bytes:
    return bytes(digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES])


def _set_digest(digests: bytearray, index: int, digest: bytes) -> None:
    digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES] = digest
