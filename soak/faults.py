"""Faults of the soak: coroutines that inject a fault, wait and end it."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.organisations import KEYS
from soak.proxy import Link

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from flamingohead.testing.hosts import Host
    from soak.mesh import SoakMesh

    FaultFunction = Callable[[SoakMesh, Host, Random], Awaitable[None]]

MAX_PAUSE_SECONDS = 2.5
MAX_LINK_FAULT_SECONDS = 2.5
MAX_STORE_FAULT_SECONDS = 3.0
# Often longer than the 5 s after which a withdrawn key must not be used.
CUT_SECONDS = (5.5, 8.5)
LONG_PAUSE_SECONDS = (4.5, 7.0)
RESTART_DELAY_SECONDS = 0.3
STOP_TIMEOUT_SECONDS = 8.0

FAULTS: dict[str, Fault] = {}


@dataclass(frozen=True)
class Fault:
    """Hold a fault, the resource it uses exclusively and whether it affects all hosts.

    Faults that use different resources may overlap on one host. Runs without ``part``
    don't have the fault.
    """

    name: str
    run: FaultFunction
    used_resource: str
    affects_all_hosts: bool
    part: str = ""


def register_fault(
    name: str, *, used_resource: str, affects_all_hosts: bool = False, part: str = ""
):
    """Register a coroutine function that injects a fault on a host and ends it."""

    def decorate(run: FaultFunction):
        FAULTS[name] = Fault(name, run, used_resource, affects_all_hosts, part)
        return run

    return decorate


@register_fault("pause", used_resource="pause")
async def _pause_daemon(mesh: SoakMesh, host: Host, random: Random) -> None:
    process = host.daemon.popen
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.1, MAX_PAUSE_SECONDS))
    process.send_signal(signal.SIGCONT)


@register_fault("long_pause", used_resource="pause", part=KEYS)
async def _pause_daemon_long(mesh: SoakMesh, host: Host, random: Random) -> None:
    process = host.daemon.popen
    process.send_signal(signal.SIGSTOP)
    await asyncio.to_thread(mesh.change_configuration, withdraws_key=True)
    await asyncio.sleep(random.uniform(*LONG_PAUSE_SECONDS))
    process.send_signal(signal.SIGCONT)


# A daemon that restarts while it is cut off has no keys, so both exclude each other.
@register_fault("cut_off", used_resource="daemon", part=KEYS)
async def _cut_off_daemon(mesh: SoakMesh, host: Host, random: Random) -> None:
    """Cut the links of a daemon to the store and to all other daemons."""
    mesh.set_link(host, "all", is_down=True)
    await asyncio.to_thread(mesh.change_configuration, withdraws_key=True)
    await asyncio.sleep(random.uniform(*CUT_SECONDS))
    mesh.set_link(host, "all", is_down=False)


@register_fault("reject", used_resource="links", affects_all_hosts=True, part=KEYS)
async def _reject_daemons(mesh: SoakMesh, host: Host, random: Random) -> None:
    """Let the store reject some daemons, which still reach the others."""
    hosts = sorted(mesh.hosts.values(), key=lambda host: host.name)
    rejected = random.sample(hosts, random.randint(1, len(hosts) - 1))
    for rejected_host in rejected:
        mesh.set_link(rejected_host, "store", is_down=True)
    await asyncio.to_thread(mesh.change_configuration, withdraws_key=True)
    await asyncio.sleep(random.uniform(*CUT_SECONDS))
    for rejected_host in rejected:
        mesh.set_link(rejected_host, "store", is_down=False)


@register_fault("kill", used_resource="daemon")
async def _kill_daemon(mesh: SoakMesh, host: Host, random: Random) -> None:
    host.daemon.kill()
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    mesh.start_daemon(host)


@register_fault("kill_all", used_resource="daemon", affects_all_hosts=True)
async def _kill_all_daemons(mesh: SoakMesh, host: Host, random: Random) -> None:
    for killed_host in mesh.hosts.values():
        killed_host.daemon.kill()
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    for killed_host in mesh.hosts.values():
        mesh.start_daemon(killed_host)


@register_fault("stop", used_resource="daemon")
async def _stop_daemon(mesh: SoakMesh, host: Host, random: Random) -> None:
    host.daemon.terminate()
    if random.random() < 0.3:
        # Send a second signal while the daemon stops because of the first.
        await asyncio.sleep(0.5)
        host.daemon.popen.send_signal(signal.SIGHUP)
    await asyncio.to_thread(host.daemon.wait, STOP_TIMEOUT_SECONDS)
    mesh.start_daemon(host)


@register_fault("reload", used_resource="reload")
async def _reload_daemon(mesh: SoakMesh, host: Host, random: Random) -> None:
    for _ in range(random.randint(1, 3)):
        daemon = host.daemon
        # Any signal ends an interpreter that has not installed its handlers yet.
        if daemon.popen.poll() is None and daemon.handles_signal(signal.SIGHUP):
            daemon.popen.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)


@register_fault("store", used_resource="store", affects_all_hosts=True)
async def _inject_store_fault(mesh: SoakMesh, host: Host, random: Random) -> None:
    store_faults = (
        {"refuse": 503},
        {"refuse": 429},
        {"silent": True},
        {"lose_writes": 3},
    )
    await asyncio.to_thread(mesh.set_faults, **random.choice(store_faults))
    await asyncio.sleep(random.uniform(0.5, MAX_STORE_FAULT_SECONDS))
    if random.random() < 0.5:
        await asyncio.to_thread(mesh.set_faults, drop_history=True)
        await asyncio.sleep(0.5)
    await asyncio.to_thread(mesh.set_faults)


@register_fault("restore_store", used_resource="store", affects_all_hosts=True)
async def _restore_store(mesh: SoakMesh, host: Host, random: Random) -> None:
    """Restore the store from a copy that is up to a few seconds old."""
    await asyncio.to_thread(mesh.back_up_store)
    await asyncio.sleep(random.uniform(0.5, MAX_STORE_FAULT_SECONDS))
    await asyncio.to_thread(mesh.set_faults, silent=True)
    await asyncio.sleep(random.uniform(0.0, 0.5))
    await asyncio.to_thread(mesh.restore_store)
    await asyncio.to_thread(mesh.set_faults)
    await asyncio.to_thread(mesh.restore_configuration)


async def _inject_link_fault(proxy, random: Random) -> None:
    fault_states = [link for link in Link if link is not Link.SOUND]
    proxy.set_state(random.choice(fault_states))
    await asyncio.sleep(random.uniform(0.1, MAX_LINK_FAULT_SECONDS))
    proxy.set_state(Link.SOUND)


@register_fault("store_link", used_resource="store_link")
async def _inject_store_link_fault(mesh: SoakMesh, host: Host, random: Random) -> None:
    await _inject_link_fault(mesh.store_links[host.name], random)


@register_fault("upstream_link", used_resource="upstream_link")
async def _inject_upstream_link_fault(
    mesh: SoakMesh, host: Host, random: Random
) -> None:
    await _inject_link_fault(mesh.upstream_links[host.name], random)


@register_fault("replace_upstream", used_resource="upstream")
async def _replace_upstream(mesh: SoakMesh, host: Host, random: Random) -> None:
    """Replace an upstream, with or without its leave; the new clock may be wrong."""
    if random.random() < 0.5:
        host.instance.terminate()
        await asyncio.to_thread(host.instance.wait, STOP_TIMEOUT_SECONDS)
    else:
        host.instance.kill()
    await asyncio.sleep(random.uniform(0.0, 1.0))
    offset = random.choice((0, 0, 60_000, 3_600_000))
    mesh.start_next_instance(host, clock_offset_ms=offset)
