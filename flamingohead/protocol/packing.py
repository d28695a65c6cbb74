"""Replies to pulls, compressed: most of a change of many routes repeats itself."""

from __future__ import annotations

import zlib

from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.codec import CodecError, parse_message

# Ten times the largest configuration that a row of the platform's store holds.
MAX_UNPACKED_BYTES = 10 * 1024 * 1024


def pack_pull_reply(reply: pb.PullReply) -> pb.PullReply:
    """Return a reply that carries another one compressed."""
    data = zlib.compress(reply.SerializeToString())
    return pb.PullReply(version=reply.version, packed=data)


def unpack_pull_reply(reply: pb.PullReply) -> pb.PullReply:
    """Return the reply that another one carries, or that one; raise ``CodecError``."""
    if not reply.packed:
        return reply
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(reply.packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise CodecError(str(error)) from error
    if not decompressor.eof:
        raise CodecError(f"packed reply is cut, or over {MAX_UNPACKED_BYTES} bytes")
    return parse_message(pb.PullReply(), data)
