"""Tests of the fold of stream ``jobs``."""

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.jobstore import JobStore
from arbutusladder.messages import (
    JobEnded,
    JobMoved,
    JobSpec,
    JobSubmitted,
    Resources,
    ShardFence,
    TasksEnded,
)
from arbutusladder.states import JobState, Urgency

SHARDS = ("d0-0", "d1-0", "d2-0")


def submitted(job_id, shard="d0-0"):
    spec = JobSpec(job_id, "residual", "bookings", Urgency.BATCH, 2, Resources(1.0))
    return JobSubmitted(shard, spec)


def fold(store, records, first=0):
    """Applies records from an offset on; returns the store."""
    for offset, record in enumerate(records, first):
        store.fold(offset, record)
    return store


def places(store):
    """Returns the active jobs and their ended tasks by shard."""
    return {
        shard: {job.spec.job_id: sorted(job.ended_tasks) for job in store.jobs(shard)}
        for shard in SHARDS
    }


class TestAssignment:
    """Guards against a job that is assigned to two shards."""

    def test_move_keeps_the_state_of_the_job(self):
        records = [
            submitted("j"),
            TasksEnded("j", ["t1"]),
            JobMoved("j", "d0-0", "d1-0", 1),
        ]
        store = fold(JobStore(), records)
        assert places(store) == {"d0-0": {}, "d1-0": {"j": ["t1"]}, "d2-0": {}}

    def test_move_of_a_previous_owner_is_ignored_after_the_fence(self):
        store = fold(JobStore(), [submitted("j"), ShardFence("d0-0", 2)])
        store.fold(2, JobMoved("j", "d0-0", "d1-0", 1))
        assert store.job("j").shard == "d0-0"
        store.fold(3, JobMoved("j", "d0-0", "d1-0", 2))
        assert store.job("j").shard == "d1-0"

    def test_second_move_from_the_same_shard_is_ignored(self):
        store = fold(JobStore(), [submitted("j"), JobMoved("j", "d0-0", "d1-0", 1)])
        store.fold(2, JobMoved("j", "d0-0", "d2-0", 1))
        assert store.job("j").shard == "d1-0"

    def test_copy_of_a_submission_does_not_restore_an_ended_job(self):
        records = [submitted("j"), JobEnded("j", JobState.FINISHED), submitted("j")]
        store = fold(JobStore(), records)
        assert store.job("j") is None
        assert store.ended("j").state is JobState.FINISHED


class TestMissedRecords:
    """Guards against lost or restored jobs after missed records."""

    def test_shard_is_incomplete_until_its_snapshot(self):
        complete_store = fold(JobStore(), [submitted("j"), submitted("k")])
        partial_store = fold(JobStore(), [submitted("x")])
        partial_store.missed(start=2)
        assert not partial_store.is_complete("d0-0")
        assert partial_store.jobs("d0-0") == []
        partial_store.fold(2, complete_store.snapshot("d0-0", 1))
        assert partial_store.is_complete("d0-0")
        assert places(partial_store) == places(complete_store)

    def test_snapshot_before_the_missed_records_is_ignored(self):
        early_store = fold(JobStore(), [submitted("j")])
        partial_store = JobStore()
        partial_store.missed(start=5)
        partial_store.fold(5, early_store.snapshot("d0-0", 1))
        assert not partial_store.is_complete("d0-0")

    def test_task_end_before_the_submission_counts(self):
        """Guards against a task that runs again after its end was read first."""
        store = fold(JobStore(), [TasksEnded("j", ["t1"]), submitted("j")])
        assert places(store)["d0-0"] == {"j": ["t1"]}

    def test_copy_after_a_snapshot_does_not_restore_a_job_whose_end_was_missed(self):
        """Guards against a job that runs again at an owner that missed its end."""
        whole = fold(JobStore(), [submitted("j"), JobEnded("j", JobState.FINISHED)])
        partial_store = JobStore()
        partial_store.missed(start=2)
        records = [whole.snapshot("d0-0", 1), submitted("j")]
        fold(partial_store, records, 2)
        assert partial_store.is_complete("d0-0")
        assert partial_store.job("j") is None
        assert partial_store.ended("j").state is JobState.FINISHED

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["submit", "move", "tasks", "end", "fence", "copy"]),
                st.integers(0, 4),
                st.sampled_from(SHARDS),
                st.sampled_from(SHARDS),
                st.integers(1, 3),
            ),
            max_size=40,
        ),
        st.integers(0, 40),
        st.integers(0, 10),
    )
    def test_start_in_the_middle_ends_in_the_same_state(self, plan, start, lag):
        whole, records = JobStore(), []
        for kind, number, shard, other, epoch in plan:
            job = f"j{number}"
            record = {
                "submit": submitted(job, shard),
                "copy": records[number] if number < len(records) else submitted(job),
                "move": JobMoved(job, shard, other, epoch),
                "tasks": TasksEnded(job, [f"{job}/{epoch}"]),
                "end": JobEnded(job, JobState.FINISHED),
                "fence": ShardFence(shard, epoch),
            }[kind]
            records.append(record)
        start = min(start, len(records))
        snapshots_at = min(len(records), start + lag)
        fold(whole, records[:snapshots_at])
        snapshots = [whole.snapshot(shard, whole.fence(shard)) for shard in SHARDS]
        fold(whole, snapshots, snapshots_at)
        tail = records[snapshots_at:]
        fold(whole, tail, snapshots_at + len(snapshots))
        late = JobStore()
        if start:
            late.missed(start)
        fold(late, records[start:snapshots_at] + snapshots + tail, start)
        assert all(late.is_complete(shard) for shard in SHARDS)
        assert places(late) == places(whole)
