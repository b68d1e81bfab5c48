"""Tests of the load tool against scripted servers."""

import itertools
import json
from pathlib import Path

import curio
import msgspec
import pytest

from arbutusladder import loadgen, loadreport
from arbutusladder.clock import Clock
from arbutusladder.config import load_yaml_file
from arbutusladder.httpclient import HttpResponse
from arbutusladder.loadgen import LoadRun
from arbutusladder.loadprofile import Profile, arrivals, check_profile
from tests.test_client import UNREACHABLE, NoResponse, refused_response, run_server

EXAMPLES = Path(__file__).parent.parent / "examples"
SEED = 11


def profile(duration=0.5, max_requests=1000, max_open=50, timeout=2.0, **stream):
    fields = {"name": "s", "kind": "request", "service": "x", "rate_per_s": 200.0}
    value = {
        "name": "t",
        "seed": SEED,
        "duration_s": duration,
        "max_requests": max_requests,
        "max_open": max_open,
        "timeout_s": timeout,
        "streams": [fields | stream],
    }
    return msgspec.convert(value, Profile)


def run_against(handler, chosen):
    with run_server(handler) as address:
        return curio.run(LoadRun(chosen, [address], Clock()).run)


async def echo(request):
    return HttpResponse(200, [], request.body)


class TestOutcomes:
    """Guards against arrivals that are lost or counted under a wrong outcome."""

    def test_every_arrival_has_one_outcome(self):
        numbers = itertools.count()

        async def handler(request):
            match next(numbers) % 4:
                case 0:
                    return refused_response("queue_full")
                case 1:
                    raise NoResponse
                case 2:
                    return HttpResponse(404, [], request.body)
                case _:
                    return await echo(request)

        chosen = profile()
        (found,) = run_against(handler, chosen).streams
        assert found.arrivals == len(list(arrivals(chosen)))
        assert found.arrivals == sum(found.outcomes.values())
        assert set(found.outcomes) == {"done", "not_run", "unknown"}
        assert set(found.statuses) == {"200", "404"}
        assert found.markers == {"own": found.outcomes["done"]}
        assert found.reasons["queue_full"] == found.outcomes["not_run"]

    def test_arrivals_beyond_the_bound_are_skipped(self):
        async def slow(request):
            await curio.sleep(0.1)
            return await echo(request)

        (found,) = run_against(slow, profile(max_open=2)).streams
        assert found.outcomes["skipped"] > 0
        assert found.arrivals == sum(found.outcomes.values())

    def test_silent_server_does_not_hold_the_run(self):
        async def silent(request):
            await curio.sleep(60)

        report = run_against(silent, profile(duration=0.1, timeout=0.2))
        assert set(report.streams[0].outcomes) == {"unknown"}
        # The bound of the run: two timeouts, the duration and a second.
        assert report.seconds < 0.1 + 2 * 0.2 + 1

    def test_unreachable_server(self):
        chosen = profile(duration=0.1)
        report = curio.run(LoadRun(chosen, [UNREACHABLE], Clock()).run)
        assert set(report.streams[0].outcomes) == {"not_run"}

    def test_latency_counts_from_the_planned_arrival(self):
        async def slow(request):
            await curio.sleep(0.05)
            return await echo(request)

        (found,) = run_against(slow, profile()).streams
        assert found.latency_ms["done"]["p50"] >= 50

    def test_job_and_key(self):
        requests = []

        async def handler(request):
            requests.append(request)
            return await echo(request)

        job = profile(kind="job", service="", workload="w", tasks=2)
        (found,) = run_against(handler, job).streams
        order = json.loads(requests[0].body)
        assert (order["workload"], order["tasks"]) == ("w", 2)
        assert set(found.markers) == {"own"}
        requests.clear()
        run_against(handler, profile(key=True))
        keys = [request.header("Idempotency-Key") for request in requests]
        assert len(set(keys)) == len(keys) > 0


class TestMarkers:
    """Guards against answers of other requests that pass as one's own."""

    def test_swapped_and_foreign_answers_are_found(self):
        kept = [b"none"]

        async def swap(request):
            kept.append(request.body)
            return HttpResponse(200, [], kept.pop(0))

        report = run_against(swap, profile())
        markers = report.streams[0].markers
        assert (markers["missing"], "own" in markers) == (1, False)
        assert markers["other"] == report.streams[0].outcomes["done"] - 1
        assert not loadreport.is_clean(report)

    def test_longer_number_is_not_the_own_marker(self):
        prefix = loadgen.MARKER_PREFIX
        body = f"{prefix}.r.s.12.end".encode()
        assert loadreport._marker_state(body, f"{prefix}.r.s.1.end") == "other"


class TestCommand:
    """Guards against a bad profile that starts a run."""

    @pytest.mark.parametrize("name", ["rolgeld/load", "suva/load"])
    def test_examples(self, name):
        for file in (EXAMPLES / name).iterdir():
            assert load_yaml_file(file, Profile, check_profile).streams

    @pytest.mark.parametrize(
        "line",
        [
            "{name: s, kind: request, rate_per_s: 1}",
            "{name: s, kind: job, rate_per_s: 1}",
            "{name: s, kind: job, workload: w, rate_per_s: 0}",
            "{name: s, kind: job, workload: w, rate_per_s: 1, start_s: 9}",
            "{name: s, kind: job, workload: w, rate_per_s: 1, bogus: 1}",
        ],
    )
    def test_bad_profile(self, tmp_path, capsys, line):
        path = tmp_path / "p.yaml"
        head = "name: a\nseed: 1\nduration_s: 1\nmax_requests: 9\nmax_open: 1\n"
        path.write_text(f"{head}streams:\n  - {line}\n")
        assert loadgen.main(["--entry", UNREACHABLE, str(path)]) == 2
        assert f"{path}:7" in capsys.readouterr().err

    def test_report(self, tmp_path, capsys):
        path = tmp_path / "p.yaml"
        path.write_bytes(msgspec.yaml.encode(profile(duration=0.1)))
        with run_server(echo) as address:
            assert loadgen.main(["--entry", address, str(path)]) == 0
            assert "STREAM" in capsys.readouterr().out
            options = ["--entry", address, "--seed", "5", "--json"]
            assert loadgen.main([*options, str(path)]) == 0
            assert json.loads(capsys.readouterr().out)["seed"] == 5
