"""Routing table of the operator's configuration: maps host and path to a queue."""

from dataclasses import dataclass, field

import msgspec

from arbutusladder.httplimits.limiter import RequestLimits
from arbutusladder.messages import QueueTerms
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
    and ``timeout-ms`` limits the wait for a response.
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
    """The operator's configuration."""

    version: Position
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True)
class Queue:
    """A queue of the configuration and its address.

    Attributes:
        terms: Terms under which its jobs run.
        host: Host name under which clients reach it.
        path_prefix: Prefix of the paths of its jobs.
        timeout_s: Longest wait of a client for a response, in seconds.
    """

    terms: QueueTerms
    host: str
    path_prefix: str
    timeout_s: float


@dataclass(frozen=True)
class RoutingTable:
    """All queues of one version of the configuration.

    Attributes:
        version: Version of the configuration; increases with each change.
        queues_by_host: Queues of each host, longest prefix first.
        limits: Limits of requests.
    """

    version: int
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)
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
    return RoutingTable(config.version, queues_by_host, _request_limits(config.limits))


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
    return Queue(terms, route.host, route.path_prefix, route.timeout_ms / 1000)
