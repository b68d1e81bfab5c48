"""Plans in which workers restart and are cut off in many ways, beside owner faults.

Each plan draws which of these ways its rounds contain, and whether any call is late or
waits for the end of a cut, since some rules only break with such calls.
"""

import random
from dataclasses import dataclass

from arbutusladder.messages import Resources, StepSpec
from tests.cell import explorefaults as faults
from tests.cell import workloads
from tests.cell.exploreplan import QUEUE, Cancel, Plan, Read, Submit
from tests.cell.inprocess import REGISTRY_TOPIC

# Longest leases in seconds that workers accept, as on the users' deployments.
MAX_LEASES_S = (6.0, 10.0)
METHODS = ("start", "stop", "renew")
CALL_FAULT_SHARE = 0.3
OWNER_FAULT_SHARE = 0.4
CANCELLED_SHARE = 0.15
LONG_SHARE = 0.35
READS_PER_JOB = 2
JOBS_PER_S = (0.8, 2.0)
CUT_S = (3.0, 12.0)
ROUND_S = (6.0, 14.0)


@dataclass(frozen=True)
class _Kind:
    """What the rounds of one plan may contain."""

    late_share: float
    late_methods: tuple
    held_share: float
    makers: tuple


def make_hostile_plan(seed, seconds=20.0, vm_count=3, worker_count=6):
    """Returns a plan of a seed."""
    draw = random.Random(f"hostile {seed}")
    vms = "abcdefghij"[:vm_count]
    workers = tuple(entry.vm for entry in workloads.workers(worker_count))
    jobs, requests = _draw_requests(draw, seconds, vms)
    kind = _draw_kind(draw)
    drawn, at = [], draw.uniform(0.5, 3.0)
    while at < seconds:
        count = draw.randint(1, max(1, worker_count // 2 + 1))
        for worker in draw.sample(workers, count):
            drawn += _worker_faults(draw, kind, at, worker, vms)
        if draw.random() < OWNER_FAULT_SHARE:
            drawn += _owner_faults(draw, at + draw.uniform(0.0, 6.0))
        at += draw.uniform(*ROUND_S)
    drawn.sort(key=lambda fault: fault.at)
    return Plan(
        seed,
        seconds,
        vms,
        workers,
        jobs,
        requests,
        drawn,
        widened=True,
        max_lease_s=draw.choice(MAX_LEASES_S),
        long_share=LONG_SHARE,
    )


def _draw_requests(draw, seconds, vms):
    """Returns the submissions by number, and the requests in order of time."""
    jobs, requests = {}, []
    for number in range(1, int(seconds * draw.uniform(*JOBS_PER_S)) + 1):
        jobs[number] = _make_job(draw, number)
        at = draw.uniform(0.0, seconds)
        requests.append(Submit(at, draw.choice(vms), number))
        if draw.random() < CANCELLED_SHARE:
            requests.append(
                Cancel(at + draw.uniform(0.1, 6.0), draw.choice(vms), number)
            )
        for _ in range(READS_PER_JOB):
            requests.append(
                Read(at + draw.uniform(0.2, 12.0), draw.choice(vms), number)
            )
    return jobs, sorted(requests, key=lambda request: request.at)


def _make_job(draw, number):
    steps = []
    for index in range(draw.choice((1, 1, 1, 2))):
        need = Resources(float(draw.randint(1, 4)), 1000.0)
        steps.append(
            StepSpec(draw.randint(1, 4), need, 1.0, [index - 1] if index else [])
        )
    return workloads.job(number, QUEUE, *steps)


def _draw_kind(draw):
    late_share, held_share = draw.choice(
        ((0.0, 0.0), (0.0, 0.0), (0.0, 1.0), (0.3, 0.0), (0.3, 0.5))
    )
    methods = draw.choice((METHODS, ("start",), ("start", "stop")))
    makers = draw.choices(MAKERS, WEIGHTS, k=draw.randint(1, 3))
    return _Kind(late_share, methods if late_share else (), held_share, tuple(makers))


def _worker_faults(draw, kind, at, worker, vms):
    """Returns the faults of one worker in one round."""
    at += draw.uniform(0.0, 2.0)
    drawn = list(draw.choice(kind.makers)(draw, kind, at, worker, vms))
    length = draw.uniform(4.0, 12.0)
    if kind.late_share:
        begin = max(0.0, at - draw.uniform(0.0, 2.0))
        drawn.append(
            faults.CallsLate(begin, length, worker, kind.late_share, kind.late_methods)
        )
    if draw.random() < CALL_FAULT_SHARE:
        fault = draw.choice((faults.CallsUnanswered, faults.CallsRefused))
        drawn.append(fault(at, length, worker, draw.uniform(0.1, 0.5)))
    return drawn


def _cut_from(draw, kind, at, seconds, worker, **fields):
    return faults.WorkerCut(
        at,
        seconds,
        worker,
        registry=draw.random() < 0.5,
        held_share=kind.held_share,
        **fields,
    )


def _draw_directions(draw):
    return draw.choice(
        ({}, {}, {"requests": False}, {"answers": False}),
    )


def _restart_then_cut(draw, kind, at, worker, vms):
    down_s, pause_s = (
        draw.uniform(0.02, 0.5),
        draw.uniform(0.0, draw.choice((1.0, 1.0, 3.0))),
    )
    cut_at = at + down_s + pause_s
    yield faults.WorkerRestarted(at, down_s, worker)
    yield _cut_from(
        draw, kind, cut_at, draw.uniform(*CUT_S), worker, **_draw_directions(draw)
    )


def _restart_behind_cut(draw, kind, at, worker, vms):
    seconds = draw.uniform(*CUT_S)
    yield faults.WorkerCut(
        at, seconds, worker, registry=True, held_share=kind.held_share
    )
    for _ in range(draw.choice((1, 1, 2))):
        restart_at = at + draw.uniform(0.1, seconds)
        yield faults.WorkerRestarted(restart_at, draw.uniform(0.02, 1.0), worker)


def _fast_restart(draw, kind, at, worker, vms):
    for _ in range(draw.choice((1, 2, 3))):
        restart_at = at + draw.uniform(0.0, 4.0)
        yield faults.WorkerRestarted(restart_at, draw.uniform(0.02, 0.2), worker)


def _cut_in_one_direction(draw, kind, at, worker, vms):
    seconds, direction = draw.uniform(*CUT_S), draw.choice(("requests", "answers"))
    yield _cut_from(draw, kind, at, seconds, worker, **{direction: False})
    if draw.random() < 0.5:
        restart_at = at + draw.uniform(0.1, seconds)
        yield faults.WorkerRestarted(restart_at, draw.uniform(0.02, 1.0), worker)


def _cut_of_one_vm(draw, kind, at, worker, vms):
    seconds = draw.uniform(*CUT_S)
    yield faults.WorkerCut(
        at, seconds, worker, draw.choice(vms), held_share=kind.held_share
    )
    if draw.random() < 0.5:
        restart_at = at + draw.uniform(0.1, seconds)
        yield faults.WorkerRestarted(restart_at, draw.uniform(0.02, 1.0), worker)


def _cut(draw, kind, at, worker, vms):
    yield _cut_from(draw, kind, at, draw.uniform(*CUT_S), worker)


def _move(draw, kind, at, worker, vms):
    yield faults.WorkerMoved(at, draw.uniform(0.1, 1.0), worker)
    yield faults.WorkerCut(
        at, draw.uniform(1.0, 5.0), worker, requests=False, answers=False, registry=True
    )


# Ways in which workers restart and are cut off, and how often they are drawn.
MAKERS = (
    _restart_then_cut,
    _restart_behind_cut,
    _fast_restart,
    _cut_in_one_direction,
    _cut_of_one_vm,
    _cut,
    _move,
)
WEIGHTS = (6, 3, 2, 2, 1, 1, 1)


def _owner_faults(draw, at):
    """Returns faults of the owner and of its way to the log."""
    owner, seconds = faults.OWNER, draw.uniform(0.5, 9.0)
    up_s = draw.uniform(0.5, 5.0)
    choices = (
        [faults.VmKilled(at, 1.0, owner)],
        [faults.VmKilled(at, 1.0, owner), faults.VmKilled(at + 4.0, 1.0, owner)],
        [faults.VmKilledTwice(at, up_s + 1.0, owner, up_s)],
        [faults.VmPaused(at, seconds, owner)],
        [
            faults.VmPaused(at, 2.0, owner),
            faults.VmPaused(at + draw.uniform(3.0, 6.0), 2.0, owner),
        ],
        [faults.LogCut(at, seconds, owner)],
        [faults.LogSlow(at, seconds, faults.ANY, draw.uniform(0.1, 1.5))],
        [faults.LogDown(at, seconds)],
        [faults.ReadsSilent(at, seconds, faults.ANY, REGISTRY_TOPIC)],
        [faults.AppendsLate(at, seconds, owner, 0.5)],
    )
    return draw.choice(choices)
