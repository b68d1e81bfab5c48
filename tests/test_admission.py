"""Tests of admission control for requests."""

import random
from collections import Counter

from arbutusladder.admission import AdmissionController, Ticket
from arbutusladder.states import Reason, Urgency

SLOTS = 16
WORK_S = 0.05


def new_ticket(urgency=Urgency.NORMAL, deadline=1e9):
    return Ticket("s", urgency, deadline)


def new_admission(queue_limit=100, slots=SLOTS, estimate=0.0, now=0.0):
    admission = AdmissionController(queue_limit)
    admission.set_slots("s", slots)
    if estimate:
        for urgency in Urgency:
            done = new_ticket(urgency)
            admission.enqueue(done, now, slots)
            admission.start(done)
            admission.end_request(done, estimate, now)
    return admission


def simulate(rate_by_urgency, seconds=20.0, seed=1):
    """Returns the number of offered and finished requests of a service by urgency."""
    generator = random.Random(seed)
    admission, running = new_admission(500), []
    offered, finished = Counter(), Counter()
    now, step = 0.0, 0.002
    while now < seconds:
        now += step
        for entry in [r for r in running if r[0] <= now]:
            running.remove(entry)
            admission.end_request(entry[1], WORK_S, now)
            finished[entry[1].urgency] += 1
        for urgency, rate in rate_by_urgency.items():
            if generator.random() < rate * step:
                offered[urgency] += 1
                new = Ticket("s", urgency, now + 0.5)
                admission.enqueue(new, now, SLOTS - len(running))
        while found := list(admission.candidates("s", SLOTS - len(running))):
            if admission.is_late(found[0], now):
                admission.remove(found[0])
                continue
            admission.start(found[0])
            running.append((now + WORK_S, found[0]))
    return offered, finished


class TestShares:
    """Guards against starvation of other classes by a flood of one class."""

    def test_batch_flood_does_not_starve_urgent_and_service_requests(self):
        rates = {Urgency.BATCH: 450, Urgency.URGENT: 100, Urgency.SERVICE: 40}
        offered, finished = simulate(rates)
        for urgency in (Urgency.URGENT, Urgency.SERVICE):
            assert finished[urgency] >= 0.95 * offered[urgency]

    def test_urgent_flood_does_not_starve_normal_and_batch_requests(self):
        rates = {Urgency.URGENT: 450, Urgency.NORMAL: 25, Urgency.BATCH: 15}
        offered, finished = simulate(rates)
        for urgency in (Urgency.NORMAL, Urgency.BATCH):
            assert finished[urgency] >= 0.95 * offered[urgency]

    def test_reserved_slots_are_kept_for_urgent_requests(self):
        admission = new_admission()
        batch, urgent = new_ticket(Urgency.BATCH), new_ticket(Urgency.URGENT)
        admission.enqueue(batch, 0, 4)
        assert list(admission.candidates("s", 4)) == []
        admission.enqueue(urgent, 0, 4)
        assert list(admission.candidates("s", 4)) == [urgent]
        admission.start(urgent)
        assert list(admission.candidates("s", 4)) == [batch]

    def test_urgent_reserve_leaves_one_slot_to_other_classes(self):
        admission = new_admission(slots=1)
        admission.set_urgent_reserve(1.0)
        admission.enqueue(new_ticket(), 0, 1)
        assert len(list(admission.candidates("s", 1))) == 1


class TestRefusals:
    """Guards against queued requests that cannot be answered in time."""

    def test_queue_limit_applies_per_class(self):
        admission = new_admission(queue_limit=10)
        refusals = [admission.enqueue(new_ticket(), 0, 0) for _ in range(4)]
        assert [r and r.reason for r in refusals[1:]] == [
            None,
            Reason.QUEUE_FULL,
            Reason.QUEUE_FULL,
        ]
        assert admission.enqueue(new_ticket(Urgency.URGENT), 0, 0) is None

    def test_unreachable_deadline_is_refused_with_a_valid_retry_hint(self):
        admission = new_admission(queue_limit=1000, estimate=1.0)
        while (refusal := admission.enqueue(new_ticket(deadline=3), 0, 0)) is None:
            pass
        assert refusal.reason is Reason.DEADLINE_UNREACHABLE
        assert SLOTS < admission.waiting <= 3 * SLOTS
        later = new_ticket(deadline=3 + refusal.retry_after_s + 0.01)
        assert admission.enqueue(later, 0, 0) is None

    def test_service_time_above_the_deadline_is_refused(self):
        admission = new_admission(estimate=1.0)
        refusal = admission.enqueue(new_ticket(deadline=0.5), 0, SLOTS)
        assert refusal.reason is Reason.DEADLINE_UNREACHABLE

    def test_old_estimate_decays(self):
        admission = new_admission(estimate=1.0)
        assert admission.enqueue(new_ticket(deadline=10.5), 10, SLOTS) is None

    def test_blocked_slots_refuse_with_the_remaining_time_as_hint(self):
        refusal = new_admission().enqueue(new_ticket(deadline=2), 0, 0, not_before=5)
        assert refusal.reason is Reason.DEADLINE_UNREACHABLE
        assert refusal.retry_after_s == 3

    def test_late_waiting_request_is_detected(self):
        admission = new_admission(estimate=1.0)
        assert not admission.is_late(new_ticket(deadline=1.5), 0.4)
        assert admission.is_late(new_ticket(deadline=1.5), 0.6)

    def test_withdrawn_request_frees_its_queue_slot(self):
        admission = new_admission(queue_limit=5)
        first = new_ticket()
        assert admission.enqueue(first, 0, 0) is None
        assert admission.remove(first) and not admission.remove(first)
        assert admission.waiting == 0 and admission.enqueue(new_ticket(), 0, 0) is None

    def test_retry_is_queued_first(self):
        admission = new_admission()
        first, retry = new_ticket(), new_ticket()
        admission.enqueue(first, 0, 0)
        admission.enqueue_retry(retry)
        assert next(admission.candidates("s", 99)) is retry
