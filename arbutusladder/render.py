"""Formats results of commands: text tables for people, JSON for scripts."""

import functools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from arbutusladder.client import ServiceResponse
from arbutusladder.codec import to_json
from arbutusladder.operatormessages import Counters, Explanation, MemberView, PresetList

COLUMN_SEPARATOR = "  "
EMPTY_CELL = "-"


@dataclass(frozen=True)
class Column:
    """One column of a table.

    Attributes:
        title: Heading of the column.
        value: Name of the row's attribute, or a function that computes the cell's value
            from the row.
    """

    title: str
    value: str | Callable[[Any], Any]

    def cell_value(self, row: Any) -> Any:
        """Returns the value of this column in a row."""
        if callable(self.value):
            return self.value(row)
        return getattr(row, self.value)


def format_json(value: Any) -> str:
    """Returns a value as indented JSON."""
    return msgspec.json.format(to_json(value), indent=2).decode()


def format_table(columns: Sequence[Column], rows: Iterable[Any]) -> str:
    """Returns a text table with a heading; columns of numbers are right-aligned."""
    cells = [[column.cell_value(row) for column in columns] for row in rows]
    if not cells:
        return "none"
    texts = [[format_value(cell) for cell in line] for line in cells]
    titles = [column.title for column in columns]
    widths = [max(map(len, column)) for column in zip(titles, *texts, strict=True)]
    numeric = [all(map(_is_number, column)) for column in zip(*cells, strict=True)]
    return "\n".join(_format_row(line, widths, numeric) for line in [titles, *texts])


def format_pairs(value: dict[str, Any]) -> str:
    """Returns one line per name, with the values aligned."""
    width = max(map(len, value), default=0)
    return "\n".join(
        f"{name:<{width}}{COLUMN_SEPARATOR}{format_value(value[name])}"
        for name in value
    )


def format_value(value: Any) -> str:
    """Returns a value as one line of printable text."""
    if value is None or value == "" or value == [] or value == {}:
        return EMPTY_CELL
    match value:
        case Enum():
            return format_value(value.value)
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.10g}"
        case dict():
            return " ".join(
                f"{key}={format_value(item)}" for key, item in value.items()
            )
        case list() | tuple():
            return ", ".join(map(format_value, value))
        case _:
            return escape_unprintable(str(value))


def escape_unprintable(text: str) -> str:
    """Escapes control characters, which in a name could alter the terminal."""
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode()
        for character in text
    )


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _format_row(texts: list[str], widths: list[int], numeric: list[bool]) -> str:
    padded = [
        text.rjust(width) if is_number else text.ljust(width)
        for text, width, is_number in zip(texts, widths, numeric, strict=True)
    ]
    return COLUMN_SEPARATOR.join(padded).rstrip()


# Columns of the tables that the commands print.
PART_COLUMNS = [
    Column("JOB", "job_id"),
    Column("OUTCOME", "outcome"),
    Column("SHARD", "shard"),
    Column("REASON", "reason"),
    Column("DURABLE", "durable"),
]
JOB_COLUMNS = [
    Column("JOB", "job_id"),
    Column("STATE", "state"),
    Column("WORKLOAD", "workload"),
    Column("SHARD", "shard"),
    Column("TASKS", "tasks_by_state"),
    Column("REASON", "reason"),
]
DRAIN_COLUMNS = [
    Column("VM", "vm"),
    Column("DRAINING", "draining"),
    Column("SHARD", "shard"),
]


def _displayed_state(member: MemberView) -> str:
    """Returns the state of a seat; the last state of a silent seat is out of date."""
    if member.live:
        return member.state.value
    return "silent" if member.vm else EMPTY_CELL


def _displayed_silence(member: MemberView) -> float | str:
    """Returns the seconds since the last heartbeat of a seat that has a VM."""
    return member.silent_s if member.vm else EMPTY_CELL


MEMBER_COLUMNS = [
    Column("SEAT", "seat"),
    Column("VM", "vm"),
    Column("ADDRESS", "address"),
    Column("DOMAIN", "failure_domain"),
    Column("LIVE", "live"),
    Column("STATE", _displayed_state),
    Column("REVISION", "config_revision"),
    Column("SILENT S", _displayed_silence),
]
OWNER_COLUMNS = [
    Column("SHARD", "shard"),
    Column("OWNER", "owner"),
    Column("EPOCH", "epoch"),
    Column("VALID", "valid"),
]
SHARD_COLUMNS = [
    *OWNER_COLUMNS,
    Column("STATE", "state"),
    Column("REQUESTS", "queued_requests"),
    Column("TASKS", "queued_tasks"),
    Column("FREE CPU", "free_cpu"),
    Column("FREE MB", "free_memory_mb"),
    Column("FREE ACC", "free_accelerators"),
    Column("FREE SLOTS", "free_slots_by_service"),
]


def format_explanation(result: Explanation) -> str:
    """Returns an explanation as text."""
    lines = [f"job {result.job_id}: {result.state.value} {result.reason}".rstrip()]
    lines += [f"  {line}" for line in result.lines]
    lines += [f"  would change it: {change}" for change in result.changes]
    return "\n".join(map(escape_unprintable, lines))


def format_presets(preset_list: PresetList) -> str:
    """Returns the names of the presets; an asterisk marks the active one."""
    marks = [
        ("*" if name == preset_list.active else " ", name)
        for name in preset_list.presets
    ]
    return "\n".join(f"{mark} {name}" for mark, name in marks) or "none"


def format_counters(counters_by_vm: list[Counters], show_zeros: bool) -> str:
    """Returns a table of counters and gauges with one column per entry VM.

    Args:
        counters_by_vm: Counters of each entry VM.
        show_zeros: Whether to include names whose values are all zero.
    """
    values = [item.counters | item.gauges for item in counters_by_vm]
    names = sorted({name for value in values for name in value})
    shown = [name for name in names if show_zeros or any(v.get(name) for v in values)]
    columns = [Column("NAME", str)]
    columns += [
        Column(escape_unprintable(item.vm), functools.partial(_counter_value, value))
        for item, value in zip(counters_by_vm, values, strict=True)
    ]
    return format_table(columns, shown)


def _counter_value(values: dict[str, float], name: str) -> float:
    return values.get(name, 0)


def service_response_fields(response: ServiceResponse) -> dict[str, Any]:
    """Returns the response to a request as values that JSON can represent.

    A body that is not UTF-8 is added in base64.
    """
    value = msgspec.to_builtins(response, builtin_types=(bytes,))
    value["body"] = response.body.decode("utf-8", "replace")
    if value["body"].encode() != response.body:
        value["body_base64"] = response.body
    return value
