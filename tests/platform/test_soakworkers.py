"""Tests that the checks of the fault soak notice what they look for."""

import json
import signal
import time
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace

import curio
import pytest
import yaml

from arbutusladder.cell.claims import OWNER_TOPIC, claim_item
from arbutusladder.clock import Clock
from arbutusladder.httppool import HttpConnectionPool
from arbutusladder.httpserver import HttpRequest
from arbutusladder.messages import CellClaim, Header
from tests.platform.fakes import FakeRun, FakeStore, FakeTopic
from tests.platform.soak import (
    ADVICE_FAULTS,
    FAULTS,
    RECUT_FAULTS,
    ZONE_FAULTS,
    Fault,
    SoakRun,
    make_plan,
)
from tests.platform.soakadvice import ADVICE, MAX_WAITING, Outage, SoakAdvice
from tests.platform.soakworkers import (
    CANCEL_S,
    CORES,
    MAX_ATTEMPTS,
    ZONES,
    RuleChecker,
    RunEnd,
    SoakWorker,
)
from tests.relay import Route

JOB = "00000000000000aa"
FIRST, SECOND = f"{JOB}.0.0.0", f"{JOB}.0.1.0"
PLANS = Path(__file__).parent / "plans"


# Entry VMs that each fault of the ways to the store concerns.
ALL_ENTRIES = [f"edge-{number}" for number in range(5)]
ROUTE_FAULTS = {
    "owner_store_silence": ["edge-3"],
    "half_store_silence": ["edge-1", "edge-3"],
    "owner_reads_silence": ["edge-3"],
    "owner_answers_loss": ["edge-3"],
    "slow_store": ALL_ENTRIES,
}


def route_faults(entry):
    """Returns the faults of the way of an entry VM to the store."""
    route = entry.store_route
    delay_s = route.answer_delay_s
    return route._cut, route.loses_answers, route.lost_request, delay_s


def make_workers(count=2):
    """Returns workers with one checker, which knows a job of two steps."""
    checker = RuleChecker(steps_by_job={JOB: [1, 1]})
    store = FakeStore()
    checker.workers = [
        SoakWorker(f"i-{number}", store, checker, lambda task: 1.0)
        for number in range(count)
    ]
    return checker, checker.workers


def run(worker, task, seconds=60.0):
    """Lets a worker run a task."""
    now = time.monotonic()
    worker.running[task, 1] = FakeRun(now, now + seconds)


def failed_ends(worker, count):
    """Returns runs of a worker that have ended as failed."""
    now = time.monotonic()
    return [RunEnd(worker, worker.born, n, now, failed=True) for n in range(count)]


def rules(checker):
    """Returns the names of the broken rules."""
    return [line.partition(":")[0] for line in checker.broken]


class TestRuleChecker:
    """Each rule is broken once."""

    def test_start_that_breaks_nothing(self):
        """Guards against checks that always fail."""
        checker, (worker, _) = make_workers()
        checker.check_start(worker, FIRST, 1, False)
        assert checker.broken == []

    def test_second_run(self):
        """Guards against missing two runs of a task at the same time."""
        checker, (worker, other) = make_workers()
        run(other, FIRST)
        checker.check_start(worker, FIRST, 2, False)
        assert rules(checker) == ["TWICE"]

    def test_run_that_has_ended_unnoticed(self):
        """Guards against a second run that is one only since this process was late."""
        checker, (worker, other) = make_workers()
        run(other, FIRST, -0.1)
        checker.check_start(worker, FIRST, 2, False)
        assert checker.broken == []

    @pytest.mark.parametrize("acknowledged_first", [True, False])
    def test_start_after_an_acknowledged_end(self, acknowledged_first):
        """Guards against missing work that is done and runs again."""
        checker, (worker, other) = make_workers()
        checker.check_start(other, FIRST, 1, False)
        done = RunEnd(other, other.born, 1, time.monotonic())
        checker.done_by_task[FIRST] = [done]
        if acknowledged_first:
            checker.acknowledge(FIRST, done)
        checker.check_start(worker, FIRST, 2, False)
        checker.acknowledge(FIRST, done)
        assert rules(checker) == ["TWICE"]

    def test_lapsed_end(self):
        """Guards against counting an end that the lease has outlived."""
        checker, (worker, other) = make_workers()
        run(other, FIRST, -2.0)
        other.lease_end_ms = other.clock_ms() - 1000
        other.advance()
        checker.check_start(worker, FIRST, 2, False)
        checker.acknowledge(FIRST, checker.done_by_task[FIRST][0])
        assert checker.broken == []

    def test_capacity(self):
        """Guards against missing a worker with more than it has room for."""
        checker, (worker, _) = make_workers()
        for number in range(CORES):
            run(worker, f"task-{number}")
        checker.check_start(worker, FIRST, 1, False)
        assert rules(checker) == ["LIMIT"]

    @pytest.mark.parametrize(("cores", "running"), [(CORES, 0), (CORES, 1), (1, 0)])
    def test_task_of_several_cores(self, cores, running):
        """Guards against missing a worker without room for a large task."""
        checker, (worker, _) = make_workers()
        checker.cores_by_job[JOB] = cores
        for number in range(running):
            run(worker, f"task-{number}")
        checker.check_start(worker, FIRST, 1, False)
        assert rules(checker) == ["LIMIT"] * running

    def test_order_of_steps(self):
        """Guards against missing a step that starts too early."""
        checker, (worker, _) = make_workers()
        checker.check_start(worker, SECOND, 1, False)
        assert rules(checker) == ["ORDER"]

    @pytest.mark.parametrize("late", [True, False])
    def test_cancelled_job(self, late):
        """Guards against missing work that starts after its cancellation."""
        checker, (worker, _) = make_workers()
        checker.cancelled_at_by_job[JOB] = time.monotonic() - CANCEL_S - 0.1
        checker.check_start(worker, FIRST, 1, late)
        assert rules(checker) == ([] if late else ["UNASKED"])

    @pytest.mark.parametrize(
        ("state", "after_s", "late", "broken"),
        [
            ("completed", 1.1, False, "TWICE"),
            ("completed", 0.9, False, None),
            ("completed", 1.1, True, None),
            ("failed", 1.1, False, "SHOWN"),
            ("failed", 0.9, False, None),
            ("failed", 1.1, True, None),
            ("cancelled", CANCEL_S + 0.1, False, "UNASKED"),
            ("cancelled", CANCEL_S - 0.1, False, None),
            ("cancelled", CANCEL_S + 0.1, True, None),
            ("executing", 9.0, False, None),
        ],
    )
    def test_start_after_a_shown_end(self, state, after_s, late, broken):
        """Guards against missing work of a job that clients take for ended."""
        checker, (worker, other) = make_workers()
        for task in (FIRST, SECOND):
            run(other, task, -0.1)
        checker.failed_by_task[FIRST] = failed_ends(other, MAX_ATTEMPTS)
        checker.cancel_requested.add(JOB)
        checker.show(JOB, state)
        checker.failed_by_task.clear()
        for job, (shown, shown_at) in checker.shown_by_job.items():
            checker.shown_by_job[job] = shown, shown_at - after_s
        checker.check_start(worker, FIRST, 3, late)
        assert rules(checker) == ([broken] if broken else [])

    def test_later_reads_of_a_state(self):
        """Guards against a bound that begins anew with each read."""
        checker, (worker, _) = make_workers()
        checker.cancel_requested.add(JOB)
        checker.shown_by_job[JOB] = "cancelled", time.monotonic() - CANCEL_S - 0.1
        checker.show(JOB, "cancelled")
        checker.check_start(worker, FIRST, 1, False)
        assert rules(checker) == ["UNASKED"]

    @pytest.mark.parametrize("done", [(), (FIRST,), (FIRST, SECOND)])
    def test_completed_before_all_tasks_are_done(self, done):
        """Guards against missing a job that is shown as completed too early."""
        checker, (worker, _) = make_workers()
        for task in done:
            run(worker, task, -0.1)
        checker.show(JOB, "completed")
        assert rules(checker) == ["MIXED"] * (len(done) < 2)

    @pytest.mark.parametrize("failed", range(MAX_ATTEMPTS + 1))
    def test_failed_with_attempts_left(self, failed):
        """Guards against missing a job that was given up too early."""
        checker, (worker, _) = make_workers()
        checker.failed_by_task[FIRST] = failed_ends(worker, failed)
        checker.show(JOB, "failed")
        assert rules(checker) == ["LOST"] * (failed < MAX_ATTEMPTS)

    @pytest.mark.parametrize("requested", [True, False])
    def test_cancelled_without_a_request(self, requested):
        """Guards against missing a job that was cancelled by nobody."""
        checker, _ = make_workers()
        if requested:
            checker.cancel_requested.add(JOB)
        checker.show(JOB, "cancelled")
        assert rules(checker) == ["LOST"] * (not requested)

    @pytest.mark.parametrize("failed", range(1, MAX_ATTEMPTS + 1))
    @pytest.mark.parametrize("acknowledged_first", [True, False])
    def test_attempts(self, failed, acknowledged_first):
        """Guards against missing a run beyond the attempts of its task."""
        checker, (worker, other) = make_workers()
        ends = failed_ends(other, failed)
        checker.failed_by_task[FIRST] = ends
        checker.started_at_by_task[FIRST] = [ends[0].ended_at - 1.0]
        if acknowledged_first:
            for end in ends:
                checker.acknowledge(FIRST, end)
        checker.check_start(worker, FIRST, failed + 1, False)
        for end in ends:
            checker.acknowledge(FIRST, end)
        assert rules(checker) == ["BUDGET"] * (failed == MAX_ATTEMPTS)

    def test_failed_end_that_the_lease_has_outlived(self):
        """Guards against counting attempts that the owner cannot know."""
        checker, (worker, other) = make_workers()
        other.failing_share = 1.0
        run(other, FIRST, -2.0)
        other.lease_end_ms = other.clock_ms() - 1000
        other.advance()
        checker.failed_by_task[FIRST] += failed_ends(other, MAX_ATTEMPTS - 1)
        checker.started_at_by_task[FIRST] = [time.monotonic() - 3.0]
        for end in checker.failed_by_task[FIRST]:
            checker.acknowledge(FIRST, end)
        checker.check_start(worker, FIRST, 2, False)
        assert checker.broken == []

    def test_acknowledged_failed_end(self):
        """Guards against acknowledged ends that the worker does not pass on."""
        checker, (worker, _) = make_workers()
        worker.failing_share = 1.0
        run(worker, FIRST, -0.1)
        worker.advance()
        curio.run(worker._renew_lease, {"observed": worker.ended[0][0]})
        assert [end.acknowledged for end in checker.failed_by_task[FIRST]] == [True]
        assert FIRST not in checker.done_by_task

    def test_unknown_job(self):
        """Guards against missing work that no client has sent."""
        checker, (worker, _) = make_workers()
        checker.check_start(worker, "0000000000000bad.0.0.0", 1, False)
        assert rules(checker) == ["UNASKED"]


def make_call(worker, kind, fields):
    """Returns a call to a worker."""
    headers = [Header("X-Arbutusladder-Target-Instance", worker.name)]
    body = json.dumps(fields).encode()
    return HttpRequest("POST", f"/v1/{kind}", "", {}, headers, body)


def start_fields(worker, number=1, fence=1, lease_s=5.0):
    """Returns the fields of an order to start a run of the first task."""
    fields = {"task": FIRST, "run": number, "fence": fence}
    return fields | {"deadline-ms": worker.clock_ms() + lease_s * 1000}


async def send(worker, kind, **fields):
    """Returns status and reason of the answer to a call; None without an answer."""
    call = make_call(worker, kind, fields)
    answer = await curio.ignore_after(0.3, worker.handle, call)
    if answer is None:
        return None
    return answer.status, json.loads(answer.body).get("reason", "")


class TestSoakWorker:
    """Calls of any age are executed by the life that is up then, with its checks."""

    @pytest.fixture
    def worker(self, monkeypatch):
        """A worker whose late calls are late by 0.1 s."""
        monkeypatch.setattr("tests.platform.soakworkers.LATE_CALL_S", (0.1, 0.1))
        shares = {"late": 1.0, "unanswered": 1.0, "refused": 1.0}
        monkeypatch.setattr("tests.platform.soakworkers.SHARES", shares)
        monkeypatch.setattr("tests.platform.soakworkers.HELD_SHARE", 1.0)
        return make_workers()[1][0]

    def play(self, worker, fields, change, fault="late"):
        """Sends an order, changes the worker 50 ms later; returns the answer."""

        async def play():
            worker.begin_fault(fault, 0.04)
            task = await curio.spawn(lambda: send(worker, "run-start", **fields))
            await curio.sleep(0.05)
            change()
            return await task.join()

        return curio.run(play)

    def test_late_order_reaches_the_next_life(self, worker):
        """Guards against late orders that end with the life that they were sent to."""
        fields = start_fields(worker, fence=7)

        def restart():
            worker.fence = 9
            worker.crash()
            worker.restart()
            worker._clock_offset_ms = 0.0

        assert self.play(worker, fields, restart) is None
        (call,) = worker._checker.trace.calls
        assert list(worker.running) == [(FIRST, 1)] and worker.fence == 7
        assert call.sent_to < call.born == worker.born
        assert call.delay == "late" and not call.answered_at

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            (lambda worker: setattr(worker, "fence", 2), "fence"),
            (lambda worker: worker.ended_runs.update({FIRST: 1}), "old"),
            (lambda worker: setattr(worker, "_clock_offset_ms", 9000.0), "late"),
        ],
    )
    def test_late_order_is_checked_when_it_is_executed(self, worker, change, reason):
        """Guards against late orders that a worker would have refused."""
        assert self.play(worker, start_fields(worker), lambda: change(worker)) is None
        (call,) = worker._checker.trace.calls
        assert not worker.running and call.status == f"409 {reason}"

    def test_call_to_the_former_address(self, worker):
        """Guards against calls that follow a worker to another address."""
        route = worker._checker.workers[1].route
        self.play(worker, start_fields(worker), lambda: setattr(worker, "route", route))
        assert not worker.running and not worker._checker.trace.calls

    def test_call_into_a_cut_arrives_when_it_ends(self, worker):
        """Guards against cuts that lose each call which was under way."""
        worker.set_silent(True)
        fields = start_fields(worker)
        assert self.play(worker, fields, lambda: worker.set_silent(False)) is None
        assert list(worker.running) == [(FIRST, 1)]

    @pytest.mark.parametrize("longest_s", [0.02, 1.0])
    def test_call_that_is_too_old_is_lost(self, worker, monkeypatch, longest_s):
        """Guards against calls that are executed later than workers do."""
        monkeypatch.setattr("tests.platform.soakworkers.LONGEST_DELAY_S", longest_s)
        worker.set_silent(True)
        self.play(worker, start_fields(worker), lambda: worker.set_silent(False))
        assert len(worker.running) == (longest_s == 1.0)

    @pytest.mark.parametrize("fault", ["unanswered", "refused"])
    def test_lost_answer_and_refusal(self, worker, fault):
        """Guards against refusals that start a run and lost answers that start none."""
        answer = self.play(worker, start_fields(worker), lambda: None, fault)
        assert answer == ((503, "") if fault == "refused" else None)
        assert list(worker.running) == [(FIRST, 1)] * (fault == "unanswered")

    def test_second_run_on_the_same_worker(self, worker):
        """Guards against a second run that is counted and does not run, or is lost."""

        async def play():
            for number in (1, 2, 2):
                answer = await send(worker, "run-start", **start_fields(worker, number))
                assert answer == (200, "")
            await send(worker, "run-stop", task=FIRST, run=1, fence=1)

        curio.run(play)
        assert rules(worker._checker) == ["TWICE"]
        assert list(worker.running) == [(FIRST, 2)]

    def test_stop_of_a_run_that_is_not_there(self, worker):
        """Guards against a late stop that ends a newer run of the task."""

        async def play():
            await send(worker, "run-start", **start_fields(worker, 2))
            await send(worker, "run-stop", task=FIRST, run=1, fence=1)
            return await send(worker, "run-start", **start_fields(worker, 1))

        assert curio.run(play) == (409, "old")
        assert list(worker.running) == [(FIRST, 2)]

    def test_entry_without_heartbeats(self, worker, monkeypatch):
        """Guards against entries of silent workers that stay."""
        monkeypatch.setattr("tests.platform.soakworkers.HEARTBEAT_S", 0.01)

        async def play():
            task = await curio.spawn(worker.run)
            await curio.sleep(0.05)
            worker.set_silent(True)
            await curio.sleep(0.1)
            lapsed = worker._store.topics["keyed.servers"].records[-1]
            worker.set_silent(False)
            await curio.sleep(0.05)
            await task.cancel()
            return lapsed

        name = worker.name.encode()
        assert curio.run(play) == bytes((len(name),)) + name
        assert b"svc" in worker._store.topics["keyed.servers"].records[-1]

    def test_trace_of_a_broken_rule(self, worker):
        """Guards against broken rules without the calls that led to them."""
        other = worker._checker.workers[1]

        async def play():
            await send(other, "run-start", **start_fields(other))
            await send(other, "hold", fence=2)
            await send(worker, "run-start", **start_fields(worker, 2))

        curio.run(play)
        ((at, task, line),) = worker._checker.trace.broken
        rows = worker._checker.trace.describe(task, at)
        assert worker._checker.trace.describe(task, at - 60.0) == []
        kinds = [row.split()[1:3] for row in rows]
        assert line.startswith(f"TWICE: {FIRST}")
        assert kinds == [["i-1", "run-start"], ["i-1", "hold"], ["i-0", "run-start"]]
        assert "runs [1]" in rows[1] and "200, answered" in rows[2]
        assert worker._checker.trace.count_unheard_starts() == 2
        curio.run(lambda: send(other, "hold", fence=2))
        fields = start_fields(other, 3, fence=2)
        curio.run(lambda: send(other, "run-start", **fields))
        assert worker._checker.trace.count_unheard_starts() == 2

    def test_trace_of_a_job(self, worker, tmp_path):
        """Guards against lost jobs without the runs of their tasks and the reasons."""
        log, other_job = tmp_path / "edge-0.log", f"{JOB[:-1]}b"
        at = datetime.now(UTC).replace(tzinfo=None).isoformat()
        rows = [
            {"event": 483, "text": f"may start again: {FIRST}:1(5)", "fields": {}},
            {"event": 483, "text": f"may start again: {other_job}.0.0.0:1(5)"},
            {"event": 481, "text": "no answer", "fields": {"task": FIRST}},
            {"event": 481, "text": "no answer", "fields": {"task": other_job}},
        ]
        lines = [json.dumps({"time": at, "source": "edge-0"} | row) for row in rows]
        log.write_text("\n".join(lines))

        async def play():
            await send(worker, "run-start", **start_fields(worker))
            await send(worker, "hold", fence=2)

        curio.run(play)
        worker.end_run((FIRST, 1), "done")
        rows = worker._checker.trace.describe(JOB, time.time(), [log])
        names = sorted(row.split()[1] for row in rows)
        assert names == ["edge-0"] * 2 + [worker.name] * 3
        assert f"run 1 of {FIRST}" in rows[2] and "runs [1]" in rows[3]
        assert f"run 1 of {FIRST} ends done" in rows[4]


class TestTickets:
    """Starts on workers that need tickets, and the service that hands them out."""

    STEP = FIRST.rpartition(".")[0]

    @pytest.fixture
    def worker(self):
        """A worker that needs tickets."""
        worker = make_workers()[1][0]
        worker.needs_tickets = True
        return worker

    def start(self, worker, ticket, task=FIRST):
        """Returns status and reason of the answer to an order with a ticket."""
        fields = start_fields(worker) | {"task": task, "ticket": ticket}
        return curio.run(lambda: send(worker, "run-start", **fields))

    def test_ticket_is_valid_for_all_tasks_of_a_step(self, worker):
        """Guards against checks that always fail."""
        worker._checker.steps_by_job[JOB] = [2]
        ticket = worker.permit(self.STEP, 1.0)
        for task in (FIRST, f"{self.STEP}.1"):
            assert self.start(worker, ticket, task) == (200, "")
        assert worker._checker.starts == 2

    @pytest.mark.parametrize("kind", ["none", "other step", "other worker", "expired"])
    def test_rejected_ticket(self, worker, kind):
        """Guards against starts without permission, and leases that they extend."""
        match kind:
            case "none":
                ticket = ""
            case "other step":
                ticket = worker.permit(SECOND.rpartition(".")[0], 1.0)
            case "other worker":
                ticket = worker._checker.workers[1].permit(self.STEP, 1.0)
            case "expired":
                ticket = worker.permit(self.STEP, 0.0)
        assert self.start(worker, ticket) == (409, "ticket")
        assert not worker.running and not worker._checker.starts
        assert worker.lease_end_ms is None

    def test_ticket_ends_with_the_incarnation(self, worker):
        """Guards against orders for a former incarnation that start a run."""
        ticket = worker.permit(self.STEP, 1.0)
        worker.crash()
        worker.restart()
        assert self.start(worker, ticket) == (409, "ticket")
        assert self.start(worker, worker.permit(self.STEP, 1.0)) == (200, "")

    def test_repeat_of_an_accepted_order(self, worker):
        """Guards against a repeat that is rejected since its ticket has expired."""
        ticket = worker.permit(self.STEP, 1.0)
        assert self.start(worker, ticket) == (200, "")
        worker._step_by_ticket.clear()
        assert self.start(worker, ticket) == (200, "")

    def advise(self, advice, workers, step=STEP):
        """Returns a call of the service about workers, with its status and reply."""

        async def call():
            fields = {"step": step, "workers": [worker.name for worker in workers]}
            body = json.dumps(fields).encode()
            request = HttpRequest("POST", "/v1/advise", "", {}, [], body)
            answer = await advice.handle(request)
            return answer.status, json.loads(answer.body)

        return call

    def test_permitted_workers_do_not_change(self, worker):
        """Guards against a policy that permits all or no workers, or changes."""
        _, workers = make_workers(9)
        calls = [self.advise(SoakAdvice(workers), workers[1:]) for _ in range(2)]
        replies = [curio.run(call)[1] for call in calls]
        first, second = ([name for name, _ in reply["good"]] for reply in replies)
        assert first == second and len(first) in {5, 6}
        assert set(first) < {worker.name for worker in workers[1:]}
        assert replies[0]["validity-ms"] == ADVICE["validity-ms"]

    def test_ticket_is_one_of_the_time_of_the_reply(self, worker, monkeypatch):
        """Guards against tickets of the incarnation that was up at the call."""
        monkeypatch.setitem(ADVICE, "decision-ms", 50)
        worker.needs_tickets = True
        call = self.advise(SoakAdvice([worker] * 2), [worker])

        async def play():
            task = await curio.spawn(call)
            await curio.sleep(0.02)
            worker.crash()
            worker.restart()
            return await task.join()

        _, reply = curio.run(play)
        assert self.start(worker, reply["good"][0][1]) == (200, "")

    def test_one_call_at_a_time(self, monkeypatch):
        """Guards against calls of one entry VM that are served together."""
        monkeypatch.setitem(ADVICE, "decision-ms", 50)
        _, workers = make_workers(3)
        call = self.advise(SoakAdvice(workers), workers)

        async def play():
            began_at = time.monotonic()
            tasks = [await curio.spawn(call) for _ in range(3)]
            return [
                ((await task.join())[0], time.monotonic() - began_at) for task in tasks
            ]

        rows = curio.run(play)
        each_s = (50 + 3 * ADVICE["each-ms"]) / 1000
        assert [status for status, _ in rows] == [200] * 3
        assert all(at >= n * each_s for n, (_, at) in enumerate(rows, 1))

    def test_too_many_calls_wait(self, monkeypatch):
        """Guards against a queue of calls without a bound."""
        monkeypatch.setitem(ADVICE, "decision-ms", 10_000)
        call = self.advise(SoakAdvice([]), [])

        async def play():
            for _ in range(1 + MAX_WAITING):
                await curio.spawn(call, daemon=True)
            await curio.sleep(0.02)
            return await curio.timeout_after(1.0, call)

        assert curio.run(play)[0] == 429

    @pytest.mark.parametrize(
        ("target", "status"), [(0, 503), (1, 200), (2, None)], ids=lambda v: str(v)
    )
    def test_outage(self, tmp_path, monkeypatch, target, status):
        """Guards against an outage that changes no answers, or does not end."""
        monkeypatch.setitem(ADVICE, "decision-ms", 10)
        monkeypatch.setattr("tests.platform.soakadvice.LATE_ANSWER_S", (0.2, 0.2))
        soak = SoakRun([], 1, 1, tmp_path, tickets=True)

        async def play():
            await soak._start_advice()
            (service,) = soak._advice_services
            call = self.advise(service, soak.checker.workers)
            fault = Fault(0.0, "advice_outage", target, 0.1)
            outage = await curio.spawn(soak.inject_advice_outage, fault)
            await curio.sleep(0.02)
            began_at = time.monotonic()
            answer = await curio.ignore_after(0.5, call)
            await outage.join()
            assert (await call())[0] == 200
            return answer and answer[0], time.monotonic() - began_at

        answered, seconds = curio.run(play)
        assert answered == status
        assert status != 200 or seconds >= 0.2


class TestGangs:
    """Members of a gang of two on two workers."""

    OTHER = f"{JOB}.0.0.1"

    @pytest.fixture
    def workers(self, monkeypatch):
        """Two workers, and a job that is one gang whose work takes 50 ms."""
        monkeypatch.setattr("tests.platform.soakgangs.GANG_WAIT_S", 0.05)
        checker, workers = make_workers()
        checker.steps_by_job[JOB] = [2]
        checker.gangs.size_by_job[JOB] = 2
        for worker in workers:
            worker._task_s = lambda task: 0.05
        return workers

    def play(self, workers, *numbers, change=lambda: None):
        """Starts the members with these run numbers; returns how they have ended."""

        async def play():
            members = (FIRST, self.OTHER)
            for worker, task, number in zip(workers, members, numbers, strict=False):
                fields = start_fields(worker, number) | {"task": task}
                assert await send(worker, "run-start", **fields) == (200, "")
            await curio.sleep(0.02)
            change()
            await curio.sleep(0.05)
            for worker in workers:
                worker.advance()

        curio.run(play)
        return [[row[3] for row in worker.ended] for worker in workers]

    def test_members_end_together(self, workers):
        """Guards against members that work without the others."""
        assert self.play(workers, 1, 1) == [["done"], ["done"]]

    @pytest.mark.parametrize("numbers", [(1,), (1, 2)])
    def test_member_without_the_others(self, workers, numbers):
        """Guards against members that work with those of another run, or wait on."""
        expected = [["alone"] * (len(numbers) > n) for n in range(2)]
        assert self.play(workers, *numbers) == expected

    def test_member_that_is_stopped(self, workers):
        """Guards against members that work on after one has ended."""
        stop = {"task": FIRST, "run": 1}
        ends = self.play(workers, 1, 1, change=lambda: workers[0]._stop(stop))
        assert ends == [["stopped"], ["broken"]]

    def test_member_whose_worker_crashes(self, workers):
        """Guards against members that work on after a crash of another worker."""
        assert self.play(workers, 1, 1, change=workers[0].crash) == [[], ["broken"]]

    def test_end_of_one_member_counts_for_all(self, workers):
        """Guards against missing a start after an end that another member reported."""
        self.play(workers, 1, 1)
        checker = workers[0]._checker
        del checker.done_by_task[FIRST]
        checker.show(JOB, "completed")
        checker.acknowledge(self.OTHER, checker.done_by_task[self.OTHER][0])
        checker.check_start(workers[0], FIRST, 2, False)
        assert rules(checker) == ["TWICE"]

    def test_earlier_start_of_another_member(self, workers):
        """Guards against missing a start between an end and its acknowledgement."""
        self.play(workers, 1, 1)
        checker = workers[0]._checker
        end = checker.done_by_task[self.OTHER][0]
        checker.started_at_by_task[FIRST].append(end.ended_at + 1.0)
        checker.acknowledge(self.OTHER, end)
        assert rules(checker) == ["TWICE"]


class TestClaims:
    """Claims as the store holds them after a run."""

    @pytest.mark.parametrize(
        ("claims", "broken"),
        [
            ([(1, "a"), (1, "a"), (2, "b")], 0),
            ([(1, "a"), (2, "b"), (2, "c")], 1),
            ([(1, "a"), (2, "b"), (1, "a")], 1),
        ],
    )
    def test_epoch_has_one_holder_and_rises(self, tmp_path, claims, broken):
        """Guards against missing two owners with one fencing token."""
        soak = SoakRun([], 0, 1, tmp_path)
        topic = soak._store.topics.setdefault(OWNER_TOPIC, FakeTopic())
        for epoch, holder in claims:
            key, value = claim_item(CellClaim(epoch, holder, "a:1", 0))
            topic.records.append(bytes((len(key),)) + key.encode() + value)
        soak._check_claims()
        assert rules(soak.checker) == ["ONE"] * broken


class StoppedEntry:
    """An entry VM without a process, which counts its faults."""

    def __init__(self, name):
        self.name = name
        self.busy = False
        self.signals: list[int] = []
        self.store_route = Route("127.0.0.1:1", "127.0.0.1:2")
        self.process = SimpleNamespace(send_signal=self.signals.append)

    def running(self):
        """Returns that the process has ended."""
        return False

    def start(self):
        """Starts nothing."""

    end = start


class TestFaults:
    """Faults that choose entry VMs themselves, and what a broken rule tells of them."""

    def test_broken_rule_names_the_faults(self, soak):
        """Guards against breaks of which nobody can tell whether the rule held."""

        async def play():
            faults = [Fault(0.0, "slow_store", 0, seconds) for seconds in (0.05, 0.1)]
            tasks = [await curio.spawn(soak._inject, fault) for fault in faults]
            await curio.sleep(0.07)
            soak.checker.breaks("ONE", "with a fault")
            for task in tasks:
                await task.join()
            soak.checker.breaks("ONE", "after the last fault")

        curio.run(play)
        with_fault, afterwards = soak.checker.broken
        assert ", slow_store, " in with_fault and "calm for 0.0 s" in afterwards

    @pytest.fixture
    def soak(self, tmp_path):
        """A run with five entry VMs, of which the fourth owns the cell."""
        soak = SoakRun([], 0, 1, tmp_path)
        soak._entries = [StoppedEntry(f"edge-{number}") for number in range(5)]
        key, value = claim_item(CellClaim(1, "edge-3", "a:1", 0))
        record = bytes((len(key),)) + key.encode() + value
        soak._store.topics[OWNER_TOPIC] = FakeTopic([record])
        return soak

    def test_half_of_the_entry_vms_pause(self, soak):
        """Guards against a pause that leaves the owner out or stops all."""
        curio.run(soak.inject_half_pause, Fault(0.0, "half_pause", 3, 0.05))
        paused = {entry.name for entry in soak._entries if entry.signals}
        assert len(paused) == 2 and "edge-3" in paused

    def test_all_are_killed_together(self, soak):
        """Guards against entry VMs that outlive a loss of power."""
        curio.run(soak.inject_kill_all, Fault(0.0, "kill_all", 0, 0.0))
        assert [entry.signals for entry in soak._entries] == [[signal.SIGKILL]] * 5

    def test_owner_is_killed_twice(self, soak, monkeypatch):
        """Guards against a process under the old name that lives on."""
        monkeypatch.setattr("tests.platform.soak.SECOND_KILL_S", 0.01)
        curio.run(soak.inject_owner_kill_twice, Fault(0.0, "", 0, 0.0))
        killed = {entry.name: entry.signals for entry in soak._entries if entry.signals}
        assert killed == {"edge-3": [signal.SIGKILL] * 2}

    @pytest.mark.parametrize("target", range(9))
    def test_loss_in_one_direction(self, soak, target):
        """Guards against a one-way loss that hits both ways, or lasts on."""
        (worker,) = soak.checker.workers

        def losses():
            route = worker.route
            losses = route.lost_request, route.loses_answers, worker.loses_heartbeats
            return [loss not in {None, False} for loss in losses]

        async def play():
            task = await curio.spawn(soak.inject_one_way, Fault(0.0, "", target, 0.1))
            await curio.sleep(0.02)
            during = losses()
            await task.join()
            return during

        during = curio.run(play)
        assert during == [target == 3 * way for way in range(3)]
        assert losses() == [False] * 3

    def test_workers_swap_their_addresses(self, tmp_path):
        """Guards against an address at which nobody, or its former worker, answers."""
        soak = SoakRun([], 0, 2, tmp_path)
        workers = soak.checker.workers
        addresses = [worker.route.address for worker in workers]
        pool = HttpConnectionPool(Clock())

        async def call(address, name):
            headers = [Header("X-Arbutusladder-Target-Instance", name)]
            answer = await pool.request(
                address, "POST", "/v1/hold", headers, b"{}", 1.0
            )
            await pool.close_idle(address)
            return answer.status

        async def play():
            for worker in workers:
                for run in worker.server.run, worker.route.run:
                    await curio.spawn(run, daemon=True)
            await curio.sleep(0.01)
            rows = [await call(address, "i-0000") for address in addresses]
            await soak.inject_address_swap(Fault(0.0, "", 0, 0.01))
            return rows, [await call(address, "i-0000") for address in addresses]

        assert curio.run(play) == ([200, 421], [421, 200])
        assert [worker.route.address for worker in workers] == addresses[::-1]

    @pytest.mark.parametrize("target", [1, 1 + ZONES])
    def test_recut_of_a_failure_domain(self, tmp_path, monkeypatch, target):
        """Guards against recuts of workers in several failure domains, or of a part."""
        monkeypatch.setattr("tests.platform.soak.RECUT_LATE_S", 0.0)
        monkeypatch.setattr("tests.platform.soak.RECUT_DOWN_S", 0.0)
        monkeypatch.setattr("tests.platform.soak.ZONE_PAUSES_S", ((0.0, 0.0),) * 2)
        soak = SoakRun([], 0, 2 * ZONES, tmp_path)
        curio.run(soak.inject_zone_recut, Fault(0.0, "", target, 0.05))
        rows = soak.checker.trace.states
        texts = {(name, text.split()[0]) for _, name, text in rows}
        names = [soak.checker.workers[number].name for number in (1, 1 + ZONES)]
        words = ("crashes", "starts", "is")
        assert texts == {(name, word) for name in names for word in words}
        assert not any(worker.silent for worker in soak.checker.workers)

    def test_crash_behind_a_cut(self, soak):
        """Guards against a worker that is seen to restart, or does not restart."""
        (worker,) = soak.checker.workers
        first_life = worker.born
        curio.run(soak.inject_cut_crash, Fault(0.0, "", 0, 0.1))
        assert worker.born > first_life and not (worker.down or worker.silent)
        texts = [text.split()[0] for _, _, text in soak.checker.trace.states]
        assert texts == ["is", "crashes", "starts", "is"]
        assert "keyed.servers" not in soak._store.topics

    @pytest.mark.parametrize("kind", ROUTE_FAULTS)
    def test_ways_to_the_store_recover(self, soak, kind):
        """Guards against a fault that reaches the wrong entry VMs or lasts on."""
        healthy = [route_faults(entry) for entry in soak._entries]

        async def play():
            inject = getattr(soak, f"inject_{kind}")
            task = await curio.spawn(inject, Fault(0.0, kind, 0, 0.1))
            await curio.sleep(0.02)
            faulty = [
                entry.name
                for entry, before in zip(soak._entries, healthy, strict=True)
                if route_faults(entry) != before
            ]
            await task.join()
            return faulty

        assert curio.run(play) == ROUTE_FAULTS[kind]
        assert [route_faults(entry) for entry in soak._entries] == healthy

    def test_late_appends(self, monkeypatch):
        """Guards against late appends that are answered, or are never applied."""
        monkeypatch.setattr("tests.platform.fakes.LATE_APPEND_S", (0.1, 0.1))
        store = FakeStore()
        store.late_append_share = 1.0
        topic = store.topics["t"] = FakeTopic()
        append = HttpRequest("POST", "/v1/log-append", "", {"topic": "t"})
        append.body = b"\0\0\0\1a"

        async def play():
            assert await curio.ignore_after(0.05, store.handle, append) is None
            task = await curio.spawn(store.handle, append)
            await curio.sleep(0.05)
            assert topic.records == []
            await curio.sleep(0.1)
            assert topic.records == [b"a"] and not task.terminated
            await task.cancel()

        curio.run(play)


class TestPlan:
    """Plans of faults."""

    def test_seed_decides_the_plan(self):
        """Guards against a failed seed that cannot be played again."""
        assert make_plan(3, 30.0) == make_plan(3, 30.0) != make_plan(4, 30.0)

    def test_tickets_add_a_series(self):
        """Guards against plans of known seeds that change, or lack what is added."""
        plan, with_tickets = make_plan(3, 30.0), make_plan(3, 30.0, tickets=True)
        added = [fault for fault in with_tickets if fault not in plan]
        assert {fault.kind for fault in added} == set(ZONE_FAULTS)
        assert [fault for fault in with_tickets if fault in plan] == plan

    def test_outages_add_a_series(self):
        """Guards against plans of known seeds that change, or lack what is added."""
        plan = make_plan(3, 30.0, teams=True, tickets=True)
        with_outages = make_plan(3, 30.0, teams=True, tickets=True, outages=True)
        added = [fault for fault in with_outages if fault not in plan]
        assert {fault.kind for fault in added} == set(ADVICE_FAULTS)
        assert {fault.target % len(Outage) for fault in added} == {0, 1, 2}
        assert [fault for fault in with_outages if fault in plan] == plan

    @pytest.mark.parametrize("path", sorted(PLANS.glob("*.yaml")), ids=lambda p: p.name)
    def test_plan_file(self, path):
        """Guards against plans in files that cannot be played."""
        plan = [Fault(**row) for row in yaml.safe_load(path.read_text())]
        assert plan and all(hasattr(SoakRun, f"inject_{row.kind}") for row in plan)

    def test_each_kind_has_a_method(self):
        """Guards against a plan that ends with an unknown fault."""
        kinds = [*FAULTS, *RECUT_FAULTS, *ZONE_FAULTS, *ADVICE_FAULTS]
        assert all(hasattr(SoakRun, f"inject_{kind}") for kind in kinds)
