"""What may still run when a worker does not answer (pure)."""

from typing import TYPE_CHECKING

from arbutusladder.ids import TaskId, VmId
from arbutusladder.jobs import Task, TaskEvent
from arbutusladder.leases import WorkerView
from arbutusladder.messages import StartTask, WorkerExchange, WorkerReport
from arbutusladder.states import Reason, TaskEnd

if TYPE_CHECKING:
    from arbutusladder.taskcontrol import TaskController

# Time for a worker's list to say what became of a start whose lease expired.
RESOLVE_GRACE_S = 1.0


class LostTaskHandler:
    """Blocks tasks that may run on silent workers until their leases expired.

    Args:
        control: Tasks of the shard.
    """

    def __init__(self, control: "TaskController"):
        self._control = control

    def exchange_failed(
        self, worker: WorkerView, sent: WorkerExchange | None, now: float
    ) -> None:
        """Treats what a worker without an answer may run as running."""
        worker.silent = True
        self._lose_starts(worker, sent.starts if sent else [], now)
        self.block_worker(worker, now)

    def block_worker(self, worker: WorkerView, now: float) -> None:
        """Blocks the tasks of a worker until their leases have expired."""
        for lease in self._control.book.on_worker(worker.vm):
            task = self._control.table.task(lease.task_id)
            if task and task.vm == worker.vm:
                self._block(task, now)

    def report_taken(
        self,
        worker: WorkerView,
        sent: WorkerExchange,
        sent_at: float,
        report: WorkerReport,
        now: float,
    ) -> None:
        """Looks for tasks and starts that the report does not mention."""
        listed = {running.task_id for running in report.tasks}
        self._take_missing(worker, listed, sent_at, report.boot, now)
        results = {result.task_id for result in report.results}
        lost = [start for start in sent.starts if start.task_id not in results]
        self._lose_starts(worker, lost, now)

    def expire(self, now: float) -> list[VmId]:
        """Gives up the tasks whose block has ended.

        Returns:
            Workers that answer and must say what became of a start.
        """
        ask = []
        for task_id in self._control.blocked.expired(now):
            task = self._control.table.task(task_id)
            if task is None or not task.may_run:
                continue
            worker = self._control.workers_by_id.get(task.vm) if task.vm else None
            if worker is None:
                self._control.takeover.expired(task, now)
            elif worker.silent or worker.removed:
                self._control.metrics.count("task.lost")
                self._control.over(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
            else:
                self._block_until(task, now + RESOLVE_GRACE_S, now)
                ask.append(worker.vm)
        return ask

    def _lose_starts(
        self, worker: WorkerView, starts: list[StartTask], now: float
    ) -> None:
        for start in starts:
            task = self._control.table.task(start.task_id)
            if task and task.vm == worker.vm:
                worker.lost_starts[start.task_id] = worker.boot
                self._block(task, now)

    def _block(self, task: Task, now: float) -> None:
        until = self._control.book.safe_at(task.task_id)
        if self._control.blocked.until(task.task_id) != until:
            self._control.table.apply_event(task, TaskEvent.LOST)
            self._block_until(task, until, now)

    def _block_until(self, task: Task, until: float, now: float) -> None:
        self._control.blocked.block(task.task_id, until)
        # The policy waits longer, so that the worker's list decides first.
        policy_until = until + RESOLVE_GRACE_S
        self._control.policy.block_task(task.task_id, policy_until, now)

    def _take_missing(
        self,
        worker: WorkerView,
        listed: set[TaskId],
        sent_at: float,
        boot: str,
        now: float,
    ) -> None:
        for lease in self._control.book.on_worker(worker.vm):
            task = self._control.table.task(lease.task_id)
            if lease.task_id in listed or task is None or task.vm != worker.vm:
                continue
            if lease.running:
                self._control.over(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
            elif sent_at >= self._control.book.safe_at(lease.task_id):
                self._resolve_start(task, worker, boot, now)

    def _resolve_start(
        self, task: Task, worker: WorkerView, boot: str, now: float
    ) -> None:
        # A worker keeps an ended task in its list until it is acknowledged, so
        # a task that is missing from the same boot never ran.
        if worker.lost_starts.get(task.task_id) == boot:
            self._control.not_started(task, worker, Reason.WORKER_SILENT, now)
        else:
            self._control.over(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
