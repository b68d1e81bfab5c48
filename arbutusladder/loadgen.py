"""Load generator: open loop, seeded arrivals, outcomes and latencies.

Usage:
  arbutusladder load [--entry ADDRESS]... [--seed NUMBER] [--json] PROFILE

Options:
  --entry ADDRESS   IP address and port of an entry VM; repeat it to use several
                    in turn; default ARBUTUSLADDER_ENTRY.
  --seed NUMBER     Overrides the seed of the profile.
  --json            Prints the report as JSON.

PROFILE is a YAML file, for example examples/suva/load/count-surge.yaml. The exit
code is 1 when a response did not belong to its request, and 3 after an
interruption.
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
from arbutusladder.loadprofile import (
    Arrival,
    Profile,
    Stream,
    check_profile,
    generate_arrivals,
)
from arbutusladder.loadreport import (
    COLUMNS,
    MARKER_PREFIX,
    Report,
    StreamStatistics,
    all_markers_match,
    new_histogram,
    percentiles_ms,
    record_seconds,
)
from arbutusladder.messages import Header
from arbutusladder.operatormessages import JobOrder
from arbutusladder.states import Outcome

# Far below the server's idle timeout of 75 s, so that the server has not closed a
# pooled connection before it is reused.
MAX_IDLE_S = 2.0


class ConnectionPool:
    """Pool of idle connections by address."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: dict[str, list[tuple[HttpConnection, float]]] = {}

    async def acquire(self, address: str, timeout: float) -> HttpConnection:
        """Returns an idle or a new connection to an address."""
        idle_connections = self._idle.setdefault(address, [])
        while idle_connections:
            connection, idle_since = idle_connections.pop()
            if self._clock.now() - idle_since < MAX_IDLE_S:
                return connection
            await connection.close()
        return await HttpConnection.connect(address, timeout)

    async def release(self, connection: HttpConnection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable."""
        if connection.usable:
            pooled_connections = self._idle.setdefault(connection.address, [])
            pooled_connections.append((connection, self._clock.now()))
        else:
            await connection.close()

    async def close(self) -> None:
        """Closes all idle connections."""
        for idle_connections in self._idle.values():
            for connection, _ in idle_connections:
                await connection.close()


class LoadRun:
    """Sends the arrivals of a profile to several entry VMs in turn.

    Args:
        profile: Profile that defines the arrivals.
        addresses: Addresses of the entry VMs.
        clock: Clock for arrival times and latencies.
    """

    def __init__(self, profile: Profile, addresses: list[str], clock: Clock):
        self._profile = profile
        self._addresses = itertools.cycle(addresses)
        self._clock = clock
        self._connections = ConnectionPool(clock)
        self._statistics = [StreamStatistics() for _ in profile.streams]
        self._lateness = new_histogram()
        self._open_requests: set[curio.Task] = set()
        # Distinguishes the markers of this run from those of earlier runs.
        self._run_id = new_uuid7(clock)[:13]
        self._start = clock.now()

    async def run(self) -> Report:
        """Sends all arrivals and waits for their outcomes."""
        self._start = self._clock.now()
        for arrival in generate_arrivals(self._profile):
            due_at = self._start + arrival.offset_s
            await curio.sleep(max(0.0, due_at - self._clock.now()))
            record_seconds(self._lateness, max(0.0, self._clock.now() - due_at))
            await self._start_arrival(arrival, due_at)
        await self._wait_for_outcomes()
        return self.report()

    async def _start_arrival(self, arrival: Arrival, due_at: float) -> None:
        statistics = self._statistics[arrival.stream_index]
        if len(self._open_requests) >= self._profile.max_open:
            statistics.record_outcome("skipped", 0.0)
            return
        self._open_requests.add(
            await curio.spawn(self._send_arrival, arrival, due_at, daemon=True)
        )

    async def _wait_for_outcomes(self) -> None:
        # Connecting and the exchange have a timeout each.
        async with curio.ignore_after(2 * self._profile.timeout_s + 1):
            while self._open_requests:
                await curio.sleep(0.01)
        for task in list(self._open_requests):
            await task.cancel()
        await self._connections.close()

    async def _send_arrival(self, arrival: Arrival, due_at: float) -> None:
        stream = self._profile.streams[arrival.stream_index]
        statistics = self._statistics[arrival.stream_index]
        outcome = Outcome.UNKNOWN.value
        try:
            outcome = await self._exchange(stream, arrival.number, statistics)
        except HttpError as error:
            statistics.reasons[error.reason.value] += 1
            if not error.sent:
                outcome = Outcome.NOT_RUN.value
        finally:
            statistics.record_outcome(outcome, self._clock.now() - due_at)
            self._open_requests.discard(await curio.current_task())

    async def _exchange(
        self, stream: Stream, number: int, statistics: StreamStatistics
    ) -> str:
        marker = f"{MARKER_PREFIX}.{self._run_id}.{stream.name}.{number}.end"
        timeout = self._profile.timeout_s
        method, path, headers, body = self._build_request(stream, marker)
        connection = await self._connections.acquire(next(self._addresses), timeout)
        try:
            response = await connection.exchange(method, path, headers, body, timeout)
        finally:
            await self._connections.release(connection)
        return statistics.record_response(response, marker, stream.echo)

    def _build_request(
        self, stream: Stream, marker: str
    ) -> tuple[str, str, list[Header], bytes]:
        headers = [Header("Content-Type", "application/json")]
        if stream.kind == "job":
            job_order = JobOrder(stream.workload, stream.tasks, marker)
            return "POST", "/v1/jobs", headers, to_json(job_order)
        if stream.key:
            headers.append(Header(KEY_HEADER, new_uuid7(self._clock)))
        if stream.workload:
            headers.append(Header(WORKLOAD_HEADER, stream.workload))
        path = f"/services/{stream.service}/{stream.path.removeprefix('/')}"
        body = to_json({"marker": marker, "fill": "x" * stream.body_bytes})
        return stream.method, path, headers, body

    def report(self) -> Report:
        """Returns the report on the requests that have ended so far."""
        elapsed_s = self._clock.now() - self._start
        streams = [
            statistics.build_report(stream.name, elapsed_s)
            for stream, statistics in zip(
                self._profile.streams, self._statistics, strict=True
            )
        ]
        return Report(
            self._profile.name,
            self._profile.seed,
            round(elapsed_s, 3),
            percentiles_ms(self._lateness),
            streams,
        )


def _run_load(load: LoadRun) -> tuple[Report, cmdcontext.ExitCode]:
    try:
        report = curio.run(load.run)
    except KeyboardInterrupt:
        print(
            "interrupted; the report covers the run up to the interruption",
            file=sys.stderr,
        )
        return load.report(), cmdcontext.ExitCode.UNKNOWN
    markers_match = all_markers_match(report)
    return (
        report,
        cmdcontext.ExitCode.DONE if markers_match else cmdcontext.ExitCode.REFUSED,
    )


def main(argv: list[str]) -> int:
    """Runs a profile and prints its report."""
    try:
        context = cmdcontext.CommandContext(docopt(__doc__, ["load", *argv]))
        profile = config.load_yaml_file(context["PROFILE"], Profile, check_profile)
        if context["--seed"] is not None:
            profile.seed = context.integer_option("--seed", 0)
        load = LoadRun(profile, context.addresses(), Clock())
        report, code = _run_load(load)
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
