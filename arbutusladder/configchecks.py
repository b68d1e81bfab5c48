"""Checks settings and declarations for what the schema cannot express."""

import ipaddress
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from arbutusladder.declarations import Declarations, Preset, Workload
from arbutusladder.errors import ConfigError
from arbutusladder.settings import Settings

KNOWN_POLICIES = ("fairshare", "firstfit")
URGENCY_CLASSES = ("urgent", "service", "normal", "batch")
FIELD_BY_KIND = {"workload": "workloads", "team": "teams", "preset": "presets"}
NAME = re.compile(r"[a-z0-9][a-z0-9-]*\Z")
# Shares are sums of decimal fractions, which binary floats do not hold exactly.
SHARE_TOLERANCE = 1e-9


@dataclass
class Problem:
    """One problem of a document.

    Attributes:
        path: Path of the value, such as ``$.workloads[2].team``.
        text: What is wrong.
        remedy: What the operator should change.
    """

    path: str
    text: str
    remedy: str


def check_settings(settings: Settings) -> list[Problem]:
    """Returns the contradictions inside settings."""
    return [
        *_address_problems(settings),
        *_seat_problems(settings),
        *_timing_problems(settings),
    ]


def _address_problems(settings: Settings) -> Iterator[Problem]:
    addresses = {
        f"$.{name}": getattr(settings, name)
        for name in ("listen", "peer_listen", "log", "vm_list", "statsd")
    }
    for index, seat in enumerate(settings.seats):
        addresses[f"$.seats[{index}].address"] = seat.address
    for path, address in addresses.items():
        if not (path == "$.statsd" and not address):
            yield from check_address(path, address)
    if settings.listen == settings.peer_listen:
        text = f"{settings.listen} is also the address of listen"
        yield Problem("$.peer_listen", text, "use another port for entry VMs")


def check_address(path: str, address: str) -> Iterator[Problem]:
    """Yields what is wrong with an IPv4 address and port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        text = f"{address!r} does not start with an IPv4 address"
        yield Problem(path, text, "write an IPv4 address and a port, as 10.0.0.1:8080")
    # isdecimal alone accepts digits of other scripts.
    plain = port.isascii() and port.isdecimal() and len(port) <= 5
    if not plain or not 1 <= int(port) <= 65535:
        text = f"{address!r} does not end in a port"
        yield Problem(path, text, "write a port from 1 to 65535 after the colon")


def _seat_problems(settings: Settings) -> Iterator[Problem]:
    for name in ("name", "address"):
        yield from check_unique_values(settings.seats, "seats", name)
    seats = {seat.name: seat for seat in settings.seats}
    seat = seats.get(settings.seat)
    if seat is None:
        text = f"seat {settings.seat!r} is not in seats"
        yield Problem("$.seat", text, "use one of " + ", ".join(sorted(seats)))
        return
    for name in ("region", "failure_domain"):
        own, listed = getattr(settings, name), getattr(seat, name)
        if own != listed:
            text = f"{own!r} differs from {listed!r} of seat {seat.name!r}"
            yield Problem(f"$.{name}", text, "correct one of the two")
    if seat.address.rpartition(":")[2] != settings.peer_listen.rpartition(":")[2]:
        text = f"the port differs from {seat.address} of seat {seat.name!r}"
        yield Problem("$.peer_listen", text, "use the port of the seat's address")


# Each row: a value that must stay below another, and why.
TIMING_ORDER = (
    ("max_request_time_s", "drain_limit_s", "a request ends before the process exits"),
    ("attempt_timeout_s", "max_request_time_s", "an attempt ends within its request"),
    ("heartbeat_interval_s", "promise_duration_s", "heartbeats renew promises"),
    ("pause_threshold_s", "promise_duration_s", "a pause is noticed within a promise"),
    ("clock_skew_s", "promise_duration_s", "a first lease lasts beyond the skew"),
    ("clock_skew_s", "task_lease_s", "a lease lasts beyond the skew"),
    ("worker_exchange_s", "task_lease_s", "each exchange renews the leases"),
    ("urgent_exchange_s", "worker_exchange_s", "urgent work is sent sooner"),
    ("max_request_time_s", "key_window_s", "a key is kept beyond its request"),
    ("key_window_s", "log_retention_s", "the log outlives a key"),
)


def _timing_problems(settings: Settings) -> Iterator[Problem]:
    timing = settings.timing
    for lower, upper, why in TIMING_ORDER:
        small, large = getattr(timing, lower), getattr(timing, upper)
        if small >= large:
            text = f"{small} s is not below {upper} ({large} s)"
            yield Problem(f"$.timing.{lower}", text, f"lower it, so that {why}")


# Entry VMs that differ in these would disagree about owners and validity.
SHARED_SETTINGS = ("seats", "shards", "timing", "log")
OWN_SETTINGS = ("vm", "seat", "listen")


def find_settings_conflicts(
    settings_by_source: dict[str, Settings],
) -> list[ConfigError]:
    """Returns what contradicts between the settings files of one cell."""
    errors: list[ConfigError] = []
    seen: dict[tuple[str, str], str] = {}
    first_source = next(iter(settings_by_source), "")
    for source, settings in settings_by_source.items():
        for name in SHARED_SETTINGS:
            first = settings_by_source[first_source]
            if getattr(settings, name) != getattr(first, name):
                text = f"it differs from that of {first_source}"
                remedy = "write the same in every settings file"
                errors.append(ConfigError(source, f"$.{name}", text, remedy))
        for name in OWN_SETTINGS:
            value = getattr(settings, name)
            other = seen.setdefault((name, value), source)
            if other != source:
                text = f"{value!r} is also used by {other}"
                remedy = "use another value in each settings file"
                errors.append(ConfigError(source, f"$.{name}", text, remedy))
    return errors


def check_change_set(changes: Declarations) -> list[Problem]:
    """Returns the contradictions inside a change set, without what it changes."""
    problems = [
        problem
        for kind in FIELD_BY_KIND.values()
        for problem in check_unique_values(getattr(changes, kind), kind, "name")
    ]
    problems += _removal_problems(changes)
    for index, workload in enumerate(changes.workloads):
        problems += _workload_problems(workload, f"$.workloads[{index}]")
    for index, preset in enumerate(changes.presets):
        problems += _preset_problems(preset, f"$.presets[{index}]")
    for index, team in enumerate(changes.teams):
        if not (team.quota.cpu or team.quota.memory_mb or team.quota.accelerators):
            remedy = "give the team cpu and memory_mb"
            path = f"$.teams[{index}].quota"
            problems.append(Problem(path, f"team {team.name!r} has no quota", remedy))
    return problems


def check_configuration(declarations: Declarations) -> list[Problem]:
    """Returns the contradictions inside a whole configuration."""
    problems = check_change_set(declarations)
    teams = {team.name for team in declarations.teams}
    presets = {preset.name for preset in declarations.presets}
    for index, workload in enumerate(declarations.workloads):
        if workload.team not in teams:
            text = f"team {workload.team!r} of {workload.name!r} does not exist"
            remedy = "declare the team or use one of " + _names(teams)
            path = f"$.workloads[{index}].team"
            problems.append(Problem(path, text, remedy))
    active = declarations.active_preset
    if active not in presets:
        text = f"preset {active!r} does not exist" if active else "no preset is active"
        remedy = "set active_preset to one of " + _names(presets)
        problems.append(Problem("$.active_preset", text, remedy))
    return problems


def check_deadlines(declarations: Declarations, settings: Settings) -> list[Problem]:
    """Returns the workloads whose deadline exceeds the longest request time."""
    limit_ms = settings.timing.max_request_time_s * 1000
    return [
        Problem(
            f"$.workloads[{index}].deadline_ms",
            f"{workload.deadline_ms} ms exceeds max_request_time_s ({limit_ms:g} ms)",
            "lower the deadline or raise timing.max_request_time_s",
        )
        for index, workload in enumerate(declarations.workloads)
        if workload.kind == "request" and workload.deadline_ms > limit_ms
    ]


def apply_changes(current: Declarations, changes: Declarations) -> Declarations:
    """Returns a configuration with a change set applied; changes neither.

    A removal of an object that does not exist has no effect.
    """
    removed = set(changes.remove)
    result = Declarations()
    for kind, name in FIELD_BY_KIND.items():
        by_name = {item.name: item for item in getattr(current, name)}
        by_name |= {item.name: item for item in getattr(changes, name)}
        kept = [
            by_name[key] for key in sorted(by_name) if f"{kind}/{key}" not in removed
        ]
        setattr(result, name, kept)
    result.active_preset = changes.active_preset or current.active_preset
    return result


def _names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "(none declared)"


def check_unique_values(items: list, path: str, attribute: str) -> Iterator[Problem]:
    """Yields values of an attribute that occur twice, and malformed names."""
    seen: set[str] = set()
    for index, item in enumerate(items):
        value = getattr(item, attribute)
        place = f"$.{path}[{index}].{attribute}"
        if value in seen:
            yield Problem(place, f"{value!r} occurs twice", "use a unique value")
        # The schema's pattern lets a trailing line break pass.
        if attribute == "name" and path != "seats" and not NAME.match(value):
            yield Problem(place, f"{value!r} is no name", "use a-z, 0-9 and -")
        seen.add(value)


def _removal_problems(changes: Declarations) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, entry in enumerate(changes.remove):
        path = f"$.remove[{index}]"
        kind, _, name = entry.partition("/")
        if kind not in FIELD_BY_KIND or not NAME.match(name):
            remedy = "write workload/NAME, team/NAME or preset/NAME"
            yield Problem(path, f"{entry!r} names no object", remedy)
            continue
        if entry in seen:
            yield Problem(path, f"{entry!r} occurs twice", "keep one of the two")
        seen.add(entry)
        if any(item.name == name for item in getattr(changes, FIELD_BY_KIND[kind])):
            text = f"{entry!r} is declared in the same change set"
            yield Problem(path, text, "either declare or remove it")
        if kind == "preset" and name == changes.active_preset:
            text = f"{entry!r} is made active by the same change set"
            yield Problem(path, text, "choose another active preset")


def _workload_problems(workload: Workload, path: str) -> Iterator[Problem]:
    name = workload.name
    if workload.kind == "request":
        if not workload.service:
            text = f"workload {name!r} of kind request names no service"
            yield Problem(f"{path}.service", text, "name the service of the executors")
        return
    if workload.service:
        text = f"workload {name!r} of kind {workload.kind} names a service"
        yield Problem(f"{path}.service", text, "remove service or use kind request")
    if not (workload.task.cpu or workload.task.memory_mb or workload.task.accelerators):
        text = f"a task of {name!r} needs nothing, so no limit holds for it"
        yield Problem(f"{path}.task", text, "declare cpu and memory_mb of a task")
    if workload.kind == "gang" and workload.spread == "failure_domain":
        text = f"gang {name!r} spreads over failure domains"
        remedy = "use spread rack or none; a gang fits into one shard"
        yield Problem(f"{path}.spread", text, remedy)


def _preset_problems(preset: Preset, path: str) -> Iterator[Problem]:
    if preset.policy not in KNOWN_POLICIES:
        text = f"policy {preset.policy!r} does not exist"
        yield Problem(f"{path}.policy", text, "use " + " or ".join(KNOWN_POLICIES))
    if len(set(preset.preemption)) < len(preset.preemption):
        text = "an action occurs twice"
        yield Problem(f"{path}.preemption", text, "name each action once")
    classes = {name: getattr(preset, name) for name in URGENCY_CLASSES}
    total = sum(item.reserved for item in classes.values())
    if total > 1 + SHARE_TOLERANCE:
        text = f"the reserved shares of preset {preset.name!r} sum to {total:g}"
        yield Problem(path, text, "lower them until the sum is at most 1")
    for name, item in classes.items():
        if item.reserved > item.ceiling:
            text = f"reserved {item.reserved:g} exceeds ceiling {item.ceiling:g}"
            yield Problem(f"{path}.{name}.reserved", text, "raise the ceiling")
