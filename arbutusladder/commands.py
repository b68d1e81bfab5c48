"""Commands of operators and callers; the docopt texts are in usage.yaml."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import msgspec

from arbutusladder import client as clients
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
from arbutusladder.differences import difference
from arbutusladder.errors import RequestFailed
from arbutusladder.messages import Header
from arbutusladder.operatormessages import JobOrder, JobView, PartAnswer
from arbutusladder.render import escape_unprintable, format_json
from arbutusladder.states import JobState, Outcome

POLL_INTERVAL_S = 0.5


async def _each(
    context: CommandContext, names: list[str], call: Callable[[str], Awaitable[Any]]
) -> tuple[list[Any], ExitCode]:
    """Calls for each name, reports each failure, and returns all results."""
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
    errors += configchecks.settings_conflicts(loaded)
    settings = min(loaded.values(), key=_longest_request, default=None)
    found = 0
    if context["PATH"]:
        try:
            whole = not context["--partial"]
            merged = config.load_declarations(context["PATH"], whole, settings)
            found = sum(
                len(getattr(merged, name)) for name in configchecks.KINDS.values()
            )
        except ExceptionGroup as group:
            errors += group.exceptions
    config.raise_errors(errors)
    value = {"valid": True, "settings": len(loaded), "objects": found}
    context.print_result(value, f"valid: {len(loaded)} settings files, {found} objects")
    return ExitCode.DONE


def _longest_request(settings: config.Settings) -> float:
    return settings.timing.max_request_time_s


async def diff(context: CommandContext) -> ExitCode:
    """Compares files with the current configuration."""
    wanted = config.load_declarations(context["PATH"])
    current = await context.client().config()
    found = difference(current.declarations, wanted, context["--prune"])
    lines = [f"base revision {current.revision} by {current.author or 'nobody'}"]
    lines += found.lines or ["no differences"]
    lines += [f"  only in the cell, stays: {entry}" for entry in found.kept]
    value = {
        "base_revision": current.revision,
        "author": current.author,
        "lines": found.lines,
        "kept": found.kept,
        "changes": found.changes,
    }
    context.print_result(value, "\n".join(map(escape_unprintable, lines)))
    return ExitCode.DONE


async def publish(context: CommandContext) -> ExitCode:
    """Publishes the difference between files and the current configuration."""
    wanted = config.load_declarations(context["PATH"])
    base = context.integer_option("--base", 0) if context["--base"] else None
    author, client = context.author(), context.client()
    current = await client.config()
    found = difference(current.declarations, wanted, context["--prune"])
    if not found.lines:
        value = {"state": "unchanged", "revision": current.revision}
        context.print_result(value, f"no differences from revision {current.revision}")
        return ExitCode.DONE
    if not context.json:
        print("\n".join(map(escape_unprintable, found.lines)))
    change_id = clients.new_uuid7(Clock())
    base = current.revision if base is None else base
    result = await client.publish(change_id, base, author, found.changes)
    context.print_result(result, f"revision {result.revision} is accepted")
    return ExitCode.DONE


async def preset(context: CommandContext) -> ExitCode:
    """Lists, shows or chooses presets."""
    client = context.client()
    if context["list"]:
        presets = await client.presets()
        context.print_result(presets, render.presets(presets))
        return ExitCode.DONE
    name = context["NAME"]
    current = await client.config()
    presets = {item.name: item for item in current.declarations.presets}
    if name not in presets:
        known = ", ".join(sorted(presets)) or "none"
        print(
            escape_unprintable(f"error: no preset {name!r}; known: {known}"),
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    active = current.declarations.active_preset
    if context["show"]:
        value = {"active": name == active} | msgspec.to_builtins(presets[name])
        context.print_result(value, render.pairs(value))
        return ExitCode.DONE
    return await _choose(context, client, name, current.revision, name == active)


async def _choose(
    context: CommandContext, client: EntryClient, name: str, revision: int, active: bool
) -> ExitCode:
    base = context.integer_option("--base", 0) if context["--base"] else revision
    if active and base == revision:
        value = {"state": "unchanged", "revision": revision}
        context.print_result(value, f"{name} is active already in revision {revision}")
        return ExitCode.DONE
    change_id = clients.new_uuid7(Clock())
    result = await client.choose_preset(change_id, base, context.author(), name)
    context.print_result(result, f"{name} is active in revision {result.revision}")
    return ExitCode.DONE


async def submit(context: CommandContext) -> ExitCode:
    """Submits a job."""
    job_id = context["--job-id"] or clients.new_uuid7(Clock())
    tasks = context.integer_option("--tasks", 1)
    limit = context.seconds("--limit")
    client = context.client()
    try:
        parts = await client.submit(JobOrder(context["WORKLOAD"], tasks, job_id))
    except RequestFailed as error:
        if error.outcome is Outcome.UNKNOWN:
            print(f"the job id was {job_id}; see its status", file=sys.stderr)
        raise
    context.rows(render.PART_COLUMNS, parts)
    codes = [_part_code(part) for part in parts]
    if context["--wait"]:
        accepted = [part.job_id for part in parts if part.outcome is Outcome.DONE]
        codes.append(await _wait_for(context, client, accepted, limit))
    return worst_exit_code(codes)


def _part_code(part: PartAnswer) -> ExitCode:
    return {
        Outcome.DONE: ExitCode.DONE,
        Outcome.NOT_RUN: ExitCode.REFUSED,
        Outcome.UNKNOWN: ExitCode.UNKNOWN,
    }[part.outcome]


async def status(context: CommandContext) -> ExitCode:
    """Shows the state of jobs."""
    views, code = await _each(context, context["JOB"], context.client().job)
    context.rows(render.JOB_COLUMNS, views)
    return code


async def cancel(context: CommandContext) -> ExitCode:
    """Cancels jobs."""
    views, code = await _each(context, context["JOB"], context.client().cancel)
    context.rows(render.JOB_COLUMNS, views)
    return code


async def wait(context: CommandContext) -> ExitCode:
    """Waits until jobs ended."""
    limit = context.seconds("--limit")
    return await _wait_for(context, context.client(), context["JOB"], limit)


ENDED_CODES = {
    JobState.FINISHED: ExitCode.DONE,
    JobState.FAILED: ExitCode.REFUSED,
    JobState.CANCELLED: ExitCode.REFUSED,
    JobState.REFUSED: ExitCode.REFUSED,
}


async def _wait_for(
    context: CommandContext, client: EntryClient, jobs: list[str], limit: float
) -> ExitCode:
    clock = Clock()
    until = clock.now() + limit
    ended: list[JobView] = []
    codes = [
        await _wait_for_one(context, client, job, until, ended)
        for job in dict.fromkeys(jobs)
    ]
    context.rows(render.JOB_COLUMNS, ended)
    return worst_exit_code(codes)


async def _wait_for_one(
    context: CommandContext,
    client: EntryClient,
    job: str,
    until: float,
    ended: list[JobView],
) -> ExitCode:
    """Polls a job; an entry VM that fails meanwhile does not end the wait."""
    seen, failure = False, None
    while True:
        try:
            view = await client.job(job)
            seen, failure = True, None
            if view.state in ENDED_CODES:
                ended.append(view)
                return ENDED_CODES[view.state]
        except RequestFailed as error:
            failure = error
            if isinstance(error, RequestRefused) and error.status == 404:
                # An ended job is forgotten after a while.
                code = report(error, context.json)
                return ExitCode.UNKNOWN if seen else code
        if Clock().now() >= until:
            if failure and not seen:
                return report(failure, context.json)
            text = f"job {job} has not ended within the limit; wait again"
            print(escape_unprintable(text), file=sys.stderr)
            return ExitCode.UNKNOWN
        await curio.sleep(POLL_INTERVAL_S)


async def request(context: CommandContext) -> ExitCode:
    """Sends a request to a service and prints the answer."""
    body = _request_body(context)
    key = context["--key"] or (
        clients.new_uuid7(Clock()) if context["--new-key"] else ""
    )
    method = context["--method"] or ("GET" if body is None else "POST")
    answer = await context.client().request(
        context["SERVICE"],
        method,
        context["PATH"],
        body or b"",
        [_header(text) for text in context["--header"]],
        key,
        context["--workload"] or "",
    )
    if context.json:
        print(format_json(render.service_answer(answer)))
    elif answer.outcome is Outcome.DONE:
        print(f"status {answer.status}", file=sys.stderr)
        sys.stdout.flush()
        sys.stdout.buffer.write(answer.body)
        sys.stdout.buffer.flush()
    if answer.outcome is Outcome.DONE:
        return ExitCode.DONE
    if key:
        print(f"the idempotency key was {key}", file=sys.stderr)
    refusal = answer.refusal
    if refusal.reason == "connect_failed" and not answer.status:
        report(RequestFailed(refusal.outcome, refusal.reason, refusal.remedy))
        return ExitCode.UNREACHABLE
    return report(RequestRefused(refusal, answer.status))


def _request_body(context: CommandContext) -> bytes | None:
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


def _header(text: str) -> Header:
    name, colon, value = text.partition(":")
    if not colon or not name.strip() or not text.isascii() or not text.isprintable():
        raise UsageError(f"--header {text!r}: write 'Name: value' in ASCII")
    return Header(name.strip(), value.strip())


async def explain(context: CommandContext) -> ExitCode:
    """Explains the state of a job."""
    found = await context.client().explain(context["JOB"])
    context.print_result(found, render.explanation(found))
    return ExitCode.DONE


async def drain(context: CommandContext) -> ExitCode:
    """Starts the drain of endpoints."""
    return await _set_drain(context, True)


async def undrain(context: CommandContext) -> ExitCode:
    """Ends the drain of endpoints."""
    return await _set_drain(context, False)


async def _set_drain(context: CommandContext, draining: bool) -> ExitCode:
    client = context.client()
    views, code = await _each(
        context, context["VM"], lambda vm: client.drain(vm, draining)
    )
    context.rows(render.DRAIN_COLUMNS, views)
    return code


async def members(context: CommandContext) -> ExitCode:
    """Shows the seats of the region."""
    context.rows(render.MEMBER_COLUMNS, await context.client().members())
    return ExitCode.DONE


async def shards(context: CommandContext) -> ExitCode:
    """Shows the shards of the region."""
    context.rows(render.SHARD_COLUMNS, await context.client().shards())
    return ExitCode.DONE


async def owners(context: CommandContext) -> ExitCode:
    """Shows the owner of each shard."""
    context.rows(render.OWNER_COLUMNS, await context.client().shards())
    return ExitCode.DONE


async def counters(context: CommandContext) -> ExitCode:
    """Shows the counters of each named entry VM."""
    timeout = context.seconds("--timeout")
    found, code = await _each(
        context,
        context.addresses(),
        lambda address: EntryClient([address], timeout).counters(),
    )
    context.print_result(found, render.counters(found, bool(context["--all"])))
    return ExitCode.DONE if found else code


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
