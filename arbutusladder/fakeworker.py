"""Stand-in of a worker: starts what it is given and records what it did.

Usage:
  fakeworker [--count=N] [--listen=ADDRESS] [--first=N] [--prefix=NAME]
             [--cpu=CORES] [--memory=MB] [--accelerators=N] [--run-time=S]
             [--usage-lag=S] [--seed=N]

Options:
  --count=N          Workers in this process [default: 1].
  --listen=ADDRESS   Address and first port; port 0 takes free ones
                     [default: 127.0.0.1:0].
  --first=N          Number of the first worker [default: 0].
  --prefix=NAME      First part of the VM ids [default: worker].
  --cpu=CORES        Cores of each worker [default: 64].
  --memory=MB        Memory of each worker [default: 131072].
  --accelerators=N   Accelerators of each worker [default: 0].
  --run-time=S       Run time of a task whose command names none [default: 60].
  --usage-lag=S      Seconds that reported usage lags behind [default: 2].
  --seed=N           Seed of random run times and usage [default: 1].

A task's command may hold words ``run=SECONDS``, ``cpu=CORES``, ``mem=MB`` and
``fail`` that set what the task really does.
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

TIMER_S = 0.05
CHECKPOINT_S = 0.1
FAILURE_S = 0.02


@dataclass
class Faults:
    """Switches for faults.

    Attributes:
        frozen: Keeps running tasks but answers nothing.
        lose_replies: Number of exchanges whose reply is lost after the effect.
        fail_all: Every task fails shortly after its start.
        usage_factor: Usage as a multiple of the declaration.
        run_factor: Run time as a multiple of the intended one.
        delay_s: Seconds before each answer.
        stall_s: The next exchange with starts is carried out this many seconds
            late, as one that waits in the network's buffers.
        leaving: Announces that the worker leaves.
        clock_offset_s: Deviation of this worker's wall clock in seconds.
        forget_ended: Loses the list of ended tasks at once.
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
class Run:
    """One run of a task, as the worker recorded it.

    Attributes:
        started_at: Wall clock time in seconds, without the clock's deviation.
        ended_at: Wall clock time in seconds; zero while it runs.
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
    """What a worker did since its process started.

    Attributes:
        peak: Highest amount of each resource given to tasks at one time.
        peak_usage: Highest amount of each resource really used.
        over_capacity: Starts that took the given amount above the capacity.
        duplicates: Tasks started while they ran here already.
        refused: Starts refused because their lease had expired.
        exchanges: Exchanges whose request was carried out.
    """

    vm: VmId
    runs: list[Run] = field(default_factory=list)
    peak: Resources = field(default_factory=Resources)
    peak_usage: Resources = field(default_factory=Resources)
    over_capacity: list[TaskId] = field(default_factory=list)
    duplicates: list[TaskId] = field(default_factory=list)
    refused: list[TaskId] = field(default_factory=list)
    exchanges: int = 0


def find_overlapping_runs(records: list[WorkerRecord]) -> list[tuple[Run, Run]]:
    """Returns pairs of runs of one task that ran at the same time."""
    runs_by_task: dict[TaskId, list[Run]] = {}
    for record in records:
        for run in record.runs:
            runs_by_task.setdefault(run.task_id, []).append(run)
    found = []
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:], strict=False):
            if not earlier.ended_at or earlier.ended_at > later.started_at:
                found.append((earlier, later))
    return found


def count_starts(records: list[WorkerRecord]) -> dict[TaskId, int]:
    """Returns the number of runs by task."""
    counts: dict[TaskId, int] = {}
    for record in records:
        for run in record.runs:
            counts[run.task_id] = counts.get(run.task_id, 0) + 1
    return counts


@dataclass
class _Task:
    start: StartTask
    run: Run
    lease_expires_at: float
    ends_at: float
    usage: Resources
    fails: bool = False
    throttled_cpu: float | None = None
    checkpoint_at: float | None = None


class FakeWorker:
    """State of one worker; time comes from a clock.

    Args:
        vm: Id of the worker.
        capacity: Its resources.
        clock: Time.
        run_time: Seconds that a task runs when its command names none.
        usage_lag: Seconds that reported usage lags behind.
        seed: Seed of random values.
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
        self._run_time = run_time
        self._usage_lag = usage_lag
        self._random = random.Random(f"{seed}/{vm}")
        self._boots = 0
        self._tasks: dict[TaskId, _Task] = {}
        self._ended: dict[TaskId, EndedTask] = {}
        self._boot()

    def restart(self) -> None:
        """Loses all tasks and lists, as a restart of the VM does."""
        for task in list(self._tasks.values()):
            self._finish_run(task, self._clock.wall(), "restart")
        self._tasks.clear()
        self._ended.clear()
        self._boot()

    def exchange(self, request: WorkerExchange) -> WorkerReport:
        """Carries out an exchange and returns the report."""
        self.check()
        self.record.exchanges += 1
        for task_id in request.acks:
            self._ended.pop(task_id, None)
        for renewal in request.renewals:
            task = self._tasks.get(renewal.task_id)
            if task:
                latest = max(task.lease_expires_at, renewal.lease_expires_at)
                task.lease_expires_at = latest
        for action in request.actions:
            self._act(action)
        results = [self._start(start) for start in request.starts]
        self._measure()
        return self.report(results)

    def report(self, results: list[StartResult] | None = None) -> WorkerReport:
        """Returns what runs and what has ended."""
        self.check()
        return WorkerReport(
            self.vm,
            self.boot,
            results or [],
            [self._running(task) for task in self._tasks.values()],
            list(self._ended.values()),
            self.faults.leaving,
        )

    def check(self) -> None:
        """Ends tasks whose lease has expired or which have finished."""
        now = self._clock.wall()
        for task in list(self._tasks.values()):
            expiry = task.lease_expires_at - self.faults.clock_offset_s
            checkpoint = task.checkpoint_at or float("inf")
            ends_at = min(expiry, task.ends_at, checkpoint)
            if now < ends_at:
                continue
            if ends_at == expiry:
                self._end(task, TaskEnd.LEASE_EXPIRED, ends_at)
            elif ends_at == checkpoint:
                self._end(task, TaskEnd.CHECKPOINTED, ends_at)
            else:
                end = TaskEnd.FAILED if task.fails else TaskEnd.FINISHED
                self._end(task, end, ends_at)

    @property
    def running(self) -> list[TaskId]:
        """Tasks that run now."""
        return list(self._tasks)

    def _boot(self) -> None:
        self._boots += 1
        self.boot = f"{self.vm}-{self._boots}-{self._random.getrandbits(32):08x}"

    def _start(self, start: StartTask) -> StartResult:
        now = self._clock.wall()
        if now + self.faults.clock_offset_s >= start.lease_expires_at:
            self.record.refused.append(start.task_id)
            return StartResult(start.task_id, False, "lease_expired")
        if start.task_id in self._tasks:
            self.record.duplicates.append(start.task_id)
            return StartResult(start.task_id, False, "already_running")
        run = Run(self.vm, start.task_id, start.job_id, start.attempt, now)
        self.record.runs.append(run)
        self._ended.pop(start.task_id, None)
        self._tasks[start.task_id] = self._new_task(start, run, now)
        if not fits(self._given(), self.capacity):
            self.record.over_capacity.append(start.task_id)
        return StartResult(start.task_id, True)

    def _new_task(self, start: StartTask, run: Run, now: float) -> _Task:
        words = dict(word.partition("=")[::2] for word in start.command.split())
        run_time = float(words.get("run", self._run_time)) * self.faults.run_factor
        factor = self.faults.usage_factor
        usage = Resources(
            float(words.get("cpu", start.resources.cpu * factor)),
            float(words.get("mem", start.resources.memory_mb * factor)),
            start.resources.accelerators,
        )
        fails = self.faults.fail_all or "fail" in words
        ends_at = now + (FAILURE_S if fails else run_time)
        return _Task(start, run, start.lease_expires_at, ends_at, usage, fails)

    def _act(self, action: TaskAction) -> None:
        task = self._tasks.get(action.task_id)
        if not task:
            return
        match action.action:
            case TaskActionKind.THROTTLE:
                task.throttled_cpu = action.cpu
            case TaskActionKind.RESUME:
                task.throttled_cpu = None
            case TaskActionKind.CHECKPOINT:
                task.checkpoint_at = self._clock.wall() + CHECKPOINT_S
            case TaskActionKind.STOP:
                self._end(task, TaskEnd.STOPPED, self._clock.wall())

    def _end(self, task: _Task, end: TaskEnd, ended_at: float) -> None:
        self._finish_run(task, ended_at, end.value)
        del self._tasks[task.run.task_id]
        run = task.run
        if not self.faults.forget_ended:
            self._ended[run.task_id] = EndedTask(
                run.task_id, run.job_id, end, ended_at - run.started_at, run.attempt
            )

    def _finish_run(self, task: _Task, ended_at: float, end: str) -> None:
        task.run.ended_at = ended_at
        task.run.end = end

    def _given(self) -> Resources:
        total = Resources()
        for task in self._tasks.values():
            total = add(total, _limited(task.start.resources, task))
        return total

    def _used(self, task: _Task) -> Resources:
        return _limited(task.usage, task)

    def _measure(self) -> None:
        used = Resources()
        for task in self._tasks.values():
            used = add(used, self._used(task))
        self.record.peak = _highest(self.record.peak, self._given())
        self.record.peak_usage = _highest(self.record.peak_usage, used)

    def _running(self, task: _Task) -> RunningTask:
        run = task.run
        lagging = self._clock.wall() - run.started_at < self._usage_lag
        return RunningTask(
            run.task_id,
            run.job_id,
            task.lease_expires_at,
            task.start.resources,
            Resources() if lagging else self._used(task),
            run.attempt,
            task.throttled_cpu is not None,
            run.started_at,
        )


def _limited(amount: Resources, task: _Task) -> Resources:
    if task.throttled_cpu is None:
        return amount
    return replace(amount, cpu=min(amount.cpu, task.throttled_cpu))


def _highest(left: Resources, right: Resources) -> Resources:
    return Resources(
        max(left.cpu, right.cpu),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


class FakeWorkerServer:
    """Serves one worker over HTTP, with its faults and its record.

    Args:
        worker: State of the worker.
        address: IP address and port; port 0 takes a free one.
    """

    def __init__(self, worker: FakeWorker, address: str = "127.0.0.1:0"):
        self.worker = worker
        self._server = HttpServer(address, self._answer, max_body=16 * 1024 * 1024)
        self.address = self._server.address
        self._open: deque[bytes] = deque(maxlen=100)

    async def run(self) -> None:
        """Serves until cancelled; expires leases by a timer."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._server.run)
            await group.spawn(self._timer)
            try:
                await group.join()
            finally:
                await self._server.stop()

    async def _timer(self) -> None:
        while True:
            self.worker.check()
            await curio.sleep(TIMER_S)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case "POST", "/v1/exchange":
                return await self._exchange(request)
            case "GET", "/v1/tasks":
                await self._wait_while_frozen()
                return _json(self.worker.report())
            case "GET", "/v1/record":
                self.worker.check()
                return _json(self.worker.record)
            case "POST", "/v1/faults":
                return self._set_faults(request.body)
            case "POST", "/v1/restart":
                self.worker.restart()
                return _json({})
        return HttpResponse(404, [], b"no such resource")

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        await self._wait_while_frozen()
        try:
            exchange = from_json(request.body, WorkerExchange)
        except ProtocolError as error:
            return HttpResponse(400, [], str(error).encode())
        if exchange.starts and self.worker.faults.stall_s:
            seconds, self.worker.faults.stall_s = self.worker.faults.stall_s, 0.0
            await curio.sleep(seconds)
        report = self.worker.exchange(exchange)
        if self.worker.faults.delay_s:
            await curio.sleep(self.worker.faults.delay_s)
        if self.worker.faults.lose_replies > 0:
            self.worker.faults.lose_replies -= 1
            raise ConnectionResetError("reply lost by a fault switch")
        return _coded(request, _json(report))

    async def _wait_while_frozen(self) -> None:
        # A request that waits here is carried out after the freeze, as one in
        # the buffers of a paused process is.
        while self.worker.faults.frozen:
            await curio.sleep(TIMER_S)

    def _set_faults(self, body: bytes) -> HttpResponse:
        values = from_json(body, dict)
        known = {item.name for item in fields(Faults)}
        unknown = sorted(set(values) - known)
        if unknown:
            detail = f"unknown faults {unknown}; known are {sorted(known)}"
            return HttpResponse(400, [], detail.encode())
        for name, value in values.items():
            setattr(self.worker.faults, name, value)
        return _json(self.worker.faults)


def _coded(request: HttpRequest, answer: HttpResponse) -> HttpResponse:
    accepted = request.header("Accept-Encoding") == "gzip"
    if not accepted or len(answer.body) < COMPRESSION_THRESHOLD_BYTES:
        return answer
    headers = [*answer.headers, CONTENT_GZIP]
    return HttpResponse(answer.status, headers, compress(answer.body))


def _json(value: object) -> HttpResponse:
    return HttpResponse(200, [], to_json(value))


async def serve(servers: list[FakeWorkerServer]) -> None:
    """Runs several workers in this process until cancelled."""
    async with curio.TaskGroup() as group:
        for server in servers:
            await group.spawn(server.run)


def main(argv: list[str] | None = None) -> None:
    """Runs workers and prints ``vm address`` for each."""
    options = docopt(__doc__, argv)
    capacity = Resources(
        float(options["--cpu"]),
        float(options["--memory"]),
        int(options["--accelerators"]),
    )
    host, port = split_address(options["--listen"])
    first = int(options["--first"])
    servers = []
    for number in range(first, first + int(options["--count"])):
        vm = VmId(f"{options['--prefix']}-{number}")
        worker = FakeWorker(
            vm,
            capacity,
            run_time=float(options["--run-time"]),
            usage_lag=float(options["--usage-lag"]),
            seed=int(options["--seed"]),
        )
        offset = number - first if port else 0
        servers.append(FakeWorkerServer(worker, f"{host}:{port + offset}"))
        print(vm, servers[-1].address, flush=True)
    curio.run(serve, servers)


if __name__ == "__main__":
    main()
