"""Daemon of an entry VM: wires its tasks, starts and stops them.

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
    SERVICE_PREFIX,
    SILENT_OWNER_S,
    Gateway,
    not_run_answer,
)
from arbutusladder.httpclient import HttpAnswer
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
from arbutusladder.operatorapi import OperatorApi, refusal_answer
from arbutusladder.operatormessages import Readiness, Refusal
from arbutusladder.peerservice import PeerService
from arbutusladder.platformfeeds import PlatformFeeds
from arbutusladder.reasons import remedy
from arbutusladder.settings import Settings
from arbutusladder.shardhost import ShardHost
from arbutusladder.shardownerview import ShardOwnerView
from arbutusladder.states import EntryState, Outcome, Reason
from arbutusladder.vmlist import (
    VmView,
    domains_by_shard,
)

POLL_S = 0.05
WATCH_S = 0.25
FETCH_LIMIT_S = 1.0
CONFIG_CONFIRM_LIMIT_S = 16.0
HANDOVER_TOTAL_S = 3.0
MICROSECONDS = 1_000_000


class EntryVm:
    """One entry VM.

    Args:
        settings: Checked settings.
        clock: Clock of this process.
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
        self._vms = VmView(settings.region, settings.shards.per_domain)
        self._config = ConfigFeed(self._config_changed, self.metrics, self._journal)
        self._jobs = JobFeed(
            self._job_submitted, self._job_moved, self._fence_read, self.metrics
        )
        self._peer_service = PeerService(
            settings, self._config, clock, self.metrics, self._log_failure
        )
        self._peers = self._peer_service.peers
        view = ShardOwnerView(self._domain_by_shard, settings.timing.promise_duration_s)
        self.coordinator = Coordinator(
            settings,
            int(clock.wall() * MICROSECONDS),
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
            self._operations, self.metrics.refused, settings
        )
        self._server = HttpServer(
            settings.listen,
            self._answer,
            settings.limits.max_body_bytes,
            settings.limits.max_callers,
            self._handler_failed,
        )
        self.address = self._server.address
        self._feeds = PlatformFeeds(
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
        self._tailers = self._feeds.tailers
        self._stop_asked = curio.UniversalEvent()
        self._stop_count = 0
        self._config_confirmed_at = float("-inf")
        self.failed = False

    # Start and stop

    async def run(self) -> None:
        """Serves until asked to stop, then shuts down gracefully."""
        self._journal.write(
            events.ENTRY_STARTED, vm=self.settings.vm, seat=self.settings.seat
        )
        parts = {
            "server": self._server.run,
            "peers": self._peers.run,
            "coordinator": self.coordinator.run,
            "vm list": self._feeds.follow_vm_list,
            "watch": self._watch,
            "job moves": self._host.move_jobs,
            "snapshots": self._feeds.append_snapshots,
            "shutdown": self._shut_down,
        }
        for tailer in self._tailers:
            parts[f"tailer of {tailer.stream}"] = tailer.run
        for stream, appender in self._appender_by_stream.items():
            parts[f"appender of {stream}"] = appender.run
        async with curio.TaskGroup(wait=any) as group:
            for name, part in parts.items():
                await group.spawn(self._guard, name, part)

    async def _guard(self, name: str, part: Callable[[], Awaitable[None]]) -> None:
        """Runs one of the main tasks; the process ends when one of them fails.

        A process with a part missing would hold its shards without serving
        them, while a process that ends is replaced.
        """
        try:
            await part()
        except Exception as error:
            self._log_failure(name, error)
            self.failed = True

    def _handler_failed(self, error: Exception) -> None:
        self.metrics.count("http.handler_failures")
        self._log_failure("HTTP handler", error)

    def _log_failure(self, name: str, error: Exception) -> None:
        log_failure(self._journal, name, error)

    def ask_to_stop(self) -> None:
        """Starts a graceful shutdown; a second call skips the balancer wait."""
        self._stop_count += 1
        self._stop_asked.set()

    async def _shut_down(self) -> None:
        await self._stop_asked.wait()
        timing = self.settings.timing
        self._journal.write(events.ENTRY_DRAINING, vm=self.settings.vm)
        self.coordinator.state = EntryState.DRAINING
        started = self._clock.now()
        await self.coordinator.inbox.put(StartDrain())
        await self._wait_until(
            lambda: not self._host.serving_shards(), HANDOVER_TOTAL_S
        )
        notice = timing.balancer_notice_s - (self._clock.now() - started)
        await self._wait_until(lambda: self._stop_count > 1, notice)
        self._server.closing = True
        await self._wait_until(
            lambda: not self._server.open_requests and not self._host.open_requests,
            timing.drain_limit_s,
        )
        # Promises are given back only when nothing more can reach an endpoint.
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

    async def _wait_until(self, condition, limit: float) -> None:
        end = self._clock.now() + limit
        while not condition() and self._clock.now() < end:
            await curio.sleep(POLL_S)

    # Requests of callers and operators

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return await self._route(request)
        except Exception as error:
            self._handler_failed(error)
            reason = Reason.INTERNAL_ERROR
            return refusal_answer(
                Refusal(Outcome.UNKNOWN, reason.value, remedy(reason.value))
            )

    async def _route(self, request: HttpRequest) -> HttpAnswer:
        if OperatorApi.serves(request.path):
            return await self._operator_api.handle(request)
        if not request.path.startswith(SERVICE_PREFIX):
            return not_run_answer(Reason.MALFORMED_REQUEST)
        blocked = self._blocked_reason()
        if blocked:
            self.metrics.refused(blocked)
            return not_run_answer(blocked, 1000)
        return await self._gateway.handle(request)

    def readiness(self) -> Readiness:
        """Returns whether the balancer may send requests here."""
        state = self.coordinator.state
        blocked = self._blocked_reason()
        reasons = [blocked.value] if blocked else []
        if state is EntryState.DRAINING:
            reasons.append(Reason.DRAINING.value)
        return Readiness(not reasons, state, self._config.store.revision, reasons)

    def _blocked_reason(self) -> Reason | None:
        match self.coordinator.state:
            case EntryState.STARTING:
                return Reason.STARTING
            case EntryState.PAUSED:
                return Reason.PAUSED
        now = self._clock.now()
        if self.coordinator.is_pause_unconfirmed(now):
            return Reason.PAUSED
        if now - self._config_confirmed_at > CONFIG_CONFIRM_LIMIT_S:
            return Reason.CONFIG_UNCONFIRMED
        return None

    # Configuration and readiness

    def _current_config(self) -> ConfigState:
        return self._config.store.state

    async def _config_changed(self, state: ConfigState) -> None:
        self._host.apply_config(state)

    def _job_submitted(self, record) -> None:
        self._host.handle_job_submitted(record)

    def _job_moved(self, record: JobMoved) -> None:
        self._host.handle_job_moved(record)

    async def _fence_read(self, fence: ShardFence) -> None:
        await self.coordinator.inbox.put(fence)

    async def _watch(self) -> None:
        """Confirms the configuration and moves between the states."""
        log_available = None
        while True:
            available = any(tailer.available for tailer in self._tailers)
            if available != log_available:
                log_available = available
                await self.coordinator.inbox.put(LogState(available))
            await self._confirm_config()
            await self._change_state()
            await self._abandon_silent_seats()
            await curio.sleep(WATCH_S)

    async def _abandon_silent_seats(self) -> None:
        """Lets idempotent requests to a silent owner go to another shard."""
        now = self._clock.now()
        for member in self.coordinator.membership.member_by_seat.values():
            if now - member.last_heartbeat_at > SILENT_OWNER_S:
                await self._peers.abandon(member.seat)

    async def _confirm_config(self) -> None:
        now = self._clock.now()
        membership = self.coordinator.membership
        newest = membership.newest_revision()
        if newest > self._config.store.revision:
            await self._fetch_config(newest)
        fresh_at = self._tailers[0].fresh_at
        if fresh_at is not None:
            self._config_confirmed_at = max(self._config_confirmed_at, fresh_at)
        live = membership.live_members(now)
        if len(live) <= len(membership.region_seats) // 2:
            return
        if newest <= self._config.store.revision:
            heard = sorted((member.last_heartbeat_at for member in live), reverse=True)
            majority = heard[len(membership.region_seats) // 2]
            self._config_confirmed_at = max(self._config_confirmed_at, majority)

    async def _fetch_config(self, newest: int) -> None:
        members = self.coordinator.membership.live_members(self._clock.now())
        for member in members:
            if member.config_revision < newest or member.seat == self.settings.seat:
                continue
            message = FetchConfig(
                RequestId(uuid.uuid4().hex), self._config.store.revision
            )
            offer = await self._peers.call(member.seat, message, FETCH_LIMIT_S)
            if isinstance(offer, ConfigOffer) and await self._config.take_offer(offer):
                return

    async def _change_state(self) -> None:
        coordinator = self.coordinator
        if coordinator.state is EntryState.DRAINING:
            return
        since = coordinator.paused_at
        confirmed_at = self._config_confirmed_at
        if since is not None and confirmed_at <= since:
            if coordinator.state is EntryState.READY:
                coordinator.state = EntryState.PAUSED
                await coordinator.inbox.put(SetActive(False))
            return
        coordinator.paused_at = None
        known = confirmed_at > float("-inf") and self._feeds.read_vms
        if coordinator.state is not EntryState.READY and known:
            coordinator.state = EntryState.READY
            self._journal.write(events.ENTRY_READY, vm=self.settings.vm)
            await coordinator.inbox.put(SetActive(True))


async def serve(settings: Settings) -> bool:
    """Runs an entry VM until SIGTERM or SIGINT.

    Returns:
        Whether it shut down gracefully.
    """
    entry = EntryVm(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: entry.ask_to_stop())
    await entry.run()
    return not entry.failed


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 when a task failed, 2 for bad
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
