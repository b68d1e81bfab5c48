"""Tests of the table that shows where jobs spend their time."""

import json
from datetime import UTC, datetime

import pytest

from arbutusladder import jobtrace, jobwaits

START_S = 1_700_000_000.0
JOB_ID = "00000000000000ab"


def log_line(at, event, **fields):
    """Returns a log line of a process."""
    time = datetime.fromtimestamp(START_S + at, UTC).isoformat()
    record = {"time": time, "source": "owner", "event": event, "text": ""}
    return json.dumps(record | {"fields": fields})


def job_log_lines():
    """Returns the log lines of a job whose gang was started twice."""
    step = f"{JOB_ID}.0.0"
    return [
        log_line(1.5, 465, job=JOB_ID, queue="q", outcome="not_stored", seconds=0.5),
        log_line(2.0, 465, job=JOB_ID, queue="q", outcome="accepted", seconds=0.1),
        log_line(
            5.0,
            468,
            step=step,
            seconds=3.0,
            placed="0:1@w1 1:1@w2",
            waits="advice=1.00 room=2.00",
        ),
        log_line(7.0, 467, task=f"{step}.0", run=1, worker="w1"),
        log_line(
            9.0, 468, step=step, seconds=7.0, placed="0:2@w3 1:2@w2", waits="room=1.50"
        ),
        log_line(12.0, 460, job=JOB_ID, state="completed"),
        "no event",
    ]


class TestJobTimes:
    """Times of one job with a refused submission and a restarted gang."""

    def test_waits_are_split_by_cause(self):
        """Guards against waits for a restart that count as for the first start."""
        logged, _ = jobtrace.parse_log_lines(job_log_lines())
        job = jobwaits.collect_job_times(logged)[JOB_ID]
        assert job.duration_s == pytest.approx(11.0)
        assert job.stalled_count == 1
        assert dict(job.wait_s_by_cause) == pytest.approx(
            {"accept": 1.0, "advice": 1.0, "room": 2.0, "restart": 1.5}
        )


class TestCommand:
    """Output and exit codes of the command."""

    def test_queue_and_longest_jobs_are_printed(self, tmp_path, capsys):
        """Guards against a table whose means do not add up to the total."""
        path = tmp_path / "log"
        path.write_text("\n".join(job_log_lines()))
        assert jobwaits.main(["--jobs=1", str(path)]) == 0
        queue, job = capsys.readouterr().out.splitlines()
        assert queue.startswith(
            "q: 1 jobs, 1 ended, 11.00 s median, means: total 11.00"
        )
        assert "restart 1.50, rest 5.50" in queue
        assert job.startswith(f"{JOB_ID} of q: 11.00 s completed; waits: accept 1.00")

    def test_bad_arguments_are_bad_usage(self, tmp_path, capsys):
        """Guards against a traceback in place of an error message with a remedy."""
        assert jobwaits.main([]) == 2
        assert jobwaits.main(["--jobs=many", str(tmp_path)]) == 2
        assert jobwaits.main(["missing.log"]) == 2
        assert "name a log file" in capsys.readouterr().err

    def test_log_without_jobs(self, tmp_path):
        """Guards against exit code 0 for logs that have no job."""
        path = tmp_path / "log"
        path.write_text("no event\n")
        assert jobwaits.main([str(path)]) == 4
