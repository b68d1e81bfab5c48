"""Form of a placement preview."""

import msgspec

from arbutusladder.ids import TeamName, VmId
from arbutusladder.messages import QueueTerms, Resources


class TeamPreview(msgspec.Struct):
    """Team of the job.

    Attributes:
        name: Its name.
        weight: Its share by weight.
        charged: What it may have running.
        cap: Its cap, where 0 means no limit.
        share: Its weighted dominant share of the workers that accept tasks.
        over_share: Whether its work comes after that of teams within their shares.
    """

    name: TeamName
    weight: float
    charged: Resources
    cap: Resources
    share: float
    over_share: bool


class Start(msgspec.Struct):
    """Start of a task.

    Attributes:
        task: Number of the task in its step.
        vm: Worker.
    """

    task: int
    vm: VmId


class StepPreview(msgspec.Struct):
    """Placement of a step.

    Attributes:
        step: Number of the step.
        tasks: Number of its tasks.
        need: Resources of a task.
        gang: Whether all tasks start at once.
        starts: Tasks that would start now.
        named_workers: Workers among which the advice service would decide.
        cause: What the other tasks wait for; empty if all would start.
        remedy: What would change that.
    """

    step: int
    tasks: int
    need: Resources
    gang: bool
    starts: list[Start] = []
    named_workers: list[VmId] = []
    cause: str = ""
    remedy: str = ""


class Preview(msgspec.Struct):
    """Where a job would be placed now.

    Attributes:
        owner: Entry VM that has decided.
        queue: Terms of the queue.
        team: Team of the job; None without one.
        start_wait_s: Forecast seconds until the first tasks start; 0 if room is free.
        refusal: Why the job would be refused for now; empty if it would be accepted.
        unreported_workers: Workers without a report since the takeover, on which
            nothing is placed.
        waiting_steps: Steps that wait to start, not counting those of the job.
        steps: Placement of each step.
        starts_paused: Whether the owner starts nothing now, since its ownership is not
            confirmed or what it knows of the jobs is out of date.
    """

    owner: VmId
    queue: QueueTerms
    team: TeamPreview | None
    start_wait_s: float
    refusal: str
    unreported_workers: int
    waiting_steps: int
    steps: list[StepPreview]
    starts_paused: bool = False
