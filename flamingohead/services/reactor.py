"""The event loop shared by Twisted and grpclib."""

from __future__ import annotations

import asyncio
import os
import sys

import uvloop

# libuv reads it once, when the first loop is created; "0" makes it use epoll.
IO_URING_VARIABLE = "UV_USE_IO_URING"


def build_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop, set as the current one of this thread."""
    os.environ[IO_URING_VARIABLE] = "0"
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop


def run_on_loop(main) -> int:
    """Run the coroutine function ``main`` without a reactor; return its exit code.

    Twisted's protocols run on the transports of the loop. Installing a reactor delays
    the start by more than a heartbeat interval, and only the operators' endpoint
    needs one.
    """
    loop = build_loop()
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


def install_reactor() -> asyncio.AbstractEventLoop:
    """Install Twisted's asyncio reactor once and return its loop."""
    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet import asyncioreactor

        asyncioreactor.install(build_loop())
    from twisted.internet import reactor

    return reactor._asyncioEventloop


def run_until_stopped(main) -> int:
    """Run the coroutine function ``main`` on the reactor; return its exit code."""
    loop = install_reactor()
    from twisted.internet import reactor

    result: list[int] = []
    errors: list[BaseException] = []

    async def run_main() -> None:
        try:
            result.append(await main() or 0)
        except BaseException as error:  # noqa: B036
            errors.append(error)
        finally:
            reactor.stop()

    tasks = []
    reactor.callWhenRunning(lambda: tasks.append(loop.create_task(run_main())))
    reactor.run(installSignalHandlers=False)
    if errors:
        raise errors[0]
    return result[0] if result else 1
