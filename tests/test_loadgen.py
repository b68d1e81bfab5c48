"""Tests of the load generator against scripted servers."""

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
from arbutusladder.loadprofile import Profile, check_profile, generate_arrivals
from tests.test_client import UNREACHABLE, NoResponse, refused_response, run_server

EXAMPLES = Path(__file__).parent.parent / "examples"
SEED = 11


def new_profile(duration=0.5, max_requests=1000, max_open=50, timeout=2.0, **stream):
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


def run_load_against(handler, profile):
    with run_server(handler) as address:
        return curio.run(LoadRun(profile, [address], Clock()).run)


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

        profile = new_profile()
        (stream_report,) = run_load_against(handler, profile).streams
        assert stream_report.arrivals == len(list(generate_arrivals(profile)))
        assert stream_report.arrivals == sum(stream_report.outcomes.values())
        assert set(stream_report.outcomes) == {"done", "not_run", "unknown"}
        assert set(stream_report.statuses) == {"200", "404"}
        assert stream_report.markers == {"own": stream_report.outcomes["done"]}
        assert stream_report.reasons["queue_full"] == stream_report.outcomes["not_run"]

    def test_arrivals_above_max_open_are_skipped(self):
        async def slow(request):
            await curio.sleep(0.1)
            return await echo(request)

        (stream_report,) = run_load_against(slow, new_profile(max_open=2)).streams
        assert stream_report.outcomes["skipped"] > 0
        assert stream_report.arrivals == sum(stream_report.outcomes.values())

    def test_unresponsive_server_does_not_block_the_run(self):
        async def silent(request):
            await curio.sleep(60)

        report = run_load_against(silent, new_profile(duration=0.1, timeout=0.2))
        assert set(report.streams[0].outcomes) == {"unknown"}
        # Longest run: the duration, two timeouts and a second.
        assert report.seconds < 0.1 + 2 * 0.2 + 1

    def test_unreachable_server_is_not_run(self):
        profile = new_profile(duration=0.1)
        report = curio.run(LoadRun(profile, [UNREACHABLE], Clock()).run)
        assert set(report.streams[0].outcomes) == {"not_run"}

    def test_latency_is_measured_from_the_planned_arrival(self):
        async def slow(request):
            await curio.sleep(0.05)
            return await echo(request)

        (stream_report,) = run_load_against(slow, new_profile()).streams
        assert stream_report.latency_ms["done"]["p50"] >= 50

    def test_job_order_and_idempotency_keys(self):
        requests = []

        async def handler(request):
            requests.append(request)
            return await echo(request)

        job = new_profile(kind="job", service="", workload="w", tasks=2)
        (stream_report,) = run_load_against(handler, job).streams
        order = json.loads(requests[0].body)
        assert (order["workload"], order["tasks"]) == ("w", 2)
        assert set(stream_report.markers) == {"own"}
        requests.clear()
        run_load_against(handler, new_profile(key=True))
        keys = [request.header("Idempotency-Key") for request in requests]
        assert len(set(keys)) == len(keys) > 0


class TestMarkers:
    """Guards against accepting the response to another request."""

    def test_responses_to_other_requests_are_detected(self):
        earlier_bodies = [b"none"]

        async def swap(request):
            earlier_bodies.append(request.body)
            return HttpResponse(200, [], earlier_bodies.pop(0))

        report = run_load_against(swap, new_profile())
        markers = report.streams[0].markers
        assert (markers["missing"], "own" in markers) == (1, False)
        assert markers["other"] == report.streams[0].outcomes["done"] - 1
        assert not loadreport.all_markers_match(report)

    def test_marker_with_longer_number_is_other(self):
        prefix = loadgen.MARKER_PREFIX
        body = f"{prefix}.r.s.12.end".encode()
        assert loadreport.classify_marker(body, f"{prefix}.r.s.1.end") == "other"


class TestCommand:
    """Guards against runs with an invalid profile and against wrong reports."""

    @pytest.mark.parametrize("name", ["rolgeld/load", "suva/load"])
    def test_example_profiles_are_valid(self, name):
        for file in (EXAMPLES / name).iterdir():
            assert load_yaml_file(file, Profile, check_profile).streams

    @pytest.mark.parametrize(
        "stream_yaml",
        [
            "{name: s, kind: request, rate_per_s: 1}",
            "{name: s, kind: job, rate_per_s: 1}",
            "{name: s, kind: job, workload: w, rate_per_s: 0}",
            "{name: s, kind: job, workload: w, rate_per_s: 1, start_s: 9}",
            "{name: s, kind: job, workload: w, rate_per_s: 1, bogus: 1}",
        ],
    )
    def test_invalid_profile_is_rejected(self, tmp_path, capsys, stream_yaml):
        path = tmp_path / "p.yaml"
        header = "name: a\nseed: 1\nduration_s: 1\nmax_requests: 9\nmax_open: 1\n"
        path.write_text(f"{header}streams:\n  - {stream_yaml}\n")
        assert loadgen.main(["--entry", UNREACHABLE, str(path)]) == 2
        assert f"{path}:7" in capsys.readouterr().err

    def test_text_and_json_report(self, tmp_path, capsys):
        path = tmp_path / "p.yaml"
        path.write_bytes(msgspec.yaml.encode(new_profile(duration=0.1)))
        with run_server(echo) as address:
            assert loadgen.main(["--entry", address, str(path)]) == 0
            assert "STREAM" in capsys.readouterr().out
            options = ["--entry", address, "--seed", "5", "--json"]
            assert loadgen.main([*options, str(path)]) == 0
            assert json.loads(capsys.readouterr().out)["seed"] == 5
