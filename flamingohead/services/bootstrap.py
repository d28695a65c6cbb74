"""Finding first peers: seeds from the settings, then rows of the table."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from flamingohead.core.errors import Refusal

if TYPE_CHECKING:
    from random import Random

    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

HOST_PREFIX = "hosts/"
FIRST_WAIT = 0.2
MAX_WAIT = 5.0
SCAN_LIMIT = 50
JOIN_TARGETS = 3


class BootstrapService:
    """Join the failure domain, and write this host's row once."""

    def __init__(self, kernel: Kernel, seeds: list[str], *, random: Random) -> None:
        self._kernel = kernel
        self._seeds = seeds
        self._random = random
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        await self._kernel.get("table").delete(self._get_row_key())

    async def _run(self) -> None:
        wait = FIRST_WAIT
        registered = False
        while True:
            if not registered:
                registered = await self._register()
            await self._join_peers()
            if registered and self._kernel.get("gossip").membership.list_alive():
                return
            await asyncio.sleep(self._random.uniform(0.5, 1.0) * wait)
            wait = min(wait * 2, MAX_WAIT)

    async def _register(self) -> bool:
        myself = self._kernel.get("gossip").membership.myself
        value = json.dumps({"peer_address": myself.peer_address}).encode()
        table = self._kernel.get("table")
        inserted = await table.insert(self._get_row_key(), value)
        if inserted is True:
            return True
        row = await table.read(self._get_row_key())
        if isinstance(row, Refusal) or row is None:
            return False
        if row.value == value:
            return True
        return await table.update(row.key, value, row.tag) is True

    async def _join_peers(self) -> None:
        peers = self._kernel.get("peers")
        addresses = set(self._seeds) | set(await self._read_hosts())
        addresses.discard(self._kernel.get("gossip").membership.myself.peer_address)
        chosen = self._random.sample(
            sorted(addresses), min(len(addresses), JOIN_TARGETS)
        )
        await asyncio.gather(*(peers.join(address) for address in chosen))

    async def _read_hosts(self) -> list[str]:
        domain = self._kernel.get("gossip").membership.myself.failure_domain
        rows = await self._kernel.get("table").scan(
            f"{HOST_PREFIX}{domain}/", limit=SCAN_LIMIT
        )
        if isinstance(rows, Refusal):
            return []
        return [json.loads(row.value)["peer_address"] for row in rows]

    def _get_row_key(self) -> str:
        myself = self._kernel.get("gossip").membership.myself
        return f"{HOST_PREFIX}{myself.failure_domain}/{myself.host_id}"
