"""Tests the deletion of finished jobs from the log."""

from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.cell.jobtable import JobTable, progress_item, submission_item
from arbutusladder.cell.retention import (
    SUBMISSION_RETENTION_S,
    Retention,
    progress_tombstones,
    submission_tombstones,
)
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import JobProgress
from tests.cell import workloads

RETENTION_S = 180.0


class FakeLog:
    """The jobs and progress topics, with the job table that follows them."""

    def __init__(self):
        self.topics = {"jobs": {}, "progress": {}}
        self.end = 0
        self.table = JobTable()

    def append(self, topic, items):
        """Appends records and applies them to the table."""
        records = []
        for key, value in items:
            records.append(KeyedRecord(self.end, key, value))
            self.topics[topic][key] = records[-1]
            self.end += 1
        self._apply(self.table, topic, records)

    def restarted(self):
        """Returns the table of a restarted entry VM, which reads the newest records."""
        table = JobTable()
        for topic, record_by_key in self.topics.items():
            kept = [record for record in record_by_key.values() if record.value]
            self._apply(table, topic, kept)
        return table

    def size(self):
        """Returns the number of bytes that a restart reads."""
        topics = self.topics.values()
        return sum(len(record.value) for topic in topics for record in topic.values())

    @staticmethod
    def _apply(table, topic, records):
        if topic == "jobs":
            table.apply_jobs(records)
        else:
            table.apply_progress(records)


def log_with_finished_jobs(count):
    """Returns a log with this many finished jobs."""
    log = FakeLog()
    for number in range(count):
        record = workloads.audit(number)
        log.append("jobs", [submission_item(record)])
        done = JobProgress(JobPhase.COMPLETED)
        log.append("progress", [progress_item(record.job_id, done)])
    return log


def prune(log, retention, now, open_ids=frozenset()):
    """Deletes the expired records from the log."""
    expired = retention.find_expired(log.table, open_ids, now)
    log.append("jobs", submission_tombstones(expired.submissions + expired.jobs))
    log.append("progress", progress_tombstones(expired.jobs))
    retention.mark_submissions_deleted(expired.submissions)
    retention.forget_jobs(expired.jobs)


class TestFinishedJobs:
    """All entry VMs restart when thousands of jobs have finished."""

    def test_restart_reads_little_of_finished_jobs(self):
        """Guards against restarts that read every job of the last hours."""
        log, retention = log_with_finished_jobs(300), Retention(RETENTION_S)
        whole = log.size()
        for now in (0.0, SUBMISSION_RETENTION_S + 1):
            prune(log, retention, now)
        assert log.size() < whole / 5
        table = log.restarted()
        assert table.phase(workloads.job_id(7)) is JobPhase.COMPLETED

    def test_expired_job_is_unknown_and_never_runs_again(self):
        """Guards against a log that grows without bound."""
        log, retention = log_with_finished_jobs(3), Retention(RETENTION_S)
        for now in (0.0, SUBMISSION_RETENTION_S + 1, RETENTION_S + 1):
            prune(log, retention, now)
        assert log.restarted().job_by_id == {}
        assert log.table.job_by_id == {} and not log.table.final_ids

    def test_submission_of_a_job_with_open_runs_is_kept(self):
        """Guards against a successor that does not know the resources of a run."""
        log, retention = log_with_finished_jobs(1), Retention(RETENTION_S)
        for now in (0.0, RETENTION_S + 1):
            prune(log, retention, now, {workloads.job_id(0)})
        assert log.restarted().job_by_id[workloads.job_id(0)].record is not None

    def test_repeated_submission_does_not_reopen_a_finished_job(self):
        """Guards against a second run after a client's late retry."""
        log, retention = log_with_finished_jobs(1), Retention(RETENTION_S)
        for now in (0.0, SUBMISSION_RETENTION_S + 1):
            prune(log, retention, now)
        log.append("jobs", [submission_item(workloads.audit(0))])
        assert log.restarted().phase(workloads.job_id(0)) is JobPhase.COMPLETED
        prune(log, retention, RETENTION_S + 1)
        assert log.restarted().job_by_id == {}
