"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from flamingohead.addresses import check_address
from flamingohead.platform.durations import Milliseconds

METRICS_VARIABLE = "FLAMINGOHEAD_METRICS_PORT"
HIGHEST_PORT = 65535
SETTINGS_VARIABLE = "FLAMINGOHEAD_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/flamingohead/boot.yaml"

Address = Annotated[str, AfterValidator(check_address)]


class BootError(ValueError):
    """Report a settings file that can't be used; the message names each problem."""


class _Message(BaseModel):
    model_config = ConfigDict(
        extra="ignore", alias_generator=lambda name: name.replace("_", "-")
    )


class _Listen(_Message):
    outbound: Address
    inbound: Address
    ready: Address
    control: Address


class _Limits(_Message):
    memory_mb: float = 0.0


class _Bounds(_Message):
    drain: Milliseconds = 2000.0
    grace: Milliseconds = 6000.0
    retry_budget_ratio: float = Field(0.2, ge=0)
    budget_window: Milliseconds = 10_000.0
    budget_slack: float = Field(0.0, ge=0)


class _Store(_Message):
    address: Address


class _Boot(_Message):
    node: str = Field(min_length=1)
    ip: str
    zone: str = Field(min_length=1)
    listen: _Listen
    internal_ports: tuple[int, int]
    limits: _Limits = _Limits()
    heartbeat: Milliseconds = 1500.0
    bounds: _Bounds = _Bounds()
    app_addr: Address
    service: str = Field(min_length=1)
    platform: _Store


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
    retry_ratio: float
    retry_window: float
    retry_slack: float


def parse_settings(text: str, *, metrics_port: int = 0) -> HostSettings:
    """Return the settings in a file's text; raise ``BootError``.

    Metrics are served at ``metrics_port`` of the host, or nowhere if it is 0.
    """
    try:
        boot = _Boot.model_validate(yaml.safe_load(text))
    except yaml.YAMLError as error:
        raise BootError(f"not YAML: {error}") from error
    except ValidationError as error:
        raise BootError("; ".join(_describe(p) for p in error.errors())) from error
    return _decode(boot, metrics_port)


def read_settings(path: str) -> HostSettings:
    """Read the settings file and variables; raise ``BootError`` or ``OSError``."""
    port = os.environ.get(METRICS_VARIABLE, "0")
    if not port.isdigit() or int(port) > HIGHEST_PORT:
        raise BootError(f"{METRICS_VARIABLE}: found {port!r}, expected a port")
    return parse_settings(Path(path).read_text(), metrics_port=int(port))


def _describe(problem) -> str:
    name = ".".join(str(part) for part in problem["loc"]) or "file"
    message = problem["msg"].removeprefix("Value error, ")
    return f"{name}: found {problem['input']!r}: {message}"


def _decode(boot: _Boot, metrics_port: int) -> HostSettings:
    first_port, _ = boot.internal_ports
    return HostSettings(
        host_id=boot.node,
        failure_domain=boot.zone,
        ingress_address=boot.listen.outbound,
        relay_address=boot.listen.inbound,
        ready_address=boot.listen.ready,
        announce_address=boot.listen.control,
        peer_address=f"{boot.ip}:{first_port}",
        metrics_address=f"{boot.ip}:{metrics_port}" if metrics_port else "",
        store_address=boot.platform.address,
        upstream_address=boot.app_addr,
        service=boot.service,
        announcement_period=boot.heartbeat / 1000,
        stop_timeout=boot.bounds.grace / 1000,
        retry_ratio=boot.bounds.retry_budget_ratio,
        retry_window=boot.bounds.budget_window / 1000,
        retry_slack=boot.bounds.budget_slack,
    )
