"""Capacity figures of control work at the two-year size."""

from __future__ import annotations

from benchmarks.capacity import (
    ACTIVATION_LIMIT,
    BYTES_LIMIT,
    BYTES_PER_KB,
    BYTES_PER_MB,
    CHANGES_PER_DAY,
    CHANGES_PER_SECOND,
    DAEMONS,
    DATAGRAM_LOSS,
    DOMAINS,
    HERD_SIZE,
    MICROSECONDS,
    MILLISECONDS_PER_SECOND,
    PERCENT,
    SERVICES,
    TABLE_READ_LIMIT,
    TABLE_WRITE_LIMIT,
    Figure,
    ResultFiles,
    register_role,
    scale_row,
)
from flamingohead.core.pulls import SNAPSHOT_RATE

DOMAIN_SIZE = 613
MAX_RECORDS = 256


@register_role("accepting and spreading")
def compute_spreading_figures(results: ResultFiles) -> list[Figure]:
    """Return a daemon's cost of a change, and the time until all have activated it."""
    costs = {"services": SERVICES}
    spread = {"way": "gossip", "daemons": DAEMONS, "domains": DOMAINS}
    spread["loss"] = DATAGRAM_LOSS
    source = results.get_source("configuration_cost")
    spread_source = results.get_source("spreading")
    apply_cost = results.find(
        "configuration_cost", "take a small record whole", **costs
    )
    memory = results.find(
        "configuration_cost", "memory of snapshot and routes", **costs
    )
    record = results.find("configuration_cost", "memory of a kept record", **costs)
    figures = [
        scale_row(
            apply_cost,
            CHANGES_PER_SECOND * MICROSECONDS * PERCENT,
            role="accepting and spreading",
            label=f"processor, {CHANGES_PER_DAY} changes in 8 hours",
            unit="% of a core",
            source=source,
            budget_name="processor",
            mechanism="digests, checks and routes by service",
        ),
        scale_row(
            memory,
            1 / BYTES_PER_MB,
            role="accepting and spreading",
            label="memory of the snapshot and its routes",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism="one immutable snapshot, swapped whole",
        ),
        scale_row(
            record,
            MAX_RECORDS / BYTES_PER_MB,
            role="accepting and spreading",
            label=f"memory of {MAX_RECORDS} kept records",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism="records for peers that pull, bounded in number and in resources",
        ),
    ]
    baseline = results.find(
        "spreading", "bytes for each daemon", event="none", **spread
    )
    figures.append(
        scale_row(
            baseline,
            CHANGES_PER_SECOND / BYTES_PER_KB,
            role="accepting and spreading",
            label=f"bytes, {CHANGES_PER_DAY} changes in 8 hours",
            unit="KB/s",
            source=spread_source,
            budget_name="bytes",
            mechanism="push to three peers, pull by the versions on other datagrams",
        )
    )
    for event, label in (
        ("none", "in force on all, 10 % of datagrams lost"),
        ("killed", "in force on all, the pollers killed"),
        ("herd", "in force on all, one failure domain just returned"),
    ):
        row = results.find("spreading", "in force on all", event=event, **spread)
        figures.append(
            scale_row(
                row,
                1,
                role="accepting and spreading",
                label=label,
                unit="s",
                source=spread_source,
                limit=ACTIVATION_LIMIT,
                mechanism="random polling, push and pull",
            )
        )
    return figures


@register_role("membership")
def compute_membership_figures(results: ResultFiles) -> list[Figure]:
    """Return a daemon's cost of the membership of one failure domain."""
    size = {"daemons": DOMAIN_SIZE}
    source = results.get_source("membership_cost")
    detection_source = results.get_source("membership_detection")
    tick = results.find("membership_cost", "CPU for a tick", **size)
    small_datagram = results.find("membership_cost", "CPU for a small datagram", **size)
    full_datagram = results.find("membership_cost", "CPU for a full datagram", **size)
    memory = results.find("membership_cost", "memory for each member", **size)
    baseline = {**size, "loss": 0.0}
    lossy = {**size, "loss": DATAGRAM_LOSS}
    rate = results.find("membership_detection", "steady datagrams sent", **baseline)
    lossy_rate = results.find("membership_detection", "steady datagrams sent", **lossy)
    ticks_per_second = 10
    share = tick.value * ticks_per_second + 2 * rate.value * small_datagram.value
    lossy_share = (
        tick.value * ticks_per_second + 2 * lossy_rate.value * full_datagram.value
    )
    role = "membership"
    mechanism = "SWIM: one probe a second, updates ride on datagrams"
    figures = [
        Figure(
            role,
            "processor, quiet (ticks, datagrams both ways)",
            share * MICROSECONDS * PERCENT,
            "% of a core",
            source,
            budget_name="processor",
            mechanism=mechanism,
        ),
        Figure(
            role,
            "processor, 10 % of datagrams lost",
            lossy_share * MICROSECONDS * PERCENT,
            "% of a core",
            source,
            mechanism=mechanism,
        ),
        scale_row(
            memory,
            DOMAIN_SIZE / BYTES_PER_MB,
            role=role,
            label=f"memory of {DOMAIN_SIZE} members",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism=mechanism,
        ),
    ]
    for loss, budget_name in ((0.0, "bytes"), (DATAGRAM_LOSS, "")):
        row = results.find(
            "membership_detection", "steady bytes sent", daemons=DOMAIN_SIZE, loss=loss
        )
        figures.append(
            scale_row(
                row,
                2 / BYTES_PER_KB,
                role=role,
                label=f"bytes sent and received, {loss:.0%} lost",
                unit="KB/s",
                source=detection_source,
                budget_name=budget_name,
                mechanism=mechanism,
            )
        )
    for name in ("detection, median", "detection, 99 in 100"):
        row = results.find("membership_detection", name, **lossy)
        figures.append(
            scale_row(
                row,
                1,
                role=role,
                label=f"{name}, 10 % lost",
                unit="s",
                source=detection_source,
                mechanism="suspicion, shortened by further accusers",
            )
        )
    return figures


@register_role("restarts and herds")
def compute_churn_figures(results: ResultFiles) -> list[Figure]:
    """Return the cost of restarts, one by one and of a failure domain at once."""
    source = results.get_source("membership_churn")
    role = "restarts and herds"

    def scale(name: str, factor: float, label: str, unit: str, **details) -> Figure:
        row = results.find("membership_churn", name)
        details.setdefault("source", source)
        return scale_row(row, factor, role=role, label=label, unit=unit, **details)

    return [
        scale(
            "bytes of restarts at the two-year rate",
            1 / BYTES_PER_KB,
            "bytes, 2,200 restarts a day",
            "KB/s",
            budget_name="bytes",
            mechanism="a restart is one update on datagrams that are sent anyway",
        ),
        scale(
            "herd, most datagram bytes sent",
            1 / BYTES_PER_KB,
            f"bytes sent by the busiest daemon, herd of {HERD_SIZE}",
            "KB/s",
            limit=10,
            mechanism="two datagrams a second for waiting updates, 1200 bytes each",
        ),
        scale(
            "herd, until 99 of 100 are known to each",
            1,
            f"until 99 of 100 know each other, herd of {HERD_SIZE}",
            "s",
            mechanism="the same; requests are served by those known before",
        ),
        scale(
            "herd, most table reads",
            1,
            f"table reads, herd of {HERD_SIZE}",
            "1/s",
            limit=TABLE_READ_LIMIT / 4,
            mechanism="seeds first, jittered and capped waits",
        ),
        scale(
            "herd, most table writes",
            1,
            f"table writes, herd of {HERD_SIZE}",
            "1/s",
            limit=TABLE_WRITE_LIMIT,
            mechanism="a host row only while the failure domain has few",
        ),
    ]


@register_role("snapshots for fresh daemons")
def compute_snapshot_figures(results: ResultFiles) -> list[Figure]:
    """Return the cost of full snapshots while a failure domain restarts."""
    source = results.get_source("configuration_cost")
    size = results.find(
        "configuration_cost", "bytes of a whole snapshot", services=SERVICES
    )
    decode = results.find(
        "configuration_cost", "decode a whole snapshot", services=SERVICES
    )
    role = "snapshots for fresh daemons"
    mechanism = f"at most {SNAPSHOT_RATE:g} a second from each daemon, then a refusal"
    return [
        scale_row(
            size,
            1 / BYTES_PER_KB,
            role=role,
            label="one snapshot, taken once by a fresh daemon",
            unit="KB",
            source=source,
            mechanism="peers first, then the object store",
        ),
        scale_row(
            size,
            SNAPSHOT_RATE / BYTES_PER_KB,
            role=role,
            label="bytes of a daemon that serves them, for the seconds of a herd",
            unit="KB/s",
            source=source,
            limit=BYTES_LIMIT,
            mechanism=mechanism,
        ),
        scale_row(
            decode,
            MICROSECONDS * MILLISECONDS_PER_SECOND,
            role=role,
            label="processor time of a fresh daemon that takes one, in one piece",
            unit="ms",
            source=source,
            mechanism="once in a life; encoded once for each version",
        ),
    ]


@register_role("summaries between failure domains")
def compute_summary_figures(results: ResultFiles) -> list[Figure]:
    """Return a daemon's cost of summaries of the other failure domains."""
    source = results.get_source("membership_summaries")
    role = "summaries between failure domains"
    steady = results.find("membership_summaries", "steady bytes")
    memory = results.find("membership_summaries", "memory")
    fill_time = results.find("membership_summaries", "time to fill")
    requested_service_time = results.find(
        "membership_summaries", "time to a wanted service"
    )
    mechanism = "digests of 128 buckets, only those that differ are sent"
    return [
        scale_row(
            steady,
            1 / BYTES_PER_KB,
            role=role,
            label="bytes, steady",
            unit="KB/s",
            source=source,
            budget_name="bytes",
            mechanism=mechanism,
        ),
        scale_row(
            memory,
            2**20 / BYTES_PER_MB,
            role=role,
            label="memory, 14 failure domains of 550 services",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism=mechanism,
        ),
        scale_row(
            requested_service_time,
            1,
            role=role,
            label="until a new daemon knows a service that it wants",
            unit="s",
            source=source,
            mechanism="wanted buckets first",
        ),
        scale_row(
            fill_time,
            1,
            role=role,
            label="until a new daemon knows all of them",
            unit="s",
            source=source,
            mechanism="one exchange a second",
        ),
    ]


@register_role("announcements")
def compute_announcement_figures(results: ResultFiles) -> list[Figure]:
    """Return a daemon's cost of the announcements of one upstream."""
    slope = results.find("announcement_cost", "processor for each upstream")
    return [
        scale_row(
            slope,
            1,
            role="announcements",
            label="processor, one upstream, two announcements a second",
            unit="% of a core",
            source=results.get_source("announcement_cost"),
            budget_name="processor",
            mechanism="HTTP on the host's own address, spread only on a change",
        )
    ]


@register_role("the process itself")
def compute_process_figures(results: ResultFiles) -> list[Figure]:
    """Return the resource use of an idle daemon, with libraries and announcements."""
    source = results.get_source("membership_processes")
    rows = results.find_all("membership_processes", "CPU share of a core")
    largest = max(rows, key=lambda row: row.parameters["daemons"])
    size = largest.parameters["daemons"]
    memory = results.find("membership_processes", "resident memory", daemons=size)
    return [
        scale_row(
            largest,
            1,
            role="the process itself",
            label=f"processor, idle, one of {size} (membership included)",
            unit="% of a core",
            source=source,
            budget_name="processor",
            mechanism="one loop; ticks, announcements, polls of the table",
        ),
        scale_row(
            memory,
            2**20 / BYTES_PER_MB,
            role="the process itself",
            label=f"resident memory, idle, one of {size}",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism="CPython and the libraries",
        ),
    ]
