"""Stand-in workers, a stand-in log and owners of one shard, for tests."""

import threading
import time

import curio

from arbutusladder.clock import Clock
from arbutusladder.codec import from_json
from arbutusladder.declarations import Preset
from arbutusladder.fakeworker import (
    FakeWorker,
    FakeWorkerServer,
    overlaps,
    start_counts,
)
from arbutusladder.httpclient import request
from arbutusladder.ids import VmId
from arbutusladder.journal import Journal
from arbutusladder.messages import (
    JobEnded,
    JobSpec,
    JobSubmitted,
    Resources,
    TasksEnded,
    VmRecord,
    WorkerReport,
)
from arbutusladder.metrics import Metrics
from arbutusladder.policies import make_policy
from arbutusladder.settings import Timing
from arbutusladder.shardjobs import ShardJobs
from arbutusladder.states import Outcome, Urgency, VmKind, VmState

# Short leases keep the tests short; the order of the times is that of the
# defaults.
TIMING = Timing(task_lease_s=1.2, clock_skew_s=0.1, worker_exchange_s=0.3)
LEASE_AND_SKEW_S = 1.3


def job(job_id, tasks=1, cpu=1.0, run=30.0, **fields):
    """Returns a job whose tasks run for some seconds."""
    fields = {"urgency": Urgency.NORMAL, "command": f"run={run}"} | fields
    need = Resources(cpu, 100.0)
    return JobSpec(job_id, "w", "t", tasks=tasks, task_resources=need, **fields)


class FakeAppend:
    """Appends to a list; it can be down or lose replies."""

    def __init__(self):
        self.records = []
        self.outcome = Outcome.DONE
        self.delay_s = 0.002

    async def __call__(self, record):
        await curio.sleep(self.delay_s)
        if self.outcome is not Outcome.NOT_RUN:
            self.records.append(record)
        return self.outcome


class Owner:
    """One owner of the shard with its own validity."""

    def __init__(self, cell, timing=TIMING, validity=0.7, policy="firstfit", **preset):
        self.cell = cell
        self.validity = validity
        self.valid_until = float("inf")
        self.metrics = Metrics()
        self.policy = make_policy(Preset(name="p", policy=policy, **preset), {})
        self.jobs = ShardJobs(
            "shard",
            self.policy,
            cell.append,
            self.metrics,
            Clock(),
            timing,
            lambda: min(self.valid_until, time.monotonic() + validity),
            Journal("test"),
        )
        self.task = None

    async def start(self, live=(), ended=(), **rebuild):
        self.jobs.set_workers(self.cell.vm_records())
        self.task = await curio.spawn(self.jobs.run, daemon=True)
        await self.jobs.rebuild(live, ended, time.time(), **rebuild)
        return self

    async def crash(self):
        """Ends without any of the steps of a planned stop."""
        until = min(self.valid_until, time.monotonic() + self.validity)
        self.cell.owned_until = max(self.cell.owned_until, until)
        self.valid_until = 0.0
        await self.task.cancel()


class Cell:
    """Workers that are served in a thread of their own."""

    def __init__(self, workers=2, cpu=4.0, **options):
        capacity = Resources(cpu, 64_000.0)
        self.workers = [
            FakeWorker(VmId(f"w{number}"), capacity, usage_lag=0.5, **options)
            for number in range(workers)
        ]
        self.servers = [FakeWorkerServer(worker) for worker in self.workers]
        self.append = FakeAppend()
        self.owned_until = 0.0
        self.leaving = set()
        self.removed = set()
        self._ready = threading.Event()
        self._done = curio.UniversalEvent()

    def __enter__(self):
        self._thread = threading.Thread(target=curio.run, args=[self._serve])
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *_):
        self._done.set()
        self._thread.join()

    async def _serve(self):
        tasks = [await curio.spawn(server.run, daemon=True) for server in self.servers]
        self._ready.set()
        await self._done.wait()
        for task in tasks:
            await task.cancel()

    async def own(self, live=(), ended=(), policy="firstfit", **rebuild):
        """Returns a new owner, once the validity of the crashed one has ended."""
        await curio.sleep(max(0.0, self.owned_until - time.monotonic()))
        owner = Owner(self, policy=policy)
        return await owner.start(live, ended, **rebuild)

    def vm_records(self):
        return [
            VmRecord(
                server.worker.vm,
                VmKind.WORKER,
                server.address,
                "r",
                "d",
                VmState.LEAVING if server.worker.vm in self.leaving else VmState.LIVE,
                resources=server.worker.capacity,
            )
            for server in self.servers
            if server.worker.vm not in self.removed
        ]

    def fold(self):
        """Returns the live jobs and their ended tasks, as the log has them."""
        live, ended = {}, []
        for record in self.append.records:
            match record:
                case JobSubmitted(job=spec):
                    live[spec.job_id] = spec
                case JobEnded(job_id=job_id):
                    live.pop(job_id, None)
                case TasksEnded(tasks=tasks):
                    ended.extend(tasks)
        return list(live.values()), ended

    def running(self):
        return sorted(task for worker in self.workers for task in worker.running)

    async def ask(self, number, method, path, body=b""):
        """Sends a request to a worker, which lives in another thread."""
        address = self.servers[number].address
        return (await request(address, method, path, body)).body

    async def ended(self):
        """Returns the ended tasks that the workers still report."""
        bodies = [
            await self.ask(n, "GET", "/v1/tasks") for n in range(len(self.servers))
        ]
        reports = [from_json(body, WorkerReport) for body in bodies]
        return [end.task_id for report in reports for end in report.ended]

    def records(self):
        return [worker.record for worker in self.workers]

    def starts(self):
        return start_counts(self.records())

    def faults(self):
        """Returns what the stand-ins recorded against the invariants."""
        records = self.records()
        return {
            "overlaps": overlaps(records),
            "duplicates": [t for record in records for t in record.duplicates],
            "over_capacity": [t for record in records for t in record.over_capacity],
        }


SOUND = {"overlaps": [], "duplicates": [], "over_capacity": []}


async def until(condition, limit=5.0):
    """Waits until a condition holds and returns the seconds that took."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < limit, "the condition never held"
        await curio.sleep(0.01)
    return time.monotonic() - started


def run_in_cell(test, **options):
    """Runs a coroutine function with a cell and returns its result."""
    with Cell(**options) as cell:
        return curio.run(test, cell)
