"""First-fit scheduling in order of arrival, a baseline for comparisons."""

from collections import OrderedDict

from arbutusladder.decisions import Decision, Job
from arbutusladder.fleet import Worker
from arbutusladder.ids import JobId
from arbutusladder.policies import Policy
from arbutusladder.resources import fits


class FirstFit(Policy):
    """Starts the oldest job on the first worker that fits it.

    Ignores classes, quotas and preemption. A job that does not fit is skipped; a gang
    starts once all of its tasks fit at the same time.
    """

    name = "firstfit"

    def __init__(self, preset, teams_by_name):
        super().__init__(preset, teams_by_name)
        self._queue: OrderedDict[JobId, Job] = OrderedDict()

    def _on_queued(self, job: Job) -> None:
        self._queue[job.spec.job_id] = job

    def _on_unqueued(self, job: Job) -> None:
        self._queue.pop(job.spec.job_id, None)

    def _place(self, now: float, limit: int) -> list[Decision]:
        starts: list[Decision] = []
        for job in list(self._queue.values()):
            if job.spec.gang:
                starts.extend(self._start_gang(job, now))
            while not job.spec.gang and job.waiting and len(starts) < limit:
                worker = self._first_fitting_worker(job)
                if worker is None:
                    break
                starts.append(
                    self.start_task(job, worker, self.resources_for(job.spec), now)
                )
            if len(starts) >= limit:
                break
        return starts

    def _first_fitting_worker(self, job: Job) -> Worker | None:
        need = self.resources_for(job.spec)
        for worker in self.fleet.workers_by_vm.values():
            if worker.open and fits(need, worker.free):
                return worker
        return None

    def _start_gang(self, job: Job, now: float) -> list[Decision]:
        if job.tasks:
            self.restart_gang(job)
            return []
        need = self.resources_for(job.spec)
        places = self.fleet.place_gang(need, job.waiting)
        return [self.start_task(job, worker, need, now) for worker in places]
