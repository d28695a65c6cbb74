"""Life cycle of a daemon: start, wait for a signal, stop."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from typing import TYPE_CHECKING

from flamingohead.events import Event, log_event
from flamingohead.exits import ExitCode
from flamingohead.kernel import Kernel, StartError
from flamingohead.logs import configure_logging

if TYPE_CHECKING:
    from flamingohead.settings import DaemonSettings

logger = logging.getLogger(__name__)

# Requests create few reference cycles; with the default threshold of 700 objects,
# collections take a tenth of the CPU time of a busy daemon.
COLLECTION_THRESHOLDS = (20_000, 20, 50)
EXIT_NOT_STARTED = int(ExitCode.NOT_STARTED)


def build_kernel(settings: DaemonSettings) -> Kernel:
    """Build a kernel with all services of a daemon, without starting it."""
    from flamingohead.services.reactor import install_reactor

    install_reactor()
    from flamingohead.assembly import add_services

    kernel = Kernel()
    add_services(kernel, settings)
    return kernel


async def run_daemon(settings: DaemonSettings) -> int:
    """Run a daemon with its settings until SIGTERM or SIGINT; return the exit code."""
    configure_logging(settings)
    return await run_kernel(
        build_kernel(settings),
        host=settings.host_id,
        failure_domain=settings.failure_domain,
    )


async def run_kernel(kernel: Kernel, **identity: str) -> int:
    """Run the services of a kernel until SIGTERM or SIGINT; return the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        await kernel.start()
    except StartError as error:
        log_event(logger, Event.DAEMON_NOT_STARTED, reason=error)
        return EXIT_NOT_STARTED
    # Exclude the modules and classes loaded at start from later collections: a full
    # collection over them would block all calls for tens of milliseconds.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()
    log_event(logger, Event.DAEMON_STARTED, **identity)
    await stop_requested.wait()
    log_event(logger, Event.DAEMON_STOPPING, **identity)
    await kernel.stop()
    log_event(logger, Event.DAEMON_STOPPED, **identity)
    return 0
