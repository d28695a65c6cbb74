"""The faults of a soak: each begins, lasts and ends, beside others."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from soak.proxy import Link

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from flamingohead.testing.hosts import Host
    from soak.mesh import SoakMesh

    Fault = Callable[[SoakMesh, Host, Random], Awaitable[None]]

LONGEST_PAUSE_SECONDS = 2.5
LONGEST_LINK_SECONDS = 2.5
LONGEST_STORE_SECONDS = 3.0
RESTART_SECONDS = 0.3
STOP_TIMEOUT_SECONDS = 8.0
LATE_BEAT_SECONDS = 6.0

FAULTS: dict[str, Fault] = {}
# Faults that every host feels.
COMMON_FAULTS = frozenset(("store", "kill_all"))


def register_fault(name: str):
    """Register a coroutine function that begins and ends a fault on a host."""

    def decorate(fault: Fault):
        FAULTS[name] = fault
        return fault

    return decorate


@register_fault("pause")
async def _pause(mesh: SoakMesh, host: Host, random: Random) -> None:
    process = host.daemon.popen
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.1, LONGEST_PAUSE_SECONDS))
    process.send_signal(signal.SIGCONT)


@register_fault("kill")
async def _kill(mesh: SoakMesh, host: Host, random: Random) -> None:
    host.daemon.kill()
    await asyncio.sleep(RESTART_SECONDS)
    mesh.start_daemon(host)


@register_fault("kill_all")
async def _kill_all(mesh: SoakMesh, host: Host, random: Random) -> None:
    for each in mesh.hosts.values():
        each.daemon.kill()
    await asyncio.sleep(RESTART_SECONDS)
    for each in mesh.hosts.values():
        mesh.start_daemon(each)


@register_fault("stop")
async def _stop(mesh: SoakMesh, host: Host, random: Random) -> None:
    host.daemon.terminate()
    if random.random() < 0.3:
        # A second signal while the first is obeyed.
        await asyncio.sleep(0.5)
        host.daemon.popen.send_signal(signal.SIGHUP)
    await asyncio.to_thread(host.daemon.wait, STOP_TIMEOUT_SECONDS)
    mesh.start_daemon(host)


@register_fault("reload")
async def _reload(mesh: SoakMesh, host: Host, random: Random) -> None:
    for _ in range(random.randint(1, 3)):
        host.daemon.popen.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)


@register_fault("store")
async def _disturb_store(mesh: SoakMesh, host: Host, random: Random) -> None:
    choices = ({"refuse": 503}, {"refuse": 429}, {"silent": True}, {"lose_writes": 3})
    await asyncio.to_thread(mesh.set_faults, **random.choice(choices))
    await asyncio.sleep(random.uniform(0.5, LONGEST_STORE_SECONDS))
    if random.random() < 0.5:
        await asyncio.to_thread(mesh.set_faults, drop_history=True)
        await asyncio.sleep(0.5)
    await asyncio.to_thread(mesh.set_faults)


async def _disturb_link(proxy, random: Random) -> None:
    links = [link for link in Link if link is not Link.SOUND]
    proxy.set_link(random.choice(links))
    await asyncio.sleep(random.uniform(0.1, LONGEST_LINK_SECONDS))
    proxy.set_link(Link.SOUND)


@register_fault("store_link")
async def _disturb_store_link(mesh: SoakMesh, host: Host, random: Random) -> None:
    await _disturb_link(mesh.store_links[host.name], random)


@register_fault("upstream_link")
async def _disturb_upstream_link(mesh: SoakMesh, host: Host, random: Random) -> None:
    await _disturb_link(mesh.upstream_links[host.name], random)


@register_fault("replace_upstream")
async def _replace_upstream(mesh: SoakMesh, host: Host, random: Random) -> None:
    """End an upstream with or without its leave; its clock may be wrong after it."""
    if random.random() < 0.5:
        host.instance.terminate()
        await asyncio.to_thread(host.instance.wait, STOP_TIMEOUT_SECONDS)
    else:
        host.instance.kill()
    await asyncio.sleep(random.uniform(0.0, 1.0))
    offset = random.choice((0, 0, 60_000, 3_600_000))
    mesh.start_next_instance(host, clock_offset_ms=offset)
