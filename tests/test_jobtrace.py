"""Tests of job traces from the logs of processes whose clocks differ."""

import json
from datetime import UTC, datetime

import pytest

from arbutusladder import jobtrace

START_S = 1_700_000_000.0
JOB_ID = "00000000000000ab"
OTHER_JOB_ID = "00000000000000cd"


def log_line(at, source, event, text="", **fields):
    """Returns a log line of a process, with the prefix that a log collector adds."""
    time = datetime.fromtimestamp(START_S + at, UTC).isoformat()
    record = {"time": time, "source": source, "event": event, "text": text}
    return f"{at:.4f} {source} " + json.dumps(record | {"fields": fields})


def job_log_lines(clock_offset_s=0.0):
    """Returns the log lines of a job whose entry VM has a clock that is ahead."""
    return [
        log_line(1.02 + clock_offset_s, "a", 465, "accepted", job=JOB_ID, seconds=0.02),
        log_line(
            1.03 + clock_offset_s, "a", 465, "accepted", job=OTHER_JOB_ID, seconds=0.02
        ),
        log_line(
            1.04,
            "owner",
            468,
            "other started",
            step=f"{OTHER_JOB_ID}.0.0",
            seconds=0.02,
        ),
        log_line(2.0, "owner", 469, "40 of 64 cores free"),
        log_line(3.0, "owner", 468, "started", step=f"{JOB_ID}.0.0", seconds=1.97),
        log_line(3.5, "b", 220, "claimed the cell"),
        log_line(4.0, "b", 460, "ended", job=JOB_ID),
        log_line(9.0, "b", 222, "released the cell"),
        "no event",
    ]


class TestTrace:
    """Tests of the events of a trace and of its text."""

    @pytest.mark.parametrize("clock_offset_s", [0.0, 0.7])
    def test_events_are_in_order_although_clocks_differ(self, clock_offset_s):
        """Guards against a job that seems to start before it was submitted."""
        logged, skipped_count = jobtrace.parse_log_lines(job_log_lines(clock_offset_s))
        trace = jobtrace.trace_job(logged, JOB_ID)
        assert [entry.event for entry in trace] == [465, 468, 220, 460]
        assert trace[1].at - trace[0].at == pytest.approx(1.98, abs=0.05)
        assert skipped_count == 1

    def test_other_jobs_are_not_included(self):
        """Guards against events of a job whose id starts with the given one."""
        logged, _ = jobtrace.parse_log_lines(
            [
                log_line(1.0, "a", 465, job=JOB_ID),
                log_line(1.1, "a", 468, step=f"{JOB_ID}0.0.0"),
            ]
        )
        assert [entry.event for entry in jobtrace.trace_job(logged, JOB_ID)] == [465]

    def test_longest_wait_is_shown_with_the_load_of_the_owner(self):
        """Guards against a trace that does not show where the job waited longest."""
        logged, _ = jobtrace.parse_log_lines(job_log_lines())
        lines = jobtrace.format_trace(jobtrace.trace_job(logged, JOB_ID), logged)
        assert lines[-2].startswith(
            "longest wait: 1.980 s, from 465 on a to 468 on owner"
        )
        assert lines[-1] == "load of the owner in that time: 40 of 64 cores free"


class TestCommand:
    """Tests of the command line."""

    def test_job_without_events(self, tmp_path, capsys):
        """Guards against exit code 0 and an empty trace for an unknown job."""
        path = tmp_path / "log"
        path.write_text("\n".join(job_log_lines()))
        assert jobtrace.main(["f" * 16, str(path)]) == 4
        assert "give the logs of all entry VMs" in capsys.readouterr().err

    def test_missing_arguments_are_bad_usage(self, capsys):
        """Guards against reporting bad usage with the exit code of a refusal."""
        assert jobtrace.main([JOB_ID]) == 2
        assert "arbutusladder trace" in capsys.readouterr().err

    def test_missing_file_is_named(self, capsys):
        """Guards against a traceback in place of an error message with a remedy."""
        assert jobtrace.main([JOB_ID, "missing.log"]) == 2
        assert "missing.log" in capsys.readouterr().err

    def test_trace_is_printed_without_control_characters(self, tmp_path, capsys):
        """Guards against control characters from a log that reach the terminal."""
        path = tmp_path / "log"
        text = log_line(1.0, "a", 465, "accepted \x1b[2J", job=JOB_ID)
        path.write_text(text)
        assert jobtrace.main([JOB_ID, str(path)]) == 0
        assert "accepted \\x1b[2J" in capsys.readouterr().out
