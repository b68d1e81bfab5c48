"""Compares scheduling policies in seeded simulations.

Usage:
  experiment policy [--seed=N] [--part=PART] [--size=SIZE] [--seconds=S]
                    [--policies=NAMES]

Options:
  --seed=N       Seed of the generated jobs and teams [default: 1].
  --part=PART    waits, packing, accuracy, cost, memory or all [default: all].
  --size=SIZE    rolgeld, suva, design or all [default: all].
  --policies=NAMES  Policies to compare [default: fairshare,firstfit].
  --seconds=S    Simulated seconds of each run [default: 300].

Each policy gets the same generated arrivals in simulated time. The simulated
workers only keep a list of running tasks with their end times.
"""

import heapq
import math
import random
import sys
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, field, replace

from docopt import docopt
from hdrh.histogram import HdrHistogram

from arbutusladder.decisions import Checkpoint, Refused, Resume, Start, Stop, Throttle
from arbutusladder.declarations import Amount, ClassPolicy, Preset, Team
from arbutusladder.messages import JobSpec, Resources
from arbutusladder.policies import Policy, make_policy
from arbutusladder.resources import EPSILON
from arbutusladder.states import TaskEnd, Urgency

TICK_S = 0.1
# Number of ticks between two usage reports.
USAGE_REPORT_TICKS = 20
MAX_DECISIONS_PER_TICK = 2_000
MAX_WAIT_MS = 24 * 3600 * 1000
# Offered load without a flood as a fraction of the capacity, by class.
CALM_LOAD = {Urgency.URGENT: 0.08, Urgency.NORMAL: 0.3, Urgency.BATCH: 0.2}
# Fraction of the cores that services occupy from the start.
SERVICE_LOAD = 0.15
# Offered load of a flood as a multiple of the capacity.
FLOOD_FACTOR = 10.0
# Work of the packing backlog in seconds of the whole fleet, for each of two classes
# of task sizes.
BACKLOG_WORK_S = 300.0
# Ranges of cores and of run time in seconds of a task, by class.
TASK_RANGES = {
    Urgency.URGENT: ((0.5, 2.0), (2.0, 10.0)),
    Urgency.SERVICE: ((1.0, 4.0), (1e6, 1e6)),
    Urgency.NORMAL: ((0.5, 6.0), (10.0, 60.0)),
    Urgency.BATCH: ((1.0, 8.0), (20.0, 120.0)),
}
CPU_STEP_CORES = 0.5
MEMORY_STEP_MB = 256.0
TEAM_COUNT = 270


@dataclass(frozen=True)
class FleetSize:
    """Number and size of the workers of a fleet.

    Attributes:
        name: Name in reports and options.
        workers: Number of workers.
        cpu: Cores of each worker.
        memory_mb: Memory of each worker.
        per_rack: Workers in each rack.
        accelerated: Number of workers with accelerators.
        accelerators: Accelerators of each of those.
    """

    name: str
    workers: int
    cpu: float
    memory_mb: float
    per_rack: int
    accelerated: int = 0
    accelerators: int = 0

    def capacity(self, number: int) -> Resources:
        """Returns the resources of the worker with this number."""
        accelerator_count = self.accelerators if number < self.accelerated else 0
        return Resources(self.cpu, self.memory_mb, accelerator_count)

    @property
    def cores(self) -> float:
        """Total cores of the workers without accelerators."""
        return self.cpu * (self.workers - self.accelerated)


SIZES = {
    "rolgeld": FleetSize("rolgeld", 24, 64.0, 131_072.0, 6),
    "suva": FleetSize("suva", 24, 16.0, 32_768.0, 8),
    "design": FleetSize("design", 990, 64.0, 131_072.0, 8, 500, 4),
}


def make_preset(policy: str, reserves: bool = True, budget: int = 60) -> Preset:
    """Returns the preset of the measurements.

    Args:
        policy: Name of the policy.
        reserves: Whether classes have reserves and ceilings.
        budget: Preemption budget.
    """

    def class_policy(reserved: float, ceiling: float, preemptible: bool = False):
        reserve = reserved if reserves else 0.0
        limit = ceiling if reserves else 1.0
        return ClassPolicy(reserve, limit, 1_000_000, preemptible)

    return Preset(
        name="measured",
        policy=policy,
        urgent=class_policy(0.15, 0.8),
        service=class_policy(0.0, 0.6),
        normal=class_policy(0.35, 0.9),
        batch=class_policy(0.05, 0.9, preemptible=True),
        preemption_budget=budget,
    )


@dataclass(order=True)
class Arrival:
    """A job with its arrival time and its actual run time in seconds."""

    arrives_at: float
    number: int
    job: JobSpec = field(compare=False)
    run_time_s: float = field(compare=False)


class JobGenerator:
    """Generates seeded jobs for a fleet.

    Args:
        size: Fleet that loads are relative to.
        seed: Seed of the generator.
    """

    def __init__(self, size: FleetSize, seed: int):
        self._size = size
        self._rng = random.Random(seed)
        self._job_count = 0

    def initial_services(self) -> list[Arrival]:
        """Returns services that occupy ``SERVICE_LOAD`` of the cores from the start."""
        arrivals, cores = [], 0.0
        while cores < SERVICE_LOAD * self._size.cores:
            arrivals.append(self.make_arrival(Urgency.SERVICE, 0.0))
            cores += arrivals[-1].job.task_resources.cpu
        return arrivals

    def poisson_arrivals(
        self, urgency: Urgency, load: float, start: float, end: float
    ) -> list[Arrival]:
        """Returns Poisson arrivals of one class.

        Args:
            urgency: Class of the jobs.
            load: Work per second as a multiple of the capacity.
            start: Start of the arrivals in seconds.
            end: End of the arrivals in seconds.
        """
        cpu_range, seconds = TASK_RANGES[urgency]
        mean_core_seconds = sum(cpu_range) / 2 * sum(seconds) / 2
        rate = load * self._size.cores / mean_core_seconds
        arrivals, arrives_at = [], start + self._rng.expovariate(rate)
        while arrives_at < end:
            arrivals.append(self.make_arrival(urgency, arrives_at))
            arrives_at += self._rng.expovariate(rate)
        return arrivals

    def make_arrival(self, urgency: Urgency, arrives_at: float) -> Arrival:
        """Generates the next job; its arrival time is in seconds."""
        rng = self._rng
        cpu_range, seconds = TASK_RANGES[urgency]
        cpu = math.ceil(rng.uniform(*cpu_range) / CPU_STEP_CORES) * CPU_STEP_CORES
        memory_ratio = rng.choice([0.5, 1.0, 1.0, 1.5])
        memory = cpu * memory_ratio * self._size.memory_mb / self._size.cpu
        memory = math.ceil(memory / MEMORY_STEP_MB) * MEMORY_STEP_MB
        run_time = rng.uniform(*seconds)
        self._job_count += 1
        job = JobSpec(
            job_id=f"job{self._job_count}",
            workload=f"{urgency.value}{rng.randrange(20)}",
            team=f"team{rng.randrange(TEAM_COUNT)}",
            urgency=urgency,
            tasks=1,
            task_resources=Resources(cpu, memory),
            service=urgency is Urgency.SERVICE,
            # Declared run times differ widely from the actual ones.
            run_time_s=run_time * rng.choice([0.3, 1.0, 3.0]),
        )
        return Arrival(arrives_at, self._job_count, job, run_time)


class SimulatedFleet:
    """Workers of a fleet in simulated time, driven by the decisions of a policy."""

    def __init__(self, policy: Policy, size: FleetSize):
        self.policy = policy
        self.size = size
        self.running: dict[str, tuple[Start, float]] = {}
        self.arrival_by_job: dict[str, Arrival] = {}
        self.waits = {urgency: HdrHistogram(1, MAX_WAIT_MS, 3) for urgency in Urgency}
        self.started: Counter[Urgency] = Counter()
        self.refused: Counter[Urgency] = Counter()
        # Core limits of throttled tasks.
        self.throttled_cpu_by_task: dict[str, float] = {}
        self.started_jobs: set[str] = set()
        self.decisions = 0
        self.cpu_s = 0.0
        self.used_cpu = self.used_memory = 0.0
        self._pending_ends: list[tuple[float, str, float]] = []
        for number in range(size.workers):
            rack = f"rack{number // size.per_rack}"
            capacity = size.capacity(number)
            policy.worker_changed(f"w{number:04}", capacity, rack, True, 0.0)

    def submit(self, arrival: Arrival, now: float) -> None:
        """Submits a job to the policy."""
        self.arrival_by_job[arrival.job.job_id] = arrival
        cpu_started_at = time.process_time()
        result = self.policy.submit(arrival.job, now)
        self.cpu_s += time.process_time() - cpu_started_at
        if isinstance(result, Refused):
            self.refused[arrival.job.urgency] += 1

    def step(self, now: float) -> int:
        """Ends due tasks, applies new decisions and returns their number."""
        cpu_started_at = time.process_time()
        self._end_due_tasks(now)
        decisions = self.policy.decide(now, MAX_DECISIONS_PER_TICK)
        for decision in decisions:
            self._apply_decision(decision, now)
        self.cpu_s += time.process_time() - cpu_started_at
        self.decisions += len(decisions)
        return len(decisions)

    def _end_due_tasks(self, now: float) -> None:
        while self._pending_ends and self._pending_ends[0][0] <= now:
            _, task_id, started_at = heapq.heappop(self._pending_ends)
            current = self.running.get(task_id)
            if current and current[1] == started_at:
                self.end_task(task_id, TaskEnd.FINISHED, now)

    def end_task(self, task_id: str, end: TaskEnd, now: float) -> None:
        """Ends a running task and reports this to the policy."""
        start, started_at = self.running.pop(task_id)
        self.throttled_cpu_by_task.pop(task_id, None)
        self.used_cpu -= start.resources.cpu
        self.used_memory -= start.resources.memory_mb
        self.policy.task_ended(task_id, start.vm, end, now - started_at, now)
        if end is TaskEnd.FINISHED:
            self.policy.remove_job(start.job_id)

    def _apply_decision(self, decision, now: float) -> None:
        match decision:
            case Start():
                self._start_task(decision, now)
            case Stop():
                self.end_task(decision.task_id, TaskEnd.STOPPED, now)
            case Checkpoint():
                self.end_task(decision.task_id, TaskEnd.CHECKPOINTED, now)
            case Throttle():
                self.throttled_cpu_by_task[decision.task_id] = decision.cpu
            case Resume():
                self.throttled_cpu_by_task.pop(decision.task_id, None)

    def _start_task(self, start: Start, now: float) -> None:
        arrival = self.arrival_by_job[start.job_id]
        self.running[start.task_id] = (start, now)
        self.used_cpu += start.resources.cpu
        self.used_memory += start.resources.memory_mb
        heapq.heappush(
            self._pending_ends, (now + arrival.run_time_s, start.task_id, now)
        )
        self.policy.task_started(start.task_id, start.vm, now)
        if start.job_id in self.started_jobs:
            return
        self.started_jobs.add(start.job_id)
        self.started[arrival.job.urgency] += 1
        wait_ms = (now - arrival.arrives_at) * 1000
        self.waits[arrival.job.urgency].record_value(max(1, round(wait_ms)))


def generate_scenario(
    scenario: str, size: FleetSize, seed: int, seconds: float
) -> list[Arrival]:
    """Returns the jobs of a scenario in order of arrival.

    All scenarios have the same jobs apart from the flood.
    """
    calm_generator = JobGenerator(size, seed)
    arrivals = calm_generator.initial_services()
    for urgency, load in CALM_LOAD.items():
        arrivals.extend(calm_generator.poisson_arrivals(urgency, load, 1.0, seconds))
    if scenario != "calm":
        flood_generator = JobGenerator(size, seed + 1)
        flood_generator._job_count = 10_000_000
        urgency = Urgency.URGENT if scenario == "urgent flood" else Urgency.BATCH
        start, end = seconds / 3, seconds * 2 / 3
        arrivals.extend(
            flood_generator.poisson_arrivals(urgency, FLOOD_FACTOR, start, end)
        )
    return sorted(arrivals)


def run_waits(
    name: str, scenario: str, size: FleetSize, seed: int, seconds: float
) -> tuple[SimulatedFleet, Counter]:
    """Runs one scenario.

    Returns:
        The fleet, and the number of jobs by class that started in the middle
        third of the run, when a flood arrives.
    """
    budget = max(60, 60 * size.workers // 24)
    fleet = SimulatedFleet(make_policy(make_preset(name, budget=budget), {}), size)
    arrivals = generate_scenario(scenario, size, seed, seconds)
    next_index, tick, started_before, started_after = 0, 0, Counter(), Counter()
    while tick * TICK_S < seconds:
        now = tick * TICK_S
        while next_index < len(arrivals) and arrivals[next_index].arrives_at <= now:
            fleet.submit(arrivals[next_index], now)
            next_index += 1
        fleet.step(now)
        tick += 1
        if now <= seconds / 3:
            started_before = Counter(fleet.started)
        if now <= seconds * 2 / 3:
            started_after = Counter(fleet.started)
    return fleet, started_after - started_before


def measure_waits(size: FleetSize, seed: int, seconds: float, policies) -> None:
    """Prints waiting times by class, and starts in a flood relative to calm."""
    print(f"\n{size.name}: waiting time in ms by class, {seconds:g} s, seed {seed}")
    print(
        "| scenario | policy | class | p50 | p99 | p99.9 "
        "| started | refused | waiting | kept |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    calm_starts_by_policy = {}
    for scenario in ("calm", "batch flood", "urgent flood"):
        for name in policies:
            fleet, starts = run_waits(name, scenario, size, seed, seconds)
            calm_starts = calm_starts_by_policy.setdefault(name, starts)
            for urgency in Urgency:
                row = _wait_row(fleet, urgency, starts, calm_starts)
                print(f"| {scenario} | {name} | {urgency.value} | {row} |")


def _wait_row(fleet: SimulatedFleet, urgency: Urgency, starts, calm_starts) -> str:
    histogram = fleet.waits[urgency]
    waits = [histogram.get_value_at_percentile(p) for p in (50, 99, 99.9)]
    arrivals = fleet.arrival_by_job.values()
    submitted = sum(arrival.job.urgency is urgency for arrival in arrivals)
    started = fleet.started[urgency]
    kept_share = (
        f"{100 * starts[urgency] / calm_starts[urgency]:.1f} %"
        if calm_starts[urgency]
        else "-"
    )
    refused = fleet.refused[urgency]
    cells = [*waits, started, refused, submitted - started - refused, kept_share]
    return " | ".join(str(cell) for cell in cells)


def measure_packing(size: FleetSize, seed: int, policies) -> None:
    """Prints the use of the scarcest resource while demand exceeds capacity.

    The fractional bound is the total capacity of that resource, which only tasks
    that can be split across workers could use up.
    """
    print(f"\n{size.name}: packing while demand exceeds capacity, seed {seed}")
    print("| policy | reserves | of the fractional bound |")
    print("| --- | --- | --- |")
    for reserves in (False, True):
        for name in policies:
            used_share = run_packing(name, size, seed, reserves)
            print(
                f"| {name} | {'yes' if reserves else 'no'} | {100 * used_share:.1f} % |"
            )


def run_packing(
    name: str,
    size: FleetSize,
    seed: int,
    reserves: bool,
    backlog_s: float = BACKLOG_WORK_S,
) -> float:
    """Returns the mean use of the scarcest resource as a fraction of the bound."""
    fleet_size = replace(size, workers=size.workers - size.accelerated, accelerated=0)
    fleet = SimulatedFleet(make_policy(make_preset(name, reserves), {}), fleet_size)
    generator = JobGenerator(fleet_size, seed)
    backlog = []
    for urgency in (Urgency.NORMAL, Urgency.BATCH):
        backlog.extend(generator.poisson_arrivals(urgency, backlog_s, 0.0, 1.0))
    for arrival in backlog:
        # A single class, so that class priorities do not affect which sizes run.
        arrival.job.urgency = Urgency.BATCH
    for arrival in sorted(backlog):
        fleet.submit(arrival, 0.0)
    memory = fleet_size.memory_mb * fleet_size.workers
    tick, usage_shares = 0, []
    while len(fleet.started_jobs) < 0.8 * len(backlog):
        fleet.step(tick * TICK_S)
        if tick * TICK_S > 30.0:
            cpu_share = fleet.used_cpu / fleet_size.cores
            usage_shares.append(max(cpu_share, fleet.used_memory / memory))
        tick += 1
    return sum(usage_shares) / len(usage_shares)


def measure_accuracy(size: FleetSize, seed: int, seconds: float, policies) -> None:
    """Prints how often workers are overloaded when declarations are inaccurate.

    A workload uses between half and twice the resources that it declares.
    """
    print(f"\n{size.name}: wrong declarations, {seconds:g} s, seed {seed}")
    print("| policy | worker time with usage above capacity | started |")
    print("| --- | --- | --- |")
    for name in policies:
        part, fleet = run_accuracy(name, size, seed, seconds)
        started = sum(fleet.started.values())
        print(f"| {name} | {100 * part:.2f} % | {started} |")


def run_accuracy(name: str, size: FleetSize, seed: int, seconds: float):
    """Returns the fraction of worker time above capacity, and the fleet."""
    fleet = SimulatedFleet(make_policy(make_preset(name), {}), size)
    generator = JobGenerator(size, seed)
    arrivals = generator.poisson_arrivals(Urgency.NORMAL, 1.5, 0.0, seconds)
    next_index, overloaded_samples, sample_count = 0, 0, 0
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        while next_index < len(arrivals) and arrivals[next_index].arrives_at <= now:
            fleet.submit(arrivals[next_index], now)
            next_index += 1
        fleet.step(now)
        if tick % USAGE_REPORT_TICKS == 0:
            overloaded_samples += _report_usage(fleet, now)
            sample_count += size.workers
    return overloaded_samples / sample_count, fleet


def _report_usage(fleet: SimulatedFleet, now: float) -> int:
    """Reports the usage of tasks; returns the number of overloaded workers."""
    used_by_vm: dict[str, list[float]] = {}
    for task_id, (start, _) in list(fleet.running.items()):
        job = fleet.arrival_by_job[start.job_id].job
        scale_factor = 0.5 + random.Random(job.workload).random() * 1.5
        cpu = min(
            job.task_resources.cpu * scale_factor,
            fleet.throttled_cpu_by_task.get(task_id, 1e9),
        )
        usage = Resources(cpu, job.task_resources.memory_mb * scale_factor)
        used = used_by_vm.setdefault(start.vm, [0.0, 0.0])
        used[0] += usage.cpu
        used[1] += usage.memory_mb
        fleet.policy.usage_reported(task_id, usage, now)
    size = fleet.size
    return sum(
        cpu > size.cpu + EPSILON or memory > size.memory_mb + EPSILON
        for cpu, memory in used_by_vm.values()
    )


def measure_cost(seed: int, policies) -> None:
    """Prints CPU time per decision by number of workers and running tasks."""
    print(f"\ncontrol cost, seed {seed}")
    print("| policy | workers | running | CPU per decision us | decisions/s |")
    print("| --- | --- | --- | --- | --- |")
    worker_and_task_counts = [
        (24, 190),
        (99, 780),
        (330, 2600),
        (990, 7800),
        (990, 100),
        (990, 1000),
    ]
    for name in policies:
        for workers, running in worker_and_task_counts:
            cpu_s, fleet = run_cost(name, workers, running, seed)
            cost = cpu_s / fleet.decisions * 1e6
            row = (
                name,
                workers,
                len(fleet.running),
                f"{cost:.0f}",
                f"{1e6 / cost:.0f}",
            )
            print("| " + " | ".join(str(cell) for cell in row) + " |")


def run_cost(name: str, workers: int, running: int, seed: int):
    """Replaces tasks in a full fleet; returns CPU seconds and the fleet.

    The cost of a decision includes the submission, start and end of its task.
    """
    size = FleetSize("cost", workers, 64.0, 131_072.0, 8)
    fleet = SimulatedFleet(make_policy(make_preset(name), generate_teams(seed)), size)
    generator = JobGenerator(size, seed)
    tasks_per_worker = max(4, running // workers)
    for tick in range(20):
        while len(fleet.running) < running * min(1.0, (tick + 1) / 10):
            arrival = generator.make_arrival(Urgency.NORMAL, tick * TICK_S)
            arrival.run_time_s = 20.0 + arrival.number % 10 / 10
            _scale_resources(arrival.job, 48.0 / tasks_per_worker)
            fleet.submit(arrival, tick * TICK_S)
            if not fleet.step(tick * TICK_S):
                break
    fleet.decisions, fleet.cpu_s = 0, 0.0
    return _measure_replacement(fleet, generator, tasks_per_worker)


def _scale_resources(job: JobSpec, cpu: float) -> None:
    """Scales the resources of a job to another mean number of cores."""
    cpu_range = TASK_RANGES[Urgency.NORMAL][0]
    scale_factor = cpu / (sum(cpu_range) / 2)
    declared = job.task_resources
    job.task_resources = Resources(
        declared.cpu * scale_factor, declared.memory_mb * scale_factor
    )


def _measure_replacement(
    fleet: SimulatedFleet, generator: JobGenerator, tasks_per_worker: int
):
    rng = random.Random(1)
    running = len(fleet.running)
    for tick in range(20, 70):
        now = tick * TICK_S
        for task_id in rng.sample(sorted(fleet.running), min(60, running)):
            cpu_started_at = time.process_time()
            fleet.end_task(task_id, TaskEnd.FINISHED, now)
            fleet.cpu_s += time.process_time() - cpu_started_at
        for _ in range(min(60, running)):
            arrival = generator.make_arrival(Urgency.NORMAL, now)
            arrival.run_time_s = 1e6
            _scale_resources(arrival.job, 48.0 / tasks_per_worker)
            fleet.submit(arrival, now)
        fleet.step(now)
    return fleet.cpu_s, fleet


def generate_teams(seed: int) -> dict[str, Team]:
    """Returns teams with quotas above the demand of the generated jobs."""
    rng = random.Random(seed)
    teams = {}
    for number in range(TEAM_COUNT):
        quota = Amount(rng.choice([5_000.0, 10_000.0, 20_000.0]), 0.0, 0)
        teams[f"team{number}"] = Team(f"team{number}", quota, 1.0)
    return teams


def measure_memory(seed: int) -> None:
    """Prints the memory per worker, waiting job, running task and team."""
    print(f"\nmemory of fairshare in bytes, seed {seed}")
    print("| worker | waiting job | running task | team |")
    print("| --- | --- | --- | --- |")
    size = replace(SIZES["design"], accelerated=0)
    tracemalloc.start()
    memory_marks = [tracemalloc.get_traced_memory()[0]]
    policy = make_policy(make_preset("fairshare"), {})
    for number in range(990):
        policy.worker_changed(f"w{number}", size.capacity(number), "rack", True, 0.0)
    memory_marks.append(tracemalloc.get_traced_memory()[0])
    generator = JobGenerator(size, seed)
    for _ in range(7_800):
        policy.submit(generator.make_arrival(Urgency.NORMAL, 0.0).job, 0.0)
    memory_marks.append(tracemalloc.get_traced_memory()[0])
    started = len(policy.decide(0.0, 10_000))
    memory_marks.append(tracemalloc.get_traced_memory()[0])
    policy.use_preset(policy.preset, generate_teams(seed), 0.0)
    memory_marks.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    counts = (990, 7_800, started, TEAM_COUNT)
    steps = zip(memory_marks, memory_marks[1:], counts, strict=False)
    cells = [f"{(after - before) / count:.0f}" for before, after, count in steps]
    print("| " + " | ".join(cells) + " |")


def main(argv: list[str] | None = None) -> int:
    """Runs the measurements that the command line selects."""
    options = docopt(__doc__, argv)
    seed, part = int(options["--seed"]), options["--part"]
    policies = options["--policies"].split(",")
    names = SIZES if options["--size"] == "all" else [options["--size"]]
    for name in names:
        if part in ("waits", "all"):
            measure_waits(SIZES[name], seed, float(options["--seconds"]), policies)
        if part in ("accuracy", "all"):
            seconds = float(options["--seconds"])
            measure_accuracy(SIZES[name], seed, seconds, policies)
        if part in ("packing", "all"):
            measure_packing(SIZES[name], seed, policies)
    if part in ("cost", "all"):
        measure_cost(seed, policies)
    if part in ("memory", "all"):
        measure_memory(seed)
    return 0


if __name__ == "__main__":
    sys.exit(main())
