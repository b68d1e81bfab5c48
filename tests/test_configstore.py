"""Tests of the configuration store, also with concurrent operators over HTTP."""

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

BASE_DECLARATIONS = {
    "teams": [{"name": "bookings", "quota": {"cpu": 10}}],
    "presets": [{"name": "ordinary"}, {"name": "peak"}],
    "active_preset": "ordinary",
}


def make_change_set(base, author="ann", **declared):
    """Returns a change set; the keyword arguments are fields of Declarations."""
    return ChangeSet(base, author, msgspec.convert(declared, Declarations))


def build_store(*changes):
    """Returns a store with change sets applied, whose records are r0, r1 and so on."""
    store = ConfigStore()
    for offset, change_set in enumerate(changes):
        store.apply_record(offset, f"r{offset}", change_set)
    return store


class TestChangeSets:
    """Guards against lost updates and partly applied change sets."""

    def test_rejection_contains_winner_and_revision(self):
        store = build_store(
            make_change_set(0, "ann", **BASE_DECLARATIONS),
            make_change_set(1, "bea", active_preset="peak"),
            make_change_set(1, "cem", active_preset="ordinary"),
        )
        rejected = store.find_result("r2")
        assert isinstance(rejected, Rejected)
        assert (rejected.reason, rejected.winner, rejected.revision) == (
            Reason.STALE_BASE,
            "bea",
            2,
        )
        assert "merge and publish again" in rejected.problems[0]
        assert store.find_result("r1") == Accepted(2, "bea")
        assert store.state.active_preset == "peak"

    def test_one_broken_reference_rejects_the_change_set(self):
        batch = {"kind": "batch", "name": "residual", "team": "nobody"}
        store = build_store(
            make_change_set(0, **BASE_DECLARATIONS),
            make_change_set(1, active_preset="peak", workloads=[batch]),
        )
        rejected = store.find_result("r1")
        assert rejected.reason is Reason.INVALID_DECLARATION
        assert "'nobody' does not exist" in rejected.problems[0]
        assert (store.revision, store.state.active_preset) == (1, "ordinary")

    def test_removal_of_a_used_object_is_rejected(self):
        batch = {"kind": "batch", "name": "residual", "team": "bookings"}
        store = build_store(
            make_change_set(0, workloads=[batch], **BASE_DECLARATIONS),
            make_change_set(1, remove=["team/bookings"]),
            make_change_set(1, remove=["preset/ordinary"]),
            make_change_set(1, remove=["preset/none"]),
            make_change_set(1, remove=["workload/residual", "team/bookings"]),
        )
        results = [store.find_result(f"r{number}") for number in (1, 2, 3)]
        assert all(isinstance(result, Rejected) for result in results)
        assert isinstance(store.find_result("r4"), Accepted)
        assert store.state.team_by_name == {}

    def test_name_declared_twice_is_rejected(self):
        team = {"name": "bookings", "quota": {}}
        store = build_store(make_change_set(0, teams=[team, team]))
        assert "declared twice" in store.find_result("r0").problems[0]


class TestRevisions:
    """Guards against revisions that decrease or skip change sets."""

    def test_older_offer_is_ignored(self):
        old = build_store(make_change_set(0, **BASE_DECLARATIONS))
        new = build_store(
            make_change_set(0, **BASE_DECLARATIONS),
            make_change_set(1, active_preset="peak"),
        )
        assert not new.adopt_offer(*old.encode_offer())
        assert old.adopt_offer(*new.encode_offer())
        assert old.state == new.state

    def test_records_covered_by_an_offer_are_not_applied_again(self):
        records = [
            make_change_set(0, **BASE_DECLARATIONS),
            make_change_set(1, active_preset="peak"),
        ]
        node = ConfigStore()
        node.adopt_offer(*build_store(*records).encode_offer())
        for offset, record in enumerate(records):
            assert not node.apply_record(offset, f"r{offset}", record)
        assert node.revision == 2

    def test_records_after_a_gap_are_deferred_until_a_snapshot(self):
        writer = build_store(
            make_change_set(0, **BASE_DECLARATIONS),
            make_change_set(1, active_preset="peak"),
        )
        node = build_store(make_change_set(0, **BASE_DECLARATIONS))
        node.mark_missed(start=2)
        node.apply_record(2, "r2", make_change_set(2, active_preset="ordinary"))
        assert (node.revision, node.is_complete) == (1, False)
        assert node.apply_record(3, "s", writer.snapshot())
        assert (node.revision, node.is_complete) == (3, True)
        assert isinstance(node.find_result("r2"), Accepted)

    def test_snapshot_that_leaves_a_gap_is_ignored(self):
        node = ConfigStore()
        node.mark_missed(start=5)
        assert not node.apply_record(
            5, "s", build_store(make_change_set(0, **BASE_DECLARATIONS)).snapshot()
        )
        assert not node.is_complete

    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=12),
        st.integers(0, 12),
    )
    def test_node_that_reads_later_reaches_the_same_state(self, plan, start):
        complete_store, records = ConfigStore(), []
        for base, is_snapshot in [(0, False), *plan, (0, True)]:
            if is_snapshot:
                record = complete_store.snapshot()
            else:
                record = make_change_set(base, f"op{len(records)}", **BASE_DECLARATIONS)
            records.append(record)
            complete_store.apply_record(len(records) - 1, f"r{len(records)}", record)
        start = min(start, len(records) - 1)
        late_store = ConfigStore()
        if start:
            late_store.mark_missed(start)
        revisions = [0]
        for offset in range(start, len(records)):
            late_store.apply_record(offset, f"r{offset + 1}", records[offset])
            revisions.append(late_store.revision)
        assert revisions == sorted(revisions)
        assert (late_store.state, late_store.is_complete) == (
            complete_store.state,
            True,
        )


class ConfigNode:
    """A node that publishes change sets and applies records of the log service."""

    def __init__(self, client):
        self.store = ConfigStore()
        self.appender = Appender(client, "config")
        self.tailer = Tailer(client, "config", self.apply_batch)

    async def apply_batch(self, batch):
        if batch.lost:
            self.store.mark_missed(batch.start)
        for record in batch.records:
            message = decode_body(record.body, CONFIG_TYPES)
            self.store.apply_record(record.offset, record.id, message)

    async def publish(self, change_set):
        pending = await self.appender.append(encode_body(change_set))
        while self.store.find_result(pending.record.id) is None:
            await curio.sleep(0.01)
        return self.store.find_result(pending.record.id)


class TestConcurrentOperators:
    """Guards against accepting the change sets of two operators with the same base."""

    def test_nodes_accept_the_same_change_set_despite_lost_responses(self):
        async def scenario(log, client):
            nodes = [ConfigNode(client), ConfigNode(client)]
            tasks = [await curio.spawn(node.tailer.run) for node in nodes]
            tasks += [await curio.spawn(node.appender.run) for node in nodes]
            await nodes[0].publish(make_change_set(0, "ann", **BASE_DECLARATIONS))
            log.faults.lose_replies = 2
            publications = [
                await curio.spawn(
                    node.publish, make_change_set(1, name, active_preset="peak")
                )
                for node, name in zip(nodes, ("bea", "cem"), strict=True)
            ]
            results = [await task.join() for task in publications]
            while any(node.store.offset < 2 for node in nodes):
                await curio.sleep(0.01)
            for task in tasks:
                await task.cancel()
            return results, [node.store.state for node in nodes]

        results, states = run_with_log(scenario)
        [accepted] = [result for result in results if isinstance(result, Accepted)]
        [rejected] = [result for result in results if isinstance(result, Rejected)]
        assert (rejected.winner, rejected.revision) == (accepted.author, 2)
        assert states[0] == states[1]
        assert states[0].author == accepted.author
