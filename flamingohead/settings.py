"""Settings of a daemon, checked together at start."""

from __future__ import annotations

import os
import re
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, field_validator

ENVIRONMENT_PREFIX = "FLAMINGOHEAD_"
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
Address = Annotated[str, Field(description="IP:PORT")]


class DaemonSettings(BaseModel):
    """Hold the checked settings of one daemon."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    host_id: Name = Field(description="name of this host, unique in the mesh")
    failure_domain: Name = Field(description="failure domain of this host")
    ingress_address: Address = Field(description="IP:PORT that callers use")
    relay_address: Address = Field(description="IP:PORT for requests of other daemons")
    peer_address: Address = Field(description="IP:PORT, UDP and TCP, for peers")
    announce_address: Address = Field(description="IP:PORT for upstreams on this host")
    control_address: Address = Field(description="IP:PORT for operators")
    control_token: str = Field(min_length=8, description="token that operators send")
    table_url: str = Field(description="base URL of the table service")
    objects_url: str = Field(description="base URL of the object store")
    seeds: str = Field("", description="peer addresses, separated by commas")
    statsd_address: str = Field("", description="IP:PORT of a statsd server, or empty")
    log_level: str = Field("INFO", description="DEBUG, INFO, WARNING or ERROR")
    log_format: str = Field("text", description="text or json")
    stop_timeout: float = Field(
        10.0, gt=0, le=300, description="seconds that a stop may wait for requests"
    )
    key_lifetime: float = Field(
        3600.0, ge=1, description="seconds that answers to keyed requests are kept"
    )

    @field_validator(
        "ingress_address",
        "relay_address",
        "peer_address",
        "announce_address",
        "control_address",
    )
    @classmethod
    def _check_address(cls, value: str) -> str:
        check_address(value)
        return value

    @field_validator("log_level")
    @classmethod
    def _check_log_level(cls, value: str) -> str:
        if value.upper() not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            raise ValueError("expected DEBUG, INFO, WARNING or ERROR")
        return value.upper()

    @field_validator("log_format")
    @classmethod
    def _check_log_format(cls, value: str) -> str:
        if value not in ("text", "json"):
            raise ValueError("expected text or json")
        return value

    def list_seeds(self) -> list[str]:
        return [seed.strip() for seed in self.seeds.split(",") if seed.strip()]


def check_address(value: str) -> None:
    """Raise ``ValueError`` unless ``value`` is an IPv4 address and a port."""
    host, _, port = value.rpartition(":")
    valid = bool(_ADDRESS.match(value)) and 0 < int(port) < 65536
    if not valid or any(int(part) > 255 for part in host.split(".")):
        raise ValueError(f"expected IP:PORT, found {value!r}")


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def get_environment_name(field: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()


def read_environment() -> dict[str, str]:
    """Return the settings given by environment variables."""
    names = {
        field: get_environment_name(field) for field in DaemonSettings.model_fields
    }
    return {f: os.environ[name] for f, name in names.items() if name in os.environ}
