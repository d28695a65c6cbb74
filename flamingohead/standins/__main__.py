"""Command line of the stand-ins: ``python -m flamingohead.standins``."""

from __future__ import annotations

import asyncio
import signal
import sys

import click

from flamingohead.services.reactor import install_reactor, run_until_stopped

LISTEN = click.option("--listen", required=True, help="IP:PORT")


@click.group()
def main() -> None:
    """Run a stand-in as a separate process."""
    install_reactor()


def _run(start) -> None:
    async def wait() -> int:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        await start(stopping)
        return 0

    sys.exit(run_until_stopped(wait))


@main.command()
@LISTEN
def table(listen: str) -> None:
    """Run the table service."""
    from flamingohead.standins.platform import TableStandin

    async def start(stopping: asyncio.Event) -> None:
        TableStandin().listen(listen)
        await stopping.wait()

    _run(start)


@main.command()
@LISTEN
def objects(listen: str) -> None:
    """Run the object store."""
    from flamingohead.standins.platform import ObjectStandin

    async def start(stopping: asyncio.Event) -> None:
        ObjectStandin().listen(listen)
        await stopping.wait()

    _run(start)


@main.command()
@LISTEN
def store(listen: str) -> None:
    """Run the platform's store of rows and objects."""
    from flamingohead.standins.store import StoreStandin

    async def start(stopping: asyncio.Event) -> None:
        StoreStandin().listen(listen)
        await stopping.wait()

    _run(start)


@main.command()
@LISTEN
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--control", required=True, help="address that receives heartbeats")
@click.option(
    "--announced", default="", help="address in heartbeats, if not that of --listen"
)
@click.option("--slots", default=4, show_default=True)
@click.option("--journal", default="", help="file that records runs and leaves")
@click.option("--clock-offset-ms", default=0, show_default=True)
@click.option("--drain-seconds", default=0.0, show_default=True)
@click.option(
    "--lost-share", default=0.0, help="share of responses replaced by a cut connection"
)
@click.option("--queue", default=0, help="requests that may wait for a slot")
@click.option(
    "--silent-when-full", is_flag=True, help="never answer what can't be queued"
)
@click.option("--speed", default=1.0, show_default=True)
@click.option("--cold-seconds", default=0.0, show_default=True)
def instance(
    listen: str,
    name: str,
    service: str,
    control: str,
    announced: str,
    slots: int,
    journal: str,
    clock_offset_ms: int,
    drain_seconds: float,
    lost_share: float,
    queue: int,
    silent_when_full: bool,
    speed: float,
    cold_seconds: float,
) -> None:
    """Run an upstream that uses the platform's protocol."""
    from flamingohead.standins.instance import InstanceStandin

    standin = InstanceStandin(
        name,
        service,
        listen,
        control,
        slots,
        announced=announced or listen,
        journal=journal,
        clock_offset_ms=clock_offset_ms,
        drain_seconds=drain_seconds,
        lost_share=lost_share,
        queue=queue,
        silent_when_full=silent_when_full,
        speed=speed,
        cold_seconds=cold_seconds,
    )

    async def start(stopping: asyncio.Event) -> None:
        await standin.start()
        await standin.run(stopping)

    _run(start)


@main.command()
@LISTEN
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--announce", required=True, help="announce address of the daemon")
@click.option("--slots", default=20, show_default=True)
@click.option("--service-ms", default=5.0, show_default=True)
@click.option("--cold-seconds", default=0.0, show_default=True)
def upstream(
    listen: str,
    name: str,
    service: str,
    announce: str,
    slots: int,
    service_ms: float,
    cold_seconds: float,
) -> None:
    """Run an upstream that announces itself to a daemon."""
    from flamingohead.standins.upstream import UpstreamSettings, UpstreamStandin

    settings = UpstreamSettings(
        slots=slots, service_ms=service_ms, cold_seconds=cold_seconds
    )
    standin = UpstreamStandin(name, service, listen, announce, settings)

    async def start(stopping: asyncio.Event) -> None:
        standin.listen()
        await standin.run(stopping)

    _run(start)


if __name__ == "__main__":
    main()
