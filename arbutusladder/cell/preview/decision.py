"""Decides where a job would be placed now, by the code that places jobs."""

from collections.abc import Iterable

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.celljobs import Job
from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.forecast.admission import (
    ReceivedForecast,
    expected_wait_s,
    find_refusal,
)
from arbutusladder.cell.forecast.startforecast import start_forecast
from arbutusladder.cell.interfaces import AdviceOrder, StartOrder, TeamLimits
from arbutusladder.cell.placement import Order
from arbutusladder.cell.preview.answer import (
    Preview,
    Start,
    StepPreview,
    TeamPreview,
)
from arbutusladder.cell.preview.remedies import remedy
from arbutusladder.cell.preview.statecopy import PreviewPlacer, copy_state
from arbutusladder.cell.stages import Stage
from arbutusladder.cell.states import JobPhase, WaitCause
from arbutusladder.cell.steppriority import URGENT_PRIORITY
from arbutusladder.cell.teamusage.fairness import FairShares
from arbutusladder.errors import NoRoom
from arbutusladder.ids import Epoch, JobId, VmId
from arbutusladder.messages import JobProgress, Resources, SubmittedJob
from arbutusladder.resources import add
from arbutusladder.teamshares import weighted_share

# Id of the job in the copy of the state. Clients' ids are hexadecimal.
PREVIEW_JOB_ID = JobId("preview")


def preview_job(
    cell: CellState,
    record: SubmittedJob,
    limits: TeamLimits,
    advice: AdviceCapacity,
    now: float,
    *,
    owner: VmId,
    wall_offset: float,
    admits_by_forecast: bool,
) -> Preview:
    """Returns where a job would be placed now; changes nothing.

    Args:
        cell: State of the cell.
        record: The job, with the id `PREVIEW_JOB_ID`.
        limits: Shares and caps of the teams.
        advice: Calls to the advice service that may begin; it is used up.
        now: Monotonic time in seconds.
        owner: Entry VM that decides.
        wall_offset: Wall clock time less monotonic time in seconds.
        admits_by_forecast: Whether jobs that would end too late are refused.
    """
    copied = copy_state(cell, limits, wall_offset, now)
    waiting = _waiting_stages(copied.job_by_id.values(), now)
    forecast = start_forecast(cell, limits, bool(waiting), now)
    received = ReceivedForecast(forecast, Epoch(0), now, own=True)
    refusal = find_refusal(record, received, now) if admits_by_forecast else None
    job = copied.add_job(record, JobProgress(JobPhase.QUEUED), now)
    job.open_due_occurrences(now)
    team = _team_preview(copied, record, now)
    orders = PreviewPlacer(copied).decide(now, advice)
    return Preview(
        owner,
        record.queue,
        team,
        expected_wait_s(record, forecast),
        str(NoRoom(refusal.retry_after_s)) if refusal else "",
        len(cell.unreported.vms),
        len(waiting),
        [
            _step_preview(copied, job, number, orders, now)
            for number in range(len(record.steps))
        ],
    )


def _waiting_stages(jobs: Iterable[Job], now: float) -> list[Stage]:
    return [
        stage
        for job in jobs
        for stage in job.stage_by_key.values()
        if stage.due_at <= now
        and stage.waiting_tasks()
        and job.dependencies_done(stage)
    ]


def _team_preview(
    cell: CellState, record: SubmittedJob, now: float
) -> TeamPreview | None:
    ledger = cell.team_ledger
    terms = ledger.limits.terms_by_name.get(record.team)
    if terms is None:
        return None
    total = Resources()
    for worker in cell.worker_by_vm.values():
        if cell.accepts_tasks(worker, now):
            total = add(total, worker.entry.capacity)
    charged = ledger.charged(record.team)
    waiting = _waiting_stages(cell.job_by_id.values(), now)
    is_urgent = record.queue.priority <= URGENT_PRIORITY
    return TeamPreview(
        record.team,
        terms.weight,
        charged,
        terms.cap,
        weighted_share(charged, total, terms.weight),
        FairShares(ledger, total, waiting).is_over(record.team, is_urgent),
    )


def _step_preview(
    cell: CellState, job: Job, number: int, orders: list[Order], now: float
) -> StepPreview:
    spec = job.record.steps[number]
    preview = StepPreview(number, spec.count, spec.need, spec.gang)
    stage = next((s for s in job.stage_by_key.values() if s.step == number), None)
    if stage is None:
        preview.cause = "time"
        preview.remedy = f"the first occurrence is due in {job.due_at(0) - now:.1f} s"
        return preview
    if not job.dependencies_done(stage):
        preview.cause = "earlier steps"
        preview.remedy = f"the end of step {', '.join(map(str, spec.after))}"
        return preview
    for order in orders:
        match order:
            case StartOrder() if order.task.startswith(f"{stage.key}."):
                index = int(order.task.rpartition(".")[2])
                preview.starts.append(Start(index, order.vm))
            case AdviceOrder(stage=stage.key):
                preview.named_workers += order.vms
    cause = _wait_cause(cell, stage)
    if cause:
        preview.cause = cause.value
        preview.remedy = remedy(cause, cell, stage, now)
    return preview


def _wait_cause(cell: CellState, stage: Stage) -> WaitCause | None:
    """Returns what the tasks of a step without a start wait for, after the round."""
    if not stage.waiting_tasks():
        return None
    if stage.advice.call_pending:
        return WaitCause.ADVICE
    if not cell.team_ledger.may_start(stage):
        return WaitCause.CAP
    return next(iter(stage.wait_s_by_cause), WaitCause.ROOM)
