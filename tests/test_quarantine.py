"""Tests of the quarantine of workers."""

from arbutusladder.quarantine import TRIAL_INTERVAL_S, TRIAL_RUN_S, Quarantine


def new_quarantined():
    quarantine = Quarantine(max_failures=3)
    for number in range(3):
        quarantine.record_failure("w0", f"task/{number}", 4, 0.0)
    return quarantine


class TestQuarantine:
    """Guards against failing workers that keep getting tasks."""

    def test_only_consecutive_failures_count(self):
        quarantine = Quarantine(max_failures=3)
        for number in range(10):
            quarantine.record_failure("w0", f"task/{number}", 4, 0.0)
            quarantine.record_success("w0", "task/x")
        assert "w0" not in quarantine

    def test_one_trial_at_a_time(self):
        quarantine = new_quarantined()
        assert quarantine.workers_due_for_trial(TRIAL_INTERVAL_S - 1) == []
        assert quarantine.workers_due_for_trial(TRIAL_INTERVAL_S) == ["w0"]
        quarantine.trial_assigned("w0", "trial/0")
        assert quarantine.workers_due_for_trial(TRIAL_INTERVAL_S * 9) == []

    def test_failed_trial_doubles_the_interval(self):
        quarantine = new_quarantined()
        quarantine.trial_assigned("w0", "trial/0")
        quarantine.record_failure("w0", "trial/0", 4, 100.0)
        assert quarantine.workers_due_for_trial(100.0 + TRIAL_INTERVAL_S) == []
        assert quarantine.workers_due_for_trial(100.0 + 2 * TRIAL_INTERVAL_S) == ["w0"]

    def test_only_the_trial_task_ends_the_quarantine(self):
        quarantine = new_quarantined()
        quarantine.trial_assigned("w0", "trial/0")
        assert not quarantine.record_success("w0", "earlier/0")
        assert quarantine.record_success("w0", "trial/0")
        assert "w0" not in quarantine

    def test_long_running_trial_passes(self):
        quarantine = new_quarantined()
        quarantine.trial_assigned("w0", "trial/0")
        quarantine.trial_confirmed("w0", "trial/0", 70.0)
        assert quarantine.passed_trials(70.0 + TRIAL_RUN_S - 1) == []
        assert quarantine.passed_trials(70.0 + TRIAL_RUN_S) == [("w0", "trial/0")]

    def test_at_most_half_of_the_workers_are_quarantined(self):
        quarantine = Quarantine(max_failures=1)
        for number in range(4):
            quarantine.record_failure(f"w{number}", "task/0", 4, 0.0)
        assert len(quarantine) == 2
