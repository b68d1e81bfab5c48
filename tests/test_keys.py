"""Tests of the table of idempotency keys."""

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusladder.httpclient import HttpResponse
from arbutusladder.keys import KeyTable, Refuse, Replay, Run, Wait, creation_time
from arbutusladder.messages import KeyEntry
from arbutusladder.states import KeyState, Outcome, Reason
from tests.test_shardrequests import new_key

NOW = 1_700_000_000.0
OPTIONS = {"window": 600, "skew": 0.25, "max_keys": 3, "max_bytes": 300}
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "finish", "lose", "forget", "hand over", "step"]),
        st.integers(0, 4),
    ),
    max_size=40,
)


def new_table(**options):
    return KeyTable(**{**OPTIONS, **options})


def refuse_unknown(reason):
    return Refuse(Outcome.UNKNOWN, reason)


def refuse_not_run(reason):
    return Refuse(Outcome.NOT_RUN, reason)


class TestCreationTime:
    """Guards against accepting keys that contain no creation time."""

    def test_key_contains_its_creation_time(self):
        assert creation_time(new_key(NOW)) == NOW

    def test_other_text_is_malformed(self):
        version_4 = "9b2f1c1e-54a3-4f6e-8c5e-0242ac130003"
        braces = "{" + new_key(NOW) + "}"
        for text in ("x", version_4, braces, new_key(NOW).replace("-", "")):
            assert new_table().begin(text, NOW) == refuse_not_run(Reason.KEY_MALFORMED)
        assert new_table().begin("", NOW) == refuse_not_run(Reason.KEY_MISSING)


class TestSingleExecution:
    """Guards against running the request of a key twice."""

    def test_second_request_waits_then_gets_the_answer(self):
        table, key = new_table(), new_key(NOW)
        assert table.begin(key, NOW) == Run()
        assert table.begin(key.upper(), NOW) == Wait()
        answer = HttpResponse(201, [], b"quote")
        table.record_answer(key, answer, NOW)
        assert table.begin(key, NOW) == Replay(answer)

    def test_other_request_with_the_key_does_not_get_the_answer(self):
        table, key = new_table(), new_key(NOW)
        table.begin(key, NOW, 1)
        table.record_answer(key, HttpResponse(200), NOW)
        assert table.begin(key, NOW, 2) == refuse_not_run(Reason.KEY_REUSED)

    def test_unknown_outcome_stays_and_removed_key_may_run(self):
        table, key = new_table(), new_key(NOW)
        table.begin(key, NOW)
        table.mark_unknown(key, NOW)
        table.remove_not_run(key, NOW)
        assert table.begin(key, NOW) == refuse_unknown(Reason.KEY_OUTCOME_UNKNOWN)
        other = new_key(NOW, 1)
        table.begin(other, NOW)
        table.remove_not_run(other, NOW)
        assert table.begin(other, NOW) == Run()

    def test_expired_and_future_keys_are_refused(self):
        table = new_table()
        old, future = new_key(NOW - 600), new_key(NOW + 0.3)
        assert table.begin(old, NOW) == refuse_unknown(Reason.KEY_EXPIRED)
        assert table.begin(future, NOW) == refuse_not_run(Reason.KEY_FROM_FUTURE)
        assert table.begin(new_key(NOW + 0.2), NOW) == Run()

    def test_key_stays_expired_when_the_clock_steps_back(self):
        table, key = new_table(), new_key(NOW)
        table.begin(key, NOW)
        table.begin(new_key(NOW + 601), NOW + 601)
        assert table.begin(key, NOW + 1) == refuse_unknown(Reason.KEY_EXPIRED)


class TestTakeover:
    """Guards against running a key again that a predecessor ran."""

    def test_keys_from_before_the_takeover_are_unknown(self):
        table = new_table()
        table.start_after_takeover(NOW)
        reason = refuse_unknown(Reason.KEY_BEFORE_TAKEOVER)
        assert table.begin(new_key(NOW - 1), NOW + 1) == reason
        assert table.begin(new_key(NOW + 0.5), NOW + 1) == reason
        assert table.begin(new_key(NOW + 0.6), NOW + 1) == Run()

    def test_handed_over_answers_are_replayed(self):
        previous_table = new_table()
        previous_table.begin(new_key(NOW), NOW, 7)
        previous_table.record_answer(new_key(NOW), HttpResponse(200, [], b"a"), NOW)
        previous_table.begin(new_key(NOW, 1), NOW)
        next_table = KeyTable.adopt(previous_table.export(), **OPTIONS)
        assert next_table.begin(new_key(NOW), NOW, 7) == Replay(
            HttpResponse(200, [], b"a")
        )
        reason = refuse_unknown(Reason.KEY_OUTCOME_UNKNOWN)
        assert next_table.begin(new_key(NOW, 1), NOW) == reason
        assert next_table.begin(new_key(NOW, 2), NOW) == Run()

    def test_own_entries_take_precedence_over_merged_ones(self):
        table, key = new_table(), new_key(NOW)
        table.begin(key, NOW)
        table.merge([KeyEntry(key, KeyState.UNKNOWN, NOW)])
        assert table.begin(key, NOW) == Wait()


class TestBounds:
    """Guards against a table that grows without bound."""

    def test_full_table_refuses_until_keys_expire(self):
        table = new_table()
        for number in range(3):
            table.begin(new_key(NOW, number), NOW)
        table_full = refuse_not_run(Reason.KEY_TABLE_FULL)
        assert table.begin(new_key(NOW + 1), NOW + 1) == table_full
        assert table.begin(new_key(NOW + 600), NOW + 600) == Run()
        assert len(table) == 1

    def test_oldest_answers_are_dropped_but_their_keys_not_run_again(self):
        table = new_table()
        for number in range(3):
            table.begin(new_key(NOW, number), NOW)
            table.record_answer(
                new_key(NOW, number), HttpResponse(200, [], b"x" * 60), NOW
            )
        assert table.stored_answer_bytes <= 300
        assert table.begin(new_key(NOW), NOW) == refuse_unknown(Reason.ANSWER_NOT_KEPT)
        assert isinstance(table.begin(new_key(NOW, 2), NOW), Replay)
        adopted = KeyTable.adopt(table.export(), **OPTIONS)
        assert isinstance(adopted.begin(new_key(NOW), NOW), Refuse)

    @settings(derandomize=True)
    @given(EVENTS)
    def test_no_key_runs_twice_unless_proved_not_run(self, events):
        table, now, may_have_run = new_table(max_bytes=80), NOW, set()
        for action, number in events:
            key = new_key(NOW, number)
            if action == "begin" and table.begin(key, now) == Run():
                assert key not in may_have_run
                may_have_run.add(key)
            elif action == "finish":
                table.record_answer(key, HttpResponse(200, [], b"y" * 9), now)
            elif action == "lose":
                table.mark_unknown(key, now)
            elif action == "forget":
                running = {e.key for e in table.export() if e.state.value == "running"}
                table.remove_not_run(key, now)
                may_have_run -= running & {key}
            elif action == "hand over":
                table = KeyTable.adopt(table.export(), **OPTIONS)
            elif action == "step":
                now += 200 * number
            assert len(table) <= 3
