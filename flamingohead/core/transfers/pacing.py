"""Pacing of the bodies that a host sends, so that small messages overtake them."""

from __future__ import annotations

from dataclasses import dataclass, field

from flamingohead.core.transfers.links import Link

# Time between two parts of a body. What has been written can't be overtaken any more.
PART_SECONDS = 0.01
MIN_PART_BYTES = 1024
# A part after a delay of the event loop makes up for at most this much of it.
MAX_PART_SECONDS = 0.04


@dataclass(eq=False)
class PacedBody:
    """Hold what is left of a body that is sent at up to ``bytes_per_second``."""

    body: bytes
    bytes_per_second: float
    position: int = 0

    @property
    def is_complete(self) -> bool:
        return self.position >= len(self.body)

    def take_part(self, size: int) -> bytes:
        """Return the next part of up to ``size`` bytes."""
        part = self.body[self.position : self.position + size]
        self.position += len(part)
        return part


@dataclass
class Pacer:
    """Share the link of a host among the bodies that it sends."""

    link: Link = field(default_factory=Link)
    bodies: list[PacedBody] = field(default_factory=list)

    def compute_part_bytes(self, body: PacedBody, elapsed: float) -> int:
        """Return the size of a part, ``elapsed`` seconds after the previous one."""
        fair = self.link.bytes_per_second / max(len(self.bodies), 1)
        rate = min(body.bytes_per_second, fair)
        return max(MIN_PART_BYTES, round(rate * min(elapsed, MAX_PART_SECONDS)))
