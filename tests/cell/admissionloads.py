"""Mixed loads for tests of admission control, and their results by queue."""

import random
from dataclasses import dataclass, field

from arbutusladder.cell.celljobs import LATE_OBJECTIVE_FACTOR, critical_path_s
from arbutusladder.cell.simulatedclients import SimulatedClients
from arbutusladder.cell.simulation import Simulation
from arbutusladder.messages import Resources, StepSpec
from tests.cell import workloads

WORKERS = 24
# Largest error of an estimate, relative to the actual duration.
ESTIMATE_ERROR = 0.9
# Queue, jobs per second on 176 workers, tasks, cores, memory in MB and duration of a
# task in seconds, and whether it is a gang, as on deployment 1.
KINDS = [
    (workloads.QUOTES, 30.0, 3, 9.9, 9000.0, 1.0, False),
    (workloads.RESIDUALS, 1.3, 20, 18.0, 18000.0, 6.2, True),
    (workloads.AUDITS, 8.7, 25, 6.9, 13000.0, 2.7, False),
]


@dataclass
class Load:
    """Jobs with their times of submission and actual durations in seconds."""

    submissions: list = field(default_factory=list)
    duration_by_job: dict = field(default_factory=dict)

    def add(self, when, record, duration):
        """Adds a job."""
        self.submissions.append((when, record))
        self.duration_by_job[record.job_id] = duration


def mixed_load(seed, seconds, surge=None, busy=1.0):
    """Returns a load of all queues.

    Args:
        seed: Seed of the random numbers.
        seconds: Seconds with arrivals.
        surge: Queue, factor, first and last second of a surge.
        busy: Factor on all rates.
    """
    rng, load = random.Random(seed), Load()
    for terms, cell_rate, width, cpu, memory_mb, mean_s, gang in KINDS:
        rate = busy * cell_rate * WORKERS / 176
        times = workloads.arrivals(rng.random(), rate, seconds)
        if surge and surge[0] == terms.name:
            _, factor, first, last = surge
            times += workloads.arrivals(
                rng.random(), rate * (factor - 1), last - first, first
            )
        for when in times:
            duration = mean_s * rng.uniform(0.5, 1.5)
            error = rng.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)
            count = max(1, round(width * rng.uniform(0.5, 1.5)))
            need = Resources(cpu, memory_mb)
            step = StepSpec(count, need, duration / (1 + error), gang=gang)
            number = len(load.submissions) + 1
            load.add(when, workloads.job(number, terms, step), duration)
    return load


def run(load, seconds, admits=True, lost=0, lost_at=0.0):
    """Returns the clients after a load has run.

    Args:
        load: The load.
        seconds: Seconds to run.
        admits: Whether admission control is on.
        lost: Number of workers that are lost.
        lost_at: Second at which they are lost.
    """
    simulation = Simulation(
        workloads.workers(WORKERS),
        lambda task, vm: load.duration_by_job[task.split(".")[0]],
    )
    clients = SimulatedClients(simulation, admits)
    for when, record in load.submissions:
        clients.submit_at(when, record)
    for vm in list(simulation.worker_by_vm)[:lost]:
        simulation.schedule(lost_at, lambda vm=vm: simulation.lose_worker(vm))
    simulation.run(seconds)
    return clients


def longest_wait_s(load, clients):
    """Returns the longest time in seconds that a job took beyond its work."""
    return max(
        (clients.ended_s(job_id) or 0.0) - duration
        for job_id, duration in load.duration_by_job.items()
    )


def in_time_by_queue(load, clients):
    """Returns the number of jobs of each queue that met their objective."""
    counts = dict.fromkeys((terms.name for terms, *_ in KINDS), 0)
    for _, record in load.submissions:
        counts[record.queue.name] += ended_within(clients, record, 1.0)
    return counts


def ended_within(clients, record, factor=LATE_OBJECTIVE_FACTOR):
    """Returns whether a job ended within a multiple of its objective."""
    ended_s = clients.ended_s(record.job_id)
    objective_s = record.queue.stretch * critical_path_s(record)
    objective_s += record.queue.objective_s
    return ended_s is not None and ended_s <= factor * objective_s
