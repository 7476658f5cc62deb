"""Exit statuses and the exception that carries one."""

import enum

from sniperudder import errors


class Status(enum.IntEnum):
    """Exit status of a command."""

    DONE = 0
    MISTAKES = 1
    USAGE = 2
    UNREACHABLE = 3
    REFUSED = 4
    PARTIAL = 5
    IN_DOUBT = 6
    FILE = 7
    UNFINISHED = 8
    INTERRUPTED = 130


class CommandFailed(errors.SniperudderError):
    """A command failed; the message goes to standard error.

    Attributes
    ----------
    status : Status
    """

    def __init__(self, status, message):
        self.status = status
        super().__init__(message)
