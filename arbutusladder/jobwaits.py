"""Shows for each queue where its jobs spend their time, from the logs of the processes.

Usage:
  arbutusladder waits [--jobs COUNT] FILE...

Options:
  --jobs COUNT  Also lists this many jobs with the longest waits. [default: 0]

Reads the JSON lines that the processes write, as 'arbutusladder trace' does. The times
are means in seconds for each finished job: from its submission to its acceptance, until
its steps started first, by what they waited for, until they started again after a run
that did not end well, and the rest, which is mostly work.
"""

import statistics
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from docopt import DocoptExit, docopt

from arbutusladder import events
from arbutusladder.cell.states import WaitCause
from arbutusladder.cmdcontext import ExitCode
from arbutusladder.jobtrace import (
    LoggedEvent,
    correct_clocks,
    read_log_files,
)
from arbutusladder.render import escape_unprintable

RESTART = "restart"
ACCEPT = "accept"
CAUSES = (ACCEPT, *(cause.value for cause in WaitCause), RESTART)


@dataclass
class JobTimes:
    """Times of one job.

    Attributes:
        queue: Its queue; empty if its submission was not logged.
        submitted_at: Wall clock time of the first submission in seconds since 1970.
        ended_at: Wall clock time of its end; None if it has not ended.
        state: Its final state; empty if it has not ended.
        wait_s_by_cause: Seconds waited by cause.
        run_count_by_end: Ended runs by how they ended.
        stalled_count: Runs that were moved because they made no progress.
    """

    queue: str = ""
    submitted_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    wait_s_by_cause: Counter = field(default_factory=Counter)
    run_count_by_end: Counter = field(default_factory=Counter)
    stalled_count: int = 0

    @property
    def duration_s(self) -> float | None:
        """Seconds from its submission to its end; None if either is not known."""
        if self.submitted_at is None or self.ended_at is None:
            return None
        return self.ended_at - self.submitted_at

    def apply(self, entry: LoggedEvent) -> None:
        """Adds an event of the job; events must be added in order of time."""
        fields = entry.fields
        match entry.event:
            case events.JOB_SUBMITTED.number:
                self._apply_submission(entry)
            case events.STEP_STARTED.number:
                self._apply_start(
                    str(fields.get("placed", "")), str(fields.get("waits", ""))
                )
            case events.RUN_ENDED.number:
                self.run_count_by_end[str(fields["how"])] += 1
            case events.STALLED_RUN_MOVED.number:
                self.stalled_count += 1
            case events.CELL_JOB_ENDED.number:
                self.ended_at = entry.at
                self.state = str(fields["state"])

    def _apply_submission(self, entry: LoggedEvent) -> None:
        seconds = float(entry.fields["seconds"])
        self.queue = str(entry.fields["queue"])
        if self.submitted_at is None:
            self.submitted_at = entry.at - seconds
        if entry.fields["outcome"] == "accepted" and ACCEPT not in self.wait_s_by_cause:
            self.wait_s_by_cause[ACCEPT] = entry.at - self.submitted_at

    def _apply_start(self, placed: str, waits: str) -> None:
        is_restart = bool(placed) and all(
            _run_number(start) > 1 for start in placed.split()
        )
        for item in waits.split():
            cause, _, seconds = item.partition("=")
            self.wait_s_by_cause[RESTART if is_restart else cause] += float(seconds)


def _run_number(start: str) -> int:
    """Returns the run number of a start, which has the form index:run@worker."""
    return int(start.partition(":")[2].partition("@")[0])


def collect_job_times(logged: list[LoggedEvent]) -> dict[str, JobTimes]:
    """Returns the times of each job with events in the logs, by its id."""
    times_by_job: dict[str, JobTimes] = defaultdict(JobTimes)
    for entry in sorted(correct_clocks(logged), key=lambda entry: entry.at):
        job_id = entry.job_id()
        if job_id:
            times_by_job[job_id].apply(entry)
    return dict(times_by_job)


def format_queue(queue: str, jobs: list[JobTimes]) -> str:
    """Returns one line of text with the mean times of a queue's jobs."""
    finished = [job for job in jobs if job.duration_s is not None]
    text = f"{queue}: {len(jobs)} jobs, {len(finished)} ended"
    if not finished:
        return text
    durations = [job.duration_s for job in finished]
    text += f", {statistics.median(durations):.2f} s median, means:"
    rest_s = statistics.fmean(durations)
    text += f" total {rest_s:.2f}"
    for cause in CAUSES:
        mean_s = statistics.fmean(job.wait_s_by_cause[cause] for job in finished)
        rest_s -= mean_s
        text += f", {cause} {mean_s:.2f}"
    ends = sum((job.run_count_by_end for job in jobs), Counter())
    stalled_count = sum(job.stalled_count for job in jobs)
    return (
        f"{text}, rest {rest_s:.2f}; runs: {_format_ends(ends)}, moved {stalled_count}"
    )


def _format_ends(run_count_by_end: Counter) -> str:
    ends = " ".join(f"{how} {count}" for how, count in run_count_by_end.most_common())
    return ends or "not logged"


def format_job(job_id: str, job: JobTimes) -> str:
    """Returns one line of text with the times of a job."""
    waits = " ".join(
        f"{cause} {job.wait_s_by_cause[cause]:.2f}"
        for cause in CAUSES
        if job.wait_s_by_cause[cause] >= 0.005
    )
    duration = "not ended" if job.duration_s is None else f"{job.duration_s:.2f} s"
    return (
        f"{job_id} of {job.queue}: {duration} {job.state}; waits: {waits or 'none'}; "
        f"runs: {_format_ends(job.run_count_by_end)}, moved {job.stalled_count}"
    )


def main(argv: list[str]) -> int:
    """Prints the times of the jobs in the logs; returns the exit code."""
    try:
        options = docopt(__doc__, ["waits", *argv])
        listed_count = int(options["--jobs"])
    except (DocoptExit, ValueError) as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    logged = read_log_files(options["FILE"])
    if logged is None:
        return ExitCode.USAGE
    times_by_job = collect_job_times(logged)
    jobs_by_queue: dict[str, list[JobTimes]] = defaultdict(list)
    for job in times_by_job.values():
        jobs_by_queue[job.queue or "(submission not logged)"].append(job)
    for queue, jobs in sorted(jobs_by_queue.items()):
        print(escape_unprintable(format_queue(queue, jobs)))
    longest = sorted(
        times_by_job.items(), key=lambda item: -item[1].wait_s_by_cause.total()
    )
    for job_id, job in longest[:listed_count]:
        print(escape_unprintable(format_job(job_id, job)))
    return ExitCode.DONE if times_by_job else ExitCode.NOT_FOUND
