"""Decoding of messages from other programs and description of decoding errors."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

if TYPE_CHECKING:
    from collections.abc import Callable

# Exceptions that the decoder raises for bytes that are not the expected message.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
# Path of the invalid value in an error of the decoder, such as "$.listeners[0].host".
_ERROR_PATH = re.compile(r" - at `\$\.?(.*)`$")
_PATH_PART = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
MAX_VALUE_CHARACTERS = 60

# Texts and numbers of other writers are bounded by what the store and the datagrams
# between daemons can hold.
MAX_NAME_CHARACTERS = 200
MAX_NUMBER = 2**53

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


def describe_decoding_error(
    error: Exception, data: Any, decode: Callable[[Any], Any] = msgspec.json.decode
) -> str:
    """Return the path of a decoding error, the value found and what was expected."""
    text = str(error)
    match = _ERROR_PATH.search(text)
    if match is None:
        return text
    try:
        value = decode(data)
        for name, index in _PATH_PART.findall(match[1]):
            value = value[name] if name else value[int(index)]
    except (*DECODING_ERRORS, LookupError, TypeError):
        return text
    found = repr(value)[:MAX_VALUE_CHARACTERS]
    return f"{match[1] or 'message'}: found {found}: {text[: match.start()]}"


def parse_text(text: str) -> Any:
    """Decode a text in JSON or YAML; raise ``ValueError`` if it is invalid.

    A text that starts with ``{`` is decoded as JSON, which avoids loading the slower
    YAML library.
    """
    if text.startswith("{"):
        try:
            return msgspec.json.decode(text)
        except DECODING_ERRORS as error:
            raise ValueError(f"not JSON: {error}") from error
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ValueError(f"not YAML: {error}") from error
