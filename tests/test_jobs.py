"""Tests of the state machine of jobs and tasks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arbutusladder.jobs import TRANSITIONS, IllegalTransition, JobTable, TaskEvent
from arbutusladder.states import JobState, TaskState
from tests.shardharness import make_job


class TestTransitions:
    """Guards against a second start of a task that may be running."""

    def test_start_is_sent_only_for_a_waiting_task(self):
        sent = [state for state, event in TRANSITIONS if event is TaskEvent.SENT]
        assert sent == [TaskState.WAITING]

    def test_ended_task_stays_ended(self):
        assert not [state for state, _ in TRANSITIONS if state is TaskState.ENDED]

    def test_invalid_event_raises_an_error(self):
        table = JobTable()
        table.add(make_job("a"))
        with pytest.raises(IllegalTransition):
            table.apply_event(table.task("a/0"), TaskEvent.STARTED)


class TestCounts:
    """Guards against task counts that diverge from the task states."""

    @given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(TaskEvent))))
    def test_counts_match_the_tasks(self, steps):
        table = JobTable()
        added = table.add(make_job("a", tasks=4))
        for index, event in steps:
            task = table.task(f"a/{index}")
            if (task.state, event) in TRANSITIONS:
                table.apply_event(task, event)
        states = [table.task(f"a/{index}").state for index in range(4)]
        for state in TaskState:
            assert added.counts[state] == states.count(state)
            assert table.counts[state] == states.count(state)

    def test_unknown_task_id_has_no_task(self):
        table = JobTable()
        table.add(make_job("a", tasks=2))
        assert table.task("a/2") is None
        assert table.task("a/x") is None
        assert table.task("b/0") is None

    def test_first_end_of_a_job_is_kept(self):
        table = JobTable()
        added = table.add(make_job("a"))
        table.end(added, JobState.CANCELLED, "cancelled")
        table.end(added, JobState.FAILED, "failed")
        assert (added.state, added.reason) == (JobState.CANCELLED, "cancelled")
