"""Claims stored as rows of the table, and the removal of expired rows."""

from __future__ import annotations

import hashlib
import json
import logging
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, ValidationError

from flamingohead.core.claims import Claim, ClaimRow
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.idempotency import KeyedRequest
from flamingohead.events import Event, log_event

if TYPE_CHECKING:
    from flamingohead.services.platform import Row, TableClient

logger = logging.getLogger(__name__)

CLAIM_PREFIX = "claims/"
SWEEP_LIMIT = 50

# Upper bound of the difference between the clocks of two hosts, in seconds.
CLOCK_MARGIN_SECONDS = 300.0


class _RequestDocument(BaseModel):
    model_config = ConfigDict(extra="forbid")

    service: str
    key: str
    digest: str
    attempt: int
    call_id: str


class _ClaimDocument(BaseModel):
    model_config = ConfigDict(extra="forbid")

    request: _RequestDocument
    host_id: str
    peer_address: str
    ledger_id: str
    nonce: str
    expires_at: float


class ClaimRows:
    """Read and write claims in the table; every write is conditional."""

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def insert(self, claim: Claim) -> bool | Refusal:
        """Insert the row of a claim unless a row exists for its key."""
        return await self._table.insert(_build_row_key(claim.request), _encode(claim))

    async def replace(self, claim: Claim, tag: str) -> bool | Refusal:
        """Replace the row of a claim if its tag is still ``tag``."""
        key = _build_row_key(claim.request)
        return await self._table.update(key, _encode(claim), tag)

    async def read(self, request: KeyedRequest) -> ClaimRow | None | Refusal:
        """Return the row of a key."""
        row = await self._table.read(_build_row_key(request))
        if row is None or isinstance(row, Refusal):
            return row
        return _decode(row)

    async def delete(self, claim: Claim) -> bool | Refusal:
        """Delete the row of a claim unless another claim has replaced it."""
        row = await self.read(claim.request)
        if row is None or isinstance(row, Refusal):
            return False if row is None else row
        if row.claim.nonce != claim.nonce:
            return False
        return await self._table.delete(_build_row_key(claim.request), tag=row.tag)

    async def sweep(self, after: str) -> int:
        """Delete expired rows among those after a digest; return their number."""
        rows = await self._table.scan(
            CLAIM_PREFIX, after=CLAIM_PREFIX + after, limit=SWEEP_LIMIT
        )
        if isinstance(rows, Refusal):
            return 0
        deleted = 0
        for row in rows:
            claim_row = _decode(row)
            if isinstance(claim_row, Refusal):
                continue
            if time.time() < claim_row.claim.expires_at + CLOCK_MARGIN_SECONDS:
                continue
            deleted += await self._table.delete(row.key, tag=row.tag) is True
        return deleted


def _build_row_key(request: KeyedRequest) -> str:
    """Return the table key of a claim; its length does not depend on the key."""
    text = f"{request.service}\0{request.key}"
    return CLAIM_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def _encode(claim: Claim) -> bytes:
    return json.dumps(asdict(claim)).encode()


def _decode(row: Row) -> ClaimRow | Refusal:
    try:
        document = _ClaimDocument.model_validate_json(row.value)
    except ValidationError as error:
        log_event(logger, Event.CLAIM_MALFORMED, row=row.key, error=error)
        detail = f"{row.key} holds no claim"
        return Refusal(ErrorKind.KEY_OUTCOME_UNKNOWN, detail)
    fields = dict(document)
    request = KeyedRequest(**dict(fields.pop("request")))
    return ClaimRow(Claim(request=request, **fields), row.tag)
