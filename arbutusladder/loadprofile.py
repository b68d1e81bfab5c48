"""Profiles of the load generator and their seeded arrivals."""

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta

from arbutusladder import configchecks
from arbutusladder.strict import StrictStruct


class Stream(StrictStruct):
    """Arrivals of one kind of request or job.

    Attributes:
        kind: ``request`` for requests to a service, ``job`` for job submissions.
        rate_per_s: Mean arrivals per second; the intervals are exponential.
        workload: Workload of the requests or jobs.
        service: Service of the requests.
        method: HTTP method of the requests.
        path: Path of the requests below the service.
        key: Whether each request has its own idempotency key.
        body_bytes: Minimum size of the request body in bytes.
        tasks: Number of tasks that each job order requests.
        echo: Whether the response must contain the marker of the request.
        start_s: Start of the arrivals in seconds after the start of the run.
        stop_s: End of the arrivals in seconds after the start of the run; zero for
            the end of the run.
    """

    name: Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]*$")]
    kind: Literal["request", "job"]
    rate_per_s: Annotated[float, Meta(gt=0, le=20_000)]
    workload: str = ""
    service: str = ""
    method: Literal["GET", "POST", "PUT"] = "POST"
    path: str = "/"
    key: bool = False
    body_bytes: Annotated[int, Meta(ge=0, le=1_000_000)] = 200
    tasks: Annotated[int, Meta(ge=0, le=100_000)] = 0
    echo: bool = True
    start_s: Annotated[float, Meta(ge=0)] = 0.0
    stop_s: Annotated[float, Meta(ge=0)] = 0.0


class Profile(StrictStruct):
    """Streams and limits of a load run.

    Attributes:
        seed: Seed of the arrival times.
        duration_s: Longest duration of the arrivals in seconds.
        max_requests: Maximum number of arrivals in the run.
        max_open: Maximum number of open requests; arrivals above it are skipped.
        timeout_s: Timeout of connecting and of each request in seconds.
    """

    name: str
    seed: int
    duration_s: Annotated[float, Meta(gt=0, le=3600)]
    max_requests: Annotated[int, Meta(ge=1, le=10_000_000)]
    max_open: Annotated[int, Meta(ge=1, le=10_000)]
    streams: Annotated[list[Stream], Meta(min_length=1)]
    timeout_s: Annotated[float, Meta(gt=0, le=300)] = 6.0


def check_profile(profile: Profile) -> list[configchecks.Problem]:
    """Returns missing and inconsistent values of a profile."""
    problems = list(
        configchecks.check_unique_values(profile.streams, "streams", "name")
    )
    for index, stream in enumerate(profile.streams):
        path = f"$.streams[{index}]"
        if stream.kind == "request" and not stream.service:
            problems.append(
                configchecks.Problem(
                    f"{path}.service", "no service", "name the service"
                )
            )
        if stream.kind == "job" and not stream.workload:
            problems.append(
                configchecks.Problem(
                    f"{path}.workload", "no workload", "name the workload"
                )
            )
        if not stream.start_s < (stream.stop_s or profile.duration_s):
            text = "the stream stops before it starts"
            remedy = "set start_s below stop_s and below duration_s"
            problems.append(configchecks.Problem(f"{path}.start_s", text, remedy))
    return problems


@dataclass(order=True)
class Arrival:
    """One planned request or job.

    Attributes:
        offset_s: Planned time in seconds after the start of the run.
        stream_index: Index of its stream in the profile.
        number: Sequence number within the stream.
    """

    offset_s: float
    stream_index: int
    number: int


def generate_arrivals(profile: Profile) -> Iterator[Arrival]:
    """Yields all arrivals of a profile in time order; deterministic per seed."""
    streams = [
        _stream_arrivals(profile, index) for index in range(len(profile.streams))
    ]
    return itertools.islice(heapq.merge(*streams), profile.max_requests)


def _stream_arrivals(profile: Profile, index: int) -> Iterator[Arrival]:
    stream = profile.streams[index]
    rng = random.Random(f"{profile.seed}/{stream.name}")
    end = min(stream.stop_s or profile.duration_s, profile.duration_s)
    offset_s = stream.start_s
    for number in itertools.count():
        offset_s += rng.expovariate(stream.rate_per_s)
        if offset_s >= end:
            return
        yield Arrival(offset_s, index, number)
