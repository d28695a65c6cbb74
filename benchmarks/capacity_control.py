"""The figures of control work at the two-year size: spreading, membership, herds."""

from __future__ import annotations

from benchmarks.capacity import (
    BYTES_LIMIT,
    BYTES_PER_KB,
    BYTES_PER_MB,
    CHANGES_PER_DAY,
    CHANGES_PER_SECOND,
    DAEMONS,
    DOMAINS,
    FULL_LOSS,
    HERD,
    IN_FORCE_LIMIT,
    MICROSECONDS,
    MILLISECONDS_PER_SECOND,
    PERCENT,
    SERVICES,
    TABLE_READ_LIMIT,
    TABLE_WRITE_LIMIT,
    Figure,
    Results,
    register_role,
    scale_row,
)
from flamingohead.core.pulls import SNAPSHOT_RATE

DOMAIN_SIZE = 613
MAX_RECORDS = 256


@register_role("accepting and spreading")
def work_out_spreading(results: Results) -> list[Figure]:
    """Return what a change costs a daemon, and when it is in force."""
    costs = {"services": SERVICES}
    spread = {"way": "gossip", "daemons": DAEMONS, "domains": DOMAINS}
    spread["loss"] = FULL_LOSS
    source = results.get_source("configuration_cost")
    spread_source = results.get_source("spreading")
    take = results.find("configuration_cost", "take a small record whole", **costs)
    memory = results.find(
        "configuration_cost", "memory of snapshot and routes", **costs
    )
    record = results.find("configuration_cost", "memory of a kept record", **costs)
    figures = [
        scale_row(
            take,
            CHANGES_PER_SECOND * MICROSECONDS * PERCENT,
            role="accepting and spreading",
            what=f"processor, {CHANGES_PER_DAY} changes in 8 hours",
            unit="% of a core",
            source=source,
            sums="processor",
            mechanism="digests, checks and routes by service",
        ),
        scale_row(
            memory,
            1 / BYTES_PER_MB,
            role="accepting and spreading",
            what="memory of the snapshot and its routes",
            unit="MB",
            source=source,
            sums="memory",
            mechanism="one immutable snapshot, swapped whole",
        ),
        scale_row(
            record,
            MAX_RECORDS / BYTES_PER_MB,
            role="accepting and spreading",
            what=f"memory of {MAX_RECORDS} kept records",
            unit="MB",
            source=source,
            sums="memory",
            mechanism="records for peers that pull, bounded in number and in resources",
        ),
    ]
    quiet = results.find("spreading", "bytes for each daemon", event="none", **spread)
    figures.append(
        scale_row(
            quiet,
            CHANGES_PER_SECOND / BYTES_PER_KB,
            role="accepting and spreading",
            what=f"bytes, {CHANGES_PER_DAY} changes in 8 hours",
            unit="KB/s",
            source=spread_source,
            sums="bytes",
            mechanism="push to three peers, pull by the versions on other datagrams",
        )
    )
    for event, what in (
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
                what=what,
                unit="s",
                source=spread_source,
                limit=IN_FORCE_LIMIT,
                mechanism="random polling, push and pull",
            )
        )
    return figures


@register_role("membership")
def work_out_membership(results: Results) -> list[Figure]:
    """Return what the membership of one failure domain costs a daemon."""
    size = {"daemons": DOMAIN_SIZE}
    source = results.get_source("membership_cost")
    found_source = results.get_source("membership_detection")
    tick = results.find("membership_cost", "CPU for a tick", **size)
    small = results.find("membership_cost", "CPU for a small datagram", **size)
    full = results.find("membership_cost", "CPU for a full datagram", **size)
    memory = results.find("membership_cost", "memory for each member", **size)
    quiet = {**size, "loss": 0.0}
    lossy = {**size, "loss": FULL_LOSS}
    rate = results.find("membership_detection", "steady datagrams sent", **quiet)
    lossy_rate = results.find("membership_detection", "steady datagrams sent", **lossy)
    ticks_per_second = 10
    share = tick.value * ticks_per_second + 2 * rate.value * small.value
    lossy_share = tick.value * ticks_per_second + 2 * lossy_rate.value * full.value
    role = "membership"
    mechanism = "SWIM: one probe a second, updates ride on datagrams"
    figures = [
        Figure(
            role,
            "processor, quiet (ticks, datagrams both ways)",
            share * MICROSECONDS * PERCENT,
            "% of a core",
            source,
            sums="processor",
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
            what=f"memory of {DOMAIN_SIZE} members",
            unit="MB",
            source=source,
            sums="memory",
            mechanism=mechanism,
        ),
    ]
    for loss, sums in ((0.0, "bytes"), (FULL_LOSS, "")):
        row = results.find(
            "membership_detection", "steady bytes sent", daemons=DOMAIN_SIZE, loss=loss
        )
        figures.append(
            scale_row(
                row,
                2 / BYTES_PER_KB,
                role=role,
                what=f"bytes sent and received, {loss:.0%} lost",
                unit="KB/s",
                source=found_source,
                sums=sums,
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
                what=f"{name}, 10 % lost",
                unit="s",
                source=found_source,
                mechanism="suspicion, shortened by further accusers",
            )
        )
    return figures


@register_role("restarts and herds")
def work_out_churn(results: Results) -> list[Figure]:
    """Return what restarts cost, and a failure domain that comes back at once."""
    source = results.get_source("membership_churn")
    role = "restarts and herds"

    def scale(name: str, factor: float, what: str, unit: str, **details) -> Figure:
        row = results.find("membership_churn", name)
        details.setdefault("source", source)
        return scale_row(row, factor, role=role, what=what, unit=unit, **details)

    return [
        scale(
            "bytes of restarts at the two-year rate",
            1 / BYTES_PER_KB,
            "bytes, 2,200 restarts a day",
            "KB/s",
            sums="bytes",
            mechanism="a restart is one update on datagrams that are sent anyway",
        ),
        scale(
            "herd, most datagram bytes sent",
            1 / BYTES_PER_KB,
            f"bytes sent by the busiest daemon, herd of {HERD}",
            "KB/s",
            limit=10,
            mechanism="two datagrams a second for waiting updates, 1200 bytes each",
        ),
        scale(
            "herd, until 99 of 100 are known to each",
            1,
            f"until 99 of 100 know each other, herd of {HERD}",
            "s",
            mechanism="the same; requests are served by those known before",
        ),
        scale(
            "herd, most table reads",
            1,
            f"table reads, herd of {HERD}",
            "1/s",
            limit=TABLE_READ_LIMIT / 4,
            mechanism="seeds first, jittered and capped waits",
        ),
        scale(
            "herd, most table writes",
            1,
            f"table writes, herd of {HERD}",
            "1/s",
            limit=TABLE_WRITE_LIMIT,
            mechanism="a host row only while the failure domain has few",
        ),
    ]


@register_role("snapshots for fresh daemons")
def work_out_snapshots(results: Results) -> list[Figure]:
    """Return what whole snapshots cost while a failure domain comes back."""
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
            what="one snapshot, taken once by a fresh daemon",
            unit="KB",
            source=source,
            mechanism="peers first, then the object store",
        ),
        scale_row(
            size,
            SNAPSHOT_RATE / BYTES_PER_KB,
            role=role,
            what="bytes of a daemon that serves them, for the seconds of a herd",
            unit="KB/s",
            source=source,
            limit=BYTES_LIMIT,
            mechanism=mechanism,
        ),
        scale_row(
            decode,
            MICROSECONDS * MILLISECONDS_PER_SECOND,
            role=role,
            what="processor time of a fresh daemon that takes one, in one piece",
            unit="ms",
            source=source,
            mechanism="once in a life; encoded once for each version",
        ),
    ]


@register_role("summaries between failure domains")
def work_out_summaries(results: Results) -> list[Figure]:
    """Return what a daemon spends to know the other failure domains."""
    source = results.get_source("membership_summaries")
    role = "summaries between failure domains"
    steady = results.find("membership_summaries", "steady bytes")
    memory = results.find("membership_summaries", "memory")
    fill = results.find("membership_summaries", "time to fill")
    wanted = results.find("membership_summaries", "time to a wanted service")
    mechanism = "digests of 128 buckets, only those that differ are sent"
    return [
        scale_row(
            steady,
            1 / BYTES_PER_KB,
            role=role,
            what="bytes, steady",
            unit="KB/s",
            source=source,
            sums="bytes",
            mechanism=mechanism,
        ),
        scale_row(
            memory,
            2**20 / BYTES_PER_MB,
            role=role,
            what="memory, 14 failure domains of 550 services",
            unit="MB",
            source=source,
            sums="memory",
            mechanism=mechanism,
        ),
        scale_row(
            wanted,
            1,
            role=role,
            what="until a new daemon knows a service that it wants",
            unit="s",
            source=source,
            mechanism="wanted buckets first",
        ),
        scale_row(
            fill,
            1,
            role=role,
            what="until a new daemon knows all of them",
            unit="s",
            source=source,
            mechanism="one exchange a second",
        ),
    ]


@register_role("announcements")
def work_out_announcements(results: Results) -> list[Figure]:
    """Return what one upstream that announces itself costs its daemon."""
    slope = results.find("announcement_cost", "processor for each upstream")
    return [
        scale_row(
            slope,
            1,
            role="announcements",
            what="processor, one upstream, two announcements a second",
            unit="% of a core",
            source=results.get_source("announcement_cost"),
            sums="processor",
            mechanism="HTTP on the host's own address, spread only on a change",
        )
    ]


@register_role("the process itself")
def work_out_process(results: Results) -> list[Figure]:
    """Return what an idle daemon takes, libraries and announcements included."""
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
            what=f"processor, idle, one of {size} (membership included)",
            unit="% of a core",
            source=source,
            sums="processor",
            mechanism="one loop; ticks, announcements, polls of the table",
        ),
        scale_row(
            memory,
            2**20 / BYTES_PER_MB,
            role="the process itself",
            what=f"resident memory, idle, one of {size}",
            unit="MB",
            source=source,
            sums="memory",
            mechanism="CPython and the libraries",
        ),
    ]
