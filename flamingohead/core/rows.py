"""Table rows, in the form shared by all table stores."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """Contain a table row and the tag that identifies its current state."""

    key: str
    value: bytes
    tag: str
