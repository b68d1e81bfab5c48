"""Tests of estimated sizes and run times."""

from arbutusladder.messages import Resources
from arbutusladder.workloadestimates import (
    MAX_SAMPLES,
    MAX_SIZE_FACTOR,
    WorkloadEstimates,
)
from tests.test_policies import new_job


def estimates_after(count, cpu=3.0, memory=3000.0):
    estimates = WorkloadEstimates()
    for number in range(count):
        usage = Resources(cpu, memory)
        estimates.record_peak("work", f"job/{number}", usage)
    return estimates


class TestSizes:
    """Guards against overcommitted VMs due to wrong declarations."""

    def test_too_few_samples_keep_the_declaration(self):
        job = new_job()
        assert estimates_after(4).resources_for(job) is job.task_resources

    def test_larger_of_declared_and_estimated_size(self):
        assert estimates_after(5).resources_for(new_job()) == Resources(3.0, 3008.0)
        assert estimates_after(5).resources_for(new_job(cpu=8.0)) == Resources(
            8.0, 8192.0
        )

    def test_single_outlier_is_ignored(self):
        estimates = estimates_after(40, cpu=0.5, memory=10.0)
        estimates.record_peak("work", "wild/0", Resources(60.0, 10.0))
        assert estimates.resources_for(new_job()).cpu == 1.0

    def test_faulty_reports_are_bounded(self):
        need = estimates_after(9, cpu=1e9).resources_for(new_job())
        assert need.cpu == MAX_SIZE_FACTOR

    def test_old_samples_are_dropped(self):
        estimates = estimates_after(MAX_SAMPLES)
        for number in range(MAX_SAMPLES):
            usage = Resources(0.5, 10.0)
            estimates.record_peak("work", f"new/{number}", usage)
        assert estimates.resources_for(new_job()).cpu == 1.0


class TestRunTimes:
    """Guards against backfilled tasks that run longer than expected."""

    def test_high_percentile_of_run_times(self):
        estimates = WorkloadEstimates()
        for run_time_s in range(1, 11):
            estimates.record_run_time("work", float(run_time_s))
        assert estimates.expected_run_time_s(new_job(run_time_s=1.0)) == 9.0

    def test_service_has_infinite_run_time(self):
        assert WorkloadEstimates().expected_run_time_s(new_job(service=True)) == float(
            "inf"
        )
