"""Decodes JSON that other programs have written."""

from typing import TypeVar

import msgspec

from arbutusladder.errors import JobTooLarge

Message = TypeVar("Message")

# Most steps of a job that are decoded. With the largest record that the platform
# documents (262,144 bytes) `JobLimits` refuses jobs of more than 2,730 steps.
MAX_STEPS = 4096
# Memory of a decoded step, while it is translated.
STEP_BYTES = 1500


class _Outline(msgspec.Struct):
    """A job whose steps are not decoded."""

    steps: list[msgspec.Raw] = []


def memory_bytes(body: bytes) -> int:
    """Returns the bytes of memory that a job takes while it is handled, at most."""
    return len(body) + STEP_BYTES * min(body.count(b"{"), MAX_STEPS)


def check_step_count(body: bytes) -> None:
    """Checks the number of steps of a job, which take far more memory than their text.

    Args:
        body: JSON text of the job.

    Raises:
        JobTooLarge: It has too many.
        msgspec.MsgspecError: The text is no JSON.
    """
    # Each step is an object, so short jobs need no further check.
    if body.count(b"{") <= MAX_STEPS:
        return
    count = len(decode_json(body, _Outline).steps)
    if count > MAX_STEPS:
        raise JobTooLarge(f"{count} steps, at most {MAX_STEPS}")


def decode_json(data: bytes, message_type: type[Message]) -> Message:
    """Decodes JSON text.

    Args:
        data: The text, which may be anything.
        message_type: Type of the result; its constraints are checked.

    Raises:
        msgspec.MsgspecError: The text is not a message of that type, or is nested too
            deeply to read.
    """
    try:
        return msgspec.json.decode(data, type=message_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(f"JSON cannot be read: {error}") from error
