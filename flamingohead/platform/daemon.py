"""Life cycle of a daemon on the platform's hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingohead.daemon import run_kernel
from flamingohead.kernel import Kernel
from flamingohead.platform.assembly import add_services

if TYPE_CHECKING:
    from flamingohead.platform.boot import HostSettings


async def run_daemon(settings: HostSettings, path: str) -> int:
    """Run a daemon until a signal stops it; return the exit code."""
    kernel = Kernel()
    add_services(kernel, settings, path)
    return await run_kernel(
        kernel, host=settings.host_id, failure_domain=settings.failure_domain
    )
