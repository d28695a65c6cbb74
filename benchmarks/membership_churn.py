"""Churn and herds inside a failure domain, and summaries between them.

The memberships run over the fake network of flamingohead.testing; the summaries are
exchanged by calling their state machines. Nothing here is a network.
"""

from __future__ import annotations

import tracemalloc
from random import Random

from benchmarks.membership import (
    DOMAIN_SIZE,
    DOMAINS,
    HEADER_BYTES,
    RESTARTS_A_DAY,
    SERVICES,
    WARM_UP,
    Meter,
    build_domain,
    create_member,
)
from benchmarks.results import Row, register_benchmark
from flamingohead.core.bootstrap import HostRow
from flamingohead.core.members import Member
from flamingohead.core.messages import Datagram
from flamingohead.core.summaries import LocalSummary, RemoteSummaries, summarize_members
from flamingohead.protocol import codec
from flamingohead.protocol.codec import encode_datagram
from flamingohead.testing.bootstraps import BootstrapSimulation
from flamingohead.testing.network import FakeNetwork, FakeNode


def measure_churn(seed: int) -> list[Row]:
    """Restart daemons at the two-year rate in one domain, then a herd of 600."""
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    network.run(WARM_UP)
    meter.reset()
    period = 86_400 / (RESTARTS_A_DAY / DOMAINS)
    restart(network, list(network.nodes.values())[0], Random(seed))
    seconds = 60.0
    network.run(seconds)
    parameters = {"daemons": DOMAIN_SIZE}
    extra = meter.bytes / DOMAIN_SIZE
    quiet = measure_quiet(seed, seconds)
    restart_bytes = extra - quiet
    rows = [
        Row(
            "bytes of one restart to each daemon",
            restart_bytes,
            "B",
            None,
            None,
            parameters,
        ),
        Row(
            "bytes of restarts at the two-year rate",
            restart_bytes / period,
            "B/s",
            None,
            None,
            parameters,
        ),
    ]
    return rows + measure_herd(seed)


def measure_quiet(seed: int, seconds: float) -> float:
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    network.run(WARM_UP)
    meter.reset()
    network.run(seconds)
    return meter.bytes / DOMAIN_SIZE


def restart(network: FakeNetwork, node: FakeNode, random: Random) -> FakeNode:
    """Replace a daemon by a fresh one at its address, which joins through one."""
    network.kill_node(node)
    number = int(node.host_id.rpartition("-")[2])
    incarnation = node.membership.local_member.incarnation + 1000
    fresh = start_node(network, number, incarnation=incarnation)
    others = [n for n in network.nodes.values() if n is not fresh]
    network.join(fresh, random.choice(others))
    return fresh


def measure_herd(seed: int) -> list[Row]:
    """Restart 600 of 613 daemons at once; time until all know all.

    They start within a second and find the others through host rows, of which every
    other one leads to a host that is gone.
    """
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    bootstraps = BootstrapSimulation(network, Random(seed))
    for node in network.nodes.values():
        bootstraps.add(node)
    write_rows(network, bootstraps)
    bootstraps.run(WARM_UP)
    meter.reset()
    bootstraps.clear_counters()
    started_at = network.now
    herd = list(network.nodes.values())[:600]
    for node in herd:
        network.kill_node(node)
    bootstraps.run(1.0)
    for node in herd:
        number = int(node.host_id.rpartition("-")[2])
        bootstraps.add(start_node(network, number, incarnation=10_000))
    expected = {n.host_id: n.membership.local_member for n in network.nodes.values()}
    busiest = 0.0
    nearly_at = None
    while network.now < started_at + 180:
        before = meter.bytes
        bootstraps.run(1.0)
        busiest = max(busiest, (meter.bytes - before) / DOMAIN_SIZE)
        unknown = sum(count_unknown(node, expected) for node in network.nodes.values())
        if nearly_at is None and unknown < 0.01 * DOMAIN_SIZE**2:
            nearly_at = network.now
        if not unknown:
            break
    nearly = (nearly_at or network.now) - started_at
    seconds = network.now - started_at
    parameters = {"daemons": DOMAIN_SIZE, "herd": 600}
    state = sum(codec.encode_member(m).ByteSize() + 2 for m in expected.values())
    joins = sum(bootstraps.joins.values())
    figures = [
        ("herd, until 99 of 100 are known to each", nearly, "s"),
        ("herd, until all know all", seconds, "s"),
        ("herd, datagram bytes sent", meter.bytes / DOMAIN_SIZE / seconds, "B/s"),
        ("herd, most datagram bytes sent", busiest, "B/s"),
        ("herd, bytes of states sent", joins * state / DOMAIN_SIZE / seconds, "B/s"),
        ("herd, bytes of one state", state, "B"),
        ("herd, largest datagram", meter.largest, "B"),
        ("herd, joins", joins, ""),
        ("herd, most joins", max(bootstraps.joins.values()), "1/s"),
        ("herd, joins put off", bootstraps.refused_joins, ""),
        ("herd, most table reads", max(bootstraps.reads.values()), "1/s"),
        ("herd, most table writes", max(bootstraps.writes.values(), default=0), "1/s"),
    ]
    return [
        Row(name, value, unit, None, None, parameters) for name, value, unit in figures
    ]


def write_rows(network: FakeNetwork, bootstraps: BootstrapSimulation) -> None:
    """Write sixteen host rows, every other one of a host that is gone."""
    nodes = list(network.nodes.values())
    for number in range(8):
        node = nodes[number * 70]
        row = HostRow(node.host_id, node.address, network.now)
        bootstraps.rows[row.host_id] = row
        gone = HostRow(f"gone-{number}", f"10.99.0.{number}:8082", network.now)
        bootstraps.rows[gone.host_id] = gone


def start_node(network: FakeNetwork, number: int, *, incarnation: int) -> FakeNode:
    """Start a daemon with one upstream; it knows nobody."""
    member = create_member(number, incarnation)
    node = network.start_node(
        member.host_id,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        address=member.peer_address,
    )
    node.membership.set_upstreams(member.upstreams)
    return node


def count_unknown(node: FakeNode, expected: dict[str, Member]) -> int:
    """Return how many members a node does not hold in their present state."""
    members = node.membership.members
    return sum(
        host_id != node.host_id
        and (host_id not in members or members[host_id].upstreams != member.upstreams)
        for host_id, member in expected.items()
    )


@register_benchmark("membership_churn")
def measure_all_churn(seed: int) -> list[Row]:
    return measure_churn(seed)


@register_benchmark("membership_summaries")
def measure_summaries(seed: int) -> list[Row]:
    """Fill one daemon's summaries of 14 domains of 550 services, then keep them."""
    random = Random(seed)
    locals_ = {}
    for domain in range(DOMAINS - 1):
        local = LocalSummary()
        members = [create_member(number) for number in range(DOMAIN_SIZE)]
        local.set_services(summarize_members(members))
        locals_[f"domain-{domain}"] = local
    tracemalloc.start()
    remote = RemoteSummaries("rc-a", random=random)
    for domain in locals_:
        remote.add_contact(domain, domain, 0.0)
    now, filled_at, fill_bytes = 0.0, None, 0
    steady_bytes, steady_from = 0, None
    busiest = 0
    wanted_at = None
    while steady_from is None or now < steady_from + 60:
        if (
            wanted_at is None
            and len(remote.list_remote("service-007", now)) == DOMAINS - 1
        ):
            wanted_at = now
        now += 0.1
        moved = exchange(remote, locals_, now, random)
        busiest = max(busiest, moved)
        if steady_from is not None:
            steady_bytes += moved
            continue
        fill_bytes += moved
        if len(remote._by_service) == SERVICES and is_filled(remote, now):
            filled_at = now
            steady_from = now
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    parameters = {"domains": DOMAINS, "services": SERVICES}
    return [
        Row("time to a wanted service", wanted_at, "s", None, None, parameters),
        Row("time to fill", filled_at, "s", None, None, parameters),
        Row("bytes to fill", fill_bytes, "B", None, None, parameters),
        Row("steady bytes", steady_bytes / 60, "B/s", None, None, parameters),
        Row("most bytes in one exchange", busiest, "B", None, None, parameters),
        Row("memory", memory / 2**20, "MiB", None, None, parameters),
    ]


def is_filled(remote: RemoteSummaries, now: float) -> bool:
    held = (len(remote.list_remote(name, now)) for name in remote._by_service)
    return all(count == DOMAINS - 1 for count in held)


def exchange(
    remote: RemoteSummaries, locals_: dict[str, LocalSummary], now: float, random
) -> int:
    """Let a daemon ask once if it is due; return the bytes both ways."""
    moved = 0
    for effect in remote.tick(now):
        moved += measure_size(effect.request)
        for reply in locals_[effect.address].answer(effect.request, (), random):
            moved += measure_size(reply)
            remote.receive_reply(effect.address, effect.sequence, reply, now)
    return moved


def measure_size(body) -> int:
    member = create_member(0)
    datagram = Datagram(member.host_id, member.peer_address, "rc-a", 2**32, 9999, body)
    return len(encode_datagram(datagram)) + HEADER_BYTES
