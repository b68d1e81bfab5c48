"""Test harness with fake workers, a fake log and owners of one shard."""

import threading
import time

import curio

from arbutusladder.clock import Clock
from arbutusladder.codec import from_json
from arbutusladder.declarations import Preset
from arbutusladder.fakeworker import (
    FakeWorker,
    FakeWorkerServer,
    count_starts,
    find_overlapping_runs,
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
from tests.virtualtime import run_in_virtual_time

# Short leases keep the tests short. The times have the same order as the defaults.
TIMING = Timing(task_lease_s=1.2, clock_skew_s=0.1, worker_exchange_s=0.3)
LEASE_AND_SKEW_S = 1.3


def make_job(job_id, tasks=1, cpu=1.0, run=30.0, **fields):
    """Returns a job whose tasks run for ``run`` seconds."""
    fields = {"urgency": Urgency.NORMAL, "command": f"run={run}"} | fields
    task_resources = Resources(cpu, 100.0)
    return JobSpec(
        job_id, "w", "t", tasks=tasks, task_resources=task_resources, **fields
    )


class FakeAppend:
    """Appends records to a list; can simulate outages and lost replies.

    Attributes:
        records: Appended records.
        outcome: Outcome of appends; a record is not kept with ``NOT_RUN``.
        delay_s: Seconds that an append takes.
    """

    def __init__(self):
        self.records = []
        self.outcome = Outcome.DONE
        self.delay_s = 0.002

    async def __call__(self, record):
        await curio.sleep(self.delay_s)
        if self.outcome is not Outcome.NOT_RUN:
            self.records.append(record)
        return self.outcome


class ShardOwner:
    """Owner of the shard with a validity of its own.

    Attributes:
        validity: Seconds for which the ownership stays valid from any time.
        valid_until: Monotonic time in seconds at which the validity ends at the latest.
    """

    def __init__(
        self, cluster, timing=TIMING, validity=0.7, policy="firstfit", **preset
    ):
        self.cluster = cluster
        self.validity = validity
        self.valid_until = float("inf")
        self.metrics = Metrics()
        self.policy = make_policy(Preset(name="p", policy=policy, **preset), {})
        self.jobs = ShardJobs(
            "shard",
            self.policy,
            cluster.append,
            self.metrics,
            Clock(),
            timing,
            lambda: min(self.valid_until, time.monotonic() + validity),
            Journal("test"),
        )
        self.task = None

    async def start(self, active_jobs=(), ended_tasks=(), **rebuild):
        self.jobs.set_workers(self.cluster.vm_records())
        self.task = await curio.spawn(self.jobs.run, daemon=True)
        await self.jobs.rebuild(active_jobs, ended_tasks, time.time(), **rebuild)
        return self

    async def crash(self):
        """Stops the owner at once, without the steps of a planned stop."""
        valid_until = min(self.valid_until, time.monotonic() + self.validity)
        self.cluster.owner_valid_until = max(
            self.cluster.owner_valid_until, valid_until
        )
        self.valid_until = 0.0
        await self.task.cancel()


class WorkerCluster:
    """Fake workers and a fake log.

    Its workers run in a thread of their own if it is used as a context manager.

    Attributes:
        owner_valid_until: Monotonic end of the validity of crashed owners in seconds.
        leaving: Ids of workers that the VM list marks as leaving.
        removed: Ids of workers that are not in the VM list.
    """

    def __init__(self, workers=2, cpu=4.0, **options):
        capacity = Resources(cpu, 64_000.0)
        self.workers = [
            FakeWorker(VmId(f"w{number}"), capacity, usage_lag=0.5, **options)
            for number in range(workers)
        ]
        self.servers = [FakeWorkerServer(worker) for worker in self.workers]
        self.append = FakeAppend()
        self.owner_valid_until = 0.0
        self.leaving = set()
        self.removed = set()
        self._ready = threading.Event()
        self._done = curio.UniversalEvent()

    def __enter__(self):
        self._thread = threading.Thread(target=curio.run, args=[self._serve_until_done])
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *_):
        self._done.set()
        self._thread.join()

    async def serve(self):
        """Runs the workers until cancelled."""
        async with curio.TaskGroup() as group:
            for server in self.servers:
                await group.spawn(server.run)

    async def _serve_until_done(self):
        serve_task = await curio.spawn(self.serve)
        self._ready.set()
        await self._done.wait()
        await serve_task.cancel()

    async def start_owner(
        self, active_jobs=(), ended_tasks=(), policy="firstfit", **rebuild
    ):
        """Starts a new owner, once the validity of a crashed one has ended."""
        await curio.sleep(max(0.0, self.owner_valid_until - time.monotonic()))
        owner = ShardOwner(self, policy=policy)
        return await owner.start(active_jobs, ended_tasks, **rebuild)

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

    def read_jobs_from_log(self):
        """Returns the active jobs and the ended tasks according to the log."""
        active_jobs, ended_tasks = {}, []
        for record in self.append.records:
            match record:
                case JobSubmitted(job=spec):
                    active_jobs[spec.job_id] = spec
                case JobEnded(job_id=job_id):
                    active_jobs.pop(job_id, None)
                case TasksEnded(tasks=tasks):
                    ended_tasks.extend(tasks)
        return list(active_jobs.values()), ended_tasks

    def list_running_tasks(self):
        return sorted(task for worker in self.workers for task in worker.running)

    async def send_to_worker(self, number, method, path, body=b""):
        """Sends an HTTP request to a worker; workers run in another thread."""
        address = self.servers[number].address
        return (await request(address, method, path, body)).body

    async def list_reported_ends(self):
        """Returns the ended tasks that the workers still report."""
        bodies = [
            await self.send_to_worker(n, "GET", "/v1/tasks")
            for n in range(len(self.servers))
        ]
        reports = [from_json(body, WorkerReport) for body in bodies]
        return [end.task_id for report in reports for end in report.ended]

    def list_worker_records(self):
        return [worker.record for worker in self.workers]

    def count_starts(self):
        return count_starts(self.list_worker_records())

    def find_violations(self):
        """Returns the violations of the invariants that the workers recorded."""
        worker_records = self.list_worker_records()
        return {
            "overlaps": find_overlapping_runs(worker_records),
            "duplicates": [t for record in worker_records for t in record.duplicates],
            "over_capacity": [
                t for record in worker_records for t in record.over_capacity
            ],
        }


NO_VIOLATIONS = {"overlaps": [], "duplicates": [], "over_capacity": []}


async def wait_until(condition, timeout_s=5.0):
    """Waits until a condition holds; returns the waiting time in seconds."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < timeout_s, (
            "the condition did not hold in time"
        )
        await curio.sleep(0.01)
    return time.monotonic() - started


def run_with_cluster(scenario, **options):
    """Runs a coroutine function with a worker cluster in virtual time.

    Returns:
        The result of the coroutine function.
    """

    async def main():
        cluster = WorkerCluster(**options)
        serve_task = await curio.spawn(cluster.serve)
        try:
            return await scenario(cluster)
        finally:
            await serve_task.cancel()

    return run_in_virtual_time(main)


def run_with_cluster_thread(scenario, **options):
    """Runs a coroutine function with a worker cluster in a thread of its own.

    For a scenario that blocks its kernel or measures its processor time.

    Returns:
        The result of the coroutine function.
    """
    with WorkerCluster(**options) as cluster:
        return curio.run(scenario, cluster)
