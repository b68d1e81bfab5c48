"""Fair-share scheduling policy.

Orders urgency classes by priority and teams by dominant share. Places gangs as a
whole, preempts lower classes, corrects declared task sizes from reported usage and
quarantines workers on which tasks fail.
"""

import heapq
import math
from collections import Counter
from itertools import islice

from sortedcontainers import SortedDict

from arbutusladder.decisions import Decision, Job, Refused, Resume, Start, Task
from arbutusladder.explain import explain_reservation, explain_waiting
from arbutusladder.fleet import Pool, Worker
from arbutusladder.ids import JobId, TaskId, TeamName, VmId, WorkloadName
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.policies import Policy
from arbutusladder.preemption import RANK_BY_URGENCY, Preemption, Reservations
from arbutusladder.quarantine import Quarantine
from arbutusladder.quotas import (
    AGING_STEPS,
    ClassShares,
    DrainRate,
    FairQueue,
    ShapeQueue,
    TeamShares,
)
from arbutusladder.resources import add, dominant_share, fits, scale, subtract
from arbutusladder.states import Reason, TaskEnd, TaskState, Urgency
from arbutusladder.workloadestimates import (
    WorkloadEstimates,
    elementwise_max,
    exceeds_tolerance,
    is_significant_peak,
    worst_overuser,
)

# Bounds of the retry hint of a refusal because of a full queue.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 300_000
# Urgent jobs with a longer expected wait are refused, so that admitted ones start
# within the objective of 1.1 s. The slowest start takes about three times the
# expected wait.
MAX_URGENT_WAIT_S = 0.3
# Below this many waiting tasks the drain rate is not used for refusals: under light
# load it reflects the arrival rate rather than the capacity.
MIN_URGENT_QUEUE_TASKS = 2
# Length of an aging step of urgent jobs. After AGING_STEPS such steps the share of
# the team no longer delays a job.
URGENT_AGING_STEP_S = 0.05
# Classes whose jobs gain precedence while they wait.
AGING_CLASSES = frozenset({Urgency.URGENT, Urgency.BATCH})
# Waiting time in seconds after which a class may preempt lower classes. Batch never
# preempts.
PREEMPT_AFTER_S = {Urgency.URGENT: 0.0, Urgency.SERVICE: 0.0, Urgency.NORMAL: 5.0}
# Gangs without capacity that are tried per level and scheduling round.
MAX_GANGS_PER_ROUND = 8
# Shape queues for which preemption is planned per level and scheduling round.
MAX_PREEMPTION_PLANS = 32
# Minimum time between two preemption attempts without result for one shape queue.
PREEMPT_INTERVAL_S = 0.1
# Time between two updates of the shadow reservations.
RESERVATION_INTERVAL_S = 1.0
# Minimum time between two requeues of resized workloads. Requeueing ten thousand
# waiting jobs takes about 140 ms.
RESIZE_INTERVAL_S = 5.0
# Jobs of one shape queue that are considered for backfill.
MAX_BACKFILL_JOBS = 16
# Waiting tasks for which one preemption frees capacity on one worker.
MAX_TASKS_PER_PLAN = 8
# A task that overruns its expected run time is assumed to need this fraction of its
# elapsed time in addition.
OVERRUN_FRACTION = 0.25
# Throttled tasks checked for a resume per scheduling round.
MAX_RESUME_CANDIDATES = 16
# Minimum time between two actions against the same task. Usage reports lag, so the
# effect of the first action must become visible before the next.
USAGE_ACTION_INTERVAL_S = 10.0
# Reasons of a refused start that count as a failure of the worker.
WORKER_FAULTS = frozenset({Reason.WORKER_REFUSED, Reason.ENDPOINT_REFUSED})


class FairShare(Policy):
    """Weighted dominant-resource fairness with urgency classes.

    Each class has an optional reserved share and ceiling. Jobs wait in one queue per
    level; the level is the urgency class, except that batch jobs that have aged move
    to the level of normal jobs. Shadow reservations keep gangs and large tasks from
    starving, and shorter jobs backfill the reserved workers. See docs/design.md,
    section 2.8.
    """

    name = "fairshare"

    def __init__(self, preset, teams_by_name):
        super().__init__(preset, teams_by_name)
        self.estimates = WorkloadEstimates()
        self.quarantine = Quarantine(preset.quarantine_failures)
        self.teams = TeamShares(teams_by_name)
        self.classes = ClassShares(preset)
        self.preemption = Preemption(self.fleet, self.tasks_by_vm, preset)
        self.queue_by_level = {
            level: FairQueue(self._share, level is Urgency.BATCH) for level in Urgency
        }
        self.gangs_by_level = {level: SortedDict() for level in Urgency}
        queues, gangs = self.queue_by_level.values(), self.gangs_by_level.values()
        self._levels = list(zip(Urgency, queues, gangs, strict=True))
        self.reservations = Reservations(
            self.fleet, self.tasks_by_vm, self._expected_end
        )
        self._reservations_due_at = -math.inf
        self._waiting_by_class: Counter[Urgency] = Counter()
        # Total resources of all waiting urgent tasks.
        self._urgent_demand = Resources()
        self._waiting_by_workload: dict[WorkloadName, dict[JobId, Job]] = {}
        self._drain_rate_by_class = {urgency: DrainRate() for urgency in Urgency}
        # Heap of (due time, sequence number, job).
        self._aging_events: list[tuple[float, int, Job]] = []
        # Number of running tasks by rack of each service.
        self._racks_by_job: dict[JobId, Counter[str]] = {}
        self._overused_vms: set[VmId] = set()
        # Workloads whose waiting jobs are still queued under their former size.
        self._resized_workloads: set[WorkloadName] = set()
        self._resize_due_at = -math.inf

    # Worker and task reports

    def worker_removed(self, vm: VmId, now: float) -> None:
        """Removes a worker and its failure record."""
        if self.quarantine.forget(vm):
            self.fleet.set_quarantined(vm, False)
        super().worker_removed(vm, now)

    def task_started(self, task_id: TaskId, vm: VmId, now: float) -> None:
        """Marks a task as confirmed by its worker."""
        super().task_started(task_id, vm, now)
        self.quarantine.trial_confirmed(vm, task_id, now)

    def task_refused(
        self, task_id: TaskId, vm: VmId, reason: Reason, now: float
    ) -> None:
        """Requeues a task whose start did not take effect.

        Some reasons count as a failure of the worker.
        """
        task = self._find_task(task_id, vm)
        if task is None or task.confirmed:
            return
        if reason in WORKER_FAULTS:
            self._worker_failed(task, now)
        else:
            self.quarantine.trial_aborted(vm, task_id, now)
        super().task_refused(task_id, vm, reason, now)

    def task_ended(
        self, task_id: TaskId, vm: VmId, end: TaskEnd, run_time_s: float, now: float
    ) -> None:
        """Releases the capacity of a task that ended, and records how it ended."""
        task = self._find_task(task_id, vm)
        if task is None:
            return
        if end is TaskEnd.FINISHED:
            self.estimates.record_run_time(task.job.spec.workload, run_time_s)
            if self.quarantine.record_success(vm, task_id):
                self.fleet.set_quarantined(vm, False)
        elif end is TaskEnd.FAILED:
            self._worker_failed(task, now)
        else:
            self.quarantine.trial_aborted(vm, task_id, now)
        if task.ending is Reason.USAGE_EXCEEDED:
            task.job.min_resources = elementwise_max(
                task.job.min_resources, task.usage or Resources()
            )
        super().task_ended(task_id, vm, end, run_time_s, now)

    def usage_reported(self, task_id: TaskId, usage: Resources, now: float) -> None:
        """Updates the size estimate of the workload and finds overcommitted workers."""
        super().usage_reported(task_id, usage, now)
        task = self._find_task(task_id, None)
        if task is None:
            return
        if is_significant_peak(task.peak, usage):
            task.peak = elementwise_max(task.peak, usage)
            workload = task.job.spec.workload
            if self.estimates.record_peak(workload, task_id, task.peak):
                self._resized_workloads.add(workload)
        settled = now - task.last_action_at >= USAGE_ACTION_INTERVAL_S
        if settled and exceeds_tolerance(usage, task.resources):
            self.resize(task, elementwise_max(task.resources, usage))
            worker = self.fleet.workers_by_vm[task.vm]
            if not fits(Resources(), worker.free):
                self._overused_vms.add(task.vm)

    def use_preset(self, preset, teams_by_name, now: float) -> None:
        """Applies another preset and other teams."""
        super().use_preset(preset, teams_by_name, now)
        self.teams.teams_by_name = teams_by_name
        self.preemption.preset = preset
        self.classes.use_preset(preset)
        self.quarantine.max_failures = preset.quarantine_failures
        self._aging_events.clear()
        for job in list(self.waiting_by_id.values()):
            self._requeue(job)
        self.fleet.invalidate_failed_searches()

    def _worker_failed(self, task: Task, now: float) -> None:
        """Counts a failure of a worker, unless the job itself is the likely cause.

        A job is suspect if none of its tasks has finished and tasks of it failed on
        other workers as well.
        """
        job, vm = task.job, task.vm
        suspect = not job.finished and bool(job.failed_vms - {vm})
        job.failed_vms.add(vm)
        if suspect and not self.quarantine.is_trial(vm, task.task_id):
            return
        workers = len(self.fleet.workers_by_vm)
        if self.quarantine.record_failure(vm, task.task_id, workers, now):
            self.fleet.set_quarantined(vm, True)

    def import_state(self, old: Policy) -> None:
        """Copies every worker, job and task from another policy."""
        super().import_state(old)
        for job in old.waiting_by_id.values():
            if job.spec.urgency is Urgency.URGENT:
                need = scale(job.spec.task_resources, job.waiting)
                self._urgent_demand = add(self._urgent_demand, need)
        for tasks in self.tasks_by_vm.values():
            for task in tasks.values():
                if task.throttled_cpu:
                    self.preemption.throttled[task.task_id] = task

    # Queues

    def resources_for(
        self, job: JobSpec, min_resources: Resources | None = None
    ) -> Resources:
        """Returns the estimated size of a task.

        If the estimate fits no worker, the declared size is returned.
        """
        need = self.estimates.resources_for(job)
        if min_resources is not None:
            need = elementwise_max(min_resources, need)
        if need is job.task_resources or self.fleet.fits_empty_worker(need):
            return need
        return job.task_resources

    def _check_feasible(self, job: JobSpec) -> Refused | None:
        refusal = super()._check_feasible(job)
        if refusal or not self.fleet.worker_count_by_shape:
            return refusal
        need = scale(job.task_resources, job.tasks if job.gang else 1)
        urgency = job.urgency
        if urgency is not Urgency.URGENT and self.teams.exceeds(job.team, need, True):
            remedy = "make the job smaller or raise the quota of the team"
            return Refused(Reason.OVER_QUOTA, remedy)
        if fits(need, self.fleet.total_capacity(self.classes.max_fraction(urgency))):
            return None
        remedy = (
            f"make the job smaller, raise the ceiling of class {urgency.value} "
            "or lower the reserved shares of other classes"
        )
        return Refused(Reason.CLASS_CEILING, remedy)

    def _check_queue_limit(self, job: JobSpec, now: float) -> Refused | None:
        """Returns a refusal if the queue is full or an urgent job would start late."""
        urgency = job.urgency
        waiting = self._waiting_by_class[urgency]
        tasks = self.waiting_tasks_by_class[urgency]
        wait_s = self._drain_rate_by_class[urgency].seconds_for(tasks, now)
        starts_late = urgency is Urgency.URGENT and wait_s > MAX_URGENT_WAIT_S
        if (
            starts_late
            and tasks >= MIN_URGENT_QUEUE_TASKS
            and not self._urgent_work_fits(job)
        ):
            remedy = f"{tasks} urgent tasks wait; submit again later"
        elif waiting < self.class_policy(job).queue_limit:
            return None
        else:
            remedy = f"{waiting} jobs of class {urgency.value} wait; submit again later"
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_s * 1000))
        return Refused(Reason.QUEUE_FULL, remedy, int(retry_after_ms))

    def _count_waiting(self, job: Job, change: int) -> None:
        super()._count_waiting(job, change)
        if job.spec.urgency is Urgency.URGENT:
            need = scale(job.spec.task_resources, change)
            self._urgent_demand = add(self._urgent_demand, need)

    def _urgent_work_fits(self, job: JobSpec) -> bool:
        """Returns whether all waiting urgent tasks and another job fit now."""
        need = add(self._urgent_demand, scale(job.task_resources, job.tasks))
        pool = self.fleet.pool_for(job.task_resources)
        return self.classes.blocking_reason(job.urgency, need, pool) is None

    def _on_queued(self, job: Job) -> None:
        spec = job.spec
        self._waiting_by_class[spec.urgency] += 1
        workload_jobs = self._waiting_by_workload.setdefault(spec.workload, {})
        workload_jobs[spec.job_id] = job
        self._enqueue(job)
        self._schedule_aging(job)

    def _on_unqueued(self, job: Job) -> None:
        spec = job.spec
        self._waiting_by_class[spec.urgency] -= 1
        workload_jobs = self._waiting_by_workload[spec.workload]
        del workload_jobs[spec.job_id]
        if not workload_jobs:
            del self._waiting_by_workload[spec.workload]
        self._dequeue(job)
        self.reservations.cancel(job)

    def _enqueue(self, job: Job) -> None:
        """Adds a waiting job to the queue of its level and task shape."""
        spec = job.spec
        aged = spec.urgency is Urgency.BATCH and job.aged_steps >= AGING_STEPS
        job.level = Urgency.NORMAL if aged else spec.urgency
        job.tried_at_version = -1
        if spec.gang:
            self.gangs_by_level[job.level][job.sequence] = job
            return
        need = self.resources_for(spec, job.min_resources)
        job.queue_key = self.queue_by_level[job.level].add(
            job, need, self._dominant_fraction(need)
        )

    def _dominant_fraction(self, need: Resources) -> float:
        """Returns the dominant fraction of its pool that a task takes."""
        return dominant_share(need, self.fleet.pool_for(need).total)

    def _dequeue(self, job: Job) -> None:
        if job.spec.gang:
            del self.gangs_by_level[job.level][job.sequence]
        else:
            self.queue_by_level[job.level].remove(job, job.queue_key)

    def _requeue(self, job: Job) -> None:
        self._dequeue(job)
        self._enqueue(job)
        self._schedule_aging(job)

    def _apply_resizes(self, now: float) -> None:
        """Requeues waiting jobs of resized workloads, at most once per interval."""
        if not self._resized_workloads or now < self._resize_due_at:
            return
        self._resize_due_at = now + RESIZE_INTERVAL_S
        for workload in self._resized_workloads:
            self._requeue_workload(workload)
        self._resized_workloads.clear()

    def _requeue_workload(self, workload: WorkloadName) -> None:
        for job in list(self._waiting_by_workload.get(workload, {}).values()):
            self._dequeue(job)
            self._enqueue(job)

    def _aging_step_s(self, level: Urgency) -> float:
        """Returns the length of an aging step in seconds."""
        return (
            URGENT_AGING_STEP_S if level is Urgency.URGENT else self.preset.aging_step_s
        )

    def _schedule_aging(self, job: Job) -> None:
        urgency = job.spec.urgency
        if urgency in AGING_CLASSES and job.aged_steps < AGING_STEPS:
            due = job.submitted_at + (job.aged_steps + 1) * self._aging_step_s(urgency)
            heapq.heappush(self._aging_events, (due, job.sequence, job))

    def _apply_aging(self, now: float) -> None:
        """Raises the aging steps of waiting jobs that are due and requeues them."""
        while self._aging_events and self._aging_events[0][0] <= now:
            job = heapq.heappop(self._aging_events)[2]
            if job.spec.job_id not in self.waiting_by_id:
                continue
            waited = now - job.submitted_at
            steps = int(waited / self._aging_step_s(job.spec.urgency) + 1e-9)
            if steps > job.aged_steps:
                job.aged_steps = min(AGING_STEPS, steps)
                self._requeue(job)

    # Usage accounting

    def _share(self, team: TeamName) -> float:
        return self.teams.share(team, self.fleet.total)

    def _on_reserved(self, task: Task) -> None:
        worker = self.fleet.workers_by_vm[task.vm]
        task.pool, task.rack = self.fleet.pool_of(worker), worker.rack
        self._update_usage(task, task.resources, 1)

    def _on_released(self, task: Task) -> None:
        if task.job.tasks.get(task.index) is not task:
            self.preemption.task_released(task)
        self._update_usage(task, subtract(Resources(), task.resources), -1)

    def _update_usage(self, task: Task, change: Resources, sign: int) -> None:
        """Adds (sign 1) or removes (sign -1) a task in all usage accounts."""
        spec = task.job.spec
        self.teams.adjust(spec.team, change)
        self.classes.adjust(spec.urgency, task.pool, change)
        self.preemption.victims.adjust(task, sign)
        if spec.service:
            racks = self._racks_by_job.setdefault(spec.job_id, Counter())
            racks[task.rack] += sign
        for _, queue, _ in self._levels:
            if queue.shape_queues:
                queue.team_changed(spec.team)

    def _remove_if_done(self, job: Job) -> None:
        super()._remove_if_done(job)
        if job.removed and not job.tasks:
            self._racks_by_job.pop(job.spec.job_id, None)

    # Decisions

    def _place(self, now: float, limit: int) -> list[Decision]:
        """Runs one scheduling round."""
        self._apply_aging(now)
        self._apply_resizes(now)
        for vm, task_id in self.quarantine.passed_trials(now):
            if self.quarantine.record_success(vm, task_id):
                self.fleet.set_quarantined(vm, False)
        decisions = self.preemption.stop_overdue(now)
        decisions.extend(self._act_on_usage(now))
        decisions.extend(self._start_trials(now))
        for level, queue, gangs in self._levels:
            if queue.shape_queues or gangs:
                level_limit = limit - self._decisions_for_lower_classes(level, limit)
                decisions.extend(
                    self._schedule_level(level, now, level_limit - len(decisions))
                )
            if level is Urgency.SERVICE and self.preemption.throttled:
                decisions.extend(self._resume_throttled(limit - len(decisions)))
        if now >= self._reservations_due_at:
            self._reservations_due_at = now + RESERVATION_INTERVAL_S
            self.reservations.assign(self._requested_reservations(now), now)
        return decisions

    def _schedule_level(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        """Starts gangs, then other jobs, of a level and preempts lower classes."""
        decisions = self._start_gangs(level, now, limit)
        decisions.extend(self._start_from_queues(level, now, limit - len(decisions)))
        if level in PREEMPT_AFTER_S:
            decisions.extend(self._preempt(level, now, limit - len(decisions)))
        return decisions

    def _decisions_for_lower_classes(self, level: Urgency, limit: int) -> int:
        """Returns the number of decisions kept for lower classes with reserves."""
        reserved_decisions = 0
        for urgency in Urgency:
            if RANK_BY_URGENCY[urgency] > RANK_BY_URGENCY[level]:
                reserved = getattr(self.preset, urgency.value).reserved
                if reserved and self._waiting_by_class[urgency]:
                    reserved_decisions += math.ceil(reserved * limit)
        return min(reserved_decisions, max(0, limit - 1))

    def _start_from_queues(
        self, level: Urgency, now: float, limit: int
    ) -> list[Decision]:
        """Starts tasks of non-gang jobs in fair-share order."""
        starts: list[Decision] = []
        queue = self.queue_by_level[level]
        version = self.fleet.version
        if any(
            shape_queue.exclusive_at_version == version
            for shape_queue in queue.shape_queues.values()
        ):
            return starts
        heap = [
            (shape_queue.teams[0][0], number, shape_queue)
            for number, shape_queue in enumerate(queue.shape_queues.values())
            if shape_queue.blocked_at_version != version and shape_queue.teams
        ]
        heapq.heapify(heap)
        while heap and len(starts) < limit:
            share, number, shape_queue = heap[0]
            job = shape_queue.head()
            if job is None:
                heapq.heappop(heap)
            elif shape_queue.teams[0][0] > share:
                heapq.heapreplace(heap, (shape_queue.teams[0][0], number, shape_queue))
            elif self._over_quota(job, shape_queue.need):
                job.blocked_by = Reason.OVER_QUOTA
                queue.skip_team(shape_queue, job.spec.team)
            elif start := self._start_next(shape_queue, job, now):
                starts.append(start)
            elif self._blocks_smaller_tasks(shape_queue, job, now):
                shape_queue.exclusive_at_version = self.fleet.version
                break
            else:
                heapq.heappop(heap)
        return starts

    def _blocks_smaller_tasks(
        self, shape_queue: ShapeQueue, job: Job, now: float
    ) -> bool:
        """Returns whether a job blocks the smaller tasks of its level.

        This applies to aged jobs whose class has no capacity left: smaller tasks
        would otherwise take all capacity that becomes free. It excludes services,
        which do not end, so their capacity may never become free.
        """
        if not shape_queue.class_full or job.level is Urgency.SERVICE:
            return False
        return now - job.submitted_at >= AGING_STEPS * self._aging_step_s(job.level)

    def _start_next(
        self, shape_queue: ShapeQueue, job: Job, now: float
    ) -> Start | None:
        worker = self._find_open_worker(shape_queue, job, now)
        if worker is None and self.reservations.by_job:
            job, worker = self._find_held_worker(shape_queue, now)
        if worker is None:
            shape_queue.blocked_at_version = self.fleet.version
            return None
        return self._start_job_task(job, worker, shape_queue.need, now)

    def _start_job_task(
        self, job: Job, worker: Worker, need: Resources, now: float
    ) -> Start:
        job.blocked_by = None
        self._drain_rate_by_class[job.spec.urgency].started(now)
        if not job.spec.gang:
            self.reservations.cancel(job)
        return self.start_task(job, worker, need, now)

    def _find_open_worker(
        self, shape_queue: ShapeQueue, job: Job, now: float
    ) -> Worker | None:
        pool = self.fleet.pool_for(shape_queue.need)
        aged = job.level is not job.spec.urgency
        blocked = self.classes.blocking_reason(
            shape_queue.urgency, shape_queue.need, pool, aged
        )
        shape_queue.blocked_by = blocked
        shape_queue.class_full = blocked is not None
        if blocked:
            return None
        worker = self.fleet.find_worker(shape_queue.need, self._tasks_by_rack(job))
        if worker is None:
            shape_queue.blocked_by = Reason.NO_CAPACITY
        return worker

    def _over_quota(self, job: Job, need: Resources) -> bool:
        """Returns whether a need would exceed the quota of the team.

        Urgent jobs are limited by their class only, so that they start in time.
        """
        if job.spec.urgency is Urgency.URGENT:
            return False
        return self.teams.exceeds(job.spec.team, need)

    def _start_gangs(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        """Starts the gangs of a level that fit, in order of arrival."""
        starts: list[Decision] = []
        gangs = list(
            islice(self.gangs_by_level[level].values(), MAX_GANGS_PER_ROUND * 4)
        )
        without_capacity = 0
        for job in gangs:
            if len(starts) >= limit or without_capacity >= MAX_GANGS_PER_ROUND:
                break
            if job.tasks:
                self.restart_gang(job)
                continue
            if job.tried_at_version != self.fleet.version:
                starts.extend(self._start_gang(job, now))
            without_capacity += job.blocked_by is Reason.NO_CAPACITY
        return starts

    def _start_gang(self, job: Job, now: float) -> list[Decision]:
        job.tried_at_version = self.fleet.version
        need = self.resources_for(job.spec, job.min_resources)
        job.blocked_by = self._gang_blocking_reason(job, need)
        if job.blocked_by:
            return []
        held_workers = self.reservations.workers(job)
        workers = self.fleet.place_gang(need, job.waiting, held_workers)
        if not workers:
            job.blocked_by = Reason.NO_CAPACITY
            return []
        return [self._start_job_task(job, worker, need, now) for worker in workers]

    def _gang_blocking_reason(self, job: Job, need: Resources) -> Reason | None:
        """Returns the quota or class limit that blocks a gang, or None."""
        gang_need = scale(need, job.waiting)
        if self._over_quota(job, gang_need):
            return Reason.OVER_QUOTA
        aged = job.level is not job.spec.urgency
        pool = self.fleet.pool_for(need)
        held_free = Resources()
        for worker in self.reservations.workers(job):
            held_free = add(held_free, worker.free)
        return self.classes.blocking_reason(
            job.spec.urgency, gang_need, pool, aged, held_free
        )

    def _start_trials(self, now: float) -> list[Decision]:
        """Starts one task on each quarantined worker that is due for a trial."""
        starts: list[Decision] = []
        for vm in self.quarantine.workers_due_for_trial(now):
            worker = self.fleet.workers_by_vm.get(vm)
            job_and_need = (
                self._trial_job(worker) if worker and worker.available else None
            )
            if job_and_need is None:
                continue
            start = self._start_job_task(job_and_need[0], worker, job_and_need[1], now)
            self.quarantine.trial_assigned(vm, start.task_id)
            starts.append(start)
        return starts

    def _trial_job(self, worker: Worker) -> tuple[Job, Resources] | None:
        """Returns an idempotent job of the lowest class that fits, and its size."""
        for level in reversed(Urgency):
            for shape_queue in self.queue_by_level[level].shape_queues.values():
                job = shape_queue.head()
                if job is None or not job.spec.idempotent:
                    continue
                if fits(shape_queue.need, worker.free) and self.fleet.is_eligible(
                    shape_queue.need, worker
                ):
                    return (job, shape_queue.need)
        return None

    def _expected_end(self, task: Task, now: float) -> float:
        """Returns the expected end time of a task in seconds."""
        if task.state is TaskState.BLOCKED:
            return max(now, task.blocked_until)
        run_time_s = self.estimates.expected_run_time_s(task.job.spec)
        elapsed_s = now - task.started_at
        return now + max(run_time_s - elapsed_s, elapsed_s * OVERRUN_FRACTION)

    def _tasks_by_rack(self, job: Job) -> Counter[str] | None:
        """Returns the number of tasks by rack for a service, None for other jobs.

        Only services are spread over racks.
        """
        if not job.spec.service:
            return None
        return self._racks_by_job.get(job.spec.job_id) or Counter()

    def _find_held_worker(
        self, shape_queue: ShapeQueue, now: float
    ) -> tuple[Job | None, Worker | None]:
        """Returns a job and a held worker on which it may start.

        The capacity of held workers does not count towards the reserved shares of
        classes, so only a ceiling excludes a class here.
        """
        if shape_queue.blocked_by is Reason.CLASS_CEILING:
            return (None, None)
        for job in shape_queue.first_jobs(MAX_BACKFILL_JOBS):
            if self._over_quota(job, shape_queue.need):
                continue
            own_workers = self.reservations.workers(job)
            run_time_s = self.estimates.expected_run_time_s(job.spec)
            worker = self.fleet.best_fit(
                shape_queue.need, own_workers
            ) or self.reservations.backfill(shape_queue.need, job, run_time_s, now)
            if worker:
                return (job, worker)
        return (None, None)

    def _requested_reservations(self, now: float):
        """Returns reservation requests for a gang and for the oldest blocked job.

        The gang is the first one without capacity in the most urgent level.
        """
        requests = []
        for level in Urgency:
            gangs = islice(self.gangs_by_level[level].values(), MAX_GANGS_PER_ROUND * 4)
            blocked = [job for job in gangs if job.blocked_by is Reason.NO_CAPACITY]
            if blocked and not requests:
                requests.append(self._reservation_request(blocked[0], False))
        oldest = min(self._aged_blocked_jobs(now), key=_by_sequence, default=None)
        if oldest and not any(oldest is request[0] for request in requests):
            requests.append(self._reservation_request(oldest, True))
        return requests

    def _reservation_request(self, job: Job, aged: bool):
        need = self.resources_for(job.spec, job.min_resources)
        return (job, need, job.waiting if job.spec.gang else 1, aged)

    def _aged_blocked_jobs(self, now: float):
        """Yields jobs without capacity that have waited for all aging steps."""
        for level in Urgency:
            submitted_before = now - AGING_STEPS * self._aging_step_s(level)
            gangs = islice(self.gangs_by_level[level].values(), MAX_GANGS_PER_ROUND * 4)
            heads = [
                shape_queue.head()
                for shape_queue in self.queue_by_level[level].shape_queues.values()
            ]
            for job in (*gangs, *heads):
                if job is None or job.submitted_at > submitted_before:
                    continue
                if self._blocked_by(job) is Reason.NO_CAPACITY:
                    yield job

    # Preemption and usage

    def _preempt(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        """Preempts lower classes for the blocked shape queues of a level."""
        decisions: list[Decision] = []
        plans = 0
        budget_reserve = (
            self.preset.preemption_budget // 2 if level is Urgency.NORMAL else 0
        )
        if self.preemption.budget_left(now) <= budget_reserve:
            # Half of the budget is kept for classes that preempt without waiting.
            return []
        for shape_queue in list(self.queue_by_level[level].shape_queues.values()):
            if plans >= MAX_PREEMPTION_PLANS or len(decisions) >= limit:
                break
            if (
                now - shape_queue.preempted_at < PREEMPT_INTERVAL_S
                or not shape_queue.teams
            ):
                continue
            if shape_queue.blocked_by is not Reason.NO_CAPACITY:
                continue
            if now - shape_queue.head().submitted_at < PREEMPT_AFTER_S[level]:
                continue
            plans += 1
            decisions.extend(
                self._preempt_for(shape_queue, now, limit - len(decisions))
            )
        return decisions

    def _preempt_for(
        self, shape_queue: ShapeQueue, now: float, limit: int
    ) -> list[Decision]:
        """Starts tasks of a shape queue and preempts tasks of lower classes for it."""
        decisions: list[Decision] = []
        pool = self.fleet.pool_for(shape_queue.need)
        while len(decisions) < limit and shape_queue.teams:
            if start := self._start_next(shape_queue, shape_queue.head(), now):
                decisions.append(start)
                continue
            expected = self.preemption.expected_slots(shape_queue.key)
            max_tasks = (
                shape_queue.count_waiting(expected + MAX_TASKS_PER_PLAN) - expected
            )
            preemption = self._find_victims(shape_queue, pool, max_tasks, now)
            if preemption is None:
                shape_queue.preempted_at = now
                break
            decisions.extend(self._preempt_tasks(shape_queue, *preemption, now))
        return decisions

    def _find_victims(
        self, shape_queue: ShapeQueue, pool: Pool, max_tasks: int, now: float
    ):
        """Returns action, worker and victims that free capacity for the most tasks."""
        count = min(max_tasks, MAX_TASKS_PER_PLAN)
        while count > 0:
            need = scale(shape_queue.need, count)
            found = self.preemption.find_victims(
                need, shape_queue.urgency, pool, self.classes, now
            )
            if found:
                return found
            count //= 2
        return None

    def _preempt_tasks(
        self,
        shape_queue: ShapeQueue,
        action: str,
        worker: Worker,
        tasks: list[Task],
        now: float,
    ) -> list[Decision]:
        if action == "throttle":
            return [self._throttle(task, now) for task in tasks]
        return self.preemption.end_tasks(
            action, worker, tasks, shape_queue.key, shape_queue.need, now
        )

    def _throttle(self, task: Task, now: float) -> Decision:
        size = self.preemption.throttled_size(task)
        self.resize(task, size)
        task.last_action_at = now
        return self.preemption.throttle(task, size.cpu, Reason.PREEMPTED, now)

    def _resume_throttled(self, limit: int) -> list[Decision]:
        """Resumes throttled tasks whose full size fits their worker again."""
        decisions: list[Decision] = []
        throttled = self.preemption.throttled
        for task in list(islice(throttled.values(), MAX_RESUME_CANDIDATES)):
            if len(decisions) >= limit:
                break
            del throttled[task.task_id]
            worker = self.fleet.workers_by_vm[task.vm]
            full = self.resources_for(task.job.spec, task.job.min_resources)
            if not fits(subtract(full, task.resources), worker.free):
                throttled[task.task_id] = task
                continue
            task.throttled_cpu = 0.0
            self.resize(task, full)
            decisions.append(Resume(task.task_id, task.vm))
        return decisions

    def _act_on_usage(self, now: float) -> list[Decision]:
        """Limits the worst overuser on each overcommitted worker."""
        decisions: list[Decision] = []
        for vm in list(self._overused_vms):
            worker = self.fleet.workers_by_vm.get(vm)
            if worker is None or fits(Resources(), worker.free):
                self._overused_vms.discard(vm)
                continue
            worst = worst_overuser(self.tasks_by_vm.get(vm, {}).values())
            if worst and now - worst.last_action_at >= USAGE_ACTION_INTERVAL_S:
                worst.last_action_at = now
                decisions.append(self._limit_overuse(worst, now))
        return decisions

    def _limit_overuse(self, task: Task, now: float) -> Decision:
        """Throttles a task to its declared cores, or ends it if that cannot help."""
        declared = task.job.spec.task_resources
        if not task.throttled_cpu and task.usage.cpu > declared.cpu > 0:
            size = elementwise_max(declared, Resources(0.0, task.usage.memory_mb))
            self.resize(task, size)
            reason = Reason.USAGE_EXCEEDED
            return self.preemption.throttle(task, declared.cpu, reason, now)
        spec = task.job.spec
        can_restart = spec.idempotent and not spec.gang and task.ending is None
        action = "checkpoint" if can_restart else "stop"
        return self.preemption.end_task(task, action, Reason.USAGE_EXCEEDED, now)

    # Explanations

    def blocking_reason(self, job: Job, now: float) -> tuple[Reason | None, str]:
        """Returns why a waiting job cannot start, and a remedy."""
        if reservation := self.reservations.for_job(job):
            seconds = max(0.0, reservation.start_at - now)
            return explain_reservation(len(reservation.vms), seconds)
        return explain_waiting(job, self._blocked_by(job))

    def _blocked_by(self, job: Job) -> Reason | None:
        if job.spec.gang:
            return job.blocked_by
        shape_queue = self.queue_by_level[job.level].shape_queues[job.queue_key]
        if self._over_quota(job, shape_queue.need):
            return Reason.OVER_QUOTA
        return shape_queue.blocked_by

    def position(self, job: Job) -> int:
        """Returns the position of a waiting job in its level, from 1."""
        own_key = self._sort_key(job)
        jobs = self.waiting_by_id.values()
        return 1 + sum(
            self._sort_key(j) < own_key for j in jobs if j.level is job.level
        )

    def _sort_key(self, job: Job):
        """Returns the order in a level: gangs first, then by aged share and arrival."""
        share = self._share(job.spec.team) * (1 - job.aged_steps / AGING_STEPS)
        return (not job.spec.gang, share, job.sequence)


def _by_sequence(job: Job) -> int:
    return job.sequence
