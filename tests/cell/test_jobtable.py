"""Tests of the table of jobs: ends that are reported before they are stored."""

from dataclasses import replace

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.interfaces import KeyedRecord
from arbutusladder.cell.jobtable import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    JobTable,
    progress_item,
    submission_item,
)
from arbutusladder.cell.retention import progress_tombstones, submission_tombstones
from arbutusladder.cell.states import JobPhase
from arbutusladder.messages import JobProgress, RelayedState, StageProgress
from tests.cell import workloads
from tests.cell.memorylog import MemoryLog
from tests.virtualtime import run_in_virtual_time

NOW = 100.0
RECORD = workloads.quote(1)
ENDED = RelayedState(RECORD.job_id, JobPhase.COMPLETED)


def table_with_running_job():
    """Returns a table with one job whose stored state is running."""
    table = JobTable()
    table.apply_jobs([KeyedRecord(0, *submission_item(RECORD))])
    store(table, 0, JobPhase.RUNNING)
    return table


def store(table, offset, phase):
    """Applies a stored state of the job."""
    item = progress_item(RECORD.job_id, JobProgress(phase))
    table.apply_progress([KeyedRecord(offset, *item)])


class TestReportedEnd:
    """Pattern: jobs end while the log is unavailable."""

    def test_end_is_not_shown_before_it_is_stored(self):
        """Guards against a job that runs again after callers saw it as completed."""
        table = table_with_running_job()
        table.apply_reported_ends([ENDED])
        assert table.phase(RECORD.job_id) is JobPhase.RUNNING
        store(table, 1, JobPhase.RUNNING)
        assert table.phase(RECORD.job_id) is JobPhase.RUNNING
        assert table.unstored_ends() == [ENDED]
        store(table, 2, JobPhase.COMPLETED)
        assert table.phase(RECORD.job_id) is JobPhase.COMPLETED
        assert table.waiting_job_count(RECORD.queue.name) == 0

    def test_end_is_passed_on_until_it_is_stored(self):
        """Guards against a successor that does not learn of the end, or always does."""
        table = table_with_running_job()
        table.apply_reported_ends([ENDED])
        assert table.unstored_ends() == [ENDED]
        store(table, 1, JobPhase.COMPLETED)
        assert table.unstored_ends() == []
        table.apply_reported_ends([ENDED])
        assert table.unstored_ends() == []

    def test_unknown_job_is_ignored(self):
        """Guards against showing a job that nobody submitted."""
        table = JobTable()
        table.apply_reported_ends([ENDED])
        assert table.phase(RECORD.job_id) is None
        assert table.unstored_ends() == []

    def test_successor_starts_no_task_of_an_ended_job(self):
        """Guards against running a job again whose end callers have seen."""
        state = CellState(0.0, lambda task: None)
        job = state.add_job(RECORD, JobProgress(JobPhase.RUNNING), NOW, inherited=True)
        state.apply_reported_end(ENDED)
        assert job.phase is JobPhase.COMPLETED
        assert job.id in state.changes.dirty

    def test_ends_are_announced_once_until_stored(self):
        """Guards against a message for each end in every round of decisions."""
        state = CellState(0.0, lambda task: None)
        state.add_job(RECORD, JobProgress(JobPhase.RUNNING), NOW)
        state.apply_reported_end(ENDED)
        assert state.changes.take_unannounced() == [ENDED]
        assert state.changes.take_unannounced() == []
        state.changes.mark_stored([RECORD.job_id])
        assert not state.changes.ended_phase_by_id and not state.changes.announced_ids


class TestRelayedStates:
    """Pattern: the owner stores the progress of many jobs in one append."""

    def test_only_changed_states_are_relayed(self):
        """Guards against relays of every stored record to every entry VM."""
        changes = CellState(0.0, lambda task: None).changes
        running = RelayedState(RECORD.job_id, JobPhase.RUNNING)
        other = RelayedState(workloads.job_id(2), JobPhase.RUNNING)
        assert changes.select_changed([running]) == [running]
        assert changes.select_changed([running, other]) == [other]
        assert changes.select_changed([ENDED, other]) == [ENDED]

    def test_record_of_the_same_append_replaces_the_state(self):
        """Guards against a successor that lacks the finished tasks of a job."""
        table = table_with_running_job()
        table.apply_relayed_states(5, [RelayedState(RECORD.job_id, JobPhase.RUNNING)])
        stages = [StageProgress(0, 0, [1], [], [1, 1], [])]
        item = progress_item(RECORD.job_id, JobProgress(JobPhase.RUNNING, stages))
        table.apply_progress([KeyedRecord(7, *item)])
        assert table.job_by_id[RECORD.job_id].progress.stages == stages


class TestTeam:
    """Pattern: the submission of a team's job is deleted after its end."""

    def test_team_is_known_without_the_submission(self):
        """Guards against showing a finished job to every team."""
        record = replace(RECORD, team="red")
        job = CellState(0.0, lambda task: None).add_job(
            record, JobProgress(JobPhase.QUEUED), NOW
        )
        job.phase = JobPhase.COMPLETED
        item = progress_item(record.job_id, job.progress())
        for records in ([submission_item(record)], []):
            table = JobTable()
            table.apply_jobs([KeyedRecord(0, *row) for row in records])
            table.apply_progress([KeyedRecord(0, *item)])
            table.apply_jobs([KeyedRecord(1, record.job_id, b"")])
            assert table.team(record.job_id) == "red"

    def test_relayed_state_names_no_team(self):
        """Guards against a job that counts as one without a team."""
        state = RelayedState(RECORD.job_id, JobPhase.RUNNING)
        table = JobTable()
        table.apply_relayed_states(5, [state])
        assert table.team(RECORD.job_id) is None
        record = replace(RECORD, team="red")
        table.apply_jobs([KeyedRecord(0, *submission_item(record))])
        table.apply_relayed_states(6, [state])
        assert table.team(RECORD.job_id) == "red"


class TestPrunedWhileAway:
    """Pattern: an entry VM misses the records of an end and of its deletion."""

    def test_deleted_jobs_do_not_run_again(self):
        """Guards against an owner that runs a job which was finished and deleted.

        Records of topics expire; the newest records omit deleted keys.
        """

        async def main():
            log = MemoryLog()
            record = workloads.quote(1)
            await log.append(JOBS_TOPIC, [submission_item(record)])
            running = progress_item(record.job_id, JobProgress(JobPhase.RUNNING))
            await log.append(PROGRESS_TOPIC, [running])
            table = JobTable()
            table.apply_jobs((await log.newest(JOBS_TOPIC)).records)
            table.apply_progress((await log.newest(PROGRESS_TOPIC)).records)
            # While this entry VM is paused or cut off.
            ended = progress_item(record.job_id, JobProgress(JobPhase.COMPLETED))
            await log.append(PROGRESS_TOPIC, [ended])
            await log.append(JOBS_TOPIC, submission_tombstones([record.job_id]))
            await log.append(PROGRESS_TOPIC, progress_tombstones([record.job_id]))
            # Its position is deleted, so it reads the newest records.
            newest = await log.newest(JOBS_TOPIC)
            table.discard_deleted(newest)
            table.apply_jobs(newest.records)
            table.apply_progress((await log.newest(PROGRESS_TOPIC)).records)
            entry = table.job_by_id.get(record.job_id)
            # The condition of `Owner._track_job`.
            return entry and entry.record and not entry.progress.state.is_final

        assert not run_in_virtual_time(main)


class TestEndBeforeSubmission:
    """Pattern: an end is announced to an entry VM that has not read the job yet."""

    def test_announced_end_is_kept(self):
        """Guards against a successor that runs a job again which has ended."""
        table, record = JobTable(), workloads.quote(1)
        ended = RelayedState(record.job_id, JobPhase.COMPLETED)
        table.apply_reported_ends([ended])
        table.apply_jobs([KeyedRecord(0, *submission_item(record))])
        assert table.job_by_id[record.job_id].reported_end is JobPhase.COMPLETED
        assert table.unstored_ends() == [ended]
