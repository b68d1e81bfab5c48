"""Random mixed workloads of the users' larger cells, reproducible by seed."""

import math
import random
import zlib
from dataclasses import dataclass, field

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR, critical_path_s
from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.states import EndKind, JobPhase
from arbutusladder.messages import QueueTerms, Resources, StepSpec
from tests.cell import workloads

# Share of a job's value that it still earns when late.
LATE_VALUE_SHARE = 0.2


@dataclass(frozen=True)
class JobKind:
    """A kind of job: its queue and the means of its random properties.

    Attributes:
        terms: Terms of the queue.
        rate: Jobs per second.
        steps: Steps of a job.
        width: Tasks of a step.
        cpu: Cores of a task.
        memory_mb: Memory of a task in megabytes.
        work_s: Duration of a task in seconds.
        value: Value of a job of average size.
        permitted_share: Share of the workers on which the advice service permits a
            step.
        estimate_error: Twice the standard deviation of the logarithm of the ratio of
            estimated to actual duration.
        gang: Share of the jobs whose steps are gangs.
    """

    terms: QueueTerms
    rate: float
    steps: float
    width: float
    cpu: float
    memory_mb: float
    work_s: float
    value: float
    permitted_share: float
    estimate_error: float
    gang: float = 0.0


def _advised_queue(name, priority, stretch, objective_s, attempts, advice):
    decision_s, each_s, validity_s = advice
    return workloads.queue(
        name,
        priority,
        stretch,
        objective_s,
        max_attempts=attempts,
        advice_s=decision_s,
        advice_each_s=each_s,
        advice_validity_s=validity_s,
    )


# Jobs of rolgeld on 176 workers of 64 cores each.
LARGE_CELL_KINDS = [
    JobKind(
        _advised_queue("residuals", 1, 2.2, 1.0, 3, (0.702, 0.01, 1.5)),
        *(1.9, 1.2, 20, 18.0, 18000.0, 6.2, 13.4, 0.25, 0.5, 1.0),
    ),
    JobKind(
        _advised_queue("audits", 2, 4.0, 3.0, 2, (0.104, 0.00143, 1.5)),
        *(6.16, 1.5, 25, 6.9, 10000.0, 2.2, 2.59, 0.45, 0.9),
    ),
    JobKind(
        _advised_queue("quotes", 0, 1.5, 0.25, 2, (0.0117, 0.000169, 1.5)),
        *(55.0, 1.0, 3.2, 9.9, 18000.0, 0.8, 0.405, 0.7, 0.2, 0.3),
    ),
]

# Jobs of deployment 2 of docs/hard-load.md, on 176 workers of 64 cores and 256 GB.
UNEVEN_CELL_KINDS = [
    JobKind(
        _advised_queue("residuals", 1, 2.2, 1.0, 3, (0.702, 0.01, 1.5)),
        *(2.1, 1.0, 20, 18.0, 18000.0, 4.2, 13.4, 0.25, 0.9, 1.0),
    ),
    JobKind(
        _advised_queue("audits", 2, 4.0, 3.0, 2, (0.104, 0.00143, 1.5)),
        *(3.5, 1.0, 25, 6.9, 10000.0, 2.9, 2.59, 0.45, 0.9),
    ),
    JobKind(
        _advised_queue("quotes", 0, 1.5, 0.254, 2, (0.0117, 0.000169, 1.5)),
        *(48.0, 1.0, 3.0, 9.9, 9000.0, 0.68, 0.405, 0.7, 0.2, 0.3),
    ),
]
# Speeds of its workers, which are drawn by worker.
UNEVEN_SPEEDS = (0.6, 1.0, 1.6)


def draw_speeds(seed, entries, speeds):
    """Returns the speed of each worker, drawn evenly from a few speeds."""
    rng = random.Random(seed)
    return {entry.vm: rng.choice(speeds) for entry in entries}


@dataclass
class SimulationResult:
    """Result of a simulated workload.

    Attributes:
        seconds: Seconds with arrivals.
        advice_s: Total duration of all calls to the advice service in seconds.
        value_by_queue: Earned and possible value of each queue.
        jobs_by_queue: Numbers of the jobs in time, late and without value of each
            queue, of those submitted after the warm-up.
        simulation: The simulation at its end.
    """

    seconds: float
    advice_s: float = 0.0
    value_by_queue: dict = field(default_factory=dict)
    jobs_by_queue: dict = field(default_factory=dict)
    simulation: Simulation | None = None

    def late_share(self, queue):
        """Returns the share of a queue's jobs that did not end in time."""
        jobs = self.jobs_by_queue[queue]
        return 1.0 - jobs[0] / sum(jobs)

    def earned_share(self, queue):
        """Returns the share of a queue's value that was earned."""
        earned, possible = self.value_by_queue[queue]
        return earned / possible

    def total_earned_share(self):
        """Returns the share of the total value that was earned."""
        totals = list(self.value_by_queue.values())
        return sum(p[0] for p in totals) / sum(p[1] for p in totals)


def _draw_lognormal(rng, mean, spread, maximum):
    value = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return min(value, maximum)


def _draw_job(rng, number, kind):
    count = max(1, min(3, round(_draw_lognormal(rng, kind.steps, 0.4, 3))))
    cpu = _draw_lognormal(rng, kind.cpu, 0.45, kind.cpu * 2)
    need = Resources(round(cpu, 1), _draw_lognormal(rng, kind.memory_mb, 0.5, 37000.0))
    gang = rng.random() < kind.gang
    durations, steps = [], []
    for step in range(count):
        width = max(1, round(_draw_lognormal(rng, kind.width, 0.8, kind.width * 6)))
        seconds = _draw_lognormal(rng, kind.work_s, 0.5, kind.work_s * 2.5)
        estimate = seconds * math.exp(rng.gauss(0, kind.estimate_error / 2))
        after = [step - 1] if step else []
        steps.append(StepSpec(width, need, estimate, after, gang=gang))
        durations.append(seconds)
    return workloads.job(number, kind.terms, *steps), durations


def simulate(
    kinds,
    seed,
    seconds,
    surge=None,
    workers=176,
    callers=28,
    speeds=(1.0,),
    memory_mb=131072.0,
    warm_up_s=0.0,
):
    """Simulates a mixed workload.

    Args:
        kinds: Kinds of jobs.
        seed: Seed of all random numbers.
        seconds: Seconds with arrivals.
        surge: Queue, rate factor, first and last second of each surge.
        workers: Number of workers.
        callers: Number of concurrent calls to the advice service.
        speeds: Speeds from which that of each worker is drawn.
        memory_mb: Memory of a worker in megabytes.
        warm_up_s: Seconds from the start whose jobs are not counted by lateness.

    Returns:
        The result.
    """
    entries = workloads.workers(workers, memory_mb=memory_mb, rack=8)
    speed_by_vm = draw_speeds(seed, entries, speeds)
    rng = random.Random(seed)
    durations_by_job, plan = {}, []
    number = 0
    for kind in kinds:
        times = workloads.arrivals(rng.random(), kind.rate, seconds)
        for queue, factor, first, last in surge or ():
            if queue == kind.terms.name:
                extra_rate = kind.rate * (factor - 1)
                times += workloads.arrivals(
                    rng.random(), extra_rate, last - first, first
                )
        for when in times:
            number += 1
            record, durations = _draw_job(rng, number, kind)
            durations_by_job[record.job_id] = durations
            plan.append((when, kind, record))

    def duration(task, vm):
        job_id, _, step, index = task.split(".")
        spread = random.Random(f"{task}")
        seconds = durations_by_job[job_id][int(step)] * spread.uniform(0.85, 1.15)
        return seconds / speed_by_vm[vm]

    permitted_share_by_queue = {kind.terms.name: kind.permitted_share for kind in kinds}
    queue_by_job = {record.job_id: kind.terms.name for _, kind, record in plan}

    def permits(stage, vm):
        share = permitted_share_by_queue[queue_by_job[stage.split(".")[0]]]
        return zlib.crc32(f"{stage}/{vm}".encode()) % 1000 < share * 1000

    simulation = Simulation(
        entries,
        duration,
        lambda task, vm: EndKind.DONE,
        permits,
        callers,
    )
    for when, _, record in plan:
        simulation.submit_at(when, record)
    longest = max(
        LATE_OBJECTIVE_FACTOR * _objective_s(r, durations_by_job) for _, _, r in plan
    )
    simulation.run(seconds + min(longest, 20.0))
    return _evaluate(seconds, plan, durations_by_job, simulation, warm_up_s)


def _objective_s(record, durations_by_job):
    steps = [
        with_actual_duration(step, seconds)
        for step, seconds in zip(
            record.steps, durations_by_job[record.job_id], strict=True
        )
    ]
    actual = workloads.job(0, record.queue, *steps)
    return record.queue.stretch * critical_path_s(actual) + record.queue.objective_s


def with_actual_duration(step, seconds):
    """Returns a copy of a step with its actual duration as the estimate."""
    return StepSpec(step.count, step.need, seconds, step.after, gang=step.gang)


def _evaluate(seconds, plan, durations_by_job, simulation, warm_up_s):
    result = SimulationResult(seconds, simulation.advice_s, simulation=simulation)
    core_seconds_by_queue = {}
    for _, _kind, record in plan:
        core_seconds_by_queue.setdefault(record.queue.name, []).append(
            _core_seconds(record, durations_by_job)
        )
    for when, kind, record in plan:
        queue_core_seconds = core_seconds_by_queue[record.queue.name]
        share = _core_seconds(record, durations_by_job) / (
            sum(queue_core_seconds) / len(queue_core_seconds)
        )
        possible = kind.value * min(4.0, 0.3 + 0.7 * share)
        turnaround = simulation.turnaround_s(record.job_id)
        objective = _objective_s(record, durations_by_job)
        earned, outcome = 0.0, 2
        done = simulation.phase_by_job.get(record.job_id) is JobPhase.COMPLETED
        if done and turnaround <= objective:
            earned, outcome = possible, 0
        elif done and turnaround <= LATE_OBJECTIVE_FACTOR * objective:
            earned, outcome = possible * LATE_VALUE_SHARE, 1
        totals = result.value_by_queue.setdefault(record.queue.name, [0.0, 0.0])
        totals[0] += earned
        totals[1] += possible
        jobs = result.jobs_by_queue.setdefault(record.queue.name, [0, 0, 0])
        jobs[outcome] += when >= warm_up_s
    return result


def _core_seconds(record, durations_by_job):
    return sum(
        step.count * step.need.cpu * seconds
        for step, seconds in zip(
            record.steps, durations_by_job[record.job_id], strict=True
        )
    )
