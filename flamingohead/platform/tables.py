"""Table and object store of the project, implemented on the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.eras import StoreVersion
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.rows import Row
from flamingohead.platform.store import MAX_PAGE_ROWS, RowKey, StoredRow

if TYPE_CHECKING:
    from flamingohead.platform.store import StoreClient

TABLE = "flamingohead"


def _build_row_key(key: str) -> RowKey:
    """Return the row key; keys with the same first path segment share a part."""
    return RowKey(TABLE, key.partition("/")[0], key)


class _StoreAdapter:
    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass


class StoreTable(_StoreAdapter):
    """Read and write rows by key; the tag of a row is its version."""

    async def read(self, key: str) -> Row | None | Refusal:
        """Return a row, or ``None`` if it does not exist."""
        rows = await self._read(key, 1)
        if isinstance(rows, Refusal):
            return rows
        return next((_decode_row(row) for row in rows if row.key == key), None)

    async def insert(self, key: str, value: bytes) -> bool | Refusal:
        """Insert a row; return whether it was written, ``False`` if it exists."""
        return await self._write(key, value, None)

    async def update(self, key: str, value: bytes, tag: str) -> bool | Refusal:
        """Replace a row if its tag is ``tag``; return whether it was written."""
        return await self._write(key, value, StoreVersion.parse(tag))

    async def delete(self, key: str, tag: str | None = None) -> bool | Refusal:
        """Delete a row; return whether the transaction was applied.

        With ``tag``, the row is deleted only if it has this tag.
        """
        row_key = _build_row_key(key)
        expected = {} if tag is None else {row_key: StoreVersion.parse(tag)}
        return await self._commit(expected=expected, removed=(row_key,))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[Row] | Refusal:
        """Return rows whose keys start with ``prefix`` and follow ``after``."""
        rows: list[Row] = []
        eras: set[int] = set()
        first_key = max(prefix, after + "\0") if after else prefix
        while len(rows) < limit:
            page = await self._read(first_key, min(limit, MAX_PAGE_ROWS))
            if isinstance(page, Refusal):
                return page
            eras |= {row.version.era for row in page}
            if len(eras) > 1:
                detail = "store came back from a copy while rows were read"
                return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail)
            matching = [_decode_row(row) for row in page if row.key.startswith(prefix)]
            rows += matching
            if len(page) < min(limit, MAX_PAGE_ROWS) or len(matching) < len(page):
                break
            first_key = page[-1].key + "\0"
        return rows[:limit]

    async def _read(self, first_key: str, limit: int) -> list[StoredRow] | Refusal:
        row_key = _build_row_key(first_key)
        page = await self._store.read_rows(
            row_key.table, row_key.part, first_key=first_key, limit=limit
        )
        return page if isinstance(page, Refusal) else list(page.rows)

    async def _write(
        self, key: str, value: bytes, version: StoreVersion | None
    ) -> bool | Refusal:
        row_key = _build_row_key(key)
        return await self._commit(expected={row_key: version}, values={row_key: value})

    async def _commit(self, **changes) -> bool | Refusal:
        """Apply changes; return whether the rows had the expected versions."""
        result = await self._store.commit(**changes)
        return result if isinstance(result, Refusal) else result is not None


class StoreObjects(_StoreAdapter):
    """Read and write immutable objects."""

    async def read(self, key: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if it does not exist."""
        return await self._store.read_object(key)

    async def write(self, key: str, value: bytes) -> bool | Refusal:
        """Write an object."""
        return await self._store.write_object(key, value)


def _decode_row(row: StoredRow) -> Row:
    return Row(row.key, row.value or b"", str(row.version))
