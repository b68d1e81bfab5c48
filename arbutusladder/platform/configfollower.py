"""Follows the operator's configuration in the platform's log.

Two tasks share the work. `ConfigFollower.run` waits for changes with long-polling
reads. `ConfigFollower.keep_proof` reads through other entry VMs when another one has
announced a newer version, or when the log has not answered for so long that the proof
of the newest version would become too old.
"""

import curio
import msgspec

from arbutusladder import events
from arbutusladder.access.configview import ConfigView, ViewState
from arbutusladder.cell.forwardinglog import ForwardingLog
from arbutusladder.cell.interfaces import KeyedRecord, LogBatch, OffsetDeleted
from arbutusladder.clock import Clock
from arbutusladder.errors import LogUnavailable
from arbutusladder.journal import Journal
from arbutusladder.metrics import Metrics
from arbutusladder.platform.routes import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    RoutingTable,
    decode_config,
)

# Bounds in seconds of the wait of a long-polling read. A change must be in force within
# 2 s even if the connection of one read stops responding.
MAX_READ_WAIT_S = 0.9
MIN_READ_WAIT_S = 0.1
# Seconds for the answer to a read, beyond its wait, after which another entry VM is
# asked, and after which the next one is.
NEXT_READER_DELAY_S = 0.35
# Seconds for the answer to a read through another entry VM.
FORWARDED_ANSWER_S = 0.1
# Shortest time in seconds between two reads without records; forwarded ones do not wait
# for a change.
MIN_READ_INTERVAL_S = 0.25
# Seconds after a proof has become old enough at which it is checked; a timer may fire a
# moment early.
TIMER_MARGIN_S = 0.01
# Seconds between attempts to read the configuration while it is unavailable.
RETRY_DELAY_S = 0.2


class ConfigFollower:
    """Keeps a view of the configuration up to date.

    Args:
        log: Log client that can read through other entry VMs.
        view: The view.
        clock: Clock of this process.
        journal: Event log.
        metrics: Counters.
    """

    def __init__(
        self,
        log: ForwardingLog,
        view: ConfigView[RoutingTable],
        clock: Clock,
        journal: Journal,
        metrics: Metrics,
    ):
        self._log = log
        self._view = view
        self._clock = clock
        self._journal = journal
        self._metrics = metrics
        self._offset = 0
        self._is_positioned = False
        self._announced = curio.Event()
        self._is_outdated = False

    async def announce(self, version: int) -> None:
        """Handles the announcement that another entry VM has read a version."""
        if self._view.announce(version, self._clock.now_with_suspensions()):
            await self._announced.set()

    async def run(self) -> None:
        """Reads the configuration and its changes until cancelled."""
        while True:
            began_at = self._clock.now()
            try:
                if self._is_positioned:
                    await self._wait_for_change()
                else:
                    await self._read_newest()
            except LogUnavailable:
                await curio.sleep(RETRY_DELAY_S)
            pause_s = began_at + MIN_READ_INTERVAL_S - self._clock.now()
            await curio.sleep(max(0.0, pause_s))

    async def keep_proof(self) -> None:
        """Reads through other entry VMs when necessary, until cancelled."""
        while True:
            async with curio.ignore_after(self._seconds_until_check()):
                await self._announced.wait()
            self._announced.clear()
            if self._is_read_due():
                self._metrics.count("configuration.reads_through_others")
                await self._read_through_others()
            self._log_state()

    async def _read_newest(self) -> None:
        # Records of pages that were read before a failure may be out of date, so this
        # read proves nothing.
        batch = await self._log.newest(CONFIG_TOPIC)
        self._apply(batch.records)
        self._offset = batch.next_offset
        self._is_positioned = self._view.config is not None
        await self._announced.set()

    async def _wait_for_change(self) -> None:
        offset, sent_at = self._offset, self._clock.now_with_suspensions()
        try:
            batch = await self._log.read(CONFIG_TOPIC, offset, self._read_wait_s())
        except OffsetDeleted:
            self._is_positioned = False
            return
        self._record(batch, sent_at)

    async def _read_through_others(self) -> None:
        """Proves the newest version again; gives up when nobody answers."""
        offset, sent_at = self._offset, self._clock.now_with_suspensions()
        try:
            try:
                batch = await self._log.read_through_others(
                    CONFIG_TOPIC, offset, NEXT_READER_DELAY_S
                )
            except LogUnavailable:
                sent_at = self._clock.now_with_suspensions()
                batch = await self._log.read(CONFIG_TOPIC, offset)
        except OffsetDeleted:
            self._is_positioned = False
        except LogUnavailable:
            return
        else:
            self._record(batch, sent_at)

    def _record(self, batch: LogBatch, sent_at: float) -> None:
        self._apply(batch.records)
        if batch.next_offset > batch.end:
            # The topic is shorter than what was read of it.
            self._is_positioned = False
            return
        self._offset = max(self._offset, batch.next_offset)
        if batch.next_offset == batch.end:
            self._view.prove(sent_at)

    def _apply(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if record.key != CONFIG_KEY or not record.value:
                continue
            try:
                config = decode_config(record.value)
            except msgspec.MsgspecError as error:
                self._journal.write(events.CONFIG_UNREADABLE, problem=str(error))
                continue
            if self._view.apply(config, self._clock.now_with_suspensions()):
                self._journal.write(events.CONFIG_IN_FORCE, version=config.version)

    def _read_wait_s(self) -> float:
        """Returns the wait of a long-polling read.

        With teams, two reads and the attempts of two other entry VMs have to fit into
        the time for which a proof counts.
        """
        if not self._view.has_teams:
            return MAX_READ_WAIT_S
        reserve_s = FORWARDED_ANSWER_S + 2 * NEXT_READER_DELAY_S
        wait_s = (self._view.validity_s - reserve_s) / 2
        return min(MAX_READ_WAIT_S, max(MIN_READ_WAIT_S, wait_s))

    def _max_proof_age_s(self) -> float:
        """Returns the age of the proof from which other entry VMs are asked.

        A proof is as old as two waits when the log answers the second read.
        """
        return 2 * self._read_wait_s() + NEXT_READER_DELAY_S

    def _seconds_until_check(self) -> float:
        now = self._clock.now_with_suspensions()
        due_s = self._max_proof_age_s() - self._view.proof_age_s(now)
        return due_s + TIMER_MARGIN_S if due_s > 0 else MIN_READ_INTERVAL_S

    def _is_read_due(self) -> bool:
        if not self._is_positioned:
            return False
        now = self._clock.now_with_suspensions()
        is_old = self._view.proof_age_s(now) >= self._max_proof_age_s()
        return self._view.is_newer_announced or (self._view.has_teams and is_old)

    def _log_state(self) -> None:
        """Logs once when the view no longer decides calls, and when it does again."""
        if not self._view.has_teams:
            return
        now = self._clock.now_with_suspensions()
        state = self._view.state(now)
        is_outdated = state is not ViewState.IN_FORCE
        if is_outdated == self._is_outdated:
            return
        self._is_outdated = is_outdated
        self._metrics.count("configuration.view_changes")
        self._journal.write(
            events.CONFIG_VIEW_OUTDATED if is_outdated else events.CONFIG_VIEW_CURRENT,
            version=self._view.version,
            state=state.value,
            seconds=self._view.proof_age_s(now),
        )
