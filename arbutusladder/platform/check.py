"""Validates settings files of processes, and the deploy file.

Usage:
  arbutusladder platform-check [--deploy=FILE] [SETTINGS]...

Options:
  --deploy=FILE  Deploy file in TOML.

SETTINGS are settings files as the platform writes them for a process. Each problem is
printed with its path, value and remedy.
"""

import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

from docopt import DocoptExit, docopt

from arbutusladder.cmdcontext import ExitCode, report
from arbutusladder.config import raise_config_errors
from arbutusladder.errors import ConfigError
from arbutusladder.platform.addresses import is_address
from arbutusladder.platform.settings import EntrySettings, load_settings

# Seconds that a graceful shutdown needs: two failed readiness checks of the load
# balancer, then the responses to requests in flight.
MIN_GRACE_S = 4.0
# Seconds; a shorter lease would expire between two renewals on a slow clock.
MIN_LEASE_S = 2.0


def check_settings_file(path: str) -> list[ConfigError]:
    """Returns the problems of a settings file."""
    try:
        settings = load_settings(path)
    except ConfigError as error:
        return [error]
    return list(_settings_problems(path, settings))


def _settings_problems(path: str, settings: EntrySettings) -> Iterator[ConfigError]:
    for name in ("front", "ready", "peer", "store", "advice"):
        address = getattr(settings, name)
        if not (is_address(address) or (name == "advice" and not address)):
            remedy = "write an IPv4 address and a port, such as 10.1.0.13:8161"
            yield ConfigError(path, name, f"{address!r} is not an address", remedy)
    if settings.grace_s < MIN_GRACE_S:
        remedy = f"allow at least {MIN_GRACE_S:g} s between SIGTERM and SIGKILL"
        yield ConfigError(path, "bounds.grace-s", f"{settings.grace_s:g} s", remedy)
    if settings.max_lease_s < MIN_LEASE_S:
        remedy = f"allow leases of at least {MIN_LEASE_S:g} s"
        yield ConfigError(
            path, "bounds.max-hold-ms", f"{settings.max_lease_s:g} s", remedy
        )


def check_deploy_file(path: str) -> list[ConfigError]:
    """Returns the problems of a deploy file."""
    try:
        deploy = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as error:
        return [
            ConfigError(path, "$", str(error), "make it a readable, valid TOML file")
        ]
    roles = deploy.get("roles")
    if not isinstance(roles, dict) or not roles:
        remedy = "add a table such as [roles.entry]"
        return [ConfigError(path, "roles", "no role", remedy)]
    return [
        problem
        for name, role in roles.items()
        for problem in _role_problems(path, f"roles.{name}", role)
    ]


def _role_problems(path: str, role_path: str, role: dict) -> Iterator[ConfigError]:
    for key in ("run", "on"):
        if not isinstance(role.get(key), str):
            remedy = "set it to the command line (run) or the class of machines (on)"
            yield ConfigError(path, f"{role_path}.{key}", f"{role.get(key)!r}", remedy)
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or not 0 < share <= 1:
        remedy = "set a share above 0 and at most 1"
        yield ConfigError(path, f"{role_path}.share", f"{share!r}", remedy)
    metrics = role.get("metrics", "")
    if metrics and f"--metrics={metrics}" not in str(role.get("run", "")).split():
        remedy = f"start the program with --metrics={metrics}"
        yield ConfigError(path, f"{role_path}.metrics", f"{metrics!r}", remedy)


def main(argv: list[str]) -> int:
    """Runs the command and prints every problem.

    Args:
        argv: Arguments after the name of the command.

    Returns:
        Exit code of the process.
    """
    try:
        options = docopt(__doc__, ["platform-check", *argv])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    problems = [
        problem for path in options["SETTINGS"] for problem in check_settings_file(path)
    ]
    if options["--deploy"]:
        problems += check_deploy_file(options["--deploy"])
    try:
        raise_config_errors(problems)
    except ExceptionGroup as group:
        return report(group)
    print(f"{len(options['SETTINGS'])} settings files are valid")
    return ExitCode.DONE
