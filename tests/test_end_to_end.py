"""End-to-end tests of a cell of separate processes: request, job and preset."""

import pytest

from tests.harness import http_request, wait_for
from tests.processcell import ProcessCell, new_idempotency_key


@pytest.fixture(scope="module")
def cell(tmp_path_factory):
    cell = ProcessCell(tmp_path_factory.mktemp("path"))
    try:
        cell.start_and_configure()
        yield cell
    finally:
        cell.close()


class TestEndToEnd:
    """Guards against failures anywhere between a caller and an endpoint."""

    def test_every_entry_vm_serves_requests(self, cell):
        for seat in cell.seats:
            answer = cell.send_request(f"lookup by {seat}", seat)
            assert (answer.status, answer.body) == (200, f"lookup by {seat}".encode())

    def test_request_with_a_key_is_run_once(self, cell):
        key = new_idempotency_key()
        answers = [cell.send_request("quote", seat, key) for seat in cell.seats]
        assert {answer.status for answer in answers} == {200}
        runs = [
            record["runs_by_key"].get(key, 0)
            for record in cell.fetch_records(cell.executors).values()
        ]
        assert sum(runs) == 1

    def test_batch_job_finishes(self, cell):
        part = cell.submit_job("residual-batch")["parts"][0]
        assert part["outcome"] == "done", part
        view = wait_for(
            lambda: (
                (job := cell.job(part["job_id"], cell.seats[1]))
                and job["state"] == "finished"
                and job
            ),
            15,
            "the job finishes",
        )
        assert view["state"] == "finished"

    def test_chosen_preset_becomes_active_on_every_entry_vm(self, cell):
        body = {
            "change_id": new_idempotency_key(),
            "base_revision": 1,
            "author": "operator",
            "preset": "peak",
        }
        address = cell.address_by_name[cell.seats[0]]
        answer = http_request(address, "POST", "/v1/presets", body)
        assert answer.status == 200, answer.body
        for seat in cell.seats:
            wait_for(lambda s=seat: cell.fetch_revision(s) == 2, 16, "preset in force")
