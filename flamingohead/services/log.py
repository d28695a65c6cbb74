"""The version log in the table and the object store; performs the core's operations."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.storage import (
    IndexSnapshot,
    InsertRecord,
    ListSnapshots,
    LoadChange,
    LoadSnapshot,
    ReadLog,
    StoreChange,
    StoreSnapshot,
    UnreadableRow,
    Wait,
)
from flamingohead.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

MAX_INLINE_CHANGE_BYTES = 64 * 1024
LOG_PREFIX = "log/"
SNAPSHOT_PREFIX = "snapshots/"
HIGHEST_VERSION = 10**12 - 1

OPERATIONS: dict[type, Callable] = {}


def register_operation(kind: type):
    """Register the coroutine function that performs one kind of operation."""

    def decorate(perform: Callable):
        OPERATIONS[kind] = perform
        return perform

    return decorate


def get_log_key(version: int) -> str:
    """Return the table key of a version; keys sort by version."""
    return f"{LOG_PREFIX}{version:012d}"


def get_snapshot_key(version: int) -> str:
    """Return the index key of a stored snapshot; the newest snapshot sorts first."""
    return f"{SNAPSHOT_PREFIX}{HIGHEST_VERSION - version:012d}"


@register_operation(ReadLog)
async def _read_log(kernel: Kernel, operation: ReadLog):
    after = get_log_key(operation.after)
    return await _scan_records(kernel, LOG_PREFIX, after, operation.limit)


@register_operation(ListSnapshots)
async def _list_snapshots(kernel: Kernel, operation: ListSnapshots):
    up_to = operation.up_to
    after = "" if up_to is None else get_snapshot_key(up_to + 1)
    return await _scan_records(kernel, SNAPSHOT_PREFIX, after, operation.limit)


async def _scan_records(kernel: Kernel, prefix: str, after: str, limit: int):
    rows = await kernel.get("table").scan(prefix, after=after, limit=limit)
    if isinstance(rows, Refusal):
        return rows
    return [_parse_row(row.key.removeprefix(prefix), row.value) for row in rows]


def _parse_row(name: str, value: bytes) -> VersionRecord | UnreadableRow:
    try:
        return codec.parse_row(value)
    except codec.CodecError as error:
        version = int(name) if name.isdigit() else 0
        return UnreadableRow(version, str(error))


@register_operation(InsertRecord)
async def _insert_record(kernel: Kernel, operation: InsertRecord):
    record = operation.record
    key = get_log_key(record.version)
    return await kernel.get("table").insert(key, codec.serialize_row(record))


@register_operation(IndexSnapshot)
async def _index_snapshot(kernel: Kernel, operation: IndexSnapshot):
    record = replace(operation.record, change=None)
    key = get_snapshot_key(record.version)
    return await kernel.get("table").insert(key, codec.serialize_row(record))


@register_operation(StoreChange)
async def _store_change(kernel: Kernel, operation: StoreChange):
    record = operation.record
    body = codec.encode_change(record.change).SerializeToString()
    if len(body) <= MAX_INLINE_CHANGE_BYTES:
        return record
    digest = await _store_object(kernel, "changes", body)
    if isinstance(digest, Refusal):
        return digest
    return replace(record, change=None, change_digest=digest)


@register_operation(LoadChange)
async def _load_change(kernel: Kernel, operation: LoadChange):
    record = operation.record
    body = await _load_object(kernel, "changes", record.change_digest)
    if body is None or isinstance(body, Refusal):
        return body
    try:
        return replace(record, change=codec.parse_change(body))
    except codec.CodecError:
        return None


@register_operation(StoreSnapshot)
async def _store_snapshot(kernel: Kernel, operation: StoreSnapshot):
    body = codec.encode_snapshot(operation.snapshot).SerializeToString()
    return await _store_object(kernel, "snapshots", body)


@register_operation(LoadSnapshot)
async def _load_snapshot(kernel: Kernel, operation: LoadSnapshot):
    body = await _load_object(kernel, "snapshots", operation.record.snapshot_object)
    if body is None or isinstance(body, Refusal):
        return body
    try:
        return codec.parse_snapshot(body)
    except codec.CodecError:
        return None


@register_operation(Wait)
async def _wait(kernel: Kernel, operation: Wait):
    await asyncio.sleep(max(0.0, operation.until - time.monotonic()))


async def _store_object(kernel: Kernel, folder: str, body: bytes) -> bytes | Refusal:
    """Write an object, and read it back before a row may refer to it."""
    digest = hashlib.sha256(body).digest()
    written = await kernel.get("objects").write(f"{folder}/{digest.hex()}", body)
    if isinstance(written, Refusal):
        return written
    stored = await _load_object(kernel, folder, digest)
    if isinstance(stored, Refusal):
        return stored
    if stored is None:
        detail = f"{folder}/{digest.hex()} does not read back as written"
        return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail)
    return digest


async def _load_object(
    kernel: Kernel, folder: str, digest: bytes
) -> bytes | Refusal | None:
    body = await kernel.get("objects").read(f"{folder}/{digest.hex()}")
    if body is None or isinstance(body, Refusal):
        return body
    return body if hashlib.sha256(body).digest() == digest else None
