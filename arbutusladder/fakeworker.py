"""Fake worker for tests: simulates tasks and records what it ran.

Usage:
  fakeworker [--count=N] [--listen=ADDRESS] [--first=N] [--prefix=NAME]
             [--cpu=CORES] [--memory=MB] [--accelerators=N] [--run-time=S]
             [--usage-lag=S] [--seed=N]

Options:
  --count=N          Workers in this process [default: 1].
  --listen=ADDRESS   IP address and first port; port 0 selects free ports
                     [default: 127.0.0.1:0].
  --first=N          Number of the first worker [default: 0].
  --prefix=NAME      Prefix of the VM ids [default: worker].
  --cpu=CORES        CPU cores of each worker [default: 64].
  --memory=MB        Memory of each worker in MB [default: 131072].
  --accelerators=N   Accelerators of each worker [default: 0].
  --run-time=S       Run time in seconds of a task whose command sets none
                     [default: 60].
  --usage-lag=S      Seconds until usage of a new task is reported [default: 2].
  --seed=N           Seed of the boot ids [default: 1].

A task's command may contain ``run=SECONDS``, ``cpu=CORES``, ``mem=MB`` and
``fail``, which set its run time and usage, or make it fail.
"""

import random
from collections import deque
from dataclasses import dataclass, field, fields, replace

import curio
from docopt import docopt

from arbutusladder.clock import Clock
from arbutusladder.codec import from_json, to_json
from arbutusladder.errors import ProtocolError
from arbutusladder.gzipbody import COMPRESSION_THRESHOLD_BYTES, CONTENT_GZIP, compress
from arbutusladder.httpclient import HttpResponse, split_address
from arbutusladder.httpserver import HttpRequest, HttpServer
from arbutusladder.ids import JobId, TaskId, VmId
from arbutusladder.messages import (
    EndedTask,
    Resources,
    RunningTask,
    StartResult,
    StartTask,
    TaskAction,
    WorkerExchange,
    WorkerReport,
)
from arbutusladder.resources import add, fits
from arbutusladder.states import TaskActionKind, TaskEnd

POLL_INTERVAL_S = 0.05
CHECKPOINT_DURATION_S = 0.1
FAILURE_DELAY_S = 0.02


@dataclass
class Faults:
    """Faults of a fake worker.

    Attributes:
        frozen: Tasks keep running, but requests wait until this is cleared.
        lose_replies: Number of following exchanges that take effect but get no reply.
        fail_all: Every new task fails shortly after its start.
        usage_factor: Usage as a multiple of the declared resources.
        run_factor: Factor applied to the run time of new tasks.
        delay_s: Delay in seconds between an exchange and its reply.
        stall_s: Delay in seconds before the next exchange with starts is handled,
            as if it waited in network buffers.
        leaving: Whether reports announce that the worker is leaving.
        clock_offset_s: Offset of this worker's wall clock in seconds.
        forget_ended: Ended tasks are not reported.
    """

    frozen: bool = False
    lose_replies: int = 0
    fail_all: bool = False
    usage_factor: float = 1.0
    run_factor: float = 1.0
    delay_s: float = 0.0
    stall_s: float = 0.0
    leaving: bool = False
    clock_offset_s: float = 0.0
    forget_ended: bool = False


@dataclass
class TaskRun:
    """One run of a task, as the worker recorded it.

    Attributes:
        started_at: Wall clock time in seconds, without ``clock_offset_s``.
        ended_at: Wall clock time in seconds; zero while the task runs.
        end: How the run ended; empty while the task runs.
    """

    vm: VmId
    task_id: TaskId
    job_id: JobId
    attempt: int
    started_at: float
    ended_at: float = 0.0
    end: str = ""


@dataclass
class WorkerRecord:
    """History of a worker since its process started.

    Attributes:
        runs: All runs in order of their start.
        peak: Highest allocated amount of each resource.
        peak_usage: Highest used amount of each resource.
        over_capacity: Tasks whose start raised the allocation above the capacity.
        duplicates: Tasks that were started again while they were running.
        refused: Tasks whose start was refused because the lease had expired.
        exchanges: Number of exchanges that were applied.
    """

    vm: VmId
    runs: list[TaskRun] = field(default_factory=list)
    peak: Resources = field(default_factory=Resources)
    peak_usage: Resources = field(default_factory=Resources)
    over_capacity: list[TaskId] = field(default_factory=list)
    duplicates: list[TaskId] = field(default_factory=list)
    refused: list[TaskId] = field(default_factory=list)
    exchanges: int = 0


def find_overlapping_runs(records: list[WorkerRecord]) -> list[tuple[TaskRun, TaskRun]]:
    """Returns pairs of runs of the same task that overlap in time."""
    runs_by_task: dict[TaskId, list[TaskRun]] = {}
    for record in records:
        for run in record.runs:
            runs_by_task.setdefault(run.task_id, []).append(run)
    overlapping = []
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:], strict=False):
            if not earlier.ended_at or earlier.ended_at > later.started_at:
                overlapping.append((earlier, later))
    return overlapping


def count_starts(records: list[WorkerRecord]) -> dict[TaskId, int]:
    """Returns the number of runs of each task."""
    counts: dict[TaskId, int] = {}
    for record in records:
        for run in record.runs:
            counts[run.task_id] = counts.get(run.task_id, 0) + 1
    return counts


@dataclass
class _Task:
    """A running task with its lease, planned end and usage."""

    start: StartTask
    run: TaskRun
    lease_expires_at: float
    ends_at: float
    usage: Resources
    fails: bool = False
    throttled_cpu: float | None = None
    checkpoint_at: float | None = None


class FakeWorker:
    """In-memory worker that simulates its tasks.

    Args:
        vm: VM id of the worker.
        capacity: Resources of the worker.
        clock: Source of wall clock time.
        run_time: Run time in seconds of a task whose command sets none.
        usage_lag: Seconds until usage of a new task is reported.
        seed: Seed of the boot ids.
    """

    def __init__(
        self,
        vm: VmId,
        capacity: Resources,
        clock: Clock | None = None,
        run_time: float = 60.0,
        usage_lag: float = 2.0,
        seed: int = 1,
    ):
        self.vm = vm
        self.capacity = capacity
        self.faults = Faults()
        self.record = WorkerRecord(vm)
        self._clock = clock or Clock()
        self._default_run_time = run_time
        self._usage_lag_s = usage_lag
        self._rng = random.Random(f"{seed}/{vm}")
        self._boot_count = 0
        self._tasks: dict[TaskId, _Task] = {}
        self._unacknowledged_ends: dict[TaskId, EndedTask] = {}
        self._assign_boot_id()

    def restart(self) -> None:
        """Discards all running and ended tasks, as a restart of the VM does."""
        for task in list(self._tasks.values()):
            self._finish_run(task, self._clock.wall_time(), "restart")
        self._tasks.clear()
        self._unacknowledged_ends.clear()
        self._assign_boot_id()

    def exchange(self, request: WorkerExchange) -> WorkerReport:
        """Applies an exchange and returns the worker's report."""
        self.end_due_tasks()
        self.record.exchanges += 1
        for task_id in request.acks:
            self._unacknowledged_ends.pop(task_id, None)
        for renewal in request.renewals:
            task = self._tasks.get(renewal.task_id)
            if task:
                latest_expiry = max(task.lease_expires_at, renewal.lease_expires_at)
                task.lease_expires_at = latest_expiry
        for action in request.actions:
            self._apply_action(action)
        results = [self._start_task(start) for start in request.starts]
        self._update_peaks()
        return self.report(results)

    def report(self, results: list[StartResult] | None = None) -> WorkerReport:
        """Returns the running tasks and the unacknowledged ended tasks."""
        self.end_due_tasks()
        return WorkerReport(
            self.vm,
            self.boot_id,
            results or [],
            [self._running_task_report(task) for task in self._tasks.values()],
            list(self._unacknowledged_ends.values()),
            self.faults.leaving,
        )

    def end_due_tasks(self) -> None:
        """Ends tasks that are finished, checkpointed or past their lease."""
        now = self._clock.wall_time()
        for task in list(self._tasks.values()):
            expiry = task.lease_expires_at - self.faults.clock_offset_s
            checkpoint = task.checkpoint_at or float("inf")
            ends_at = min(expiry, task.ends_at, checkpoint)
            if now < ends_at:
                continue
            if ends_at == expiry:
                self._end_task(task, TaskEnd.LEASE_EXPIRED, ends_at)
            elif ends_at == checkpoint:
                self._end_task(task, TaskEnd.CHECKPOINTED, ends_at)
            else:
                end = TaskEnd.FAILED if task.fails else TaskEnd.FINISHED
                self._end_task(task, end, ends_at)

    @property
    def running(self) -> list[TaskId]:
        """Ids of the running tasks."""
        return list(self._tasks)

    def _assign_boot_id(self) -> None:
        self._boot_count += 1
        self.boot_id = f"{self.vm}-{self._boot_count}-{self._rng.getrandbits(32):08x}"

    def _start_task(self, start: StartTask) -> StartResult:
        now = self._clock.wall_time()
        if now + self.faults.clock_offset_s >= start.lease_expires_at:
            self.record.refused.append(start.task_id)
            return StartResult(start.task_id, False, "lease_expired")
        if start.task_id in self._tasks:
            self.record.duplicates.append(start.task_id)
            return StartResult(start.task_id, False, "already_running")
        run = TaskRun(self.vm, start.task_id, start.job_id, start.attempt, now)
        self.record.runs.append(run)
        self._unacknowledged_ends.pop(start.task_id, None)
        self._tasks[start.task_id] = self._new_task(start, run, now)
        if not fits(self._allocated_resources(), self.capacity):
            self.record.over_capacity.append(start.task_id)
        return StartResult(start.task_id, True)

    def _new_task(self, start: StartTask, run: TaskRun, now: float) -> _Task:
        command_settings = dict(
            word.partition("=")[::2] for word in start.command.split()
        )
        run_time = (
            float(command_settings.get("run", self._default_run_time))
            * self.faults.run_factor
        )
        usage_factor = self.faults.usage_factor
        usage = Resources(
            float(command_settings.get("cpu", start.resources.cpu * usage_factor)),
            float(
                command_settings.get("mem", start.resources.memory_mb * usage_factor)
            ),
            start.resources.accelerators,
        )
        fails = self.faults.fail_all or "fail" in command_settings
        ends_at = now + (FAILURE_DELAY_S if fails else run_time)
        return _Task(start, run, start.lease_expires_at, ends_at, usage, fails)

    def _apply_action(self, action: TaskAction) -> None:
        task = self._tasks.get(action.task_id)
        if not task:
            return
        match action.action:
            case TaskActionKind.THROTTLE:
                task.throttled_cpu = action.cpu
            case TaskActionKind.RESUME:
                task.throttled_cpu = None
            case TaskActionKind.CHECKPOINT:
                task.checkpoint_at = self._clock.wall_time() + CHECKPOINT_DURATION_S
            case TaskActionKind.STOP:
                self._end_task(task, TaskEnd.STOPPED, self._clock.wall_time())

    def _end_task(self, task: _Task, end: TaskEnd, ended_at: float) -> None:
        self._finish_run(task, ended_at, end.value)
        del self._tasks[task.run.task_id]
        run = task.run
        if not self.faults.forget_ended:
            self._unacknowledged_ends[run.task_id] = EndedTask(
                run.task_id, run.job_id, end, ended_at - run.started_at, run.attempt
            )

    def _finish_run(self, task: _Task, ended_at: float, end: str) -> None:
        task.run.ended_at = ended_at
        task.run.end = end

    def _allocated_resources(self) -> Resources:
        total = Resources()
        for task in self._tasks.values():
            total = add(total, _apply_throttle(task.start.resources, task))
        return total

    def _task_usage(self, task: _Task) -> Resources:
        return _apply_throttle(task.usage, task)

    def _update_peaks(self) -> None:
        total_usage = Resources()
        for task in self._tasks.values():
            total_usage = add(total_usage, self._task_usage(task))
        self.record.peak = _max_per_resource(
            self.record.peak, self._allocated_resources()
        )
        self.record.peak_usage = _max_per_resource(self.record.peak_usage, total_usage)

    def _running_task_report(self, task: _Task) -> RunningTask:
        run = task.run
        usage_unknown = self._clock.wall_time() - run.started_at < self._usage_lag_s
        return RunningTask(
            run.task_id,
            run.job_id,
            task.lease_expires_at,
            task.start.resources,
            Resources() if usage_unknown else self._task_usage(task),
            run.attempt,
            task.throttled_cpu is not None,
            run.started_at,
        )


def _apply_throttle(amount: Resources, task: _Task) -> Resources:
    if task.throttled_cpu is None:
        return amount
    return replace(amount, cpu=min(amount.cpu, task.throttled_cpu))


def _max_per_resource(left: Resources, right: Resources) -> Resources:
    return Resources(
        max(left.cpu, right.cpu),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


class FakeWorkerServer:
    """HTTP server of one fake worker, with endpoints for its faults and record.

    Args:
        worker: Worker to serve.
        address: IP address and port to listen on; port 0 selects a free port.
    """

    def __init__(self, worker: FakeWorker, address: str = "127.0.0.1:0"):
        self.worker = worker
        self._server = HttpServer(
            address, self._handle_request, max_body=16 * 1024 * 1024
        )
        self.address = self._server.address
        self._open: deque[bytes] = deque(maxlen=100)

    async def run(self) -> None:
        """Serves requests and ends due tasks until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._server.run)
            await group.spawn(self._run_expiry_timer)
            try:
                await group.join()
            finally:
                await self._server.stop()

    async def _run_expiry_timer(self) -> None:
        while True:
            self.worker.end_due_tasks()
            await curio.sleep(POLL_INTERVAL_S)

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case "POST", "/v1/exchange":
                return await self._exchange(request)
            case "GET", "/v1/tasks":
                await self._wait_while_frozen()
                return _json_response(self.worker.report())
            case "GET", "/v1/record":
                self.worker.end_due_tasks()
                return _json_response(self.worker.record)
            case "POST", "/v1/faults":
                return self._set_faults(request.body)
            case "POST", "/v1/restart":
                self.worker.restart()
                return _json_response({})
        return HttpResponse(404, [], b"no such resource")

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        await self._wait_while_frozen()
        try:
            exchange = from_json(request.body, WorkerExchange)
        except ProtocolError as error:
            return HttpResponse(400, [], str(error).encode())
        if exchange.starts and self.worker.faults.stall_s:
            stall_seconds, self.worker.faults.stall_s = self.worker.faults.stall_s, 0.0
            await curio.sleep(stall_seconds)
        report = self.worker.exchange(exchange)
        if self.worker.faults.delay_s:
            await curio.sleep(self.worker.faults.delay_s)
        if self.worker.faults.lose_replies > 0:
            self.worker.faults.lose_replies -= 1
            raise ConnectionResetError("reply lost because of the fault lose_replies")
        return _compress_if_accepted(request, _json_response(report))

    async def _wait_while_frozen(self) -> None:
        # A request that waits here is handled after the freeze, like one in the
        # socket buffers of a paused process.
        while self.worker.faults.frozen:
            await curio.sleep(POLL_INTERVAL_S)

    def _set_faults(self, body: bytes) -> HttpResponse:
        values = from_json(body, dict)
        known_names = {item.name for item in fields(Faults)}
        unknown = sorted(set(values) - known_names)
        if unknown:
            detail = f"unknown faults {unknown}; known faults: {sorted(known_names)}"
            return HttpResponse(400, [], detail.encode())
        for name, value in values.items():
            setattr(self.worker.faults, name, value)
        return _json_response(self.worker.faults)


def _compress_if_accepted(request: HttpRequest, response: HttpResponse) -> HttpResponse:
    accepted = request.header("Accept-Encoding") == "gzip"
    if not accepted or len(response.body) < COMPRESSION_THRESHOLD_BYTES:
        return response
    headers = [*response.headers, CONTENT_GZIP]
    return HttpResponse(response.status, headers, compress(response.body))


def _json_response(value: object) -> HttpResponse:
    return HttpResponse(200, [], to_json(value))


async def run_servers(servers: list[FakeWorkerServer]) -> None:
    """Runs several worker servers in this process until cancelled."""
    async with curio.TaskGroup() as group:
        for server in servers:
            await group.spawn(server.run)


def main(argv: list[str] | None = None) -> None:
    """Runs fake workers and prints ``vm address`` for each of them."""
    options = docopt(__doc__, argv)
    capacity = Resources(
        float(options["--cpu"]),
        float(options["--memory"]),
        int(options["--accelerators"]),
    )
    host, port = split_address(options["--listen"])
    first_number = int(options["--first"])
    servers = []
    for number in range(first_number, first_number + int(options["--count"])):
        vm = VmId(f"{options['--prefix']}-{number}")
        worker = FakeWorker(
            vm,
            capacity,
            run_time=float(options["--run-time"]),
            usage_lag=float(options["--usage-lag"]),
            seed=int(options["--seed"]),
        )
        offset = number - first_number if port else 0
        servers.append(FakeWorkerServer(worker, f"{host}:{port + offset}"))
        print(vm, servers[-1].address, flush=True)
    curio.run(run_servers, servers)


if __name__ == "__main__":
    main()
