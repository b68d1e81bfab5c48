"""Sends orders for runs in progress to workers: stops and paces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusladder.cell.cellstate import CellState
from arbutusladder.cell.fencing import fencing_token
from arbutusladder.cell.interfaces import PaceOrder, StopOrder
from arbutusladder.cell.states import OrderOutcome
from arbutusladder.ids import Epoch

if TYPE_CHECKING:
    from arbutusladder.cell.member import CellDependencies


class RunOrderSender:
    """Sends stop and pace orders under the epoch of an owner.

    Args:
        epoch: The epoch.
        state: State of the cell.
        dependencies: Services and settings of the entry VM.
    """

    def __init__(self, epoch: Epoch, state: CellState, dependencies: CellDependencies):
        self._epoch = epoch
        self._state = state
        self._dependencies = dependencies

    async def send(self, order: StopOrder | PaceOrder) -> None:
        """Sends an order and applies its answer."""
        worker = self._state.worker_by_vm.get(order.vm)
        if worker is None:
            return
        number = worker.token_number
        token = fencing_token(self._epoch, number)
        orders, metrics = self._dependencies.orders, self._dependencies.metrics
        match order:
            case StopOrder():
                answer = await orders.stop(worker.entry, order, token)
            case PaceOrder():
                answer = await orders.pace(worker.entry, order, token)
        answer = self._state.resolve_fencing(order.vm, answer, number)
        match order:
            case StopOrder():
                metrics.count(f"stops.{answer.outcome.value}")
                now = self._dependencies.clock.now()
                self._state.apply_stop_answer(order, answer, now)
            case PaceOrder():
                metrics.count(f"paces.{answer.outcome.value}")
                self._state.changes.fenced |= answer.outcome is OrderOutcome.FENCED
                self._state.interference.apply_answer(order, answer)
