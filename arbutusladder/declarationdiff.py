"""What separates declarations in files from the current configuration."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from arbutusladder import configchecks
from arbutusladder.declarations import Declarations


@dataclass
class DeclarationDiff:
    """What separates wanted declarations from the current ones.

    Attributes:
        changes: Change set that leads from the current to the wanted ones.
        lines: One text for each difference, in the order of names.
        kept: Objects that only the current configuration has and that stay.
    """

    changes: Declarations
    lines: list[str] = field(default_factory=list)
    kept: list[str] = field(default_factory=list)


def compare_declarations(
    current: Declarations, wanted: Declarations, prune: bool = False
) -> DeclarationDiff:
    """Compares declarations from files with the current configuration.

    The active preset of the files counts only while no preset is active,
    because operators choose it by command afterwards.

    Args:
        current: The current configuration.
        wanted: The declarations of the files.
        prune: Whether objects that the files lack are removed.
    """
    result = DeclarationDiff(Declarations())
    removed = list(wanted.remove)
    for kind, name in configchecks.FIELD_BY_KIND.items():
        old = {item.name: item for item in getattr(current, name)}
        new = {item.name: item for item in getattr(wanted, name)}
        for key in sorted(new):
            if new[key] != old.get(key):
                getattr(result.changes, name).append(new[key])
                result.lines += _object_lines(f"{kind}/{key}", old.get(key), new[key])
        missing = {f"{kind}/{key}" for key in old.keys() - new.keys()}
        gone = sorted(missing if prune else missing & set(removed))
        result.changes.remove += gone
        result.lines += [f"- {entry}" for entry in gone]
        result.kept += sorted(missing - set(gone))
    if wanted.active_preset and not current.active_preset:
        result.changes.active_preset = wanted.active_preset
        result.lines.append(f"~ active_preset: {wanted.active_preset}")
    return result


def _object_lines(title: str, old: Any, new: Any) -> list[str]:
    if old is None:
        return [f"+ {title}"]
    before, after = _flat(msgspec.to_builtins(old)), _flat(msgspec.to_builtins(new))
    return [
        f"~ {title} {path}: {before.get(path)} -> {after.get(path)}"
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _flat(value: dict, prefix: str = "") -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, item in value.items():
        if isinstance(item, dict):
            result |= _flat(item, f"{prefix}{name}.")
        else:
            result[prefix + name] = item
    return result
