"""Random faults on a cell under load, judged by the stand-ins' records.

Usage:
    chaos [--seed=N] [--seconds=S] [--directory=PATH]

Options:
    --seed=N          Seed of the order of the faults [default: 1].
    --seconds=S       Time during which faults are injected [default: 30].
    --directory=PATH  Directory for settings and logs; a new one by default.

The order of the faults depends on the seed alone; the timing of processes does
not. Run it as ``python -m tests.chaos``.
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

FAULT_GAP_S = (1.0, 3.0)
PAUSE_S = (1.0, 6.0)
HEAL_LIMIT_S = 30.0


class Chaos:
    """One run with faults.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of the order of the faults.
    """

    def __init__(self, directory, seed):
        self.random = random.Random(seed)
        self.cell = ProcessCell(directory, executors=2, relayed=True)
        self.load = None
        self.faults = []
        self._undo = []
        self._kinds = (
            self.kill_entry,
            self.pause_entry,
            self.stop_entry,
            self.log_outage,
            self.lose_log_replies,
            self.slow_log,
            self.cut_log,
            self.cut_peers,
            self.silence_peers,
            self.pause_worker,
            self.lose_worker_replies,
            self.silence_executor,
            self.kill_in_answer,
        )

    def run(self, seconds):
        """Injects faults, heals them, and checks what must always hold."""
        self.cell.start_and_configure()
        self.load = RequestLoad([self.cell.address_by_name[s] for s in self.cell.seats])
        self.load.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.random.choice(self._kinds)
            self.faults.append(fault.__name__)
            fault()
            self.submit_random_job()
            time.sleep(self.random.uniform(*FAULT_GAP_S))
            self._heal_some()
        self._heal_all()
        self._wait_for_health()
        self.load.stop()
        self.check_invariants()

    def close(self):
        """Ends the load and all processes."""
        if self.load:
            self.load.stop()
        self.cell.close()

    # Faults; at most one entry VM of three is impaired at a time

    def kill_entry(self):
        """Kills an entry VM and starts another in its seat."""
        number = self._free_entry()
        if number is None:
            return
        seat = self.cell.seats[number]
        self.cell.process_by_name[seat].kill()
        self._later(lambda: self.cell.start_entry(number), seat)

    def stop_entry(self):
        """Stops an entry VM gracefully and starts another in its seat."""
        number = self._free_entry()
        if number is None:
            return
        process = self.cell.process_by_name[self.cell.seats[number]]
        process.terminate()

        def start_again():
            assert process.wait(30) == 0
            self.cell.start_entry(number)

        self._later(start_again, self.cell.seats[number])

    def pause_entry(self):
        """Pauses an entry VM."""
        number = self._free_entry()
        if number is None:
            return
        process = self.cell.process_by_name[self.cell.seats[number]]
        process.pause()
        time.sleep(self.random.uniform(*PAUSE_S))
        process.resume()

    def log_outage(self):
        """Takes the log down."""
        self.cell.set_faults("log", outage=True)
        self._later(lambda: self.cell.set_faults("log", outage=False))

    def lose_log_replies(self):
        """Loses the next replies of the log."""
        self.cell.set_faults("log", lose_replies=3)

    def slow_log(self):
        """Makes the log slow."""
        self.cell.set_faults("log", delay_s=1.0)
        self._later(lambda: self.cell.set_faults("log", delay_s=0.0))

    def cut_log(self):
        """Cuts one entry VM off from the log."""
        seat = self.random.choice(self.cell.seats)
        self.cell.cut_routes([log_route_name(seat)])
        self._later(lambda: self.cell.restore_routes([log_route_name(seat)]))

    def cut_peers(self):
        """Cuts one entry VM off from the others."""
        number = self._free_entry()
        if number is None:
            return
        routes = self.cell.peer_route_names(self.cell.seats[number])
        self.cell.cut_routes(routes)
        self._later(lambda: self.cell.restore_routes(routes), self.cell.seats[number])

    def silence_peers(self):
        """Makes the open connections of one entry VM silent."""
        seat = self.random.choice(self.cell.seats)
        self.cell.silence_connections(self.cell.peer_route_names(seat))

    def pause_worker(self):
        """Pauses a worker."""
        process = self.cell.process_by_name[self.random.choice(self.cell.workers)]
        process.pause()
        self._later(process.resume)

    def lose_worker_replies(self):
        """Loses the next replies of a worker."""
        worker = self.random.choice(self.cell.workers)
        if self._answers(worker):
            self.cell.set_faults(worker, lose_replies=2)

    def silence_executor(self):
        """Makes the open connections of an executor silent."""
        executor = self.random.choice(self.cell.executors)
        self.cell.set_faults(executor, silent=True)
        self._later(lambda: self.cell.set_faults(executor, silent=False))

    def kill_in_answer(self):
        """Lets an executor die in the middle of its next answers."""
        executor = self.random.choice(self.cell.executors)
        self.cell.set_faults(executor, die_in_body=2)

    def submit_random_job(self):
        """Submits a job through a random entry VM; any honest answer is fine."""
        seat = self.random.choice(self.cell.seats)
        workload = self.random.choice(["residual-short", "reconciliation"])
        tasks = 8 if workload == "residual-short" else 1
        try:
            self.cell.submit_job(workload, seat, tasks=tasks)
        except (OSError, ValueError):
            return

    # Judges

    def check_invariants(self):
        """Checks what must always hold.

        Raises:
            AssertionError: Something that must always hold did not.
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
        """Returns what was done as one line."""
        counts = {}
        for sent in self.load.sent:
            kind = sent.outcome or sent.reason[:24]
            counts[kind] = counts.get(kind, 0) + 1
        return f"faults {', '.join(self.faults)}; answers {counts}"

    # Parts

    def _answers(self, name):
        try:
            address = self.cell.address_by_name[name]
            return http_request(address, "GET", "/v1/record", timeout=1).status == 200
        except OSError:
            return False

    def _free_entry(self):
        """Returns the number of an entry VM, unless one is impaired already."""
        if any(seat for seat, _ in self._undo):
            return None
        return self.random.randrange(len(self.cell.seats))

    def _later(self, undo, seat=""):
        self._undo.append((seat, undo))

    def _heal_some(self):
        while self._undo and self.random.random() < 0.6:
            _, undo = self._undo.pop(0)
            undo()

    def _heal_all(self):
        while self._undo:
            _, undo = self._undo.pop(0)
            undo()

    def _wait_for_health(self):
        self.cell.wait_until_ready()
        wait_for(
            lambda: all(
                shard["owner"]
                for seat in self.cell.seats
                for shard in self.cell.fetch_shards(seat)
            ),
            HEAL_LIMIT_S,
            "every entry VM sees an owner of each shard",
        )
        wait_for(
            lambda: self.cell.send_request("after the faults").status == 200,
            HEAL_LIMIT_S,
            "requests are answered after the faults",
        )


def main(argv=None):
    """Runs the command; returns the exit code."""
    options = docopt(__doc__, argv)
    directory = options["--directory"] or tempfile.mkdtemp(prefix="chaos-")
    chaos = Chaos(directory, int(options["--seed"]))
    try:
        chaos.run(float(options["--seconds"]))
        print("held:", chaos.summary())
        return 0
    finally:
        chaos.close()


if __name__ == "__main__":
    sys.exit(main())
