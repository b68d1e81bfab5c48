"""Request load on entry VMs, checked against the records of the executors."""

import http.client
import threading
import time
from dataclasses import dataclass

from tests.harness import http_request
from tests.processcell import new_idempotency_key

THREADS_PER_ENTRY = 4
REQUEST_PAUSE_S = 0.02
TIMEOUT_S = 6.0


@dataclass
class SentRequest:
    """One request and its response.

    Attributes:
        marker: Unique body of the request.
        key: Idempotency key; empty without one.
        address: Address of the entry VM.
        status: HTTP status; 0 without a response.
        outcome: Outcome header of the response.
        reason: Reason in the response, or the connection error.
        body: Body of the response.
        refused: Whether the connection was refused.
    """

    marker: str
    key: str
    address: str
    status: int = 0
    outcome: str = ""
    reason: str = ""
    body: bytes = b""
    refused: bool = False


class RequestLoad:
    """Threads that send requests with unique bodies, every other one with a key."""

    def __init__(self, addresses, work_ms=5):
        self.addresses = list(addresses)
        self.work_ms = work_ms
        self.sent = []
        self._avoided_addresses = set()
        self._stop_event = threading.Event()
        self._threads = []

    def start(self):
        """Starts the sending threads."""
        for number in range(THREADS_PER_ENTRY * len(self.addresses)):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self._threads.append(thread)

    def stop(self):
        """Stops the threads and waits for their last responses."""
        self._stop_event.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 2)

    def avoid_when_unready(self, address):
        """Stops sending to an address as soon as its ``/readyz`` is not 200."""
        self._avoided_addresses.add(address)

    def _run(self, number):
        count = 0
        while not self._stop_event.is_set():
            count += 1
            self.send_one(number * 1_000_000 + count)
            time.sleep(REQUEST_PAUSE_S)

    def _choose_address(self, number):
        address = self.addresses[(number // 1_000_000) % len(self.addresses)]
        if address in self._avoided_addresses and not self._is_ready(address):
            other_addresses = [
                other
                for other in self.addresses
                if other not in self._avoided_addresses
            ]
            return other_addresses[number % len(other_addresses)]
        return address

    def _is_ready(self, address):
        try:
            return http_request(address, "GET", "/readyz", timeout=1).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def send_one(self, number):
        """Sends one request and stores its response."""
        key = new_idempotency_key() if number % 2 else ""
        sent = SentRequest(f"request {number}", key, self._choose_address(number))
        headers = {"Arbutusladder-Workload": "quote-check" if key else "rate-lookup"}
        if key:
            headers["Idempotency-Key"] = key
        path = f"/services/tarief/check/{number}?work_ms={self.work_ms}"
        try:
            response = http_request(
                sent.address, "POST", path, sent.marker, headers, TIMEOUT_S
            )
            sent.status = response.status
            sent.body = response.body
            sent.outcome = response.headers.get("arbutusladder-outcome", "")
            if response.status != 200:
                sent.reason = response.json()["reason"]
        except ConnectionRefusedError as error:
            sent.reason = repr(error)
            sent.refused = True
        except (OSError, http.client.HTTPException) as error:
            sent.reason = repr(error)
        self.sent.append(sent)

    def check_invariants(self, records):
        """Checks limits, responses and outcomes against the executors' records.

        Raises:
            AssertionError: An executor exceeded its limits, a response was wrong or
                incomplete, an outcome was false, or a key ran twice.
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
