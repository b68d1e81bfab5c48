"""Tests that the checks of teams in the fault soak notice what they look for."""

import random
import time
from collections import Counter
from dataclasses import replace

import curio
import pytest

from tests.platform.fakes import FakeStore
from tests.platform.soak import SoakRun, make_plan
from tests.platform.soakteams import (
    APPLY_MS,
    TEAMS,
    SoakJob,
    SoakTeams,
    count_outcomes,
)
from tests.platform.soakworkers import RuleChecker, RunEnd
from tests.platform.test_soakworkers import FIRST, JOB, make_workers, rules, run

APPLY_S = APPLY_MS / 1000
LASTING, ADDED = "red-0", "red-1"


@pytest.fixture
def teams():
    """Teams whose version 2 adds a key and lowers the cap of a team; 3 reverts it."""
    teams = SoakTeams(FakeStore(), RuleChecker(), TEAMS)
    teams.store_first(["127.0.0.1"])
    teams._keys_by_team["red"].append(ADDED)
    teams._cap_by_team["red"] = 1
    curio.run(teams.store)
    teams._keys_by_team["red"].remove(ADDED)
    teams._cap_by_team["red"] = 2
    curio.run(teams.store)
    return teams


def set_ages(teams, *ages_s):
    """Sets how long ago the versions were acknowledged."""
    now = time.monotonic()
    teams.versions = [
        replace(version, acknowledged_at=now - age_s)
        for version, age_s in zip(teams.versions, ages_s, strict=True)
    ]


class TestKeys:
    """Responses to keys, with the versions that may be in force."""

    # Ages of the versions 1 to 3: the third is in force, or the second still may be.
    SETTLED, RECENT = (60.0, 50.0, APPLY_S + 1.0), (60.0, 50.0, APPLY_S - 1.0)
    SECOND_MAY_NOT_BE_APPLIED = (60.0, APPLY_S - 1.0, APPLY_S - 2.0)

    @pytest.mark.parametrize(
        ("ages_s", "key", "status", "broken"),
        [
            (SETTLED, LASTING, 200, []),
            (SETTLED, LASTING, 401, ["KEY"]),
            (SETTLED, LASTING, 503, []),
            (SETTLED, LASTING, 409, ["KEY"]),
            (SETTLED, ADDED, 200, ["KEY"]),
            (SETTLED, ADDED, 410, ["KEY"]),
            (SETTLED, ADDED, 401, []),
            (RECENT, ADDED, 200, []),
            (RECENT, ADDED, 401, []),
            (SECOND_MAY_NOT_BE_APPLIED, LASTING, 401, ["KEY"]),
            (SECOND_MAY_NOT_BE_APPLIED, ADDED, 401, []),
            (SETTLED, "stranger", 200, ["KEY"]),
            (SETTLED, "", 200, []),
        ],
    )
    def test_response(self, teams, ages_s, key, status, broken):
        """Guards against missing keys that are accepted or refused too late."""
        set_ages(teams, *ages_s)
        teams.check_answer(key, time.monotonic(), status, "place")
        assert rules(teams._checker) == broken

    def test_refused_added_key(self, teams):
        """Guards against missing an added key that no entry VM learns."""
        set_ages(teams, 60.0, APPLY_S + 1.0, -60.0)
        teams.check_answer(ADDED, time.monotonic(), 401, "place")
        assert rules(teams._checker) == ["KEY"]

    def test_foreign_key_that_shows_a_job(self, tmp_path):
        """Guards against missing a job that another team reads or cancels."""
        soak = SoakRun([], 0, 1, tmp_path, teams=TEAMS)
        soak.jobs[JOB] = SoakJob("red", "/jobs/", 2, 1.0)
        keys = []

        async def send(method, job, key):
            keys.append(key)
            return 200, b""

        async def play():
            while not keys:
                await soak._use_foreign_key(JOB)

        soak._send = send
        curio.run(play)
        assert rules(soak.checker) == ["LEAK"] and not keys[0].startswith("red")


class TestCaps:
    """Starts beyond the cap of a team."""

    @pytest.mark.parametrize("late", [True, False])
    @pytest.mark.parametrize(("cap", "broken"), [(1, ["CAP"]), (2, [])])
    def test_runs_of_all_workers_count(self, cap, broken, late):
        """Guards against missing runs on other workers, and late orders."""
        checker, (worker, other) = make_workers()
        checker.team_by_job[JOB] = "red"
        checker.highest_cap = lambda team, ordered_at: cap
        run(other, f"{JOB}.0.0.1")
        checker.check_start(worker, FIRST, 1, late)
        assert rules(checker) == broken

    @pytest.mark.parametrize(("cap", "broken"), [(5, ["CAP"]), (6, [])])
    def test_cores_of_tasks_count(self, cap, broken):
        """Guards against tasks of several cores that count as one."""
        checker, (worker, other) = make_workers()
        checker.team_by_job[JOB], checker.cores_by_job[JOB] = "red", 3
        checker.highest_cap = lambda team, ordered_at: cap
        run(other, f"{JOB}.0.0.1")
        checker.check_start(worker, FIRST, 1, False)
        assert rules(checker) == broken

    def test_highest_cap_that_may_be_in_force(self, teams):
        """Guards against caps that count too long, or too short after a change."""
        now = time.monotonic()
        set_ages(teams, 60.0, APPLY_S + 1.0, APPLY_S + 0.5)
        assert teams.highest_cap("red", now) == 2
        assert teams.highest_cap("red", now - 2.0) == TEAMS["red"].cap
        assert teams.highest_cap("stranger", now) == 0


class TestOutcomes:
    """What callers see, and plans."""

    def test_outcomes(self):
        """Guards against a summary that hides late or unanswered jobs."""
        checker, (worker, _) = make_workers()
        now = time.monotonic()
        expected = {"in time": 2.0, "late": 4.0, "too late": 10.0}
        jobs = {}
        for number, (outcome, age_s) in enumerate(expected.items()):
            jobs[outcome] = SoakJob("red", "/jobs/", 2, 1.0, now - age_s, {503, 200})
            checker.shown_by_job[outcome] = ("completed", now)
            end = RunEnd(worker, 1, number, now)
            checker.done_by_task[f"{outcome}.0.0.0"] = [end]
        for outcome, statuses in {"refused": {503}, "unanswered": {503, 0}}.items():
            jobs[outcome] = SoakJob("red", "/jobs/", 2, 1.0, now, statuses)
        outcomes = count_outcomes(jobs, checker)
        assert outcomes == {("red", 2): Counter(jobs.keys())}

    def test_plan_without_teams_stays(self):
        """Guards against seeds whose other faults change with teams."""
        plan, plain = make_plan(3, 30.0, teams=True), make_plan(3, 30.0)
        kinds = {"new_keys", "new_caps", "flood"}
        assert [fault for fault in plan if fault.kind not in kinds] == plain
        assert {fault.kind for fault in plan} > kinds

    def test_keys_change(self, teams):
        """Guards against a team without its lasting key, or keys of nobody."""
        draw = random.Random(1)
        for _ in range(50):
            teams.change_key(draw)
        for name, keys in teams._keys_by_team.items():
            assert keys[0] == f"{name}-0" and len(set(keys)) == len(keys)
