"""Settings file that the platform writes for each process of an entry VM."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from arbutusladder.errors import ConfigError
from arbutusladder.platform.bounds import Duration, Factor, Port
from arbutusladder.platform.jsonbody import decode_json

# Factor on the retention of job states that the platform requires, for clients that
# count it from a later moment.
STATUS_RETENTION_FACTOR = 1.5
# Minimum cores and link speed for owning a cell of 176 workers: such an owner used 0.9
# cores (trace quiet-1 of the grown sites), and over a link of 10 Mbit/s its appends
# took 0.3 s (trace trouble-1 of the grown site suva).
MIN_OWNER_CORES = 1.0
MIN_OWNER_LINK_MBPS = 50.0
# Smallest limit of records with which jobs of some hundred tasks are accepted.
MIN_RECORD_BYTES = 16384
# Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = "ARBUTUSLADDER_BOOT"


class _Wire(msgspec.Struct, rename="kebab"):
    """Base class of the settings file's JSON objects; unknown fields are ignored."""


class _Listen(_Wire):
    """Listening addresses for clients and for readiness checks."""

    front: str
    ready: str


class _Bounds(_Wire):
    """Time limits.

    ``max-hold-ms`` is the longest lease that a worker grants, ``grace-s`` the time
    between SIGTERM and SIGKILL, ``status_s`` the required retention of job states and
    ``cancel_ms`` the time after an acknowledged cancellation from which no task of the
    job may start, ``drain-ms`` the same for a worker whose entry says that it drains.
    ``config-apply-ms`` is the time after an acknowledged change of the configuration
    within which it has to be in force.
    ``harm-ms`` is the time for which filler tasks may keep a serving task over its
    target.
    """

    max_hold_ms: Duration = 6000.0
    grace_s: Duration = 6.0
    drain_ms: Duration = 2000.0
    harm_ms: Duration = 4000.0
    status_s: Duration = msgspec.field(default=120.0, name="status_s")
    cancel_ms: Duration = msgspec.field(default=3000.0, name="cancel_ms")
    config_apply_ms: Duration = 2000.0


class _Store(_Wire):
    """The log service; ``record-bytes`` is the largest record that it accepts."""

    address: str
    record_bytes: Annotated[int, Meta(ge=MIN_RECORD_BYTES, le=10**9)] = 262144


class _Limits(_Wire):
    """``cpu-share`` is a share of one core that is ``cores`` times as fast as usual."""

    cpu_share: Factor = 1.0
    cores: Factor = 1.0
    link_mbps: Factor = 1000.0


class _Settings(_Wire):
    """The whole file; ``node`` is the name of the entry VM."""

    node: str
    ip: str
    listen: _Listen
    port_range: Annotated[list[Port], Meta(min_length=1)]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    advice: str = ""


@dataclass(frozen=True)
class EntrySettings:
    """Settings of this entry VM, translated from the platform's file.

    Attributes:
        vm: Name of the entry VM.
        front: Listening address for clients.
        ready: Listening address for the load balancer's readiness checks.
        peer: Listening address for other entry VMs.
        store: Address of the platform's log service.
        advice: Address of the placement advice service; empty for none.
        max_lease_s: Longest lease that a worker grants, in seconds.
        grace_s: Seconds between SIGTERM and SIGKILL.
        finished_retention_s: Seconds for which the states of finished jobs are kept.
        cancellation_limit_s: Seconds after an acknowledged cancellation from which no
            task of its job may start.
        drain_limit_s: Seconds after a worker's entry says that it drains from which no
            task may start on it.
        config_apply_s: Seconds after an acknowledged change of the configuration
            within which it has to be in force.
        harm_s: Seconds for which filler tasks may keep a serving task over its target.
        record_bytes: Largest record in bytes that the log accepts.
        undersized: Whether this entry VM has too little CPU or bandwidth to own a
            large cell.
    """

    vm: str
    front: str
    ready: str
    peer: str
    store: str
    advice: str
    max_lease_s: float
    grace_s: float
    finished_retention_s: float
    cancellation_limit_s: float
    drain_limit_s: float
    config_apply_s: float
    harm_s: float
    record_bytes: int
    undersized: bool


def load_settings(path: str | None = None) -> EntrySettings:
    """Reads the settings file.

    Args:
        path: Path of the file; by default the value of ``ARBUTUSLADDER_BOOT``.

    Raises:
        ConfigError: The file is missing, or a field is missing, has the wrong type or
            is out of bounds.
    """
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        raw = decode_json(Path(path).read_bytes(), _Settings)
    except OSError as error:
        remedy = f"set {SETTINGS_PATH_VARIABLE} to the settings file"
        raise ConfigError(path or "(none)", "$", str(error), remedy) from error
    except msgspec.MsgspecError as error:
        remedy = "make it valid JSON with all required fields"
        raise ConfigError(path, "$", str(error), remedy) from error
    return EntrySettings(
        vm=raw.node,
        front=raw.listen.front,
        ready=raw.listen.ready,
        peer=f"{raw.ip}:{raw.port_range[0]}",
        store=raw.platform.address,
        advice=raw.advice,
        max_lease_s=raw.bounds.max_hold_ms / 1000,
        grace_s=raw.bounds.grace_s,
        finished_retention_s=raw.bounds.status_s * STATUS_RETENTION_FACTOR,
        cancellation_limit_s=raw.bounds.cancel_ms / 1000,
        drain_limit_s=raw.bounds.drain_ms / 1000,
        config_apply_s=raw.bounds.config_apply_ms / 1000,
        harm_s=raw.bounds.harm_ms / 1000,
        record_bytes=raw.platform.record_bytes,
        undersized=_is_undersized(raw.limits),
    )


def _is_undersized(limits: _Limits) -> bool:
    cores = limits.cpu_share * limits.cores
    return cores < MIN_OWNER_CORES or limits.link_mbps < MIN_OWNER_LINK_MBPS
