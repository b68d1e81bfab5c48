"""Tests of the decision for which team a caller acts, and which jobs it may use."""

import pytest

from arbutusladder.access.callers import (
    KeyTable,
    PublicCaller,
    TeamCaller,
    UnknownCaller,
    Unrestricted,
    identify_caller,
    may_use_job,
)

KEYS = KeyTable.from_teams([("red", [b"k-red", b"k-red2", b""]), ("blue", [b"k-blue"])])


class TestIdentification:
    """Pattern: callers with and without keys, on public queues and others."""

    @pytest.mark.parametrize(
        ("keys", "key", "is_public", "caller"),
        [
            (None, b"", False, Unrestricted()),
            (None, b"k-red", False, Unrestricted()),
            (KEYS, b"k-red2", False, TeamCaller("red")),
            (KEYS, b"k-blue", False, TeamCaller("blue")),
            (KEYS, b"", False, UnknownCaller()),
            (KEYS, b"k-", False, UnknownCaller()),
            (KEYS, b"", True, PublicCaller()),
            (KEYS, b"k-", True, PublicCaller()),
            (KeyTable(), b"k-red", False, UnknownCaller()),
        ],
    )
    def test_key_and_route_decide(self, keys, key, is_public, caller):
        """Guards against serving callers without a key, and refusing others."""
        assert identify_caller(keys, key, is_public) == caller

    def test_no_text_of_a_table_contains_a_key(self):
        """Guards against keys in log lines and traces."""
        assert "k-red" not in f"{KEYS!r} {KEYS} {vars(KEYS)}"


class TestJobs:
    """Pattern: callers ask for jobs of their own team, of others and of none."""

    @pytest.mark.parametrize(
        ("caller", "team", "is_in_queue", "allowed"),
        [
            (Unrestricted(), "red", False, True),
            (TeamCaller("red"), "red", False, True),
            (TeamCaller("red"), "blue", True, False),
            (TeamCaller("red"), "", False, True),
            (PublicCaller(), "", False, True),
            (PublicCaller(), "red", True, True),
            (PublicCaller(), "red", False, False),
            (UnknownCaller(), "", True, False),
        ],
    )
    def test_team_of_the_job_decides(self, caller, team, is_in_queue, allowed):
        """Guards against showing jobs to other teams."""
        assert may_use_job(caller, team, is_in_queue) == allowed
