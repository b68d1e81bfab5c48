"""Shows where a job would be placed now, and why, without sending it.

Usage:
  arbutusladder platform-preview [--team=NAME] [--json] [--timeout=SECONDS] --entry=ADDRESS (--queue=NAME | --route=ROUTE) FILE

Options:
  --entry=ADDRESS    IP address and metrics port of an entry VM, such as
                     10.1.0.13:9464.
  --queue=NAME       Name of the queue.
  --route=ROUTE      Host and path under which clients reach it, such as
                     jobs.example/quotes/.
  --team=NAME        Team of the caller.
  --timeout=SECONDS  Timeout of the question. [default: 5]
  --json             Prints JSON.

FILE is the JSON body of a submission as clients send it; - is standard input. Nothing
is stored, started, charged or reserved.
"""  # noqa: E501

import sys
from pathlib import Path

import curio
import msgspec
from docopt import DocoptExit, docopt

from arbutusladder.cell.preview.answer import Preview, StepPreview
from arbutusladder.cell.teamusage.caps import format_amount
from arbutusladder.cmdcontext import CommandContext, ExitCode, UsageError, report
from arbutusladder.configchecks import check_address
from arbutusladder.errors import ArbutusladderError, HttpError, ProtocolError
from arbutusladder.httpclient import HttpResponse, request
from arbutusladder.ids import TeamName
from arbutusladder.platform.previewpage import PREVIEW_PATH, PreviewQuestion
from arbutusladder.platform.workers import JSON_HEADER
from arbutusladder.render import (
    Column,
    escape_unprintable,
    format_json,
    format_pairs,
    format_table,
)

# Workers that a line of the table names; `--json` prints all.
MAX_WORKERS_SHOWN = 12


def format_preview(preview: Preview) -> str:
    """Returns a preview as text: the job's terms, then a table of its steps."""
    queue, team = preview.queue, preview.team
    pairs = {
        "decided by": preview.owner,
        "queue": f"{queue.name}, priority {queue.priority}, service {queue.service}",
        "objective": f"{queue.stretch:g} times the critical path, plus "
        f"{queue.objective_s:g} s; at most {queue.max_attempts} attempts",
    }
    if team:
        pairs |= {
            "team": f"{team.name}, weight {team.weight:g}",
            "charged": f"{format_amount(team.charged)} of "
            f"{format_amount(team.cap, 'no limit')}",
            "share": f"{team.share:.3f} by weight, "
            + ("over its fair share" if team.over_share else "within its fair share"),
        }
    wait = f"first tasks expected in {preview.start_wait_s:g} s"
    pairs |= {
        "forecast": wait if preview.start_wait_s else "no wait worth listing",
        "admission": preview.refusal or "accepted",
        "waiting steps": preview.waiting_steps,
    }
    if preview.unreported_workers:
        pairs["workers without a report"] = preview.unreported_workers
    if preview.starts_paused:
        pairs["paused"] = "the owner starts nothing now; see its lines 223 and 225"
    remedies = [
        f"step {step.step}: {escape_unprintable(step.remedy)}"
        for step in preview.steps
        if step.remedy
    ]
    table = format_table(STEP_COLUMNS, preview.steps)
    return "\n".join([format_pairs(pairs), "", table, *remedies])


def _placement(step: StepPreview) -> str:
    vms = [start.vm for start in step.starts]
    if step.named_workers:
        return f"advice among {_shortened(step.named_workers)}"
    return _shortened(vms)


def _shortened(vms: list[str]) -> str:
    counts = {vm: vms.count(vm) for vm in vms}
    names = [f"{vm} x{count}" if count > 1 else vm for vm, count in counts.items()]
    more = len(names) - MAX_WORKERS_SHOWN
    shown = ", ".join(names[:MAX_WORKERS_SHOWN])
    return f"{shown} and {more} more" if more > 0 else shown


STEP_COLUMNS = [
    Column("STEP", "step"),
    Column("TASKS", "tasks"),
    Column("GANG", "gang"),
    Column("NEED OF A TASK", lambda step: format_amount(step.need)),
    Column("STARTS", lambda step: len(step.starts)),
    Column("WORKERS", _placement),
    Column("REST WAITS FOR", "cause"),
]


class PreviewRefused(ArbutusladderError):
    """An entry VM has refused a question."""


def main(argv: list[str]) -> int:
    """Asks an entry VM and prints its answer; returns the exit code."""
    try:
        options = docopt(__doc__, ["platform-preview", *argv])
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    context = CommandContext(options)
    try:
        return curio.run(_run, context)
    except ArbutusladderError as error:
        return report(error, context.json)


async def _run(context: CommandContext) -> ExitCode:
    question = _question(context)
    address = context["--entry"]
    problems = list(check_address("", address))
    if problems:
        raise UsageError(f"--entry: {problems[0].text}; {problems[0].remedy}")
    body, timeout = msgspec.json.encode(question), context.seconds_option("--timeout")
    try:
        answer = await request(
            address, "POST", PREVIEW_PATH, body, [JSON_HEADER], timeout
        )
    except HttpError as error:
        report(error, context.json)
        return ExitCode.UNREACHABLE
    if answer.status != 200:
        report(PreviewRefused(_problem(answer)), context.json)
        return ExitCode.NOT_FOUND if answer.status == 404 else ExitCode.REFUSED
    try:
        preview = msgspec.json.decode(answer.body, type=Preview)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"{error}; use the entry VM's version") from error
    print(format_json(preview) if context.json else format_preview(preview))
    return ExitCode.DONE


def _question(context: CommandContext) -> PreviewQuestion:
    """Returns the question that the arguments ask.

    Raises:
        UsageError: The file cannot be read or is no JSON.
    """
    path = context["FILE"]
    try:
        text = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
        msgspec.json.decode(text)
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        raise UsageError(f"{path}: {error}; name a readable JSON file") from error
    host, slash, rest = (context["--route"] or "").partition("/")
    return PreviewQuestion(
        msgspec.Raw(text),
        context["--queue"] or "",
        host,
        slash + rest,
        TeamName(context["--team"] or ""),
    )


def _problem(answer: HttpResponse) -> str:
    try:
        return msgspec.json.decode(answer.body, type=dict[str, str])["error"]
    except (msgspec.MsgspecError, KeyError):
        return f"status {answer.status}; name the metrics port of an entry VM"
