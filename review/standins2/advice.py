"""The platform's advice service, as the pages describe it."""

import asyncio
import itertools
import time
from collections import defaultdict

from .http import Server

MAX_WORKERS = 100


class Advisor:
    """Allows each step on all executors, and gives tickets for some time.

    Args:
        world: The deployment.
        decision_s: Seconds of a call.
        each_s: Further seconds for each executor that it names.
        validity_s: Seconds for which a ticket is valid.
    """

    def __init__(self, world, decision_s, each_s, validity_s):
        self.world = world
        self._decision_s, self._each_s = decision_s, each_s
        self._validity_s = validity_s
        self._tickets = {}
        self._numbers = itertools.count(1)
        self._locks = defaultdict(asyncio.Lock)
        self.server = Server(self.handle)

    async def handle(self, request):
        """Answers a call; those of one machine are handled in turn."""
        body = request.json()
        step, workers = body["step"], body["workers"][:MAX_WORKERS]
        async with self._locks[request.peer]:
            await asyncio.sleep(self._decision_s + self._each_s * len(workers))
        born = {executor.name: executor.born for executor in self.world.executors}
        until = time.monotonic() + self._validity_s
        good = []
        for worker in workers:
            if worker in born:
                ticket = f"t{next(self._numbers)}"
                self._tickets[ticket] = (step, worker, born[worker], until)
                good.append([worker, ticket])
        self.world.record("advice for", step, "on", *workers)
        return 200, {"good": good, "validity-ms": int(self._validity_s * 1000)}

    def permits(self, executor, task, ticket):
        """Returns whether a ticket is valid for a task on an executor."""
        step, worker, born, until = self._tickets.get(ticket, ("", "", 0, 0.0))
        return (
            step == task.rpartition(".")[0]
            and (worker, born) == (executor.name, executor.born)
            and time.monotonic() < until
        )
