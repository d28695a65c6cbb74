"""Failure detection, false suspicions, traffic, CPU and memory of membership.

The members of one failure domain run in one process over the simulated network of
flamingohead.testing. Byte counts are encoded datagrams plus UDP and IP headers. The
baseline is all-to-all heartbeats, one per daemon and second.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from random import Random

from benchmarks.results import Row, register_benchmark
from flamingohead.core.memberlist import MemberChanged
from flamingohead.core.members import (
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamStatus,
)
from flamingohead.core.membership import Membership, SendDatagram
from flamingohead.core.messages import Datagram, Gossip
from flamingohead.protocol.codec import decode_datagram, encode_datagram
from flamingohead.testing.network import FakeNetwork, FakeNode, NetworkSettings

HEADER_BYTES = 28
HEARTBEAT_PERIOD = 1.0
SIZES = (50, 150, 300, 613)
DOMAIN_SIZE = 613
DOMAIN_COUNT = 15
SERVICE_COUNT = 550
RESTARTS_PER_DAY = 2_200
WARM_UP = 3.0
DETECTION_TIMEOUT = 60.0


def create_member(number: int, incarnation: int = 1) -> Member:
    """Return the member record of a host with one ready upstream."""
    name = f"worker-{number:04d}"
    upstream = UpstreamState(
        f"{name}-u", f"service-{number % SERVICE_COUNT:03d}", UpstreamStatus.READY, 20
    )
    address = f"10.20.{number // 250}.{number % 250 + 1}"
    return Member(
        name, "rc-a", f"{address}:8082", f"{address}:8081", incarnation, 0, (upstream,)
    )


class Meter:
    """Count datagrams, and record suspicions and deaths by host."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        self.bytes = 0
        self.datagrams = 0
        self.largest_datagram = 0
        self.suspected: set[tuple[str, int]] = set()
        self.detection_times: dict[str, list[float]] = {}
        self.network: FakeNetwork | None = None

    def observe(self, node: FakeNode, effect: object) -> None:
        if isinstance(effect, SendDatagram):
            size = len(encode_datagram(effect.datagram)) + HEADER_BYTES
            self.bytes += size
            self.datagrams += 1
            self.largest_datagram = max(self.largest_datagram, size)
        elif isinstance(effect, MemberChanged):
            self.record_change(effect.member)

    def record_change(self, member: Member) -> None:
        if member.status is MemberStatus.SUSPECT:
            self.suspected.add((member.host_id, member.incarnation))
        if member.status is MemberStatus.DEAD and self.network is not None:
            self.detection_times.setdefault(member.host_id, []).append(self.network.now)


def build_domain(size: int, seed: int, loss: float, meter: Meter) -> FakeNetwork:
    """Return a failure domain whose members all have the complete member list."""
    settings = NetworkSettings(loss=loss)
    network = FakeNetwork(Random(seed), settings=settings, observe=meter.observe)
    members = [create_member(number) for number in range(size)]
    for member in members:
        node = network.start_node(
            member.host_id,
            incarnation=member.incarnation,
            failure_domain=member.failure_domain,
            address=member.peer_address,
        )
        node.membership.set_upstreams(member.upstreams)
    states = [node.membership.local_member for node in network.nodes.values()]
    for node in network.nodes.values():
        node.membership.merge(states, network.now)
    clear_update_queues(network)
    return network


def clear_update_queues(network: FakeNetwork) -> None:
    """Discard queued updates, which a long-running domain has already transmitted."""
    for node in network.nodes.values():
        updates = node.membership._member_list.queue
        for host_id in list(updates._level_of):
            updates.discard(host_id)


def measure_detection(seed: int, size: int, loss: float) -> list[Row]:
    """Measure the time until all members detect each of five killed daemons."""
    meter = Meter()
    network = build_domain(size, seed, loss, meter)
    network.run(WARM_UP)
    steady_from = network.now
    meter.reset()
    meter.network = network
    network.run(10.0)
    seconds = network.now - steady_from
    parameters = {"daemons": size, "loss": loss}
    rate = meter.bytes / size / seconds
    rows = [
        Row("steady bytes sent", rate, "B/s", None, None, parameters),
        Row(
            "steady datagrams sent",
            meter.datagrams / size / seconds,
            "1/s",
            None,
            None,
            parameters,
        ),
        Row(
            "false suspicions",
            len(meter.suspected) / size / seconds * 3600,
            "1/h",
            None,
            None,
            parameters,
        ),
    ]
    false_deaths = len(meter.detection_times)
    rows.append(Row("falsely dead", false_deaths, "hosts", None, None, parameters))
    first_delays, all_delays = [], []
    nodes_to_kill = list(network.nodes.values())[:5]
    for killed_node in nodes_to_kill:
        meter.detection_times.pop(killed_node.host_id, None)
        killed_at = network.now
        network.kill_node(killed_node)
        deadline = network.now + DETECTION_TIMEOUT
        remaining = len(network.nodes)
        detection_times: list[float] = []
        while len(detection_times) < remaining and network.now < deadline:
            network.run(1.0)
            detection_times = meter.detection_times.get(killed_node.host_id, [])
        first_delays.append(min(detection_times, default=deadline) - killed_at)
        all_delays += [at - killed_at for at in detection_times]
        all_delays += [DETECTION_TIMEOUT] * (remaining - len(detection_times))
    all_delays.sort()
    low, high = all_delays[0], all_delays[-1]
    p99 = all_delays[int(len(all_delays) * 0.99)]
    median = statistics.median(all_delays)
    rows += [
        Row(
            "detection by the first member, median",
            statistics.median(first_delays),
            "s",
            min(first_delays),
            max(first_delays),
            parameters,
        ),
        Row("detection, median", median, "s", low, high, parameters),
        Row("detection, 99 in 100", p99, "s", low, high, parameters),
    ]
    return rows


def measure_heartbeats(size: int) -> list[Row]:
    """Estimate the cost of all-to-all heartbeats from one encoded heartbeat."""
    member = create_member(0)
    datagram = Datagram(member.host_id, member.peer_address, "rc-a", 1, 1, Gossip())
    data = encode_datagram(datagram)
    started_at = time.process_time()
    rounds = 3000
    for _ in range(rounds):
        encode_datagram(datagram)
        decode_datagram(data)
    cpu = (time.process_time() - started_at) / rounds
    rate = (size - 1) / HEARTBEAT_PERIOD
    parameters = {"daemons": size, "way": "all-to-all heartbeats"}
    sent = rate * (len(data) + HEADER_BYTES)
    return [
        Row("heartbeats, bytes sent", sent, "B/s", None, None, parameters),
        Row("heartbeats, datagrams sent", rate, "1/s", None, None, parameters),
        Row("heartbeats, CPU share", rate * cpu * 100, "%", None, None, parameters),
    ]


@register_benchmark("membership_detection")
def measure_all_detection(seed: int) -> list[Row]:
    rows = measure_heartbeats(DOMAIN_SIZE)
    for size in SIZES:
        rows += measure_detection(seed, size, 0.0)
    rows += measure_detection(seed, DOMAIN_SIZE, 0.1)
    return rows


def measure_cost(seed: int, size: int) -> list[Row]:
    """Measure CPU time, including the codec, and memory per member."""
    members = [create_member(number) for number in range(size)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    membership = Membership(members[0], random=Random(seed))
    membership.merge([decode_copy(member) for member in members[1:]], 0.0)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    full_cpu = measure_datagrams(members, seed, 0.1)
    small_cpu = measure_datagrams(members, seed, 60.0)
    tick_cpu = measure_tick(members, seed)
    parameters = {"daemons": size}
    return [
        Row("memory for each member", memory / size, "B", None, None, parameters),
        Row("CPU for a tick", tick_cpu * 1e6, "us", None, None, parameters),
        Row("CPU for a full datagram", full_cpu * 1e6, "us", None, None, parameters),
        Row("CPU for a small datagram", small_cpu * 1e6, "us", None, None, parameters),
    ]


def measure_datagrams(members: list[Member], seed: int, sent_at: float) -> float:
    """Return the CPU seconds to encode, decode and handle one datagram.

    Updates are queued at 0 s. When ``sent_at`` is past 1 s, the queue is emptied
    first, as in a domain where all updates have been transmitted.
    """
    sender = Membership(members[0], random=Random(seed))
    sender.merge(members[1:], 0.0)
    if sent_at > 1.0:
        for host_id in list(sender._member_list.queue._level_of):
            sender._member_list.queue.discard(host_id)
    receiver = Membership(members[1], random=Random(seed))
    receiver.merge([members[0], *members[2:]], 0.0)
    pings = [sender._datagrams.ping("10.0.0.1:1").datagram for _ in range(500)]
    started_at = time.process_time()
    for datagram in pings:
        receiver.receive(decode_datagram(encode_datagram(datagram)), 0.1)
    return (time.process_time() - started_at) / len(pings)


def measure_tick(members: list[Member], seed: int) -> float:
    """Return the CPU seconds of one tick of a member with no outstanding probe."""
    membership = Membership(members[0], random=Random(seed))
    membership.merge(members[1:], 0.0)
    ticks = 9
    started_at = time.process_time()
    for tick in range(ticks):
        membership.tick(0.1 * tick)
    return (time.process_time() - started_at) / ticks


def decode_copy(member: Member) -> Member:
    """Return a decoded copy of a member, which shares no strings with the original."""
    gossip = Datagram("s", "a", "rc-a", 0, 0, Gossip(), (member,))
    return decode_datagram(encode_datagram(gossip)).updates[0]


@register_benchmark("membership_cost")
def measure_all_cost(seed: int) -> list[Row]:
    rows = []
    for size in SIZES:
        rows += measure_cost(seed, size)
    return rows
