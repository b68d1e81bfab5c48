"""Proofs that runs have ended, by which their tasks may be started again."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from arbutusladder.cell.runs import Run
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.ids import VmId

# Ends that are kept of each task that is not done.
MAX_KEPT_ENDS = 3
# Runs or jobs that one event names.
MAX_NAMED = 10


class EndProof(Enum):
    """What shows that a run on a worker has ended, or never begins.

    ``LISTED_END`` is an end that the worker lists. ``OMITTED`` is a complete report
    without the run that was requested after the run, or a stop of it, was confirmed,
    and ``EXCLUDED`` one that was requested under a higher token than all its orders.
    ``LISTED_ALL`` is the first complete report to a successor, which ends the wait for
    runs of its predecessors. After ``ORDERS_EXPIRED`` no order to start the run can be
    executed any more.
    """

    LISTED_END = "listed_end"
    OMITTED = "omitted"
    EXCLUDED = "excluded"
    LISTED_ALL = "listed_all"
    LEASES_ENDED = "leases_ended"
    ORDERS_EXPIRED = "orders_expired"
    ORDER_REFUSED = "order_refused"
    ORDER_NOT_SENT = "order_not_sent"
    WORKER_REPLACED = "worker_replaced"


PROOF_BY_OUTCOME = {
    OrderOutcome.NOT_SENT: EndProof.ORDER_NOT_SENT,
    OrderOutcome.NOT_WANTED: EndProof.ORDER_NOT_SENT,
    OrderOutcome.WORKER_REPLACED: EndProof.WORKER_REPLACED,
}


@dataclass(frozen=True, slots=True)
class EndEvidence:
    """A proof and its age.

    Attributes:
        proof: The proof.
        at: Monotonic time in seconds at which the owner had it.
        age_s: Seconds that had then passed since the request or the order whose answer
            it is was sent, or since a silent worker has not answered.
    """

    proof: EndProof
    at: float
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, or of the wait for it.

    Attributes:
        vm: Worker.
        number: Run number.
        born: Newest known incarnation of the worker then; 0 if it was forgotten.
        run_born: Newest incarnation that certainly had the run, otherwise the newest
            known one when it was ordered.
        in_doubt: Whether an order to start it was in doubt.
        evidence: What shows it.
    """

    vm: VmId
    number: int
    born: int
    run_born: int
    in_doubt: bool
    evidence: EndEvidence

    def age_s(self, now: float) -> float:
        """Returns the age of the evidence in seconds at a monotonic time."""
        return now - self.evidence.at + self.evidence.age_s


def order_evidence(run: Run, outcome: OrderOutcome, now: float) -> EndEvidence:
    """Returns the evidence in the answer to an order that did not start its run.

    Args:
        run: The run.
        outcome: Outcome of the order.
        now: Monotonic time in seconds.
    """
    proof = PROOF_BY_OUTCOME.get(outcome, EndProof.ORDER_REFUSED)
    return EndEvidence(proof, now, now - (run.ordered_at or now))


def restart_fields(ends: Iterable[tuple[Run, RunEnd]]) -> list[dict[str, object]]:
    """Returns the fields of the events for ended runs whose tasks may start again.

    Args:
        ends: Runs and their ends. Those of one worker by the same proof share an event.
    """
    groups = defaultdict(list)
    for run, end in ends:
        groups[end.vm, end.born, end.evidence.proof].append((run, end))
    return [
        {
            "runs": len(group),
            "worker": vm,
            "born": born,
            "proof": proof.value,
            "age": max(end.evidence.age_s for _, end in group),
            "named": " ".join(
                f"{run.task}:{run.number}({end.run_born}{'?' * end.in_doubt})"
                for run, end in group[:MAX_NAMED]
            ),
        }
        for (vm, born, proof), group in groups.items()
    ]
