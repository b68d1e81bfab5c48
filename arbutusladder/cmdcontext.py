"""Arguments, output, errors and exit codes that all commands share."""

import contextlib
import getpass
import math
import os
import sys
from enum import IntEnum
from typing import Any

from arbutusladder import configchecks, render
from arbutusladder.client import EntryClient, NoEntryReachable, RequestRefused
from arbutusladder.errors import ArbutusladderError, ConfigError, RequestFailed
from arbutusladder.render import escape_unprintable, format_json
from arbutusladder.states import Outcome

ENTRY_ENV_VAR = "ARBUTUSLADDER_ENTRY"
AUTHOR_ENV_VAR = "ARBUTUSLADDER_AUTHOR"
MAX_SECONDS = 7 * 86400.0
# Every number of so many digits fits into 64 bits.
MAX_DIGITS = 18


class ExitCode(IntEnum):
    """What the exit code of a command says."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_FOUND = 4
    UNREACHABLE = 5


EXIT_CODE_DESCRIPTIONS = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused or not run, or a job did not finish",
    ExitCode.USAGE: "bad usage or bad file; nothing was sent",
    ExitCode.UNKNOWN: "unknown outcome; query before another attempt",
    ExitCode.NOT_FOUND: "the job, preset, workload or VM does not exist",
    ExitCode.UNREACHABLE: "no entry VM was reachable",
}
# Of several results, the one that asks most of the operator decides the code.
EXIT_CODES_BY_SEVERITY = (
    ExitCode.DONE,
    ExitCode.REFUSED,
    ExitCode.USAGE,
    ExitCode.NOT_FOUND,
    ExitCode.UNREACHABLE,
    ExitCode.UNKNOWN,
)


class UsageError(ArbutusladderError):
    """An argument has no usable value."""


class CommandContext:
    """Arguments of a command, its client and its output.

    Args:
        arguments: Result of docopt.
    """

    def __init__(self, arguments: dict[str, Any]):
        self.arguments = arguments
        self.json = bool(arguments.get("--json"))

    def __getitem__(self, name: str) -> Any:
        """Returns an argument; none when the command has no such argument."""
        return self.arguments.get(name)

    def addresses(self) -> list[str]:
        """Returns the addresses of the entry VMs to try."""
        given = self["--entry"] or []
        given = given or os.environ.get(ENTRY_ENV_VAR, "").replace(",", " ").split()
        if not given:
            raise UsageError(
                f"no entry VM is named; give --entry ADDRESS or set {ENTRY_ENV_VAR}"
            )
        problems = [
            p for item in given for p in configchecks.address_problems("", item)
        ]
        if problems:
            raise UsageError(f"--entry: {problems[0].text}; {problems[0].remedy}")
        return list(dict.fromkeys(given))

    def client(self) -> EntryClient:
        """Returns a client of the named entry VMs."""
        return EntryClient(self.addresses(), self.seconds("--timeout"))

    def integer_option(self, name: str, least: int) -> int:
        """Returns a whole number; zero when the option is not given."""
        text = self[name]
        if text is None:
            return 0
        plain = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
        if not plain or int(text) < least:
            raise UsageError(
                f"{name} {text!r}: give a whole number of at least {least} "
                f"and at most {MAX_DIGITS} digits"
            )
        return int(text)

    def seconds(self, name: str) -> float:
        """Returns a positive number of seconds."""
        try:
            value = float(self[name])
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_SECONDS:
            text = f"give seconds above 0 and at most {MAX_SECONDS:g}"
            raise UsageError(f"{name} {self[name]!r}: {text}")
        return value

    def author(self) -> str:
        """Returns the name under which a change is published."""
        with contextlib.suppress(OSError, KeyError):
            author = self["--author"] or os.environ.get(AUTHOR_ENV_VAR)
            return author or getpass.getuser()
        raise UsageError(f"no author is known; give --author or set {AUTHOR_ENV_VAR}")

    def print_result(self, value: Any, text: str) -> None:
        """Prints a value as JSON, or its text for people."""
        print(format_json(value) if self.json else text)

    def rows(self, columns: list[render.Column], rows: list[Any]) -> None:
        """Prints rows as JSON or as a table."""
        self.print_result(rows, "" if self.json else render.format_table(columns, rows))


def worst_exit_code(codes: list[ExitCode]) -> ExitCode:
    """Returns the exit code for several results."""
    return max(codes, key=EXIT_CODES_BY_SEVERITY.index, default=ExitCode.DONE)


def report(error: Exception, as_object: bool = False) -> ExitCode:
    """Prints an error to standard error and returns its exit code."""
    if isinstance(error, ExceptionGroup):
        return worst_exit_code([report(item, as_object) for item in error.exceptions])
    details: list[str] = []
    code = ExitCode.REFUSED
    match error:
        case ConfigError() | UsageError():
            code = ExitCode.USAGE
        case NoEntryReachable():
            code = ExitCode.UNREACHABLE
        case RequestFailed(outcome=Outcome.UNKNOWN):
            code = ExitCode.UNKNOWN
        case RequestRefused(status=404):
            code = ExitCode.NOT_FOUND
    if isinstance(error, RequestRefused):
        details = error.refusal.problems
    if as_object:
        value = {"error": str(error), "exit_code": code, "problems": details}
        value["reason"] = getattr(error, "reason", "")
        print(format_json(value), file=sys.stderr)
        return code
    for line in [f"error: {error}", *(f"  {detail}" for detail in details)]:
        print(escape_unprintable(line), file=sys.stderr)
    return code
