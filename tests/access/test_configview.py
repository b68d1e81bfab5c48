"""Tests of the view of the configuration: its proof, its states and its limits."""

import pytest

from arbutusladder.access.callers import KeyTable
from arbutusladder.access.configview import ConfigView, ViewState
from arbutusladder.messages import Resources, TeamTerms
from arbutusladder.platform.routes import RoutingTable

LIMIT_S = 2.0
NOW = 1000.0


def config(version, **cap_by_team):
    """Returns a version with the caps of its teams in cores."""
    terms = {t: TeamTerms(t, 1.0, Resources(cap)) for t, cap in cap_by_team.items()}
    return RoutingTable(version, {}, KeyTable(), terms)


def proven_view(*configs):
    """Returns a view that has read versions, the newest of which is proven."""
    view = ConfigView(LIMIT_S)
    for row in configs:
        view.apply(row, NOW)
    view.prove(NOW)
    return view


class TestVersion:
    """Pattern: records of the configuration are read late, or again."""

    def test_version_never_reverts(self):
        """Guards against an older version after the history was read again."""
        view = proven_view(config(5))
        assert not view.apply(config(4), NOW)
        assert not view.apply(config(5), NOW)
        assert view.version == 5

    def test_proof_never_gets_older(self):
        """Guards against an answer that arrives after a newer one."""
        view = proven_view(config(5))
        view.prove(NOW - 1.0)
        assert view.proof_age_s(NOW) == 0.0


class TestState:
    """Pattern: the proof gets old, or another entry VM knows a newer version."""

    def test_old_proof_is_no_proof(self):
        """Guards against deciding by keys that were removed during a pause."""
        view = proven_view(config(1))
        assert view.state(NOW + view.validity_s) is ViewState.IN_FORCE
        assert view.state(NOW + LIMIT_S) is ViewState.UNKNOWN
        assert not view.may_serve(NOW + LIMIT_S)

    def test_announced_version_outdates_the_view_at_once(self):
        """Guards against two entry VMs that decide by different versions for long."""
        view = proven_view(config(1))
        assert view.announce(2, NOW + 0.5)
        assert view.state(NOW + 0.5) is ViewState.APPLYING
        view.prove(NOW + 0.4)
        assert view.state(NOW + 0.5) is ViewState.APPLYING
        view.apply(config(2), NOW + 0.6)
        assert view.state(NOW + 0.6) is ViewState.IN_FORCE
        assert not view.announce(2, NOW + 0.7)

    def test_announced_version_that_cannot_be_read_is_given_up(self):
        """Guards against refusing calls for good; heartbeats repeat the version."""
        view = proven_view(config(1))
        view.announce(2, NOW)
        view.prove(NOW + 0.1)
        assert not view.announce(2, NOW + 0.2)
        assert view.state(NOW + 0.2) is ViewState.IN_FORCE

    def test_configuration_without_teams_serves_without_proof(self):
        """Guards against new refusals where callers need no keys."""
        view = ConfigView(LIMIT_S)
        assert not view.may_serve(NOW)
        view.apply(RoutingTable(1), NOW)
        view.announce(2, NOW)
        assert view.may_serve(NOW + 100.0)


class TestLimits:
    """Pattern: caps change while entry VMs may still apply the previous version."""

    def cap(self, view, team, now):
        """Returns the cap of a team in cores."""
        return view.team_limits(now).terms_by_name[team].cap.cpu

    @pytest.mark.parametrize(
        ("previous", "newest", "lowest"), [(5, 9, 5), (9, 5, 5), (0, 5, 5), (5, 0, 5)]
    )
    def test_lowest_cap_counts_until_the_limit(self, previous, newest, lowest):
        """Guards against starts above the cap of one of two versions."""
        view = proven_view(config(1, red=previous))
        view.apply(config(2, red=newest), NOW + 1.0)
        assert self.cap(view, "red", NOW + 1.0) == lowest
        assert self.cap(view, "red", NOW + 2.9) == lowest
        assert self.cap(view, "red", NOW + 3.0) == newest

    def test_versions_of_one_read_all_count(self):
        """Guards against ignoring a version that was in force for a moment."""
        view = proven_view(config(1, red=9), config(2, red=3), config(3, red=9))
        assert self.cap(view, "red", NOW + 1.0) == 3

    def test_removed_team_keeps_its_cap_until_the_limit(self):
        """Guards against starts without a cap while the removal is applied."""
        view = proven_view(config(1, red=3, blue=4), config(2, blue=4))
        assert self.cap(view, "red", NOW + 1.0) == 3
        assert list(view.team_limits(NOW + 2.0).terms_by_name) == ["blue"]

    def test_limits_are_the_same_object_until_they_change(self):
        """Guards against new limits in each round of decisions."""
        view = proven_view(config(1, red=3))
        assert view.team_limits(NOW) is view.team_limits(NOW + 5.0)
