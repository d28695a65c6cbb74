"""What the messages of the platform have in common."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, rename="kebab", frozen=True, gc=False):
    """Base of the platform's messages; fields that are not known are passed over."""
