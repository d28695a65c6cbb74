"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from flamingohead.addresses import check_named_address
from flamingohead.core.subscription import compute_capacity
from flamingohead.decoding import describe_problem, parse_text
from flamingohead.platform.durations import DurationText, parse_milliseconds
from flamingohead.platform.messages import Message

METRICS_VARIABLE = "FLAMINGOHEAD_METRICS_PORT"
HIGHEST_PORT = 65535
SETTINGS_VARIABLE = "FLAMINGOHEAD_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/flamingohead/boot.yaml"

Text = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(ge=0)]


class BootError(ValueError):
    """Report a settings file that can't be used; the message names each problem."""


class _Listen(Message):
    outbound: str
    inbound: str
    ready: str
    control: str


class _Limits(Message):
    # Cores of the host, each faster or slower by ``cpu_share``.
    cpu_cores: Positive = 1.0
    cpu_share: Positive = 1.0
    link_mbps: Positive = 1000.0


class _Bounds(Message):
    grace: DurationText = "6s"
    # What may still reach an upstream after the acknowledgement of its leave.
    drain: DurationText = "2s"
    retry_budget_ratio: Positive = 0.2
    budget_window: DurationText = "10s"
    budget_slack: Positive = 0.0


class _Store(Message):
    address: str


class _Boot(Message):
    node: Text
    ip: str
    zone: Text
    listen: _Listen
    internal_ports: tuple[int, int]
    app_addr: str
    service: Text
    platform: _Store
    heartbeat: DurationText = "1500ms"
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


@dataclass(frozen=True)
class HostSettings:
    """Hold what the platform tells a daemon about its host; times in seconds.

    The upstream of this host serves ``service`` at ``upstream_address``; its
    announcements arrive at ``announce_address`` about every ``announcement_period``.
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
    capacity: int = 0


def parse_settings(text: str, *, metrics_port: int = 0) -> HostSettings:
    """Return the settings in a file's text; raise ``BootError``.

    Metrics are served at ``metrics_port`` of the host, or nowhere if it is 0.
    """
    fields = None
    try:
        fields = parse_text(text)
        return _decode(msgspec.convert(fields, _Boot), metrics_port)
    except msgspec.ValidationError as error:
        raise BootError(describe_problem(error, fields, lambda same: same)) from error
    except ValueError as error:
        raise BootError(str(error)) from error


def read_settings(path: str) -> HostSettings:
    """Read the settings file and variables; raise ``BootError`` or ``OSError``."""
    port = os.environ.get(METRICS_VARIABLE, "0")
    if not port.isdigit() or int(port) > HIGHEST_PORT:
        raise BootError(f"{METRICS_VARIABLE}: found {port!r}, expected a port")
    return parse_settings(Path(path).read_text(), metrics_port=int(port))


def _convert_seconds(text: str) -> float:
    return parse_milliseconds(text) / 1000


def _decode(boot: _Boot, metrics_port: int) -> HostSettings:
    first_port, _ = boot.internal_ports
    listen = boot.listen
    return HostSettings(
        host_id=boot.node,
        failure_domain=boot.zone,
        ingress_address=check_named_address("listen.outbound", listen.outbound),
        relay_address=check_named_address("listen.inbound", listen.inbound),
        ready_address=check_named_address("listen.ready", listen.ready),
        announce_address=check_named_address("listen.control", listen.control),
        peer_address=f"{boot.ip}:{first_port}",
        metrics_address=f"{boot.ip}:{metrics_port}" if metrics_port else "",
        store_address=check_named_address("platform.address", boot.platform.address),
        upstream_address=check_named_address("app-addr", boot.app_addr),
        service=boot.service,
        announcement_period=_convert_seconds(boot.heartbeat),
        stop_timeout=_convert_seconds(boot.bounds.grace),
        drain_timeout=_convert_seconds(boot.bounds.drain),
        retry_ratio=boot.bounds.retry_budget_ratio,
        retry_window=_convert_seconds(boot.bounds.budget_window),
        retry_slack=boot.bounds.budget_slack,
        capacity=compute_capacity(
            cores=boot.limits.cpu_cores * boot.limits.cpu_share,
            link_mbps=boot.limits.link_mbps,
        ),
    )
