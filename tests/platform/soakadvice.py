"""Advice service of the fault soak: tickets for starts on some workers."""

import json
import random
from enum import Enum
from zlib import crc32

import curio

from arbutusladder.httpserver import HttpServer
from tests.platform.fakes import json_answer

# Times of the service as in the configuration of a queue.
ADVICE = {"decision-ms": 200, "each-ms": 5, "validity-ms": 1500}
# Largest number of workers that a call names, and calls that wait for another one.
MAX_WORKERS, MAX_WAITING = 100, 32
# One of so many workers may not run a step.
EXCLUDED_ONE_OF = 3
# Shortest and longest time by which an answer is late; entry VMs give a call up after
# about a second.
LATE_ANSWER_S = (0.2, 2.5)


class Outage(Enum):
    """What the service does with calls during an outage."""

    REFUSED = "refused"
    LATE = "late"
    UNANSWERED = "unanswered"


class SoakAdvice:
    """The service as one entry VM reaches it, one call at a time.

    Args:
        workers: All workers.

    Attributes:
        server: Server of the calls of the entry VM.
        outage: Outage in progress, if any.
    """

    def __init__(self, workers):
        self.server = HttpServer("127.0.0.1:0", self.handle)
        self._workers = workers
        self._lock = curio.Lock()
        self._waiting = 0
        self.outage: Outage | None = None

    async def handle(self, request):
        """Handles a call."""
        body = json.loads(request.body)
        if request.path != "/v1/advise" or len(body["workers"]) > MAX_WORKERS:
            return json_answer(400)
        if self._waiting >= MAX_WAITING:
            return json_answer(429)
        if self.outage is Outage.REFUSED:
            return json_answer(503)
        self._waiting += 1
        try:
            await self._lock.acquire()
        finally:
            self._waiting -= 1
        try:
            count = len(body["workers"])
            delay_ms = ADVICE["decision-ms"] + ADVICE["each-ms"] * count
            await curio.sleep(delay_ms / 1000)
        finally:
            await self._lock.release()
        answer = json_answer(200, self._advise(body["step"], set(body["workers"])))
        match self.outage:
            case Outage.LATE:
                await curio.sleep(random.uniform(*LATE_ANSWER_S))
            case Outage.UNANSWERED:
                await curio.sleep(3600)
        return answer

    def _advise(self, step, names):
        """Returns tickets that are valid for the present incarnations of workers."""
        validity_ms = ADVICE["validity-ms"]
        good = [
            (worker.name, worker.permit(step, validity_ms / 1000))
            for number, worker in enumerate(self._workers)
            if worker.name in names
            and (number + crc32(step.encode())) % EXCLUDED_ONE_OF
        ]
        return {"good": good, "validity-ms": validity_ms}
