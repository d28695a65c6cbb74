"""Compression of pull replies, since changes of many routes are highly redundant."""

from __future__ import annotations

import zlib

from flamingohead.protocol import peers_pb2 as pb
from flamingohead.protocol.codec import CodecError, parse_message

# Ten times the largest configuration that fits into a row of the platform's store.
MAX_UNPACKED_BYTES = 10 * 1024 * 1024


def pack_pull_reply(reply: pb.PullReply) -> pb.PullReply:
    """Compress a reply into the ``packed`` field of a new one."""
    data = zlib.compress(reply.SerializeToString())
    return pb.PullReply(version=reply.version, packed=data)


def unpack_pull_reply(reply: pb.PullReply) -> pb.PullReply:
    """Decompress a packed reply; return any other unchanged; raise ``CodecError``."""
    if not reply.packed:
        return reply
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(reply.packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise CodecError(str(error)) from error
    if not decompressor.eof:
        raise CodecError(
            f"packed reply is truncated or over {MAX_UNPACKED_BYTES} bytes"
        )
    return parse_message(pb.PullReply(), data)
