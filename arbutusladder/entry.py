"""Daemon of an entry VM: builds its components, runs them and shuts them down.

`EntryVm` owns every component of the process: the HTTP server, the transport to the
other entry VMs, the coordinator, the shards and the readers of the log and VM list.

Usage:
    entry --settings=FILE

Options:
    --settings=FILE    Settings of this entry VM in YAML.
"""

import signal
import sys
import uuid
from collections.abc import Awaitable, Callable

import curio
from docopt import docopt

from arbutusladder import config, events, journal
from arbutusladder.appender import Appender
from arbutusladder.backgroundtasks import log_failure
from arbutusladder.clock import Clock
from arbutusladder.configstore import ConfigState
from arbutusladder.coordinator import (
    Coordinator,
    LogState,
    ReleaseShards,
    SetActive,
    StartDrain,
)
from arbutusladder.feeds import ConfigFeed, JobFeed
from arbutusladder.gateway import (
    MAX_HEARTBEAT_AGE_S,
    SERVICE_PREFIX,
    Gateway,
    not_run_response,
)
from arbutusladder.httpclient import HttpResponse
from arbutusladder.httplimits.limiter import native_limiter
from arbutusladder.httpserver import HttpRequest, HttpServer
from arbutusladder.ids import RequestId
from arbutusladder.journal import Journal
from arbutusladder.logclient import (
    STREAM_CONFIG,
    STREAM_JOBS,
    STREAM_OWNERSHIP,
    LogClient,
)
from arbutusladder.messages import (
    ConfigOffer,
    FetchConfig,
    JobMoved,
    ShardFence,
)
from arbutusladder.metrics import Metrics
from arbutusladder.operations import Operations
from arbutusladder.operatorapi import OperatorApi, make_refusal_response
from arbutusladder.operatormessages import Readiness, Refusal
from arbutusladder.peerservice import PeerService
from arbutusladder.platformfeeds import PlatformFeeds
from arbutusladder.reasons import remedy
from arbutusladder.settings import Settings
from arbutusladder.shardhost import ShardHost
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import EntryState, Outcome, Reason
from arbutusladder.vmlist import (
    VmListView,
    domains_by_shard,
)

CONDITION_POLL_INTERVAL_S = 0.05
# Interval between checks of the log, the configuration, the state and the seats.
STATE_CHECK_INTERVAL_S = 0.25
# Longest wait for a peer to send its configuration.
CONFIG_FETCH_TIMEOUT_S = 1.0
# Time since the last confirmation of the configuration after which callers' requests
# are refused.
MAX_CONFIG_AGE_S = 16.0
# Longest wait, at shutdown, for the handover of all shards.
HANDOVER_TIMEOUT_S = 3.0
MICROSECONDS_PER_SECOND = 1_000_000


class EntryVm:
    """All components of one entry VM and its life cycle.

    Args:
        settings: Validated settings.
        clock: Clock of this process.

    Attributes:
        settings: Validated settings.
        metrics: Counters and gauges of this process.
        coordinator: Membership, promises and ownership of shards.
        address: IP address and port of the HTTP server.
        failed: Whether a main task has failed.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self._clock = clock = clock or Clock()
        self.metrics = Metrics(settings.statsd)
        self._journal = Journal(settings.vm)
        self._log = LogClient(settings.log, metrics=self.metrics)
        self._appender_by_stream = {
            stream: Appender(self._log, stream, clock)
            for stream in (STREAM_CONFIG, STREAM_OWNERSHIP, STREAM_JOBS)
        }
        self._domain_by_shard = domains_by_shard(
            (s.failure_domain for s in settings.seats if s.region == settings.region),
            settings.shards.per_domain,
        )
        self._vms = VmListView(settings.region, settings.shards.per_domain)
        self._config = ConfigFeed(self._apply_config, self.metrics, self._journal)
        self._jobs = JobFeed(
            self._handle_job_submitted,
            self._handle_job_moved,
            self._forward_fence,
            self.metrics,
        )
        self._peer_service = PeerService(
            settings, self._config, clock, self.metrics, self._log_failure
        )
        self._peers = self._peer_service.peers
        view = ShardOwnerView(self._domain_by_shard, settings.timing.promise_duration_s)
        self.coordinator = Coordinator(
            settings,
            int(clock.wall_time() * MICROSECONDS_PER_SECOND),
            self._domain_by_shard,
            self._peers,
            self._appender_by_stream[STREAM_OWNERSHIP],
            view,
            clock,
            self.metrics,
            self._journal,
        )
        self._host = ShardHost(
            settings,
            len(self._domain_by_shard),
            self._peers,
            self.coordinator.inbox,
            self._appender_by_stream[STREAM_JOBS],
            self._jobs.store,
            self._vms,
            view,
            self._current_config,
            clock,
            self.metrics,
            self._journal,
        )
        self.coordinator.host = self._host
        self._peer_service.host = self._host
        self._peer_service.inbox = self.coordinator.inbox
        self.coordinator.revision = lambda: self._config.store.revision
        self._gateway = Gateway(
            settings,
            view,
            self._current_config,
            self._peer_service.call,
            clock,
            self.metrics,
            self.coordinator.incarnation,
        )
        self._operations = Operations(
            settings,
            self.coordinator,
            view,
            self._config,
            self._jobs.store,
            self._vms,
            self._appender_by_stream[STREAM_CONFIG],
            self._peer_service.call,
            self.readiness,
            clock,
            self.metrics,
            self.coordinator.incarnation,
        )
        self._operator_api = OperatorApi(
            self._operations, self.metrics.count_refusal, settings
        )
        self._server = HttpServer(
            settings.listen,
            self._handle_request,
            on_error=self._record_handler_failure,
            limiter=native_limiter(settings, self.metrics, self._journal),
        )
        self.address = self._server.address
        self._platform_feeds = PlatformFeeds(
            settings,
            self._log,
            self._appender_by_stream,
            self._config,
            self._jobs,
            self.coordinator,
            self._host,
            self._vms,
            min(self._domain_by_shard),
            clock,
            self.metrics,
            self._journal,
        )
        self._tailers = self._platform_feeds.tailers
        self._stop_requested = curio.UniversalEvent()
        self._stop_request_count = 0
        self._config_confirmed_at = float("-inf")
        self.failed = False

    # Startup and shutdown

    async def run(self) -> None:
        """Serves requests until a stop is requested, then shuts down gracefully."""
        self._journal.write(
            events.ENTRY_STARTED, vm=self.settings.vm, seat=self.settings.seat
        )
        main_tasks = {
            "server": self._server.run,
            "peers": self._peers.run,
            "coordinator": self.coordinator.run,
            "vm list": self._platform_feeds.poll_vm_list,
            "watch": self._monitor_state,
            "job moves": self._host.move_jobs,
            "snapshots": self._platform_feeds.append_snapshots,
            "shutdown": self._shut_down,
        }
        for tailer in self._tailers:
            main_tasks[f"tailer of {tailer.stream}"] = tailer.run
        for stream, appender in self._appender_by_stream.items():
            main_tasks[f"appender of {stream}"] = appender.run
        async with curio.TaskGroup(wait=any) as task_group:
            for name, main_task in main_tasks.items():
                await task_group.spawn(self._run_main_task, name, main_task)

    async def _run_main_task(
        self, name: str, main_task: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs one of the main tasks; the process exits when any of them ends.

        A process that lacks one of them would keep its shards without serving them,
        while a process that exits is replaced.
        """
        try:
            await main_task()
        except Exception as error:
            self._log_failure(name, error)
            self.failed = True

    def _record_handler_failure(self, error: Exception) -> None:
        self.metrics.count("http.handler_failures")
        self._log_failure("HTTP handler", error)

    def _log_failure(self, name: str, error: Exception) -> None:
        log_failure(self._journal, name, error)

    def request_stop(self) -> None:
        """Starts a graceful shutdown; a second call skips the load balancer notice."""
        self._stop_request_count += 1
        self._stop_requested.set()

    async def _shut_down(self) -> None:
        """Waits for a stop request, then drains this entry VM and closes it.

        The order is: hand over the shards, wait until the load balancer has noticed,
        wait for open requests, stop the shards, release the promises.
        """
        await self._stop_requested.wait()
        timing = self.settings.timing
        self._journal.write(events.ENTRY_DRAINING, vm=self.settings.vm)
        self.coordinator.state = EntryState.DRAINING
        started = self._clock.now()
        await self.coordinator.inbox.put(StartDrain())
        await self._wait_until(
            lambda: not self._host.serving_shards(), HANDOVER_TIMEOUT_S
        )
        notice = timing.balancer_notice_s - (self._clock.now() - started)
        await self._wait_until(lambda: self._stop_request_count > 1, notice)
        self._server.closing = True
        await self._wait_until(
            lambda: not self._server.open_requests and not self._host.open_requests,
            timing.drain_limit_s,
        )
        # Promises are released only after nothing can be sent to an endpoint any more.
        async with curio.ignore_after(timing.drain_limit_s):
            await self._host.stop()
        released = curio.Event()
        await self.coordinator.inbox.put(ReleaseShards(released))
        await released.wait()
        self._journal.write(
            events.ENTRY_STOPPED,
            vm=self.settings.vm,
            open_requests=self._server.open_requests,
        )
        await self._server.stop()
        await self._log.close()

    async def _wait_until(self, condition, timeout_s: float) -> None:
        """Waits until a condition is true, at most for a timeout."""
        give_up_at = self._clock.now() + timeout_s
        while not condition() and self._clock.now() < give_up_at:
            await curio.sleep(CONDITION_POLL_INTERVAL_S)

    # Requests of callers and operators

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        """Handles an HTTP request; an exception becomes an unknown outcome."""
        try:
            return await self._dispatch_request(request)
        except Exception as error:
            self._record_handler_failure(error)
            reason = Reason.INTERNAL_ERROR
            return make_refusal_response(
                Refusal(Outcome.UNKNOWN, reason.value, remedy(reason.value))
            )

    async def _dispatch_request(self, request: HttpRequest) -> HttpResponse:
        """Passes a request to the operators' interface or to the gateway."""
        if OperatorApi.handles_path(request.path):
            return await self._operator_api.handle(request)
        if not request.path.startswith(SERVICE_PREFIX):
            return not_run_response(Reason.MALFORMED_REQUEST)
        blocking_reason = self._blocking_reason()
        if blocking_reason:
            self.metrics.count_refusal(blocking_reason)
            return not_run_response(blocking_reason, 1000)
        return await self._gateway.handle(request)

    def readiness(self) -> Readiness:
        """Returns whether the load balancer may send requests to this entry VM."""
        state = self.coordinator.state
        blocking_reason = self._blocking_reason()
        reasons = [blocking_reason.value] if blocking_reason else []
        if state is EntryState.DRAINING:
            reasons.append(Reason.DRAINING.value)
        return Readiness(not reasons, state, self._config.store.revision, reasons)

    def _blocking_reason(self) -> Reason | None:
        """Returns why callers' requests are refused at present, or None."""
        match self.coordinator.state:
            case EntryState.STARTING:
                return Reason.STARTING
            case EntryState.PAUSED:
                return Reason.PAUSED
        now = self._clock.now()
        if self.coordinator.is_pause_unconfirmed(now):
            return Reason.PAUSED
        if now - self._config_confirmed_at > MAX_CONFIG_AGE_S:
            return Reason.CONFIG_UNCONFIRMED
        return None

    # Configuration and readiness

    def _current_config(self) -> ConfigState:
        return self._config.store.state

    async def _apply_config(self, state: ConfigState) -> None:
        self._host.apply_config(state)

    def _handle_job_submitted(self, record) -> None:
        self._host.handle_job_submitted(record)

    def _handle_job_moved(self, record: JobMoved) -> None:
        self._host.handle_job_moved(record)

    async def _forward_fence(self, fence: ShardFence) -> None:
        await self.coordinator.inbox.put(fence)

    async def _monitor_state(self) -> None:
        """Checks the log, the configuration, the state and the seats periodically."""
        log_available = None
        while True:
            available = any(tailer.available for tailer in self._tailers)
            if available != log_available:
                log_available = available
                await self.coordinator.inbox.put(LogState(available))
            await self._confirm_config()
            await self._update_state()
            await self._abandon_silent_seats()
            await curio.sleep(STATE_CHECK_INTERVAL_S)

    async def _abandon_silent_seats(self) -> None:
        """Abandons calls to seats without a recent heartbeat.

        The gateway then sends idempotent requests to other shards.
        """
        now = self._clock.now()
        for member in self.coordinator.membership.member_by_seat.values():
            if now - member.last_heartbeat_at > MAX_HEARTBEAT_AGE_S:
                await self._peers.cancel_calls(member.seat)

    async def _confirm_config(self) -> None:
        """Updates the time at which the configuration was last known to be current.

        It is confirmed by a read of stream ``config`` to its end, or by heartbeats of
        a majority of the region's seats with no newer revision.
        """
        now = self._clock.now()
        membership = self.coordinator.membership
        newest = membership.newest_revision()
        if newest > self._config.store.revision:
            await self._fetch_config(newest)
        caught_up_at = self._tailers[0].caught_up_at
        if caught_up_at is not None:
            self._config_confirmed_at = max(self._config_confirmed_at, caught_up_at)
        live_members = membership.live_members(now)
        if len(live_members) <= len(membership.region_seats) // 2:
            return
        if newest <= self._config.store.revision:
            heartbeat_times = sorted(
                (member.last_heartbeat_at for member in live_members), reverse=True
            )
            majority_heartbeat_at = heartbeat_times[len(membership.region_seats) // 2]
            self._config_confirmed_at = max(
                self._config_confirmed_at, majority_heartbeat_at
            )

    async def _fetch_config(self, newest: int) -> None:
        """Fetches the configuration from a peer that has the newest revision."""
        members = self.coordinator.membership.live_members(self._clock.now())
        for member in members:
            if member.config_revision < newest or member.seat == self.settings.seat:
                continue
            message = FetchConfig(
                RequestId(uuid.uuid4().hex), self._config.store.revision
            )
            offer = await self._peers.call(member.seat, message, CONFIG_FETCH_TIMEOUT_S)
            if isinstance(offer, ConfigOffer) and await self._config.apply_offer(offer):
                return

    async def _update_state(self) -> None:
        """Changes between the states starting, ready and paused.

        After a pause of the process, the configuration must be confirmed again before
        the state is ready.
        """
        coordinator = self.coordinator
        if coordinator.state is EntryState.DRAINING:
            return
        pause_started_at = coordinator.paused_at
        confirmed_at = self._config_confirmed_at
        if pause_started_at is not None and confirmed_at <= pause_started_at:
            if coordinator.state is EntryState.READY:
                coordinator.state = EntryState.PAUSED
                await coordinator.inbox.put(SetActive(False))
            return
        coordinator.paused_at = None
        has_initial_state = (
            confirmed_at > float("-inf") and self._platform_feeds.vm_list_read
        )
        if coordinator.state is not EntryState.READY and has_initial_state:
            coordinator.state = EntryState.READY
            self._journal.write(events.ENTRY_READY, vm=self.settings.vm)
            await coordinator.inbox.put(SetActive(True))


async def serve(settings: Settings) -> bool:
    """Runs an entry VM until SIGTERM or SIGINT.

    Returns:
        Whether it shut down gracefully.
    """
    entry = EntryVm(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: entry.request_stop())
    await entry.run()
    return not entry.failed


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if a main task failed, 2 for invalid
        settings.
    """
    options = docopt(__doc__, argv)
    try:
        settings = config.load_settings(options["--settings"])
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        return 2
    journal.configure(settings.log_level)
    return 0 if curio.run(serve, settings) else 1


if __name__ == "__main__":
    sys.exit(main())
