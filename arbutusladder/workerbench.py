"""Measures what exchanges with workers cost the owner of a shard.

Usage:
  workerbench exchange [--rounds=N] [--batch=LIST] [--seed=N]
  workerbench owner [--workers=N] [--rate=N] [--seconds=S] [--run-time=S]
                    [--policy=NAME] [--seed=N]

``exchange`` prints, for one worker, the CPU time of each side and the bytes on
the wire of one exchange with 1, 10 and 100 starts, renewals, or running tasks.
``owner`` runs a whole owner against stand-in workers and prints its CPU time and
bytes per start. Workers run in a thread of their own, whose CPU time is not
counted.

Options:
  --rounds=N      Exchanges measured for each row [default: 200].
  --batch=LIST    Batch sizes [default: 1,10,100].
  --workers=N     Stand-in workers [default: 36].
  --rate=N        Tasks submitted a second [default: 27].
  --seconds=S     Seconds of load [default: 20].
  --run-time=S    Run time of each task in seconds [default: 10].
  --policy=NAME   Policy of the owner [default: fairshare].
  --seed=N        Seed of run times and sizes [default: 1].
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

VALIDITY_S = 3.0
COMMAND = "run=3600 --series residual-nl --day 2026-06-30"
HEADINGS = ("exchange", "batch", "owner_ms", "worker_ms", "sent_B", "received_B")


class WorkerThread:
    """Serves stand-in workers in a thread; counts the bytes of a relay.

    Args:
        workers: The workers.
    """

    def __init__(self, workers: list[FakeWorker]):
        self._servers = [FakeWorkerServer(worker) for worker in workers]
        self._relays = [Relay(server.address) for server in self._servers]
        self.addresses = [server.address for server in self._servers]
        self.relay_addresses = [relay.address for relay in self._relays]
        self._done = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=[self._serve])

    def __enter__(self) -> "WorkerThread":
        self._thread.start()
        self._cpu_clock = time.pthread_getcpuclockid(self._thread.ident)
        return self

    def __exit__(self, *_: object) -> None:
        self._done.set()
        self._thread.join()

    def cpu(self) -> float:
        """Returns the CPU seconds of the thread."""
        return time.clock_gettime(self._cpu_clock)

    def traffic(self) -> tuple[int, int]:
        """Returns the bytes to and from the workers through the relays."""
        sent = sum(relay.sent for relay in self._relays)
        return sent, sum(relay.received for relay in self._relays)

    async def _serve(self) -> None:
        parts = [*self._servers, *self._relays]
        tasks = [await curio.spawn(part.run, daemon=True) for part in parts]
        await self._done.wait()
        for task in tasks:
            await task.cancel()


class Relay:
    """Passes connections on to a server and counts their bytes.

    Args:
        target: IP address and port of the server.
    """

    def __init__(self, target: str):
        self._target = target
        self._sock = tcp_server_socket("127.0.0.1", 0)
        self.address = "{}:{}".format(*self._sock.getsockname())
        self.sent = 0
        self.received = 0

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: "curio.socket.socket") -> None:
        server = await curio.open_connection(*split_address(self._target))
        async with client, server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._pump, client, server, "sent")
            await group.spawn(self._pump, server, client, "received")

    async def _pump(
        self,
        source: "curio.socket.socket",
        target: "curio.socket.socket",
        counter: str,
    ) -> None:
        while data := await source.recv(65536):
            setattr(self, counter, getattr(self, counter) + len(data))
            await target.sendall(data)


class NoOwner:
    """Owner that ignores reports and stops at a failure."""

    async def worker_reported(
        self, vm: VmId, sent: WorkerExchange, sent_at: float, report: WorkerReport
    ) -> None:
        """Does nothing."""

    async def worker_failed(
        self, vm: VmId, sent: WorkerExchange | None, error: HttpError
    ) -> None:
        """Stops the measurement."""
        raise error


@dataclass
class Row:
    """Cost of one kind of exchange, as means over all rounds."""

    kind: str
    batch: int
    owner_ms: float
    worker_ms: float
    sent: float
    received: float

    def line(self) -> str:
        """Returns the row with fixed columns."""
        return (
            f"{self.kind:9} {self.batch:5} {self.owner_ms:9.3f} "
            f"{self.worker_ms:9.3f} {self.sent:7.0f} {self.received:10.0f}"
        )


class ExchangeBench:
    """Exchanges with one worker.

    Args:
        batch: Starts, renewals or running tasks in an exchange.
        rounds: Exchanges measured for each row.
        seed: Seed of the stand-in.
    """

    def __init__(self, batch: int, rounds: int, seed: int):
        self._batch = batch
        self._rounds = rounds
        self._worker = FakeWorker(VmId("worker-000"), Resources(1e6, 1e9), seed=seed)
        self._book = LeaseTable(LeaseTerms(30.0, 0.25))
        self._started = 0

    def rows(self) -> list[Row]:
        """Measures and returns a row for each kind of exchange."""
        with WorkerThread([self._worker]) as thread:
            return curio.run(self._measure_all, thread)

    async def _measure_all(self, thread: WorkerThread) -> list[Row]:
        # The CPU time is taken without the relay, the bytes with it.
        direct = self._client(thread.addresses[0])
        relayed = self._client(thread.relay_addresses[0])
        kinds = (("start", self._start), ("renewal", self._renew), ("idle", self._idle))
        rows = []
        for kind, prepare in kinds:
            row = Row(kind, self._batch, 0.0, 0.0, 0.0, 0.0)
            await self._measure_cpu(row, direct, prepare, thread)
            await self._measure_bytes(row, relayed, prepare, thread)
            rows.append(row)
        return rows

    def _client(self, address: str) -> WorkerClient:
        return WorkerClient(
            self._worker.vm,
            address,
            NoOwner(),
            self._book,
            Timing(),
            Clock(),
            Metrics(),
            lambda: time.monotonic() + VALIDITY_S,
        )

    async def _measure_cpu(
        self,
        row: Row,
        client: WorkerClient,
        prepare: Callable[[WorkerClient], Awaitable[None]],
        thread: WorkerThread,
    ) -> None:
        owner = worker = 0.0
        for _ in range(self._rounds):
            await prepare(client)
            before = (time.thread_time(), thread.cpu())
            await client.exchange()
            owner += time.thread_time() - before[0]
            # The worker's thread may still be busy when the answer arrives.
            worker += thread.cpu() - before[1]
        row.owner_ms = owner / self._rounds * 1000
        row.worker_ms = worker / self._rounds * 1000

    async def _measure_bytes(
        self,
        row: Row,
        client: WorkerClient,
        prepare: Callable[[WorkerClient], Awaitable[None]],
        thread: WorkerThread,
    ) -> None:
        rounds = max(1, self._rounds // 10)
        sent = received = 0
        for _ in range(rounds):
            await prepare(client)
            before = thread.traffic()
            await client.exchange()
            after = thread.traffic()
            sent += after[0] - before[0]
            received += after[1] - before[1]
        row.sent = sent / rounds
        row.received = received / rounds

    async def _start(self, client: WorkerClient) -> None:
        await self._clear(client)
        for task_id in self._new_tasks():
            client.start(
                StartTask(
                    task_id, JobId("job"), 0.0, Resources(0.5, 512.0), command=COMMAND
                )
            )

    async def _renew(self, client: WorkerClient) -> None:
        await self._fill(client)
        for lease in self._book.leases_on_worker(self._worker.vm):
            lease.running = True
        self._book.mark_renewals_due(self._worker.vm, float("-inf"))

    async def _idle(self, client: WorkerClient) -> None:
        await self._fill(client)
        for lease in self._book.leases_on_worker(self._worker.vm):
            lease.renewable = False

    async def _fill(self, client: WorkerClient) -> None:
        if len(self._worker.running) != self._batch:
            await self._start(client)
            await client.exchange()

    async def _clear(self, client: WorkerClient) -> None:
        for task_id in self._worker.running:
            client.act(TaskAction(task_id, TaskActionKind.STOP))
            client.acknowledge(task_id)
            self._book.release(task_id)
        await client.exchange()
        # Acknowledgements precede the stops of their exchange.
        for number in range(self._started):
            client.acknowledge(task_id_of(JobId("job"), number))
        await client.exchange()

    def _new_tasks(self) -> list[TaskId]:
        first = self._started
        self._started += self._batch
        return [
            task_id_of(JobId("job"), number) for number in range(first, self._started)
        ]


async def append(record: object) -> Outcome:
    """Confirms a record without a log."""
    return Outcome.DONE


class OwnerBench:
    """A whole owner under a steady load.

    Args:
        options: Options of the command line.
    """

    def __init__(self, options: dict[str, str]):
        self._rate = float(options["--rate"])
        self._seconds = float(options["--seconds"])
        self._run_time = float(options["--run-time"])
        self._policy = options["--policy"]
        self._seed = int(options["--seed"])
        self._random = random.Random(self._seed)
        self._workers = [
            FakeWorker(VmId(f"worker-{n:03}"), Resources(64, 131072), seed=self._seed)
            for n in range(int(options["--workers"]))
        ]

    def run(self) -> str:
        """Measures and returns the figures as text."""
        with WorkerThread(self._workers) as thread:
            return curio.run(self._measure, thread)

    async def _measure(self, thread: WorkerThread) -> str:
        metrics = Metrics()
        owner = self._owner(metrics)
        owner.set_workers(self._records(thread))
        task = await curio.spawn(owner.run, daemon=True)
        await owner.rebuild([], [], time.time())
        # The first tasks end and leases are renewed before the measurement.
        await self._load(owner, self._run_time + 2.0)
        before = (time.thread_time(), thread.traffic(), self._counts(metrics))
        await self._load(owner, self._seconds)
        cpu = time.thread_time() - before[0]
        traffic = thread.traffic()
        starts, exchanges = self._counts(metrics)
        await task.cancel()
        return self._text(
            cpu,
            starts - before[2][0],
            exchanges - before[2][1],
            traffic[0] - before[1][0],
            traffic[1] - before[1][1],
        )

    def _counts(self, metrics: Metrics) -> tuple[int, int]:
        counts = metrics.count_by_name
        return counts["task.starts"], counts["worker.exchanges"]

    def _text(
        self, cpu: float, starts: int, exchanges: int, sent: int, received: int
    ) -> str:
        running = sum(len(worker.running) for worker in self._workers)
        return "\n".join(
            [
                f"workers {len(self._workers)}, running at the end {running}",
                f"starts/s {starts / self._seconds:.1f}, "
                f"exchanges/s {exchanges / self._seconds:.1f}",
                f"owner CPU {100 * cpu / self._seconds:.2f} % of a core, "
                f"{1000 * cpu / max(1, starts):.3f} ms per start",
                f"sent {sent / self._seconds / 1000:.2f} KB/s, "
                f"received {received / self._seconds / 1000:.2f} KB/s, "
                f"{(sent + received) / max(1, starts):.0f} bytes per start",
            ]
        )

    def _owner(self, metrics: Metrics) -> ShardJobs:
        return ShardJobs(
            ShardId("shard"),
            make_policy(Preset(name="ordinary", policy=self._policy), {}),
            append,
            metrics,
            Clock(),
            Timing(),
            lambda: time.monotonic() + VALIDITY_S,
            Journal("workerbench"),
        )

    def _records(self, thread: WorkerThread) -> list[VmRecord]:
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

    async def _load(self, owner: ShardJobs, seconds: float) -> None:
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            await owner.submit(self._job())
            due += 1 / self._rate
            await curio.sleep(max(0.0, due - time.monotonic()))

    def _job(self) -> JobSpec:
        number = self._random.getrandbits(40)
        run_time = self._random.uniform(0.5, 1.5) * self._run_time
        return JobSpec(
            JobId(f"job-{number:010x}"),
            WorkloadName("residual"),
            "team",
            self._random.choice([Urgency.URGENT, Urgency.NORMAL]),
            1,
            Resources(self._random.choice([0.5, 1.0, 2.0]), 512.0),
            run_time_s=self._run_time,
            command=f"run={run_time:.2f} --series residual-nl",
        )


def main(argv: list[str] | None = None) -> None:
    """Runs one measurement and prints it."""
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
            print(row.line(), flush=True)


if __name__ == "__main__":
    main()
