"""Load on entry VMs whose answers are compared with the executors' records."""

import http.client
import threading
import time
from dataclasses import dataclass

from tests.harness import http_request
from tests.processcell import new_idempotency_key

THREADS_PER_ENTRY = 4
PAUSE_S = 0.02
TIMEOUT_S = 6.0


@dataclass
class Sent:
    """One request and its answer; status 0 means that there was none."""

    marker: str
    key: str
    address: str
    status: int = 0
    outcome: str = ""
    reason: str = ""
    body: bytes = b""
    refused: bool = False


class RequestLoad:
    """Threads that send marked requests; every second one carries a key."""

    def __init__(self, addresses, work_ms=5):
        self.addresses = list(addresses)
        self.work_ms = work_ms
        self.sent = []
        self._left = set()
        self._stop = threading.Event()
        self._threads = []

    def start(self):
        """Starts the threads."""
        for number in range(THREADS_PER_ENTRY * len(self.addresses)):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self._threads.append(thread)

    def stop(self):
        """Stops the threads and waits for their last answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 2)

    def avoid_when_unready(self, address):
        """Sends nothing more to an address once it says that it is not ready."""
        self._left.add(address)

    def _run(self, number):
        count = 0
        while not self._stop.is_set():
            count += 1
            self.send_one(number * 1_000_000 + count)
            time.sleep(PAUSE_S)

    def _address(self, number):
        address = self.addresses[(number // 1_000_000) % len(self.addresses)]
        if address in self._left and not self._is_ready(address):
            others = [one for one in self.addresses if one not in self._left]
            return others[number % len(others)]
        return address

    def _is_ready(self, address):
        try:
            return http_request(address, "GET", "/readyz", timeout=1).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def send_one(self, number):
        """Sends one request and keeps its answer."""
        key = new_idempotency_key() if number % 2 else ""
        sent = Sent(f"request {number}", key, self._address(number))
        headers = {"Arbutusladder-Workload": "quote-check" if key else "rate-lookup"}
        if key:
            headers["Idempotency-Key"] = key
        path = f"/services/tarief/check/{number}?work_ms={self.work_ms}"
        try:
            answer = http_request(
                sent.address, "POST", path, sent.marker, headers, TIMEOUT_S
            )
            sent.status = answer.status
            sent.body = answer.body
            sent.outcome = answer.headers.get("arbutusladder-outcome", "")
            if answer.status != 200:
                sent.reason = answer.json()["reason"]
        except ConnectionRefusedError as error:
            sent.reason = repr(error)
            sent.refused = True
        except (OSError, http.client.HTTPException) as error:
            sent.reason = repr(error)
        self.sent.append(sent)

    def check_invariants(self, records):
        """Checks each answer against what the executors say they ran.

        Raises:
            AssertionError: An answer was wrong, not whole or not true.
        """
        runs = {}
        for record in records.values():
            assert record["highest_slots"] <= 8, record["highest_slots"]
            assert record["highest_connections"] <= 64, record["highest_connections"]
            for run in record["runs"]:
                marker = run["path"].rpartition("/")[2]
                runs[marker] = runs.get(marker, 0) + 1
        for sent in self.sent:
            count = runs.get(sent.marker.rpartition(" ")[2], 0)
            if sent.status == 200:
                assert sent.body == sent.marker.encode(), sent
                assert count >= 1, sent
            if sent.outcome == "not_run":
                assert count == 0, (sent, count)
            if sent.key:
                assert count <= 1, (sent, count)
