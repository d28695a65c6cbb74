"""Installation of the one event loop that Twisted and grpclib share."""

from __future__ import annotations

import asyncio
import os
import sys

import uvloop

# libuv reads it once, when the first loop is made; then it keeps to epoll.
IO_URING_VARIABLE = "UV_USE_IO_URING"


def install_reactor() -> asyncio.AbstractEventLoop:
    """Install Twisted's asyncio reactor once and return its loop."""
    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet import asyncioreactor

        os.environ[IO_URING_VARIABLE] = "0"
        loop = uvloop.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor._asyncioEventloop


def run_until_stopped(main) -> int:
    """Run the coroutine function ``main`` on the reactor; return its exit code."""
    loop = install_reactor()
    from twisted.internet import reactor

    result: list[int] = []
    errors: list[BaseException] = []

    async def wrap() -> None:
        try:
            result.append(await main() or 0)
        except BaseException as error:  # noqa: B036
            errors.append(error)
        finally:
            reactor.stop()

    tasks = []
    reactor.callWhenRunning(lambda: tasks.append(loop.create_task(wrap())))
    reactor.run(installSignalHandlers=False)
    if errors:
        raise errors[0]
    return result[0] if result else 1
