"""Checks of the rules LOST, for a job that has nothing running, and TWICE."""

import asyncio

from .world import BOUNDS

# Seconds that rule LOST allows a job to have nothing running.
IDLE_S = 3.0
STEP_S = 0.1
# Seconds after its last run from which a task that lasts has to run again.
RESTART_S = 6.0


def fits(world, step, times):
    """Returns whether idle executors have room for a step so many times over."""
    slots = 0
    for executor in world.executors:
        label = step.get("requires")
        if executor.down or (label and label not in executor.labels):
            continue
        used = sum(run.step.get("cpu", 0) for run in executor.running.values())
        slots += int((executor.cores * 1000 - used) // step["cpu"])
    return slots >= times * step.get("count", 1)


async def find_idle(world, jobs):
    """Watches jobs from the end of the traffic on, as rule LOST does.

    Args:
        world: The deployment.
        jobs: Jobs with one step, whose turn has come, by queue.

    Returns:
        A line for each job that `finish_s` later has had nothing running for 3 s,
        while there was capacity for it twice over and under half of it was in use.
    """
    idle_s = dict.fromkeys(jobs, 0.0)
    ends_at = world.now() + BOUNDS["finish_s"] + IDLE_S
    before = world.now()
    while world.now() < ends_at:
        await asyncio.sleep(STEP_S)
        now = world.now()
        running = {
            run.task.split(".")[0]
            for e in world.executors
            for run in e.running.values()
        }
        room = world.used_cores() < world.total_cores() / 2
        for job in jobs:
            waits = job not in running and room and fits(world, world.jobs[job][0], 2)
            idle_s[job] = idle_s[job] + now - before if waits else 0.0
        before = now
    broken = []
    for job, queue in jobs.items():
        state = await world.state(queue, job)
        if state not in {"completed", "failed", "cancelled"} and idle_s[job] >= IDLE_S:
            count = len(world.started(job))
            broken.append(
                f"LOST: {queue} {job} is {state or 'without an answer'} "
                f"{BOUNDS['finish_s']} s after the traffic, {count} runs started, "
                f"nothing of it has run for {idle_s[job]:.1f} s"
            )
    for line in broken:
        world.record(line)
    return broken


async def find_missing(world, job, seconds):
    """Watches the tasks that last of a job, as rule LOST does at any time.

    Returns:
        A line for each task that has not run for 3 s, from 6 s after its last run on,
        while there was capacity for it twice over.
    """
    steps = world.jobs[job]
    tasks = {
        f"{job}.0.{number}.{index}": step
        for number, step in enumerate(steps)
        for index in range(step["count"])
    }
    ran_at = dict.fromkeys(tasks, world.now())
    ends_at = world.now() + seconds
    while world.now() < ends_at:
        await asyncio.sleep(STEP_S)
        for executor in world.executors:
            for run in executor.running.values():
                if run.task in ran_at:
                    ran_at[run.task] = world.now()
        for task, step in tasks.items():
            if not fits(world, step | {"count": 1}, 2):
                ran_at[task] = world.now()
    idle_s = {task: world.now() - at - RESTART_S for task, at in ran_at.items()}
    broken = [
        f"LOST: {task} has not run for {seconds:.1f} s more than {RESTART_S} s"
        for task, seconds in idle_s.items()
        if seconds >= IDLE_S
    ]
    for line in broken:
        world.record(line)
    return broken


def find_repeated(world):
    """Returns a line for each start after an end as done, as rule TWICE counts it."""
    done_by_task = {}
    for task, number, how, ended_at in world.noted_ends:
        if how == "done":
            done_by_task.setdefault(task, (number, ended_at))
    broken = []
    for task, number, name, started_at in world.starts:
        if task not in done_by_task:
            continue
        done_number, ended_at = done_by_task[task]
        if started_at > ended_at:
            broken.append(
                f"TWICE: run {number} of {task} started on {name} "
                f"{started_at - ended_at:.3f} s after run {done_number} had ended done"
            )
            world.record(broken[-1])
    return broken
