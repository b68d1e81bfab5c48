"""Finished jobs leave the log."""

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

KEEP_S = 180.0


class Log:
    """Two keyed topics as a restarted entry VM reads them."""

    def __init__(self):
        self.topics = {"jobs": {}, "progress": {}}
        self.end = 0
        self.table = JobTable()

    def append(self, topic, items):
        """Appends records and folds them into the table."""
        records = []
        for key, value in items:
            records.append(KeyedRecord(self.end, key, value))
            self.topics[topic][key] = records[-1]
            self.end += 1
        self._fold(self.table, topic, records)

    def restarted(self):
        """Returns the table of an entry VM that reads the newest of each key."""
        table = JobTable()
        for topic, record_by_key in self.topics.items():
            kept = [record for record in record_by_key.values() if record.value]
            self._fold(table, topic, kept)
        return table

    def size(self):
        """Returns the bytes that a restart reads."""
        topics = self.topics.values()
        return sum(len(record.value) for topic in topics for record in topic.values())

    @staticmethod
    def _fold(table, topic, records):
        if topic == "jobs":
            table.apply_jobs(records)
        else:
            table.apply_progress(records)


def finished(count):
    """Returns a log with jobs that are over."""
    log = Log()
    for number in range(count):
        record = workloads.audit(number)
        log.append("jobs", [submission_item(record)])
        done = JobProgress(JobPhase.COMPLETED)
        log.append("progress", [progress_item(record.job_id, done)])
    return log


def drop(log, retention, now, open_ids=frozenset()):
    """Carries out what is due."""
    drops = retention.find_expired(log.table, open_ids, now)
    log.append("jobs", submission_tombstones(drops.submissions + drops.jobs))
    log.append("progress", progress_tombstones(drops.jobs))
    retention.mark_submissions_deleted(drops.submissions)
    retention.forget_jobs(drops.jobs)


class TestFinishedJobs:
    """Pattern: thousands of finished jobs, and all entry VMs restart."""

    def test_restart_reads_little_of_finished_jobs(self):
        """Guards against restarts that read every job of the last hours."""
        log, retention = finished(300), Retention(KEEP_S)
        whole = log.size()
        for now in (0.0, SUBMISSION_RETENTION_S + 1):
            drop(log, retention, now)
        assert log.size() < whole / 5
        table = log.restarted()
        assert table.phase(workloads.job_id(7)) is JobPhase.COMPLETED

    def test_job_is_unknown_after_its_time_and_never_runs_again(self):
        """Guards against a log that grows without end."""
        log, retention = finished(3), Retention(KEEP_S)
        for now in (0.0, SUBMISSION_RETENTION_S + 1, KEEP_S + 1):
            drop(log, retention, now)
        assert log.restarted().job_by_id == {}
        assert log.table.job_by_id == {} and not log.table.final_ids

    def test_submission_with_runs_that_may_go_on_stays(self):
        """Guards against a successor that does not know what a run needs."""
        log, retention = finished(1), Retention(KEEP_S)
        for now in (0.0, KEEP_S + 1):
            drop(log, retention, now, {workloads.job_id(0)})
        assert log.restarted().job_by_id[workloads.job_id(0)].record is not None

    def test_repeated_submission_of_a_finished_job_does_not_open_it_again(self):
        """Guards against a second run after a client's late repeat."""
        log, retention = finished(1), Retention(KEEP_S)
        for now in (0.0, SUBMISSION_RETENTION_S + 1):
            drop(log, retention, now)
        log.append("jobs", [submission_item(workloads.audit(0))])
        assert log.restarted().phase(workloads.job_id(0)) is JobPhase.COMPLETED
        drop(log, retention, KEEP_S + 1)
        assert log.restarted().job_by_id == {}
