"""Fault injection for the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field


class FaultSettings(BaseModel):
    """Configure the active faults; limits in operations per second, 0 for no limit."""

    model_config = ConfigDict(extra="forbid")

    outage: bool = False
    delay_ms: int = Field(0, ge=0, le=60_000)
    lose_answers: int = Field(
        0, ge=0, description="number of writes whose response is dropped"
    )
    corrupt_reads: int = Field(
        0, ge=0, description="number of reads whose body is corrupted"
    )
    write_limit: int = Field(0, ge=0)
    read_limit: int = Field(0, ge=0)


@dataclass
class RateLimit:
    """Limit the number of operations in each second."""

    started_at: float = 0.0
    used: int = 0

    def allow(self, limit: int, now: float) -> bool:
        """Count an operation; return whether it is within ``limit`` (0: all are)."""
        if now - self.started_at >= 1.0:
            self.started_at = now
            self.used = 0
        self.used += 1
        return limit == 0 or self.used <= limit


@dataclass
class FaultInjector:
    """Inject faults into the operations of a stand-in."""

    settings: FaultSettings = field(default_factory=FaultSettings)
    reads: int = 0
    writes: int = 0
    refused: int = 0
    _read_limit: RateLimit = field(default_factory=RateLimit)
    _write_limit: RateLimit = field(default_factory=RateLimit)

    async def admit(self, *, write: bool) -> bool:
        """Apply delay, outage and limits; return whether the operation may proceed."""
        if self.settings.delay_ms:
            await asyncio.sleep(self.settings.delay_ms / 1000)
        if write:
            self.writes += 1
            limit, rate_limit = self.settings.write_limit, self._write_limit
        else:
            self.reads += 1
            limit, rate_limit = self.settings.read_limit, self._read_limit
        allowed = rate_limit.allow(limit, time.monotonic()) and not self.settings.outage
        if not allowed:
            self.refused += 1
        return allowed

    def consume_lost_response(self) -> bool:
        """Return whether to drop the response of this write; count it if so."""
        if not self.settings.lose_answers:
            return False
        self.settings.lose_answers -= 1
        return True

    def consume_corrupt_read(self) -> bool:
        """Return whether to corrupt the body of this read; count it if so."""
        if not self.settings.corrupt_reads:
            return False
        self.settings.corrupt_reads -= 1
        return True

    def describe(self) -> dict[str, int]:
        return {"reads": self.reads, "writes": self.writes, "refused": self.refused}
