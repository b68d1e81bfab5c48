"""Injects random faults into a cell under load and checks its invariants.

Usage:
    chaos [--seed=N] [--seconds=S] [--directory=PATH]

Options:
    --seed=N          Seed of the sequence of faults [default: 1].
    --seconds=S       Time during which faults are injected [default: 30].
    --directory=PATH  Directory for settings and logs; a new one by default.

The records of the fakes are the reference for the checks. The sequence of faults
depends on the seed alone, the timing of the processes does not. Run it as
``python -m tests.chaos``.
"""

import itertools
import random
import sys
import tempfile
import time

from docopt import docopt

from tests.harness import http_request, wait_for
from tests.load import RequestLoad
from tests.processcell import ProcessCell, log_route_name

# Shortest and longest time between two faults.
FAULT_INTERVAL_S = (1.0, 3.0)
# Shortest and longest pause of an entry VM.
PAUSE_S = (1.0, 6.0)
RECOVERY_TIMEOUT_S = 30.0


class ChaosRun:
    """One run with random faults.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of the sequence of faults.
    """

    def __init__(self, directory, seed):
        self.random = random.Random(seed)
        self.cell = ProcessCell(directory, executors=2, relayed=True)
        self.load = None
        self.injected_faults = []
        self._pending_repairs = []
        self._fault_methods = (
            self.kill_entry,
            self.pause_entry,
            self.stop_entry,
            self.start_log_outage,
            self.lose_log_replies,
            self.delay_log,
            self.disconnect_from_log,
            self.disconnect_from_peers,
            self.silence_peer_connections,
            self.pause_worker,
            self.lose_worker_replies,
            self.silence_executor_connections,
            self.crash_executor_in_answer,
        )

    def run(self, seconds):
        """Injects and repairs faults for some seconds, then checks the invariants."""
        self.cell.start_and_configure()
        self.load = RequestLoad([self.cell.address_by_name[s] for s in self.cell.seats])
        self.load.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            fault = self.random.choice(self._fault_methods)
            self.injected_faults.append(fault.__name__)
            fault()
            self.submit_random_job()
            time.sleep(self.random.uniform(*FAULT_INTERVAL_S))
            self._repair_some()
        self._repair_all()
        self._wait_until_healthy()
        self.load.stop()
        self.check_invariants()

    def close(self):
        """Stops the load and kills all processes."""
        if self.load:
            self.load.stop()
        self.cell.close()

    # Faults; at most one of the three entry VMs is killed, stopped, paused or cut
    # off from its peers at a time

    def kill_entry(self):
        """Kills an entry VM; the repair starts another in its seat."""
        number = self._choose_entry_to_impair()
        if number is None:
            return
        seat = self.cell.seats[number]
        self.cell.process_by_name[seat].kill()
        self._add_repair(lambda: self.cell.start_entry(number), seat)

    def stop_entry(self):
        """Stops an entry VM gracefully; the repair starts another in its seat."""
        number = self._choose_entry_to_impair()
        if number is None:
            return
        process = self.cell.process_by_name[self.cell.seats[number]]
        process.terminate()

        def restart_entry():
            assert process.wait(30) == 0
            self.cell.start_entry(number)

        self._add_repair(restart_entry, self.cell.seats[number])

    def pause_entry(self):
        """Pauses an entry VM with SIGSTOP for a random time."""
        number = self._choose_entry_to_impair()
        if number is None:
            return
        process = self.cell.process_by_name[self.cell.seats[number]]
        process.pause()
        time.sleep(self.random.uniform(*PAUSE_S))
        process.resume()

    def start_log_outage(self):
        """Makes the log unavailable."""
        self.cell.set_faults("log", outage=True)
        self._add_repair(lambda: self.cell.set_faults("log", outage=False))

    def lose_log_replies(self):
        """Drops the next 3 replies of the log."""
        self.cell.set_faults("log", lose_replies=3)

    def delay_log(self):
        """Delays the replies of the log."""
        self.cell.set_faults("log", delay_s=1.0)
        self._add_repair(lambda: self.cell.set_faults("log", delay_s=0.0))

    def disconnect_from_log(self):
        """Disconnects one entry VM from the log."""
        seat = self.random.choice(self.cell.seats)
        self.cell.cut_routes([log_route_name(seat)])
        self._add_repair(lambda: self.cell.restore_routes([log_route_name(seat)]))

    def disconnect_from_peers(self):
        """Disconnects one entry VM from all others."""
        number = self._choose_entry_to_impair()
        if number is None:
            return
        routes = self.cell.peer_route_names(self.cell.seats[number])
        self.cell.cut_routes(routes)
        self._add_repair(
            lambda: self.cell.restore_routes(routes), self.cell.seats[number]
        )

    def silence_peer_connections(self):
        """Drops the traffic of the open peer connections of one entry VM."""
        seat = self.random.choice(self.cell.seats)
        self.cell.silence_connections(self.cell.peer_route_names(seat))

    def pause_worker(self):
        """Pauses a worker with SIGSTOP; the repair resumes it."""
        process = self.cell.process_by_name[self.random.choice(self.cell.workers)]
        process.pause()
        self._add_repair(process.resume)

    def lose_worker_replies(self):
        """Drops the next 2 replies of a worker that answers."""
        worker = self.random.choice(self.cell.workers)
        if self._is_answering(worker):
            self.cell.set_faults(worker, lose_replies=2)

    def silence_executor_connections(self):
        """Makes an executor send nothing on its open connections."""
        executor = self.random.choice(self.cell.executors)
        self.cell.set_faults(executor, silent=True)
        self._add_repair(lambda: self.cell.set_faults(executor, silent=False))

    def crash_executor_in_answer(self):
        """Makes an executor crash in the middle of its next 2 answers."""
        executor = self.random.choice(self.cell.executors)
        self.cell.set_faults(executor, die_in_body=2)

    def submit_random_job(self):
        """Submits a job through a random entry VM; it may be accepted or refused."""
        seat = self.random.choice(self.cell.seats)
        workload = self.random.choice(["residual-short", "reconciliation"])
        tasks = 8 if workload == "residual-short" else 1
        try:
            self.cell.submit_job(workload, seat, tasks=tasks)
        except (OSError, ValueError):
            return

    # Checks

    def check_invariants(self):
        """Checks answers, worker capacity and that runs of a task never overlap.

        Raises:
            AssertionError: An invariant was violated.
        """
        self.load.check_invariants(self.cell.fetch_records(self.cell.executors))
        runs_by_task = {}
        for name, record in self.cell.fetch_records(self.cell.workers).items():
            assert not record["over_capacity"], (name, record["over_capacity"])
            assert not record["duplicates"], (name, record["duplicates"])
            for run in record["runs"]:
                runs_by_task.setdefault(run["task_id"], []).append(run)
        for runs in runs_by_task.values():
            runs.sort(key=lambda run: run["started_at"])
            for earlier, later in itertools.pairwise(runs):
                assert earlier["ended_at"], runs
                assert earlier["ended_at"] <= later["started_at"], runs

    def summary(self):
        """Returns the injected faults and the number of answers by outcome."""
        count_by_outcome = {}
        for sent in self.load.sent:
            outcome = sent.outcome or sent.reason[:24]
            count_by_outcome[outcome] = count_by_outcome.get(outcome, 0) + 1
        return f"faults {', '.join(self.injected_faults)}; answers {count_by_outcome}"

    # Helpers

    def _is_answering(self, name):
        try:
            address = self.cell.address_by_name[name]
            return http_request(address, "GET", "/v1/record", timeout=1).status == 200
        except OSError:
            return False

    def _choose_entry_to_impair(self):
        """Returns the number of a random entry VM, or None if one is impaired."""
        if any(seat for seat, _ in self._pending_repairs):
            return None
        return self.random.randrange(len(self.cell.seats))

    def _add_repair(self, repair, seat=""):
        """Adds the repair of a fault, with the seat that the fault impairs."""
        self._pending_repairs.append((seat, repair))

    def _repair_some(self):
        while self._pending_repairs and self.random.random() < 0.6:
            _, repair = self._pending_repairs.pop(0)
            repair()

    def _repair_all(self):
        while self._pending_repairs:
            _, repair = self._pending_repairs.pop(0)
            repair()

    def _wait_until_healthy(self):
        self.cell.wait_until_ready()
        wait_for(
            lambda: all(
                shard["owner"]
                for seat in self.cell.seats
                for shard in self.cell.fetch_shards(seat)
            ),
            RECOVERY_TIMEOUT_S,
            "every entry VM reports an owner of each shard",
        )
        wait_for(
            lambda: self.cell.send_request("after the faults").status == 200,
            RECOVERY_TIMEOUT_S,
            "requests are answered after the faults",
        )


def main(argv=None):
    """Runs the command; returns the exit code."""
    options = docopt(__doc__, argv)
    directory = options["--directory"] or tempfile.mkdtemp(prefix="chaos-")
    chaos_run = ChaosRun(directory, int(options["--seed"]))
    try:
        chaos_run.run(float(options["--seconds"]))
        print("invariants held:", chaos_run.summary())
        return 0
    finally:
        chaos_run.close()


if __name__ == "__main__":
    sys.exit(main())
