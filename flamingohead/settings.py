"""Settings of a daemon, validated together at start."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from flamingohead.addresses import check_address

ENVIRONMENT_PREFIX = "FLAMINGOHEAD_"
SECRET_SETTINGS = frozenset(("control_token", "key_scope_secret"))
ADDRESS_SETTINGS = (
    "ingress_address",
    "relay_address",
    "peer_address",
    "announce_address",
    "control_address",
)
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LOG_FORMATS = ("text", "json")
_URL = re.compile(r"(http|store)://[^/\s]+(/\S*)?")


def _check_optional_address(value: str) -> str:
    return check_address(value) if value else value


def _check_addresses(value: str) -> str:
    for part in value.split(","):
        _check_optional_address(part.strip())
    return value


def _check_url(value: str) -> str:
    if not _URL.fullmatch(value):
        raise ValueError(
            "expected a URL such as http://10.0.0.1:9000, or store:// for the store "
            "of the platform's hosts"
        )
    return value.rstrip("/")


def _check_log_level(value: str) -> str:
    if value.upper() not in LOG_LEVELS:
        raise ValueError("expected one of " + ", ".join(LOG_LEVELS))
    return value.upper()


def _check_log_format(value: str) -> str:
    if value not in LOG_FORMATS:
        raise ValueError("expected one of " + ", ".join(LOG_FORMATS))
    return value


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
Address = Annotated[str, AfterValidator(check_address)]
OptionalAddress = Annotated[str, AfterValidator(_check_optional_address)]
Addresses = Annotated[str, AfterValidator(_check_addresses)]
Url = Annotated[str, AfterValidator(_check_url)]
LogLevel = Annotated[str, AfterValidator(_check_log_level)]
LogFormat = Annotated[str, AfterValidator(_check_log_format)]


class DaemonSettings(BaseModel):
    """Define and validate the settings of a daemon."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    host_id: Name = Field(description="name of this host, unique in the mesh")
    failure_domain: Name = Field(description="failure domain of this host")
    ingress_address: Address = Field(description="IP:PORT for requests of callers")
    relay_address: Address = Field(description="IP:PORT for requests of other daemons")
    peer_address: Address = Field(description="IP:PORT for peers, over UDP and TCP")
    announce_address: Address = Field(description="IP:PORT for upstreams on this host")
    control_address: Address = Field(description="IP:PORT for operators")
    control_token: str = Field(
        min_length=8, description="token that authorizes operators"
    )
    table_url: Url = Field(description="base URL of the table service")
    objects_url: Url = Field(description="base URL of the object store")
    seeds: Addresses = Field(
        "", description="peer addresses to join, separated by commas"
    )
    statsd_address: OptionalAddress = Field(
        "", description="IP:PORT of a statsd server, or empty for none"
    )
    log_level: LogLevel = Field("INFO", description=", ".join(LOG_LEVELS))
    log_format: LogFormat = Field("text", description=" or ".join(LOG_FORMATS))
    stop_timeout: float = Field(
        10.0,
        gt=0,
        le=300,
        description="seconds to wait for requests in progress on stop",
    )
    key_lifetime: float = Field(
        3600.0,
        ge=1,
        le=604_800,
        description="seconds for which responses to keyed requests are retained",
    )
    key_limit: int = Field(
        20_000,
        ge=100,
        le=1_000_000,
        description="maximum number of keys that a daemon retains",
    )
    key_answer_mib: int = Field(
        8,
        ge=1,
        le=1024,
        description="maximum MiB of retained responses, for claims and scopes each",
    )
    claim_limit: int = Field(
        64,
        ge=1,
        le=10_000,
        description="maximum number of claims that wait for the table at once",
    )
    key_scope_lifetime: float = Field(
        600.0, ge=1, le=86_400, description="seconds for which a key scope is valid"
    )
    key_scope_secret: str = Field(
        "", description="secret shared by all daemons; the control token if empty"
    )

    @model_validator(mode="after")
    def _check_distinct(self) -> DaemonSettings:
        owners: dict[str, str] = {}
        for name in ADDRESS_SETTINGS:
            address = getattr(self, name)
            other = owners.setdefault(address, name)
            if other != name:
                raise ValueError(
                    f"{get_flag(other)} and {get_flag(name)} are both {address!r}, "
                    "expected different addresses"
                )
        return self

    def list_seeds(self) -> list[str]:
        return [seed.strip() for seed in self.seeds.split(",") if seed.strip()]


def get_flag(setting: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + setting.replace("_", "-")


def get_environment_name(setting: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting.upper()


def describe_problems(error: ValidationError) -> list[str]:
    """Return a line per invalid setting: name, value and the values expected."""
    lines = []
    for problem in error.errors():
        message = problem["msg"].removeprefix("Value error, ")
        if not problem["loc"]:
            lines.append(message)
            continue
        name = str(problem["loc"][0])
        label = f"{get_flag(name)} ({get_environment_name(name)})"
        if problem["type"] == "missing":
            lines.append(f"{label} is missing: {_get_description(name)}")
        else:
            value = "(hidden)" if name in SECRET_SETTINGS else repr(problem["input"])
            lines.append(f"{label}: found {value}: {message}")
    return lines


def _get_description(name: str) -> str:
    field = DaemonSettings.model_fields.get(name)
    return field.description if field is not None else "unknown setting"
