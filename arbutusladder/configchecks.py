"""Semantic checks of settings and declarations that the schema cannot express.

Each check returns or yields a `Problem` for everything that is wrong; none raises.
"""

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
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]*\Z")
# Decimal fractions such as 0.1 have no exact binary form, so a sum of shares that
# should be 1 may exceed it by a rounding error.
SHARE_TOLERANCE = 1e-9


@dataclass
class Problem:
    """A problem of one value in a document.

    Attributes:
        path: JSON path of the value, such as ``$.workloads[2].team``.
        text: What is wrong.
        remedy: What the operator should change.
    """

    path: str
    text: str
    remedy: str


def check_settings(settings: Settings) -> list[Problem]:
    """Returns the problems of one settings file."""
    return [
        *_check_addresses(settings),
        *_check_seats(settings),
        *_check_timing(settings),
    ]


def _check_addresses(settings: Settings) -> Iterator[Problem]:
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
        text = f"{settings.listen} is also the value of listen"
        yield Problem(
            "$.peer_listen", text, "use another port for messages of other entry VMs"
        )


def check_address(path: str, address: str) -> Iterator[Problem]:
    """Yields the problems of an address that must be an IPv4 address and a port.

    Args:
        path: Path of the value in its document.
        address: Value to check.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        text = f"{address!r} does not start with an IPv4 address"
        yield Problem(
            path, text, "write an IPv4 address and a port, such as 10.0.0.1:8080"
        )
    # isdecimal also accepts digits of other scripts.
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_number or not 1 <= int(port) <= 65535:
        text = f"{address!r} does not end with a port"
        yield Problem(path, text, "write a port from 1 to 65535 after the colon")


def _check_seats(settings: Settings) -> Iterator[Problem]:
    for name in ("name", "address"):
        yield from check_unique_values(settings.seats, "seats", name)
    seat_by_name = {seat.name: seat for seat in settings.seats}
    seat = seat_by_name.get(settings.seat)
    if seat is None:
        text = f"seat {settings.seat!r} is not in seats"
        yield Problem("$.seat", text, "use one of " + ", ".join(sorted(seat_by_name)))
        return
    for name in ("region", "failure_domain"):
        vm_value, seat_value = getattr(settings, name), getattr(seat, name)
        if vm_value != seat_value:
            text = f"{vm_value!r} differs from {seat_value!r} of seat {seat.name!r}"
            yield Problem(f"$.{name}", text, "correct one of the two")
    if seat.address.rpartition(":")[2] != settings.peer_listen.rpartition(":")[2]:
        text = f"the port differs from {seat.address} of seat {seat.name!r}"
        yield Problem("$.peer_listen", text, "use the port of the seat's address")


# Rows: timing field, timing field that must be greater, and the reason.
TIMING_ORDER = (
    ("max_request_time_s", "drain_limit_s", "a request ends before the process exits"),
    ("attempt_timeout_s", "max_request_time_s", "an attempt ends within its request"),
    ("heartbeat_interval_s", "promise_duration_s", "heartbeats renew promises in time"),
    (
        "pause_threshold_s",
        "promise_duration_s",
        "a pause is detected before a promise ends",
    ),
    ("clock_skew_s", "promise_duration_s", "a first lease outlasts the clock skew"),
    ("clock_skew_s", "task_lease_s", "a lease outlasts the clock skew"),
    ("worker_exchange_s", "task_lease_s", "each exchange renews the leases in time"),
    (
        "urgent_exchange_s",
        "worker_exchange_s",
        "urgent work is sent earlier than other work",
    ),
    (
        "max_request_time_s",
        "key_window_s",
        "a key is kept longer than its request takes",
    ),
    (
        "key_window_s",
        "log_retention_s",
        "the log keeps records longer than a key is valid",
    ),
)


def _check_timing(settings: Settings) -> Iterator[Problem]:
    timing = settings.timing
    for lower, upper, reason in TIMING_ORDER:
        lower_s, upper_s = getattr(timing, lower), getattr(timing, upper)
        if lower_s >= upper_s:
            text = f"{lower_s} s is not below {upper} ({upper_s} s)"
            yield Problem(f"$.timing.{lower}", text, f"lower it, so that {reason}")


# Must be equal on all entry VMs; otherwise they disagree about the owner of a shard and
# about how long promises and leases are valid.
SHARED_SETTINGS = ("seats", "shards", "timing", "log")
# Must differ between any two entry VMs.
UNIQUE_SETTINGS = ("vm", "seat", "listen")


def find_settings_conflicts(
    settings_by_source: dict[str, Settings],
) -> list[ConfigError]:
    """Returns the contradictions between the settings files of one cell.

    Args:
        settings_by_source: Settings by the name of their file.
    """
    errors: list[ConfigError] = []
    source_by_value: dict[tuple[str, str], str] = {}
    first_source = next(iter(settings_by_source), "")
    for source, settings in settings_by_source.items():
        for name in SHARED_SETTINGS:
            first_settings = settings_by_source[first_source]
            if getattr(settings, name) != getattr(first_settings, name):
                text = f"the value differs from that in {first_source}"
                remedy = "use the same value in every settings file"
                errors.append(ConfigError(source, f"$.{name}", text, remedy))
        for name in UNIQUE_SETTINGS:
            value = getattr(settings, name)
            other_source = source_by_value.setdefault((name, value), source)
            if other_source != source:
                text = f"{value!r} is also used in {other_source}"
                remedy = "use a different value in each settings file"
                errors.append(ConfigError(source, f"$.{name}", text, remedy))
    return errors


def check_change_set(changes: Declarations) -> list[Problem]:
    """Returns the problems of a change set that do not depend on what it changes.

    References to teams and presets are not checked: they may exist already.
    """
    problems = [
        problem
        for field in FIELD_BY_KIND.values()
        for problem in check_unique_values(getattr(changes, field), field, "name")
    ]
    problems += _check_removals(changes)
    for index, workload in enumerate(changes.workloads):
        problems += _check_workload(workload, f"$.workloads[{index}]")
    for index, preset in enumerate(changes.presets):
        problems += _check_preset(preset, f"$.presets[{index}]")
    for index, team in enumerate(changes.teams):
        if not (team.quota.cpu or team.quota.memory_mb or team.quota.accelerators):
            remedy = "set cpu and memory_mb of the quota"
            path = f"$.teams[{index}].quota"
            problems.append(Problem(path, f"team {team.name!r} has no quota", remedy))
    return problems


def check_configuration(declarations: Declarations) -> list[Problem]:
    """Returns the problems of a complete configuration."""
    problems = check_change_set(declarations)
    team_names = {team.name for team in declarations.teams}
    preset_names = {preset.name for preset in declarations.presets}
    for index, workload in enumerate(declarations.workloads):
        if workload.team not in team_names:
            text = f"team {workload.team!r} of {workload.name!r} does not exist"
            remedy = "declare the team or use one of " + _join_names(team_names)
            path = f"$.workloads[{index}].team"
            problems.append(Problem(path, text, remedy))
    active_preset = declarations.active_preset
    if active_preset not in preset_names:
        text = (
            f"preset {active_preset!r} does not exist"
            if active_preset
            else "no preset is active"
        )
        remedy = "set active_preset to one of " + _join_names(preset_names)
        problems.append(Problem("$.active_preset", text, remedy))
    return problems


def check_deadlines(declarations: Declarations, settings: Settings) -> list[Problem]:
    """Returns a problem for each deadline above the longest request time."""
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
    """Returns a configuration with a change set applied; neither is modified.

    The removal of an object that does not exist has no effect.
    """
    removed = set(changes.remove)
    result = Declarations()
    for kind, field in FIELD_BY_KIND.items():
        item_by_name = {item.name: item for item in getattr(current, field)}
        item_by_name |= {item.name: item for item in getattr(changes, field)}
        remaining = [
            item_by_name[name]
            for name in sorted(item_by_name)
            if f"{kind}/{name}" not in removed
        ]
        setattr(result, field, remaining)
    result.active_preset = changes.active_preset or current.active_preset
    return result


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "(none declared)"


def check_unique_values(items: list, path: str, attribute: str) -> Iterator[Problem]:
    """Yields a problem for each duplicate value of an attribute.

    For the attribute ``name``, except that of seats, also one for each malformed name.

    Args:
        items: Objects of a list in a document.
        path: Name of the list, as the path of a problem contains it.
        attribute: Attribute that must be unique.
    """
    seen: set[str] = set()
    for index, item in enumerate(items):
        value = getattr(item, attribute)
        value_path = f"$.{path}[{index}].{attribute}"
        if value in seen:
            yield Problem(value_path, f"{value!r} occurs twice", "use a unique value")
        # The pattern of the schema ends with $, which also matches before a trailing
        # line break.
        if attribute == "name" and path != "seats" and not NAME_PATTERN.match(value):
            yield Problem(value_path, f"{value!r} is not a name", "use a-z, 0-9 and -")
        seen.add(value)


def _check_removals(changes: Declarations) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, entry in enumerate(changes.remove):
        path = f"$.remove[{index}]"
        kind, _, name = entry.partition("/")
        if kind not in FIELD_BY_KIND or not NAME_PATTERN.match(name):
            remedy = "write workload/NAME, team/NAME or preset/NAME"
            yield Problem(path, f"{entry!r} is not the path of an object", remedy)
            continue
        if entry in seen:
            yield Problem(path, f"{entry!r} occurs twice", "keep one of the two")
        seen.add(entry)
        if any(item.name == name for item in getattr(changes, FIELD_BY_KIND[kind])):
            text = f"{entry!r} is declared in the same change set"
            yield Problem(path, text, "either declare it or remove it")
        if kind == "preset" and name == changes.active_preset:
            text = f"{entry!r} is activated by the same change set"
            yield Problem(path, text, "activate another preset")


def _check_workload(workload: Workload, path: str) -> Iterator[Problem]:
    name = workload.name
    if workload.kind == "request":
        if not workload.service:
            text = f"workload {name!r} of kind request has no service"
            yield Problem(
                f"{path}.service", text, "set service to the service of the executors"
            )
        return
    if workload.service:
        text = f"workload {name!r} of kind {workload.kind} has a service"
        yield Problem(f"{path}.service", text, "remove service or use kind request")
    if not (workload.task.cpu or workload.task.memory_mb or workload.task.accelerators):
        text = f"a task of {name!r} declares no resources, so no limit applies to it"
        yield Problem(f"{path}.task", text, "declare cpu and memory_mb of the task")
    if workload.kind == "gang" and workload.spread == "failure_domain":
        text = f"gang {name!r} spreads over failure domains"
        remedy = "use spread rack or none; a gang must fit into one shard"
        yield Problem(f"{path}.spread", text, remedy)


def _check_preset(preset: Preset, path: str) -> Iterator[Problem]:
    if preset.policy not in KNOWN_POLICIES:
        text = f"policy {preset.policy!r} does not exist"
        yield Problem(f"{path}.policy", text, "use " + " or ".join(KNOWN_POLICIES))
    if len(set(preset.preemption)) < len(preset.preemption):
        text = "an action occurs twice"
        yield Problem(f"{path}.preemption", text, "list each action once")
    policy_by_class = {name: getattr(preset, name) for name in URGENCY_CLASSES}
    total_share = sum(item.reserved for item in policy_by_class.values())
    if total_share > 1 + SHARE_TOLERANCE:
        text = f"the reserved shares of preset {preset.name!r} sum to {total_share:g}"
        yield Problem(path, text, "lower them until the sum is at most 1")
    for name, item in policy_by_class.items():
        if item.reserved > item.ceiling:
            text = f"reserved {item.reserved:g} exceeds ceiling {item.ceiling:g}"
            yield Problem(f"{path}.{name}.reserved", text, "raise the ceiling")
