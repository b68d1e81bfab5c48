"""Stand-ins of the executors, and the rules as they can be seen at them."""

import asyncio
import itertools
import json
import math
import random
import time
from dataclasses import dataclass, field

from standins.http import Request, Response, Server, json_response
from standins.record import Record
from standins.store import Store

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
MAX_ENDS = 500
STOP_S = 0.05
GANG_WAIT_S = 3.0
CHECK_S = 0.01
SERVERS_TOPIC = "keyed.servers"


@dataclass(frozen=True)
class TaskSpec:
    """What an executor and the checks must know of a task.

    Attributes:
        cpu: Thousandths of a core.
        work_s: Seconds of work.
        requires: Required label; empty for none.
        gang_size: Members of its gang; 0 without one.
        advised: Whether a start needs a ticket.
        lives_s: Shortest and longest life of a run of a task that lasts; None for
            other tasks.
    """

    cpu: int
    work_s: float = math.inf
    requires: str = ""
    gang_size: int = 0
    advised: bool = False
    lives_s: tuple[float, float] | None = None


@dataclass(eq=False)
class Run:
    """One run on an executor."""

    task: str
    number: int
    spec: TaskSpec
    started_at: float
    work_begins_at: float | None = None
    stops_at: float | None = None
    fails_at: float = math.inf

    def percent(self, now: float) -> int:
        """Returns the completed share of its work; 100 for a task that lasts."""
        if self.work_begins_at is None:
            return 0
        if self.spec.lives_s:
            return 100
        return min(100, int(100 * (now - self.work_begins_at) / self.spec.work_s))


@dataclass
class Done:
    """A run that has ended as done."""

    executor: "Executor"
    life: int
    number: int
    ended_at: float
    noted: bool = False
    lapsed: bool = False


@dataclass
class Fleet:
    """All executors, with the checks over all of them.

    Attributes:
        specs: Tasks of the submitted jobs by job and step.
        max_hold_s: Longest lease.
    """

    store: Store
    record: Record
    max_hold_s: float = 6.0
    specs: dict[tuple[str, int], TaskSpec] = field(default_factory=dict)
    executors: list["Executor"] = field(default_factory=list)
    done_by_task: dict[str, list[Done]] = field(default_factory=dict)
    starts: int = 0
    starts_by_task: dict[str, list[tuple[float, str]]] = field(default_factory=dict)

    def spec(self, task: str) -> TaskSpec | None:
        """Returns the specification of a task that a client has sent."""
        job_id, _, step, _ = task.split(".")
        return self.specs.get((job_id, int(step)))

    def check_start(self, executor: "Executor", run: Run) -> None:
        """Checks the rules for a run that begins."""
        self.starts += 1
        place = f"{run.task} run {run.number} on {executor.name}"
        self.starts_by_task.setdefault(run.task, []).append((run.started_at, place))
        self.record.write(f"start   {place}")
        for other in self.executors:
            for running in other.running.values():
                if running.task == run.task and running is not run:
                    self.record.breaks(
                        "TWICE",
                        f"{place} while run {running.number} is at work on "
                        f"{other.name}",
                    )
        for done in self.done_by_task.get(run.task, ()):
            if done.noted:
                self.record.breaks(
                    "TWICE",
                    f"{place} after it had ended as done on {done.executor.name} "
                    "and that end was taken note of",
                )
        used = sum(row.spec.cpu for row in executor.running.values())
        if used > executor.cpu:
            self.record.breaks(
                "LIMIT", f"{place}: {used} of {executor.cpu} thousandths of a core"
            )
        if run.spec.requires and run.spec.requires not in executor.labels:
            self.record.breaks(
                "ROUTE",
                f"{place} requires {run.spec.requires}, labels {executor.labels}",
            )

    def note_end(self, task: str, done: Done) -> None:
        """Records that an end is taken note of, and checks the starts after it."""
        if done.noted or done.lapsed:
            return
        done.noted = True
        for started_at, place in self.starts_by_task.get(task, ()):
            if started_at > done.ended_at:
                self.record.breaks(
                    "TWICE",
                    f"{place} after it had ended as done on {done.executor.name}, "
                    "and that end is taken note of now",
                )

    def gang_members(self, run: Run) -> list[tuple["Executor", Run]]:
        """Returns the present members of a gang's run."""
        prefix = run.task.rpartition(".")[0]
        return [
            (executor, other)
            for executor in self.executors
            for other in executor.running.values()
            if other.number == run.number and other.task.rpartition(".")[0] == prefix
        ]


class Executor:
    """One executor; `crash` and `restart` begin a new life under the same id."""

    def __init__(self, fleet: Fleet, name: str, service: str, cpu: int, labels):
        self._fleet = fleet
        self.name = name
        self.service = service
        self.cpu = cpu
        self.mem_mb = 32768
        self.labels = list(labels)
        self.server = Server(self._handle)
        self.life = 0
        self.down = False
        self.tickets: dict[str, str] = {}
        self._begin_life()

    def _begin_life(self) -> None:
        self.life += 1
        self.born = int(time.time() * 1000)
        self._clock_base = time.monotonic()
        self.fence = 0
        self.sender_by_fence: dict[int, str] = {}
        self.reported_senders: set[tuple[int, str]] = set()
        self.deadline: float | None = None
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self.highest_ended: dict[str, int] = {}
        self._end_numbers = itertools.count(1)
        self.seq = 0
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Returns the executor's own steady clock."""
        return int((time.monotonic() - self._clock_base) * 1000)

    def crash(self) -> None:
        """Ends the life: everything that runs is gone."""
        self._fleet.record.write(f"crash   {self.name}")
        self.down = True
        self.running = {}
        self.changed.set()

    def restart(self, labels=None) -> None:
        """Begins a new life under the same id and address."""
        if labels:
            self.labels = list(labels)
        self.server.forget_connections()
        self._begin_life()
        self.down = False
        self._fleet.record.write(f"restart {self.name} born {self.born} {self.labels}")
        self.register()

    def register(self) -> None:
        """Writes the entry in the store."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
            "seq": self.seq,
            "born": self.born,
        }
        self._fleet.store.put(SERVERS_TOPIC, self.name, json.dumps(entry).encode())

    async def run(self) -> None:
        """Sends heartbeats to the store and ends runs until cancelled."""
        heartbeat_at = 0.0
        while True:
            now = time.monotonic()
            if self.down:
                if self.seq and now > heartbeat_at + MISSED_HEARTBEATS * HEARTBEAT_S:
                    # The store removes an entry after three missed heartbeats.
                    self.seq = 0
                    self._fleet.store.put(SERVERS_TOPIC, self.name, b"")
            else:
                if now >= heartbeat_at:
                    heartbeat_at = now + HEARTBEAT_S
                    self.register()
                self._advance(now)
            await asyncio.sleep(CHECK_S)

    def _advance(self, now: float) -> None:
        if self.deadline is not None and self.clock_ms() > self.deadline:
            self._lapse()
        for run in list(self.running.values()):
            self._advance_run(run, now)

    def _lapse(self) -> None:
        self.deadline = None
        for run in list(self.running.values()):
            self._end(run, "lapsed")
        for task_ends in self._fleet.done_by_task.values():
            for done in task_ends:
                if done.executor is self and done.life == self.life:
                    done.lapsed |= not done.noted

    def _advance_run(self, run: Run, now: float) -> None:
        if (run.task, run.number) not in self.running:
            return
        if run.stops_at is not None:
            if now >= run.stops_at:
                self._end(run, "stopped")
            return
        if run.work_begins_at is None:
            members = self._fleet.gang_members(run)
            if len(members) == run.spec.gang_size:
                for _, member in members:
                    member.work_begins_at = now
            elif now - run.started_at > GANG_WAIT_S:
                self._end(run, "alone")
            return
        if now >= run.fails_at:
            self._end(run, "failed")
            return
        if now - run.work_begins_at < run.spec.work_s:
            return
        if run.spec.gang_size:
            for executor, member in self._fleet.gang_members(run):
                executor._end(member, "done")
        else:
            self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        self.running.pop((run.task, run.number), None)
        number = next(self._end_numbers)
        self.ended.append([number, run.task, run.number, how, ""])
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(highest, run.number)
        self._fleet.record.write(
            f"end     {run.task} run {run.number} on {self.name} {how}, end {number}"
        )
        if how == "done":
            done = Done(self, self.life, number, time.monotonic())
            self._fleet.done_by_task.setdefault(run.task, []).append(done)
        elif run.spec.gang_size and how != "broken":
            for executor, member in self._fleet.gang_members(run):
                executor._end(member, "broken")
        self.changed.set()

    async def _handle(self, request: Request) -> Response | None:
        if self.down:
            return None
        if request.headers.get("x-arbutusladder-target-instance") != self.name:
            return json_response(421)
        body = request.json()
        clock = {"clock-ms": self.clock_ms()}
        if body.get("fence", 0) < self.fence:
            return json_response(409, clock | {"reason": "fence"})
        self.fence = body.get("fence", 0)
        self._check_sender(request.sender)
        match request.path:
            case "/v1/run-start":
                return self._start(body, clock)
            case "/v1/run-stop":
                return self._stop(body, clock)
            case "/v1/hold":
                return await self._hold(body)
        return json_response(404)

    def _check_sender(self, sender: str) -> None:
        """Checks that one process only gives orders under the present fence."""
        if not sender:
            return
        first = self.sender_by_fence.setdefault(self.fence, sender)
        if first != sender and (self.fence, sender) not in self.reported_senders:
            self.reported_senders.add((self.fence, sender))
            self._fleet.record.breaks(
                "ONE", f"{first} and {sender} order {self.name} with fence {self.fence}"
            )

    def _extend(self, body: dict) -> None:
        if "deadline-ms" in body:
            longest = self.clock_ms() + self._fleet.max_hold_s * 1000
            until = min(body["deadline-ms"], longest)
            self.deadline = max(self.deadline or 0, until)

    def _start(self, body: dict, clock: dict) -> Response:
        task, number = body["task"], body["run"]
        spec = self._fleet.spec(task)
        if spec is None:
            return json_response(400, clock)
        if body["deadline-ms"] <= clock["clock-ms"]:
            return json_response(409, clock | {"reason": "late"})
        if (task, number) in self.running:
            self._extend(body)
            return json_response(200, clock)
        if number <= self.highest_ended.get(task, 0):
            self._extend(body)
            return json_response(409, clock | {"reason": "old"})
        step = task.rpartition(".")[0]
        if spec.advised and self.tickets.get(body.get("ticket", "")) != step:
            return json_response(409, clock | {"reason": "ticket"})
        self._extend(body)
        now = time.monotonic()
        run = Run(task, number, spec, now, None if spec.gang_size else now)
        if spec.lives_s:
            run.fails_at = now + random.uniform(*spec.lives_s)
        self.running[(task, number)] = run
        self._fleet.check_start(self, run)
        return json_response(200, clock)

    def _stop(self, body: dict, clock: dict) -> Response:
        task, number = body["task"], body["run"]
        run = self.running.get((task, number))
        if run and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        elif run is None:
            highest = self.highest_ended.get(task, 0)
            self.highest_ended[task] = max(highest, number)
        self._fleet.record.write(f"stop    {task} run {number} on {self.name}")
        return json_response(200, clock)

    async def _hold(self, body: dict) -> Response | None:
        life = self.life
        observed = body.get("observed", 0)
        self._extend(body)
        for row in self.ended:
            if row[0] <= observed:
                self._note(row)
        self.ended = [row for row in self.ended if row[0] > observed]
        until = time.monotonic() + min(2000, body.get("wait-ms", 0)) / 1000
        while not self.ended and time.monotonic() < until and self.life == life:
            self.changed.clear()
            try:
                await asyncio.wait_for(
                    self.changed.wait(), max(0.0, until - time.monotonic())
                )
            except TimeoutError:
                break
        if self.down or self.life != life:
            return None
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), run.spec.cpu]
            for run in self.running.values()
        ]
        return json_response(
            200,
            {
                "clock-ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self.ended[:MAX_ENDS],
            },
        )

    def _note(self, row: list) -> None:
        for done in self._fleet.done_by_task.get(row[1], ()):
            same_life = done.executor is self and done.life == self.life
            if same_life and done.number == row[0]:
                self._fleet.note_end(row[1], done)
