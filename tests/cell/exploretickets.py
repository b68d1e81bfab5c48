"""Advice service of the search, and the tickets that it gives.

A ticket is valid for a time, on the incarnation of the worker that is up when the
service answers. Entry VMs see only its text.
"""

import time
from dataclasses import dataclass, replace

import curio

from arbutusladder.messages import AdviceReply, AdviceTicket

# Seconds for which a ticket is valid, as on the users' deployments.
VALIDITY_S = 1.5
# Seconds that a call takes, and for each worker that it names.
DECISION_S, EACH_S = 0.02, 0.001


@dataclass
class AdviceService:
    """Advice service that permits all workers.

    Attributes:
        worker_by_vm: The workers.
    """

    worker_by_vm: dict

    async def advise(self, request_id, stage, workers, timeout):
        """See `Advisor.advise`."""
        await curio.sleep(DECISION_S + EACH_S * len(workers))
        tickets = [AdviceTicket(vm, self._ticket(stage, vm)) for vm in workers]
        return AdviceReply(request_id, True, VALIDITY_S, tickets)

    def _ticket(self, stage, vm):
        until = time.monotonic() + VALIDITY_S
        return f"{stage} {self.worker_by_vm[vm].born} {until:.6f}"


def is_valid(order, born):
    """Returns whether an incarnation accepts the ticket of an order."""
    if not order.ticket:
        return False
    stage, ticket_born, until = order.ticket.split()
    is_of_step = stage == order.task.rpartition(".")[0]
    return is_of_step and int(ticket_born) == born and time.monotonic() <= float(until)


def add_tickets(plan):
    """Returns a plan whose jobs are in a queue with advice."""
    jobs = {number: _with_advice(record) for number, record in plan.jobs.items()}
    return replace(plan, jobs=jobs, tickets=True)


def _with_advice(record):
    terms = replace(
        record.queue,
        advice_s=DECISION_S,
        advice_each_s=EACH_S,
        advice_validity_s=VALIDITY_S,
    )
    return replace(record, queue=terms)
