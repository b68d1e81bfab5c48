"""Short chaos runs: random faults in sequences of fixed seeds."""

import pytest

from tests.chaos import ChaosRun

FAULT_DURATION_S = 20.0


class TestChaos:
    """Guards against failures that occur only when several faults combine."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_invariants_hold_under_random_faults(self, tmp_path, seed):
        chaos_run = ChaosRun(tmp_path, seed)
        try:
            chaos_run.run(FAULT_DURATION_S)
        finally:
            chaos_run.close()
