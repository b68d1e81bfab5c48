"""Settings that the platform gives a process."""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from arbutusladder.errors import ConfigError

# Factor on the time for which the platform's page asks to keep states, for clients
# that count it from a later moment.
STATUS_RETENTION_FACTOR = 1.5
# What an owner of 176 workers needs: it used 0.9 cores (grown sites, quiet-1), and on
# a link of 10 Mbit/s its appends took 0.3 s (grown suva, trouble-1).
MIN_OWNER_CORES = 1.0
MIN_OWNER_LINK_MBPS = 50.0
SETTINGS_PATH_VARIABLE = "ARBUTUSLADDER_BOOT"


class _Wire(msgspec.Struct, rename="kebab"):
    """Base of the platform's JSON objects; unknown fields are ignored."""


class _Listen(_Wire):
    front: str
    ready: str


class _Bounds(_Wire):
    max_hold_ms: float = 6000.0
    grace_s: float = 6.0
    status_s: float = 120.0


class _Store(_Wire):
    address: str


class _Limits(_Wire):
    """``cpu-share`` is the share of one core that is ``cores`` times as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Settings(_Wire):
    node: str
    ip: str
    listen: _Listen
    port_range: list[int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    advice: str = ""


@dataclass(frozen=True)
class EntrySettings:
    """Settings of this entry VM in the project's terms.

    Attributes:
        vm: Name of the entry VM.
        front: Address for callers.
        ready: Address for the balancer's readiness checks.
        peer: Address for other entry VMs.
        store: Address of the platform's log.
        advice: Address of the placement advice service; empty for none.
        longest_lease_s: Longest lease that a worker grants.
        grace_s: Seconds between SIGTERM and SIGKILL.
        keep_finished_s: Seconds for which finished jobs can be asked for.
        weak: Whether this entry VM is too weak to own a large cell.
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
    undersized: bool


def load_settings(path: str | None = None) -> EntrySettings:
    """Reads the settings file.

    Args:
        path: File; by default the one that the environment names.

    Raises:
        ConfigError: The file is missing or lacks a field.
    """
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=_Settings)
    except OSError as error:
        remedy = f"set {SETTINGS_PATH_VARIABLE} to the settings file"
        raise ConfigError(path or "(none)", "$", str(error), remedy) from error
    except msgspec.MsgspecError as error:
        remedy = "compare it with DEPLOY.md, settings of a process"
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
        undersized=_is_undersized(raw.limits),
    )


def _is_undersized(limits: _Limits) -> bool:
    cores = limits.cpu_share * limits.cores
    return cores < MIN_OWNER_CORES or limits.link_mbps < MIN_OWNER_LINK_MBPS
