"""Churn and mass restarts within a failure domain; summaries between domains.

Members run over the simulated network of flamingohead.testing. Summaries are exchanged
by calling their state machines directly. No real network is involved.
"""

from __future__ import annotations

import tracemalloc
from random import Random

from benchmarks.membership import (
    DOMAIN_COUNT,
    DOMAIN_SIZE,
    HEADER_BYTES,
    RESTARTS_PER_DAY,
    SERVICE_COUNT,
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
    """Measure one restart, scaled to the two-year rate, then a mass restart of 600."""
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    network.run(WARM_UP)
    meter.reset()
    period = 86_400 / (RESTARTS_PER_DAY / DOMAIN_COUNT)
    restart_daemon(network, list(network.nodes.values())[0], Random(seed))
    seconds = 60.0
    network.run(seconds)
    parameters = {"daemons": DOMAIN_SIZE}
    bytes_sent = meter.bytes / DOMAIN_SIZE
    baseline_bytes = measure_baseline(seed, seconds)
    restart_bytes = bytes_sent - baseline_bytes
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


def measure_baseline(seed: int, seconds: float) -> float:
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    network.run(WARM_UP)
    meter.reset()
    network.run(seconds)
    return meter.bytes / DOMAIN_SIZE


def restart_daemon(network: FakeNetwork, node: FakeNode, random: Random) -> FakeNode:
    """Replace a daemon by a new one at its address, which joins through one contact."""
    network.kill_node(node)
    number = int(node.host_id.rpartition("-")[2])
    incarnation = node.membership.local_member.incarnation + 1000
    replacement = start_node(network, number, incarnation=incarnation)
    contacts = [n for n in network.nodes.values() if n is not replacement]
    network.join(replacement, random.choice(contacts))
    return replacement


def measure_herd(seed: int) -> list[Row]:
    """Restart 600 of 613 daemons at once; measure the time until all lists converge.

    The daemons start within one second and find contacts through host rows, half of
    which are stale: they belong to hosts that no longer exist.
    """
    meter = Meter()
    network = build_domain(DOMAIN_SIZE, seed, 0.0, meter)
    bootstraps = BootstrapSimulation(network, Random(seed))
    for node in network.nodes.values():
        bootstraps.add(node)
    add_host_rows(network, bootstraps)
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
    peak = 0.0
    nearly_complete_at = None
    while network.now < started_at + 180:
        before = meter.bytes
        bootstraps.run(1.0)
        peak = max(peak, (meter.bytes - before) / DOMAIN_SIZE)
        unknown = sum(count_unknown(node, expected) for node in network.nodes.values())
        if nearly_complete_at is None and unknown < 0.01 * DOMAIN_SIZE**2:
            nearly_complete_at = network.now
        if not unknown:
            break
    nearly_complete_seconds = (nearly_complete_at or network.now) - started_at
    seconds = network.now - started_at
    parameters = {"daemons": DOMAIN_SIZE, "herd": 600}
    state = sum(codec.encode_member(m).ByteSize() + 2 for m in expected.values())
    joins = sum(bootstraps.joins.values())
    figures = [
        ("herd, until 99 of 100 are known to each", nearly_complete_seconds, "s"),
        ("herd, until all know all", seconds, "s"),
        ("herd, datagram bytes sent", meter.bytes / DOMAIN_SIZE / seconds, "B/s"),
        ("herd, most datagram bytes sent", peak, "B/s"),
        ("herd, bytes of states sent", joins * state / DOMAIN_SIZE / seconds, "B/s"),
        ("herd, bytes of one state", state, "B"),
        ("herd, largest datagram", meter.largest_datagram, "B"),
        ("herd, joins", joins, ""),
        ("herd, most joins", max(bootstraps.joins.values()), "1/s"),
        ("herd, joins put off", bootstraps.refused_joins, ""),
        ("herd, most table reads", max(bootstraps.reads.values()), "1/s"),
        ("herd, most table writes", max(bootstraps.writes.values(), default=0), "1/s"),
    ]
    return [
        Row(name, value, unit, None, None, parameters) for name, value, unit in figures
    ]


def add_host_rows(network: FakeNetwork, bootstraps: BootstrapSimulation) -> None:
    """Add sixteen host rows, every other one stale."""
    nodes = list(network.nodes.values())
    for number in range(8):
        node = nodes[number * 70]
        row = HostRow(node.host_id, node.address, network.now)
        bootstraps.rows[row.host_id] = row
        stale_row = HostRow(f"gone-{number}", f"10.99.0.{number}:8082", network.now)
        bootstraps.rows[stale_row.host_id] = stale_row


def start_node(network: FakeNetwork, number: int, *, incarnation: int) -> FakeNode:
    """Start a daemon with one upstream and an empty member list."""
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
    """Return how many members a node lacks or has in an outdated state."""
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
    """Measure filling the summaries of 14 domains of 550 services, and steady state."""
    random = Random(seed)
    local_summaries = {}
    for domain in range(DOMAIN_COUNT - 1):
        local = LocalSummary()
        members = [create_member(number) for number in range(DOMAIN_SIZE)]
        local.set_services(summarize_members(members))
        local_summaries[f"domain-{domain}"] = local
    tracemalloc.start()
    remote = RemoteSummaries("rc-a", random=random)
    for domain in local_summaries:
        remote.add_contact(domain, domain, 0.0)
    now, filled_at, fill_bytes = 0.0, None, 0
    steady_bytes, steady_from = 0, None
    peak = 0
    wanted_at = None
    while steady_from is None or now < steady_from + 60:
        if (
            wanted_at is None
            and len(remote.list_remote("service-007", now)) == DOMAIN_COUNT - 1
        ):
            wanted_at = now
        now += 0.1
        exchanged_bytes = exchange_summaries(remote, local_summaries, now, random)
        peak = max(peak, exchanged_bytes)
        if steady_from is not None:
            steady_bytes += exchanged_bytes
            continue
        fill_bytes += exchanged_bytes
        if len(remote._by_service) == SERVICE_COUNT and is_complete(remote, now):
            filled_at = now
            steady_from = now
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    parameters = {"domains": DOMAIN_COUNT, "services": SERVICE_COUNT}
    return [
        Row("time to a wanted service", wanted_at, "s", None, None, parameters),
        Row("time to fill", filled_at, "s", None, None, parameters),
        Row("bytes to fill", fill_bytes, "B", None, None, parameters),
        Row("steady bytes", steady_bytes / 60, "B/s", None, None, parameters),
        Row("most bytes in one exchange", peak, "B", None, None, parameters),
        Row("memory", memory / 2**20, "MiB", None, None, parameters),
    ]


def is_complete(remote: RemoteSummaries, now: float) -> bool:
    counts = (len(remote.list_remote(name, now)) for name in remote._by_service)
    return all(count == DOMAIN_COUNT - 1 for count in counts)


def exchange_summaries(
    remote: RemoteSummaries,
    local_summaries: dict[str, LocalSummary],
    now: float,
    random,
) -> int:
    """Exchange summaries that are due; return the bytes in both directions."""
    exchanged_bytes = 0
    for effect in remote.tick(now):
        exchanged_bytes += measure_size(effect.request)
        for reply in local_summaries[effect.address].answer(effect.request, (), random):
            exchanged_bytes += measure_size(reply)
            remote.receive_reply(effect.address, effect.sequence, reply, now)
    return exchanged_bytes


def measure_size(body) -> int:
    member = create_member(0)
    datagram = Datagram(member.host_id, member.peer_address, "rc-a", 2**32, 9999, body)
    return len(encode_datagram(datagram)) + HEADER_BYTES
