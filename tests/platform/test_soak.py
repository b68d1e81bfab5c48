"""Short runs of the fault soak: the daemon as real processes, faults from outside."""

import socket

import pytest

from tests.platform.soak import Fault, SoakRun, make_plan
from tests.platform.soakteams import TEAMS
from tests.platform.soakworkers import ZONES

# Few jobs, so that a busy machine can still finish them in time.
ARRIVALS_PER_S = 4.0
ENTRIES, WORKERS = 3, 8

PLANS = {
    # Two processes ordered under one epoch, and ends were acknowledged but not stored.
    "owner paused": [Fault(2.0 + 6.0 * n, "owner_pause", 0, 3.0) for n in range(4)],
    # A successor did not wait for workers without an entry.
    "entries lapse": [
        fault
        for at in (4.0, 13.0, 22.0)
        for fault in (Fault(at, "lapse", 0, 3.0), Fault(at + 1.8, "owner_kill", 0, 0.5))
    ],
    # Runs of a restarted worker were started elsewhere beside accepted repeats.
    "workers restart": [
        Fault(2.0 + number, "worker_crash", number, 0.5) for number in range(24)
    ],
    # An entry of another writer displaced a sound worker, or ended owners in turn.
    "entry of another writer": [
        Fault(2.0 + 4.0 * number, "odd_entry", 2, 3.0) for number in range(4)
    ],
    "unreadable entries": [
        Fault(4.0, "odd_entry", 0, 0.0),
        Fault(8.0, "odd_entry", 1, 0.0),
    ],
    # An owner that had not read a cancellation or an end started tasks: after a pause,
    # or while its reads got no answer, its ownership was confirmed by other entry VMs
    # or by its own stored renewal.
    "owner knows old records": [
        Fault(2.0, "owner_reads_silence", 0, 5.0),
        Fault(3.0, "failing_runs", 0, 6.0),
        Fault(8.0, "owner_store_silence", 0, 4.0),
        Fault(9.0, "half_pause", 1, 3.0),
        Fault(12.0, "owner_answers_loss", 0, 3.0),
    ],
    # Claims, ends and cancellations were applied after their sender had given them up.
    "appends are applied late": [
        Fault(2.0, "late_appends", 0, 3.0),
        Fault(4.0, "slow_store", 0, 4.0),
        Fault(6.0, "owner_kill", 0, 0.5),
        Fault(8.0, "late_appends", 0, 2.0),
        Fault(9.0, "store_resets", 0, 2.0),
        Fault(10.0, "kill_all", 0, 0.5),
        Fault(11.0, "half_store_silence", 1, 2.5),
    ],
    # Jobs that were shown as completed during an outage of the store ran again once all
    # entry VMs and the workers that had run them had lost power.
    "power is lost before ends are stored": [
        Fault(2.0, "store_silence", 0, 4.0),
        *(Fault(5.0, "worker_crash", number, 5.0) for number in range(WORKERS)),
        Fault(5.1, "kill_all", 0, 0.2),
    ],
    # Leases by the clock of a former incarnation outlasted what the owner waited for,
    # and orders for it were executed by the next one.
    "workers restart and are cut off": [
        Fault(2.0, "recut", 0, 7.0),
        Fault(5.0, "owner_kill", 0, 0.5),
        Fault(14.0, "recut", 1, 7.0),
    ],
    # Faults of all kinds overlap.
    "random": make_plan(1, 20.0),
}


class TestStart:
    """Pattern: an entry VM ends before it is ready."""

    def test_ended_process_is_reported(self, tmp_path, monkeypatch):
        """Guards against a wait until the time limit that does not name the cause."""
        with socket.socket() as holder:

            def take_port(ip):
                holder.bind((ip, 0))
                monkeypatch.undo()
                return holder.getsockname()[1]

            monkeypatch.setattr("tests.platform.soak.free_port", take_port)
            with pytest.raises(RuntimeError, match="Address already in use"):
                SoakRun([], 1, 1, tmp_path).play()


class TestSoak:
    """Patterns: the orders of events of the independent review, and a random one."""

    @pytest.mark.parametrize("name", list(PLANS))
    def test_no_rule_is_broken(self, tmp_path, name):
        """Guards against tasks that run twice, lost jobs and processes that end."""
        run = SoakRun(PLANS[name], ENTRIES, WORKERS, tmp_path, ARRIVALS_PER_S)
        run.play()
        assert run.checker.starts > 0
        assert run.checker.broken == []

    def test_no_rule_is_broken_with_tickets(self, tmp_path):
        """Guards against a run elsewhere beside one of a restart that nobody has seen.

        Whole workers restart behind long polls, with tickets of the next incarnation.
        """
        plan = [
            Fault(at, "zone_recut", zone, 7.0)
            for at in (2.0, 12.0)
            for zone in (ZONES, ZONES + 1)
        ]
        run = SoakRun(plan, ENTRIES + 1, 32, tmp_path, 2.0, tickets=True)
        run.weights |= {"long": 0, "wide": 45, "gang": 2}
        run.play()
        assert run.checker.starts > 0
        assert run.checker.broken == []

    def test_no_rule_about_teams_is_broken(self, tmp_path):
        """Guards against removed keys that are accepted and caps that are exceeded."""
        plan = make_plan(2, 12.0, teams=True)
        run = SoakRun(plan, ENTRIES, WORKERS, tmp_path, ARRIVALS_PER_S, TEAMS)
        run.play()
        assert run.checker.starts > 0
        assert len(run._teams.versions) > 1
        assert run.checker.broken == []
