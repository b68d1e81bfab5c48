"""External services and settings of an entry VM in a cell."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from arbutusladder.cell.cellsettings import CellSettings
from arbutusladder.cell.interfaces import (
    Advisor,
    KeyedLog,
    KeyedRecord,
    OrderSender,
    TeamLimits,
    WorkerEntry,
)
from arbutusladder.clock import Clock
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics


async def ignore_config_version(version: int) -> None:
    """Ignores an announced version, where no configuration has versions."""


@dataclass
class CellDependencies:
    """External services and settings of an entry VM.

    Attributes:
        log: Client of the log.
        orders: Client of the workers.
        advisor: Client of the advice service.
        decode_worker: Decodes a record of the worker registry; None if it is invalid.
        clock: Monotonic and wall clock time.
        journal: Event log.
        metrics: Counters and timings.
        settings: Settings of the cell.
        teams: Returns the shares and limits of the teams now.
        config_version: Returns the newest version of the configuration known here.
        on_config_version: Called with the version that the owner announces.
    """

    log: KeyedLog
    orders: OrderSender
    advisor: Advisor
    decode_worker: Callable[[KeyedRecord], WorkerEntry | None]
    clock: Clock
    journal: Journal
    metrics: Metrics
    settings: CellSettings
    teams: Callable[[], TeamLimits] = TeamLimits
    config_version: Callable[[], int] = int
    on_config_version: Callable[[int], Awaitable[None]] = ignore_config_version

    @property
    def admits_by_forecast(self) -> bool:
        """Whether jobs that would end too late are refused now."""
        return self.settings.admission or bool(self.teams().terms_by_name)
