"""Commands for operators and callers; their docopt texts are in usage.yaml.

Each public coroutine function is the command of the same name.
"""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import msgspec

from arbutusladder import client as client_module
from arbutusladder import config, configchecks, render
from arbutusladder.client import EntryClient, RequestRefused
from arbutusladder.clock import Clock
from arbutusladder.cmdcontext import (
    CommandContext,
    ExitCode,
    UsageError,
    report,
    worst_exit_code,
)
from arbutusladder.declarationdiff import compare_declarations
from arbutusladder.errors import RequestFailed
from arbutusladder.messages import Header
from arbutusladder.operatormessages import JobOrder, JobView, PartAnswer
from arbutusladder.render import escape_unprintable, format_json
from arbutusladder.states import JobState, Outcome

# Interval between queries of a job whose end is awaited.
POLL_INTERVAL_S = 0.5


async def _call_for_each(
    context: CommandContext, names: list[str], call: Callable[[str], Awaitable[Any]]
) -> tuple[list[Any], ExitCode]:
    """Calls a function for each distinct name and prints each failure.

    Returns:
        The results of the successful calls, and the most severe exit code of the
        failed ones.
    """
    results, codes = [], []
    for name in dict.fromkeys(names):
        try:
            results.append(await call(name))
        except RequestFailed as error:
            codes.append(report(error, context.json))
    return results, worst_exit_code(codes)


async def validate(context: CommandContext) -> ExitCode:
    """Checks settings and declaration files."""
    errors: list[Exception] = []
    loaded: dict[str, config.Settings] = {}
    for path in context["--settings"]:
        try:
            loaded[path] = config.load_settings(path)
        except ExceptionGroup as group:
            errors += group.exceptions
    errors += configchecks.find_settings_conflicts(loaded)
    settings = min(loaded.values(), key=_get_max_request_time_s, default=None)
    object_count = 0
    if context["PATH"]:
        try:
            is_complete = not context["--partial"]
            merged = config.load_declarations(context["PATH"], is_complete, settings)
            object_count = sum(
                len(getattr(merged, name))
                for name in configchecks.FIELD_BY_KIND.values()
            )
        except ExceptionGroup as group:
            errors += group.exceptions
    config.raise_config_errors(errors)
    value = {"valid": True, "settings": len(loaded), "objects": object_count}
    context.print_result(
        value, f"valid: {len(loaded)} settings files, {object_count} objects"
    )
    return ExitCode.DONE


def _get_max_request_time_s(settings: config.Settings) -> float:
    return settings.timing.max_request_time_s


async def diff(context: CommandContext) -> ExitCode:
    """Compares files with the current configuration."""
    declared = config.load_declarations(context["PATH"])
    current = await context.client().config()
    differences = compare_declarations(
        current.declarations, declared, context["--prune"]
    )
    lines = [f"base revision {current.revision} by {current.author or 'nobody'}"]
    lines += differences.lines or ["no differences"]
    lines += [f"  only in the cell, kept: {entry}" for entry in differences.kept]
    value = {
        "base_revision": current.revision,
        "author": current.author,
        "lines": differences.lines,
        "kept": differences.kept,
        "changes": differences.changes,
    }
    context.print_result(value, "\n".join(map(escape_unprintable, lines)))
    return ExitCode.DONE


async def publish(context: CommandContext) -> ExitCode:
    """Publishes the difference between files and the current configuration."""
    declared = config.load_declarations(context["PATH"])
    base = context.integer_option("--base", 0) if context["--base"] else None
    author, client = context.author(), context.client()
    current = await client.config()
    differences = compare_declarations(
        current.declarations, declared, context["--prune"]
    )
    if not differences.lines:
        value = {"state": "unchanged", "revision": current.revision}
        context.print_result(value, f"no differences from revision {current.revision}")
        return ExitCode.DONE
    if not context.json:
        print("\n".join(map(escape_unprintable, differences.lines)))
    change_id = client_module.new_uuid7(Clock())
    base = current.revision if base is None else base
    result = await client.publish(change_id, base, author, differences.changes)
    context.print_result(result, f"revision {result.revision} is accepted")
    return ExitCode.DONE


async def preset(context: CommandContext) -> ExitCode:
    """Lists the presets, shows one, or activates one."""
    client = context.client()
    if context["list"]:
        available_presets = await client.presets()
        context.print_result(
            available_presets, render.format_presets(available_presets)
        )
        return ExitCode.DONE
    name = context["NAME"]
    current = await client.config()
    available_presets = {item.name: item for item in current.declarations.presets}
    if name not in available_presets:
        known_names = ", ".join(sorted(available_presets)) or "none"
        print(
            escape_unprintable(f"error: unknown preset {name!r}; known: {known_names}"),
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    active = current.declarations.active_preset
    if context["show"]:
        value = {"active": name == active} | msgspec.to_builtins(
            available_presets[name]
        )
        context.print_result(value, render.format_pairs(value))
        return ExitCode.DONE
    return await _choose_preset(context, client, name, current.revision, name == active)


async def _choose_preset(
    context: CommandContext, client: EntryClient, name: str, revision: int, active: bool
) -> ExitCode:
    """Publishes the choice of a preset, unless it is active already."""
    base = context.integer_option("--base", 0) if context["--base"] else revision
    if active and base == revision:
        value = {"state": "unchanged", "revision": revision}
        context.print_result(value, f"{name} is active already in revision {revision}")
        return ExitCode.DONE
    change_id = client_module.new_uuid7(Clock())
    result = await client.choose_preset(change_id, base, context.author(), name)
    context.print_result(result, f"{name} is active in revision {result.revision}")
    return ExitCode.DONE


async def submit(context: CommandContext) -> ExitCode:
    """Submits a job and, if requested, waits until it has ended."""
    job_id = context["--job-id"] or client_module.new_uuid7(Clock())
    tasks = context.integer_option("--tasks", 1)
    limit_s = context.seconds_option("--limit")
    client = context.client()
    try:
        parts = await client.submit(JobOrder(context["WORKLOAD"], tasks, job_id))
    except RequestFailed as error:
        if error.outcome is Outcome.UNKNOWN:
            print(
                f"the job id is {job_id}; query it with the command status",
                file=sys.stderr,
            )
        raise
    context.print_table(render.PART_COLUMNS, parts)
    codes = [_part_exit_code(part) for part in parts]
    if context["--wait"]:
        accepted = [part.job_id for part in parts if part.outcome is Outcome.DONE]
        codes.append(await _wait_for_jobs(context, client, accepted, limit_s))
    return worst_exit_code(codes)


def _part_exit_code(part: PartAnswer) -> ExitCode:
    return {
        Outcome.DONE: ExitCode.DONE,
        Outcome.NOT_RUN: ExitCode.REFUSED,
        Outcome.UNKNOWN: ExitCode.UNKNOWN,
    }[part.outcome]


async def status(context: CommandContext) -> ExitCode:
    """Shows the state of jobs."""
    views, code = await _call_for_each(context, context["JOB"], context.client().job)
    context.print_table(render.JOB_COLUMNS, views)
    return code


async def cancel(context: CommandContext) -> ExitCode:
    """Cancels jobs."""
    views, code = await _call_for_each(context, context["JOB"], context.client().cancel)
    context.print_table(render.JOB_COLUMNS, views)
    return code


async def wait(context: CommandContext) -> ExitCode:
    """Waits until jobs have ended."""
    limit_s = context.seconds_option("--limit")
    return await _wait_for_jobs(context, context.client(), context["JOB"], limit_s)


# Exit code of wait for each state in which a job has ended.
EXIT_CODE_BY_END_STATE = {
    JobState.FINISHED: ExitCode.DONE,
    JobState.FAILED: ExitCode.REFUSED,
    JobState.CANCELLED: ExitCode.REFUSED,
    JobState.REFUSED: ExitCode.REFUSED,
}


async def _wait_for_jobs(
    context: CommandContext, client: EntryClient, jobs: list[str], limit_s: float
) -> ExitCode:
    """Waits at most ``limit_s`` seconds for jobs to end and prints the ended ones."""
    clock = Clock()
    deadline = clock.now() + limit_s
    ended: list[JobView] = []
    codes = [
        await _wait_for_job(context, client, job, deadline, ended)
        for job in dict.fromkeys(jobs)
    ]
    context.print_table(render.JOB_COLUMNS, ended)
    return worst_exit_code(codes)


async def _wait_for_job(
    context: CommandContext,
    client: EntryClient,
    job: str,
    deadline: float,
    ended: list[JobView],
) -> ExitCode:
    """Polls a job until it has ended or the deadline has passed.

    A failed query does not end the wait, unless it shows that the job does not exist.

    Args:
        context: Arguments and output of the command.
        client: Client of the entry VMs.
        job: Id of the job.
        deadline: Monotonic time in seconds.
        ended: The job's last state is appended to it.

    Returns:
        The exit code for the state in which the job ended, or for the failed wait.
    """
    was_found, failure = False, None
    while True:
        try:
            view = await client.job(job)
            was_found, failure = True, None
            if view.state in EXIT_CODE_BY_END_STATE:
                ended.append(view)
                return EXIT_CODE_BY_END_STATE[view.state]
        except RequestFailed as error:
            failure = error
            if isinstance(error, RequestRefused) and error.status == 404:
                # The records of an ended job are removed after a while, so a job that
                # was found before may have ended with any result.
                code = report(error, context.json)
                return ExitCode.UNKNOWN if was_found else code
        if Clock().now() >= deadline:
            if failure and not was_found:
                return report(failure, context.json)
            text = f"job {job} has not ended within the limit; wait again"
            print(escape_unprintable(text), file=sys.stderr)
            return ExitCode.UNKNOWN
        await curio.sleep(POLL_INTERVAL_S)


async def request(context: CommandContext) -> ExitCode:
    """Sends a request to a service and prints the response."""
    body = _read_request_body(context)
    key = context["--key"] or (
        client_module.new_uuid7(Clock()) if context["--new-key"] else ""
    )
    method = context["--method"] or ("GET" if body is None else "POST")
    response = await context.client().request(
        context["SERVICE"],
        method,
        context["PATH"],
        body or b"",
        [_parse_header(text) for text in context["--header"]],
        key,
        context["--workload"] or "",
    )
    if context.json:
        print(format_json(render.service_response_fields(response)))
    elif response.outcome is Outcome.DONE:
        print(f"status {response.status}", file=sys.stderr)
        sys.stdout.flush()
        sys.stdout.buffer.write(response.body)
        sys.stdout.buffer.flush()
    if response.outcome is Outcome.DONE:
        return ExitCode.DONE
    if key:
        print(f"the idempotency key is {key}", file=sys.stderr)
    refusal = response.refusal
    if refusal.reason == "connect_failed" and not response.status:
        report(RequestFailed(refusal.outcome, refusal.reason, refusal.remedy))
        return ExitCode.UNREACHABLE
    return report(RequestRefused(refusal, response.status))


def _read_request_body(context: CommandContext) -> bytes | None:
    """Returns the body from the options, or None if no body is given."""
    if context["--data"] is not None:
        return context["--data"].encode()
    name = context["--data-file"]
    if name is None:
        return None
    try:
        return sys.stdin.buffer.read() if name == "-" else Path(name).read_bytes()
    except OSError as error:
        text = f"--data-file {name!r} cannot be read ({error.strerror}); check the path"
        raise UsageError(text) from error


def _parse_header(text: str) -> Header:
    """Parses a header field of the form 'Name: value'."""
    name, colon, value = text.partition(":")
    if not colon or not name.strip() or not text.isascii() or not text.isprintable():
        raise UsageError(f"--header {text!r}: expected 'Name: value' in ASCII")
    return Header(name.strip(), value.strip())


async def explain(context: CommandContext) -> ExitCode:
    """Explains why a job is in its state."""
    explanation = await context.client().explain(context["JOB"])
    context.print_result(explanation, render.format_explanation(explanation))
    return ExitCode.DONE


async def drain(context: CommandContext) -> ExitCode:
    """Starts to drain endpoints."""
    return await _set_drain(context, True)


async def undrain(context: CommandContext) -> ExitCode:
    """Ends the drain of endpoints."""
    return await _set_drain(context, False)


async def _set_drain(context: CommandContext, draining: bool) -> ExitCode:
    client = context.client()
    views, code = await _call_for_each(
        context, context["VM"], lambda vm: client.drain(vm, draining)
    )
    context.print_table(render.DRAIN_COLUMNS, views)
    return code


async def members(context: CommandContext) -> ExitCode:
    """Shows the seats of the region and their entry VMs."""
    context.print_table(render.MEMBER_COLUMNS, await context.client().members())
    return ExitCode.DONE


async def shards(context: CommandContext) -> ExitCode:
    """Shows the shards of the region with their load."""
    context.print_table(render.SHARD_COLUMNS, await context.client().shards())
    return ExitCode.DONE


async def owners(context: CommandContext) -> ExitCode:
    """Shows the owner of each shard."""
    context.print_table(render.OWNER_COLUMNS, await context.client().shards())
    return ExitCode.DONE


async def counters(context: CommandContext) -> ExitCode:
    """Shows the counters of each named entry VM."""
    timeout = context.seconds_option("--timeout")
    counters_by_vm, code = await _call_for_each(
        context,
        context.addresses(),
        lambda address: EntryClient([address], timeout).counters(),
    )
    context.print_result(
        counters_by_vm, render.format_counters(counters_by_vm, bool(context["--all"]))
    )
    return ExitCode.DONE if counters_by_vm else code


COMMANDS: dict[str, Callable[[CommandContext], Awaitable[ExitCode]]] = {
    command.__name__: command
    for command in (
        validate,
        diff,
        publish,
        preset,
        submit,
        status,
        cancel,
        wait,
        request,
        explain,
        drain,
        undrain,
        members,
        shards,
        owners,
        counters,
    )
}
