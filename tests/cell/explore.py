"""Searches for orders of events that break a rule of the cell.

Each seed plays another plan of requests and faults on real entry VMs in virtual time.

Usage:
  explore run --seeds=RANGE [options]
  explore play SEED [options]

Options:
  --seeds=RANGE   Seeds, such as 1-100.
  --seconds=S     Seconds in which requests and faults begin [default: 20].
  --vms=N         Number of entry VMs [default: 3].
  --workers=N     Number of workers [default: 3].
  --mutant=NAME   Fault to plant in the cell, see `tests.cell.exploremutants`.
  --until-broken  End at the first seed that breaks a rule.
  --recut         Only workers that restart and are cut off soon after.
  --hostile       Workers that restart, are cut off and carry calls out late in all ways
                  that the users' pages allow, beside faults of the owner.
  --tickets       Steps need tickets of the advice service; with `--hostile` only.
  --long=RANGE    Shortest and longest run of a long task in seconds [default: 8-15].
  --widened       The workers of `--hostile` in the plans of the other options.
"""

import contextlib
import hashlib
import sys
from dataclasses import replace

from docopt import docopt

from tests.cell.explorehostileplan import make_hostile_plan
from tests.cell.exploremutants import MUTANTS
from tests.cell.exploreplan import make_plan, make_recut_plan
from tests.cell.explorerun import play_plan
from tests.cell.exploretickets import add_tickets
from tests.cell.exploretrace import trace_ends_of_runs
from tests.cell.repeatable import restart_with_fixed_hashes


def play(seed, options):
    """Returns the result of a seed."""
    make = make_recut_plan if options["--recut"] else make_plan
    if options["--hostile"]:
        make = make_hostile_plan
    plan = make(
        seed,
        float(options["--seconds"]),
        int(options["--vms"]),
        int(options["--workers"]),
    )
    if options["--widened"]:
        plan = replace(plan, widened=True)
    shortest, _, longest = options["--long"].partition("-")
    plan = replace(plan, long_run_s=(float(shortest), float(longest)))
    if options["--tickets"]:
        plan = add_tickets(plan)
    mutant = options["--mutant"]
    patches = MUTANTS[mutant]() if mutant else ()
    if plan.widened:
        patches = (*patches, trace_ends_of_runs())
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        return play_plan(plan)


def digest(result):
    """Returns a short hash of all events of a result."""
    text = "\n".join(f"{at:.6f} {text}" for at, text in result.events)
    return hashlib.sha256(text.encode()).hexdigest()[:12]


def print_summary(result):
    """Prints one line for a seed, and one for each broken rule."""
    print(
        f"seed {result.seed}: {result.accepted} accepted jobs, {result.starts} starts, "
        f"{len(result.broken)} broken, events {digest(result)}",
        flush=True,
    )
    for rule, text in result.broken:
        print(f"  {rule}: {text}", flush=True)


def main(argv=None):
    """Runs the command line; returns the number of seeds that broke a rule."""
    options = docopt(__doc__, argv)
    if options["play"]:
        result = play(int(options["SEED"]), options)
        for at, text in result.events:
            print(f"{at:9.3f} {text}")
        print_summary(result)
        return int(bool(result.broken))
    first, _, last = options["--seeds"].partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        result = play(seed, options)
        print_summary(result)
        broken += bool(result.broken)
        if broken and options["--until-broken"]:
            break
    return broken


if __name__ == "__main__":
    restart_with_fixed_hashes()
    sys.exit(min(1, main()))
