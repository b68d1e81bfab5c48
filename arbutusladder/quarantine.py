"""Quarantine of workers on which tasks fail repeatedly.

A quarantined worker gets single trial tasks at growing intervals and returns to service
after a successful one. `Quarantine` owns the failure counts and trials of the workers.
"""

from dataclasses import dataclass

from arbutusladder.ids import TaskId, VmId

# Time until the first trial; doubled after each failed one.
TRIAL_INTERVAL_S = 60.0
MAX_TRIAL_INTERVAL_S = 960.0
# Run time after which a trial task counts as successful.
TRIAL_RUN_S = 30.0
# Upper bound of the quarantined fraction of the workers. If more of them fail, the
# cause lies outside of the workers.
MAX_QUARANTINED_FRACTION = 0.5


@dataclass(slots=True)
class _WorkerRecord:
    failures: int = 0
    quarantined: bool = False
    interval_s: float = TRIAL_INTERVAL_S
    next_trial_at: float = 0.0
    trial: TaskId | None = None
    trial_started_at: float | None = None


class Quarantine:
    """Counts consecutive failures by worker and tracks trials of quarantined workers.

    Args:
        max_failures: Consecutive failures after which a worker is quarantined.
    """

    def __init__(self, max_failures: int):
        self.max_failures = max_failures
        self._record_by_vm: dict[VmId, _WorkerRecord] = {}
        self._quarantined: set[VmId] = set()

    def __contains__(self, vm: VmId) -> bool:
        return vm in self._quarantined

    def __len__(self) -> int:
        return len(self._quarantined)

    def record_failure(
        self, vm: VmId, task_id: TaskId, workers: int, now: float
    ) -> bool:
        """Records a failed task.

        Args:
            workers: Number of workers in the shard.

        Returns:
            Whether this failure quarantines the worker.
        """
        record = self._record_by_vm.setdefault(vm, _WorkerRecord())
        if record.quarantined:
            self._trial_failed(record, task_id, now)
            return False
        record.failures += 1
        limit = max(1, int(workers * MAX_QUARANTINED_FRACTION))
        if record.failures < self.max_failures or len(self._quarantined) >= limit:
            return False
        record.quarantined = True
        record.next_trial_at = now + record.interval_s
        self._quarantined.add(vm)
        return True

    def record_success(self, vm: VmId, task_id: TaskId) -> bool:
        """Records a successful task; returns whether it ends the quarantine."""
        record = self._record_by_vm.get(vm)
        if record is None:
            return False
        if record.quarantined and record.trial != task_id:
            return False
        return self.forget(vm)

    def forget(self, vm: VmId) -> bool:
        """Drops the record of a worker; returns whether it was quarantined."""
        self._record_by_vm.pop(vm, None)
        was_quarantined = vm in self._quarantined
        self._quarantined.discard(vm)
        return was_quarantined

    def workers_due_for_trial(self, now: float) -> list[VmId]:
        """Returns the quarantined workers that may get a trial task now."""
        return [
            vm
            for vm in self._quarantined
            if self._record_by_vm[vm].trial is None
            and self._record_by_vm[vm].next_trial_at <= now
        ]

    def trial_assigned(self, vm: VmId, task_id: TaskId) -> None:
        """Records the trial task of a worker."""
        self._record_by_vm[vm].trial = task_id

    def is_trial(self, vm: VmId, task_id: TaskId) -> bool:
        """Returns whether a task is the trial task of a worker."""
        record = self._record_by_vm.get(vm)
        return record is not None and record.trial == task_id

    def trial_confirmed(self, vm: VmId, task_id: TaskId, now: float) -> None:
        """Records that the worker runs its trial task."""
        if self.is_trial(vm, task_id):
            self._record_by_vm[vm].trial_started_at = now

    def trial_aborted(self, vm: VmId, task_id: TaskId, now: float) -> None:
        """Ends a trial without a result, for example after a cancellation."""
        if self.is_trial(vm, task_id):
            record = self._record_by_vm[vm]
            record.trial = record.trial_started_at = None
            record.next_trial_at = now + record.interval_s

    def passed_trials(self, now: float) -> list[tuple[VmId, TaskId]]:
        """Returns the trial tasks that have run long enough, with their workers."""
        found = []
        for vm in self._quarantined:
            record = self._record_by_vm[vm]
            started_at = record.trial_started_at
            if started_at is not None and now - started_at >= TRIAL_RUN_S:
                found.append((vm, record.trial))
        return found

    def _trial_failed(self, record: _WorkerRecord, task_id: TaskId, now: float) -> None:
        if record.trial != task_id:
            return
        record.trial = record.trial_started_at = None
        record.interval_s = min(record.interval_s * 2, MAX_TRIAL_INTERVAL_S)
        record.next_trial_at = now + record.interval_s
