"""Splitting a stream of bytes into server-sent events."""

import dataclasses

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'

# Longest event that is waited for; a worker's event takes under 1 KB.
_MAX_EVENT_BYTES = 1_048_576


class EventTooLong(ValueError):
    """Bytes without an end of an event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes
    ----------
    data : bytes
        As it came, with the blank line that ends it.
    id : int or None
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes until whole events can be given out.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(data=b'id: 1\\ndata: a\\n\\n', id=1)]
    >>> splitter.rest
    b'id: 2\\nda'
    """

    __slots__ = ('remainder',)

    def __init__(self):
        self.remainder = b''

    def feed(self, data):
        """Return the events that are now complete.

        Raises
        ------
        EventTooLong
        """
        *complete, self.remainder = (self.remainder + bytes(data)).split(
            _SEPARATOR
        )
        if len(self.remainder) > _MAX_EVENT_BYTES:
            raise EventTooLong(f'{len(self.remainder)} bytes')
        return [
            Event(block + _SEPARATOR, read_event_id(block))
            for block in complete
        ]


def read_event_id(block):
    """Return the number in an event's ``id`` field, or None."""
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
