"""Runs a deployment's example workloads in one process on fake platform services.

Usage:
    embedded [--examples=DIRECTORY] [--requests=N] [--entries=N] [NAME ...]

Options:
    --examples=DIRECTORY  Directory with one example per NAME [default: examples].
    --requests=N          Requests per request workload [default: 40].
    --entries=N           Entry VMs of each deployment [default: 3].

NAME is rolgeld or suva; both by default. The exit code is 0 when every request
and job was done and no fake worker or executor got more work than it has
capacity for.
"""

import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

import curio
from docopt import docopt

from arbutusladder import config, journal, render
from arbutusladder.client import EntryClient, new_uuid7
from arbutusladder.clock import Clock
from arbutusladder.declarations import Declarations, Workload
from arbutusladder.entry import EntryVm
from arbutusladder.errors import ArbutusladderError, RequestFailed
from arbutusladder.fakeexecutor import FakeExecutor
from arbutusladder.fakelog import FakeLog
from arbutusladder.fakevmlist import FakeVmList
from arbutusladder.fakeworker import FakeWorker, FakeWorkerServer
from arbutusladder.ids import PresetName, RecordId, VmId
from arbutusladder.messages import Resources, VmRecord
from arbutusladder.operatormessages import JobOrder
from arbutusladder.render import Column
from arbutusladder.settings import Seat, Settings, Timing
from arbutusladder.states import JobState, Outcome, VmKind, VmState

ENTRY_PORT = 7000
PEER_PORT = 7100
FAKE_PORT = 7200
START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
TASK_RUN_TIME_S = 1.0
EXECUTOR_SLOTS = 8
EXECUTOR_CONNECTIONS = 64
REQUEST_WORK_S = 0.005
# Number of loopback networks. The process id selects one of them, so that concurrent
# runs use different addresses.
NETWORK_COUNT = 200


@dataclass(frozen=True)
class Deployment:
    """Location and size of one example deployment.

    Attributes:
        region: Region of all VMs.
        failure_domains: Failure domains, assigned to VMs in turn.
        service: Service of all executors.
        worker: Resources of one worker.
        executors: Number of executors.
        workers: Number of workers.
    """

    region: str
    failure_domains: tuple[str, ...]
    service: str
    worker: Resources
    executors: int = 24
    workers: int = 24


DEPLOYMENT_BY_NAME = {
    "rolgeld": Deployment(
        "nl-midden",
        ("utrecht-a", "utrecht-b", "utrecht-c", "utrecht-d"),
        "tarief",
        Resources(64, 128 * 1024),
    ),
    "suva": Deployment(
        "viti-levu",
        ("suva-a", "suva-b", "suva-c"),
        "parkcount",
        Resources(16, 32 * 1024),
    ),
}


@dataclass
class WorkloadResult:
    """Result of one workload or check; it passed when all of ``sent`` are done."""

    workload: str
    sent: int = 0
    done: int = 0
    slowest_ms: float = 0.0
    notes: str = ""


COLUMNS = (
    Column("work", "workload"),
    Column("sent", "sent"),
    Column("done", "done"),
    Column("slowest ms", lambda result: round(result.slowest_ms)),
    Column("notes", "notes"),
)


@dataclass
class EmbeddedCell:
    """Entry VMs and fakes of one deployment and their addresses."""

    deployment: Deployment
    network: str
    entries: list[EntryVm] = field(default_factory=list)
    executors: list[FakeExecutor] = field(default_factory=list)
    workers: list[FakeWorkerServer] = field(default_factory=list)
    records: list[VmRecord] = field(default_factory=list)
    allocated_hosts: int = 0

    def allocate_host(self) -> str:
        """Returns an unused IP address of the cell's network."""
        self.allocated_hosts += 1
        return f"{self.network}.{self.allocated_hosts}"


def build_cell(name: str, entries: int, number: int) -> tuple[EmbeddedCell, list]:
    """Creates the fakes and the entry VMs of a deployment.

    Args:
        name: Name of the deployment.
        entries: Number of entry VMs.
        number: Number of the deployment in this process, a part of its addresses.

    Returns:
        The cell, and the fakes whose ``run`` has to be started.
    """
    deployment = DEPLOYMENT_BY_NAME[name]
    cell = EmbeddedCell(deployment, f"127.{20 + os.getpid() % NETWORK_COUNT}.{number}")
    for index in range(deployment.executors):
        _add_executor(cell, index)
    for index in range(deployment.workers):
        _add_worker(cell, index)
    log = FakeLog(f"{cell.allocate_host()}:{FAKE_PORT}")
    vm_list = FakeVmList(f"{cell.allocate_host()}:{FAKE_PORT}", cell.records)
    for settings in _entry_settings(cell, entries, log.address, vm_list.address):
        cell.entries.append(EntryVm(settings))
    return cell, [log, vm_list, *cell.executors, *cell.workers]


def _failure_domain(cell: EmbeddedCell, index: int) -> str:
    failure_domains = cell.deployment.failure_domains
    return failure_domains[index % len(failure_domains)]


def _add_executor(cell: EmbeddedCell, index: int) -> None:
    vm = VmId(f"{cell.deployment.service}-{index}")
    executor = FakeExecutor(f"{cell.allocate_host()}:{FAKE_PORT}", vm, REQUEST_WORK_S)
    cell.executors.append(executor)
    record = _make_vm_record(cell, vm, VmKind.EXECUTOR, executor.address, index)
    record.service = cell.deployment.service
    record.slots = EXECUTOR_SLOTS
    record.connections = EXECUTOR_CONNECTIONS
    cell.records.append(record)


def _add_worker(cell: EmbeddedCell, index: int) -> None:
    vm = VmId(f"worker-{index}")
    worker = FakeWorker(vm, cell.deployment.worker, run_time=TASK_RUN_TIME_S)
    server = FakeWorkerServer(worker, f"{cell.allocate_host()}:{FAKE_PORT}")
    cell.workers.append(server)
    record = _make_vm_record(cell, vm, VmKind.WORKER, server.address, index)
    record.resources = cell.deployment.worker
    record.rack = f"{record.failure_domain}-rack"
    cell.records.append(record)


def _make_vm_record(
    cell: EmbeddedCell, vm: VmId, kind: VmKind, address: str, index: int
) -> VmRecord:
    return VmRecord(
        id=vm,
        kind=kind,
        address=address,
        region=cell.deployment.region,
        failure_domain=_failure_domain(cell, index),
        state=VmState.LIVE,
    )


def _entry_settings(
    cell: EmbeddedCell, entries: int, log: str, vm_list: str
) -> list[Settings]:
    # With fewer entry VMs than failure domains, the other domains get seats
    # without a process; a majority of all seats must be live.
    count = max(entries, len(cell.deployment.failure_domains))
    hosts = [cell.allocate_host() for _ in range(count)]
    seats = [
        Seat(
            name=f"seat-{index}",
            address=f"{host}:{PEER_PORT}",
            region=cell.deployment.region,
            failure_domain=_failure_domain(cell, index),
        )
        for index, host in enumerate(hosts)
    ]
    return [
        Settings(
            vm=f"entry-{index}",
            seat=seats[index].name,
            region=cell.deployment.region,
            failure_domain=seats[index].failure_domain,
            listen=f"{hosts[index]}:{ENTRY_PORT}",
            peer_listen=seats[index].address,
            log=log,
            vm_list=vm_list,
            seats=seats,
            timing=Timing(balancer_notice_s=0.0),
        )
        for index in range(entries)
    ]


async def run_deployment(
    name: str, declarations: Declarations, requests: int, entries: int, number: int
) -> list[WorkloadResult]:
    """Runs the workloads of one deployment and returns their results.

    Args:
        name: Name of the deployment.
        declarations: Declarations to publish, with the workloads.
        requests: Number of requests per request workload.
        entries: Number of entry VMs.
        number: Number of the deployment in this process, a part of its addresses.
    """
    cell, fakes = build_cell(name, entries, number)
    async with curio.TaskGroup(wait=any) as group:
        for fake in fakes:
            await group.spawn(fake.run)
        for entry in cell.entries:
            await group.spawn(entry.run)
        workloads_task = await group.spawn(_run_workloads, cell, declarations, requests)
        results = await workloads_task.join()
        await group.cancel_remaining()
    return results


async def _run_workloads(
    cell: EmbeddedCell, declarations: Declarations, requests: int
) -> list[WorkloadResult]:
    await _wait_for_shard_owners(cell)
    client = EntryClient([entry.address for entry in cell.entries])
    published = await client.publish(
        RecordId(new_uuid7(Clock())), 0, "embedded", declarations
    )
    await _wait_for_revision(cell, published.revision)
    results = []
    for workload in declarations.workloads:
        if workload.kind == "request":
            results.append(await _send_requests(cell, workload, requests))
        elif workload.kind in {"batch", "gang"}:
            results.append(await _run_job(client, workload))
    results.append(await _switch_preset(cell, client, "peak"))
    results.append(_check_limits(cell))
    return results


async def _wait_for_shard_owners(cell: EmbeddedCell) -> None:
    client = EntryClient([cell.entries[0].address])
    async with curio.timeout_after(START_TIMEOUT_S):
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            try:
                shards = await client.shards()
            except RequestFailed:
                continue
            if shards and all(s.owner and s.free_slots_by_service for s in shards):
                return


async def _wait_for_revision(cell: EmbeddedCell, revision: int) -> None:
    async with curio.timeout_after(START_TIMEOUT_S):
        for entry in cell.entries:
            client = EntryClient([entry.address])
            while (await client.config()).revision < revision:
                await curio.sleep(POLL_INTERVAL_S)


async def _send_requests(
    cell: EmbeddedCell, workload: Workload, count: int
) -> WorkloadResult:
    result = WorkloadResult(workload.name)
    async with curio.TaskGroup() as group:
        for number in range(count):
            entry = cell.entries[number % len(cell.entries)]
            await group.spawn(_send_request, entry, workload, number, result)
    return result


async def _send_request(
    entry: EntryVm, workload: Workload, number: int, result: WorkloadResult
) -> None:
    clock = Clock()
    body = f"{workload.name} {number}".encode()
    key = "" if workload.idempotent else new_uuid7(clock)
    client = EntryClient([entry.address])
    started = clock.now()
    response = await client.request(
        workload.service, "POST", "/run", body, key=key, workload=workload.name
    )
    result.sent += 1
    result.slowest_ms = max(result.slowest_ms, (clock.now() - started) * 1000)
    if response.outcome is Outcome.DONE and response.body == body:
        result.done += 1
    elif response.refusal:
        result.notes = response.refusal.reason


async def _run_job(client: EntryClient, workload: Workload) -> WorkloadResult:
    clock = Clock()
    result = WorkloadResult(workload.name)
    started = clock.now()
    try:
        parts = await client.submit(JobOrder(workload.name))
    except RequestFailed as error:
        return WorkloadResult(workload.name, 1, 0, 0.0, error.reason)
    for part in parts:
        result.sent += 1
        while clock.now() - started < JOB_TIMEOUT_S:
            view = await client.job(part.job_id)
            result.notes = view.state.value
            if view.state is JobState.FINISHED:
                result.done += 1
                break
            await curio.sleep(POLL_INTERVAL_S)
    result.slowest_ms = (clock.now() - started) * 1000
    return result


async def _switch_preset(
    cell: EmbeddedCell, client: EntryClient, preset: str
) -> WorkloadResult:
    clock = Clock()
    started = clock.now()
    current = await client.config()
    chosen = await client.choose_preset(
        RecordId(new_uuid7(clock)), current.revision, "embedded", PresetName(preset)
    )
    await _wait_for_revision(cell, chosen.revision)
    elapsed = (clock.now() - started) * 1000
    return WorkloadResult(f"preset {preset}", 1, 1, elapsed, "in force everywhere")


def _check_limits(cell: EmbeddedCell) -> WorkloadResult:
    """Compares the records of the fakes with their capacity limits."""
    result = WorkloadResult("limits kept")
    for executor in cell.executors:
        record = executor.record
        result.sent += 1
        within_limits = (
            record.highest_slots <= EXECUTOR_SLOTS
            and record.highest_connections <= EXECUTOR_CONNECTIONS
        )
        keys_ran_once = all(count == 1 for count in record.runs_by_key.values())
        result.done += within_limits and keys_ran_once
    for server in cell.workers:
        record = server.worker.record
        result.sent += 1
        result.done += not record.over_capacity and not record.duplicates
    result.notes = "according to the records of the fakes"
    return result


async def run_all(
    names: list[str], examples: Path, requests: int, entries: int
) -> bool:
    """Runs deployments in sequence and prints their results.

    Returns:
        Whether all results are complete.
    """
    all_done = True
    for number, name in enumerate(names):
        declarations = config.load_declarations([examples / name / "declarations"])
        results = await run_deployment(name, declarations, requests, entries, number)
        print(f"\n{name}")
        print(render.format_table(COLUMNS, results))
        all_done &= all(result.sent == result.done for result in results)
    return all_done


def main(argv: list[str] | None = None) -> int:
    """Runs the command and returns its exit code."""
    options = docopt(__doc__, argv)
    names = options["NAME"] or list(DEPLOYMENT_BY_NAME)
    unknown = [name for name in names if name not in DEPLOYMENT_BY_NAME]
    if unknown:
        known = ", ".join(DEPLOYMENT_BY_NAME)
        print(f"{unknown[0]} is not an example; use one of {known}", file=sys.stderr)
        return 2
    journal.configure("error")
    try:
        all_done = curio.run(
            run_all,
            names,
            Path(options["--examples"]),
            int(options["--requests"]),
            int(options["--entries"]),
        )
    except* ArbutusladderError as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        all_done = False
    return 0 if all_done else 1


if __name__ == "__main__":
    sys.exit(main())
