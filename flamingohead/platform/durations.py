"""Times as the platform writes them: a number and its unit."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MILLISECONDS = {"ms": 1.0, "s": 1000.0}


def parse_milliseconds(value: Any) -> float:
    """Return the milliseconds of a text such as ``1500ms``; raise ``ValueError``."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"found {value!r}, expected a time such as 1500ms or 2.5s")
    return float(match[1]) * MILLISECONDS[match[2]]


Milliseconds = Annotated[float, BeforeValidator(parse_milliseconds)]
