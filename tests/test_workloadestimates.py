"""Tests of corrected sizes and run times."""

from arbutusladder.messages import Resources
from arbutusladder.workloadestimates import MAX_FACTOR, SAMPLES, Corrections
from tests.test_policies import new_job


def corrected(count, cpu=3.0, memory=3000.0):
    corrections = Corrections()
    for number in range(count):
        usage = Resources(cpu, memory)
        corrections.peak_reported("work", f"job/{number}", usage)
    return corrections


class TestSizes:
    """Guards against VMs that are overcommitted by wrong declarations."""

    def test_few_reports_change_nothing(self):
        job = new_job()
        assert corrected(4).need(job) is job.task_resources

    def test_larger_of_declared_and_measured(self):
        assert corrected(5).need(new_job()) == Resources(3.0, 3008.0)
        assert corrected(5).need(new_job(cpu=8.0)) == Resources(8.0, 8192.0)

    def test_one_wild_task_does_not_decide(self):
        corrections = corrected(40, cpu=0.5, memory=10.0)
        corrections.peak_reported("work", "wild/0", Resources(60.0, 10.0))
        assert corrections.need(new_job()).cpu == 1.0

    def test_faulty_reports_are_bounded(self):
        need = corrected(9, cpu=1e9).need(new_job())
        assert need.cpu == MAX_FACTOR

    def test_old_tasks_are_forgotten(self):
        corrections = corrected(SAMPLES)
        for number in range(SAMPLES):
            usage = Resources(0.5, 10.0)
            corrections.peak_reported("work", f"new/{number}", usage)
        assert corrections.need(new_job()).cpu == 1.0


class TestRunTimes:
    """Guards against work that is filled in and then runs for too long."""

    def test_high_percentile_of_what_ran(self):
        corrections = Corrections()
        for run_time_s in range(1, 11):
            corrections.run_ended("work", float(run_time_s))
        assert corrections.run_time(new_job(run_time_s=1.0)) == 9.0

    def test_service_has_no_end(self):
        assert Corrections().run_time(new_job(service=True)) == float("inf")
