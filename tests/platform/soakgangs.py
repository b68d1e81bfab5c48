"""Gangs of the fault soak: members that work, and end, only together."""

import math
import time

from arbutusladder.cell.tasknames import parse_task_name

# Seconds for which a member waits for the others.
GANG_WAIT_S = 4.0


class SoakGangs:
    """Runs of the members of gangs on all workers.

    Attributes:
        size_by_job: Number of members of each job whose steps are gangs.
    """

    def __init__(self):
        self.size_by_job: dict[str, int] = {}
        self._workers_by_run: dict[tuple[str, int], dict[str, object]] = {}

    def members(self, task):
        """Returns the members of the gang of a task; only the task without one."""
        name = parse_task_name(task)
        size = self.size_by_job.get(name.job_id, 0) if name else 0
        step = task.rpartition(".")[0]
        return [f"{step}.{index}" for index in range(size)] or [task]

    def join(self, worker, key, task_s):
        """Lets a member that has started wait, or all begin once they are present.

        Args:
            worker: Worker of the member.
            key: Task and number of its run.
            task_s: Duration of the work in seconds.
        """
        task, number = key
        members = self.members(task)
        if len(members) == 1:
            return
        step, now = task.rpartition(".")[0], time.monotonic()
        workers = self._workers_by_run.setdefault((step, number), {})
        workers[task] = worker
        worker.running[key].ends_at = math.inf
        worker.running[key].alone_at = now + GANG_WAIT_S
        if len(workers) == len(members):
            for member, other in workers.items():
                run = other.running[member, number]
                run.started_at, run.ends_at = now, now + task_s
                run.alone_at = math.inf

    def leave(self, key, end_kind):
        """Ends the other members of a run, unless one has ended as done.

        Args:
            key: Task and number of the run that has ended.
            end_kind: How it has ended; empty for a crash.
        """
        task, number = key
        workers = self._workers_by_run.get((task.rpartition(".")[0], number), {})
        if workers.pop(task, None) is None or end_kind == "done":
            return
        for member, worker in list(workers.items()):
            if (member, number) in worker.running:
                worker.end_run((member, number), "broken")
