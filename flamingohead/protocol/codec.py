"""Conversion between core data classes and protobuf messages.

Decoding validates: an invalid message raises ``CodecError``.
"""

from __future__ import annotations

import hashlib

from google.protobuf.message import DecodeError

from flamingohead.core.changes import Change
from flamingohead.core.members import (
    Departure,
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamStatus,
)
from flamingohead.core.messages import (
    Ack,
    Body,
    Datagram,
    Gossip,
    Ping,
    PingRequest,
    RecordPush,
)
from flamingohead.core.organisations.messages import (
    QuotaDemand,
    QuotaGrant,
    QuotaRequest,
    QuotaShare,
)
from flamingohead.core.resources import (
    DEFAULT_MAX_ATTEMPTS,
    ClientLimits,
    KeyRequirement,
    Organisation,
    Pool,
    Rank,
    Resource,
    ResourceKey,
    Route,
    Service,
    Snapshot,
    WeightedPool,
)
from flamingohead.core.summaries import SummaryReply, SummaryRequest
from flamingohead.core.versions import VersionRecord
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.summaries import (
    decode_summary_reply,
    encode_summary_reply,
)

RESOURCE_KINDS = (
    "service",
    "pool",
    "rank",
    "route",
    "client_limits",
    "organisation",
    "key_requirement",
)


class CodecError(ValueError):
    """Report a message that can't be decoded."""


# Resources


def encode_resource(resource: Resource) -> pb.Resource:
    if isinstance(resource, Service):
        message = pb.Service(name=resource.name, mode=resource.mode)
        return pb.Resource(service=message)
    if isinstance(resource, Pool):
        return pb.Resource(pool=pb.Pool(**vars(resource)))
    if isinstance(resource, Rank):
        return pb.Resource(rank=_encode_rank(resource))
    if isinstance(resource, ClientLimits):
        return pb.Resource(client_limits=pb.ClientLimits(**vars(resource)))
    if isinstance(resource, KeyRequirement):
        return pb.Resource(key_requirement=pb.KeyRequirement())
    if isinstance(resource, Organisation):
        return pb.Resource(organisation=pb.Organisation(**vars(resource)))
    return pb.Resource(route=_encode_route(resource))


def _encode_rank(rank: Rank) -> pb.Rank:
    return pb.Rank(
        name=rank.name,
        service=rank.service,
        order=rank.order,
        target_ms=rank.target_ms,
        worth=rank.worth,
        share=rank.share,
    )


def _encode_route(route: Route) -> pb.Route:
    return pb.Route(
        name=route.name,
        service=route.service,
        path=route.path,
        methods=route.methods,
        pool=route.pool,
        rank=route.rank,
        timeout_ms=route.timeout_ms,
        idempotent=route.idempotent,
        host=route.host,
        split=[pb.WeightedPool(pool=p.pool, weight=p.weight) for p in route.split],
        bulky=route.bulky,
        max_attempts=route.max_attempts,
        public=route.public,
        large_body=route.large_body,
    )


def decode_resource(message: pb.Resource) -> Resource:
    kind = message.WhichOneof("kind")
    if kind == "service":
        return Service(message.service.name, message.service.mode)
    if kind == "pool":
        pool = message.pool
        return Pool(pool.name, pool.service, pool.health_path)
    if kind == "rank":
        return _decode_rank(message.rank)
    if kind == "route":
        return _decode_route(message.route)
    if kind == "client_limits":
        limits = message.client_limits
        return ClientLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout_ms,
            limits.idle_timeout_ms,
        )
    if kind == "key_requirement":
        return KeyRequirement()
    if kind == "organisation":
        return _decode_organisation(message.organisation)
    raise CodecError("resource of no known kind")


def _decode_organisation(organisation: pb.Organisation) -> Organisation:
    return Organisation(
        organisation.name,
        tuple(organisation.key_digests),
        organisation.order if organisation.HasField("order") else None,
        organisation.rate_per_second,
        organisation.burst,
    )


def _decode_rank(rank: pb.Rank) -> Rank:
    return Rank(
        name=rank.name,
        service=rank.service,
        order=rank.order,
        target_ms=rank.target_ms,
        worth=rank.worth,
        share=rank.share,
    )


def _decode_route(route: pb.Route) -> Route:
    return Route(
        name=route.name,
        service=route.service,
        path=route.path,
        methods=tuple(route.methods),
        pool=route.pool,
        rank=route.rank,
        timeout_ms=route.timeout_ms,
        idempotent=route.idempotent,
        host=route.host,
        split=tuple(WeightedPool(part.pool, part.weight) for part in route.split),
        bulky=route.bulky,
        max_attempts=route.max_attempts or DEFAULT_MAX_ATTEMPTS,
        public=route.public,
        large_body=route.large_body,
    )


# Versions


def encode_change(change: Change) -> pb.Change:
    removals = [pb.ResourceKey(**key._asdict()) for key in change.removals]
    return pb.Change(
        upserts=[encode_resource(resource) for resource in change.upserts],
        removals=removals,
    )


def decode_change(message: pb.Change) -> Change:
    removals = []
    for key in message.removals:
        if key.kind not in RESOURCE_KINDS:
            raise CodecError(f"resource kind {key.kind!r} is not known")
        removals.append(ResourceKey(key.kind, key.service, key.name))
    return Change(
        tuple(decode_resource(resource) for resource in message.upserts),
        tuple(removals),
    )


def encode_record(record: VersionRecord) -> pb.VersionRecord:
    change = None if record.change is None else encode_change(record.change)
    return pb.VersionRecord(
        version=record.version,
        parent_digest=record.parent_digest,
        snapshot_digest=record.snapshot_digest,
        change_id=record.change_id,
        author=record.author,
        accepted_at=record.accepted_at,
        change=change,
        change_digest=record.change_digest,
        snapshot_object=record.snapshot_object,
        base_version=record.base_version,
    )


def decode_record(message: pb.VersionRecord) -> VersionRecord:
    if message.version == 0:
        raise CodecError("record has no version")
    change = decode_change(message.change) if message.HasField("change") else None
    return VersionRecord(
        version=message.version,
        parent_digest=message.parent_digest,
        snapshot_digest=message.snapshot_digest,
        change_id=message.change_id,
        author=message.author,
        accepted_at=message.accepted_at,
        change=change,
        change_digest=message.change_digest,
        snapshot_object=message.snapshot_object,
        base_version=message.base_version,
    )


def serialize_row(record: VersionRecord) -> bytes:
    """Serialize a record to the value of a table row, which contains a digest."""
    body = encode_record(record).SerializeToString()
    stored = pb.StoredRecord(digest=hashlib.sha256(body).digest(), record=body)
    return stored.SerializeToString()


def parse_row(data: bytes) -> VersionRecord:
    """Decode the value of a table row; raise ``CodecError``."""
    stored = parse_message(pb.StoredRecord(), data)
    if hashlib.sha256(stored.record).digest() != stored.digest:
        raise CodecError("row does not match its digest")
    return parse_record(stored.record)


def parse_record(data: bytes) -> VersionRecord:
    """Decode a serialized record; raise ``CodecError``."""
    return decode_record(parse_message(pb.VersionRecord(), data))


def parse_change(data: bytes) -> Change:
    """Decode a serialized change; raise ``CodecError``."""
    return decode_change(parse_message(pb.Change(), data))


def encode_snapshot(snapshot: Snapshot) -> pb.Snapshot:
    resources = [encode_resource(r) for r in snapshot.resources.values()]
    return pb.Snapshot(
        version=snapshot.version, digest=snapshot.digest, resources=resources
    )


def decode_snapshot(message: pb.Snapshot) -> Snapshot:
    """Decode a snapshot; its digest is computed, not read from the message."""
    resources = [decode_resource(resource) for resource in message.resources]
    return Snapshot.build(message.version, {r.key: r for r in resources})


def parse_snapshot(data: bytes) -> Snapshot:
    """Decode a serialized snapshot; raise ``CodecError``."""
    return decode_snapshot(parse_message(pb.Snapshot(), data))


# Members and datagrams


def encode_member(member: Member) -> pb.Member:
    departure = member.departure
    upstreams = [
        pb.Upstream(
            name=u.name,
            service=u.service,
            status=int(u.status),
            slots=u.slots,
            load_percent=round(u.load * 100),
        )
        for u in member.upstreams
    ]
    return pb.Member(
        host_id=member.host_id,
        failure_domain=member.failure_domain,
        peer_address=member.peer_address,
        relay_address=member.relay_address,
        incarnation=member.incarnation,
        status=int(member.status),
        upstreams=upstreams,
        accuser=member.accuser,
        group=member.group,
        capacity=member.capacity,
        link_mbps=member.link_mbps,
        departure=None if departure is None else encode_departure(departure),
    )


def encode_departure(departure: Departure) -> pb.Departure:
    return pb.Departure(
        name=departure.name,
        incarnation=departure.incarnation,
        recorded_at=departure.recorded_at,
    )


def decode_departure(message: pb.Departure) -> Departure:
    return Departure(message.recorded_at, message.name, message.incarnation)


def decode_member(message: pb.Member) -> Member:
    if not message.host_id:
        raise CodecError("member has no host id")
    return Member(
        host_id=message.host_id,
        failure_domain=message.failure_domain,
        peer_address=message.peer_address,
        relay_address=message.relay_address,
        incarnation=message.incarnation,
        status=_decode_enum(MemberStatus, message.status),
        upstreams=tuple(_decode_upstream(u) for u in message.upstreams),
        accuser=message.accuser,
        group=message.group,
        capacity=message.capacity,
        link_mbps=message.link_mbps,
        departure=(
            decode_departure(message.departure)
            if message.HasField("departure")
            else None
        ),
    )


def _decode_upstream(message: pb.Upstream) -> UpstreamState:
    status = _decode_enum(UpstreamStatus, message.status)
    load = message.load_percent / 100
    return UpstreamState(message.name, message.service, status, message.slots, load)


def encode_datagram(datagram: Datagram) -> bytes:
    message = pb.Datagram(
        sender=datagram.sender,
        sender_address=datagram.sender_address,
        failure_domain=datagram.failure_domain,
        sequence=datagram.sequence,
        version=datagram.version,
        follows_source=datagram.follows_source,
        store_era=datagram.store_era,
        confirmation_age_ms=datagram.confirmation_age_ms,
        updates=[encode_member(member) for member in datagram.updates],
    )
    body = datagram.body
    if isinstance(body, Ping):
        message.ping.SetInParent()
    elif isinstance(body, PingRequest):
        message.ping_request.target = body.target
    elif isinstance(body, Ack):
        message.ack.subject = body.subject
        message.ack.unknown_sender = body.unknown_sender
    elif isinstance(body, Gossip):
        message.gossip.SetInParent()
    elif isinstance(body, SummaryRequest):
        message.summary_request.digests = body.digests
        message.summary_request.wanted = body.wanted
    elif isinstance(body, SummaryReply):
        message.summary_reply.CopyFrom(encode_summary_reply(body))
    elif isinstance(body, QuotaRequest):
        message.quota_request.SetInParent()
        message.quota_request.demands.extend(
            pb.QuotaDemand(**vars(demand)) for demand in body.demands
        )
    elif isinstance(body, QuotaGrant):
        message.quota_grant.SetInParent()
        message.quota_grant.shares.extend(
            pb.QuotaShare(**vars(share)) for share in body.shares
        )
    else:
        message.news.CopyFrom(encode_record(body.record))
    return message.SerializeToString()


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raise ``CodecError``."""
    message = parse_message(pb.Datagram(), data)
    return Datagram(
        sender=message.sender,
        sender_address=message.sender_address,
        failure_domain=message.failure_domain,
        sequence=message.sequence,
        version=message.version,
        body=_decode_body(message),
        updates=tuple(decode_member(member) for member in message.updates),
        follows_source=message.follows_source,
        store_era=message.store_era,
        confirmation_age_ms=message.confirmation_age_ms,
    )


def _decode_body(message: pb.Datagram) -> Body:
    kind = message.WhichOneof("body")
    if kind == "ping":
        return Ping()
    if kind == "ping_request":
        return PingRequest(message.ping_request.target)
    if kind == "ack":
        return Ack(message.ack.subject, message.ack.unknown_sender)
    if kind == "news":
        return RecordPush(decode_record(message.news))
    if kind == "gossip":
        return Gossip()
    if kind == "summary_request":
        request = message.summary_request
        return SummaryRequest(request.digests, request.wanted)
    if kind == "summary_reply":
        return decode_summary_reply(message.summary_reply)
    if kind == "quota_request":
        return QuotaRequest(
            tuple(
                QuotaDemand(d.organisation, d.wanted, d.used, d.returned)
                for d in message.quota_request.demands
            )
        )
    if kind == "quota_grant":
        return QuotaGrant(
            tuple(
                QuotaShare(s.organisation, s.tokens, s.lifetime_ms, s.retry_after_ms)
                for s in message.quota_grant.shares
            )
        )
    raise CodecError("datagram has no known body")


def parse_message(message, data: bytes):
    """Parse serialized data into an empty message; raise ``CodecError``."""
    try:
        message.ParseFromString(data)
    except DecodeError as error:
        raise CodecError(str(error)) from error
    return message


def _decode_enum(kind, value: int):
    try:
        return kind(value)
    except ValueError as error:
        raise CodecError(str(error)) from error
