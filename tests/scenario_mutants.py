"""Checks that scenarios fail when the mechanism that they verify is removed.

Usage:
    scenario_mutants [--jobs=N] [NAME ...]

Options:
    --jobs=N    Number of mutants that run concurrently [default: 3].

Each mutant replaces source text in a temporary copy of the repository and runs one
test there, which must fail. The exit code is the number of mutants that no test
detected. Run it as ``python -m tests.scenario_mutants``.
"""

import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from tests.harness import ROOT

TEST_TIMEOUT_S = 180
COPIED_PATHS = (
    "arbutusladder",
    "tests",
    "examples",
    "docs",
    "schema",
    "pyproject.toml",
    "KNOWN-RED.txt",
)


@dataclass(frozen=True)
class Mutant:
    """Source change that removes one mechanism.

    Attributes:
        name: Short name of the mechanism.
        path: File to change.
        old: Text to replace; it must occur exactly once.
        new: Replacement of the text.
        test: Name of the test that must fail.
        additional_edits: File, old and new text of further changes, for a property
            that two mechanisms ensure.
    """

    name: str
    path: str
    old: str
    new: str
    test: str
    additional_edits: tuple[tuple[str, str, str], ...] = ()

    def edits(self) -> list[tuple[str, str, str]]:
        """Returns the file, old text and new text of every change."""
        return [(self.path, self.old, self.new), *self.additional_edits]


MUTANTS = (
    Mutant(
        "validity-never-ends",
        "arbutusladder/promises.py",
        '        return float("-inf") if self._ended else self._until\n',
        "        return self._until + 1000 if self._has_been_valid else self._until\n",
        "test_an_owner_that_is_cut_off_from_its_peers_and_the_log_gives_up_its_shard",
    ),
    Mutant(
        "takeover-forgets-running-tasks",
        "arbutusladder/shardjobs.py",
        "        until = self._control.previous_owner_until if unread or unlisted else",
        "        until = None if unread or unlisted else",
        "test_a_takeover_waits_for_the_task_leases_of_a_worker_that_does_not_answer",
    ),
    Mutant(
        "lost-reply-means-not-started",
        "arbutusladder/workerclient.py",
        "            await self._failed(sent, error)\n",
        "            self._put_back(sent)\n"
        "            await self._failed(None, error)\n",
        "test_a_task_start_whose_reply_is_lost_is_not_repeated",
    ),
    Mutant(
        "key-home-is-the-asked-entry-vm",
        "arbutusladder/gateway.py",
        "home_shard(forward.idempotency_key, self._view.domain_by_shard)",
        "self._router._random.choice(sorted(self._view.domain_by_shard))",
        "test_the_same_key_is_sent_to_all_entry_vms_at_once",
    ),
    Mutant(
        "successor-runs-old-keys",
        "arbutusladder/keys.py",
        "        if created_at <= self.complete_since:\n",
        "        if False:\n",
        "test_a_key_is_sent_again_after_its_owner_was_killed",
    ),
    Mutant(
        "handover-drops-keys",
        "arbutusladder/localshard.py",
        "            keys=requests.keys,\n",
        "            keys=[],\n",
        "test_a_planned_stop_hands_over_tasks_keys_and_task_ends",
    ),
    Mutant(
        "waiting-jobs-never-move",
        "arbutusladder/entry.py",
        '            "job moves": self._host.move_jobs,\n',
        "",
        "test_a_job_that_waits_on_a_full_shard_moves_to_one_with_free_capacity",
    ),
    Mutant(
        "lookups-wait-for-a-silent-owner",
        "arbutusladder/entry.py",
        "            await self._abandon_silent_seats()\n",
        "",
        "test_an_owner_is_paused_under_load",
    ),
    Mutant(
        "unknown-reported-as-not-run",
        "arbutusladder/gateway.py",
        "Refusal(Outcome.UNKNOWN, answer.reason, ",
        "Refusal(Outcome.NOT_RUN, answer.reason, ",
        "test_a_key_is_sent_again_after_its_owner_was_killed",
    ),
    Mutant(
        "leaving-executors-keep-getting-work",
        "arbutusladder/endpoints.py",
        "            self.record.state is VmState.LEAVING\n            or ",
        "            ",
        "test_a_leaving_executor_gets_no_new_work",
    ),
    Mutant(
        "shutdown-does-not-wait-for-requests",
        "arbutusladder/entry.py",
        "        notice = timing.balancer_notice_s - (self._clock.now() - started)\n",
        "        await self._server.stop()\n        notice = 0.0\n",
        "test_an_entry_vm_shuts_down_gracefully_under_load",
    ),
    Mutant(
        "stale-base-is-accepted",
        "arbutusladder/configstore.py",
        "    if change.base != state.revision:\n",
        "    if False:\n",
        "test_two_operators_publish_a_change_concurrently",
    ),
    Mutant(
        "peers-do-not-pass-the-configuration-on",
        "arbutusladder/entry.py",
        "        if newest > self._config.store.revision:\n",
        "        if False:\n",
        "test_an_entry_vm_that_is_cut_off_from_the_log_gets_the_configuration_from_its_peers",
    ),
    Mutant(
        "new-record-id-on-every-attempt",
        "arbutusladder/appender.py",
        "                records = [pending.record for pending in batch]\n",
        "                for one in batch:\n"
        "                    one.record.id = RecordId(uuid.uuid4().hex)\n"
        "                records = [pending.record for pending in batch]\n",
        "test_a_publication_whose_reply_is_lost_is_applied_once",
    ),
    Mutant(
        "capacity-is-not-checked",
        "arbutusladder/fleet.py",
        "        worker.free = subtract(worker.free, amount)\n",
        "",
        "test_tasks_beyond_the_capacity_of_the_workers_wait",
        additional_edits=(
            (
                "arbutusladder/taskcontrol.py",
                "        if not worker.has_room(decision.resources):\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "log-outage-ends-ownership",
        "arbutusladder/coordinator.py",
        "            case LogState(available):\n",
        "            case LogState(available):\n"
        "                if not available and self.state is EntryState.READY:\n"
        "                    await self._carry_out(self.ownership.paused(now))\n",
        "test_work_continues_while_the_log_is_down",
    ),
)


def run_mutant(mutant: Mutant) -> tuple[Mutant, bool, str]:
    """Applies one mutant to a copy of the repository and runs its test.

    Returns:
        The mutant, whether its test failed, and the first line of the failure, or
        the reason why the test did not run.
    """
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory)
        _copy_repository(copy)
        for name, old_text, new_text in mutant.edits():
            path = copy / name
            text = path.read_text()
            if text.count(old_text) != 1:
                return mutant, False, f"{name}: old text must occur exactly once"
            path.write_text(text.replace(old_text, new_text))
        return mutant, *_run_test(copy, mutant.test)


def _copy_repository(copy: Path) -> None:
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, copy / name)
        else:
            shutil.copy(source, copy / name)


def _run_test(copy: Path, test: str) -> tuple[bool, str]:
    command = [sys.executable, "-m", "pytest", "-x", "--runxfail"]
    command += ["tests/test_scenarios.py", "-k", test]
    command += ["--basetemp", str(copy / "tmp")]
    result = subprocess.run(
        command,
        cwd=copy,
        env={**os.environ, "PYTHONPATH": str(copy)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )
    lines = result.stdout.splitlines()
    failures = [line[1:].strip() for line in lines if line.startswith("E  ")]
    # Exit code 1 means that the test failed, 0 that it passed, others that it did
    # not run.
    return result.returncode == 1, failures[0] if failures else lines[-1]


def main(argv: list[str] | None = None) -> int:
    """Runs the mutants and returns the number that no test detected."""
    options = docopt(__doc__, argv)
    names = options["NAME"]
    selected = [m for m in MUTANTS if not names or m.name in names]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(int(options["--jobs"])) as pool:
        for mutant, failed, detail in pool.map(run_mutant, selected):
            missed += not failed
            print(f"{'detected' if failed else 'MISSED  '}  {mutant.name}: {detail}")
    return missed


if __name__ == "__main__":
    sys.exit(main())
