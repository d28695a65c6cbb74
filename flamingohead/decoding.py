"""Reading of messages that another program has written."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

# What the decoder raises for bytes that are not the message expected.
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
# Where an error of the decoder lies, such as "$.listeners[0].host".
_PLACE = re.compile(r" - at `\$\.?(.*)`$")
_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
MAX_VALUE_CHARACTERS = 60


def describe_problem(
    error: Exception, data: Any, decode: Callable[[Any], Any] = msgspec.json.decode
) -> str:
    """Return the place of a decoding error, the value there and what was expected."""
    text = str(error)
    place = _PLACE.search(text)
    if place is None:
        return text
    try:
        value = decode(data)
        for name, index in _STEP.findall(place[1]):
            value = value[name] if name else value[int(index)]
    except (*UNREADABLE, LookupError, TypeError):
        return text
    found = repr(value)[:MAX_VALUE_CHARACTERS]
    return f"{place[1] or 'message'}: found {found}: {text[: place.start()]}"


def parse_text(text: str) -> Any:
    """Return what a text in JSON holds, or one in YAML, which takes longer to load.

    Raises ``ValueError``.
    """
    if text.startswith("{"):
        try:
            return msgspec.json.decode(text)
        except UNREADABLE as error:
            raise ValueError(f"not JSON: {error}") from error
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ValueError(f"not YAML: {error}") from error
