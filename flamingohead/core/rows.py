"""Rows of the table, as every store of them gives them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """Hold a row of the table and the tag of its state."""

    key: str
    value: bytes
    tag: str
