"""The settings file, read again on SIGHUP and when it changes by itself."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from dataclasses import fields
from typing import TYPE_CHECKING

from flamingohead.events import Event, log_event
from flamingohead.platform.boot import BootError, read_settings
from flamingohead.services.ticks import Ticks

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel
    from flamingohead.platform.boot import HostSettings

logger = logging.getLogger(__name__)

CHECK_PERIOD = 1.0


class SettingsWatch:
    """Put the settings that may change while the daemon runs in force.

    Addresses hold until the next start. A file that can't be used changes nothing.
    """

    def __init__(self, kernel: Kernel, settings: HostSettings, path: str) -> None:
        self._kernel = kernel
        self._settings = settings
        self._path = path
        self._seen = self._stat()
        self._checks = Ticks(self._check)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        self._checks.start(CHECK_PERIOD, now=False)

    async def stop(self) -> None:
        self._checks.stop()
        # The default action would end a daemon that is stopping in order.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _stat(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError as error:
            log_event(logger, Event.SETTINGS_REJECTED, path=self._path, reason=error)
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _check(self) -> None:
        seen = self._stat()
        if seen is not None and seen != self._seen:
            self._reload("change")

    def _reload(self, cause: str) -> None:
        self._seen = self._stat()
        try:
            settings = read_settings(self._path)
        except (BootError, OSError) as error:
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
