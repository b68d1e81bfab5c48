"""Measures the cost of worker exchanges for the owner of a shard.

Usage:
  workerbench exchange [--rounds=N] [--batch=LIST] [--seed=N]
  workerbench owner [--workers=N] [--rate=N] [--seconds=S] [--run-time=S]
                    [--policy=NAME] [--seed=N]

``exchange`` prints the CPU time of both sides and the bytes on the wire of one
exchange with one worker, for batches (by default of 1, 10 and 100) of starts,
renewals and running tasks.
``owner`` runs a complete owner with fake workers and prints its CPU time and bytes
per start. The fake workers run in a separate thread, whose CPU time is not counted
as the owner's.

Options:
  --rounds=N      Exchanges measured for each row [default: 200].
  --batch=LIST    Comma-separated batch sizes [default: 1,10,100].
  --workers=N     Number of fake workers [default: 36].
  --rate=N        Tasks submitted per second [default: 27].
  --seconds=S     Measured seconds of load [default: 20].
  --run-time=S    Mean run time of a task in seconds [default: 10].
  --policy=NAME   Scheduling policy of the owner [default: fairshare].
  --seed=N        Seed of run times and task sizes [default: 1].
"""

import random
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
from curio.network import tcp_server_socket
from docopt import docopt

from arbutusladder.clock import Clock
from arbutusladder.declarations import Preset
from arbutusladder.errors import HttpError
from arbutusladder.fakeworker import FakeWorker, FakeWorkerServer
from arbutusladder.httpclient import split_address
from arbutusladder.ids import JobId, ShardId, TaskId, VmId, WorkloadName
from arbutusladder.jobs import task_id_of
from arbutusladder.journal import Journal
from arbutusladder.leases import LeaseTable, LeaseTerms
from arbutusladder.messages import (
    JobSpec,
    Resources,
    StartTask,
    TaskAction,
    VmRecord,
    WorkerExchange,
    WorkerReport,
)
from arbutusladder.metrics import Metrics
from arbutusladder.policies import make_policy
from arbutusladder.settings import Timing
from arbutusladder.shardjobs import ShardJobs
from arbutusladder.states import (
    Outcome,
    TaskActionKind,
    Urgency,
    VmKind,
    VmState,
)
from arbutusladder.workerclient import WorkerClient

OWNERSHIP_VALIDITY_S = 3.0
COMMAND = "run=3600 --series residual-nl --day 2026-06-30"
HEADINGS = ("exchange", "batch", "owner_ms", "worker_ms", "sent_B", "received_B")


class WorkerThread:
    """Serves fake workers in a thread, directly and through counting relays.

    Args:
        workers: Workers to serve.
    """

    def __init__(self, workers: list[FakeWorker]):
        self._servers = [FakeWorkerServer(worker) for worker in workers]
        self._relays = [CountingRelay(server.address) for server in self._servers]
        self.addresses = [server.address for server in self._servers]
        self.relay_addresses = [relay.address for relay in self._relays]
        self._stop_event = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=[self._serve])

    def __enter__(self) -> "WorkerThread":
        self._thread.start()
        self._cpu_clock = time.pthread_getcpuclockid(self._thread.ident)
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_event.set()
        self._thread.join()

    def cpu_seconds(self) -> float:
        """Returns the CPU time of the thread in seconds."""
        return time.clock_gettime(self._cpu_clock)

    def traffic_bytes(self) -> tuple[int, int]:
        """Returns the bytes sent to and received from the workers by the relays."""
        sent = sum(relay.sent for relay in self._relays)
        return sent, sum(relay.received for relay in self._relays)

    async def _serve(self) -> None:
        parts = [*self._servers, *self._relays]
        tasks = [await curio.spawn(part.run, daemon=True) for part in parts]
        await self._stop_event.wait()
        for task in tasks:
            await task.cancel()


class CountingRelay:
    """Forwards connections to a server and counts their bytes.

    Args:
        target: IP address and port of the server.

    Attributes:
        sent: Bytes forwarded to the server.
        received: Bytes forwarded from the server.
    """

    def __init__(self, target: str):
        self._target = target
        self._sock = tcp_server_socket("127.0.0.1", 0)
        self.address = "{}:{}".format(*self._sock.getsockname())
        self.sent = 0
        self.received = 0

    async def run(self) -> None:
        """Accepts and forwards connections until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: "curio.socket.socket") -> None:
        server = await curio.open_connection(*split_address(self._target))
        async with client, server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, server, "sent")
            await group.spawn(self._copy, server, client, "received")

    async def _copy(
        self,
        source: "curio.socket.socket",
        target: "curio.socket.socket",
        counter: str,
    ) -> None:
        while data := await source.recv(65536):
            setattr(self, counter, getattr(self, counter) + len(data))
            await target.sendall(data)


class BenchListener:
    """Listener of a worker client that ignores reports and raises failures."""

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """Ignores the report."""

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """Ends the measurement with the error."""
        raise error


@dataclass
class ExchangeCost:
    """Mean cost of one kind of exchange.

    Attributes:
        kind: What the exchanges contain.
        batch: Starts, renewals or running tasks in an exchange.
        owner_ms: CPU time of the owner.
        worker_ms: CPU time of the worker.
        sent: Bytes sent to the worker.
        received: Bytes received from the worker.
    """

    kind: str
    batch: int
    owner_ms: float
    worker_ms: float
    sent: float
    received: float

    def format_row(self) -> str:
        """Returns a table row with fixed column widths."""
        return (
            f"{self.kind:9} {self.batch:5} {self.owner_ms:9.3f} "
            f"{self.worker_ms:9.3f} {self.sent:7.0f} {self.received:10.0f}"
        )


class ExchangeBench:
    """Measures exchanges with one worker.

    Args:
        batch: Starts, renewals or running tasks in an exchange.
        rounds: Exchanges measured for each row.
        seed: Seed of the fake worker.
    """

    def __init__(self, batch: int, rounds: int, seed: int):
        self._batch = batch
        self._rounds = rounds
        self._worker = FakeWorker(VmId("worker-000"), Resources(1e6, 1e9), seed=seed)
        self._leases = LeaseTable(LeaseTerms(30.0, 0.25))
        self._started_count = 0

    def rows(self) -> list[ExchangeCost]:
        """Returns the measured cost of each kind of exchange."""
        with WorkerThread([self._worker]) as thread:
            return curio.run(self._measure_all, thread)

    async def _measure_all(self, thread: WorkerThread) -> list[ExchangeCost]:
        # CPU time is measured without the relay, bytes are measured with it.
        direct = self._make_client(thread.addresses[0])
        relayed = self._make_client(thread.relay_addresses[0])
        kinds = (
            ("start", self._prepare_starts),
            ("renewal", self._prepare_renewals),
            ("idle", self._prepare_idle),
        )
        rows = []
        for kind, prepare in kinds:
            row = ExchangeCost(kind, self._batch, 0.0, 0.0, 0.0, 0.0)
            await self._measure_cpu(row, direct, prepare, thread)
            await self._measure_bytes(row, relayed, prepare, thread)
            rows.append(row)
        return rows

    def _make_client(self, address: str) -> WorkerClient:
        return WorkerClient(
            self._worker.vm,
            address,
            BenchListener(),
            self._leases,
            Timing(),
            Clock(),
            Metrics(),
            lambda: time.monotonic() + OWNERSHIP_VALIDITY_S,
        )

    async def _measure_cpu(
        self,
        row: ExchangeCost,
        client: WorkerClient,
        prepare: Callable[[WorkerClient], Awaitable[None]],
        thread: WorkerThread,
    ) -> None:
        owner_cpu_s = worker_cpu_s = 0.0
        for _ in range(self._rounds):
            await prepare(client)
            before = (time.thread_time(), thread.cpu_seconds())
            await client.exchange()
            owner_cpu_s += time.thread_time() - before[0]
            # The worker's thread may still be busy when the response arrives.
            worker_cpu_s += thread.cpu_seconds() - before[1]
        row.owner_ms = owner_cpu_s / self._rounds * 1000
        row.worker_ms = worker_cpu_s / self._rounds * 1000

    async def _measure_bytes(
        self,
        row: ExchangeCost,
        client: WorkerClient,
        prepare: Callable[[WorkerClient], Awaitable[None]],
        thread: WorkerThread,
    ) -> None:
        rounds = max(1, self._rounds // 10)
        sent = received = 0
        for _ in range(rounds):
            await prepare(client)
            before = thread.traffic_bytes()
            await client.exchange()
            after = thread.traffic_bytes()
            sent += after[0] - before[0]
            received += after[1] - before[1]
        row.sent = sent / rounds
        row.received = received / rounds

    async def _prepare_starts(self, client: WorkerClient) -> None:
        await self._stop_tasks(client)
        for task_id in self._new_tasks():
            client.start(
                StartTask(
                    task_id, JobId("job"), 0.0, Resources(0.5, 512.0), command=COMMAND
                )
            )

    async def _prepare_renewals(self, client: WorkerClient) -> None:
        await self._ensure_running_tasks(client)
        for lease in self._leases.leases_on_worker(self._worker.vm):
            lease.running = True
        self._leases.mark_renewals_due(self._worker.vm, float("-inf"))

    async def _prepare_idle(self, client: WorkerClient) -> None:
        await self._ensure_running_tasks(client)
        for lease in self._leases.leases_on_worker(self._worker.vm):
            lease.renewable = False

    async def _ensure_running_tasks(self, client: WorkerClient) -> None:
        if len(self._worker.running) != self._batch:
            await self._prepare_starts(client)
            await client.exchange()

    async def _stop_tasks(self, client: WorkerClient) -> None:
        for task_id in self._worker.running:
            client.act(TaskAction(task_id, TaskActionKind.STOP))
            client.acknowledge(task_id)
            self._leases.release(task_id)
        await client.exchange()
        # An exchange applies acknowledgements before stops, so the stopped tasks are
        # acknowledged in a second exchange.
        for number in range(self._started_count):
            client.acknowledge(task_id_of(JobId("job"), number))
        await client.exchange()

    def _new_tasks(self) -> list[TaskId]:
        first = self._started_count
        self._started_count += self._batch
        return [
            task_id_of(JobId("job"), number)
            for number in range(first, self._started_count)
        ]


async def confirm_record(record: object) -> Outcome:
    """Confirms a record without storing it in a log."""
    return Outcome.DONE


class OwnerBench:
    """Measures a complete owner under constant load.

    Args:
        options: Command line options.
    """

    def __init__(self, options: dict[str, str]):
        self._rate = float(options["--rate"])
        self._seconds = float(options["--seconds"])
        self._run_time = float(options["--run-time"])
        self._policy = options["--policy"]
        self._seed = int(options["--seed"])
        self._rng = random.Random(self._seed)
        self._workers = [
            FakeWorker(VmId(f"worker-{n:03}"), Resources(64, 131072), seed=self._seed)
            for n in range(int(options["--workers"]))
        ]

    def run(self) -> str:
        """Runs the measurement and returns the results as text."""
        with WorkerThread(self._workers) as thread:
            return curio.run(self._measure, thread)

    async def _measure(self, thread: WorkerThread) -> str:
        metrics = Metrics()
        owner = self._make_owner(metrics)
        owner.set_workers(self._vm_records(thread))
        task = await curio.spawn(owner.run, daemon=True)
        await owner.rebuild([], [], time.time())
        # Warm-up, so that tasks end and leases are renewed during the measurement.
        await self._submit_jobs(owner, self._run_time + 2.0)
        before = (
            time.thread_time(),
            thread.traffic_bytes(),
            self._read_counters(metrics),
        )
        await self._submit_jobs(owner, self._seconds)
        owner_cpu_s = time.thread_time() - before[0]
        bytes_after = thread.traffic_bytes()
        starts, exchanges = self._read_counters(metrics)
        await task.cancel()
        return self._format_result(
            owner_cpu_s,
            starts - before[2][0],
            exchanges - before[2][1],
            bytes_after[0] - before[1][0],
            bytes_after[1] - before[1][1],
        )

    def _read_counters(self, metrics: Metrics) -> tuple[int, int]:
        counts = metrics.count_by_name
        return counts["task.starts"], counts["worker.exchanges"]

    def _format_result(
        self, cpu_s: float, starts: int, exchanges: int, sent: int, received: int
    ) -> str:
        running = sum(len(worker.running) for worker in self._workers)
        return "\n".join(
            [
                f"workers {len(self._workers)}, running at the end {running}",
                f"starts/s {starts / self._seconds:.1f}, "
                f"exchanges/s {exchanges / self._seconds:.1f}",
                f"owner CPU {100 * cpu_s / self._seconds:.2f} % of a core, "
                f"{1000 * cpu_s / max(1, starts):.3f} ms per start",
                f"sent {sent / self._seconds / 1000:.2f} KB/s, "
                f"received {received / self._seconds / 1000:.2f} KB/s, "
                f"{(sent + received) / max(1, starts):.0f} bytes per start",
            ]
        )

    def _make_owner(self, metrics: Metrics) -> ShardJobs:
        return ShardJobs(
            ShardId("shard"),
            make_policy(Preset(name="ordinary", policy=self._policy), {}),
            confirm_record,
            metrics,
            Clock(),
            Timing(),
            lambda: time.monotonic() + OWNERSHIP_VALIDITY_S,
            Journal("workerbench"),
        )

    def _vm_records(self, thread: WorkerThread) -> list[VmRecord]:
        pairs = zip(self._workers, thread.relay_addresses, strict=True)
        return [
            VmRecord(
                worker.vm,
                VmKind.WORKER,
                address,
                "region",
                "domain",
                VmState.LIVE,
                rack=f"rack-{index // 6}",
                resources=worker.capacity,
            )
            for index, (worker, address) in enumerate(pairs)
        ]

    async def _submit_jobs(self, owner: ShardJobs, seconds: float) -> None:
        end = time.monotonic() + seconds
        due_at = time.monotonic()
        while due_at < end:
            await owner.submit(self._make_job())
            due_at += 1 / self._rate
            await curio.sleep(max(0.0, due_at - time.monotonic()))

    def _make_job(self) -> JobSpec:
        number = self._rng.getrandbits(40)
        run_time = self._rng.uniform(0.5, 1.5) * self._run_time
        return JobSpec(
            JobId(f"job-{number:010x}"),
            WorkloadName("residual"),
            "team",
            self._rng.choice([Urgency.URGENT, Urgency.NORMAL]),
            1,
            Resources(self._rng.choice([0.5, 1.0, 2.0]), 512.0),
            run_time_s=self._run_time,
            command=f"run={run_time:.2f} --series residual-nl",
        )


def main(argv: list[str] | None = None) -> None:
    """Runs one measurement and prints its results."""
    options = docopt(__doc__, argv)
    if options["owner"]:
        print(OwnerBench(options).run())
        return
    print(" ".join(HEADINGS))
    for batch in options["--batch"].split(","):
        bench = ExchangeBench(
            int(batch), int(options["--rounds"]), int(options["--seed"])
        )
        for row in bench.rows():
            print(row.format_row(), flush=True)


if __name__ == "__main__":
    main()
