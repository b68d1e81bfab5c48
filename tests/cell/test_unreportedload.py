"""Tests of what waiting for workers of a predecessor costs an owner."""

import time
from dataclasses import replace

from arbutusladder.cell.confirmation import EVIDENCE_VALIDITY_S
from arbutusladder.cell.owner import PREDECESSOR_RENEWAL_WINDOW_S
from arbutusladder.cell.workers import (
    longest_lease_s,
)
from tests.cell import workloads
from tests.cell.inprocess import MAX_LEASE_S
from tests.cell.test_unreported import NOW, state_after_takeover

# A tenth of the workers of the design size, and a quarter of its tasks as jobs.
LOST_WORKERS = 100
JOBS = 2000
LEASES_END_AT = NOW + PREDECESSOR_RENEWAL_WINDOW_S + longest_lease_s(MAX_LEASE_S)


def with_tickets(record):
    """Returns a submission in a queue with tickets."""
    terms = replace(record.queue, advice_s=0.1, advice_validity_s=1.5)
    return replace(record, queue=terms)


class TestLostWorkers:
    """Pattern: many workers are lost for good shortly before a takeover."""

    def state(self):
        """Returns a state with inherited jobs that need tickets."""
        jobs = [with_tickets(workloads.quote(n)) for n in range(1, JOBS + 1)]
        state = state_after_takeover(*jobs)
        for number in range(LOST_WORKERS):
            state.unreported.add(f"lost-{number}", LEASES_END_AT)
        return state

    def test_end_of_the_leases(self):
        """Guards against an owner that stands still until its evidence has ended."""
        state = self.state()
        began_at = time.process_time()
        state.expire_leases(LEASES_END_AT + 0.1)
        assert time.process_time() - began_at < EVIDENCE_VALIDITY_S
