"""Tests of the ownership state machine with scripted inputs."""

from arbutusladder.membership import Membership
from arbutusladder.messages import ClaimRecord, ClaimRef, Heartbeat, HeartbeatAck
from arbutusladder.ownership import (
    AppendClaim,
    BecomeOwner,
    Ownership,
    OwnershipTiming,
    RelinquishShard,
    SendHandover,
    StartRebuild,
)
from arbutusladder.promises import Holder, PromiseTable
from arbutusladder.settings import Seat
from arbutusladder.states import EntryState, Reason, ShardState

SHARD = "d0-0"
SEATS = [Seat(name=n, address="", region="r", failure_domain="d0") for n in "abc"]
STEP_S = 0.1


class Driver:
    """Drives the ownership of seat ``a``; seats ``b`` and ``c`` are scripted."""

    def __init__(self, live="abc", answers="abc"):
        self.now = 100.0
        self.live, self.answers = live, answers
        self.actions = []
        self.asked = []
        self.sequence = 0
        self.members = Membership(SEATS, "r", "a", 3.0)
        self.book = PromiseTable(0.0, 3.0)
        self.ownership = Ownership(
            Holder("a", 1),
            {SHARD: "d0"},
            self.members,
            self.book,
            OwnershipTiming(),
            self.now,
        )
        self.ownership.set_active(True, self.now)
        self.ownership.set_log_available(True, self.now)
        self.ownership.mark_caught_up(self.now)

    def run(self, seconds, until=None):
        """Runs until a kind of action; heartbeats are answered at once."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.take(self.ownership.tick(self.now))
            self.beat()
            if until and self.find(until):
                return self.find(until)[-1]
        return None

    def beat(self):
        self.sequence += 1
        asked = self.ownership.prepare_heartbeat(self.sequence, self.now)
        self.asked = asked
        for seat in self.live:
            claims = asked.claims if seat == "a" else []
            self.hear(seat, claims=claims)
        refs = asked.claims + asked.probes
        for seat in self.answers:
            ack = HeartbeatAck(seat, 1, self.sequence, 0, refs)
            self.take(self.ownership.handle_heartbeat_ack(ack, self.now))

    def hear(self, seat, **fields):
        heartbeat = Heartbeat(
            seat, seat, 1, self.sequence, EntryState.READY, 0, **fields
        )
        if self.members.record_heartbeat(heartbeat, self.now):
            self.take(self.ownership.handle_heartbeat(heartbeat, self.now))

    def read(self, *claim, **options):
        record = ClaimRecord(SHARD, *claim, **options)
        self.take(self.ownership.handle_claim(record, self.now))

    def take(self, actions):
        self.actions += actions

    def find(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def own(self):
        """Lets seat ``a`` become the owner."""
        claim = self.run(10, until=AppendClaim).claim
        self.read(claim.epoch, "a", 1)
        rebuild = self.run(5, until=StartRebuild)
        self.take(self.ownership.finish_rebuild(SHARD, rebuild.epoch, self.now))
        self.actions.clear()
        return claim.epoch


class TestTakeover:
    """Guards against claims too early, and acting before all steps are done."""

    def test_claims_after_the_silence_and_its_rank(self):
        driver = Driver()
        driver.run(10, until=AppendClaim)
        rank = driver.members.ranked_seats(SHARD, "d0", driver.now).index("a")
        waited = driver.now - 100.0
        assert 3.0 + 0.3 * rank <= waited < 3.3 + 0.3 * rank + STEP_S

    def test_steps_in_order(self):
        driver = Driver()
        assert driver.own() == 1
        assert driver.ownership.state(SHARD) is ShardState.OWNED
        assert driver.ownership.is_valid(SHARD, driver.now)

    def test_lost_claim_is_not_taken_up(self):
        driver = Driver()
        driver.run(10, until=AppendClaim)
        driver.read(1, "b", 1)
        driver.read(1, "a", 1)
        driver.run(2)
        assert not driver.find(StartRebuild)
        assert driver.ownership.state(SHARD) is ShardState.FOLLOWING

    def test_without_majority_there_is_no_claim(self):
        driver = Driver(live="a", answers="a")
        assert driver.run(20, until=AppendClaim) is None

    def test_live_owner_is_not_claimed_over(self):
        driver = Driver()
        driver.read(1, "b", 1)
        for _ in range(100):
            driver.run(STEP_S)
            driver.sequence += 1
            driver.hear("b", claims=[ClaimRef(SHARD, 1)])
        assert not driver.find(AppendClaim)

    def test_claim_read_while_catching_up_is_not_won(self):
        driver = Driver()
        driver.run(10, until=AppendClaim)
        driver.ownership.handle_position_lost(driver.now)
        driver.read(1, "a", 1)
        driver.take(driver.ownership.mark_caught_up(driver.now))
        driver.run(2)
        assert not driver.find(StartRebuild)

    def test_log_outage_ends_claims(self):
        driver = Driver()
        driver.ownership.set_log_available(False, driver.now)
        assert driver.run(10, until=AppendClaim) is None


class TestOwner:
    """Guards against an owner that acts on after its promises or epoch ended."""

    def test_stays_owner_while_the_log_is_down(self):
        driver = Driver()
        driver.own()
        driver.ownership.set_log_available(False, driver.now)
        driver.run(60)
        assert driver.ownership.is_valid(SHARD, driver.now)

    def test_gives_up_without_a_majority(self):
        driver = Driver()
        driver.own()
        driver.answers = "a"
        assert driver.run(5, until=RelinquishShard).reason is Reason.OWNERSHIP_EXPIRED

    def test_lost_epoch_is_not_taken_up_again(self):
        driver = Driver()
        epoch = driver.own()
        driver.answers = "a"
        driver.run(5, until=RelinquishShard)
        driver.answers = "abc"
        assert driver.run(10, until=AppendClaim).claim.epoch == epoch + 1
        assert not driver.find(StartRebuild)

    def test_gives_up_at_a_later_epoch_without_release(self):
        driver = Driver()
        epoch = driver.own()
        driver.read(epoch + 1, "b", 1)
        driver.run(STEP_S)
        assert driver.find(RelinquishShard)[0].reason is Reason.NOT_OWNER
        assert driver.asked.claims == []
        assert driver.asked.released == []

    def test_pause_ends_all_validity(self):
        driver = Driver()
        driver.own()
        driver.now += 5.0
        driver.take(driver.ownership.paused(driver.now))
        assert driver.find(RelinquishShard)
        assert not driver.ownership.is_valid(SHARD, driver.now)

    def test_late_own_claim_waits_for_own_late_starts(self):
        driver = Driver()
        epoch = driver.own()
        until = driver.ownership._shard_by_id[SHARD].validity.valid_until()
        driver.take(driver.ownership.paused(driver.now))
        driver.read(epoch + 1, "a", 1)
        driver.run(10, until=StartRebuild)
        assert driver.now >= until


class TestHandover:
    """Guards against two owners in a handover, and shards that move too often."""

    def test_drain_appends_a_claim_for_the_successor_and_goes_on(self):
        driver = Driver()
        epoch = driver.own()
        driver.take(driver.ownership.start_drain(driver.now))
        claim = driver.find(AppendClaim)[0].claim
        assert (claim.epoch, claim.handover) == (epoch + 1, True)
        assert claim.holder != "a"
        assert driver.ownership.is_valid(SHARD, driver.now)

    def test_transfer_ends_validity_and_releases_after_the_answer(self):
        driver = Driver()
        epoch = driver.own()
        driver.take(driver.ownership.start_drain(driver.now))
        driver.read(epoch + 1, "b", 1, handover=True)
        assert driver.find(SendHandover)[0].successor == "b"
        assert not driver.ownership.is_valid(SHARD, driver.now)
        driver.beat()
        assert driver.asked.released == []
        driver.take(driver.ownership.complete_handover(SHARD, driver.now))
        driver.beat()
        assert driver.asked.released == [ClaimRef(SHARD, epoch)]

    def test_silent_successor_ends_the_transfer_without_release(self):
        driver = Driver()
        epoch = driver.own()
        driver.take(driver.ownership.start_drain(driver.now))
        driver.read(epoch + 1, "b", 1, handover=True)
        while not driver.find(RelinquishShard):
            assert driver.asked.released == []
            driver.run(STEP_S)
        assert not driver.ownership.is_valid(SHARD, driver.now)

    def test_epoch_of_a_fence_is_never_claimed_again(self):
        driver = Driver()
        driver.ownership.observe_fenced_epoch(SHARD, 7)
        assert driver.run(10, until=AppendClaim).claim.epoch == 8

    def test_successor_adopts_the_state(self):
        driver = Driver()
        driver.read(1, "b", 1)
        driver.read(2, "a", 1, handover=True)
        assert driver.ownership.accept_handover(SHARD, 2)
        rebuild = driver.run(5, until=StartRebuild)
        assert (rebuild.epoch, rebuild.adopted) == (2, True)
        driver.take(driver.ownership.finish_rebuild(SHARD, 2, driver.now))
        assert driver.find(BecomeOwner)
        assert not driver.ownership.accept_handover(SHARD, 2)

    def test_preferred_seat_gets_the_shard_after_30_s(self):
        driver = Driver(live="a")
        driver.own()
        preferred = Membership(SEATS, "r", "a", 3.0)
        for seat in "abc":
            preferred.record_heartbeat(
                Heartbeat(seat, seat, 1, 1, EntryState.READY, 0), 0.0
            )
        first = preferred.ranked_seats(SHARD, "d0", 1.0)[0]
        assert first != "a"
        driver.live = "abc"
        back_at = driver.now
        claim = driver.run(60, until=AppendClaim).claim
        assert claim.holder == first
        assert 30.0 <= driver.now - back_at < 31.0
