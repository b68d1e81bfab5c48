"""Workers and jobs in the sizes of the two users, for tests without network."""

import random

from arbutusladder.cell.interfaces import WorkerEntry
from arbutusladder.cell.runends import EndEvidence, EndProof
from arbutusladder.ids import JobId, VmId
from arbutusladder.messages import QueueTerms, Resources, StepSpec, SubmittedJob

SERVICE = "svc"
# Evidence of the ends of runs for which it does not matter.
LISTED_END = EndEvidence(EndProof.LISTED_END, 100.0)


def workers(count=24, cores=64.0, memory_mb=131072.0, rack=6):
    """Returns registry entries of workers, with ``rack`` workers in each rack."""
    return [
        WorkerEntry(
            VmId(f"w-{number:03}"),
            1,
            f"10.0.0.{number}:80",
            SERVICE,
            f"domain-{number // rack}",
            Resources(cores, memory_mb),
            ("a", f"rack-{number // rack}"),
        )
        for number in range(count)
    ]


def queue(name, priority, stretch, objective_s, **fields):
    """Returns the terms of a queue."""
    return QueueTerms(
        name, SERVICE, priority, stretch=stretch, objective_s=objective_s, **fields
    )


QUOTES = queue("quotes", 0, 1.5, 0.25, max_attempts=2)
AUDITS = queue("audits", 2, 4.0, 3.0, max_attempts=2)
RESIDUALS = queue("residuals", 1, 2.2, 1.0, max_attempts=3)


def job_id(number):
    """Returns a job id of 16 hexadecimal digits."""
    return JobId(f"{number:016x}")


def job(number, terms, *steps, **fields):
    """Returns the submission of a job."""
    return SubmittedJob(job_id(number), terms, "payload", list(steps), 0.0, **fields)


def quote(number, count=2, cpu=5.6):
    """Returns the submission of a quote check."""
    step = StepSpec(count, Resources(cpu, 4000.0), 0.8)
    return job(number, QUOTES, step)


def audit(number, count=10, cpu=3.9, estimate_s=2.2):
    """Returns the submission of a scale audit."""
    return job(number, AUDITS, StepSpec(count, Resources(cpu, 4000.0), estimate_s))


def residual(number, count=8, cpu=18.0, estimate_s=6.2):
    """Returns the submission of a residual run, which is a gang."""
    step = StepSpec(count, Resources(cpu, 12000.0), estimate_s, gang=True)
    return job(number, RESIDUALS, step)


def arrivals(seed, rate, seconds, start=0.0):
    """Returns the times of Poisson arrivals.

    Args:
        seed: Seed of the random numbers.
        rate: Arrivals per second.
        seconds: Length of the interval.
        start: Start of the interval in seconds.
    """
    draw = random.Random(seed)
    times, now = [], start
    while True:
        now += draw.expovariate(rate)
        if now >= start + seconds:
            return times
        times.append(now)
