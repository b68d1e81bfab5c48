"""Loads and checks settings and declarations written in YAML.

A file with any error is refused whole. All errors of a load are reported
together as an exception group of ``ConfigError``.
"""

import difflib
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import msgspec
import yaml

from arbutusladder.configchecks import (
    Problem,
    check_change_set,
    check_configuration,
    check_deadlines,
    check_settings,
)
from arbutusladder.declarations import Declarations
from arbutusladder.errors import ConfigError
from arbutusladder.settings import Settings

# A declaration takes about 200 bytes, so this holds more than 10,000 of them.
MAX_FILE_BYTES = 4 * 1024 * 1024
YAML_SUFFIXES = frozenset({".yaml", ".yml"})
LIST_FIELDS = ("workloads", "teams", "presets", "remove")

T = TypeVar("T")


@dataclass
class Document:
    """One parsed YAML file.

    Attributes:
        source: File name for error messages.
        value: Plain value of the document.
        line_by_path: Line of each value, counted from one.
        problems: Problems found while parsing.
    """

    source: str
    value: Any = None
    line_by_path: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def error(self, problem: Problem) -> ConfigError:
        """Returns a problem as an error with the file and the nearest line."""
        line = self._line(problem.path)
        source = f"{self.source}:{line}" if line else self.source
        return ConfigError(source, problem.path, problem.text, problem.remedy)

    def _line(self, path: str) -> int:
        while path:
            if path in self.line_by_path:
                return self.line_by_path[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return 0


def load_settings(path: str | Path) -> Settings:
    """Loads the settings file of an entry VM.

    Raises:
        ExceptionGroup: The file cannot be used; holds a ``ConfigError`` for
            each problem.
    """
    return load_yaml_file(path, Settings, check_settings)


def load_yaml_file(
    path: str | Path, kind: type[T], check: Callable[[T], list[Problem]]
) -> T:
    """Loads one YAML file that a msgspec struct describes.

    Args:
        path: File to load.
        kind: Type of the whole file.
        check: Returns what the schema cannot express.

    Raises:
        ExceptionGroup: The file cannot be used.
    """
    document = _read(Path(path))
    value = _decode(document, kind)
    if not document.problems:
        document.problems = check(value)
    raise_config_errors([document.error(problem) for problem in document.problems])
    return value


def load_declarations(
    paths: Iterable[str | Path],
    is_complete: bool = False,
    settings: Settings | None = None,
) -> Declarations:
    """Loads declaration files and merges them.

    Args:
        paths: Files, or directories whose YAML files are loaded, with those of
            their subdirectories.
        whole: Whether the files must form a whole configuration, in which
            every team and the active preset exist.
        settings: Settings that the deadlines must suit; none for no such check.

    Raises:
        ExceptionGroup: Some file cannot be used, or the files contradict each
            other; holds a ``ConfigError`` for each problem.
    """
    files, errors = _find_files([Path(path) for path in paths])
    merged = Declarations()
    places: dict[str, tuple[Document, str]] = {}
    for file in files:
        document = _read(file)
        part = _decode(document, Declarations)
        if part is not None:
            _merge(merged, part, document, places)
        errors += [document.error(problem) for problem in document.problems]
    if not errors:
        problems = (check_configuration if is_complete else check_change_set)(merged)
        problems += check_deadlines(merged, settings) if settings else []
        errors = [_placed(problem, places) for problem in problems]
    raise_config_errors(errors)
    return merged


def validate_configuration(declarations: Declarations, source: str) -> None:
    """Checks a whole configuration, such as the one a change set leads to.

    Raises:
        ExceptionGroup: Holds a ``ConfigError`` for each problem.
    """
    document = Document(source)
    raise_config_errors(
        [document.error(item) for item in check_configuration(declarations)]
    )


def raise_config_errors(errors: list[ConfigError]) -> None:
    """Raises errors as one exception group; returns when there are none."""
    if errors:
        noun = "problem" if len(errors) == 1 else "problems"
        raise ExceptionGroup(f"{len(errors)} configuration {noun}", errors)


def _find_files(paths: list[Path]) -> tuple[list[Path], list[ConfigError]]:
    files: list[Path] = []
    errors: list[ConfigError] = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        found = [file for file in sorted(path.rglob("*")) if _is_declaration(file)]
        if not found:
            remedy = "name a directory that holds .yaml files"
            errors.append(ConfigError(f"{path}", "$", "no YAML file here", remedy))
        files += found
    # A file that is named twice, also through its directory, is read once.
    unique = {file.resolve(): file for file in reversed(files)}
    return [file for file in files if unique.pop(file.resolve(), None)], errors


def _is_declaration(path: Path) -> bool:
    return path.suffix in YAML_SUFFIXES and path.is_file()


def _merge(
    merged: Declarations,
    part: Declarations,
    document: Document,
    places: dict[str, tuple[Document, str]],
) -> None:
    for name in LIST_FIELDS:
        target = getattr(merged, name)
        for index, value in enumerate(getattr(part, name)):
            places[f"$.{name}[{len(target)}]"] = (document, f"$.{name}[{index}]")
            target.append(value)
    if not part.active_preset:
        return
    path = "$.active_preset"
    if merged.active_preset and merged.active_preset != part.active_preset:
        other = f"{merged.active_preset!r} in {places[path][0].source}"
        text = f"{part.active_preset!r} contradicts {other}"
        remedy = "keep active_preset in one file"
        document.problems.append(Problem(path, text, remedy))
        return
    merged.active_preset = part.active_preset
    places[path] = (document, path)


def _placed(problem: Problem, places: dict[str, tuple[Document, str]]) -> ConfigError:
    """Returns a problem of the merged value with its place in its file."""
    for prefix, (document, local) in places.items():
        rest = problem.path.removeprefix(prefix)
        if rest != problem.path and rest[:1] in {"", ".", "["}:
            moved = Problem(local + rest, problem.text, problem.remedy)
            return document.error(moved)
    return Document("declarations").error(problem)


def _read(path: Path) -> Document:
    document = Document(f"{path}")
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"cannot be read ({error.strerror})"
        document.problems.append(Problem("$", text, "check the path and its mode"))
        return document
    if len(data) > MAX_FILE_BYTES:
        text = f"the file exceeds {MAX_FILE_BYTES} bytes"
        document.problems.append(Problem("$", text, "split the file"))
        return document
    parse(document, data)
    return document


TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class _Loader(yaml.SafeLoader):
    """Loader of plain YAML.

    Aliases are refused because they can expand without bound, and tags because
    PyYAML fails with untyped errors on values that do not suit their tag. Dates
    stay text: no field takes a date, and an impossible one has no line in its
    error.
    """

    yaml_implicit_resolvers = {
        letter: [item for item in resolvers if item[0] != TIMESTAMP_TAG]
        for letter, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
    }

    def compose_node(self, parent: Any, index: Any) -> yaml.Node:
        event = self.peek_event()
        if isinstance(event, yaml.AliasEvent):
            text = "aliases are not supported"
            raise yaml.MarkedYAMLError(problem=text, problem_mark=event.start_mark)
        if getattr(event, "tag", None) is not None:
            text = f"tag {event.tag!r} is not supported"
            raise yaml.MarkedYAMLError(problem=text, problem_mark=event.start_mark)
        return super().compose_node(parent, index)


def parse(document: Document, data: bytes) -> None:
    """Parses YAML into a document, with its lines and its problems."""
    try:
        loader = _Loader(data)
        node = loader.get_single_node()
        if node is not None:
            document.problems += _walk(node, "$", document.line_by_path)
            document.value = loader.construct_document(node)
        else:
            document.value = {}
    except yaml.MarkedYAMLError as error:
        if error.problem_mark:
            document.line_by_path["$"] = error.problem_mark.line + 1
        text = error.problem or "the file is no YAML"
        document.problems.append(Problem("$", text, "correct the YAML at this line"))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        text = f"the file is no YAML ({type(error).__name__}: {error})"
        remedy = "save the file as UTF-8 YAML without deep nesting"
        document.problems.append(Problem("$", text, remedy))


def _walk(node: yaml.Node, path: str, lines: dict[str, int]) -> Iterator[Problem]:
    """Records the line of each value and yields keys that occur twice."""
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield from _walk(item, f"{path}[{index}]", lines)
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        inner = f"{path}.{name}"
        if name in seen:
            first = lines[inner]
            lines[inner] = key.start_mark.line + 1
            text = f"key {name!r} occurs twice, first in line {first}"
            yield Problem(inner, text, "keep one of the two")
            continue
        seen.add(name)
        lines[inner] = key.start_mark.line + 1
        yield from _walk(value, inner, lines)


def _decode(document: Document, kind: type[T]) -> T | None:
    """Decodes a document; adds each mismatch with the schema to its problems."""
    if document.problems:
        return None
    document.problems = list(schema_problems(document.value, kind, "$"))
    if document.problems:
        return None
    return msgspec.convert(document.value, kind)


def schema_problems(value: Any, kind: Any, path: str) -> Iterator[Problem]:
    """Yields each mismatch between a plain value and a type."""
    struct = _struct_in(kind)
    item = _item_struct_in(kind)
    if struct and isinstance(value, dict):
        yield from _struct_problems(value, struct, path)
        return
    if item and isinstance(value, list) and value:
        for index, element in enumerate(value):
            yield from schema_problems(element, item, f"{path}[{index}]")
        return
    if isinstance(value, float) and not math.isfinite(value):
        yield Problem(path, f"{value} is no finite number", "write a finite number")
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text, _, inner = str(error).partition(" - at `$")
        place = path + inner.rstrip("`")
        yield Problem(place, f"{_shown(value)}: {text}", _remedy(value, text))


def _struct_problems(value: dict, struct: type, path: str) -> Iterator[Problem]:
    fields = {item.name: item for item in msgspec.structs.fields(struct)}
    for key in value:
        if key not in fields:
            close = difflib.get_close_matches(str(key), fields, 1)
            hint = f"write {close[0]!r}" if close else "use " + ", ".join(fields)
            yield Problem(f"{path}.{key}", f"unknown field {key!r}", hint)
    for name, item in fields.items():
        if name in value:
            yield from schema_problems(value[name], item.type, f"{path}.{name}")
        elif item.required:
            yield Problem(path, f"field {name!r} is missing", f"add {name!r}")


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _remedy(value: Any, text: str) -> str:
    if isinstance(value, bool) and "`str`" in text:
        return "put the word in quotes"
    if "got `str`" in text and ("`int`" in text or "`float`" in text):
        return "write a plain number, such as 1000.0"
    if "`str`" in text and "got" in text:
        return "put the value in quotes"
    return "write a value that docs/configuration.md permits here"


def _members(kind: Any) -> list[Any]:
    origin = get_origin(kind)
    if origin in {Union, UnionType}:
        return [member for part in get_args(kind) for member in _members(part)]
    if origin is Annotated:
        return _members(get_args(kind)[0])
    return [kind]


def _struct_in(kind: Any) -> type | None:
    for member in _members(kind):
        if isinstance(member, type) and issubclass(member, msgspec.Struct):
            return member
    return None


def _item_struct_in(kind: Any) -> type | None:
    for member in _members(kind):
        if get_origin(member) is list:
            return _struct_in(get_args(member)[0])
    return None
