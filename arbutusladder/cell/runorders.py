"""Sends orders for runs in progress to workers: stops and paces."""

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.fencing import fencing_token
from arbutusladder.cell.interfaces import OrderSender, PaceOrder, StopOrder
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.clock import Clock
from arbutusladder.ids import Epoch
from arbutusladder.metrics import Metrics


class RunOrderSender:
    """Sends stop and pace orders under the epoch of an owner.

    Args:
        epoch: The epoch.
        state: State of the cell.
        orders: Client of the workers.
        metrics: Counters.
        clock: Monotonic time.
    """

    def __init__(
        self,
        epoch: Epoch,
        state: CellState,
        orders: OrderSender,
        metrics: Metrics,
        clock: Clock,
    ):
        self._epoch = epoch
        self._state = state
        self._orders = orders
        self._metrics = metrics
        self._clock = clock

    async def send(self, order: StopOrder | PaceOrder) -> None:
        """Sends an order and applies its answer."""
        worker = self._state.worker_by_vm.get(order.vm)
        if worker is None:
            return
        number, entry = worker.token_number, worker.entry
        token = fencing_token(self._epoch, number)
        match order:
            case StopOrder():
                answer = await self._orders.stop(entry, order, token)
            case PaceOrder():
                answer = await self._orders.pace(entry, order, token)
        answer = self._state.resolve_refusal(entry, answer, number)
        match order:
            case StopOrder():
                self._metrics.count(f"stops.{answer.outcome.value}")
                self._state.apply_stop_answer(order, answer, self._clock.now())
            case PaceOrder():
                self._metrics.count(f"paces.{answer.outcome.value}")
                self._state.changes.fenced |= answer.outcome is OrderOutcome.FENCED
                self._state.interference.apply_answer(order, answer)
