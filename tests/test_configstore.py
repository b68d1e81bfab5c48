"""Tests of the configuration fold, also with racing operators over HTTP."""

import curio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.appender import Appender
from arbutusladder.configstore import (
    CONFIG_TYPES,
    Accepted,
    ChangeSet,
    ConfigStore,
    Rejected,
)
from arbutusladder.declarations import Declarations
from arbutusladder.logclient import decode_body, encode_body
from arbutusladder.states import Reason
from arbutusladder.tailer import Tailer
from tests.helpers_log import run_with_log

BASE = {
    "teams": [{"name": "bookings", "quota": {"cpu": 10}}],
    "presets": [{"name": "ordinary"}, {"name": "peak"}],
    "active_preset": "ordinary",
}


def change(base, author="ann", **declared):
    return ChangeSet(base, author, msgspec.convert(declared, Declarations))


def store_with(*changes):
    store = ConfigStore()
    for offset, one in enumerate(changes):
        store.fold(offset, f"r{offset}", one)
    return store


class TestChangeSets:
    """Guards against lost updates and half-applied change sets."""

    def test_loser_learns_winner_and_revision(self):
        store = store_with(
            change(0, "ann", **BASE),
            change(1, "bea", active_preset="peak"),
            change(1, "cem", active_preset="ordinary"),
        )
        lost = store.result("r2")
        assert isinstance(lost, Rejected)
        assert (lost.reason, lost.winner, lost.revision) == (
            Reason.STALE_BASE,
            "bea",
            2,
        )
        assert "merge and publish again" in lost.problems[0]
        assert store.result("r1") == Accepted(2, "bea")
        assert store.state.active_preset == "peak"

    def test_one_broken_reference_refuses_all(self):
        batch = {"kind": "batch", "name": "residual", "team": "nobody"}
        store = store_with(
            change(0, **BASE), change(1, active_preset="peak", workloads=[batch])
        )
        refused = store.result("r1")
        assert refused.reason is Reason.INVALID_DECLARATION
        assert "'nobody' does not exist" in refused.problems[0]
        assert (store.revision, store.state.active_preset) == (1, "ordinary")

    def test_removal_of_a_used_object_is_refused(self):
        batch = {"kind": "batch", "name": "residual", "team": "bookings"}
        store = store_with(
            change(0, workloads=[batch], **BASE),
            change(1, remove=["team/bookings"]),
            change(1, remove=["preset/ordinary"]),
            change(1, remove=["preset/none"]),
            change(1, remove=["workload/residual", "team/bookings"]),
        )
        reasons = [store.result(f"r{number}") for number in (1, 2, 3)]
        assert all(isinstance(one, Rejected) for one in reasons)
        assert isinstance(store.result("r4"), Accepted)
        assert store.state.team_by_name == {}

    def test_name_declared_twice_is_refused(self):
        team = {"name": "bookings", "quota": {}}
        store = store_with(change(0, teams=[team, team]))
        assert "declared twice" in store.result("r0").problems[0]


class TestRevisions:
    """Guards against revisions that go down or skip changes."""

    def test_older_offer_changes_nothing(self):
        old = store_with(change(0, **BASE))
        new = store_with(change(0, **BASE), change(1, active_preset="peak"))
        assert not new.adopt_offer(*old.encode_offer())
        assert old.adopt_offer(*new.encode_offer())
        assert old.state == new.state

    def test_records_covered_by_an_offer_are_not_folded_again(self):
        records = [change(0, **BASE), change(1, active_preset="peak")]
        node = ConfigStore()
        node.adopt_offer(*store_with(*records).encode_offer())
        for offset, record in enumerate(records):
            assert not node.fold(offset, f"r{offset}", record)
        assert node.revision == 2

    def test_gap_waits_for_a_snapshot_that_covers_it(self):
        writer = store_with(change(0, **BASE), change(1, active_preset="peak"))
        node = store_with(change(0, **BASE))
        node.missed(start=2)
        node.fold(2, "r2", change(2, active_preset="ordinary"))
        assert (node.revision, node.is_complete) == (1, False)
        assert node.fold(3, "s", writer.snapshot())
        assert (node.revision, node.is_complete) == (3, True)
        assert isinstance(node.result("r2"), Accepted)

    def test_snapshot_that_leaves_a_gap_is_not_taken(self):
        node = ConfigStore()
        node.missed(start=5)
        assert not node.fold(5, "s", store_with(change(0, **BASE)).snapshot())
        assert not node.is_complete

    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=12),
        st.integers(0, 12),
    )
    def test_start_in_the_middle_ends_in_the_same_state(self, plan, start):
        whole, records = ConfigStore(), []
        for base, snapshot in [(0, False), *plan, (0, True)]:
            if snapshot:
                record = whole.snapshot()
            else:
                record = change(base, f"op{len(records)}", **BASE)
            records.append(record)
            whole.fold(len(records) - 1, f"r{len(records)}", record)
        start = min(start, len(records) - 1)
        late = ConfigStore()
        if start:
            late.missed(start)
        seen = [0]
        for offset in range(start, len(records)):
            late.fold(offset, f"r{offset + 1}", records[offset])
            seen.append(late.revision)
        assert seen == sorted(seen)
        assert (late.state, late.is_complete) == (whole.state, True)


class Node:
    """A node that publishes and folds through the log service."""

    def __init__(self, client):
        self.store = ConfigStore()
        self.appender = Appender(client, "config")
        self.tailer = Tailer(client, "config", self.take)

    async def take(self, batch):
        if batch.lost:
            self.store.missed(batch.start)
        for record in batch.records:
            message = decode_body(record.body, CONFIG_TYPES)
            self.store.fold(record.offset, record.id, message)

    async def publish(self, change_set):
        pending = await self.appender.append(encode_body(change_set))
        while self.store.result(pending.record.id) is None:
            await curio.sleep(0.01)
        return self.store.result(pending.record.id)


class TestRacingOperators:
    """Guards against two operators who both believe that they won."""

    def test_one_wins_on_every_node_although_replies_are_lost(self):
        async def scenario(log, client):
            nodes = [Node(client), Node(client)]
            tasks = [await curio.spawn(node.tailer.run) for node in nodes]
            tasks += [await curio.spawn(node.appender.run) for node in nodes]
            await nodes[0].publish(change(0, "ann", **BASE))
            log.faults.lose_replies = 2
            racing = [
                await curio.spawn(node.publish, change(1, name, active_preset="peak"))
                for node, name in zip(nodes, ("bea", "cem"), strict=True)
            ]
            results = [await task.join() for task in racing]
            while any(node.store.offset < 2 for node in nodes):
                await curio.sleep(0.01)
            for task in tasks:
                await task.cancel()
            return results, [node.store.state for node in nodes]

        results, states = run_with_log(scenario)
        [won] = [one for one in results if isinstance(one, Accepted)]
        [lost] = [one for one in results if isinstance(one, Rejected)]
        assert (lost.winner, lost.revision) == (won.author, 2)
        assert states[0] == states[1]
        assert states[0].author == won.author
