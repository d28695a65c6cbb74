"""Durations in the platform's notation: a number and its unit."""

from __future__ import annotations

import re
from typing import Annotated, Any

from msgspec import Meta

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MILLISECONDS = {"ms": 1.0, "s": 1000.0}

# Message field that contains a duration.
DurationText = Annotated[str, Meta(pattern=rf"^{_DURATION.pattern}$")]


def parse_milliseconds(value: Any) -> float:
    """Parse a duration such as ``1500ms`` to milliseconds; raise ``ValueError``."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"found {value!r}, expected a time such as 1500ms or 2.5s")
    return float(match[1]) * MILLISECONDS[match[2]]
