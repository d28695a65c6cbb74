"""Base class of the platform's messages."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

# Texts and numbers of other writers are bounded by what the store and the datagrams
# between daemons can hold.
MAX_NAME_CHARACTERS = 200
MAX_NUMBER = 2**53

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


class Message(msgspec.Struct, rename="kebab", frozen=True, gc=False):
    """Represent a message of the platform; unknown fields are ignored."""
