"""Tests of the request side of a shard against fake executors."""

import random
import time
import uuid
from collections import Counter

import curio
import pytest

from arbutusladder.clock import Clock
from arbutusladder.endpoints import EndpointState
from arbutusladder.fakeexecutor import FakeExecutor, Faults
from arbutusladder.messages import ForwardRequest, Header, VmRecord
from arbutusladder.metrics import Metrics
from arbutusladder.settings import Limits, Timing
from arbutusladder.shardrequests import ShardRequests
from arbutusladder.states import Outcome, Urgency, VmKind, VmState


def new_key(wall, number=0):
    """Returns a UUIDv7 of a wall clock time."""
    value = int(wall * 1000) << 80 | 7 << 76 | 2 << 62 | number
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


class Bench:
    """A shard with fake executors."""

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

    def new_shard(self):
        shard = ShardRequests(
            "d/0",
            self.metrics,
            self.clock,
            self.limits,
            self.timing,
            lambda now: self.valid,
        )
        shard.set_endpoints([vm_record(x) for x in self.executors])
        return shard

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

    async def send_many(self, count, *args, **options):
        """Sends requests at once; returns their answers in order."""
        tasks = []
        for number in range(count):
            body = f"body {number}".encode()
            request = self.request(*args, body=body, **options)
            tasks.append(await curio.spawn(self.shard.handle, request))
        return [await task.join() for task in tasks]

    def fault(self, number=0, **faults):
        self.executors[number].set_faults(Faults(**faults))

    async def start(self, count, *args, **options):
        """Starts requests that run while the test goes on."""
        task = await curio.spawn(self.send_many(count, *args, **options))
        await curio.sleep(0.05)
        return task

    def runs(self, request_id=None):
        found = [run for x in self.executors for run in x.record.runs]
        return [r for r in found if request_id in (None, r.request_id)]

    def highest_slots(self):
        return max(x.record.highest_slots for x in self.executors)

    def new_key(self, number=0):
        return new_key(self.clock.wall(), number)


def on_bench(**options):
    """Runs an async test method with a bench."""

    def decorate(test):
        async def main(self):
            bench = Bench(**options)
            tasks = [await curio.spawn(x.run) for x in bench.executors]
            tasks.append(await curio.spawn(bench.shard.run))
            try:
                await test(self, bench)
            finally:
                for task in tasks:
                    await task.cancel()

        def run(self):
            curio.run(main, self)

        return run

    return decorate


def outcomes(answers):
    return {answer.outcome for answer in answers}


def bodies(count):
    return [f"body {number}".encode() for number in range(count)]


URGENT = {"urgency": Urgency.URGENT}
DONE = {Outcome.DONE}


class TestAnswers:
    """Guards against lost, mixed up or short answers."""

    @on_bench()
    async def test_each_caller_gets_its_own_answer(self, bench):
        answers = await bench.send_many(50, **URGENT)
        assert [a.body for a in answers] == bodies(50)
        assert bench.highest_slots() == 8

    @on_bench()
    async def test_default_urgency_is_accepted(self, bench):
        request = ForwardRequest("q", "d/0", "tarief", "GET", "/", [], b"", 1000)
        assert (await bench.shard.handle(request)).outcome is Outcome.DONE

    @on_bench()
    async def test_large_answer_is_whole(self, bench):
        for path in ("/?size=700000", "/?size=700000&chunked=1"):
            answer = await bench.send(path, b"start")
            assert answer.outcome is Outcome.DONE
            assert len(answer.body) == 700_000 and answer.body.startswith(b"start.")

    @on_bench(executors=4)
    async def test_cut_answer_of_an_idempotent_request_is_retried(self, bench):
        for number in range(3):
            bench.fault(number, die_in_body=1)
        answer = await bench.send(body=b"whole")
        assert (answer.outcome, answer.body) == (Outcome.DONE, b"whole")

    @on_bench()
    async def test_cut_answer_is_never_a_short_200(self, bench):
        bench.fault(die_in_body=2)
        answer = await bench.send(body=b"whole")
        assert (answer.outcome, answer.status) == (Outcome.UNKNOWN, 0)
        assert (answer.reason, answer.body) == ("answer_incomplete", b"")
        assert bench.metrics.count_by_name["unknown.answer_incomplete"] == 1

    @on_bench()
    async def test_second_answer_is_not_given_to_the_next_caller(self, bench):
        bench.fault(double_answer=5)
        for body in bodies(5):
            assert (await bench.send(body=body)).body == body
            await curio.sleep(0.05)

    @on_bench()
    async def test_late_answer_is_not_given_to_the_next_caller(self, bench):
        bench.fault(late_s=0.3)
        late = await bench.send(body=b"late", remaining_ms=200)
        assert (late.outcome, late.reason) == (Outcome.UNKNOWN, "attempt_timeout")
        bench.fault()
        for _ in range(2):
            answers = await bench.send_many(6)
            assert [a.body for a in answers] == bodies(6)
            await curio.sleep(0.2)

    @on_bench(executors=2, limits=Limits(max_body_bytes=1024))
    async def test_too_large_answer_is_unknown_and_not_retried(self, bench):
        answer = await bench.send("/?size=2000")
        assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "answer_too_large")
        assert len(bench.runs()) == 1


class TestLimits:
    """Guards against more requests at an executor than it has slots."""

    @on_bench(timing=Timing(max_request_time_s=1.5))
    async def test_timed_out_request_keeps_its_slot(self, bench):
        bench.fault(slow_s=0.5)
        await bench.send_many(8, remaining_ms=100, **URGENT)
        bench.fault()
        answers = await bench.send_many(20, remaining_ms=300)
        assert outcomes(answers) == {Outcome.NOT_RUN}
        await curio.sleep(1.4)
        assert outcomes(await bench.send_many(20, **URGENT)) == DONE
        assert bench.highest_slots() == 8

    @on_bench()
    async def test_wave_of_cancelled_callers_keeps_and_loses_no_slot(self, bench):
        tasks = []
        for _ in range(100):
            request = bench.request("/?work_ms=150", **URGENT)
            tasks.append(await curio.spawn(bench.shard.handle, request))
        await curio.sleep(0.05)
        for task in tasks:
            await task.cancel()
        assert bench.shard.summary().queued_requests == 0
        assert outcomes(await bench.send_many(30, **URGENT)) == DONE
        assert bench.highest_slots() == 8
        assert len(bench.runs()) == 8 + 30
        assert bench.shard.open_requests == 0
        assert bench.shard.summary().free_slots_by_service == {"tarief": 8}

    @on_bench(timing=Timing(attempt_timeout_s=0.05))
    async def test_connections_stay_within_half_of_the_limit(self, bench):
        for _ in range(5):
            await bench.send_many(40, **URGENT)
            bench.fault(silent=True)
            await bench.send_many(4, remaining_ms=60, **URGENT)
            bench.fault()
        assert bench.executors[0].record.highest_connections <= 32

    @on_bench(executors=4)
    async def test_flood_is_not_multiplied_by_retries(self, bench):
        for number in range(4):
            bench.fault(number, refuse="overloaded")
        for _ in range(5):
            await bench.send_many(200)
        counts = bench.metrics.count_by_name
        retries = counts["retried.endpoint_refused"]
        attempts = sum(x.record.refused for x in bench.executors)
        assert retries <= 0.1 * (attempts - retries) + 10
        assert counts["refused.retry_budget_empty"] > 0


class TestSilence:
    """Guards against silent connections that take a caller's whole deadline."""

    @on_bench(executors=3)
    async def test_quote_check_survives_silent_connections(self, bench):
        await bench.send_many(24, "/?work_ms=20", **URGENT)
        for number in range(3):
            bench.fault(number, silent=True)
        for count in (1, 6):
            start = bench.clock.now()
            assert outcomes(await bench.send_many(count, **URGENT)) == DONE
            assert bench.clock.now() - start < 0.5 + 0.25 + 0.2

    @on_bench(executors=3)
    async def test_own_pause_does_not_delay_the_notice_of_silence(self, bench):
        async def pause():
            await curio.sleep(0.02)
            # Blocks the process while the first requests run.
            time.sleep(0.6)

        await curio.spawn(pause, daemon=True)
        await bench.send_many(24, "/?work_ms=20", **URGENT)
        for number in range(3):
            bench.fault(number, silent=True)
        start = bench.clock.now()
        assert outcomes(await bench.send_many(6, **URGENT)) == DONE
        assert bench.clock.now() - start < 0.5 + 0.25 + 0.2

    @on_bench()
    async def test_all_idle_connections_go_with_a_silent_one(self, bench):
        await bench.send_many(8, "/?work_ms=20", **URGENT)
        bench.fault(silent=True)
        assert (await bench.send()).outcome is Outcome.DONE
        start = bench.clock.now()
        assert (await bench.send()).outcome is Outcome.DONE
        assert bench.clock.now() - start < 0.3

    @on_bench()
    async def test_short_deadlines_are_no_fault_of_the_executor(self, bench):
        bench.fault(slow_s=0.5)
        for limit in (50, 100, 150):
            answer = await bench.send(remaining_ms=limit)
            assert answer.outcome is Outcome.UNKNOWN
        endpoint = bench.shard._executors._endpoints.get("x0")
        assert endpoint.state() is EndpointState.LIVE

    @on_bench()
    async def test_requests_wait_while_the_only_executor_has_its_trial(self, bench):
        bench.fault(die_before_answer=3)
        for _ in range(3):
            assert (await bench.send()).outcome is Outcome.UNKNOWN
        assert outcomes(await bench.send_many(20, **URGENT)) == DONE

    @on_bench()
    async def test_slow_answer_without_another_executor_is_waited_for(self, bench):
        assert (await bench.send("/?work_ms=700", b"slow")).body == b"slow"

    @on_bench()
    async def test_non_idempotent_request_avoids_an_idle_connection(self, bench):
        await bench.send()
        await curio.sleep(1.1)
        bench.fault(silent=True)
        assert (await bench.send(key=bench.new_key())).outcome is Outcome.DONE


def check_not_run(bench, answer, reason):
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)
    assert bench.runs(answer.request_id) == []
    assert bench.metrics.count_by_name[f"refused.{reason}"] >= 1


class TestNotRun:
    """Guards against not_run for a request that ran."""

    @on_bench()
    async def test_ownership_expired_before_the_request(self, bench):
        bench.valid = False
        check_not_run(bench, await bench.send(), "ownership_expired")

    @on_bench()
    async def test_ownership_expired_while_waiting(self, bench):
        await bench.start(8, "/?work_ms=200")
        task = await curio.spawn(bench.send)
        await curio.sleep(0.05)
        bench.valid = False
        check_not_run(bench, await task.join(), "ownership_expired")

    @on_bench()
    async def test_ownership_expired_while_connecting(self, bench):
        answers = iter([True, True])
        bench.shard._validity = lambda now: next(answers, False)
        check_not_run(bench, await bench.send(), "ownership_expired")

    @on_bench(limits=Limits(request_queue=10))
    async def test_queue_full(self, bench):
        answers = await bench.send_many(60, "/?work_ms=300")
        full = [a for a in answers if a.reason == "queue_full"]
        assert len(full) == 60 - 6 - 2
        for answer in full:
            check_not_run(bench, answer, "queue_full")

    @on_bench()
    async def test_deadline_unreachable_by_the_estimate(self, bench):
        await bench.send("/?work_ms=400")
        answer = await bench.send(remaining_ms=200)
        check_not_run(bench, answer, "deadline_unreachable")
        assert answer.retry_after_ms >= 150

    @on_bench()
    async def test_no_slot_before_the_deadline(self, bench):
        await bench.start(8, "/?work_ms=400")
        answer = await bench.send(remaining_ms=100)
        check_not_run(bench, answer, "deadline_unreachable")

    @on_bench()
    async def test_deadline_passed_and_no_endpoint(self, bench):
        check_not_run(bench, await bench.send(remaining_ms=0), "deadline_passed")
        bench.shard.set_endpoints([])
        check_not_run(bench, await bench.send(), "no_endpoint")

    @on_bench()
    async def test_executor_refuses(self, bench):
        bench.fault(refuse="busy")
        answer = await bench.send(key=bench.new_key())
        check_not_run(bench, answer, "endpoint_refused")

    @on_bench()
    async def test_connect_failed(self, bench):
        record = vm_record(bench.executors[0])
        record.address = "127.0.0.1:1"
        bench.shard.set_endpoints([record])
        check_not_run(bench, await bench.send(), "connect_failed")

    @on_bench()
    async def test_handed_over_then_draining(self, bench):
        await bench.start(8, "/?work_ms=200")
        task = await curio.spawn(bench.send)
        await curio.sleep(0.05)
        await bench.shard.export_handover()
        check_not_run(bench, await task.join(), "not_owner")
        bench.shard = bench.new_shard()
        task = await curio.spawn(bench.send)
        await curio.sleep(0)
        await bench.shard.export_handover()
        assert bench.shard.open_requests == 1
        check_not_run(bench, await task.join(), "ownership_expired")
        bench.shard = bench.new_shard()
        await bench.shard.stop()
        check_not_run(bench, await bench.send(), "draining")

    @on_bench(limits=Limits(key_table=1))
    async def test_keys(self, bench):
        future = new_key(bench.clock.wall() + 5)
        cases = {"": "key_missing", "x": "key_malformed", future: "key_from_future"}
        for key, reason in cases.items():
            answer = await bench.send(key=key, idempotent=False)
            check_not_run(bench, answer, reason)
        key = bench.new_key()
        await bench.send(key=key)
        check_not_run(bench, await bench.send(key=key, body=b"b"), "key_reused")
        check_not_run(bench, await bench.send(key=bench.new_key(1)), "key_table_full")

    @on_bench(executors=3)
    async def test_refused_retry_after_a_lost_attempt_is_unknown(self, bench):
        bench.fault(0, die_before_answer=1)
        bench.fault(1, die_before_answer=1)
        bench.fault(2, refuse="busy")
        answer = await bench.send()
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason == "connection_lost"
        assert len(bench.runs()) == 2


class TestKeys:
    """Guards against running a non-idempotent request twice."""

    @on_bench()
    async def test_same_key_twice_at_once_runs_once(self, bench):
        request = ("/?work_ms=50", b"quote", bench.new_key())
        tasks = [await curio.spawn(bench.send, *request) for _ in range(5)]
        answers = [await task.join() for task in tasks]
        answers.append(await bench.send(*request))
        assert {(a.outcome, a.body) for a in answers} == {(Outcome.DONE, b"quote")}
        assert len({a.request_id for a in answers}) == 6
        assert list(bench.executors[0].record.runs_by_key.values()) == [1]

    @on_bench()
    async def test_flood_of_one_key_is_bounded(self, bench):
        request = ("/?work_ms=100", b"", bench.new_key())
        tasks = [await curio.spawn(bench.send, *request) for _ in range(30)]
        answers = [await task.join() for task in tasks]
        assert [a.outcome for a in answers].count(Outcome.DONE) == 1 + 16
        assert len(bench.runs()) == 1

    @on_bench(executors=2)
    async def test_lost_answer_is_unknown_and_never_runs_again(self, bench):
        key = bench.new_key()
        bench.fault(0, die_before_answer=1)
        bench.fault(1, die_before_answer=1)
        answers = [await bench.send(key=key) for _ in range(3)]
        assert outcomes(answers) == {Outcome.UNKNOWN}
        assert [a.reason for a in answers][1:] == 2 * ["key_outcome_unknown"]
        assert len(bench.runs()) == 1

    @on_bench(executors=2)
    async def test_refused_key_runs_on_another_executor(self, bench):
        bench.fault(0, refuse="busy")
        key = bench.new_key()
        assert outcomes([await bench.send(key=key) for _ in range(4)]) == DONE
        assert bench.executors[1].record.runs_by_key[key] == 1

    @on_bench()
    async def test_caller_that_leaves_does_not_stop_a_second_one(self, bench):
        await bench.start(8, "/?work_ms=200")
        key = bench.new_key()
        tasks = []
        for _ in range(2):
            tasks.append(await curio.spawn(bench.send, "/", b"", key))
            await curio.sleep(0.02)
        await tasks[0].cancel()
        assert (await tasks[1].join()).outcome is Outcome.DONE
        assert bench.executors[0].record.runs_by_key[key] == 1

    @on_bench()
    async def test_key_older_than_the_window(self, bench):
        answer = await bench.send(key=new_key(bench.clock.wall() - 601))
        assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "key_expired")
        assert bench.runs() == []


class TestSuccessor:
    """Guards against two owners that use an executor beyond its slots."""

    @on_bench(timing=Timing(max_request_time_s=1.0))
    async def test_takeover_waits_for_the_predecessors_requests(self, bench):
        key = bench.new_key()
        await bench.start(8, "/?work_ms=300", **URGENT)
        bench.shard = bench.new_shard()
        bench.shard.start_without_handover(bench.clock.now())
        early = await bench.send(remaining_ms=200)
        assert early.reason == "deadline_unreachable" and early.retry_after_ms > 500
        await curio.sleep(early.retry_after_ms / 1000 + 0.2)
        assert outcomes(await bench.send_many(8, **URGENT)) == DONE
        assert bench.highest_slots() == 8
        old = await bench.send(key=key)
        assert (old.outcome, old.reason) == (Outcome.UNKNOWN, "key_before_takeover")

    @on_bench()
    async def test_handover_keeps_keys_and_counts(self, bench):
        key = bench.new_key()
        await bench.send(key=key, body=b"once")
        task = await bench.start(6, "/?work_ms=300", **URGENT)
        state = await bench.shard.export_handover()
        bench.shard = bench.new_shard()
        bench.shard.adopt_handover(state)
        assert bench.shard.summary().free_slots_by_service == {"tarief": 2}
        again = await bench.send(key=key, body=b"once")
        assert (again.outcome, again.body) == (Outcome.DONE, b"once")
        await bench.send_many(4, **URGENT)
        assert bench.highest_slots() <= 8
        assert outcomes(await task.join()) == DONE
        assert set(bench.executors[0].record.runs_by_key.values()) == {1}


class TestLeaving:
    """Guards against new work for a leaving executor and cut off requests."""

    @on_bench(executors=2)
    async def test_own_signal_stops_new_work_at_once(self, bench):
        record = bench.executors[0].record
        bench.fault(0, leaving=True)
        while not record.runs:
            await bench.send()
        before = len(record.runs)
        assert outcomes(await bench.send_many(50)) == DONE
        assert len(record.runs) == before

    @on_bench(executors=2)
    async def test_refusing_leaver_loses_no_request(self, bench):
        bench.fault(0, leaving=True, leaving_refuses=True)
        keyed = await bench.send(key=bench.new_key())
        assert outcomes([keyed, *await bench.send_many(50)]) == DONE

    @on_bench()
    async def test_stop_finishes_what_is_in_flight(self, bench):
        task = await bench.start(20, "/?work_ms=100", **URGENT)
        await bench.shard.stop()
        assert bench.shard.open_requests == 0
        assert outcomes(await task.join()) == DONE

    @on_bench()
    async def test_replacement_at_the_same_address_gets_work(self, bench):
        bench.shard.drain("x0", True)
        check_not_run(bench, await bench.send(), "no_endpoint")
        record = vm_record(bench.executors[0])
        record.id = "x9"
        bench.shard.set_endpoints([vm_record(bench.executors[0]), record])
        assert (await bench.send()).outcome is Outcome.DONE


class TestFuzz:
    """Guards against combinations of faults that break an invariant."""

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
        on_bench(executors=3, timing=timing)(
            lambda _, bench: self.play(bench, generator)
        )(self)

    async def play(self, bench, generator):
        tasks = []
        for step in range(60):
            await self.disturb(bench, generator, step)
            for _ in range(generator.randrange(12)):
                request = self.draw(bench, generator)
                task = await curio.spawn(bench.shard.handle, request)
                tasks.append((request, task))
            if generator.random() < 0.2:
                for _, task in generator.sample(tasks, min(5, len(tasks))):
                    await task.cancel(blocking=False)
            await curio.sleep(0.03)
        found = set()
        for request, task in tasks:
            await task.wait()
            if not task.cancelled:
                found.add(self.check(bench, request, task.result))
        assert found == set(Outcome)
        assert bench.highest_slots() <= 8
        runs = sum((x.record.runs_by_key for x in bench.executors), Counter())
        assert runs and set(runs.values()) == {1}

    async def disturb(self, bench, generator, step):
        if step % 5 == 0:
            number = generator.randrange(3)
            bench.fault(number, **generator.choice(self.FAULTS))
            # A restarted executor is listed under a new VM id.
            bench.shard.set_endpoints([vm_record(x) for x in bench.executors])
        if step == 30:
            old, bench.shard = bench.shard, bench.new_shard()
            if generator.random() < 0.5:
                bench.shard.adopt_handover(await old.export_handover())
            else:
                old._validity = lambda now: False
                bench.shard.start_without_handover(bench.clock.now())
            await curio.spawn(bench.shard.run, daemon=True)

    def draw(self, bench, generator):
        key = bench.new_key(bench.sequence) if generator.random() < 0.3 else ""
        if key and generator.random() < 0.3:
            key = self.last_key(bench) or key
        bench.last_key = key or self.last_key(bench)
        body = (key or f"request {bench.sequence}").encode()
        return bench.request(
            f"/?work_ms={generator.choice([1, 20, 150])}" if not key else "/",
            body,
            key,
            generator.choice([50, 300, 900]),
            urgency=generator.choice(list(Urgency)),
        )

    def last_key(self, bench):
        return getattr(bench, "last_key", "")

    def check(self, bench, request, answer):
        assert answer.request_id == request.request_id
        if answer.outcome is Outcome.DONE:
            assert answer.body == request.body
        if answer.outcome is Outcome.NOT_RUN:
            assert bench.runs(request.request_id) == []
        return answer.outcome


class TestIdle:
    """Guards against an idle shard that uses the processor all the time."""

    WATCHED_S = 0.5

    @on_bench()
    async def test_idle_shard_wakes_seldom(self, bench):
        wakes = Counter()
        close_unneeded_connections = bench.shard._executors.close_unneeded_connections

        async def counted():
            wakes["tidy"] += 1
            await close_unneeded_connections()

        bench.shard._executors.close_unneeded_connections = counted
        await curio.sleep(self.WATCHED_S)
        # Every 20 ms would be 25 wakes.
        assert wakes["tidy"] <= 10
