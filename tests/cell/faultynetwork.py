"""Messages and log calls of entry VMs that are delayed and lost.

They are carried out outside the processes that make them, so they arrive also if the
process is paused or killed meanwhile.
"""

import random
import time
from collections import defaultdict

import curio

from arbutusladder import codec
from arbutusladder.errors import LogUnavailable
from arbutusladder.ids import SeatId
from arbutusladder.peers import ReceivedMessage
from tests.cell.inprocess import LATENCY_S, READ_TIMEOUT_S, Bus
from tests.cell.pausable import FOREVER_S

# Seconds after which an append without an answer is applied.
LATE_APPEND_S = (1.0, 6.0)


class NoAnswer(Exception):
    """A call got no answer in time."""


class Network:
    """Carries out what processes send."""

    def __init__(self):
        self._posted = curio.Queue()

    async def run(self):
        """Carries out until cancelled."""
        while True:
            delay_s, function = await self._posted.get()
            await curio.spawn(self._carry_out, delay_s, function, daemon=True)

    @staticmethod
    async def _carry_out(delay_s, function):
        await curio.sleep(delay_s)
        await function()

    async def post(self, delay_s, function):
        """Carries a coroutine function out after a delay in seconds."""
        await self._posted.put((delay_s, function))

    async def call(self, delay_s, function, timeout_s):
        """Returns the result of a coroutine function that is carried out elsewhere."""
        result = curio.Result()

        async def answer():
            try:
                value = await function()
            except Exception as error:
                await result.set_exception(error)
            else:
                await result.set_value(value)

        await self.post(delay_s, answer)
        try:
            async with curio.timeout_after(timeout_s):
                return await result.unwrap()
        except curio.TaskTimeout:
            raise NoAnswer from None


class FaultyBus(Bus):
    """Bus whose messages keep their order between two entry VMs.

    Args:
        network: Delivers the messages.
        faults: Faults in force, see `explorefaults.FaultsInForce`.
    """

    def __init__(self, network, faults):
        super().__init__()
        self._network = network
        self._faults = faults
        self._delivered_at_by_link = defaultdict(float)

    async def pass_on(self, sender, seat, message):
        """Delivers a message, unless it is lost."""
        delay_s = self._faults.message_delay_s(sender, seat, message)
        if delay_s is None:
            return
        data = codec.pack_envelope(sender, time.time(), message)
        due_at = max(
            time.monotonic() + delay_s, self._delivered_at_by_link[sender, seat]
        )
        self._delivered_at_by_link[sender, seat] = due_at

        async def deliver():
            inbox = self.inbox_by_seat.get(seat)
            if inbox is not None:
                name, _, received = codec.unpack_envelope(data)
                await inbox.put(ReceivedMessage(SeatId(name), 0.0, received))

        await self._network.post(due_at - time.monotonic(), deliver)


class FaultyLogAccess:
    """The way of one entry VM to the log.

    Args:
        vm: The entry VM.
        log: The log.
        network: Carries the calls out.
        faults: Faults in force, see `explorefaults.FaultsInForce`.
    """

    def __init__(self, vm, log, network, faults):
        self._vm, self._log = vm, log
        self._network, self._faults = network, faults

    async def append(self, topic, items, expected_end=None, writer=None, timeout=2.0):
        """See `KeyedLog.append`."""
        faults = self._faults.of_log(self._vm)
        delay_s, is_answered = LATENCY_S + faults.delay_s(), True
        if faults.cut:
            delay_s = FOREVER_S
        elif random.random() < faults.late_share:
            delay_s, is_answered = random.uniform(*LATE_APPEND_S), False
        elif random.random() < faults.lost_share:
            is_answered = False

        async def apply():
            offset = await self._log.append(topic, items, expected_end, writer)
            if not is_answered:
                await curio.sleep(FOREVER_S)
            return offset

        try:
            return await self._network.call(delay_s, apply, timeout)
        except NoAnswer:
            raise LogUnavailable("no answer", maybe_applied=True) from None

    async def set_epoch(self, topic, writer):
        """See `KeyedLog.set_epoch`."""
        await self._call(topic, lambda: self._log.set_epoch(topic, writer))

    async def read(self, topic, offset, wait=0.0):
        """See `KeyedLog.read`."""
        return await self._call(topic, lambda: self._log.read(topic, offset))

    async def newest(self, topic):
        """See `KeyedLog.newest`."""
        return await self._call(topic, lambda: self._log.newest(topic))

    async def _call(self, topic, function):
        faults = self._faults.of_log(self._vm)
        silent = faults.cut or faults.silent_reads or topic in faults.silent_topics
        delay_s = FOREVER_S if silent else LATENCY_S + faults.delay_s()
        try:
            return await self._network.call(delay_s, function, READ_TIMEOUT_S)
        except NoAnswer:
            raise LogUnavailable("no answer", maybe_applied=False) from None
