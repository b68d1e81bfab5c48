"""Check at submission that a team's cap allows each step of a job to run at all."""

from arbutusladder.cell.interfaces import TeamLimits
from arbutusladder.errors import JobExceedsCap
from arbutusladder.messages import Resources, StepSpec, SubmittedJob
from arbutusladder.resources import scale
from arbutusladder.teamshares import exceeds_limit


def check_caps(record: SubmittedJob, limits: TeamLimits) -> None:
    """Checks that each step fits below the cap of the team while nothing else runs.

    Args:
        record: The submission.
        limits: Caps of the teams.

    Raises:
        JobExceedsCap: A task or a whole gang exceeds the cap.
    """
    terms = limits.terms_by_name.get(record.team)
    if terms is None:
        return
    for number, step in enumerate(record.steps):
        need = smallest_start(step)
        if exceeds_limit(Resources(), need, terms.cap):
            what = "a gang" if step.gang else "a task"
            cap = format_amount(terms.cap, "no limit")
            raise JobExceedsCap(
                f"step {number}: {what} takes {format_amount(need)}; "
                f"the cap of team {record.team} is {cap}"
            )


def smallest_start(step: StepSpec) -> Resources:
    """Returns what the smallest start of a step takes: one task, or the whole gang."""
    return scale(step.need, step.count) if step.gang else step.need


def format_amount(amount: Resources, zero: str = "0") -> str:
    """Returns an amount as text, with another text for nothing at all."""
    pairs = (
        (f"{amount.cpu:g} cores", amount.cpu),
        (f"{amount.memory_mb:g} MB", amount.memory_mb),
        (f"{amount.accelerators} accelerators", amount.accelerators),
    )
    return ", ".join(text for text, value in pairs if value) or zero
