"""Compares declarations in files with the current configuration."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from arbutusladder import configchecks
from arbutusladder.declarations import Declarations


@dataclass
class DeclarationDiff:
    """Difference between the current and the wanted declarations.

    Attributes:
        changes: Change set that turns the current declarations into the wanted ones.
        lines: One line of text for each difference, sorted by kind and name.
        kept: Objects that only the current configuration has and that are not removed,
            as KIND/NAME.
    """

    changes: Declarations
    lines: list[str] = field(default_factory=list)
    kept: list[str] = field(default_factory=list)


def compare_declarations(
    current: Declarations, wanted: Declarations, prune: bool = False
) -> DeclarationDiff:
    """Returns the difference between declarations and the current configuration.

    The active preset of the files is used only while no preset is active, because
    operators change it with a command afterwards.

    Args:
        current: Current configuration.
        wanted: Declarations from files.
        prune: Whether to remove objects that the files do not declare.
    """
    result = DeclarationDiff(Declarations())
    requested_removals = list(wanted.remove)
    for kind, field_name in configchecks.FIELD_BY_KIND.items():
        old = {item.name: item for item in getattr(current, field_name)}
        new = {item.name: item for item in getattr(wanted, field_name)}
        for name in sorted(new):
            if new[name] != old.get(name):
                getattr(result.changes, field_name).append(new[name])
                result.lines += _format_changes(
                    f"{kind}/{name}", old.get(name), new[name]
                )
        undeclared = {f"{kind}/{name}" for name in old.keys() - new.keys()}
        removals = sorted(undeclared if prune else undeclared & set(requested_removals))
        result.changes.remove += removals
        result.lines += [f"- {entry}" for entry in removals]
        result.kept += sorted(undeclared - set(removals))
    if wanted.active_preset and not current.active_preset:
        result.changes.active_preset = wanted.active_preset
        result.lines.append(f"~ active_preset: {wanted.active_preset}")
    return result


def _format_changes(title: str, old: Any, new: Any) -> list[str]:
    """Returns a line for a new object, or one for each field that changed."""
    if old is None:
        return [f"+ {title}"]
    old_values, new_values = (
        _flatten(msgspec.to_builtins(old)),
        _flatten(msgspec.to_builtins(new)),
    )
    return [
        f"~ {title} {path}: {old_values.get(path)} -> {new_values.get(path)}"
        for path in sorted(old_values.keys() | new_values.keys())
        if old_values.get(path) != new_values.get(path)
    ]


def _flatten(value: dict, prefix: str = "") -> dict[str, Any]:
    """Returns the leaf values of nested mappings by their dotted path."""
    value_by_path: dict[str, Any] = {}
    for name, item in value.items():
        if isinstance(item, dict):
            value_by_path |= _flatten(item, f"{prefix}{name}.")
        else:
            value_by_path[prefix + name] = item
    return value_by_path
