"""Daemon of one entry VM on the platform.

Starts the client API, the readiness endpoint and the cell member, and follows the
operator's configuration. It keeps the newest configuration in memory; all lasting
state is in the platform's log.

Usage:
    platform [--metrics=PORT/PATH] [--limits=FILE] [--admission]

Options:
    --metrics=PORT/PATH  Port and path that serve the metrics; none by default. The port
                         also answers operators' questions on the path /preview. Clients
                         must not reach it.
    --limits=FILE        YAML file with the limits of what clients may use, in the
                         format of input_limits in docs/configuration.md.
    --admission          Refuse jobs that would end too late to be worth anything, also
                         if the configuration has no teams. With teams it is always on.
"""

import signal
import sys

import curio
from docopt import docopt

from arbutusladder import events
from arbutusladder.access.configview import ConfigView
from arbutusladder.backgroundtasks import spawn_logged
from arbutusladder.cell.cellsettings import CellSettings
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.cell.member import CellDependencies, Member
from arbutusladder.clock import Clock
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httplimits.limiter import HttpLimiter, load_limits, small_limiter
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.httpserver import HttpRequest, HttpServer
from arbutusladder.ids import VmId
from arbutusladder.journal import Journal, configure
from arbutusladder.logoutput import NonBlockingLogOutput
from arbutusladder.metrics import Metrics
from arbutusladder.metricspage import MetricsPage
from arbutusladder.peers import PeerLimits
from arbutusladder.platform.advice import PlatformAdvisor
from arbutusladder.platform.clientapi import ClientApi
from arbutusladder.platform.configfollower import ConfigFollower
from arbutusladder.platform.jsonbody import memory_bytes
from arbutusladder.platform.previewpage import MAX_QUESTION_BYTES, PreviewPage
from arbutusladder.platform.routes import RoutingTable
from arbutusladder.platform.settings import EntrySettings, load_settings
from arbutusladder.platform.store import PlatformLog
from arbutusladder.platform.workers import (
    REGISTRY_TOPIC,
    PlatformWorkerClient,
    decode_registry_entry,
)
from arbutusladder.settings import InputLimits

# Seconds after SIGTERM during which new connections are still answered: the load
# balancer checks readiness once a second and removes a VM after two failed checks.
BALANCER_NOTICE_S = 3.0
# Seconds of the grace period that remain for closing all tasks.
CLOSE_TIME_S = 1.0
# Longest time in seconds for the release of a claim.
MAX_RELEASE_S = 1.5
STOP_POLL_INTERVAL_S = 0.05
# Exit codes of the process.
EXIT_CODE_STOPPED = 0
EXIT_CODE_TASK_FAILED = 1


class EntryDaemon:
    """Runs the servers and background tasks of one entry VM.

    Args:
        settings: Settings of the entry VM.
        metrics: Port and path that serve the metrics, such as ``9464/metrics``;
            empty for none.
        limits: Limits of what clients may use.
        admission: Whether jobs that would end too late are refused also without teams.
        admission: Whether jobs that would end too late are refused also without teams.

    Attributes:
        exit_code: Exit code of the process after `run`.
    """

    def __init__(
        self,
        settings: EntrySettings,
        metrics: str = "",
        limits: InputLimits | None = None,
        admission: bool = False,
    ):
        limits = limits or InputLimits()
        self._settings = settings
        self._clock = Clock()
        self._journal = Journal(settings.vm)
        self._metrics = Metrics()
        self._view: ConfigView[RoutingTable] = ConfigView(settings.config_apply_s)
        pool = HttpConnectionPool(self._clock)
        self._log = PlatformLog(settings.store, pool, self._metrics)
        dependencies = CellDependencies(
            log=self._log,
            orders=PlatformWorkerClient(pool, self._metrics),
            advisor=PlatformAdvisor(settings.advice, pool),
            decode_worker=decode_registry_entry,
            clock=self._clock,
            journal=self._journal,
            metrics=self._metrics,
            settings=CellSettings(
                REGISTRY_TOPIC,
                settings.max_lease_s,
                settings.finished_retention_s,
                settings.cancellation_limit_s,
                settings.drain_limit_s,
                settings.undersized,
                JobLimits(settings.record_bytes),
                settings.harm_s,
                PeerLimits(limits.message_bytes, limits.entry_vms),
                admission,
            ),
            teams=lambda: self._view.team_limits(self._clock.now_with_suspensions()),
            config_version=lambda: self._view.version,
            on_config_version=lambda version: self._follower.announce(version),
        )
        self._member = Member(VmId(settings.vm), settings.peer, dependencies)
        self._follower = ConfigFollower(
            self._member.log, self._view, self._clock, self._journal, self._metrics
        )
        self._stop_requested = False
        self._reload_requested = False
        client_api = ClientApi(
            self._member,
            self._view,
            self._clock,
            self._journal,
            self._metrics,
        )
        self._client_server = HttpServer(
            settings.front,
            client_api.handle,
            on_error=self._log_request_failure,
            limiter=HttpLimiter(
                limits,
                self._metrics,
                self._journal,
                lambda: self._view.config.limits if self._view.config else None,
                weigh=memory_bytes,
            ),
        )
        self._tasks: list[curio.Task] = []
        self.exit_code = EXIT_CODE_STOPPED
        self._metrics_servers: list[HttpServer] = []
        if metrics:
            port, _, path = metrics.partition("/")
            pages = PreviewPage(
                self._member.previews,
                self._view,
                self._clock,
                MetricsPage(self._metrics, f"/{path}").answer,
            )
            host = settings.peer.rpartition(":")[0]
            self._metrics_servers.append(
                HttpServer(
                    f"{host}:{port}",
                    pages.answer,
                    on_error=self._log_request_failure,
                    limiter=small_limiter(
                        self._metrics, self._journal, MAX_QUESTION_BYTES
                    ),
                )
            )
        self._readiness_server = HttpServer(
            settings.ready,
            self._answer_readiness_check,
            on_error=self._log_request_failure,
            limiter=small_limiter(self._metrics, self._journal),
        )

    def request_stop(self) -> None:
        """Requests a graceful shutdown; safe to call from a signal handler."""
        self._stop_requested = True

    def request_reload(self) -> None:
        """Requests a reload, which is logged and ignored: settings are read once."""
        self._reload_requested = True

    async def run(self) -> None:
        """Serves until a stop is requested, then shuts down gracefully.

        Ends early if a main task fails: the platform then starts the process again,
        while one that lacks a task would go on refusing requests.
        """
        self._journal.write(
            events.ENTRY_STARTED, vm=self._settings.vm, seat=self._settings.vm
        )
        for name, task_function in (
            ("member", self._member.run),
            ("front", self._client_server.run),
            ("ready", self._readiness_server.run),
            ("configuration", self._follower.run),
            ("configuration proof", self._follower.keep_proof),
        ):
            self._tasks.append(await spawn_logged(self._journal, name, task_function))
        for server in self._metrics_servers:
            self._tasks.append(await spawn_logged(self._journal, "metrics", server.run))
        while not self._stop_requested:
            await curio.sleep(STOP_POLL_INTERVAL_S)
            if self._reload_requested:
                self._reload_requested = False
                self._journal.write(events.SETTINGS_NOT_RELOADED)
            if any(task.terminated for task in self._tasks):
                self.exit_code = EXIT_CODE_TASK_FAILED
                break
        else:
            await self._shut_down()
        await self.close()

    async def close(self) -> None:
        """Cancels all tasks, none of which starts another, and closes the member."""
        for task in self._tasks:
            await task.cancel()
        await self._member.close()

    async def _shut_down(self) -> None:
        self._journal.write(events.ENTRY_DRAINING, vm=self._settings.vm)
        self._client_server.closing = True
        drain_deadline = self._clock.now() + self._settings.grace_s - CLOSE_TIME_S
        # The release of a claim takes seconds while the log does not answer; without it
        # another entry VM claims once the claim has timed out.
        async with curio.ignore_after(MAX_RELEASE_S):
            await self._member.stop()
        notice_ends_at = self._clock.now() + BALANCER_NOTICE_S
        while self._clock.now() < drain_deadline and (
            self._client_server.open_requests or self._clock.now() < notice_ends_at
        ):
            await curio.sleep(STOP_POLL_INTERVAL_S)
        self._journal.write(
            events.ENTRY_STOPPED,
            vm=self._settings.vm,
            open_requests=self._client_server.open_requests,
        )

    async def _answer_readiness_check(self, request: HttpRequest) -> HttpResponse:
        healthy = self._member.healthy(self._clock.now())
        serving = self._view.may_serve(self._clock.now_with_suspensions())
        ready = serving and healthy and not self._stop_requested
        return HttpResponse(200 if ready else 503)

    def _log_request_failure(self, error: Exception) -> None:
        self._journal.write(
            events.BACKGROUND_TASK_FAILED, task="request", error=repr(error)
        )


def main() -> None:
    """Runs the daemon until SIGTERM or SIGINT."""
    options = docopt(__doc__)
    configure("info", NonBlockingLogOutput(sys.stdout.fileno()))
    limits = load_limits(options["--limits"]) if options["--limits"] else None
    daemon = EntryDaemon(
        load_settings(), options["--metrics"] or "", limits, options["--admission"]
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: daemon.request_reload())
    curio.run(daemon.run)
    sys.exit(daemon.exit_code)


if __name__ == "__main__":
    main()
