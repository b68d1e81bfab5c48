"""Load generators for the capacity measurements, with a constant rate."""

import http.client
import threading
import time
from collections import Counter

from arbutusladder.capacitycell import CapacityCell, CellError
from arbutusladder.httpclient import split_address

THREAD_COUNT = 8
TIMEOUT_S = 5.0
REQUEST_BODY = b"x" * 200
REQUEST_PATH = "/services/tarief/check"


class PacedLoad:
    """Context manager that calls ``send`` at a constant rate from several threads.

    Subclasses implement ``send``.

    Args:
        rate: Calls per second of all threads together.
    """

    def __init__(self, rate: float):
        self.count = 0
        self.failed = 0
        self._thread_period_s = THREAD_COUNT / rate
        self._stop_event = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(
                target=self._run_thread, args=(thread_number,), daemon=True
            )
            for thread_number in range(THREAD_COUNT)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_event.set()
        for thread in self._threads:
            thread.join(2 * TIMEOUT_S)

    def send(self, thread_number: int, iteration: int) -> None:
        """Sends one request.

        Args:
            thread_number: Index of the calling thread.
            iteration: Number of earlier calls by that thread.
        """
        raise NotImplementedError

    def _run_thread(self, thread_number: int) -> None:
        due_at = time.monotonic() + thread_number * self._thread_period_s / THREAD_COUNT
        iteration = 0
        while not self._stop_event.wait(max(0.0, due_at - time.monotonic())):
            try:
                self.send(thread_number, iteration)
                failed = 0
            except (OSError, http.client.HTTPException, CellError):
                failed = 1
            with self._lock:
                self.count += 1
                self.failed += failed
            iteration += 1
            due_at += self._thread_period_s


class JobLoad(PacedLoad):
    """Submits jobs of a workload through all entry VMs in turn.

    Args:
        cell: Region to submit to.
        workload: Name of the workload.
        tasks: Number of tasks of each job.
        rate: Jobs per second.
    """

    def __init__(self, cell: CapacityCell, workload: str, tasks: int, rate: float):
        super().__init__(rate)
        self._cell = cell
        self._workload = workload
        self._tasks = tasks

    def send(self, thread_number: int, iteration: int) -> None:
        """Submits one job."""
        seats = self._cell.seats
        seat = seats[(thread_number + iteration) % len(seats)]
        self._cell.submit(seat, self._workload, self._tasks)


class RequestLoad(PacedLoad):
    """Sends requests to one entry VM over one connection per thread.

    Args:
        address: Address and port of the entry VM.
        rate: Requests per second.
    """

    def __init__(self, address: str, rate: float):
        super().__init__(rate)
        self.count_by_status: Counter[int] = Counter()
        host, port = split_address(address)
        self._connections = [
            http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
            for _ in range(THREAD_COUNT)
        ]

    def __exit__(self, *exc: object) -> None:
        super().__exit__(*exc)
        for connection in self._connections:
            connection.close()

    def send(self, thread_number: int, iteration: int) -> None:
        """Sends one request and reads its response."""
        connection = self._connections[thread_number]
        try:
            connection.request("POST", REQUEST_PATH, REQUEST_BODY)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            raise
        self.count_by_status[response.status] += 1
