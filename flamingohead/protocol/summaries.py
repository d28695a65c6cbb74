"""Conversion between the summaries of the core and protobuf messages."""

from __future__ import annotations

from flamingohead.core.summaries import (
    RelayPoint,
    ServiceSummary,
    SummaryBucket,
    SummaryReply,
)
from flamingohead.protocol import peers_pb2 as pb


def encode_summary_reply(reply: SummaryReply) -> pb.SummaryReply:
    buckets = [
        pb.SummaryBucket(
            index=bucket.index,
            services=[_encode_service(service) for service in bucket.services],
        )
        for bucket in reply.buckets
    ]
    return pb.SummaryReply(
        matching=reply.matching, buckets=buckets, contacts=reply.contacts
    )


def _encode_service(summary: ServiceSummary) -> pb.ServiceSummary:
    relays = [
        pb.RelayPoint(
            host_id=relay.host_id,
            relay_address=relay.relay_address,
            upstream=relay.upstream,
        )
        for relay in summary.relays
    ]
    return pb.ServiceSummary(
        service=summary.service,
        slots=summary.slots,
        load_percent=round(summary.load * 100),
        relays=relays,
    )


def decode_summary_reply(message: pb.SummaryReply) -> SummaryReply:
    buckets = tuple(
        SummaryBucket(
            bucket.index,
            tuple(_decode_service(service) for service in bucket.services),
        )
        for bucket in message.buckets
    )
    return SummaryReply(message.matching, buckets, tuple(message.contacts))


def _decode_service(message: pb.ServiceSummary) -> ServiceSummary:
    relays = tuple(
        RelayPoint(relay.host_id, relay.relay_address, relay.upstream)
        for relay in message.relays
    )
    return ServiceSummary(
        message.service, message.slots, message.load_percent / 100, relays
    )
