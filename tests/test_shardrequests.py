"""Tests of the requests of a shard against fake executors."""

import random
import time
import uuid
from collections import Counter

import curio
import pytest

from arbutusladder.admission import DEFAULT_URGENT_RESERVE
from arbutusladder.clock import Clock
from arbutusladder.endpoints import EndpointState
from arbutusladder.fakeexecutor import FakeExecutor, Faults
from arbutusladder.messages import ForwardRequest, Header, VmRecord
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Limits, Timing
from arbutusladder.shardrequests import ShardRequests
from arbutusladder.states import Outcome, Urgency, VmKind, VmState


def new_key(wall_time, number=0):
    """Returns a UUIDv7 for a wall clock time in seconds."""
    value = int(wall_time * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def vm_record(executor, state=VmState.LIVE, slots=8, connections=64):
    return VmRecord(
        executor.vm,
        VmKind.EXECUTOR,
        executor.address,
        "r",
        "d",
        state,
        service="tarief",
        slots=slots,
        connections=connections,
    )


class RequestHarness:
    """The requests of one shard with fake executors."""

    def __init__(self, executors=1, timing=None, limits=None, work_s=0.005):
        self.executors = [
            FakeExecutor(vm=f"x{n}", work_s=work_s) for n in range(executors)
        ]
        self.metrics = Metrics()
        self.clock = Clock()
        self.valid = True
        self.timing = timing or Timing()
        self.limits = limits or Limits()
        self.shard = self.new_shard()
        self.sequence = 0
        self.tasks = []

    def new_shard(self):
        shard = ShardRequests(
            "d/0",
            self.metrics,
            self.clock,
            self.limits,
            self.timing,
            lambda now: self.valid,
        )
        shard.set_endpoints([vm_record(executor) for executor in self.executors])
        return shard

    async def replace_shard(self):
        """Continues with a new owner of the shard; the previous one runs on."""
        self.shard = self.new_shard()
        self.tasks.append(await curio.spawn(self.shard.run))

    def request(self, path="/", body=b"", key="", remaining_ms=2000, **options):
        self.sequence += 1
        headers = [Header("Idempotency-Key", key)] if key else []
        return ForwardRequest(
            f"q{self.sequence}",
            "d/0",
            "tarief",
            "POST",
            path,
            headers,
            body,
            remaining_ms,
            options.pop("urgency", Urgency.NORMAL),
            idempotent=options.pop("idempotent", not key),
            idempotency_key=key,
        )

    async def send(self, *args, **options):
        return await self.shard.handle(self.request(*args, **options))

    async def send_concurrently(self, count, *args, **options):
        """Sends requests concurrently; returns their answers in order."""
        tasks = []
        for number in range(count):
            body = f"body {number}".encode()
            request = self.request(*args, body=body, **options)
            tasks.append(await curio.spawn(self.shard.handle, request))
        return [await task.join() for task in tasks]

    def set_faults(self, number=0, **faults):
        self.executors[number].set_faults(Faults(**faults))

    async def start_requests(self, count, *args, **options):
        """Starts requests that run while the test continues.

        Returns after as many of them run as the executors have slots for them.
        """
        slots = sum(vm_record(executor).slots for executor in self.executors)
        if options.get("urgency") is not Urgency.URGENT:
            slots -= int(slots * DEFAULT_URGENT_RESERVE)
        expected = len(self.recorded_runs()) + min(count, slots)
        task = await curio.spawn(self.send_concurrently(count, *args, **options))
        async with curio.timeout_after(START_TIMEOUT_S):
            while len(self.recorded_runs()) < expected:
                await curio.sleep(0.005)
        return task

    def recorded_runs(self, request_id=None):
        found = [run for executor in self.executors for run in executor.record.runs]
        return [r for r in found if request_id in (None, r.request_id)]

    def highest_slots(self):
        return max(executor.record.highest_slots for executor in self.executors)

    def new_key(self, number=0):
        return new_key(self.clock.wall_time(), number)


def with_harness(**options):
    """Decorates an async test method to run with a `RequestHarness`."""

    def decorate(test):
        async def main(self):
            harness = RequestHarness(**options)
            for executor in harness.executors:
                harness.tasks.append(await curio.spawn(executor.run))
            harness.tasks.append(await curio.spawn(harness.shard.run))
            try:
                await test(self, harness)
            finally:
                for task in harness.tasks:
                    await task.cancel()

        def run(self):
            curio.run(main, self)

        return run

    return decorate


def outcomes(answers):
    return {answer.outcome for answer in answers}


def bodies(count):
    return [f"body {number}".encode() for number in range(count)]


# Seconds within which requests must have started.
START_TIMEOUT_S = 5.0
URGENT = {"urgency": Urgency.URGENT}
DONE = {Outcome.DONE}


class TestAnswers:
    """Guards against lost, swapped or truncated answers."""

    @with_harness()
    async def test_each_caller_gets_its_own_answer(self, harness):
        answers = await harness.send_concurrently(50, **URGENT)
        assert [a.body for a in answers] == bodies(50)
        assert harness.highest_slots() == 8

    @with_harness()
    async def test_default_urgency_is_accepted(self, harness):
        request = ForwardRequest("q", "d/0", "tarief", "GET", "/", [], b"", 1000)
        assert (await harness.shard.handle(request)).outcome is Outcome.DONE

    @with_harness()
    async def test_large_answer_is_whole(self, harness):
        for path in ("/?size=700000", "/?size=700000&chunked=1"):
            answer = await harness.send(path, b"start")
            assert answer.outcome is Outcome.DONE
            assert len(answer.body) == 700_000 and answer.body.startswith(b"start.")

    @with_harness(executors=4)
    async def test_truncated_answer_of_an_idempotent_request_is_retried(self, harness):
        for number in range(3):
            harness.set_faults(number, die_in_body=1)
        answer = await harness.send(body=b"whole")
        assert (answer.outcome, answer.body) == (Outcome.DONE, b"whole")

    @with_harness()
    async def test_truncated_answer_is_unknown_and_has_no_body(self, harness):
        harness.set_faults(die_in_body=2)
        answer = await harness.send(body=b"whole")
        assert (answer.outcome, answer.status) == (Outcome.UNKNOWN, 0)
        assert (answer.reason, answer.body) == ("answer_incomplete", b"")
        assert harness.metrics.count_by_name["unknown.answer_incomplete"] == 1

    @with_harness()
    async def test_second_answer_is_not_given_to_the_next_caller(self, harness):
        harness.set_faults(double_answer=5)
        for body in bodies(5):
            assert (await harness.send(body=body)).body == body
            await curio.sleep(0.05)

    @with_harness()
    async def test_late_answer_is_not_given_to_the_next_caller(self, harness):
        harness.set_faults(late_s=0.3)
        late_answer = await harness.send(body=b"late", remaining_ms=200)
        assert (late_answer.outcome, late_answer.reason) == (
            Outcome.UNKNOWN,
            "attempt_timeout",
        )
        harness.set_faults()
        for _ in range(2):
            answers = await harness.send_concurrently(6)
            assert [a.body for a in answers] == bodies(6)
            await curio.sleep(0.2)

    @with_harness(executors=2, limits=Limits(max_body_bytes=1024))
    async def test_too_large_answer_is_unknown_and_not_retried(self, harness):
        answer = await harness.send("/?size=2000")
        assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "answer_too_large")
        assert len(harness.recorded_runs()) == 1


class TestLimits:
    """Guards against more requests on an executor than it has slots."""

    @with_harness(timing=Timing(max_request_time_s=1.5))
    async def test_timed_out_request_keeps_its_slot(self, harness):
        harness.set_faults(slow_s=0.5)
        await harness.send_concurrently(8, remaining_ms=100, **URGENT)
        harness.set_faults()
        answers = await harness.send_concurrently(20, remaining_ms=300)
        assert outcomes(answers) == {Outcome.NOT_RUN}
        await curio.sleep(1.4)
        assert outcomes(await harness.send_concurrently(20, **URGENT)) == DONE
        assert harness.highest_slots() == 8

    @with_harness()
    async def test_cancelled_callers_neither_keep_nor_lose_slots(self, harness):
        tasks = []
        for _ in range(100):
            request = harness.request("/?work_ms=150", **URGENT)
            tasks.append(await curio.spawn(harness.shard.handle, request))
        await curio.sleep(0.05)
        for task in tasks:
            await task.cancel()
        assert harness.shard.summary().queued_requests == 0
        assert outcomes(await harness.send_concurrently(30, **URGENT)) == DONE
        assert harness.highest_slots() == 8
        assert len(harness.recorded_runs()) == 8 + 30
        assert harness.shard.open_requests == 0
        assert harness.shard.summary().free_slots_by_service == {"tarief": 8}

    @with_harness(timing=Timing(attempt_timeout_s=0.05))
    async def test_connections_stay_within_half_of_the_limit(self, harness):
        for _ in range(5):
            await harness.send_concurrently(40, **URGENT)
            harness.set_faults(silent=True)
            await harness.send_concurrently(4, remaining_ms=60, **URGENT)
            harness.set_faults()
        assert harness.executors[0].record.highest_connections <= 32

    @with_harness(executors=4)
    async def test_retries_do_not_multiply_an_overload(self, harness):
        for number in range(4):
            harness.set_faults(number, refuse="overloaded")
        for _ in range(5):
            await harness.send_concurrently(200)
        counts = harness.metrics.count_by_name
        retries = counts["retried.endpoint_refused"]
        attempts = sum(executor.record.refused for executor in harness.executors)
        assert retries <= 0.1 * (attempts - retries) + 10
        assert counts["refused.retry_budget_empty"] > 0


class TestSilence:
    """Guards against silent connections that use up a caller's whole deadline."""

    @with_harness(executors=3)
    async def test_requests_succeed_in_time_despite_silent_connections(self, harness):
        await harness.send_concurrently(24, "/?work_ms=20", **URGENT)
        for number in range(3):
            harness.set_faults(number, silent=True)
        for count in (1, 6):
            started_at = harness.clock.now()
            assert outcomes(await harness.send_concurrently(count, **URGENT)) == DONE
            assert harness.clock.now() - started_at < 0.5 + 0.25 + 0.2

    @with_harness(executors=3)
    async def test_own_pause_does_not_delay_the_detection_of_silence(self, harness):
        async def pause():
            await curio.sleep(0.02)
            # Blocks the whole process while the first requests run.
            time.sleep(0.6)

        await curio.spawn(pause, daemon=True)
        await harness.send_concurrently(24, "/?work_ms=20", **URGENT)
        for number in range(3):
            harness.set_faults(number, silent=True)
        started_at = harness.clock.now()
        assert outcomes(await harness.send_concurrently(6, **URGENT)) == DONE
        assert harness.clock.now() - started_at < 0.5 + 0.25 + 0.2

    @with_harness()
    async def test_silent_connection_closes_all_idle_connections(self, harness):
        await harness.send_concurrently(8, "/?work_ms=20", **URGENT)
        harness.set_faults(silent=True)
        assert (await harness.send()).outcome is Outcome.DONE
        started_at = harness.clock.now()
        assert (await harness.send()).outcome is Outcome.DONE
        assert harness.clock.now() - started_at < 0.3

    @with_harness()
    async def test_short_deadlines_do_not_make_an_executor_suspect(self, harness):
        harness.set_faults(slow_s=0.5)
        for limit in (50, 100, 150):
            answer = await harness.send(remaining_ms=limit)
            assert answer.outcome is Outcome.UNKNOWN
        endpoint = harness.shard._executors._endpoints.get("x0")
        assert endpoint.state() is EndpointState.LIVE

    @with_harness()
    async def test_requests_wait_during_the_trial_of_the_only_executor(self, harness):
        harness.set_faults(die_before_answer=3)
        for _ in range(3):
            assert (await harness.send()).outcome is Outcome.UNKNOWN
        assert outcomes(await harness.send_concurrently(20, **URGENT)) == DONE

    @with_harness()
    async def test_slow_answer_without_another_executor_is_waited_for(self, harness):
        assert (await harness.send("/?work_ms=700", b"slow")).body == b"slow"

    @with_harness()
    async def test_non_idempotent_request_avoids_an_idle_connection(self, harness):
        await harness.send()
        await curio.sleep(1.1)
        harness.set_faults(silent=True)
        assert (await harness.send(key=harness.new_key())).outcome is Outcome.DONE


def assert_not_run(harness, answer, reason):
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)
    assert harness.recorded_runs(answer.request_id) == []
    assert harness.metrics.count_by_name[f"refused.{reason}"] >= 1


class TestNotRun:
    """Guards against the outcome not_run for a request that ran."""

    @with_harness()
    async def test_ownership_expired_before_the_request(self, harness):
        harness.valid = False
        assert_not_run(harness, await harness.send(), "ownership_expired")

    @with_harness()
    async def test_ownership_expired_while_waiting(self, harness):
        await harness.start_requests(8, "/?work_ms=200")
        task = await curio.spawn(harness.send)
        await curio.sleep(0.05)
        harness.valid = False
        assert_not_run(harness, await task.join(), "ownership_expired")

    @with_harness()
    async def test_ownership_expired_while_connecting(self, harness):
        answers = iter([True, True])
        harness.shard._is_valid_at = lambda now: next(answers, False)
        assert_not_run(harness, await harness.send(), "ownership_expired")

    @with_harness(limits=Limits(request_queue=10))
    async def test_queue_full(self, harness):
        answers = await harness.send_concurrently(60, "/?work_ms=300")
        full = [a for a in answers if a.reason == "queue_full"]
        assert len(full) == 60 - 6 - 2
        for answer in full:
            assert_not_run(harness, answer, "queue_full")

    @with_harness()
    async def test_deadline_unreachable_by_the_estimate(self, harness):
        await harness.send("/?work_ms=400")
        answer = await harness.send(remaining_ms=200)
        assert_not_run(harness, answer, "deadline_unreachable")
        assert answer.retry_after_ms >= 150

    @with_harness()
    async def test_no_slot_before_the_deadline(self, harness):
        await harness.start_requests(8, "/?work_ms=400")
        answer = await harness.send(remaining_ms=100)
        assert_not_run(harness, answer, "deadline_unreachable")

    @with_harness()
    async def test_deadline_passed_and_no_endpoint(self, harness):
        assert_not_run(harness, await harness.send(remaining_ms=0), "deadline_passed")
        harness.shard.set_endpoints([])
        assert_not_run(harness, await harness.send(), "no_endpoint")

    @with_harness()
    async def test_executor_refuses(self, harness):
        harness.set_faults(refuse="busy")
        answer = await harness.send(key=harness.new_key())
        assert_not_run(harness, answer, "endpoint_refused")

    @with_harness()
    async def test_connect_failed(self, harness):
        record = vm_record(harness.executors[0])
        record.address = "127.0.0.1:1"
        harness.shard.set_endpoints([record])
        assert_not_run(harness, await harness.send(), "connect_failed")

    @with_harness()
    async def test_handed_over_and_draining(self, harness):
        await harness.start_requests(8, "/?work_ms=200")
        task = await curio.spawn(harness.send)
        await curio.sleep(0.05)
        await harness.shard.export_handover()
        assert_not_run(harness, await task.join(), "not_owner")
        await harness.replace_shard()
        task = await curio.spawn(harness.send)
        await curio.sleep(0)
        await harness.shard.export_handover()
        assert harness.shard.open_requests == 1
        assert_not_run(harness, await task.join(), "ownership_expired")
        await harness.replace_shard()
        await harness.shard.stop()
        assert_not_run(harness, await harness.send(), "draining")

    @with_harness(limits=Limits(key_table=1))
    async def test_keys(self, harness):
        future = new_key(harness.clock.wall_time() + 5)
        cases = {"": "key_missing", "x": "key_malformed", future: "key_from_future"}
        for key, reason in cases.items():
            answer = await harness.send(key=key, idempotent=False)
            assert_not_run(harness, answer, reason)
        key = harness.new_key()
        await harness.send(key=key)
        assert_not_run(harness, await harness.send(key=key, body=b"b"), "key_reused")
        assert_not_run(
            harness, await harness.send(key=harness.new_key(1)), "key_table_full"
        )

    @with_harness(executors=3)
    async def test_refused_retry_after_a_lost_attempt_is_unknown(self, harness):
        harness.set_faults(0, die_before_answer=1)
        harness.set_faults(1, die_before_answer=1)
        harness.set_faults(2, refuse="busy")
        answer = await harness.send()
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason == "connection_lost"
        assert len(harness.recorded_runs()) == 2


class TestKeys:
    """Guards against running a non-idempotent request twice."""

    @with_harness()
    async def test_same_key_twice_at_once_runs_once(self, harness):
        request = ("/?work_ms=50", b"quote", harness.new_key())
        tasks = [await curio.spawn(harness.send, *request) for _ in range(5)]
        answers = [await task.join() for task in tasks]
        answers.append(await harness.send(*request))
        assert {(a.outcome, a.body) for a in answers} == {(Outcome.DONE, b"quote")}
        assert len({a.request_id for a in answers}) == 6
        assert list(harness.executors[0].record.runs_by_key.values()) == [1]

    @with_harness()
    async def test_number_of_waiting_repeats_is_bounded(self, harness):
        request = ("/?work_ms=100", b"", harness.new_key())
        tasks = [await curio.spawn(harness.send, *request) for _ in range(30)]
        answers = [await task.join() for task in tasks]
        assert [a.outcome for a in answers].count(Outcome.DONE) == 1 + 16
        assert len(harness.recorded_runs()) == 1

    @with_harness(executors=2)
    async def test_lost_answer_is_unknown_and_never_runs_again(self, harness):
        key = harness.new_key()
        harness.set_faults(0, die_before_answer=1)
        harness.set_faults(1, die_before_answer=1)
        answers = [await harness.send(key=key) for _ in range(3)]
        assert outcomes(answers) == {Outcome.UNKNOWN}
        assert [a.reason for a in answers][1:] == 2 * ["key_outcome_unknown"]
        assert len(harness.recorded_runs()) == 1

    @with_harness(executors=2)
    async def test_refused_key_runs_on_another_executor(self, harness):
        harness.set_faults(0, refuse="busy")
        key = harness.new_key()
        assert outcomes([await harness.send(key=key) for _ in range(4)]) == DONE
        assert harness.executors[1].record.runs_by_key[key] == 1

    @with_harness()
    async def test_cancelled_caller_does_not_stop_a_second_one(self, harness):
        await harness.start_requests(8, "/?work_ms=200")
        key = harness.new_key()
        tasks = []
        for _ in range(2):
            tasks.append(await curio.spawn(harness.send, "/", b"", key))
            await curio.sleep(0.02)
        await tasks[0].cancel()
        assert (await tasks[1].join()).outcome is Outcome.DONE
        assert harness.executors[0].record.runs_by_key[key] == 1

    @with_harness()
    async def test_key_older_than_the_window(self, harness):
        answer = await harness.send(key=new_key(harness.clock.wall_time() - 601))
        assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "key_expired")
        assert harness.recorded_runs() == []


class TestSuccessor:
    """Guards against two owners that together exceed an executor's slots."""

    @with_harness(timing=Timing(max_request_time_s=1.0))
    async def test_takeover_waits_for_requests_of_the_previous_owner(self, harness):
        key = harness.new_key()
        await harness.start_requests(8, "/?work_ms=300", **URGENT)
        await harness.replace_shard()
        harness.shard.start_without_handover(harness.clock.now())
        early_answer = await harness.send(remaining_ms=200)
        assert (
            early_answer.reason == "deadline_unreachable"
            and early_answer.retry_after_ms > 500
        )
        await curio.sleep(early_answer.retry_after_ms / 1000 + 0.2)
        assert outcomes(await harness.send_concurrently(8, **URGENT)) == DONE
        assert harness.highest_slots() == 8
        old_key_answer = await harness.send(key=key)
        assert (old_key_answer.outcome, old_key_answer.reason) == (
            Outcome.UNKNOWN,
            "key_before_takeover",
        )

    @with_harness()
    async def test_handover_keeps_keys_and_counts(self, harness):
        key = harness.new_key()
        await harness.send(key=key, body=b"once")
        task = await harness.start_requests(6, "/?work_ms=300", **URGENT)
        state = await harness.shard.export_handover()
        await harness.replace_shard()
        harness.shard.adopt_handover(state)
        assert harness.shard.summary().free_slots_by_service == {"tarief": 2}
        repeated_answer = await harness.send(key=key, body=b"once")
        assert (repeated_answer.outcome, repeated_answer.body) == (
            Outcome.DONE,
            b"once",
        )
        await harness.send_concurrently(4, **URGENT)
        assert harness.highest_slots() <= 8
        assert outcomes(await task.join()) == DONE
        assert set(harness.executors[0].record.runs_by_key.values()) == {1}


class TestLeaving:
    """Guards against new work on a leaving executor and interrupted requests."""

    @with_harness(executors=2)
    async def test_leaving_signal_stops_new_work_at_once(self, harness):
        record = harness.executors[0].record
        harness.set_faults(0, leaving=True)
        while not record.runs:
            await harness.send()
        before = len(record.runs)
        assert outcomes(await harness.send_concurrently(50)) == DONE
        assert len(record.runs) == before

    @with_harness(executors=2)
    async def test_leaving_executor_that_refuses_work_loses_no_request(self, harness):
        harness.set_faults(0, leaving=True, leaving_refuses=True)
        keyed = await harness.send(key=harness.new_key())
        assert outcomes([keyed, *await harness.send_concurrently(50)]) == DONE

    @with_harness()
    async def test_stop_finishes_running_requests(self, harness):
        task = await harness.start_requests(20, "/?work_ms=100", **URGENT)
        await harness.shard.stop()
        assert harness.shard.open_requests == 0
        assert outcomes(await task.join()) == DONE

    @with_harness()
    async def test_replacement_at_the_same_address_gets_work(self, harness):
        harness.shard.drain("x0", True)
        assert_not_run(harness, await harness.send(), "no_endpoint")
        record = vm_record(harness.executors[0])
        record.id = "x9"
        harness.shard.set_endpoints([vm_record(harness.executors[0]), record])
        assert (await harness.send()).outcome is Outcome.DONE


class TestRandomFaults:
    """Guards against combinations of faults that violate an invariant."""

    FAULTS = (
        {},
        {},
        {"slow_s": 0.3},
        {"late_s": 0.15},
        {"die_in_body": 3},
        {"die_before_answer": 3},
        {"silent": True},
        {"mute": True},
        {"refuse": "busy"},
        {"leaving": True, "leaving_refuses": True},
    )

    @pytest.mark.parametrize("seed", [1, 2])
    def test_invariants_hold_under_random_faults(self, seed):
        timing = Timing(max_request_time_s=1.0, attempt_timeout_s=0.1)
        generator = random.Random(seed)
        with_harness(executors=3, timing=timing)(
            lambda _, harness: self.run_random_steps(harness, generator)
        )(self)

    async def run_random_steps(self, harness, generator):
        tasks = []
        for step in range(60):
            await self.inject_fault(harness, generator, step)
            for _ in range(generator.randrange(12)):
                request = self.random_request(harness, generator)
                task = await curio.spawn(harness.shard.handle, request)
                tasks.append((request, task))
            if generator.random() < 0.2:
                for _, task in generator.sample(tasks, min(5, len(tasks))):
                    await task.cancel(blocking=False)
            await curio.sleep(0.03)
        found = set()
        for request, task in tasks:
            await task.wait()
            if not task.cancelled:
                found.add(self.check_answer(harness, request, task.result))
        assert found == set(Outcome)
        assert harness.highest_slots() <= 8
        run_count_by_key = sum(
            (executor.record.runs_by_key for executor in harness.executors), Counter()
        )
        assert run_count_by_key and set(run_count_by_key.values()) == {1}

    async def inject_fault(self, harness, generator, step):
        if step % 5 == 0:
            number = generator.randrange(3)
            harness.set_faults(number, **generator.choice(self.FAULTS))
            # A restarted executor is listed under a new VM id.
            harness.shard.set_endpoints(
                [vm_record(executor) for executor in harness.executors]
            )
        if step == 30:
            previous = harness.shard
            await harness.replace_shard()
            if generator.random() < 0.5:
                harness.shard.adopt_handover(await previous.export_handover())
            else:
                previous._is_valid_at = lambda now: False
                harness.shard.start_without_handover(harness.clock.now())
            await curio.spawn(harness.shard.run, daemon=True)

    def random_request(self, harness, generator):
        key = harness.new_key(harness.sequence) if generator.random() < 0.3 else ""
        if key and generator.random() < 0.3:
            key = self.last_key(harness) or key
        harness.last_key = key or self.last_key(harness)
        body = (key or f"request {harness.sequence}").encode()
        return harness.request(
            f"/?work_ms={generator.choice([1, 20, 150])}" if not key else "/",
            body,
            key,
            generator.choice([50, 300, 900]),
            urgency=generator.choice(list(Urgency)),
        )

    def last_key(self, harness):
        return getattr(harness, "last_key", "")

    def check_answer(self, harness, request, answer):
        assert answer.request_id == request.request_id
        if answer.outcome is Outcome.DONE:
            assert answer.body == request.body
        if answer.outcome is Outcome.NOT_RUN:
            assert harness.recorded_runs(request.request_id) == []
        return answer.outcome


class TestIdle:
    """Guards against an idle shard that keeps using the processor."""

    OBSERVED_S = 0.5

    @with_harness()
    async def test_idle_shard_runs_few_rounds(self, harness):
        call_count = Counter()
        close_unneeded_connections = harness.shard._executors.close_unneeded_connections

        async def counting_close():
            call_count["rounds"] += 1
            await close_unneeded_connections()

        harness.shard._executors.close_unneeded_connections = counting_close
        await curio.sleep(self.OBSERVED_S)
        # A round every 20 ms would make 25 calls.
        assert call_count["rounds"] <= 10
