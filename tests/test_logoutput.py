"""Tests of the non-blocking output for log lines."""

import os

from arbutusladder.logoutput import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_S,
    NonBlockingLogOutput,
)


class ManualSeconds:
    """Clock that the test advances."""

    def __init__(self):
        self.seconds = 0.0

    def __call__(self):
        return self.seconds


class TestNonBlockingLogOutput:
    """Output to a pipe whose reader is slow, closed or reading again."""

    def test_unread_output_does_not_block_and_is_bounded(self):
        """Guards against a process that blocks until its log is read."""
        read_end, write_end = os.pipe()
        clock = ManualSeconds()
        output = NonBlockingLogOutput(write_end, clock)
        for number in range(3 * MAX_BUFFERED_LINES):
            clock.seconds += 1.0 / MAX_LINES_PER_S * 2
            output.write("x" * 200 + f" {number}\n")
        assert output.dropped_lines > 0
        received = b""
        os.set_blocking(read_end, False)
        for _ in range(200):
            try:
                received += os.read(read_end, 1 << 16)
            except BlockingIOError:
                output.write("probe\n")
            clock.seconds += 1.0
        assert b"lines were left out" in received
        assert received.index(b" 0\n") < received.index(b" 1\n")
        os.close(read_end)
        os.close(write_end)

    def test_lines_beyond_the_rate_are_counted(self):
        """Guards against a surge of lines that uses up the process's CPU time."""
        read_end, write_end = os.pipe()
        clock = ManualSeconds()
        output = NonBlockingLogOutput(write_end, clock)
        for _ in range(MAX_LINES_PER_S + 7):
            output.write("y\n")
        clock.seconds = 1.0
        output.write("z\n")
        text = os.read(read_end, 1 << 16).decode()
        assert text.count("y\n") == MAX_LINES_PER_S
        assert "7 lines were left out" in text
        os.close(read_end)
        os.close(write_end)

    def test_closed_reader_does_not_end_the_process(self):
        """Guards against a broken pipe that terminates the process."""
        read_end, write_end = os.pipe()
        output = NonBlockingLogOutput(write_end, ManualSeconds())
        os.close(read_end)
        output.write("x\n")
        os.close(write_end)
