"""Log lines never block the process that writes them."""

import os

from arbutusladder.logoutput import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_S,
    NonBlockingLogOutput,
)


class ManualSeconds:
    """Clock that the test moves."""

    def __init__(self):
        self.seconds = 0.0

    def __call__(self):
        return self.seconds


class TestLogStream:
    """A stream whose reader is slow, absent or back."""

    def test_unread_output_neither_blocks_nor_grows(self):
        """Guards against decisions that wait for the reader of the log."""
        read_end, write_end = os.pipe()
        clock = ManualSeconds()
        stream = NonBlockingLogOutput(write_end, clock)
        for number in range(3 * MAX_BUFFERED_LINES):
            clock.seconds += 1.0 / MAX_LINES_PER_S * 2
            stream.write("x" * 200 + f" {number}\n")
        assert stream.dropped_lines > 0
        received = b""
        os.set_blocking(read_end, False)
        for _ in range(200):
            try:
                received += os.read(read_end, 1 << 16)
            except BlockingIOError:
                stream.write("probe\n")
            clock.seconds += 1.0
        assert b"lines were left out" in received
        assert received.index(b" 0\n") < received.index(b" 1\n")
        os.close(read_end)
        os.close(write_end)

    def test_lines_beyond_the_rate_are_counted(self):
        """Guards against a surge of lines that takes the process's time."""
        read_end, write_end = os.pipe()
        clock = ManualSeconds()
        stream = NonBlockingLogOutput(write_end, clock)
        for _ in range(MAX_LINES_PER_S + 7):
            stream.write("y\n")
        clock.seconds = 1.0
        stream.write("z\n")
        text = os.read(read_end, 1 << 16).decode()
        assert text.count("y\n") == MAX_LINES_PER_S
        assert "7 lines were left out" in text
        os.close(read_end)
        os.close(write_end)

    def test_reader_that_has_gone_does_not_end_the_process(self):
        """Guards against a broken pipe that ends the daemon."""
        read_end, write_end = os.pipe()
        stream = NonBlockingLogOutput(write_end, ManualSeconds())
        os.close(read_end)
        stream.write("x\n")
        os.close(write_end)
