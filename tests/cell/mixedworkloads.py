"""Mixed loads of the users' larger cells, drawn from a seed."""

import math
import random
import zlib
from dataclasses import dataclass, field

from arbutusladder.cell.simulation import Simulation
from arbutusladder.cell.stages import LATE_OBJECTIVE_FACTOR, critical_path_s
from arbutusladder.cell.states import EndKind, JobPhase
from arbutusladder.messages import QueueTerms, Resources, StepSpec
from tests.cell import workloads

# Share of a job's worth that it still has when late.
LATE_WORTH = 0.2


@dataclass(frozen=True)
class Kind:
    """One kind of job: means of its figures, and its queue.

    Attributes:
        rate: Jobs a second.
        good: Share of the workers that advice lets run a step.
        error: Factor by which estimates are off, as a logarithmic spread.
    """

    terms: QueueTerms
    rate: float
    steps: float
    width: float
    cpu: float
    memory_mb: float
    work_s: float
    worth: float
    good: float
    error: float
    gang: float = 0.0


def _terms(name, priority, stretch, objective_s, attempts, advice):
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


# Rolgeld on 176 workers of 64 cores.
GROWN_RATES = [
    Kind(
        _terms("residuals", 1, 2.2, 1.0, 3, (0.702, 0.01, 1.5)),
        *(1.9, 1.2, 20, 18.0, 18000.0, 6.2, 13.4, 0.25, 0.5, 1.0),
    ),
    Kind(
        _terms("audits", 2, 4.0, 3.0, 2, (0.104, 0.00143, 1.5)),
        *(6.16, 1.5, 25, 6.9, 10000.0, 2.2, 2.59, 0.45, 0.9),
    ),
    Kind(
        _terms("quotes", 0, 1.5, 0.25, 2, (0.0117, 0.000169, 1.5)),
        *(55.0, 1.0, 3.2, 9.9, 18000.0, 0.8, 0.405, 0.7, 0.2, 0.3),
    ),
]


@dataclass
class Day:
    """A load, and what became of it.

    Attributes:
        worth_by_queue: Earned and owed worth.
        advice_s: Seconds that all calls for advice took.
    """

    seconds: float
    advice_s: float = 0.0
    worth_by_queue: dict = field(default_factory=dict)

    def share(self, queue):
        """Returns the share of a queue's worth that was earned."""
        earned, owed = self.worth_by_queue[queue]
        return earned / owed

    def whole(self):
        """Returns the share of all worth that was earned."""
        pairs = list(self.worth_by_queue.values())
        return sum(p[0] for p in pairs) / sum(p[1] for p in pairs)


def _draw(rnd, mean, spread, most):
    value = rnd.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return min(value, most)


def _submission(rnd, number, kind):
    count = max(1, min(3, round(_draw(rnd, kind.steps, 0.4, 3))))
    cpu = _draw(rnd, kind.cpu, 0.45, kind.cpu * 2)
    need = Resources(round(cpu, 1), _draw(rnd, kind.memory_mb, 0.5, 37000.0))
    gang = rnd.random() < kind.gang
    work, steps = [], []
    for step in range(count):
        width = max(1, round(_draw(rnd, kind.width, 0.8, kind.width * 6)))
        seconds = _draw(rnd, kind.work_s, 0.5, kind.work_s * 2.5)
        estimate = seconds * math.exp(rnd.gauss(0, kind.error / 2))
        after = [step - 1] if step else []
        steps.append(StepSpec(width, need, estimate, after, gang=gang))
        work.append(seconds)
    return workloads.job(number, kind.terms, *steps), work


def play(kinds, seed, seconds, burst=None, workers=176, callers=28):
    """Plays a mixed load and returns what it earned.

    Args:
        kinds: Kinds of jobs.
        seed: Seed of all draws.
        seconds: Seconds with arrivals.
        burst: Queue, factor, first and last second of a surge.
        workers: Number of workers.
        callers: Calls for advice that are served side by side.
    """
    rnd = random.Random(seed)
    work_by_job, plan = {}, []
    number = 0
    for kind in kinds:
        times = workloads.arrivals(rnd.random(), kind.rate, seconds)
        for queue, factor, first, last in burst or ():
            if queue == kind.terms.name:
                more = kind.rate * (factor - 1)
                times += workloads.arrivals(rnd.random(), more, last - first, first)
        for when in times:
            number += 1
            record, work = _submission(rnd, number, kind)
            work_by_job[record.job_id] = work
            plan.append((when, kind, record))

    def duration(task, vm):
        job_id, _, step, index = task.split(".")
        spread = random.Random(f"{task}")
        return work_by_job[job_id][int(step)] * spread.uniform(0.85, 1.15)

    good_by_queue = {kind.terms.name: kind.good for kind in kinds}
    queue_by_job = {record.job_id: kind.terms.name for _, kind, record in plan}

    def good(stage, vm):
        share = good_by_queue[queue_by_job[stage.split(".")[0]]]
        return zlib.crc32(f"{stage}/{vm}".encode()) % 1000 < share * 1000

    model = Simulation(
        workloads.workers(workers, rack=8),
        duration,
        lambda task, vm: EndKind.DONE,
        good,
        callers,
    )
    for when, _, record in plan:
        model.submit_at(when, record)
    longest = max(
        LATE_OBJECTIVE_FACTOR * _objective(r, work_by_job) for _, _, r in plan
    )
    model.run(seconds + min(longest, 20.0))
    return _result(seconds, plan, work_by_job, model)


def _objective(record, work_by_job):
    steps = [
        replace_estimate(step, seconds)
        for step, seconds in zip(record.steps, work_by_job[record.job_id], strict=True)
    ]
    real = workloads.job(0, record.queue, *steps)
    return record.queue.stretch * critical_path_s(real) + record.queue.objective_s


def replace_estimate(step, seconds):
    """Returns a step whose estimate is the real duration."""
    return StepSpec(step.count, step.need, seconds, step.after, gang=step.gang)


def _result(seconds, plan, work_by_job, model):
    day = Day(seconds, model.advice_s)
    mean_by_queue = {}
    for _, _kind, record in plan:
        mean_by_queue.setdefault(record.queue.name, []).append(
            _work(record, work_by_job)
        )
    for _, kind, record in plan:
        works = mean_by_queue[record.queue.name]
        share = _work(record, work_by_job) / (sum(works) / len(works))
        owed = kind.worth * min(4.0, 0.3 + 0.7 * share)
        waited = model.wait_of(record.job_id)
        objective = _objective(record, work_by_job)
        earned = 0.0
        done = model.phase_by_job.get(record.job_id) is JobPhase.COMPLETED
        if done and waited <= objective:
            earned = owed
        elif done and waited <= LATE_OBJECTIVE_FACTOR * objective:
            earned = owed * LATE_WORTH
        pair = day.worth_by_queue.setdefault(record.queue.name, [0.0, 0.0])
        pair[0] += earned
        pair[1] += owed
    return day


def _work(record, work_by_job):
    return sum(
        step.count * step.need.cpu * seconds
        for step, seconds in zip(record.steps, work_by_job[record.job_id], strict=True)
    )
