"""Tables for people and JSON for scripts."""

import functools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from arbutusladder.client import ServiceAnswer
from arbutusladder.codec import to_json
from arbutusladder.operatormessages import Counters, Explanation, MemberView, PresetList

GAP = "  "
NOTHING = "-"


@dataclass(frozen=True)
class Column:
    """One column of a table.

    Attributes:
        title: Heading.
        value: Attribute name, or a function from the row to the cell.
    """

    title: str
    value: str | Callable[[Any], Any]

    def cell(self, row: Any) -> Any:
        """Returns the cell of a row."""
        if callable(self.value):
            return self.value(row)
        return getattr(row, self.value)


def format_json(value: Any) -> str:
    """Returns a value as indented JSON."""
    return msgspec.json.format(to_json(value), indent=2).decode()


def format_table(columns: Sequence[Column], rows: Iterable[Any]) -> str:
    """Returns rows below a heading; numbers are right-aligned."""
    cells = [[column.cell(row) for column in columns] for row in rows]
    if not cells:
        return "none"
    texts = [[format_value(cell) for cell in line] for line in cells]
    titles = [column.title for column in columns]
    widths = [max(map(len, column)) for column in zip(titles, *texts, strict=True)]
    numeric = [all(map(_is_number, column)) for column in zip(*cells, strict=True)]
    return "\n".join(_line(line, widths, numeric) for line in [titles, *texts])


def pairs(value: dict[str, Any]) -> str:
    """Returns names and values as aligned lines."""
    width = max(map(len, value), default=0)
    return "\n".join(
        f"{name:<{width}}{GAP}{format_value(value[name])}" for name in value
    )


def format_value(value: Any) -> str:
    """Returns one value as a single line of printable text."""
    if value is None or value == "" or value == [] or value == {}:
        return NOTHING
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
    """Escapes control characters, so that a name cannot alter the terminal."""
    return "".join(
        letter if letter.isprintable() else letter.encode("unicode_escape").decode()
        for letter in text
    )


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _line(texts: list[str], widths: list[int], numeric: list[bool]) -> str:
    padded = [
        text.rjust(width) if right else text.ljust(width)
        for text, width, right in zip(texts, widths, numeric, strict=True)
    ]
    return GAP.join(padded).rstrip()


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


def _member_state(member: MemberView) -> str:
    """Returns the state of a seat; a silent one's last state may be long past."""
    if member.live:
        return member.state.value
    return "silent" if member.vm else NOTHING


def _member_silence(member: MemberView) -> float | str:
    return member.silent_s if member.vm else NOTHING


MEMBER_COLUMNS = [
    Column("SEAT", "seat"),
    Column("VM", "vm"),
    Column("ADDRESS", "address"),
    Column("DOMAIN", "failure_domain"),
    Column("LIVE", "live"),
    Column("STATE", _member_state),
    Column("REVISION", "config_revision"),
    Column("SILENT S", _member_silence),
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


def explanation(found: Explanation) -> str:
    """Returns an explanation as text."""
    lines = [f"job {found.job_id}: {found.state.value} {found.reason}".rstrip()]
    lines += [f"  {line}" for line in found.lines]
    lines += [f"  would change it: {change}" for change in found.changes]
    return "\n".join(map(escape_unprintable, lines))


def presets(found: PresetList) -> str:
    """Returns the names of the presets; a star marks the active one."""
    marks = [("*" if name == found.active else " ", name) for name in found.presets]
    return "\n".join(f"{mark} {name}" for mark, name in marks) or "none"


def counters(found: list[Counters], zeros: bool) -> str:
    """Returns counters and gauges, one column for each entry VM.

    Args:
        found: Counters of each entry VM.
        zeros: Whether names whose values are all zero are shown, too.
    """
    values = [item.counters | item.gauges for item in found]
    names = sorted({name for value in values for name in value})
    shown = [name for name in names if zeros or any(v.get(name) for v in values)]
    columns = [Column("NAME", str)]
    columns += [
        Column(escape_unprintable(item.vm), functools.partial(_value_of, value))
        for item, value in zip(found, values, strict=True)
    ]
    return format_table(columns, shown)


def _value_of(values: dict[str, float], name: str) -> float:
    return values.get(name, 0)


def service_answer(answer: ServiceAnswer) -> dict[str, Any]:
    """Returns the answer to a request as plain values for JSON."""
    value = msgspec.to_builtins(answer, builtin_types=(bytes,))
    value["body"] = answer.body.decode("utf-8", "replace")
    if value["body"].encode() != answer.body:
        value["body_base64"] = answer.body
    return value
