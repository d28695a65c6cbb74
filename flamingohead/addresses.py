"""Addresses of the form ``IP:PORT``."""

from __future__ import annotations

import re

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")


def check_address(value: str) -> str:
    """Return ``value``; raise ``ValueError`` unless it is an IPv4 ``IP:PORT``."""
    match = _ADDRESS.fullmatch(value)
    if match is None:
        raise ValueError("expected IP:PORT, such as 10.0.0.7:8080")
    *octets, port = (int(part) for part in match.groups())
    if max(octets) > 255 or not 0 < port < 65536:
        raise ValueError("expected octets up to 255 and a port from 1 to 65535")
    return value


def check_named_address(name: str, value: str) -> str:
    """Return ``value``; raise ``ValueError`` that starts with ``name`` if invalid."""
    try:
        return check_address(value)
    except ValueError as error:
        raise ValueError(f"{name}: found {value!r}: {error}") from error


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the IP address and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
