"""Start of a daemon from its settings file."""

from __future__ import annotations

import logging
import os

from flamingohead.events import Event, log_event
from flamingohead.exits import ExitCode
from flamingohead.logs import configure_stdout_logging
from flamingohead.platform.boot import (
    DEFAULT_SETTINGS_PATH,
    SETTINGS_VARIABLE,
    SettingsError,
    read_settings,
)
from flamingohead.services.reactor import run_on_loop

logger = logging.getLogger("flamingohead.platform")


def run() -> int:
    """Run the daemon of this host; return the exit code."""
    configure_stdout_logging()
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        settings = read_settings(path)
    except (SettingsError, OSError) as error:
        log_event(logger, Event.DAEMON_NOT_STARTED, settings=path, reason=error)
        return int(ExitCode.USAGE)
    from flamingohead.platform.daemon import run_daemon

    return run_on_loop(lambda: run_daemon(settings, path))
