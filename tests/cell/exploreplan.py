"""Plans of the search: what clients ask and which faults occur, all from one seed."""

import random
from dataclasses import dataclass, replace

from arbutusladder.cell.claims import OWNER_TOPIC
from arbutusladder.cell.jobtable import JOBS_TOPIC, PROGRESS_TOPIC
from arbutusladder.messages import Resources, StepSpec
from tests.cell import explorefaults as faults
from tests.cell import workloads
from tests.cell.inprocess import MAX_LEASE_S, REGISTRY_TOPIC

QUEUE = workloads.queue("explore", 0, 2.0, 1.0, max_attempts=3)
TOPICS = (JOBS_TOPIC, PROGRESS_TOPIC, OWNER_TOPIC, REGISTRY_TOPIC)
# Messages of which single types are lost.
KINDS = ("JobsRelay", "LogCall", "MemberHello", "OwnerBeat", "ProgressRelay")
WORKER_CORES = 8.0
# Share of the tasks that outlast the leases of a replaced owner, and their duration.
LONG_SHARE = 0.15
LONG_RUN_S = (8.0, 15.0)
# Share of the faults at an entry VM that hit the owner.
OWNER_SHARE = 0.7
# Shortest and longest time in seconds that a fault is in force.
FAULT_S = (0.3, 14.0)
# Share of the faults that come with others.
OVERLAPPING_SHARE = 0.6
# Share of these that come with one more.
MORE_SHARE = 0.3
CANCELLED_SHARE = 0.6
READS_PER_JOB = 4
# Share of the plans in which most jobs wait for room, and the share of the time in
# which their jobs are submitted.
BUSY_SHARE = 0.5
BUSY_TIME_SHARE = 0.3


@dataclass(frozen=True)
class Submit:
    """A client submits a job."""

    at: float
    vm: str
    job: int


@dataclass(frozen=True)
class Cancel:
    """A client cancels a job."""

    at: float
    vm: str
    job: int


@dataclass(frozen=True)
class Read:
    """A client reads the state of a job."""

    at: float
    vm: str
    job: int


@dataclass(frozen=True)
class Plan:
    """What one seed plays.

    Attributes:
        seed: The seed.
        seconds: Time in which requests and faults begin.
        vms: Names of the entry VMs.
        workers: Ids of the workers.
        jobs: Submissions by number.
        requests: Requests of clients in order of time.
        faults: Faults in order of time.
        widened: Whether the workers do all that the users' pages allow, see
            `explorehostile`.
        max_lease_s: Longest lease in seconds that a worker accepts.
        long_share: Share of the tasks whose runs are long.
        long_run_s: Shortest and longest of these in seconds.
        tickets: Whether the steps need tickets, see `exploretickets`.
    """

    seed: int
    seconds: float
    vms: str
    workers: tuple
    jobs: dict
    requests: list
    faults: list
    widened: bool = False
    max_lease_s: float = MAX_LEASE_S
    long_share: float = LONG_SHARE
    long_run_s: tuple = LONG_RUN_S
    tickets: bool = False

    @property
    def faults_end_at(self):
        """Time at which the last fault has ended."""
        ends = [fault.at + fault.seconds for fault in self.faults]
        return max(ends, default=0.0)


def make_plan(seed, seconds=20.0, vm_count=3, worker_count=3):
    """Returns the plan of a seed."""
    draw = random.Random(seed)
    vms = "abcdefghij"[:vm_count]
    workers = tuple(entry.vm for entry in workloads.workers(worker_count))
    jobs, requests = {}, []
    busy = draw.random() < BUSY_SHARE
    submit_s = seconds * BUSY_TIME_SHARE if busy else seconds
    for number in range(1, draw.randint(8, 8 + int(0.8 * seconds)) + 1):
        jobs[number] = _make_job(draw, number)
        at = draw.uniform(0.0, submit_s)
        requests.append(Submit(at, draw.choice(vms), number))
        if draw.random() < CANCELLED_SHARE:
            cancel_at = at + draw.uniform(0.1, 6.0)
            requests.append(Cancel(cancel_at, draw.choice(vms), number))
        for _ in range(READS_PER_JOB):
            read_at = at + draw.uniform(0.2, 12.0)
            requests.append(Read(read_at, draw.choice(vms), number))
    return Plan(
        seed,
        seconds,
        vms,
        workers,
        jobs,
        sorted(requests, key=lambda request: request.at),
        _make_faults(draw, seconds, vms, workers),
    )


def make_recut_plan(seed, seconds=20.0, vm_count=3, worker_count=6):
    """Returns a plan in which workers restart and are cut off soon after.

    Some orders around the restart are carried out late, by the next incarnation. In a
    third of the plans the owner is killed in between.
    """
    plan = make_plan(seed, seconds, vm_count, worker_count)
    draw = random.Random(seed)
    drawn, at = [], draw.uniform(1.0, 3.0)
    is_killed = draw.random() < 1 / 3
    while at < seconds:
        down_s, pause_s = draw.uniform(0.1, 1.0), draw.uniform(0.2, 3.0)
        for worker in draw.sample(plan.workers, worker_count // 2):
            up_at = at + 1.0 + down_s
            drawn += [
                faults.OrdersLate(at, 2.0 + down_s, worker, 0.4),
                faults.WorkerRestarted(at + 1.0, down_s, worker),
                faults.WorkerSilent(up_at + pause_s, draw.uniform(6.0, 12.0), worker),
            ]
        if is_killed:
            drawn.append(faults.VmKilled(at + 1.0 + down_s, 1.0, faults.OWNER))
        at += draw.uniform(9.0, 14.0)
    return replace(plan, faults=sorted(drawn, key=lambda fault: fault.at))


def _make_job(draw, number):
    steps = []
    for index in range(draw.choice((1, 1, 1, 2, 3))):
        need = Resources(float(draw.randint(3, 8)), 1000.0)
        after = [index - 1] if index else []
        steps.append(StepSpec(draw.randint(1, 3), need, 1.0, after))
    return workloads.job(number, QUEUE, *steps)


def _make_fault(draw, at, length, target):
    """Returns a fault of any kind at one entry VM."""
    vm, other, worker, share = target.vm, target.other, target.worker, target.share
    makers = (
        lambda: faults.MessagesLost(at, length, vm, other, share),
        lambda: faults.MessagesLost(at, length, other, vm, share),
        lambda: faults.MessagesLost(
            at, length, faults.ANY, faults.ANY, 1.0, draw.choice(KINDS)
        ),
        lambda: faults.MessagesDelayed(at, length, vm, other, draw.uniform(0.1, 6.0)),
        lambda: faults.MessagesDelayed(at, length, other, vm, draw.uniform(0.1, 6.0)),
        lambda: faults.LogCut(at, length, vm),
        lambda: faults.ReadsSilent(at, length, vm, faults.ANY),
        lambda: faults.ReadsSilent(at, length, vm, draw.choice(TOPICS)),
        lambda: faults.LogSlow(at, length, vm, draw.uniform(0.1, 2.5)),
        lambda: faults.LogSlow(at, length, faults.ANY, draw.uniform(0.1, 1.5)),
        lambda: faults.AppendsLate(at, length, vm, share),
        lambda: faults.AnswersLost(at, length, vm, share),
        lambda: faults.LogDown(at, length),
        lambda: faults.VmKilled(at, length, vm),
        lambda: faults.VmPaused(at, length, vm),
        lambda: faults.WorkerRestarted(at, length / 4, worker),
        lambda: faults.WorkerSilent(at, length, worker),
        lambda: faults.WorkerSilent(at, length, worker, target.peer),
        lambda: faults.WorkerOfOneVm(at, length, worker, vm),
        lambda: faults.OrdersLate(at, length, worker, share),
    )
    return draw.choice(makers)()


def _make_overlapping(draw, at, length, target):
    """Returns faults that only together separate what the cell relies on."""
    vm, worker, any_vm = target.vm, target.worker, faults.ANY
    log_s = length * draw.uniform(0.3, 1.0)

    def lost(kind):
        return faults.MessagesLost(at, length, any_vm, any_vm, 1.0, kind)

    isolation = [
        faults.LogCut(at, log_s, vm),
        faults.MessagesLost(at, length, vm, any_vm, 1.0),
        faults.MessagesLost(at, length, any_vm, vm, 1.0),
    ]
    unread = faults.ReadsSilent(at, length, any_vm, JOBS_TOPIC)
    choices = (
        [unread, lost("JobsRelay")],
        [unread, lost("JobsRelay"), lost("MemberHello")],
        [faults.ReadsSilent(at, length, vm, JOBS_TOPIC), lost("LogCall")],
        [faults.LogCut(at, length, vm), lost("LogCall")],
        [faults.LogCut(at, length, vm), lost(any_vm)],
        isolation,
        [*isolation, faults.WorkerOfOneVm(at, length, worker, vm)],
        [
            faults.VmKilled(at, length, vm),
            faults.WorkerSilent(max(0.0, at - 0.2), length, worker),
        ],
        [faults.AppendsLate(at, length, vm, target.share), lost("LogCall")],
    )
    drawn = list(draw.choice(choices))
    if draw.random() < MORE_SHARE:
        drawn.append(faults.WorkerSilent(at, length, worker, target.peer))
    if draw.random() < MORE_SHARE:
        drawn.append(_make_fault(draw, at, length, target))
    return drawn


@dataclass(frozen=True)
class _Target:
    """What faults that are drawn together hit."""

    vm: str
    other: str
    peer: str
    worker: str
    share: float


def _draw_target(draw, vms, workers):
    return _Target(
        faults.OWNER if draw.random() < OWNER_SHARE else draw.choice(vms),
        draw.choice((faults.ANY, *vms)),
        draw.choice(vms),
        draw.choice(workers),
        draw.choice((0.3, 0.7, 1.0)),
    )


def _make_faults(draw, seconds, vms, workers):
    drawn = []
    for _ in range(draw.randint(1, 2 + int(seconds / 5))):
        at, length = draw.uniform(0.2, seconds), draw.uniform(*FAULT_S)
        target = _draw_target(draw, vms, workers)
        if draw.random() < OVERLAPPING_SHARE:
            drawn += _make_overlapping(draw, at, length, target)
        else:
            drawn.append(_make_fault(draw, at, length, target))
    return sorted(drawn, key=lambda fault: fault.at)
