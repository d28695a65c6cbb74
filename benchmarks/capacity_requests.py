"""Capacity figures of requests and of the platform at the two-year size."""

from __future__ import annotations

from benchmarks.capacity import (
    ADDED_LATENCY_LIMIT,
    BYTES_PER_KB,
    BYTES_PER_MB,
    CALLS_PER_DAEMON,
    CHANGES_PER_DAY,
    DAEMONS,
    DATAGRAM_LOSS,
    DAY_SECONDS,
    DOMAINS,
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
from flamingohead.core.acceptance import SNAPSHOT_PERIOD

STORED_ANSWERS = 10_000


@register_role("kept answers")
def compute_key_figures(results: ResultFiles) -> list[Figure]:
    """Return the cost of keyed requests for a daemon and for the table."""
    source = results.get_source("keys")
    memory = results.find("keys", "ledger_memory_per_key")
    writes = results.find("keys", "table_writes_per_request", kind="claimed")
    scoped = results.find("keys", "table_writes_per_request", kind="scoped")
    return [
        scale_row(
            memory,
            STORED_ANSWERS / BYTES_PER_MB,
            role="kept answers",
            label=f"memory of {STORED_ANSWERS} answers of 256 bytes",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism="bounded in bytes by --key-answer-mib",
        ),
        Figure(
            "kept answers",
            "claimed requests a second that the table carries, all daemons together",
            TABLE_WRITE_LIMIT / writes.value,
            "1/s",
            source,
            mechanism="a claim row for a key that a caller made itself",
        ),
        Figure(
            "kept answers",
            "table writes of a request with a scoped key",
            scoped.value,
            "writes",
            source,
            mechanism="the scope names the daemon that runs the key",
        ),
    ]


@register_role("the hop")
def compute_hop_figures(results: ResultFiles) -> list[Figure]:
    """Return the latency and the CPU time that daemons add to a call."""
    source = results.get_source("hop")
    figures = []
    for path, label in (("one_daemon", "one daemon"), ("two_daemons", "two daemons")):
        for name, part in (("added_p50", "median"), ("added_p99", "99 in 100")):
            row = results.find("hop", name, path=path, rate=45, kind="lookup")
            figures.append(
                scale_row(
                    row,
                    1,
                    role="the hop",
                    label=f"added by {label}, {part}, 45 calls/s",
                    unit="ms",
                    source=source,
                    limit=ADDED_LATENCY_LIMIT if part == "99 in 100" else None,
                    mechanism="httptools under Twisted protocols, asyncio transports",
                )
            )
    entry = results.find(
        "hop",
        "processor_time",
        path="two_daemons",
        rate=45,
        kind="lookup",
        daemon="entry",
    )
    owner = results.find(
        "hop",
        "processor_time",
        path="two_daemons",
        rate=45,
        kind="lookup",
        daemon="owner",
    )
    figures.append(
        Figure(
            "the hop",
            f"processor, {CALLS_PER_DAEMON:.0f} calls/s entering and as many owned",
            CALLS_PER_DAEMON * (entry.value + owner.value) * MICROSECONDS * PERCENT,
            "% of a core",
            source,
            mechanism="not control: the request path",
        )
    )
    return figures


@register_role("admission and balancing")
def compute_policy_figures(results: ResultFiles) -> list[Figure]:
    """Return the cost of admission and balancing, a part of the CPU time of the hop."""
    source = results.get_source("policy_cost")
    size = {"members": 613}
    choose = results.find("policy_cost", "choose and finish", **size)
    memory = results.find("policy_cost", "memory of a member", **size)
    offer = results.find("policy_cost", "offer and release", waiting=100)
    role = "admission and balancing"
    per_call = CALLS_PER_DAEMON * MICROSECONDS * PERCENT
    return [
        scale_row(
            choose,
            per_call,
            role=role,
            label="processor, choice of an upstream (within the hop's)",
            unit="% of a core",
            source=source,
            mechanism="two choices among 613 members, ejection on outcomes",
        ),
        scale_row(
            offer,
            per_call,
            role=role,
            label="processor, admission with 100 waiting (within the hop's)",
            unit="% of a core",
            source=source,
            mechanism="ranks with shares, callers in turn",
        ),
        scale_row(
            memory,
            size["members"] / BYTES_PER_MB,
            role=role,
            label="memory of 613 candidates",
            unit="MB",
            source=source,
            budget_name="memory",
            mechanism="what is learned of each upstream",
        ),
    ]


@register_role("operators and metrics")
def compute_operator_figures(results: ResultFiles) -> list[Figure]:
    """Return a daemon's cost of a status response and of the counters of calls."""
    source = results.get_source("operator_cost")
    size = {"members": 613}
    response_cost = results.find("operator_cost", "status answer", **size)
    response_bytes = results.find("operator_cost", "bytes of a status answer", **size)
    counter = results.find("operator_cost", "counter sent by statsd")
    role = "operators and metrics"
    return [
        scale_row(
            response_cost,
            MICROSECONDS * MILLISECONDS_PER_SECOND,
            role=role,
            label="processor time of one status answer, 613 members",
            unit="ms",
            source=source,
            mechanism="asked by operators alone",
        ),
        scale_row(
            response_bytes,
            1 / BYTES_PER_KB,
            role=role,
            label="one status answer, 613 members",
            unit="KB",
            source=source,
            mechanism="asked by operators alone",
        ),
        scale_row(
            counter,
            CALLS_PER_DAEMON * MICROSECONDS * PERCENT,
            role=role,
            label="processor, one counter for each call",
            unit="% of a core",
            source=source,
            budget_name="processor",
            mechanism="statsd over UDP",
        ),
    ]


@register_role("the platform")
def compute_platform_figures(results: ResultFiles) -> list[Figure]:
    """Return the load of the mesh on the table and the object store."""
    spread = {
        "way": "gossip",
        "daemons": DAEMONS,
        "domains": DOMAINS,
        "loss": DATAGRAM_LOSS,
    }
    source = results.get_source("spreading")
    role = "the platform"
    snapshot = results.find(
        "configuration_cost", "bytes of a whole snapshot", services=SERVICES
    )
    ordinary_reads = results.find(
        "spreading", "highest table reads", event="none", **spread
    )
    herd_reads = results.find(
        "spreading", "highest table reads", event="herd", **spread
    )
    return [
        scale_row(
            ordinary_reads,
            1,
            role=role,
            label="table reads, ordinary",
            unit="1/s",
            source=source,
            limit=TABLE_READ_LIMIT / 4,
            mechanism="four polls a second for each failure domain",
        ),
        scale_row(
            herd_reads,
            1,
            role=role,
            label="table reads, one failure domain just returned",
            unit="1/s",
            source=source,
            limit=TABLE_READ_LIMIT / 4,
            mechanism="first reads spread over two seconds, peers first",
        ),
        scale_row(
            snapshot,
            CHANGES_PER_DAY / SNAPSHOT_PERIOD / BYTES_PER_MB,
            role=role,
            label="bytes of whole snapshots in the object store",
            unit="MB a day",
            source=results.get_source("configuration_cost"),
            mechanism=f"one snapshot every {SNAPSHOT_PERIOD} versions",
        ),
        Figure(
            role,
            "table writes for changes, the day's mean",
            CHANGES_PER_DAY / DAY_SECONDS,
            "1/s",
            source,
            limit=TABLE_WRITE_LIMIT,
            mechanism="one conditional insert for each version",
        ),
    ]


@register_role("retries")
def compute_retry_figures(results: ResultFiles) -> list[Figure]:
    """Return the load amplification by retries over nine levels."""
    source = results.get_source("nested")
    figures = []
    for policy, limit in (("plain", None), ("budget and marks", 1.2)):
        row = results.find(
            "nested", "leaf calls for each call", policy=policy, levels=9, failing=1.0
        )
        figures.append(
            scale_row(
                row,
                1,
                role="retries",
                label=f"calls of the last of nine levels for each call, {policy}",
                unit="calls",
                source=source,
                limit=limit,
                mechanism="budgets by cost, marks across levels",
            )
        )
    return figures
