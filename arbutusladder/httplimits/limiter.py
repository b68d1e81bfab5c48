"""Limits of one HTTP server: settings, limits of the configuration, state, counters."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from arbutusladder.config import load_yaml_file
from arbutusladder.httplimits.budget import RequestBudget
from arbutusladder.httplimits.connections import MIN_IDLE_S, ConnectionTable
from arbutusladder.httplimits.departures import DepartureWatch
from arbutusladder.httplimits.refusals import Limit, RefusalLog
from arbutusladder.httplimits.turns import TurnQueue, TurnWork
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from arbutusladder.settings import InputLimits, Settings

# Share of the descriptors that clients may use although fewer than reserved remain.
MIN_CLIENT_SHARE = 0.25
# Limit that is never reached, such as that of the memory of trusted callers.
UNBOUNDED = 2**62
# Bytes and connections for servers that answer a few callers without bodies.
SMALL_UNFINISHED_BYTES = 1024 * 1024
SMALL_BODY_BYTES = 4096
SMALL_CONNECTIONS = 64


@dataclass(frozen=True)
class RequestLimits:
    """Limits of one request.

    Attributes:
        max_body_bytes: Largest body.
        max_head_bytes: Largest head, with the request line.
        head_timeout_s: Longest time from the first byte of a head to its end.
        read_timeout_s: Longest time without a byte of a body.
    """

    max_body_bytes: int
    max_head_bytes: int
    head_timeout_s: float
    read_timeout_s: float


class HttpLimiter:
    """Limits of one server and what its clients use of them.

    Args:
        settings: Settings of the limits.
        metrics: Counters.
        journal: Event log; None to log nothing.
        get_limits: Returns the limits of a request that are in force, which replace
            those of the settings; None where the settings apply.
        max_connections: Further limit of the connections.
        weigh: Returns the bytes of memory that a handler needs for a body.

    Attributes:
        settings: Settings of the limits.
        budget: Memory of unfinished requests.
        connections: Open connections.
        departures: Watch for clients that have left.
        turns: Connections that wait for their next turn.
        weigh: Returns the bytes of memory that a handler needs for a body.
        discards: Connections whose data is being discarded.
    """

    def __init__(
        self,
        settings: InputLimits,
        metrics: Metrics | None = None,
        journal: Journal | None = None,
        get_limits: Callable[[], RequestLimits | None] = lambda: None,
        max_connections: int | None = None,
        weigh: Callable[[bytes], int] = len,
    ):
        self.settings = settings
        self.budget = RequestBudget(settings.unfinished_bytes)
        limit = min(settings.max_connections, max_connections or UNBOUNDED)
        self.connections = ConnectionTable(
            min(limit, _client_descriptors(settings.reserved_descriptors)),
            settings.peer_connections,
        )
        self.turns = TurnQueue(settings.waiting_turns_s)
        self.departures = DepartureWatch()
        self.weigh = weigh
        self.discards = 0
        self._log = RefusalLog(metrics or Metrics(), journal)
        self._get_limits = get_limits
        self._default_limits = RequestLimits(
            settings.body_bytes,
            settings.head_bytes,
            settings.head_timeout_s,
            settings.read_timeout_s,
        )

    @property
    def request_limits(self) -> RequestLimits:
        """Limits of a request that are in force now."""
        return self._get_limits() or self._default_limits

    def refused(self, limit: Limit, peer: str, now: float) -> None:
        """Counts and logs a refused request or a closed connection."""
        self._log.add(limit, peer, now)

    def make_room_for_connection(self, host: str, now: float) -> Limit | None:
        """Closes a connection if a new one would exceed a limit.

        Args:
            host: Address of the new client.
            now: Present monotonic time in seconds.

        Returns:
            The limit because of which one connection must be closed, or None.
            `connections` tells whether the new one fits now.
        """
        limit = self.connections.exceeded_limit(host)
        if limit is Limit.PEER_CONNECTIONS:
            self.departures.close_departed()
            if self.connections.exceeded_limit(host) is limit:
                self.connections.close_idle(host)
        elif limit is Limit.CONNECTIONS:
            self.free_connection(now)
        return limit

    def begin_turn_wait(self, work: TurnWork, cost_s: float) -> None:
        """Adds a connection that waits for its next turn.

        If all turns together take too long, connections that clients have left are
        closed first, then the requests that have taken most give way.

        Args:
            work: Work of the connection.
            cost_s: Processor time of its last turn in seconds.
        """
        if not self.turns.begin_wait(work, cost_s):
            self.departures.close_departed()
            self.turns.shed_heaviest()

    def free_connection(self, now: float) -> bool:
        """Closes a connection to admit another one.

        Connections that clients have left come first, then those idle for some time,
        then the slowest sender, then those idle for a short time.

        Returns:
            Whether there was one.
        """
        return (
            self.departures.close_departed() > 0
            or self.connections.close_idle(idle_since=now - MIN_IDLE_S)
            or self.budget.shed_slowest(now)
            or self.connections.close_idle()
        )


def _client_descriptors(reserved: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return UNBOUNDED
    return max(soft_limit - reserved, int(soft_limit * MIN_CLIENT_SHARE))


def trusted_limiter(max_body: int, max_connections: int) -> HttpLimiter:
    """Returns the limits of a server all of whose callers are trusted."""
    settings = InputLimits(
        body_bytes=max_body,
        unfinished_bytes=UNBOUNDED,
        waiting_turns_s=UNBOUNDED,
        max_connections=max_connections,
        reserved_descriptors=0,
    )
    return HttpLimiter(settings)


def small_limiter(
    metrics: Metrics, journal: Journal, body_bytes: int = SMALL_BODY_BYTES
) -> HttpLimiter:
    """Returns the limits of a server for a few callers, most of them without a body."""
    settings = InputLimits(
        body_bytes=body_bytes,
        unfinished_bytes=SMALL_UNFINISHED_BYTES,
        max_connections=SMALL_CONNECTIONS,
    )
    return HttpLimiter(settings, metrics, journal)


def native_limiter(
    settings: Settings, metrics: Metrics, journal: Journal
) -> HttpLimiter:
    """Returns the limits of the native interface."""
    limits = settings.input_limits
    return HttpLimiter(
        msgspec.structs.replace(limits, body_bytes=settings.limits.max_body_bytes),
        metrics,
        journal,
        max_connections=settings.limits.max_callers,
    )


def load_limits(path: str) -> InputLimits:
    """Reads a YAML file with the settings of the limits.

    Raises:
        ExceptionGroup: The file cannot be used; holds a ``ConfigError`` for
            each problem.
    """
    return load_yaml_file(path, InputLimits, lambda limits: [])
