"""Tests of the quota shares of shards."""

from arbutusladder.configstore import ConfigState
from arbutusladder.declarations import Amount, Team
from arbutusladder.localshard import shard_teams


class TestQuotaShares:
    """Guards against a team that gets its whole quota in every shard."""

    def test_shares_add_up_to_the_quota(self):
        team = Team(name="signs", quota=Amount(cpu=96, memory_mb=3000, accelerators=6))
        share = shard_teams(ConfigState(team_by_name={"signs": team}), 3)["signs"].quota
        assert (share.cpu, share.memory_mb, share.accelerators) == (32, 1000, 2)

    def test_small_limit_does_not_become_unlimited(self):
        team = Team(name="signs", quota=Amount(cpu=1, accelerators=1))
        share = shard_teams(ConfigState(team_by_name={"signs": team}), 8)["signs"].quota
        assert share.accelerators == 1
