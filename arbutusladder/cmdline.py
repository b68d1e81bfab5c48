"""Command line of arbutusladder: selects and runs a command.

Each command is a coroutine function in ``commands.COMMANDS``, with its docopt text in
usage.yaml. Commands that run a daemon or a tool are listed in ``MODULES``; their
modules are imported only when the command is run.
"""

import difflib
import functools
import importlib
import importlib.resources
import os
import sys

import curio
import yaml
from docopt import DocoptExit, docopt

from arbutusladder.cmdcontext import (
    EXIT_CODE_DESCRIPTIONS,
    CommandContext,
    ExitCode,
    UsageError,
    report,
)
from arbutusladder.commands import COMMANDS
from arbutusladder.errors import ArbutusladderError
from arbutusladder.render import escape_unprintable

# Module and summary of each command that has a module of its own.
MODULES = {
    "entry": ("arbutusladder.entry", "Runs an entry VM."),
    "fake-log": ("arbutusladder.fakelog", "Runs a fake log service."),
    "fake-vm-list": ("arbutusladder.fakevmlist", "Runs a fake VM list."),
    "fake-worker": ("arbutusladder.fakeworker", "Runs fake workers."),
    "fake-executor": ("arbutusladder.fakeexecutor", "Runs fake executors."),
    "demo": ("arbutusladder.embedded", "Runs a whole cell in one process."),
    "load": ("arbutusladder.loadgen", "Generates load according to a profile."),
    "platform-check": (
        "arbutusladder.platform.check",
        "Checks the platform's settings and the deploy file.",
    ),
    "platform-preview": (
        "arbutusladder.platform.preview",
        "Shows where a job would be placed on the platform, without sending it.",
    ),
    "trace": ("arbutusladder.jobtrace", "Shows the history of one job from logs."),
    "waits": ("arbutusladder.jobwaits", "Shows where jobs spend their time from logs."),
}


@functools.cache
def usage_by_command() -> dict[str, str]:
    """Returns the docopt text of each command."""
    usage_file = importlib.resources.files("arbutusladder") / "usage.yaml"
    texts = yaml.safe_load(usage_file.read_text(encoding="utf-8"))
    common_options = texts.pop("common")
    return {
        name: text.replace("  COMMON\n", common_options) for name, text in texts.items()
    }


def overview() -> str:
    """Returns the help text that lists all commands and exit codes."""
    lines = ["Usage: arbutusladder COMMAND [ARGUMENTS]", "", "Commands:"]
    summaries = {
        name: text.partition("\n")[0] for name, text in usage_by_command().items()
    }
    summaries |= {name: summary for name, (_, summary) in MODULES.items()}
    lines += [f"  {name:<18}{summary}" for name, summary in summaries.items()]
    lines += ["", "Exit codes:"]
    lines += [f"  {code:<4}{text}" for code, text in EXIT_CODE_DESCRIPTIONS.items()]
    lines += ["", "'arbutusladder COMMAND --help' describes a command."]
    return "\n".join(lines)


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    if not arguments or arguments[0] in {"--help", "-h", "help"}:
        print(overview())
        return ExitCode.DONE if arguments else ExitCode.USAGE
    name, module_arguments = arguments[0], arguments[1:]
    if name in MODULES:
        return _run_module(MODULES[name][0], module_arguments)
    if name in COMMANDS:
        return _run_command(name, arguments)
    close_matches = difflib.get_close_matches(name, [*COMMANDS, *MODULES], 1)
    hint = (
        f"did you mean {close_matches[0]!r}?"
        if close_matches
        else "see 'arbutusladder --help'"
    )
    print(
        escape_unprintable(f"error: unknown command {name!r}; {hint}"),
        file=sys.stderr,
    )
    return ExitCode.USAGE


def _run_module(module_path: str, arguments: list[str]) -> int:
    try:
        module = importlib.import_module(module_path)
    except ModuleNotFoundError as error:
        if error.name != module_path:
            raise
        text = f"error: module {module_path} is missing; install the whole package"
        print(text, file=sys.stderr)
        return ExitCode.USAGE
    return module.main(arguments) or ExitCode.DONE


def _require_utf8(arguments: list[str]) -> None:
    for argument in arguments:
        if not _is_utf8(argument):
            raise UsageError(
                f"argument {argument!r} is not UTF-8; use --data-file for binary data"
            )


def _is_utf8(argument: str) -> bool:
    # Python decodes bytes that are not UTF-8 as lone surrogates.
    return not any("\ud800" <= character <= "\udfff" for character in argument)


def _run_command(name: str, arguments: list[str]) -> int:
    try:
        parsed = docopt(usage_by_command()[name], arguments)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    except SystemExit:
        # docopt exits after it has printed the help text.
        return ExitCode.DONE
    context = CommandContext(parsed)
    try:
        _require_utf8(arguments)
        code = curio.run(COMMANDS[name], context)
        sys.stdout.flush()
        return code
    except (ArbutusladderError, ExceptionGroup) as error:
        return report(error, context.json)
    except KeyboardInterrupt:
        text = "error: interrupted; a request that was sent may have taken effect"
        print(text, file=sys.stderr)
        return ExitCode.UNKNOWN
    except BrokenPipeError:
        # The reader of the output has closed it. Standard output is replaced, so that
        # the flush at exit does not fail, too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.UNKNOWN
