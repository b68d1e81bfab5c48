"""Load tool: open loop, seeded arrivals, outcomes and latencies.

Usage:
  arbutusladder load [--entry ADDRESS]... [--seed NUMBER] [--json] PROFILE

Options:
  --entry ADDRESS   IP address and port of an entry VM; may be given again, then
                    they take turns; default ARBUTUSLADDER_ENTRY.
  --seed NUMBER     Seed instead of the one of the profile.
  --json            Prints JSON.

PROFILE is a YAML file; examples/suva/load/count-surge.yaml is one. The exit code
is 1 when an answer did not belong to its request, and 3 after an interruption.
"""

import itertools
import sys

import curio
from docopt import DocoptExit, docopt

from arbutusladder import cmdcontext, config, render
from arbutusladder.client import new_uuid7
from arbutusladder.clock import Clock
from arbutusladder.codec import to_json
from arbutusladder.errors import ArbutusladderError, HttpError
from arbutusladder.headernames import KEY_HEADER, WORKLOAD_HEADER
from arbutusladder.httpclient import HttpConnection
from arbutusladder.loadprofile import Arrival, Profile, Stream, arrivals, check_profile
from arbutusladder.loadreport import (
    COLUMNS,
    MARKER_PREFIX,
    Report,
    Tally,
    _histogram,
    _percentiles,
    _record,
    is_clean,
)
from arbutusladder.messages import Header
from arbutusladder.operatormessages import JobOrder
from arbutusladder.states import Outcome

# Far below the server's idle limit of 75 s, so that a kept connection is open.
IDLE_LIMIT_S = 2.0


class Connections:
    """Open connections without a request, by address."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: dict[str, list[tuple[HttpConnection, float]]] = {}

    async def take(self, address: str, timeout: float) -> HttpConnection:
        """Returns a kept or a new connection."""
        idle = self._idle.setdefault(address, [])
        while idle:
            connection, since = idle.pop()
            if self._clock.now() - since < IDLE_LIMIT_S:
                return connection
            await connection.close()
        return await HttpConnection.connect(address, timeout)

    async def give(self, connection: HttpConnection) -> None:
        """Keeps a connection for the next request, or closes it."""
        if connection.usable:
            kept = self._idle.setdefault(connection.address, [])
            kept.append((connection, self._clock.now()))
        else:
            await connection.close()

    async def close(self) -> None:
        """Closes all kept connections."""
        for idle in self._idle.values():
            for connection, _ in idle:
                await connection.close()


class LoadRun:
    """Sends the arrivals of a profile to entry VMs that take turns.

    Args:
        profile: What to send.
        addresses: Addresses of the entry VMs.
        clock: Clock of the run.
    """

    def __init__(self, profile: Profile, addresses: list[str], clock: Clock):
        self._profile = profile
        self._addresses = itertools.cycle(addresses)
        self._clock = clock
        self._connections = Connections(clock)
        self._tallies = [Tally() for _ in profile.streams]
        self._lateness = _histogram()
        self._tasks: set[curio.Task] = set()
        # Keeps the markers of one run apart from those of an earlier one.
        self._run = new_uuid7(clock)[:13]
        self._start = clock.now()

    async def run(self) -> Report:
        """Sends all arrivals and waits for their outcomes."""
        self._start = self._clock.now()
        for arrival in arrivals(self._profile):
            due = self._start + arrival.at
            await curio.sleep(max(0.0, due - self._clock.now()))
            _record(self._lateness, max(0.0, self._clock.now() - due))
            await self._begin(arrival, due)
        await self._finish()
        return self.report()

    async def _begin(self, arrival: Arrival, due: float) -> None:
        tally = self._tallies[arrival.stream]
        if len(self._tasks) >= self._profile.max_open:
            tally.end("skipped", 0.0)
            return
        self._tasks.add(await curio.spawn(self._one, arrival, due, daemon=True))

    async def _finish(self) -> None:
        # Opening the connection and the exchange have a timeout each.
        async with curio.ignore_after(2 * self._profile.timeout_s + 1):
            while self._tasks:
                await curio.sleep(0.01)
        for task in list(self._tasks):
            await task.cancel()
        await self._connections.close()

    async def _one(self, arrival: Arrival, due: float) -> None:
        stream = self._profile.streams[arrival.stream]
        tally = self._tallies[arrival.stream]
        outcome = Outcome.UNKNOWN.value
        try:
            outcome = await self._exchange(stream, arrival.number, tally)
        except HttpError as error:
            tally.reasons[error.reason.value] += 1
            if not error.sent:
                outcome = Outcome.NOT_RUN.value
        finally:
            tally.end(outcome, self._clock.now() - due)
            self._tasks.discard(await curio.current_task())

    async def _exchange(self, stream: Stream, number: int, tally: Tally) -> str:
        marker = f"{MARKER_PREFIX}.{self._run}.{stream.name}.{number}.end"
        timeout = self._profile.timeout_s
        method, path, headers, body = self._request(stream, marker)
        connection = await self._connections.take(next(self._addresses), timeout)
        try:
            answer = await connection.exchange(method, path, headers, body, timeout)
        finally:
            await self._connections.give(connection)
        return tally.answer(answer, marker, stream.echo)

    def _request(
        self, stream: Stream, marker: str
    ) -> tuple[str, str, list[Header], bytes]:
        headers = [Header("Content-Type", "application/json")]
        if stream.kind == "job":
            order = JobOrder(stream.workload, stream.tasks, marker)
            return "POST", "/v1/jobs", headers, to_json(order)
        if stream.key:
            headers.append(Header(KEY_HEADER, new_uuid7(self._clock)))
        if stream.workload:
            headers.append(Header(WORKLOAD_HEADER, stream.workload))
        path = f"/services/{stream.service}/{stream.path.removeprefix('/')}"
        body = to_json({"marker": marker, "fill": "x" * stream.body_bytes})
        return stream.method, path, headers, body

    def report(self) -> Report:
        """Returns the result so far."""
        seconds = self._clock.now() - self._start
        streams = [
            tally.report(stream.name, seconds)
            for stream, tally in zip(self._profile.streams, self._tallies, strict=True)
        ]
        return Report(
            self._profile.name,
            self._profile.seed,
            round(seconds, 3),
            _percentiles(self._lateness),
            streams,
        )


def _run(load: LoadRun) -> tuple[Report, cmdcontext.ExitCode]:
    try:
        report = curio.run(load.run)
    except KeyboardInterrupt:
        print("interrupted; the report covers the part so far", file=sys.stderr)
        return load.report(), cmdcontext.ExitCode.UNKNOWN
    clean = is_clean(report)
    return report, cmdcontext.ExitCode.DONE if clean else cmdcontext.ExitCode.REFUSED


def main(argv: list[str]) -> int:
    """Runs a profile and prints its report."""
    try:
        context = cmdcontext.CommandContext(docopt(__doc__, ["load", *argv]))
        profile = config.load_yaml_file(context["PROFILE"], Profile, check_profile)
        if context["--seed"] is not None:
            profile.seed = context.integer_option("--seed", 0)
        load = LoadRun(profile, context.addresses(), Clock())
        report, code = _run(load)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return cmdcontext.ExitCode.USAGE
    except (ArbutusladderError, ExceptionGroup) as error:
        return cmdcontext.report(error, "--json" in argv)
    lateness = render.format_value(report.lateness_ms)
    text = f"{report.profile}, seed {report.seed}, {report.seconds} s\n"
    text += f"sent late by ms: {lateness}\n" + render.format_table(
        COLUMNS, report.streams
    )
    context.print_result(report, text)
    return code
