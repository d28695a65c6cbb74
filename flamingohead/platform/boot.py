"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from flamingohead.addresses import check_named_address
from flamingohead.core.subscription import compute_capacity
from flamingohead.decoding import describe_decoding_error, parse_text
from flamingohead.platform.durations import DurationText, parse_milliseconds
from flamingohead.platform.messages import Message

METRICS_PORT_VARIABLE = "FLAMINGOHEAD_METRICS_PORT"
ADAPTIVE_LIMITS_VARIABLE = "FLAMINGOHEAD_ADAPTIVE_LIMITS"
MAX_PORT = 65535
BYTES_PER_MB = 1024 * 1024
SETTINGS_VARIABLE = "FLAMINGOHEAD_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/flamingohead/boot.yaml"

NonEmptyText = Annotated[str, Meta(min_length=1)]
NonNegative = Annotated[float, Meta(ge=0)]


class SettingsError(ValueError):
    """Report an unusable settings file; the message describes the problem."""


class _Listen(Message):
    # Ingress for callers.
    outbound: str
    # Relay address for requests from other daemons.
    inbound: str
    ready: str
    # Address for heartbeats of the upstream, not for operators.
    control: str


class _Limits(Message):
    # Number of cores; ``cpu_share`` is the relative speed of each.
    cpu_cores: NonNegative = 1.0
    cpu_share: NonNegative = 1.0
    link_mbps: NonNegative = 1000.0
    # Limits of the process; 0 if there is none.
    memory_mb: NonNegative = 0.0
    max_fds: Annotated[int, Meta(ge=0)] = 0


class _Bounds(Message):
    # Time within which a daemon has to stop.
    grace: DurationText = "6s"
    # Time in which requests may still reach an upstream whose leave was acknowledged.
    drain: DurationText = "2s"
    # Time after an outage of the store within which a daemon has to be up to date.
    stable_window: DurationText = "3s"
    retry_budget_ratio: NonNegative = 0.2
    budget_window: DurationText = "10s"
    budget_slack: NonNegative = 0.0
    # Whether a withdrawn key must stop on every host within ``revoke``.
    strict_revoke: bool = False
    revoke: DurationText = "5000ms"
    # Window over which limits of organisations hold, and what they may be exceeded by.
    quota_window: DurationText = "5s"
    quota_overage: NonNegative = 0.0
    quota_slack: NonNegative = 0.0


class _Store(Message):
    address: str


class _SettingsFile(Message):
    # ``node`` is the id of this host, ``zone`` its failure domain.
    node: NonEmptyText
    ip: str
    zone: NonEmptyText
    listen: _Listen
    internal_ports: tuple[int, int]
    # Address of the upstream of this host.
    app_addr: str
    service: NonEmptyText
    # Address of the platform's store.
    platform: _Store
    heartbeat: DurationText = "1500ms"
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


@dataclass(frozen=True)
class HostSettings:
    """Store the settings of a daemon and its host; times are in seconds.

    The upstream of this host serves ``service`` at ``upstream_address`` and sends a
    heartbeat to ``announce_address`` about every ``announcement_period``.
    """

    host_id: str
    failure_domain: str
    ingress_address: str
    relay_address: str
    ready_address: str
    announce_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    upstream_address: str
    service: str
    announcement_period: float
    stop_timeout: float
    drain_timeout: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    settle_seconds: float
    capacity: int = 0
    link_mbps: float = 0.0
    # Longest time for which a withdrawn key may be used, or ``None`` without a limit.
    revocation_timeout: float | None = None
    quota_window: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    # Whether the concurrency limit of the upstream is learned.
    adapts_limits: bool = False


def parse_settings(text: str, *, metrics_port: int = 0) -> HostSettings:
    """Parse the text of a settings file; raise ``SettingsError``.

    Metrics are served at ``metrics_port`` of the host, or not at all if it is 0.
    """
    fields = None
    try:
        fields = parse_text(text)
        return _decode(msgspec.convert(fields, _SettingsFile), metrics_port)
    except msgspec.ValidationError as error:
        raise SettingsError(
            describe_decoding_error(error, fields, lambda value: value)
        ) from error
    except ValueError as error:
        raise SettingsError(str(error)) from error


def read_settings(path: str) -> HostSettings:
    """Read the settings file and environment.

    Raises ``SettingsError`` if a setting is invalid, or ``OSError``.
    """
    port = os.environ.get(METRICS_PORT_VARIABLE, "0")
    if not port.isdigit() or int(port) > MAX_PORT:
        raise SettingsError(f"{METRICS_PORT_VARIABLE}: found {port!r}, expected a port")
    adaptive = os.environ.get(ADAPTIVE_LIMITS_VARIABLE, "0")
    if adaptive not in ("0", "1"):
        raise SettingsError(
            f"{ADAPTIVE_LIMITS_VARIABLE}: found {adaptive!r}, expected 0 or 1"
        )
    settings = parse_settings(Path(path).read_text(), metrics_port=int(port))
    return replace(settings, adapts_limits=adaptive == "1")


def _parse_seconds(text: str) -> float:
    return parse_milliseconds(text) / 1000


def _decode(file: _SettingsFile, metrics_port: int) -> HostSettings:
    first_port, _ = file.internal_ports
    listen = file.listen
    return HostSettings(
        host_id=file.node,
        failure_domain=file.zone,
        ingress_address=check_named_address("listen.outbound", listen.outbound),
        relay_address=check_named_address("listen.inbound", listen.inbound),
        ready_address=check_named_address("listen.ready", listen.ready),
        announce_address=check_named_address("listen.control", listen.control),
        peer_address=f"{file.ip}:{first_port}",
        metrics_address=f"{file.ip}:{metrics_port}" if metrics_port else "",
        store_address=check_named_address("platform.address", file.platform.address),
        upstream_address=check_named_address("app-addr", file.app_addr),
        service=file.service,
        announcement_period=_parse_seconds(file.heartbeat),
        stop_timeout=_parse_seconds(file.bounds.grace),
        drain_timeout=_parse_seconds(file.bounds.drain),
        retry_ratio=file.bounds.retry_budget_ratio,
        retry_window=_parse_seconds(file.bounds.budget_window),
        retry_slack=file.bounds.budget_slack,
        settle_seconds=_parse_seconds(file.bounds.stable_window),
        link_mbps=file.limits.link_mbps,
        revocation_timeout=(
            _parse_seconds(file.bounds.revoke) if file.bounds.strict_revoke else None
        ),
        quota_window=_parse_seconds(file.bounds.quota_window),
        quota_overage=file.bounds.quota_overage,
        quota_slack=file.bounds.quota_slack,
        memory_bytes=round(file.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=file.limits.max_fds,
        capacity=compute_capacity(
            cores=file.limits.cpu_cores * file.limits.cpu_share,
            link_mbps=file.limits.link_mbps,
        ),
    )
