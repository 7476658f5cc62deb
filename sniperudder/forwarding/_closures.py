"""Why and in which state a connection of a caller was closed."""

import dataclasses
import enum

__all__ = ['Closure', 'ClosureReason']


class ClosureReason(enum.Enum):
    """Why an instance closed a connection on which it owed no response.

    IDLE: no request came for as long as the configuration allows.

    STOPPING: it was idle while the instance was stopping.

    AFTER_RESPONSE: the response to a request was the last one.

    NOT_READ: the caller had not accepted a response for as long as a
    connection may be idle.

    GIVEN_UP: there was no room for all connections, and this one made the
    least progress.

    EXIT: the process was about to end.
    """

    IDLE = 'idle'
    STOPPING = 'stopping'
    AFTER_RESPONSE = 'after response'
    NOT_READ = 'not read'
    GIVEN_UP = 'given up'
    EXIT = 'exit'


@dataclasses.dataclass(frozen=True, slots=True)
class Closure:
    """The end of a connection on which no response was owed.

    Attributes
    ----------
    reason : ClosureReason
    unread_bytes : int
        Bytes that had arrived and were not read.
    unanswered_bytes : int
        Bytes that were read and belong to no request that got a response.
    unsent_bytes : int
        Bytes of responses that the caller had not accepted.
    idle_s : float
        Time since the last response or since the connection was opened,
        seconds.
    """

    reason: ClosureReason
    unread_bytes: int
    unanswered_bytes: int
    unsent_bytes: int
    idle_s: float

    @property
    def is_clean(self):
        """Whether nothing of either side was lost."""
        return not (
            self.unread_bytes or self.unanswered_bytes or self.unsent_bytes
        )
