"""Arguments, output, errors and exit codes, as shared by all commands."""

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
# Longest timeout or wait that an option may set.
MAX_DURATION_S = 7 * 86400.0
# Every decimal number of this many digits fits into 64 bits.
MAX_DIGITS = 18


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_FOUND = 4
    UNREACHABLE = 5


EXIT_CODE_DESCRIPTIONS = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused or not run, or a job did not finish",
    ExitCode.USAGE: "invalid arguments or an invalid file; nothing was sent",
    ExitCode.UNKNOWN: "unknown outcome; query it before a retry",
    ExitCode.NOT_FOUND: "the job, preset, workload or VM does not exist",
    ExitCode.UNREACHABLE: "no entry VM was reachable",
}
# In ascending order of severity, that is, of what the operator has to do. The most
# severe of several results determines the exit code.
EXIT_CODES_BY_SEVERITY = (
    ExitCode.DONE,
    ExitCode.REFUSED,
    ExitCode.USAGE,
    ExitCode.NOT_FOUND,
    ExitCode.UNREACHABLE,
    ExitCode.UNKNOWN,
)


class UsageError(ArbutusladderError):
    """An argument is missing or has an invalid value."""


class CommandContext:
    """Parsed arguments of a command, with helpers for its client and output.

    Args:
        arguments: Result of docopt.

    Attributes:
        arguments: Result of docopt.
        json: Whether results and errors are printed as JSON.
    """

    def __init__(self, arguments: dict[str, Any]):
        self.arguments = arguments
        self.json = bool(arguments.get("--json"))

    def __getitem__(self, name: str) -> Any:
        """Returns an argument, or None if the command has no such argument."""
        return self.arguments.get(name)

    def addresses(self) -> list[str]:
        """Returns the addresses of the entry VMs to try, without duplicates.

        Raises:
            UsageError: No address is given, or one is invalid.
        """
        entries = self["--entry"] or []
        entries = entries or os.environ.get(ENTRY_ENV_VAR, "").replace(",", " ").split()
        if not entries:
            raise UsageError(
                f"no entry VM is named; use --entry ADDRESS or set {ENTRY_ENV_VAR}"
            )
        problems = [p for item in entries for p in configchecks.check_address("", item)]
        if problems:
            raise UsageError(f"--entry: {problems[0].text}; {problems[0].remedy}")
        return list(dict.fromkeys(entries))

    def client(self) -> EntryClient:
        """Returns a client for the entry VMs to try."""
        return EntryClient(self.addresses(), self.seconds_option("--timeout"))

    def integer_option(self, name: str, minimum: int) -> int:
        """Returns the value of an integer option, or zero if it is not given.

        Raises:
            UsageError: The value is not a decimal number of at least ``minimum``.
        """
        text = self[name]
        if text is None:
            return 0
        is_valid = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
        if not is_valid or int(text) < minimum:
            raise UsageError(
                f"{name} {text!r}: expected a whole number of at least {minimum} "
                f"and at most {MAX_DIGITS} digits"
            )
        return int(text)

    def seconds_option(self, name: str) -> float:
        """Returns the value of an option in seconds.

        Raises:
            UsageError: The value is not positive, or above `MAX_DURATION_S`.
        """
        try:
            value = float(self[name])
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_DURATION_S:
            text = f"expected seconds above 0 and at most {MAX_DURATION_S:g}"
            raise UsageError(f"{name} {self[name]!r}: {text}")
        return value

    def author(self) -> str:
        """Returns the name of the operator who publishes a change.

        Raises:
            UsageError: No name is given and the user's name is not known.
        """
        with contextlib.suppress(OSError, KeyError):
            author = self["--author"] or os.environ.get(AUTHOR_ENV_VAR)
            return author or getpass.getuser()
        raise UsageError(f"no author is known; use --author or set {AUTHOR_ENV_VAR}")

    def print_result(self, value: Any, text: str) -> None:
        """Prints a value as JSON, or else its text form."""
        print(format_json(value) if self.json else text)

    def print_table(self, columns: list[render.Column], rows: list[Any]) -> None:
        """Prints rows as JSON or as a table."""
        self.print_result(rows, "" if self.json else render.format_table(columns, rows))


def worst_exit_code(codes: list[ExitCode]) -> ExitCode:
    """Returns the most severe exit code; ``DONE`` if there are none."""
    return max(codes, key=EXIT_CODES_BY_SEVERITY.index, default=ExitCode.DONE)


def report(error: Exception, as_json: bool = False) -> ExitCode:
    """Prints an error to standard error and returns its exit code.

    Args:
        error: An error, or a group of which each error is printed.
        as_json: Whether to print a JSON object instead of text.
    """
    if isinstance(error, ExceptionGroup):
        return worst_exit_code([report(item, as_json) for item in error.exceptions])
    problems: list[str] = []
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
        problems = error.refusal.problems
    if as_json:
        value = {"error": str(error), "exit_code": code, "problems": problems}
        value["reason"] = getattr(error, "reason", "")
        print(format_json(value), file=sys.stderr)
        return code
    for line in [f"error: {error}", *(f"  {problem}" for problem in problems)]:
        print(escape_unprintable(line), file=sys.stderr)
    return code
