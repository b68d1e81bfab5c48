"""Handling of tasks whose state is unknown after a missing answer or report.

The module performs no I/O and owns no state: it changes the tasks, leases, blocks and
workers of the shard's `TaskController`.
"""

from typing import TYPE_CHECKING

from arbutusladder.ids import TaskId, VmId
from arbutusladder.jobs import Task, TaskEvent
from arbutusladder.leases import WorkerState
from arbutusladder.messages import StartTask, WorkerExchange, WorkerReport
from arbutusladder.states import Reason, TaskEnd

if TYPE_CHECKING:
    from arbutusladder.taskcontrol import TaskController

# Time in seconds for a worker's report to show the result of a start whose lease
# has expired.
RESOLVE_GRACE_S = 1.0


class LostTaskHandler:
    """Blocks tasks that may run on silent workers until their leases have expired.

    Args:
        control: Controller of the shard's tasks.
    """

    def __init__(self, control: "TaskController"):
        self._control = control

    def handle_failed_exchange(
        self, worker: WorkerState, sent: WorkerExchange | None, now: float
    ) -> None:
        """Blocks every task that a worker which did not answer may be running.

        Args:
            worker: The worker.
            sent: What may have reached it; none when nothing was sent.
            now: Monotonic time in seconds.
        """
        worker.silent = True
        self._block_lost_starts(worker, sent.starts if sent else [], now)
        self.block_worker_tasks(worker, now)

    def block_worker_tasks(self, worker: WorkerState, now: float) -> None:
        """Blocks the tasks of a worker until their leases have expired."""
        for lease in self._control.lease_table.leases_on_worker(worker.vm):
            task = self._control.table.task(lease.task_id)
            if task and task.vm == worker.vm:
                self._block_until_lease_expires(task, now)

    def check_report(
        self,
        worker: WorkerState,
        sent: WorkerExchange,
        sent_at: float,
        report: WorkerReport,
        now: float,
    ) -> None:
        """Handles tasks and starts that are missing from a report.

        Args:
            worker: The worker.
            sent: The exchange that the report answers.
            sent_at: Monotonic time in seconds just before the exchange was sent.
            report: The report.
            now: Monotonic time in seconds.
        """
        reported_task_ids = {running.task_id for running in report.tasks}
        self._handle_missing_tasks(worker, reported_task_ids, sent_at, report.boot, now)
        answered_task_ids = {result.task_id for result in report.results}
        unanswered_starts = [
            start for start in sent.starts if start.task_id not in answered_task_ids
        ]
        self._block_lost_starts(worker, unanswered_starts, now)

    def expire_blocks(self, now: float) -> list[VmId]:
        """Ends the attempts of tasks whose block has expired.

        Returns:
            Answering workers that must be polled for the result of a start.
        """
        workers_to_poll = []
        for task_id in self._control.blocked.pop_expired(now):
            task = self._control.table.task(task_id)
            if task is None or not task.may_run:
                continue
            worker = self._control.workers_by_id.get(task.vm) if task.vm else None
            if worker is None:
                self._control.takeover.handle_expired_task(task, now)
            elif worker.silent or worker.removed:
                self._control.metrics.count("task.lost")
                self._control.end_attempt(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
            else:
                self._block_until(task, now + RESOLVE_GRACE_S, now)
                workers_to_poll.append(worker.vm)
        return workers_to_poll

    def _block_lost_starts(
        self, worker: WorkerState, starts: list[StartTask], now: float
    ) -> None:
        for start in starts:
            task = self._control.table.task(start.task_id)
            if task and task.vm == worker.vm:
                worker.boot_by_lost_start[start.task_id] = worker.boot
                self._block_until_lease_expires(task, now)

    def _block_until_lease_expires(self, task: Task, now: float) -> None:
        until = self._control.lease_table.safe_restart_at(task.task_id)
        if self._control.blocked.until(task.task_id) != until:
            self._control.table.apply_event(task, TaskEvent.LOST)
            self._block_until(task, until, now)

    def _block_until(self, task: Task, until: float, now: float) -> None:
        self._control.blocked.block(task.task_id, until)
        # The policy blocks the task for longer, so that a report of the worker can
        # settle the state of the task first.
        policy_until = until + RESOLVE_GRACE_S
        self._control.policy.block_task(task.task_id, policy_until, now)

    def _handle_missing_tasks(
        self,
        worker: WorkerState,
        reported_task_ids: set[TaskId],
        sent_at: float,
        boot: str,
        now: float,
    ) -> None:
        for lease in self._control.lease_table.leases_on_worker(worker.vm):
            task = self._control.table.task(lease.task_id)
            if (
                lease.task_id in reported_task_ids
                or task is None
                or task.vm != worker.vm
            ):
                continue
            if lease.running:
                self._control.end_attempt(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
            elif sent_at >= self._control.lease_table.safe_restart_at(lease.task_id):
                self._resolve_missing_start(task, worker, boot, now)

    def _resolve_missing_start(
        self, task: Task, worker: WorkerState, boot: str, now: float
    ) -> None:
        # A worker reports an ended task until it is acknowledged, so a task that is
        # missing from a report of the same boot never ran.
        if worker.boot_by_lost_start.get(task.task_id) == boot:
            self._control.revert_start(task, worker, Reason.WORKER_SILENT, now)
        else:
            self._control.end_attempt(task, worker, TaskEnd.LEASE_EXPIRED, 0.0, now)
