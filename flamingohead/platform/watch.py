"""Reload of the settings file on SIGHUP and on changes of the file."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from dataclasses import fields
from typing import TYPE_CHECKING

from flamingohead.events import Event, log_event
from flamingohead.platform.boot import SettingsError, read_settings
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.platform.boot import HostSettings

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0


class SettingsWatcher:
    """Apply the settings that may change while the daemon runs.

    Changes of addresses take effect at the next start. An unusable file is ignored and
    logged.
    """

    def __init__(self, kernel: Kernel, settings: HostSettings, path: str) -> None:
        self._kernel = kernel
        self._settings = settings
        self._path = path
        self._file_state = self._read_file_state()
        self._timer = PeriodicTimer(self._check)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        self._timer.start(CHECK_INTERVAL_SECONDS, now=False)

    async def stop(self) -> None:
        self._timer.stop()
        # The default action of SIGHUP would end the process during a graceful stop.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _read_file_state(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError as error:
            log_event(logger, Event.SETTINGS_REJECTED, path=self._path, reason=error)
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _check(self) -> None:
        file_state = self._read_file_state()
        if file_state is not None and file_state != self._file_state:
            self._reload("change")

    def _reload(self, cause: str) -> None:
        self._file_state = self._read_file_state()
        try:
            settings = read_settings(self._path)
        except (SettingsError, OSError) as error:
            log_event(logger, Event.SETTINGS_REJECTED, path=self._path, reason=error)
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._kernel.get("calls").own_service = settings.service
        log_event(
            logger,
            Event.SETTINGS_RELOADED,
            cause=cause,
            changed=",".join(changed) or "nothing",
        )
