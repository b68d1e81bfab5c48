"""Executors of the platform, as the pages describe them."""

import asyncio
import itertools
import time

from .http import Server

HEARTBEAT_S = 1.5
STOP_S = 0.05
# Seconds after its start at which a task that lasts fails, if it does.
STARTUP_S = 0.05
GANG_WAIT_S = 3.0
MAX_LEASE_MS = 6000
FAR_FACTOR = 3
MAX_LISTED_ENDS = 500
MEMORY_MB_PER_CORE = 2048


class Run:
    """One run of a task; the work of a gang's member begins with the last of it."""

    def __init__(self, task, number, step, work_s, now):
        self.task, self.number, self.step = task, number, step
        self.work_s, self.placed_at = work_s, now
        self.begun_at = None if step.get("gang") else now

    @property
    def gang(self):
        """The gang of which this run is a member."""
        return (self.task.rpartition(".")[0], self.number)


class Executor:
    """One executor, which starts all that it is told to start.

    Attributes:
        failing: Whether all that it starts ends as failed.
        unhealthy: Whether it answers orders to start with 503 and does nothing.
        down: Whether it has been lost for good.
    """

    def __init__(self, world, name, service, labels, cores):
        self.world, self.name, self.service = world, name, service
        self.labels, self.cores = labels, cores
        self.failing = self.unhealthy = self.down = False
        self.born, self._started_at = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_end = 0, None
        self.running, self.ended, self.over = {}, [], {}
        self._unnoted = {}
        self._numbers, self._seq = itertools.count(1), itertools.count(1)
        self._changed = asyncio.Event()
        self.server = Server(self.handle)

    async def run(self):
        """Writes its entry into the store every heartbeat, and ends runs in time."""
        beat_at = 0.0
        while not self.down:
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self.world.store.put("keyed.servers", self.name, self._entry())
            self._advance(now)
            await asyncio.sleep(0.01)

    def lose(self):
        """Ends the executor for good; nothing is left of it."""
        self.world.record(self.name, "lost for good")
        self.down = True
        for run in list(self.running.values()):
            self.world.leave_gang(run, "broken")
        self.running.clear()
        self.server.reset_connections()

    def _entry(self):
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": next(self._seq),
            "born": self.born,
            "capacity": {
                "cpu": self.cores * 1000,
                "mem-mb": self.cores * MEMORY_MB_PER_CORE,
                "gpu": 0,
            },
            "labels": self.labels,
        }

    def _clock(self):
        return (time.monotonic() - self._started_at) * 1000 + 5000

    async def handle(self, request):
        """Answers one order."""
        if self.down:
            return None
        if request.headers.get("x-arbutusladder-target-instance") != self.name:
            return 421, {}
        body = request.json()
        if body.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fence", 0)
        match request.path:
            case "/v1/run-start":
                return self._start(body)
            case "/v1/run-stop":
                return await self._stop(body)
            case "/v1/hold":
                return await self._hold(body)
        return 404, {}

    def _answer(self, status, **fields):
        return status, {"clock-ms": int(self._clock()), "born": self.born} | fields

    def _extend(self, body):
        if "deadline-ms" in body:
            limit = min(body["deadline-ms"], self._clock() + MAX_LEASE_MS)
            self.lease_end = max(self.lease_end or 0, limit)

    def _start(self, body):
        task, number = body["task"], body["run"]
        if self.unhealthy:
            self.world.record(self.name, "start refused with 503", task, number)
            return 503, {}
        if body["deadline-ms"] <= self._clock():
            return self._answer(409, reason="late")
        self._extend(body)
        if number <= self.over.get(task, 0):
            return self._answer(409, reason="old")
        if (task, number) in self.running:
            return self._answer(200)
        if not self.world.permits(self, task, body.get("ticket")):
            self.world.record(self.name, "ticket refused", task, number)
            return self._answer(409, reason="ticket")
        step, work_s = self.world.describe(task)
        run = Run(task, number, step, work_s, time.monotonic())
        self.running[task, number] = run
        self.world.begin(self, run)
        return self._answer(200)

    async def _stop(self, body):
        task, number = body["task"], body["run"]
        self.over[task] = max(number, self.over.get(task, 0))
        run = self.running.get((task, number))
        if run:
            await asyncio.sleep(STOP_S)
            self.end(run, "stopped")
        return self._answer(200)

    async def _hold(self, body):
        self._extend(body)
        observed = body.get("observed", 0)
        self.ended = [row for row in self.ended if row[0] > observed]
        for number in [number for number in self._unnoted if number <= observed]:
            self.world.noted_ends.append(self._unnoted.pop(number))
        self._advance(time.monotonic())
        if not self.ended and body.get("wait-ms"):
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), min(body["wait-ms"], 2000) / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now), self._load(run)]
            for run in self.running.values()
        ]
        return self._answer(200, running=running, ended=self.ended[:MAX_LISTED_ENDS])

    @staticmethod
    def _percent(run, now):
        if run.begun_at is None:
            return 0
        if run.step.get("long-running"):
            return 100
        return min(100, int(100 * (now - run.begun_at) / run.work_s))

    @staticmethod
    def _load(run):
        return run.step.get("cpu", 0)

    def _advance(self, now):
        if self.lease_end is not None and self._clock() > self.lease_end:
            self.lease_end = None
            # Ends that are taken note of after a lapse don't count.
            self._unnoted.clear()
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if run.begun_at is None:
                if now - run.placed_at > GANG_WAIT_S:
                    self.end(run, "alone")
            elif self.failing and now - run.begun_at > 0.2:
                self.end(run, "failed")
            elif run.step.get("long-running"):
                if self.world.is_failing(run.task) and now - run.begun_at > STARTUP_S:
                    self.end(run, "failed")
            elif now - run.begun_at > run.work_s:
                self.end(run, "done")

    def end(self, run, how):
        """Ends a run, and with it the other members of its gang."""
        if self.running.pop((run.task, run.number), None) is None:
            return
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        number = next(self._numbers)
        self.ended.append([number, run.task, run.number, how, ""])
        self._unnoted[number] = (run.task, run.number, how, self.world.now())
        event, self._changed = self._changed, asyncio.Event()
        event.set()
        self.world.record_run(self, run, "ended", how)
        self.world.leave_gang(run, "done" if how == "done" else "broken")
