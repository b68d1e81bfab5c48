"""Classes by urgency, teams by dominant share, gangs, preemption and corrections."""

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
    Lane,
    TeamShares,
)
from arbutusladder.resources import add, dominant_share, fits, scale, subtract
from arbutusladder.states import Reason, TaskEnd, TaskState, Urgency
from arbutusladder.workloadestimates import (
    Corrections,
    higher,
    is_above,
    is_new_peak,
    worst_exceeder,
)

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 300_000
# Urgent work that is expected to start later is refused, so that what is admitted
# starts within the 1.1 s of the design page. The slowest start takes about three
# times the expected wait.
URGENT_WAIT_S = 0.3
# A rate measured while little arrives says nothing about fewer tasks than these.
MIN_URGENT_QUEUE = 2
# Urgent work of a team with a large share comes first after this many seconds
# times the aging steps.
URGENT_AGING_S = 0.05
AGING_CLASSES = frozenset({Urgency.URGENT, Urgency.BATCH})
# Waiting time after which a class may preempt lower ones; batch never does.
PREEMPT_AFTER_S = {Urgency.URGENT: 0.0, Urgency.SERVICE: 0.0, Urgency.NORMAL: 5.0}
# Gangs of one level that are tried in one round.
MAX_GANGS = 8
# Preemptions that are planned in one round.
MAX_PLANS = 32
PREEMPT_INTERVAL_S = 0.1
RESERVATION_INTERVAL_S = 1.0
# Moving ten thousand waiting jobs to another size takes about 140 ms.
RESIZE_INTERVAL_S = 5.0
# Jobs of a lane that are compared to fill a gap before a reservation.
MAX_BACKFILL_JOBS = 16
# Tasks for which one plan makes room on one worker.
MAX_PLANNED_TASKS = 8
# A task that runs longer than expected is taken to need this part of its time more.
OVERRUN_FRACTION = 0.25
# Throttled tasks that are looked at in one round.
MAX_RESUMES = 16
# Time between two actions against the same task, so that lagging usage shows
# the effect of the first.
USAGE_STEP_S = 10.0
# Refusals of a start that speak against the worker.
WORKER_FAULTS = frozenset({Reason.WORKER_REFUSED, Reason.ENDPOINT_REFUSED})


class FairShare(Policy):
    """The policy of section 2.8 of the design page."""

    name = "fairshare"

    def __init__(self, preset, teams_by_name):
        super().__init__(preset, teams_by_name)
        self.corrections = Corrections()
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
        # What all waiting urgent tasks need together.
        self._urgent_need = Resources()
        self._waiting_by_workload: dict[WorkloadName, dict[JobId, Job]] = {}
        self._rate_by_class = {urgency: DrainRate() for urgency in Urgency}
        self._aging: list[tuple[float, int, Job]] = []
        self._racks_by_job: dict[JobId, Counter[str]] = {}
        self._overused: set[VmId] = set()
        # Workloads whose waiting jobs still stand under their former size.
        self._resized: set[WorkloadName] = set()
        self._resize_due_at = -math.inf

    # Reports

    def worker_removed(self, vm: VmId, now: float) -> None:
        """Removes a worker and forgets its failures."""
        if self.quarantine.forget(vm):
            self.fleet.set_quarantined(vm, False)
        super().worker_removed(vm, now)

    def task_started(self, task_id: TaskId, vm: VmId, now: float) -> None:
        """The worker runs a task that was decided."""
        super().task_started(task_id, vm, now)
        self.quarantine.trial_running(vm, task_id, now)

    def task_refused(
        self, task_id: TaskId, vm: VmId, reason: Reason, now: float
    ) -> None:
        """A start did not take effect; the task waits again."""
        task = self._task(task_id, vm)
        if task is None or task.confirmed:
            return
        if reason in WORKER_FAULTS:
            self._worker_failed(task, now)
        else:
            self.quarantine.trial_over(vm, task_id, now)
        super().task_refused(task_id, vm, reason, now)

    def task_ended(
        self, task_id: TaskId, vm: VmId, end: TaskEnd, run_time_s: float, now: float
    ) -> None:
        """A task ended on its worker and no longer holds capacity."""
        task = self._task(task_id, vm)
        if task is None:
            return
        if end is TaskEnd.FINISHED:
            self.corrections.run_ended(task.job.spec.workload, run_time_s)
            if self.quarantine.succeeded(vm, task_id):
                self.fleet.set_quarantined(vm, False)
        elif end is TaskEnd.FAILED:
            self._worker_failed(task, now)
        else:
            self.quarantine.trial_over(vm, task_id, now)
        if task.ending is Reason.USAGE_EXCEEDED:
            task.job.floor = higher(task.job.floor, task.usage or Resources())
        super().task_ended(task_id, vm, end, run_time_s, now)

    def usage_reported(self, task_id: TaskId, usage: Resources, now: float) -> None:
        """Corrects the size of the workload and finds overcommitted workers."""
        super().usage_reported(task_id, usage, now)
        task = self._task(task_id, None)
        if task is None:
            return
        if is_new_peak(task.peak, usage):
            task.peak = higher(task.peak, usage)
            workload = task.job.spec.workload
            if self.corrections.peak_reported(workload, task_id, task.peak):
                self._resized.add(workload)
        settled = now - task.acted_at >= USAGE_STEP_S
        if settled and is_above(usage, task.resources):
            self.resize(task, higher(task.resources, usage))
            worker = self.fleet.workers_by_vm[task.vm]
            if not fits(Resources(), worker.free):
                self._overused.add(task.vm)

    def use_preset(self, preset, teams_by_name, now: float) -> None:
        """Puts another preset and other teams into force."""
        super().use_preset(preset, teams_by_name, now)
        self.teams.teams_by_name = teams_by_name
        self.preemption.preset = preset
        self.classes.use_preset(preset)
        self.quarantine.failures = preset.quarantine_failures
        self._aging.clear()
        for job in list(self.waiting_by_id.values()):
            self._requeue(job)
        self.fleet.touch()

    def _worker_failed(self, task: Task, now: float) -> None:
        """Counts a failure, unless the job fails on other workers as well."""
        job, vm = task.job, task.vm
        suspect = not job.finished and bool(job.failed_vms - {vm})
        job.failed_vms.add(vm)
        if suspect and not self.quarantine.is_trial(vm, task.task_id):
            return
        workers = len(self.fleet.workers_by_vm)
        if self.quarantine.failed(vm, task.task_id, workers, now):
            self.fleet.set_quarantined(vm, True)

    def import_state(self, old: Policy) -> None:
        """Takes every worker, job and task of another policy."""
        super().import_state(old)
        for job in old.waiting_by_id.values():
            if job.spec.urgency is Urgency.URGENT:
                need = scale(job.spec.task_resources, job.waiting)
                self._urgent_need = add(self._urgent_need, need)
        for tasks in self.tasks_by_vm.values():
            for task in tasks.values():
                if task.throttled_cpu:
                    self.preemption.throttled[task.task_id] = task

    # Queues

    def need_of(self, job: JobSpec, floor: Resources | None = None) -> Resources:
        """Returns the corrected size, unless no worker could hold it."""
        need = self.corrections.need(job)
        if floor is not None:
            need = higher(floor, need)
        if need is job.task_resources or self.fleet.holds(need):
            return need
        return job.task_resources

    def _impossible(self, job: JobSpec) -> Refused | None:
        found = super()._impossible(job)
        if found or not self.fleet.worker_count_by_shape:
            return found
        need = scale(job.task_resources, job.tasks if job.gang else 1)
        urgency = job.urgency
        if urgency is not Urgency.URGENT and self.teams.exceeds(job.team, need, True):
            remedy = "make the job smaller or raise the quota of the team"
            return Refused(Reason.OVER_QUOTA, remedy)
        if fits(need, self.fleet.total_known(self.classes.most(urgency))):
            return None
        remedy = (
            f"make the job smaller, raise the ceiling of class {urgency.value} "
            "or lower the reserved shares of other classes"
        )
        return Refused(Reason.CLASS_CEILING, remedy)

    def _limit(self, job: JobSpec, now: float) -> Refused | None:
        urgency = job.urgency
        waiting = self._waiting_by_class[urgency]
        tasks = self.waiting_tasks_by_class[urgency]
        seconds = self._rate_by_class[urgency].seconds_for(tasks, now)
        late = urgency is Urgency.URGENT and seconds > URGENT_WAIT_S
        if late and tasks >= MIN_URGENT_QUEUE and not self._fits_now(job):
            remedy = f"{tasks} urgent tasks wait; submit again later"
        elif waiting < self.class_policy(job).queue_limit:
            return None
        else:
            remedy = f"{waiting} jobs of class {urgency.value} wait; submit again later"
        hint = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, seconds * 1000))
        return Refused(Reason.QUEUE_FULL, remedy, int(hint))

    def _count_waiting(self, job: Job, change: int) -> None:
        super()._count_waiting(job, change)
        if job.spec.urgency is Urgency.URGENT:
            need = scale(job.spec.task_resources, change)
            self._urgent_need = add(self._urgent_need, need)

    def _fits_now(self, job: JobSpec) -> bool:
        """Returns whether urgent work has room for what waits, and a job more."""
        need = add(self._urgent_need, scale(job.task_resources, job.tasks))
        pool = self.fleet.pool_for(job.task_resources)
        return self.classes.blocked(job.urgency, need, pool) is None

    def _queued(self, job: Job) -> None:
        spec = job.spec
        self._waiting_by_class[spec.urgency] += 1
        by_id = self._waiting_by_workload.setdefault(spec.workload, {})
        by_id[spec.job_id] = job
        self._enter_level(job)
        self._watch_age(job)

    def _unqueued(self, job: Job) -> None:
        spec = job.spec
        self._waiting_by_class[spec.urgency] -= 1
        by_id = self._waiting_by_workload[spec.workload]
        del by_id[spec.job_id]
        if not by_id:
            del self._waiting_by_workload[spec.workload]
        self._leave_level(job)
        self.reservations.drop(job)

    def _enter_level(self, job: Job) -> None:
        spec = job.spec
        aged = spec.urgency is Urgency.BATCH and job.aged_steps >= AGING_STEPS
        job.level = Urgency.NORMAL if aged else spec.urgency
        job.tried_at = -1
        if spec.gang:
            self.gangs_by_level[job.level][job.sequence] = job
            return
        need = self.need_of(spec, job.floor)
        job.lane = self.queue_by_level[job.level].add(job, need, self._size(need))

    def _size(self, need: Resources) -> float:
        """Returns the dominant part of the fleet that a task takes."""
        return dominant_share(need, self.fleet.pool_for(need).total)

    def _leave_level(self, job: Job) -> None:
        if job.spec.gang:
            del self.gangs_by_level[job.level][job.sequence]
        else:
            self.queue_by_level[job.level].remove(job, job.lane)

    def _requeue(self, job: Job) -> None:
        self._leave_level(job)
        self._enter_level(job)
        self._watch_age(job)

    def _apply_sizes(self, now: float) -> None:
        """Moves waiting jobs to their corrected size, not after each report."""
        if not self._resized or now < self._resize_due_at:
            return
        self._resize_due_at = now + RESIZE_INTERVAL_S
        for workload in self._resized:
            self._size_changed(workload)
        self._resized.clear()

    def _size_changed(self, workload: WorkloadName) -> None:
        for job in list(self._waiting_by_workload.get(workload, {}).values()):
            self._leave_level(job)
            self._enter_level(job)

    def _patience_s(self, level: Urgency) -> float:
        """Returns the length of an aging step."""
        return URGENT_AGING_S if level is Urgency.URGENT else self.preset.aging_step_s

    def _watch_age(self, job: Job) -> None:
        urgency = job.spec.urgency
        if urgency in AGING_CLASSES and job.aged_steps < AGING_STEPS:
            due = job.submitted_at + (job.aged_steps + 1) * self._patience_s(urgency)
            heapq.heappush(self._aging, (due, job.sequence, job))

    def _age(self, now: float) -> None:
        while self._aging and self._aging[0][0] <= now:
            job = heapq.heappop(self._aging)[2]
            if job.spec.job_id not in self.waiting_by_id:
                continue
            waited = now - job.submitted_at
            steps = int(waited / self._patience_s(job.spec.urgency) + 1e-9)
            if steps > job.aged_steps:
                job.aged_steps = min(AGING_STEPS, steps)
                self._requeue(job)

    # Accounts

    def _share(self, team: TeamName) -> float:
        return self.teams.share(team, self.fleet.total)

    def _reserved(self, task: Task) -> None:
        worker = self.fleet.workers_by_vm[task.vm]
        task.pool, task.rack = self.fleet.pool_of(worker), worker.rack
        self._account(task, task.resources, 1)

    def _released(self, task: Task) -> None:
        if task.job.tasks.get(task.index) is not task:
            self.preemption.released(task)
        self._account(task, subtract(Resources(), task.resources), -1)

    def _account(self, task: Task, change: Resources, sign: int) -> None:
        spec = task.job.spec
        self.teams.change(spec.team, change)
        self.classes.change(spec.urgency, task.pool, change)
        self.preemption.victims.change(task, sign)
        if spec.service:
            racks = self._racks_by_job.setdefault(spec.job_id, Counter())
            racks[task.rack] += sign
        for _, queue, _ in self._levels:
            if queue.lanes:
                queue.team_changed(spec.team)

    def _drop_if_done(self, job: Job) -> None:
        super()._drop_if_done(job)
        if job.removed and not job.tasks:
            self._racks_by_job.pop(job.spec.job_id, None)

    # Decisions

    def _place(self, now: float, limit: int) -> list[Decision]:
        self._age(now)
        self._apply_sizes(now)
        for vm, task_id in self.quarantine.passed(now):
            if self.quarantine.succeeded(vm, task_id):
                self.fleet.set_quarantined(vm, False)
        decisions = self.preemption.overdue(now)
        decisions.extend(self._act_on_usage(now))
        decisions.extend(self._start_trials(now))
        for level, queue, gangs in self._levels:
            if queue.lanes or gangs:
                room = limit - self._kept(level, limit)
                decisions.extend(self._serve(level, now, room - len(decisions)))
            if level is Urgency.SERVICE and self.preemption.throttled:
                decisions.extend(self._resume(limit - len(decisions)))
        if now >= self._reservations_due_at:
            self._reservations_due_at = now + RESERVATION_INTERVAL_S
            self.reservations.assign(self._wanted_reservations(now), now)
        return decisions

    def _serve(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        decisions = self._start_gangs(level, now, limit)
        decisions.extend(self._start_lanes(level, now, limit - len(decisions)))
        if level in PREEMPT_AFTER_S:
            decisions.extend(self._preempt(level, now, limit - len(decisions)))
        return decisions

    def _kept(self, level: Urgency, limit: int) -> int:
        """Returns decisions kept for lower classes with a reserved share."""
        kept = 0
        for urgency in Urgency:
            if RANK_BY_URGENCY[urgency] > RANK_BY_URGENCY[level]:
                reserved = getattr(self.preset, urgency.value).reserved
                if reserved and self._waiting_by_class[urgency]:
                    kept += math.ceil(reserved * limit)
        return min(kept, max(0, limit - 1))

    def _start_lanes(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        starts: list[Decision] = []
        queue = self.queue_by_level[level]
        version = self.fleet.version
        if any(lane.stops_at == version for lane in queue.lanes.values()):
            return starts
        heap = [
            (lane.teams[0][0], number, lane)
            for number, lane in enumerate(queue.lanes.values())
            if lane.blocked_at != version and lane.teams
        ]
        heapq.heapify(heap)
        while heap and len(starts) < limit:
            share, number, lane = heap[0]
            job = lane.head()
            if job is None:
                heapq.heappop(heap)
            elif lane.teams[0][0] > share:
                heapq.heapreplace(heap, (lane.teams[0][0], number, lane))
            elif self._over_quota(job, lane.need):
                job.blocked_by = Reason.OVER_QUOTA
                queue.set_aside(lane, job.spec.team)
            elif start := self._start_one(lane, job, now):
                starts.append(start)
            elif self._stops(lane, job, now):
                lane.stops_at = self.fleet.version
                break
            else:
                heapq.heappop(heap)
        return starts

    def _stops(self, lane: Lane, job: Job, now: float) -> bool:
        """Returns whether smaller tasks must leave the room of a class to a job.

        Services do not end, so waiting for their room could take forever.
        """
        if not lane.no_room or job.level is Urgency.SERVICE:
            return False
        return now - job.submitted_at >= AGING_STEPS * self._patience_s(job.level)

    def _start_one(self, lane: Lane, job: Job, now: float) -> Start | None:
        worker = self._find(lane, job, now)
        if worker is None and self.reservations.by_job:
            job, worker = self._find_held(lane, now)
        if worker is None:
            lane.blocked_at = self.fleet.version
            return None
        return self._start(job, worker, lane.need, now)

    def _start(self, job: Job, worker: Worker, need: Resources, now: float) -> Start:
        job.blocked_by = None
        self._rate_by_class[job.spec.urgency].started(now)
        if not job.spec.gang:
            self.reservations.drop(job)
        return self.start_task(job, worker, need, now)

    def _find(self, lane: Lane, job: Job, now: float) -> Worker | None:
        pool = self.fleet.pool_for(lane.need)
        aged = job.level is not job.spec.urgency
        blocked = self.classes.blocked(lane.urgency, lane.need, pool, aged)
        lane.blocked_by = blocked
        lane.no_room = blocked is not None
        if blocked:
            return None
        worker = self.fleet.find(lane.need, self._racks(job))
        if worker is None:
            lane.blocked_by = Reason.NO_CAPACITY
        return worker

    def _over_quota(self, job: Job, need: Resources) -> bool:
        """Urgent work is bounded by its class only, so that it starts in time."""
        if job.spec.urgency is Urgency.URGENT:
            return False
        return self.teams.exceeds(job.spec.team, need)

    def _start_gangs(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        starts: list[Decision] = []
        gangs = list(islice(self.gangs_by_level[level].values(), MAX_GANGS * 4))
        tried = 0
        for job in gangs:
            if len(starts) >= limit or tried >= MAX_GANGS:
                break
            if job.tasks:
                self.restart_gang(job)
                continue
            if job.tried_at != self.fleet.version:
                starts.extend(self._start_gang(job, now))
            tried += job.blocked_by is Reason.NO_CAPACITY
        return starts

    def _start_gang(self, job: Job, now: float) -> list[Decision]:
        job.tried_at = self.fleet.version
        need = self.need_of(job.spec, job.floor)
        job.blocked_by = self._gang_blocked(job, need)
        if job.blocked_by:
            return []
        held = self.reservations.workers(job)
        places = self.fleet.gang_places(need, job.waiting, held)
        if not places:
            job.blocked_by = Reason.NO_CAPACITY
            return []
        return [self._start(job, worker, need, now) for worker in places]

    def _gang_blocked(self, job: Job, need: Resources) -> Reason | None:
        whole = scale(need, job.waiting)
        if self._over_quota(job, whole):
            return Reason.OVER_QUOTA
        aged = job.level is not job.spec.urgency
        pool = self.fleet.pool_for(need)
        held = Resources()
        for worker in self.reservations.workers(job):
            held = add(held, worker.free)
        return self.classes.blocked(job.spec.urgency, whole, pool, aged, held)

    def _start_trials(self, now: float) -> list[Decision]:
        starts: list[Decision] = []
        for vm in self.quarantine.trial_due(now):
            worker = self.fleet.workers_by_vm.get(vm)
            found = self._trial_job(worker) if worker and worker.available else None
            if found is None:
                continue
            start = self._start(found[0], worker, found[1], now)
            self.quarantine.trial_decided(vm, start.task_id)
            starts.append(start)
        return starts

    def _trial_job(self, worker: Worker) -> tuple[Job, Resources] | None:
        """Returns work of the least urgent class that may be tried again."""
        for level in reversed(Urgency):
            for lane in self.queue_by_level[level].lanes.values():
                job = lane.head()
                if job is None or not job.spec.idempotent:
                    continue
                if fits(lane.need, worker.free) and self.fleet.may_run(
                    lane.need, worker
                ):
                    return (job, lane.need)
        return None

    def _expected_end(self, task: Task, now: float) -> float:
        if task.state is TaskState.BLOCKED:
            return max(now, task.blocked_until)
        run_time = self.corrections.run_time(task.job.spec)
        elapsed = now - task.since
        return now + max(run_time - elapsed, elapsed * OVERRUN_FRACTION)

    def _racks(self, job: Job) -> Counter[str] | None:
        """Returns the tasks of a service by rack; other work need not spread."""
        if not job.spec.service:
            return None
        return self._racks_by_job.get(job.spec.job_id) or Counter()

    def _find_held(self, lane: Lane, now: float) -> tuple[Job | None, Worker | None]:
        """Returns a job and a held worker on which it may start.

        What is free there is not part of what reserves are taken from, so only
        a ceiling keeps a class away.
        """
        if lane.blocked_by is Reason.CLASS_CEILING:
            return (None, None)
        for job in lane.first(MAX_BACKFILL_JOBS):
            if self._over_quota(job, lane.need):
                continue
            own = self.reservations.workers(job)
            run_time = self.corrections.run_time(job.spec)
            worker = self.fleet.best_of(lane.need, own) or self.reservations.backfill(
                lane.need, job, run_time, now
            )
            if worker:
                return (job, worker)
        return (None, None)

    def _wanted_reservations(self, now: float):
        """Returns the most urgent gang without room and the oldest stuck job."""
        wanted = []
        for level in Urgency:
            gangs = islice(self.gangs_by_level[level].values(), MAX_GANGS * 4)
            stuck = [job for job in gangs if job.blocked_by is Reason.NO_CAPACITY]
            if stuck and not wanted:
                wanted.append(self._wish(stuck[0], False))
        oldest = min(self._stuck_long(now), key=_by_sequence, default=None)
        if oldest and not any(oldest is wish[0] for wish in wanted):
            wanted.append(self._wish(oldest, True))
        return wanted

    def _wish(self, job: Job, aged: bool):
        need = self.need_of(job.spec, job.floor)
        return (job, need, job.waiting if job.spec.gang else 1, aged)

    def _stuck_long(self, now: float):
        """Yields the jobs without room that have waited for all aging steps."""
        for level in Urgency:
            latest = now - AGING_STEPS * self._patience_s(level)
            gangs = islice(self.gangs_by_level[level].values(), MAX_GANGS * 4)
            heads = [lane.head() for lane in self.queue_by_level[level].lanes.values()]
            for job in (*gangs, *heads):
                if job is None or job.submitted_at > latest:
                    continue
                if self._blocked_by(job) is Reason.NO_CAPACITY:
                    yield job

    # Preemption and usage

    def _preempt(self, level: Urgency, now: float, limit: int) -> list[Decision]:
        decisions: list[Decision] = []
        plans = 0
        kept = self.preset.preemption_budget // 2 if level is Urgency.NORMAL else 0
        if self.preemption.budget_left(now) <= kept:
            # Half of the budget is for work that cannot wait at all.
            return []
        for lane in list(self.queue_by_level[level].lanes.values()):
            if plans >= MAX_PLANS or len(decisions) >= limit:
                break
            if now - lane.preempted_at < PREEMPT_INTERVAL_S or not lane.teams:
                continue
            if lane.blocked_by is not Reason.NO_CAPACITY:
                continue
            if now - lane.head().submitted_at < PREEMPT_AFTER_S[level]:
                continue
            plans += 1
            decisions.extend(self._make_room(lane, now, limit - len(decisions)))
        return decisions

    def _make_room(self, lane: Lane, now: float, limit: int) -> list[Decision]:
        """Preempts until every task of a lane has room or nothing more may go."""
        decisions: list[Decision] = []
        pool = self.fleet.pool_for(lane.need)
        while len(decisions) < limit and lane.teams:
            if start := self._start_one(lane, lane.head(), now):
                decisions.append(start)
                continue
            expected = self.preemption.expected(lane.key)
            wanted = lane.waiting(expected + MAX_PLANNED_TASKS) - expected
            found = self._find_victims(lane, pool, wanted, now)
            if found is None:
                lane.preempted_at = now
                break
            decisions.extend(self._preempt_tasks(lane, *found, now))
        return decisions

    def _find_victims(self, lane: Lane, pool: Pool, wanted: int, now: float):
        """Returns what makes room for as many of the wanted tasks as possible."""
        count = min(wanted, MAX_PLANNED_TASKS)
        while count > 0:
            need = scale(lane.need, count)
            found = self.preemption.find(need, lane.urgency, pool, self.classes, now)
            if found:
                return found
            count //= 2
        return None

    def _preempt_tasks(
        self, lane: Lane, action: str, worker: Worker, tasks: list[Task], now: float
    ) -> list[Decision]:
        if action == "throttle":
            return [self._throttle(task, now) for task in tasks]
        return self.preemption.end_tasks(
            action, worker, tasks, lane.key, lane.need, now
        )

    def _throttle(self, task: Task, now: float) -> Decision:
        size = self.preemption.throttled_size(task)
        self.resize(task, size)
        task.acted_at = now
        return self.preemption.throttle(task, size.cpu, Reason.PREEMPTED, now)

    def _resume(self, limit: int) -> list[Decision]:
        """Lifts throttles where the room has come back."""
        decisions: list[Decision] = []
        throttled = self.preemption.throttled
        for task in list(islice(throttled.values(), MAX_RESUMES)):
            if len(decisions) >= limit:
                break
            del throttled[task.task_id]
            worker = self.fleet.workers_by_vm[task.vm]
            full = self.need_of(task.job.spec, task.job.floor)
            if not fits(subtract(full, task.resources), worker.free):
                throttled[task.task_id] = task
                continue
            task.throttled_cpu = 0.0
            self.resize(task, full)
            decisions.append(Resume(task.task_id, task.vm))
        return decisions

    def _act_on_usage(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for vm in list(self._overused):
            worker = self.fleet.workers_by_vm.get(vm)
            if worker is None or fits(Resources(), worker.free):
                self._overused.discard(vm)
                continue
            worst = worst_exceeder(self.tasks_by_vm.get(vm, {}).values())
            if worst and now - worst.acted_at >= USAGE_STEP_S:
                worst.acted_at = now
                decisions.append(self._curb(worst, now))
        return decisions

    def _curb(self, task: Task, now: float) -> Decision:
        declared = task.job.spec.task_resources
        if not task.throttled_cpu and task.usage.cpu > declared.cpu > 0:
            size = higher(declared, Resources(0.0, task.usage.memory_mb))
            self.resize(task, size)
            reason = Reason.USAGE_EXCEEDED
            return self.preemption.throttle(task, declared.cpu, reason, now)
        spec = task.job.spec
        may_repeat = spec.idempotent and not spec.gang and task.ending is None
        action = "checkpoint" if may_repeat else "stop"
        return self.preemption.end_task(task, action, Reason.USAGE_EXCEEDED, now)

    # Explanations

    def blocking_reason(self, job: Job, now: float) -> tuple[Reason | None, str]:
        """Returns what keeps a waiting job from starting, and what would help."""
        if held := self.reservations.of(job):
            seconds = max(0.0, held.start_at - now)
            return explain_reservation(len(held.vms), seconds)
        return explain_waiting(job, self._blocked_by(job))

    def _blocked_by(self, job: Job) -> Reason | None:
        if job.spec.gang:
            return job.blocked_by
        lane = self.queue_by_level[job.level].lanes[job.lane]
        if self._over_quota(job, lane.need):
            return Reason.OVER_QUOTA
        return lane.blocked_by

    def position(self, job: Job) -> int:
        """Returns the place of a waiting job in its level, from 1."""
        own = self._order(job)
        jobs = self.waiting_by_id.values()
        return 1 + sum(self._order(j) < own for j in jobs if j.level is job.level)

    def _order(self, job: Job):
        share = self._share(job.spec.team) * (1 - job.aged_steps / AGING_STEPS)
        return (not job.spec.gang, share, job.sequence)


def _by_sequence(job: Job) -> int:
    return job.sequence
