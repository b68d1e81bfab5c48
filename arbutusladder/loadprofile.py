"""Profiles of the load tool and their seeded arrivals."""

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
    """One kind of request or job and its rate.

    Attributes:
        kind: A request to a service, or a job.
        rate_per_s: Mean arrivals a second; the gaps are exponential.
        key: Whether each request carries an idempotency key of its own.
        body_bytes: Least size of the body.
        echo: Whether the answer must repeat the marker of the request.
        start_s: Seconds from the start of the run to the first arrivals.
        stop_s: End of the arrivals; zero for the end of the run.
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
    """A run: its streams and its bounds.

    Attributes:
        max_requests: Arrivals after which the run ends.
        max_open: Open requests; arrivals beyond are counted as skipped.
        timeout_s: Longest time of one request in seconds.
    """

    name: str
    seed: int
    duration_s: Annotated[float, Meta(gt=0, le=3600)]
    max_requests: Annotated[int, Meta(ge=1, le=10_000_000)]
    max_open: Annotated[int, Meta(ge=1, le=10_000)]
    streams: Annotated[list[Stream], Meta(min_length=1)]
    timeout_s: Annotated[float, Meta(gt=0, le=300)] = 6.0


def check_profile(profile: Profile) -> list[configchecks.Problem]:
    """Returns the contradictions inside a profile."""
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
    """One planned request: seconds from the start, and its number."""

    at: float
    stream: int
    number: int


def arrivals(profile: Profile) -> Iterator[Arrival]:
    """Yields all arrivals of a profile in order; the same ones for one seed."""
    streams = [
        _stream_arrivals(profile, index) for index in range(len(profile.streams))
    ]
    return itertools.islice(heapq.merge(*streams), profile.max_requests)


def _stream_arrivals(profile: Profile, index: int) -> Iterator[Arrival]:
    stream = profile.streams[index]
    source = random.Random(f"{profile.seed}/{stream.name}")
    end = min(stream.stop_s or profile.duration_s, profile.duration_s)
    at = stream.start_s
    for number in itertools.count():
        at += source.expovariate(stream.rate_per_s)
        if at >= end:
            return
        yield Arrival(at, index, number)
