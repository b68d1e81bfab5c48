"""Tests of the placement preview: it decides as placement does and changes nothing."""

import dataclasses
import random
from types import SimpleNamespace

import curio
import pytest

from arbutusladder.cell.advicecalls import AdviceCapacity
from arbutusladder.cell.interfaces import StartOrder
from arbutusladder.cell.joblimits import JobLimits
from arbutusladder.cell.preview.decision import PREVIEW_JOB_ID, preview_job
from arbutusladder.cell.preview.service import MAX_WAITING, PreviewService
from arbutusladder.cell.states import WaitCause
from arbutusladder.clock import Clock
from arbutusladder.errors import PreviewUnavailable
from arbutusladder.ids import VmId
from arbutusladder.messages import PreviewReply, Resources, StepSpec
from tests.cell import workloads
from tests.cell.test_teamusage import NOW, QUEUED, Cell, limits, of_team


def preview(cell, record, now=NOW, advice=None, admits=False):
    """Returns the preview of a job that is not sent."""
    return preview_job(
        cell.state,
        dataclasses.replace(record, job_id=PREVIEW_JOB_ID),
        cell.state.team_ledger.limits,
        advice or AdviceCapacity(8, 6),
        now,
        owner=VmId("e-1"),
        wall_offset=0.0,
        admits_by_forecast=admits,
    )


def contents(value, seen=None):
    """Returns all that an object holds, at any depth, in a comparable form."""
    seen = {} if seen is None else seen
    if isinstance(value, (str, bytes, int, float, type(None))) or callable(value):
        return value
    if id(value) in seen:
        return ("seen", seen[id(value)][0])
    # The value is kept, since another object could get its id.
    seen[id(value)] = len(seen), value
    match value:
        case dict():
            return [(contents(k, seen), contents(v, seen)) for k, v in value.items()]
        case set() | frozenset():
            return sorted(map(repr, value))
        case list() | tuple():
            return [contents(item, seen) for item in value]
    names = [n for t in type(value).__mro__ for n in getattr(t, "__slots__", ())]
    fields = {name: getattr(value, name) for name in names if hasattr(value, name)}
    fields |= getattr(value, "__dict__", {})
    return [type(value).__name__, contents(fields, seen)]


def busy_cell():
    """Returns a cell with running, waiting, advised and recurring work of two teams."""
    cell = Cell(limits(a=100.0, b=0.0))
    for number in range(12):
        record = (workloads.quote, workloads.audit, workloads.residual)[number % 3]
        cell.add(of_team("ab"[number % 2], record(number)))
    queue = dataclasses.replace(workloads.QUOTES, advice_s=0.1, advice_validity_s=1.0)
    cell.add(dataclasses.replace(workloads.quote(20), queue=queue))
    cell.placer.decide(NOW, AdviceCapacity(8, 6))
    cell.add(dataclasses.replace(workloads.quote(21), queue=queue))
    step = StepSpec(1, Resources(60.0, 1.0), 1.0)
    times = {"times": 3, "first_at": NOW, "interval_s": 1.0}
    recurring = cell.add(workloads.job(22, workloads.AUDITS, step, **times))
    recurring.open_due_occurrences(NOW)
    cell.state.worker_by_vm["w-002"].speed.observe(0.1, 2.0, NOW)
    return cell


class TestNothingChanges:
    """Guards against a preview that stores, starts, charges, reserves or logs."""

    @pytest.mark.parametrize("seed", range(24))
    def test_state_is_the_same_before_and_after(self, seed):
        draw = random.Random(seed)
        cell, now = busy_cell(), NOW + draw.choice([0.1, 2.0, 60.0])
        queue = dataclasses.replace(
            draw.choice([workloads.QUOTES, workloads.AUDITS]),
            advice_s=draw.choice([0.0, 0.3]),
        )
        step = StepSpec(
            draw.randint(1, 30),
            Resources(draw.choice([0.5, 9.0]), 500.0),
            1.0,
            gang=draw.random() < 0.5,
            image="i",
        )
        record = workloads.job(99, queue, step, team=draw.choice(["", "a", "b"]))
        before = contents(cell.state)
        preview(cell, record, now, admits=True)
        assert contents(cell.state) == before

    def test_comparison_sees_a_start(self):
        """Guards against a comparison that finds all states equal."""
        cell = busy_cell()
        before = contents(cell.state)
        cell.add(workloads.quote(50))
        cell.start()
        assert contents(cell.state) != before


class TestPreviewMatchesPlacement:
    """Pattern: a job is previewed, and then sent."""

    @pytest.mark.parametrize("record", [workloads.quote, workloads.audit])
    @pytest.mark.parametrize("is_busy", [False, True])
    def test_job_starts_where_the_preview_said(self, record, is_busy):
        """Guards against a preview that decides by rules of its own."""
        cell = busy_cell() if is_busy else Cell(limits())
        self.check(cell, of_team("b" if is_busy else "", record(30)), NOW, is_busy)

    @pytest.mark.parametrize("seed", range(30))
    def test_random_cells(self, seed):
        """Guards against work that precedes the job, or charges, left out."""
        draw = random.Random(seed)
        cell, now, found = Cell(limits(a=60.0, b=0.0, c=0.0)), NOW, 0
        for number in range(40):
            step = StepSpec(
                draw.randint(1, 8),
                Resources(draw.uniform(0.5, 12.0), draw.uniform(10.0, 9000.0)),
                1.0,
                gang=draw.random() < 0.3,
                one_rack=draw.random() < 0.3,
            )
            terms = draw.choice([workloads.QUOTES, workloads.AUDITS])
            record = workloads.job(number, terms, step, team=draw.choice("abc"))
            found += self.check(cell, record, now, True)
            for worker in cell.state.worker_by_vm.values():
                for run in list(worker.run_by_key.values()):
                    if draw.random() < 0.3:
                        stage = cell.state.end_run(worker, run, workloads.LISTED_END)
                        cell.state.complete_task(stage, run.index)
                cell.report(worker.entry.vm, now=now)
            now += 0.1
        assert found

    def check(self, cell, record, now, may_wait):
        """Sends a previewed job and returns how many of its tasks start."""
        (step,) = preview(cell, record, now).steps
        cell.state.add_job(record, QUEUED, now)
        prefix = f"{record.job_id}."
        orders = cell.placer.decide(now, AdviceCapacity(8, 6))
        starts = [order for order in orders if isinstance(order, StartOrder)]
        found = [(o.task, o.vm) for o in starts if o.task.startswith(prefix)]
        assert found == [(f"{prefix}0.0.{s.task}", s.vm) for s in step.starts]
        assert may_wait or found
        return len(found)

    def test_waiting_gang_keeps_its_reservation(self):
        """Guards against workers named that a waiting gang has reserved."""
        cell = Cell(limits())
        cell.add(workloads.audit(1, count=40, cpu=4.0))
        cell.start()
        cell.add(workloads.residual(2, count=12, cpu=18.0))
        cell.start(NOW + 0.1)
        (step,) = preview(cell, workloads.audit(3, count=1), NOW + 0.2).steps
        assert step.cause == WaitCause.ROOM.value and not step.starts


class TestReasons:
    """Guards against a wait without a reason, or with a wrong one."""

    def test_charge_against_the_cap(self):
        cell = Cell(limits(a=20.0))
        cell.add(of_team("a", workloads.audit(1, count=20, cpu=4.0)))
        cell.start()
        found = preview(cell, of_team("a", workloads.audit(2, count=2, cpu=4.0)))
        assert (found.team.charged.cpu, found.team.cap.cpu) == (20.0, 20.0)
        assert found.steps[0].cause == WaitCause.CAP.value
        assert "are 20 cores, 20000 MB of 20 cores" in found.steps[0].remedy

    def test_advice_is_not_asked_for(self):
        cell = Cell(limits())
        queue = dataclasses.replace(workloads.QUOTES, advice_s=0.3)
        record = dataclasses.replace(workloads.quote(1), queue=queue)
        (step,) = preview(cell, record).steps
        assert sorted(step.named_workers) == [e.vm for e in cell.entries]
        assert step.cause == WaitCause.ADVICE.value and not step.starts
        (step,) = preview(cell, record, advice=AdviceCapacity(0, 0)).steps
        assert step.cause == WaitCause.CALLER.value and not step.named_workers

    @pytest.mark.parametrize(
        ("fields", "expected_text"),
        [
            ({"need": Resources(65.0, 1.0)}, "large enough for 65 cores, 1 MB"),
            ({"required_label": "gpu"}, "label 'gpu' is large enough"),
            ({"gang": True, "count": 9}, "too few for the gang"),
        ],
    )
    def test_impossible_step(self, fields, expected_text):
        step = StepSpec(1, Resources(40.0, 1.0), 1.0)
        step = dataclasses.replace(step, **fields)
        found = preview(Cell(limits()), workloads.job(1, workloads.QUOTES, step))
        assert found.steps[0].cause == WaitCause.ROOM.value
        assert expected_text in found.steps[0].remedy

    def test_steps_that_are_not_ready(self):
        steps = [StepSpec(1, Resources(1.0, 1.0), 1.0, after=a) for a in ([], [0])]
        record = workloads.job(1, workloads.QUOTES, *steps)
        first, second = preview(Cell(limits()), record).steps
        assert len(first.starts) == 1 and second.cause == "earlier steps"
        later = dataclasses.replace(record, times=2, first_at=NOW + 5, interval_s=9)
        assert [s.cause for s in preview(Cell(limits()), later).steps] == ["time"] * 2


def answer_with(value):
    """Returns a coroutine function with a fixed result."""

    async def answer(*arguments):
        return value

    return answer


class TestOwnerThatDoesNotAnswer:
    """Pattern: an entry VM is asked while the owner is gone, silent or busy."""

    def service(self, **claim):
        """Returns the service of an entry VM that knows a claim, and what it knows."""
        current = SimpleNamespace(**claim) if claim else None
        claims = SimpleNamespace(owner=None, current=current)
        peers = SimpleNamespace(connect=answer_with(True), call=answer_with(None))
        member = SimpleNamespace(vm="e-1", listen="a:1", claims=claims, peers=peers)
        settings = SimpleNamespace(job_limits=JobLimits())
        dependencies = SimpleNamespace(clock=Clock(), settings=settings, teams=limits)
        return PreviewService(member, dependencies), member

    def ask(self, service):
        """Returns the problem that an entry VM answers with."""
        with pytest.raises(PreviewUnavailable) as caught:
            curio.run(service.preview, workloads.quote(1))
        return caught.value.problem

    def test_no_owner(self):
        """Guards against questions that are sent to nobody."""
        assert "no entry VM owns" in self.ask(self.service()[0])
        for holder, released in (("e-2", True), ("e-1", False)):
            service, _ = self.service(holder=holder, released=released, address="")
            assert "no entry VM owns" in self.ask(service)

    def test_owner_without_an_answer(self):
        """Guards against a question that waits for good, or an empty answer."""
        service, member = self.service(holder="e-2", released=False, address="a:1")
        assert "e-2 did not answer in 3 s" in self.ask(service)
        member.peers.call = answer_with(PreviewReply("r", b"", "not the owner"))
        assert self.ask(service) == "not the owner"

    def test_too_many_questions(self):
        """Guards against an owner that only makes previews."""
        service, member = self.service()
        member.claims.owner = SimpleNamespace(taken_over=True, ended=False)
        service._waiting = MAX_WAITING
        assert "other previews" in self.ask(service)
