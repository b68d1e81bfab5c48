"""The operator's configuration: routes to queues, and teams with their keys.

The platform calls a team a tenant.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from arbutusladder.access.callers import KeyTable
from arbutusladder.httplimits.limiter import RequestLimits
from arbutusladder.ids import TeamName
from arbutusladder.messages import QueueTerms, Resources, TeamTerms
from arbutusladder.platform.bounds import (
    Amount,
    Duration,
    Factor,
    Position,
    Rank,
)
from arbutusladder.platform.jsonbody import decode_json

# Topic and key of the configuration in the platform's log.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
# Smallest weight of a team, since shares are divided by weights.
MIN_WEIGHT = 1e-3
# Longest name of a team in characters; records of the log reserve 1 KB for names.
MAX_TEAM_NAME_LENGTH = 200
# Limits of requests where the configuration has none, as the platform documents them.
DEFAULT_LIMITS = RequestLimits(
    max_body_bytes=262144,
    max_head_bytes=16384,
    head_timeout_s=3.0,
    read_timeout_s=15.0,
)


class _Advice(msgspec.Struct, rename="kebab"):
    """Placement advice for a queue.

    ``decision-ms`` is the duration of a call, ``each-ms`` the further duration for each
    worker that it names, and ``validity-ms`` the time for which a ticket is valid.
    """

    decision_ms: Duration = 0.0
    each_ms: Duration = 0.0
    validity_ms: Duration = 0.0


class _Route(msgspec.Struct, rename="kebab"):
    """A queue.

    ``service`` runs its tasks, ``slo-ms`` is added to the time objective of its jobs
    and ``timeout-ms`` limits the wait for a response. Calls of a ``public`` one need no
    key.
    """

    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: Rank = 0
    max_attempts: Amount = 1
    stretch: Factor = 1.0
    slo_ms: Duration = 0.0
    timeout_ms: Duration = 3000.0
    advice: _Advice | None = None
    public: bool = False


class _Cap(msgspec.Struct, rename="kebab"):
    """What a team may have running; ``cpu`` is in thousandths of a core."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    """A team; ``weight`` is its share when the cell is full."""

    name: Annotated[str, Meta(min_length=1, max_length=MAX_TEAM_NAME_LENGTH)]
    api_keys: list[str] = []
    weight: Factor = 1.0
    cap: _Cap = msgspec.field(default_factory=_Cap)


class _Limits(msgspec.Struct, rename="kebab"):
    """Limits of requests; 0 stands for the default.

    ``header-timeout-ms`` limits the time for a head, and ``idle-timeout-ms`` the time
    without a byte of a request.
    """

    max_header_bytes: Amount = 0
    max_body_bytes: Amount = 0
    header_timeout_ms: Duration = 0.0
    idle_timeout_ms: Duration = 0.0


class _Config(msgspec.Struct, rename="kebab"):
    """The operator's configuration; it has no teams without ``tenants``."""

    version: Position
    routes: list[_Route]
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True)
class Queue:
    """A queue of the configuration and its address.

    Attributes:
        terms: Terms under which its jobs run.
        host: Host name under which clients reach it.
        path_prefix: Prefix of the paths of its jobs.
        timeout_s: Longest wait of a client for a response, in seconds.
        public: Whether its callers need no key.
    """

    terms: QueueTerms
    host: str
    path_prefix: str
    timeout_s: float
    public: bool = False


@dataclass(frozen=True)
class RoutingTable:
    """All queues and teams of one version of the configuration.

    Attributes:
        version: Version of the configuration; increases with each change.
        queues_by_host: Queues of each host, longest prefix first.
        keys: Keys of the teams; None for a configuration without teams.
        terms_by_team: Terms of each team.
        limits: Limits of requests.
    """

    version: int
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)
    keys: KeyTable | None = None
    terms_by_team: dict[TeamName, TeamTerms] = field(default_factory=dict)
    limits: RequestLimits = DEFAULT_LIMITS

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching path prefix.

        Args:
            host: Host of the request, with or without a port.
            path: Path of the request.

        Returns:
            The queue, or None if no queue matches.
        """
        for queue in self.queues_by_host.get(host.rpartition(":")[0] or host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def decode_config(value: bytes) -> RoutingTable:
    """Decodes the operator's configuration record.

    Args:
        value: Value of the record.

    Raises:
        msgspec.MsgspecError: The record does not have the expected form.
    """
    config = decode_json(value, _Config)
    queues_by_host: dict[str, list[Queue]] = {}
    for route in config.routes:
        queues_by_host.setdefault(route.host, []).append(_queue_from_route(route))
    for queues in queues_by_host.values():
        queues.sort(key=lambda queue: -len(queue.path_prefix))
    limits = _request_limits(config.limits)
    if config.tenants is None:
        return RoutingTable(config.version, queues_by_host, limits=limits)
    keys = KeyTable.from_teams(
        (TeamName(row.name), [key.encode() for key in row.api_keys])
        for row in config.tenants
    )
    terms_by_team = {TeamName(row.name): _team_terms(row) for row in config.tenants}
    return RoutingTable(config.version, queues_by_host, keys, terms_by_team, limits)


def _team_terms(row: _Tenant) -> TeamTerms:
    cap = Resources(row.cap.cpu / 1000, row.cap.mem_mb, row.cap.gpu)
    return TeamTerms(TeamName(row.name), max(MIN_WEIGHT, row.weight), cap)


def _request_limits(limits: _Limits) -> RequestLimits:
    default = DEFAULT_LIMITS
    return RequestLimits(
        limits.max_body_bytes or default.max_body_bytes,
        limits.max_header_bytes or default.max_head_bytes,
        limits.header_timeout_ms / 1000 or default.head_timeout_s,
        limits.idle_timeout_ms / 1000 or default.read_timeout_s,
    )


def _queue_from_route(route: _Route) -> Queue:
    advice = route.advice or _Advice()
    terms = QueueTerms(
        name=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        objective_s=route.slo_ms / 1000,
        advice_s=advice.decision_ms / 1000,
        advice_each_s=advice.each_ms / 1000,
        advice_validity_s=advice.validity_ms / 1000,
    )
    return Queue(
        terms,
        route.host,
        route.path_prefix,
        route.timeout_ms / 1000,
        route.public,
    )
