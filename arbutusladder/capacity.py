"""Measures how the resource usage of an entry VM grows with its region.

Usage:
  capacity [--window=S] [--seed=N] [--directory=PATH] [--profile=PATH] GROUP...

Starts a region of real processes on this machine for each group, varies one size
at a time, and prints CPU time, memory and bytes per second of an entry VM at each
size, with a linear regression over the sizes. CPU is CPU time in milliseconds per
second, so 10 is one percent of a core; other load on the machine affects it only
through shared caches. Bytes are the sum of bytes sent and received.

Groups:
  members    Entry VMs in the region (3, 6, 9), idle.
  workers    Workers of an owner (12, 36, 110), idle.
  tasks      Running tasks of an owner (0, 100, 300, 900).
  starts     Task starts per second of an owner (0, 10, 50, 100).
  gateway    Requests per second through an entry VM without a shard (0, 50, 200).
  owner      Requests per second through the owner of the shard (0, 50, 200).
  changes    Configuration changes per second (0, 0.5, 2), and the time until a
             change is in force on all entry VMs.
  teams      Declared teams (30, 270).
  jobs       Waiting jobs in the job store of each entry VM (0, 300, 1000).
  urgent     Time from the submission of an urgent job to its start on a worker,
             idle and during a flood of batch submissions.

Options:
  --window=S        Duration of each measurement in seconds [default: 8].
  --seed=N          Seed of the fakes [default: 1].
  --directory=PATH  Parent of the temporary directory for settings and logs.
  --profile=PATH    Directory to write cProfile profiles of the entry VMs to.
"""

import os
import signal
import statistics
import sys
import tempfile
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from arbutusladder.capacitycell import (
    CapacityCell,
    CellSize,
    UsageSample,
    call_json,
    wait_for,
)
from arbutusladder.capacityload import JobLoad, RequestLoad

# Waiting time before a measurement, until a region or load is in a steady state.
SETTLE_TIME_S = 4.0
TASKS_PER_JOB = 10
URGENT_SUBMISSIONS = 40
URGENT_INTERVAL_S = 0.2
FLOOD_JOBS_PER_S = 23
TIMED_CHANGES = 20
BYTE_COUNTERS = {
    "peer": ("peers.sent_bytes", "peers.received_bytes"),
    "log": ("log.bytes",),
    "worker": ("worker.bytes",),
    "vm list": ("vm_list.bytes",),
}
METRIC_NAMES = ("cpu", "rss", *BYTE_COUNTERS)
UNIT_BY_METRIC = {"cpu": "ms/s", "rss": "MB"}


@dataclass
class UsagePoint:
    """Mean usage of the measured entry VMs at one size.

    Attributes:
        size: Value of the size that the group varies.
        value_by_metric: CPU in ms/s, memory in MB, traffic in bytes/s.
        counters: Increase of each counter per second.
    """

    size: float
    value_by_metric: dict[str, float]
    counters: dict[str, float]


def compute_usage(before: UsageSample, after: UsageSample) -> dict[str, float]:
    """Returns the usage of one entry VM between two samples."""
    seconds = after.at - before.at
    usage = {
        "cpu": (after.cpu_s - before.cpu_s) * 1000 / seconds,
        "rss": after.rss_kb / 1024,
    }
    for metric, names in BYTE_COUNTERS.items():
        total_after = sum(after.counters.get(name, 0) for name in names)
        total_before = sum(before.counters.get(name, 0) for name in names)
        usage[metric] = (total_after - total_before) / seconds
    return usage


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and intercept of the linear regression."""
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def percentile(values: list[float], fraction: float) -> float:
    """Returns the percentile of values at a fraction from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def measure_usage(
    cell: CapacityCell, size: float, window: float, seats: list[str] | None = None
) -> UsagePoint:
    """Measures the mean usage of entry VMs during a window in seconds.

    Args:
        cell: Region to measure.
        size: Value of the size that the group varies.
        window: Duration of the measurement in seconds.
        seats: Seats of the measured entry VMs; all by default.
    """
    before = cell.sample()
    time.sleep(window)
    after = cell.sample()
    seats = seats or cell.seats
    usages = [compute_usage(before[seat], after[seat]) for seat in seats]
    mean = {m: statistics.fmean(usage[m] for usage in usages) for m in METRIC_NAMES}
    rates = {}
    for name in after[seats[0]].counters:
        increase = sum(
            after[s].counters.get(name, 0) - before[s].counters.get(name, 0)
            for s in seats
        )
        rates[name] = increase / window / len(seats)
    return UsagePoint(size, mean, rates)


def make_declarations(teams: int = 2) -> dict:
    """Returns a change set with teams, a preset and the measured workloads."""
    quota = {"cpu": 1_000_000, "memory_mb": 1_000_000_000}
    return {
        "active_preset": "ordinary",
        "teams": [{"name": f"team-{n}", "quota": quota} for n in range(teams)],
        "presets": [{"name": "ordinary", "batch": {"preemptible": True}}],
        "workloads": [
            {
                "name": "lookup",
                "team": "team-0",
                "kind": "request",
                "service": "tarief",
                "urgency": "normal",
                "deadline_ms": 2000,
            },
            _batch_workload("long", "batch", 0.1, 900),
            _batch_workload("short", "batch", 0.1, 2),
            _batch_workload("flood", "batch", 4, 5),
            _batch_workload("waiting", "batch", 60, 900),
            _batch_workload("urgent", "urgent", 1, 1),
        ],
    }


def _batch_workload(name: str, urgency: str, cpu: float, run_time: float) -> dict:
    return {
        "name": name,
        "team": "team-1",
        "kind": "batch",
        "urgency": urgency,
        "tasks": 1,
        "task": {"cpu": cpu, "memory_mb": 64},
        "run_time_s": run_time,
        "command": f"run={run_time}",
    }


class CapacityStudy:
    """Runs the groups of measurements, one method per group.

    Args:
        directory: Directory for settings and logs.
        window: Duration of each measurement in seconds.
        seed: Seed of the fakes.
        profile: Directory for profiles of the entry VMs; None disables them.
    """

    def __init__(
        self, directory: Path, window: float, seed: int, profile: Path | None = None
    ):
        self._directory = directory
        self._window = window
        self._seed = seed
        self._profile = profile

    @contextmanager
    def _running_cell(self, teams: int = 2, **sizes: int) -> Iterator[CapacityCell]:
        """Starts a region, publishes the declarations and waits for a steady state."""
        with tempfile.TemporaryDirectory(dir=self._directory) as directory:
            cell_size = CellSize(**sizes)
            with CapacityCell(
                Path(directory), cell_size, self._seed, self._profile
            ) as cell:
                cell.publish(make_declarations(teams), 0, uuid.uuid4().hex)
                cell.wait_for_revision(1)
                time.sleep(SETTLE_TIME_S)
                yield cell

    def members(self) -> list[UsagePoint]:
        """Measures idle regions with different numbers of entry VMs."""
        points = []
        for entries in (3, 6, 9):
            with self._running_cell(entries=entries, workers=1, per_domain=3) as cell:
                points.append(measure_usage(cell, entries, self._window))
        return points

    def workers(self) -> list[UsagePoint]:
        """Measures idle owners with different numbers of workers."""
        points = []
        for workers in (12, 36, 110):
            with self._running_cell(workers=workers) as cell:
                points.append(measure_usage(cell, workers, self._window))
        return points

    def tasks(self) -> list[UsagePoint]:
        """Measures owners with different numbers of running tasks."""
        with self._running_cell(workers=36) as cell:
            points = [measure_usage(cell, 0, self._window)]
            started = 0
            for size in (100, 300, 900):
                for number in range((size - started) * 3 // 30):
                    cell.submit(cell.seats[number % 3], "long", 30)
                started = size
                wait_for(
                    lambda t=3 * size: _count_running_tasks(cell) >= t,
                    f"{size} tasks run",
                )
                time.sleep(SETTLE_TIME_S)
                points.append(measure_usage(cell, size, self._window))
        return points

    def starts(self) -> list[UsagePoint]:
        """Measures owners that start short tasks at different rates."""
        with self._running_cell(workers=36) as cell:
            points = [measure_usage(cell, 0, self._window)]
            for rate in (10, 50, 100):
                jobs = rate * len(cell.seats) / TASKS_PER_JOB
                with JobLoad(cell, "short", TASKS_PER_JOB, jobs):
                    time.sleep(SETTLE_TIME_S)
                    runs_before, started_at = _count_runs(cell), time.monotonic()
                    point = measure_usage(cell, rate, self._window)
                    seconds = time.monotonic() - started_at
                    point.size = (
                        (_count_runs(cell) - runs_before) / seconds / len(cell.seats)
                    )
                    points.append(point)
                time.sleep(SETTLE_TIME_S)
        return points

    def gateway(self) -> list[UsagePoint]:
        """Measures an entry VM that forwards requests to the owner."""
        return self._measure_requests(False)

    def owner(self) -> list[UsagePoint]:
        """Measures an owner that receives requests directly."""
        return self._measure_requests(True)

    def _measure_requests(self, through_owner: bool) -> list[UsagePoint]:
        with self._running_cell(entries=6, workers=1, executors=2) as cell:
            owners = cell.owners()
            seat = next(s for s in cell.seats if (s in owners) == through_owner)
            points = [measure_usage(cell, 0, self._window, [seat])]
            for rate in (50, 200):
                with RequestLoad(cell.address_by_seat[seat], rate) as load:
                    time.sleep(1.0)
                    load.count = 0
                    points.append(measure_usage(cell, rate, self._window, [seat]))
                    points[-1].size = load.count / self._window
                print(f"answers by status: {load.count_by_status}")
        return points

    def changes(self) -> list[UsagePoint]:
        """Measures configuration changes and prints the time until they apply."""
        with self._running_cell(entries=9, workers=1, per_domain=3) as cell:
            points = [measure_usage(cell, 0, self._window)]
            revision = 1
            for rate in (0.5, 2.0):
                before = cell.sample()
                count = max(1, round(rate * self._window))
                for _ in range(count):
                    _publish_change(cell, revision)
                    revision += 1
                    time.sleep(1 / rate)
                after = cell.sample()
                usages = [compute_usage(before[s], after[s]) for s in cell.seats]
                mean = {m: statistics.fmean(u[m] for u in usages) for m in METRIC_NAMES}
                seconds = after[cell.seats[0]].at - before[cell.seats[0]].at
                points.append(UsagePoint(count / seconds, mean, {}))
            self._measure_change_latency(cell, revision)
        return points

    def _measure_change_latency(self, cell: CapacityCell, revision: int) -> None:
        times = []
        for _ in range(TIMED_CHANGES):
            started = time.monotonic()
            _publish_change(cell, revision)
            revision += 1
            cell.wait_for_revision(revision)
            times.append(time.monotonic() - started)
        _print_latencies("in force on all entry VMs", times)

    def teams(self) -> list[UsagePoint]:
        """Measures idle entry VMs with different numbers of teams."""
        points = []
        for teams in (30, 270):
            with self._running_cell(teams=teams, workers=12) as cell:
                points.append(measure_usage(cell, teams, self._window))
        return points

    def jobs(self) -> list[UsagePoint]:
        """Measures entry VMs with different numbers of waiting jobs."""
        with self._running_cell(workers=12) as cell:
            points = [measure_usage(cell, 0, self._window)]
            # One job on each of the 3 x 12 workers leaves too few cores for another.
            blocking_jobs = 36
            for number in range(blocking_jobs):
                cell.submit(cell.seats[number % 3], "waiting")
            submitted = 0
            for size in (300, 1000):
                for number in range(submitted, size):
                    cell.submit(cell.seats[number % 3], "waiting")
                submitted = size
                time.sleep(SETTLE_TIME_S)
                points.append(measure_usage(cell, size, self._window))
        return points

    def urgent(self) -> list[UsagePoint]:
        """Measures urgent starts, idle and during a flood of batch submissions."""
        with self._running_cell(workers=12) as cell:
            _print_latencies("urgent start, idle", _measure_urgent_starts(cell))
            before = cell.sample()
            with JobLoad(cell, "flood", 50, FLOOD_JOBS_PER_S) as load:
                time.sleep(SETTLE_TIME_S)
                _print_latencies("urgent start, flood", _measure_urgent_starts(cell))
            after = cell.sample()
            print(f"flood submissions: {load.count}, refused: {load.failed}")
            usages = [compute_usage(before[s], after[s]) for s in cell.seats]
            cpu = statistics.fmean(usage["cpu"] for usage in usages)
            print(f"cpu in the flood: {cpu:.1f} ms/s of each entry VM")
        return []


def _publish_change(cell: CapacityCell, revision: int) -> None:
    team = {"name": f"extra-{revision}", "quota": {"cpu": 1, "memory_mb": 1}}
    cell.publish({"teams": [team]}, revision, uuid.uuid4().hex)


def _count_runs(cell: CapacityCell) -> int:
    return sum(len(record["runs"]) for record in cell.records())


def _count_running_tasks(cell: CapacityCell) -> int:
    return sum(
        not run["ended_at"] for record in cell.records() for run in record["runs"]
    )


def _measure_urgent_starts(cell: CapacityCell) -> list[float]:
    """Returns the seconds from each submission to the start on a worker."""
    sent_by_job = {}
    for number in range(URGENT_SUBMISSIONS):
        seat = cell.seats[number % len(cell.seats)]
        sent_at = time.time()
        order = {"workload": "urgent", "tasks": 1}
        parts = call_json(cell.address_by_seat[seat], "POST", "/v1/jobs", order)
        parts = parts["parts"] if isinstance(parts, dict) else parts
        sent_by_job[parts[0]["job_id"]] = sent_at
        time.sleep(URGENT_INTERVAL_S)
    time.sleep(SETTLE_TIME_S)
    started = {
        run["job_id"]: run["started_at"]
        for record in cell.records()
        for run in record["runs"]
        if run["job_id"] in sent_by_job
    }
    print(f"urgent jobs: {len(sent_by_job)}, started: {len(started)}")
    return [started[job] - sent_by_job[job] for job in started]


def _print_latencies(label: str, seconds: list[float]) -> None:
    p50, p99 = percentile(seconds, 0.5), percentile(seconds, 0.99)
    print(
        f"{label}: p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms, "
        f"most {max(seconds) * 1000:.0f} ms, {len(seconds)} samples"
    )


def print_report(group: str, points: list[UsagePoint]) -> None:
    """Prints the measured points of a group and their regression lines."""
    if not points:
        return
    print(" ".join(f"{name:>10}" for name in ("size", *METRIC_NAMES)))
    for point in points:
        values = [point.size, *(point.value_by_metric[m] for m in METRIC_NAMES)]
        print(" ".join(f"{value:10.2f}" for value in values))
    for name in METRIC_NAMES:
        pairs = [(point.size, point.value_by_metric[name]) for point in points]
        slope, intercept = fit_line(pairs)
        unit = UNIT_BY_METRIC.get(name, "B/s")
        print(f"{group} {name}: {intercept:.2f} + {slope:.4f} x size {unit}")
    last = points[-1].counters
    rates = {name: round(rate, 1) for name, rate in sorted(last.items()) if rate}
    print(f"counters a second at the last size: {rates}")


GROUPS: dict[str, Callable[[CapacityStudy], list[UsagePoint]]] = {
    name: getattr(CapacityStudy, name)
    for name in (
        "members",
        "workers",
        "tasks",
        "starts",
        "gateway",
        "owner",
        "changes",
        "teams",
        "jobs",
        "urgent",
    )
}


def main(argv: list[str] | None = None) -> int:
    """Runs the groups on the command line and returns the exit code."""
    options = docopt(__doc__, argv)
    unknown = [name for name in options["GROUP"] if name not in GROUPS]
    if unknown:
        print(
            f"{unknown[0]} is not a group; use one of {', '.join(GROUPS)}",
            file=sys.stderr,
        )
        return 2
    # Without a handler, SIGTERM would leave the processes of a region running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    profile = options["--profile"]
    with tempfile.TemporaryDirectory(dir=options["--directory"]) as directory:
        study = CapacityStudy(
            Path(directory),
            float(options["--window"]),
            int(options["--seed"]),
            Path(profile) if profile else None,
        )
        for name in options["GROUP"]:
            load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
            title = f"{name} (seed {options['--seed']}, load average {load})"
            print(f"\n{title}", flush=True)
            print_report(name, GROUPS[name](study))
    return 0


if __name__ == "__main__":
    sys.exit(main())
