"""Loads and checks settings and declarations written in YAML.

Parsing, validation against the schema and the semantic checks of
`arbutusladder.configchecks` happen here; errors name the file and the line. Nothing of
a file with an error is used. All errors of one call are reported together, as an
exception group of ``ConfigError``.
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

# Suffices for more than 10,000 declarations of about 200 bytes each.
MAX_FILE_BYTES = 4 * 1024 * 1024
YAML_SUFFIXES = frozenset({".yaml", ".yml"})
# Fields of `Declarations` that are lists, and are concatenated when files are merged.
LIST_FIELDS = ("workloads", "teams", "presets", "remove")

T = TypeVar("T")


@dataclass
class Document:
    """One parsed YAML file.

    Attributes:
        source: File name, for error messages.
        value: Content of the document as built-in types.
        line_by_path: Line of each value, counted from one, by the path of the value.
        problems: Problems found while reading, parsing and decoding.
    """

    source: str
    value: Any = None
    line_by_path: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def make_error(self, problem: Problem) -> ConfigError:
        """Returns the error for a problem, with the file and the line of the value.

        If the value itself has no line, that of the innermost enclosing value is used.
        """
        line = self._find_line(problem.path)
        source = f"{self.source}:{line}" if line else self.source
        return ConfigError(source, problem.path, problem.text, problem.remedy)

    def _find_line(self, path: str) -> int:
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
    """Loads one YAML file into a msgspec struct.

    Args:
        path: File to load.
        kind: Type of the file's content.
        check: Returns the problems that the schema cannot express.

    Raises:
        ExceptionGroup: The file cannot be used; holds a ``ConfigError`` for
            each problem.
    """
    document = _read_document(Path(path))
    value = _decode_document(document, kind)
    if not document.problems:
        document.problems = check(value)
    raise_config_errors([document.make_error(problem) for problem in document.problems])
    return value


def load_declarations(
    paths: Iterable[str | Path],
    is_complete: bool = False,
    settings: Settings | None = None,
) -> Declarations:
    """Loads declaration files and merges them.

    Args:
        paths: Files, or directories whose YAML files are loaded recursively.
        is_complete: Whether the files must form a complete configuration, in which
            every referenced team and the active preset must exist.
        settings: Settings whose longest request time limits the deadlines; None
            to skip that check.

    Raises:
        ExceptionGroup: A file cannot be used, or the files contradict each
            other; holds a ``ConfigError`` for each problem.
    """
    files, errors = _find_files([Path(path) for path in paths])
    merged = Declarations()
    location_by_path: dict[str, tuple[Document, str]] = {}
    for file in files:
        document = _read_document(file)
        part = _decode_document(document, Declarations)
        if part is not None:
            _merge_declarations(merged, part, document, location_by_path)
        errors += [document.make_error(problem) for problem in document.problems]
    if not errors:
        problems = (check_configuration if is_complete else check_change_set)(merged)
        problems += check_deadlines(merged, settings) if settings else []
        errors = [_locate_problem(problem, location_by_path) for problem in problems]
    raise_config_errors(errors)
    return merged


def validate_configuration(declarations: Declarations, source: str) -> None:
    """Checks a complete configuration, such as the result of a change set.

    Raises:
        ExceptionGroup: Holds a ``ConfigError`` for each problem.
    """
    document = Document(source)
    raise_config_errors(
        [document.make_error(item) for item in check_configuration(declarations)]
    )


def raise_config_errors(errors: list[ConfigError]) -> None:
    """Raises an exception group of the errors, if there are any."""
    if errors:
        noun = "problem" if len(errors) == 1 else "problems"
        raise ExceptionGroup(f"{len(errors)} configuration {noun}", errors)


def _find_files(paths: list[Path]) -> tuple[list[Path], list[ConfigError]]:
    """Replaces directories by their YAML files; reports those that have none."""
    files: list[Path] = []
    errors: list[ConfigError] = []
    for path in paths:
        if not path.is_dir():
            files.append(path)
            continue
        found = [file for file in sorted(path.rglob("*")) if _is_yaml_file(file)]
        if not found:
            remedy = "give a directory that contains .yaml files"
            errors.append(
                ConfigError(f"{path}", "$", "no YAML file in this directory", remedy)
            )
        files += found
    # A file that is given twice, by its name or through a directory, is read once.
    unique = {file.resolve(): file for file in reversed(files)}
    return [file for file in files if unique.pop(file.resolve(), None)], errors


def _is_yaml_file(path: Path) -> bool:
    return path.suffix in YAML_SUFFIXES and path.is_file()


def _merge_declarations(
    merged: Declarations,
    part: Declarations,
    document: Document,
    location_by_path: dict[str, tuple[Document, str]],
) -> None:
    """Adds the declarations of one file to those of the files before it.

    Args:
        merged: Declarations so far; extended.
        part: Declarations of the file.
        document: File; a contradicting active preset is added to its problems.
        location_by_path: File and path inside it, by path in `merged`; extended.
    """
    for name in LIST_FIELDS:
        target = getattr(merged, name)
        for index, value in enumerate(getattr(part, name)):
            location_by_path[f"$.{name}[{len(target)}]"] = (
                document,
                f"$.{name}[{index}]",
            )
            target.append(value)
    if not part.active_preset:
        return
    path = "$.active_preset"
    if merged.active_preset and merged.active_preset != part.active_preset:
        other = f"{merged.active_preset!r} in {location_by_path[path][0].source}"
        text = f"{part.active_preset!r} contradicts {other}"
        remedy = "keep active_preset in one file"
        document.problems.append(Problem(path, text, remedy))
        return
    merged.active_preset = part.active_preset
    location_by_path[path] = (document, path)


def _locate_problem(
    problem: Problem, location_by_path: dict[str, tuple[Document, str]]
) -> ConfigError:
    """Returns the error for a problem of the merged declarations.

    Its path and line are those in the file that declares the value.
    """
    for prefix, (document, local_path) in location_by_path.items():
        path_suffix = problem.path.removeprefix(prefix)
        if path_suffix != problem.path and path_suffix[:1] in {"", ".", "["}:
            local_problem = Problem(
                local_path + path_suffix, problem.text, problem.remedy
            )
            return document.make_error(local_problem)
    return Document("declarations").make_error(problem)


def _read_document(path: Path) -> Document:
    """Reads and parses a file; failures become problems of the document."""
    document = Document(f"{path}")
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"cannot be read ({error.strerror})"
        document.problems.append(
            Problem("$", text, "check the path and its permissions")
        )
        return document
    if len(data) > MAX_FILE_BYTES:
        text = f"the file exceeds {MAX_FILE_BYTES} bytes"
        document.problems.append(Problem("$", text, "split the file"))
        return document
    parse_yaml(document, data)
    return document


# Tag that PyYAML resolves for plain scalars that have the form of a date.
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class _PlainYamlLoader(yaml.SafeLoader):
    """YAML loader that rejects aliases and tags, and loads dates as strings.

    Aliases can expand without bound. On a value that does not match its tag, PyYAML
    raises errors that are not `yaml.YAMLError`. No field takes a date, and the error of
    PyYAML for an invalid date has no line.
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


def parse_yaml(document: Document, data: bytes) -> None:
    """Parses YAML and sets the value, lines and problems of the document."""
    try:
        loader = _PlainYamlLoader(data)
        node = loader.get_single_node()
        if node is not None:
            document.problems += _index_lines(node, "$", document.line_by_path)
            document.value = loader.construct_document(node)
        else:
            document.value = {}
    except yaml.MarkedYAMLError as error:
        if error.problem_mark:
            document.line_by_path["$"] = error.problem_mark.line + 1
        text = error.problem or "the file is not valid YAML"
        document.problems.append(Problem("$", text, "correct the YAML at this line"))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        text = f"the file is not valid YAML ({type(error).__name__}: {error})"
        remedy = "save the file as UTF-8 YAML without deep nesting"
        document.problems.append(Problem("$", text, remedy))


def _index_lines(
    node: yaml.Node, path: str, line_by_path: dict[str, int]
) -> Iterator[Problem]:
    """Records the line of each value and yields a problem for each duplicate key."""
    line_by_path.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield from _index_lines(item, f"{path}[{index}]", line_by_path)
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        value_path = f"{path}.{name}"
        if name in seen:
            first_line = line_by_path[value_path]
            line_by_path[value_path] = key.start_mark.line + 1
            text = f"key {name!r} occurs twice, first in line {first_line}"
            yield Problem(value_path, text, "keep one of the two")
            continue
        seen.add(name)
        line_by_path[value_path] = key.start_mark.line + 1
        yield from _index_lines(value, value_path, line_by_path)


def _decode_document(document: Document, kind: type[T]) -> T | None:
    """Converts a document to a type, or adds the schema violations to its problems."""
    if document.problems:
        return None
    document.problems = list(find_schema_problems(document.value, kind, "$"))
    if document.problems:
        return None
    return msgspec.convert(document.value, kind)


def find_schema_problems(value: Any, kind: Any, path: str) -> Iterator[Problem]:
    """Yields each violation of a type by a value of built-in types.

    msgspec reports only the first violation, so structs and lists of structs are
    checked member by member.
    """
    struct = _find_struct(kind)
    item_struct = _find_item_struct(kind)
    if struct and isinstance(value, dict):
        yield from _find_struct_problems(value, struct, path)
        return
    if item_struct and isinstance(value, list) and value:
        for index, element in enumerate(value):
            yield from find_schema_problems(element, item_struct, f"{path}[{index}]")
        return
    if isinstance(value, float) and not math.isfinite(value):
        yield Problem(path, f"{value} is not a finite number", "write a finite number")
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text, _, inner_path = str(error).partition(" - at `$")
        full_path = path + inner_path.rstrip("`")
        yield Problem(
            full_path, f"{_shorten_repr(value)}: {text}", _suggest_remedy(value, text)
        )


def _find_struct_problems(value: dict, struct: type, path: str) -> Iterator[Problem]:
    field_by_name = {item.name: item for item in msgspec.structs.fields(struct)}
    for key in value:
        if key not in field_by_name:
            similar = difflib.get_close_matches(str(key), field_by_name, 1)
            remedy = (
                f"write {similar[0]!r}"
                if similar
                else "use " + ", ".join(field_by_name)
            )
            yield Problem(f"{path}.{key}", f"unknown field {key!r}", remedy)
    for name, item in field_by_name.items():
        if name in value:
            yield from find_schema_problems(value[name], item.type, f"{path}.{name}")
        elif item.required:
            yield Problem(path, f"field {name!r} is missing", f"add {name!r}")


def _shorten_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _suggest_remedy(value: Any, text: str) -> str:
    """Returns the remedy for a validation error of msgspec with the given text."""
    if isinstance(value, bool) and "`str`" in text:
        return "put the word in quotes"
    if "got `str`" in text and ("`int`" in text or "`float`" in text):
        return "write a plain number, such as 1000.0"
    if "`str`" in text and "got" in text:
        return "put the value in quotes"
    return "write a value that docs/configuration.md permits here"


def _flatten_union(kind: Any) -> list[Any]:
    """Returns the member types of a union or annotated type."""
    origin = get_origin(kind)
    if origin in {Union, UnionType}:
        return [member for part in get_args(kind) for member in _flatten_union(part)]
    if origin is Annotated:
        return _flatten_union(get_args(kind)[0])
    return [kind]


def _find_struct(kind: Any) -> type | None:
    """Returns the struct that a value of the type may be, if there is one."""
    for member in _flatten_union(kind):
        if isinstance(member, type) and issubclass(member, msgspec.Struct):
            return member
    return None


def _find_item_struct(kind: Any) -> type | None:
    """Returns the struct that an item of a list type may be, if there is one."""
    for member in _flatten_union(kind):
        if get_origin(member) is list:
            return _find_struct(get_args(member)[0])
    return None
