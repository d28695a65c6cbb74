"""Base class of the platform's messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, rename="kebab", frozen=True, gc=False):
    """Represent a message of the platform; unknown fields are ignored."""
