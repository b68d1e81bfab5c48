"""Runs of tasks on workers, as the owner knows them."""

import math
from dataclasses import dataclass, field

from arbutusladder.cell.interfaces import OrderAnswer
from arbutusladder.cell.states import OrderOutcome, RunPhase
from arbutusladder.ids import JobId, TeamName, VmId
from arbutusladder.messages import Resources, StepSpec

RunKey = tuple[str, int]
# Seconds after the check of its permission in which a call to a worker may be sent; by
# then it is connected, or given up.
MAX_SEND_DELAY_S = 0.7
# Seconds after which no worker executes an order any more that got no answer. The
# users' workers carry late orders out up to 12 s after they were sent.
MAX_ORDER_DELAY_S = 12.0


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: Name of the task.
        number: Run number.
        job_id: Job of the task.
        stage: Key of its step; empty if the task is not in the owner's state.
        index: Number of the task in its step.
        vm: Worker.
        need: Resources reserved on the worker until the run has ended.
        phase: State of the run as known to the owner.
        changed_at: Monotonic time in seconds of the last change of the phase.
        from_start: Whether this owner observed the task's work from its start, which
            does not resume from a checkpoint.
        percent: Completed percentage of its work.
        progressed_at: Monotonic time in seconds at which the percentage last rose.
        observed_at: Monotonic time in seconds of the last observed percentage.
        stop_wanted: Whether it has to be stopped.
        stop_sent_at: Monotonic time in seconds of the last stop order; None before
            the first.
        stop_answered_at: Monotonic time in seconds at which a worker accepted a stop
            order; None before that.
        proven: Whether it has counted as a success although it has not ended.
        listed: Whether the worker has reported it as running, or its end.
        confirmed_born: Newest incarnation of the worker that certainly has, or had, it;
            0 if none is known.
        ordered_at: Monotonic time in seconds of the last order to start it; None if
            this owner sent none.
        ordered_born: Newest incarnation of the worker that was known then, for the
            event log.
        token_number: Number of the token of that order.
        copies: Number of orders to start it that were sent.
        unanswered: Number of those without an answer.
        accepted: Whether the worker has accepted one of the others.
        team: Team of its job; empty if it has none or is not known.
        charge: Resources charged to the team until the run has ended.
        urgent: Whether its queue is urgent.
        spec: Step of the task; None if the task is not in the owner's state.
        pace: Share in percent at which it works; None if it is not known.
        pace_sent_at: Monotonic time in seconds of the last order for a pace.
        tail_learnt_at: Monotonic time in seconds at which its tail of response times
            was last used to learn what disturbs it.
        measured: Whether its duration was used to learn the speed of its worker.
    """

    task: str
    number: int
    job_id: JobId
    stage: str
    index: int
    vm: VmId
    need: Resources
    phase: RunPhase
    changed_at: float
    from_start: bool = True
    percent: float = 0.0
    progressed_at: float = 0.0
    observed_at: float = 0.0
    stop_wanted: bool = False
    stop_sent_at: float | None = None
    stop_answered_at: float | None = None
    proven: bool = False
    listed: bool = False
    confirmed_born: int = 0
    ordered_at: float | None = None
    ordered_born: int = 0
    token_number: int = -1
    copies: int = 0
    unanswered: int = 0
    accepted: bool = False
    team: TeamName = ""
    charge: Resources = field(default_factory=Resources)
    urgent: bool = False
    spec: StepSpec | None = None
    pace: int | None = 100
    pace_sent_at: float = -math.inf
    tail_learnt_at: float = -math.inf
    measured: bool = False

    @property
    def lasting(self) -> bool:
        """Whether it runs until its job is cancelled."""
        return self.spec is not None and self.spec.lasting

    @property
    def in_doubt(self) -> bool:
        """Whether an order to start it may still be executed, also after a restart.

        A run that is listed without an accepted order was started by one of those
        without an answer. An order is executed once at most.
        """
        executed = 1 if self.listed and not self.accepted else 0
        return self.unanswered > executed

    @property
    def doubt_ends_at(self) -> float:
        """Monotonic time in seconds from which on no order in doubt is executed.

        It is -inf if no order is in doubt.
        """
        return self.ordered_at + MAX_ORDER_DELAY_S if self.in_doubt else -math.inf

    def record_start_answer(self, answer: OrderAnswer) -> None:
        """Records the answer to the last order to start it, in whatever phase it is."""
        if answer.outcome is OrderOutcome.UNKNOWN:
            return
        self.accepted |= answer.outcome is OrderOutcome.ACCEPTED
        self.unanswered = max(1, self.unanswered - 1) if answer.in_doubt else 0

    @property
    def key(self) -> RunKey:
        """Task name and run number, which identify the run."""
        return (self.task, self.number)
