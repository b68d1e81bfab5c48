"""Exceptions; their messages include the remedy for the operator."""

from arbutusladder.states import Outcome, Reason


class ArbutusladderError(Exception):
    """Base class of the exceptions of this package."""


class ConfigError(ArbutusladderError):
    """A settings or declaration file cannot be used.

    Attributes:
        source: File or stream that holds the value.
        path: Path of the value inside the file, such as ``$.timing``.
        problem: What is wrong with the value.
        remedy: What the operator should change.
    """

    def __init__(self, source: str, path: str, problem: str, remedy: str):
        super().__init__(f"{source}: {path}: {problem}; {remedy}")
        self.source = source
        self.path = path
        self.problem = problem
        self.remedy = remedy


class LogUnavailable(ArbutusladderError):
    """The log service did not confirm an operation.

    Attributes:
        maybe_applied: Whether the operation may have taken effect.
    """

    def __init__(self, detail: str, maybe_applied: bool):
        super().__init__(
            f"the log service did not confirm the operation ({detail}); "
            "check the log service, then repeat the command"
        )
        self.maybe_applied = maybe_applied


class JobTooLarge(ArbutusladderError):
    """A submitted job is larger than the cell can serve."""

    def __init__(self, problem: str):
        super().__init__(
            f"the job is too large: {problem}; submit it as several smaller jobs"
        )


class JobExceedsCap(ArbutusladderError):
    """A step of a submitted job can never run below the cap of its team."""

    def __init__(self, problem: str):
        super().__init__(
            f"the job exceeds the team's cap: {problem}; "
            "submit smaller tasks or gangs, or have the cap raised"
        )


class PreviewUnavailable(ArbutusladderError):
    """No owner can tell where a job would be placed.

    Attributes:
        problem: Why not.
    """

    def __init__(self, problem: str):
        self.problem = problem
        super().__init__(f"no preview: {problem}; ask again in some seconds")


class NoRoom(ArbutusladderError):
    """A job would end too late to be worth anything.

    Attributes:
        retry_after_s: Whole seconds after which room is expected.
    """

    def __init__(self, retry_after_s: int):
        super().__init__(
            f"no room for the job in time; submit it again after {retry_after_s} s"
        )
        self.retry_after_s = retry_after_s


class HttpError(ArbutusladderError):
    """An HTTP exchange failed.

    Attributes:
        reason: What failed.
        sent: Whether any byte of the request may have reached the server.
    """

    def __init__(self, reason: Reason, detail: str, sent: bool):
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.sent = sent


class ProtocolError(ArbutusladderError):
    """A received message, record or body cannot be decoded."""


class RequestFailed(ArbutusladderError):
    """A request to an entry VM was not run, or its outcome is unknown.

    Attributes:
        outcome: ``not_run`` or ``unknown``.
        reason: Reason code given by the entry VM.
        remedy: What the caller should do.
    """

    def __init__(self, outcome: Outcome, reason: str, remedy: str):
        super().__init__(f"{outcome.value} ({reason}); {remedy}")
        self.outcome = outcome
        self.reason = reason
        self.remedy = remedy
