"""Tests of shadow reservations; test_fairshare tests preemption."""

import math

from arbutusladder.decisions import Job, Task
from arbutusladder.fleet import Fleet
from arbutusladder.messages import Resources
from arbutusladder.preemption import Reservations
from arbutusladder.states import TaskState, Urgency
from tests.test_policies import new_job


def new_gang(sequence, tasks=2, urgency=Urgency.NORMAL):
    job = Job(new_job(f"gang{sequence}", tasks, 8.0, urgency, gang=True), 0.0, sequence)
    job.level = urgency
    return job


class TestReservations:
    """Guards against gangs that compete for the same workers."""

    def new_reservations(self, ends):
        """Returns reservations on full workers whose tasks end at the given times."""
        fleet, tasks_by_vm = Fleet(), {}
        for number, end in enumerate(ends):
            vm = f"w{number}"
            fleet.add_or_update(vm, Resources(8.0, 8192), "rack", True)
            job = Job(new_job(f"job{number}", cpu=8.0), 0.0, number)
            state = TaskState.RUNNING
            task = Task(f"t{number}", job, 0, vm, Resources(8.0, 8192), state, end)
            fleet.reserve(vm, task.task_id, task.resources)
            tasks_by_vm[vm] = {task.task_id: task}
        return Reservations(fleet, tasks_by_vm, lambda task, now: task.started_at)

    def test_earliest_available_workers_are_held(self):
        reservations = self.new_reservations([50.0, 10.0, math.inf, 20.0])
        gang = new_gang(9)
        reservations.assign([(gang, Resources(8.0, 8192), 2, False)], 0.0)
        held = reservations.for_job(gang)
        assert set(held.vms) == {"w1", "w3"}
        assert held.start_at == 20.0

    def test_two_jobs_hold_different_workers(self):
        reservations = self.new_reservations([10.0, 20.0, 30.0])
        one, two = new_gang(8), new_gang(9)
        need = Resources(8.0, 8192)
        wanted = [(one, need, 2, False), (two, need, 2, True)]
        reservations.assign(wanted, 0.0)
        assert reservations.for_job(one) and reservations.for_job(two) is None
        reservations.cancel(one)
        reservations.assign(wanted[1:], 0.0)
        assert set(reservations.for_job(two).vms) == {"w0", "w1"}

    def test_service_that_never_ends_prevents_a_reservation(self):
        reservations = self.new_reservations([math.inf, 10.0])
        gang = new_gang(9)
        reservations.assign([(gang, Resources(8.0, 8192), 2, False)], 0.0)
        assert reservations.for_job(gang) is None
