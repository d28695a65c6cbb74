"""Exit codes of the command line; docs/commands.md lists them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the exit codes of commands."""

    DONE = 0
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5
    UNREACHABLE = 6
    DIFFERENT = 7
    NOT_STARTED = 8
