"""Tests of the decoding of the operator's configuration."""

import json
import math
from dataclasses import astuple

import msgspec
import pytest
from hypothesis import given, strategies

from arbutusladder.cell.jobtable import submission_item
from arbutusladder.messages import Resources
from arbutusladder.platform.jobbody import decode_job
from arbutusladder.platform.routes import decode_config
from tests.cell import workloads

# Example of `fleetbench wire`.
ROUTE = {
    "name": "r-73hh2b9",
    "host": "nony24.example",
    "path-prefix": "/pule252/",
    "kind": "non_idempotent",
    "timeout-ms": 3057,
    "slo-ms": 254,
    "priority": 0,
    "service": "huvo11a",
    "max-attempts": 2,
    "stretch": 1.5,
    "advice": {"decision-ms": 18.72, "each-ms": 0.169, "validity-ms": 1500},
}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [], "limits": {}}
ROUTE_NUMBERS = ["timeout-ms", "slo-ms", "priority", "max-attempts", "stretch"]
# JSON texts of values that no field can have.
UNUSABLE_PARAMS = [
    pytest.param("9" * 400, id="hundreds of digits"),
    pytest.param("9" * 5000, id="thousands of digits"),
    pytest.param("-" + "9" * 400, id="negative, hundreds of digits"),
    pytest.param(str(2**64), id="above 64 bits"),
    "1e400",
    "1e308",
    "NaN",
    "Infinity",
    '"8"',
    "null",
    "[]",
]


def config_with(field, text):
    """Returns the configuration with a JSON text as the value of a field."""
    route = json.loads(json.dumps(ROUTE))
    config = CONFIG | {"routes": [route]}
    for part in (config, route, route["advice"]):
        if field in part:
            part[field] = "VALUE"
    return json.dumps(config).replace('"VALUE"', text).encode()


class TestUnusableConfiguration:
    """Pattern: the configuration has a number or a form that no reader can use."""

    @pytest.mark.parametrize("text", UNUSABLE_PARAMS)
    @pytest.mark.parametrize("field", ["version", *ROUTE_NUMBERS, *ROUTE["advice"]])
    def test_number_is_reported_with_its_field(self, field, text):
        """Guards against terms with which no job of the queue can be stored."""
        with pytest.raises(msgspec.MsgspecError) as error:
            decode_config(config_with(field, text))
        if text not in {"NaN", "Infinity"}:
            assert field in str(error.value)

    @pytest.mark.parametrize("opening", ["[", '{"a":', '{"routes":['])
    def test_deeply_nested_configuration_is_reported(self, opening):
        """Guards against an exceeded recursion limit that ends the process."""
        with pytest.raises(msgspec.MsgspecError):
            decode_config(opening.encode() * 100_000)

    @given(strategies.binary(max_size=200))
    def test_any_bytes_are_read(self, value):
        """Guards against an exception for bytes that nobody has thought of."""
        with pytest.raises(msgspec.MsgspecError):
            decode_config(value)


class TestPermittedConfiguration:
    """Pattern: numbers at the edges of what the published protocol permits."""

    def test_example_is_decoded(self):
        """Guards against bounds that refuse an ordinary configuration."""
        table = decode_config(json.dumps(CONFIG).encode())
        (queue,) = table.queues_by_host["nony24.example"]
        assert queue.timeout_s == pytest.approx(3.057)
        assert queue.terms.advice_s == pytest.approx(0.01872)

    def test_teams_are_translated(self):
        """Guards against lost keys and limits, and against needing keys without teams.

        A field that is 0 or missing means no limit.
        """
        row = {"name": "red", "api-keys": ["k"], "priority": 2, "weight": 2.5}
        cap = {"cpu": 1500, "mem-mb": 64, "gpu": 0}
        tenants = [row | {"cap": cap}, {"name": "blue", "weight": 0}]
        public = ROUTE | {"public": True, "path-prefix": "/open/"}
        config = CONFIG | {"tenants": tenants, "routes": [ROUTE, public]}
        table = decode_config(json.dumps(config).encode())
        assert table.keys.find_team(b"k") == "red"
        assert table.terms_by_team["red"].weight == 2.5
        assert table.terms_by_team["red"].cap == Resources(1.5, 64, 0)
        assert table.terms_by_team["blue"].cap == Resources()
        assert table.terms_by_team["blue"].weight > 0
        assert table.find_queue("nony24.example", "/open/x").public
        without_teams = decode_config(json.dumps(CONFIG).encode())
        assert without_teams.keys is None
        assert not without_teams.find_queue("nony24.example", "/pule252/x").public

    @pytest.mark.parametrize("version", [0, 1786672645061123456, 2**63 - 1])
    def test_versions_in_uneven_steps_are_decoded(self, version):
        """Guards against refusing versions that are derived from the time."""
        config = CONFIG | {"version": version}
        assert decode_config(json.dumps(config).encode()).version == version

    def test_largest_terms_can_be_stored(self):
        """Guards against terms that overflow in the log, or as a sum of durations."""
        numbers = {"timeout-ms": 10**9, "slo-ms": 10**15, "stretch": 10**9}
        numbers |= {"priority": 10**9, "max-attempts": 10**9}
        advice = dict.fromkeys(ROUTE["advice"], 10**15)
        config = CONFIG | {"routes": [ROUTE | numbers | {"advice": advice}]}
        table = decode_config(json.dumps(config).encode())
        (queue,) = table.queues_by_host["nony24.example"]
        body = b'{"steps":[{"estimate-ms":1e15}]}'
        record = decode_job(workloads.job_id(1), body, queue.terms, 0.0)
        assert submission_item(record)
        assert all(
            math.isfinite(value)
            for value in astuple(queue.terms)
            if isinstance(value, float)
        )
