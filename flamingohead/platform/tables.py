"""The project's table and object store, kept in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.core.eras import StoreVersion
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.rows import Row
from flamingohead.platform.store import MAX_ROWS, RowKey, StoredRow

if TYPE_CHECKING:
    from flamingohead.platform.store import StoreClient

TABLE = "flamingohead"


def _locate(key: str) -> RowKey:
    """Return the place of a key; the keys of one prefix share a part."""
    return RowKey(TABLE, key.partition("/")[0], key)


class _StoreUser:
    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass


class StoreTable(_StoreUser):
    """Read and write rows by key, with the version of a row as its tag."""

    async def read(self, key: str) -> Row | None | Refusal:
        """Return a row, or ``None`` if it does not exist."""
        rows = await self._read(key, 1)
        if isinstance(rows, Refusal):
            return rows
        return next((_decode(row) for row in rows if row.key == key), None)

    async def insert(self, key: str, value: bytes) -> bool | Refusal:
        """Write a row unless it exists; return whether it was written."""
        return await self._write(key, value, None)

    async def update(self, key: str, value: bytes, tag: str) -> bool | Refusal:
        """Replace a row whose tag is ``tag``; return whether it was written."""
        return await self._write(key, value, StoreVersion.parse(tag))

    async def replace(self, key: str, value: bytes) -> bool | Refusal:
        """Write a row, whatever it held before."""
        return await self._commit(values={_locate(key): value})

    async def delete(self, key: str, tag: str | None = None) -> bool | Refusal:
        """Delete a row; return whether there was one to delete."""
        place = _locate(key)
        expected = {} if tag is None else {place: StoreVersion.parse(tag)}
        return await self._commit(expected=expected, removed=(place,))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[Row] | Refusal:
        """Return rows of a prefix with keys after ``after``."""
        found: list[Row] = []
        eras: set[int] = set()
        first = max(prefix, after + "\0") if after else prefix
        while len(found) < limit:
            page = await self._read(first, min(limit, MAX_ROWS))
            if isinstance(page, Refusal):
                return page
            eras |= {row.version.era for row in page}
            if len(eras) > 1:
                detail = "store came back from a copy while rows were read"
                return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, detail)
            matching = [_decode(row) for row in page if row.key.startswith(prefix)]
            found += matching
            if len(page) < min(limit, MAX_ROWS) or len(matching) < len(page):
                break
            first = page[-1].key + "\0"
        return found[:limit]

    async def _read(self, first_key: str, limit: int) -> list[StoredRow] | Refusal:
        place = _locate(first_key)
        page = await self._store.read_rows(
            place.table, place.part, first_key=first_key, limit=limit
        )
        return page if isinstance(page, Refusal) else list(page.rows)

    async def _write(
        self, key: str, value: bytes, version: StoreVersion | None
    ) -> bool | Refusal:
        place = _locate(key)
        return await self._commit(expected={place: version}, values={place: value})

    async def _commit(self, **changes) -> bool | Refusal:
        """Apply changes; return whether the rows had the expected versions."""
        result = await self._store.commit(**changes)
        return result if isinstance(result, Refusal) else result is not None


class StoreObjects(_StoreUser):
    """Read and write immutable objects."""

    async def read(self, key: str) -> bytes | None | Refusal:
        """Return an object, or ``None`` if it does not exist."""
        return await self._store.read_object(key)

    async def write(self, key: str, value: bytes) -> bool | Refusal:
        """Write an object."""
        return await self._store.write_object(key, value)


def _decode(row: StoredRow) -> Row:
    return Row(row.key, row.value or b"", str(row.version))
