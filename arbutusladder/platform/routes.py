"""The operator's configuration: queues by host and path."""

from dataclasses import dataclass, field

import msgspec

from arbutusladder.messages import QueueTerms

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"


class _Advice(msgspec.Struct, rename="kebab"):
    decision_ms: float = 0.0
    each_ms: float = 0.0
    validity_ms: float = 0.0


class _Route(msgspec.Struct, rename="kebab"):
    """A queue; ``slo-ms`` is added to its jobs' time objective."""

    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0.0
    timeout_ms: float = 3000.0
    advice: _Advice | None = None


class _Config(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]


@dataclass(frozen=True)
class Queue:
    """A queue of the configuration.

    Attributes:
        terms: What its jobs are run under.
        host: Host name of its address.
        prefix: Start of its paths.
        timeout_s: Longest wait for an answer in seconds.
    """

    terms: QueueTerms
    host: str
    prefix: str
    timeout_s: float


@dataclass(frozen=True)
class RouteTable:
    """All queues of one version of the configuration.

    Attributes:
        version: Rises with each change.
        queues_by_host: Queues of each host, longest prefix first.
    """

    version: int
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path."""
        for queue in self.queues_by_host.get(host.rpartition(":")[0] or host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def decode_config(value: bytes) -> RouteTable:
    """Decodes the operator's record.

    Raises:
        msgspec.MsgspecError: It does not follow the platform's page.
    """
    config = msgspec.json.decode(value, type=_Config)
    queues_by_host: dict[str, list[Queue]] = {}
    for route in config.routes:
        queues_by_host.setdefault(route.host, []).append(_queue_from_route(route))
    for queues in queues_by_host.values():
        queues.sort(key=lambda queue: -len(queue.prefix))
    return RouteTable(config.version, queues_by_host)


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
