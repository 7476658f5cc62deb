"""Parsing of a byte stream into server-sent events."""

import dataclasses

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'

# Limit for the digits of an id, which are converted to a number.
_MAX_ID_DIGITS = 18

# Limit for the buffer of an incomplete event; the events of engines take
# less than 1 KB.
_MAX_EVENT_BYTES = 65_536


class EventTooLong(ValueError):
    """Raised if an incomplete event exceeds the buffer limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes
    ----------
    data : bytes
        The event as received, including the blank line that ends it.
    id : int or None
        Value of the ``id`` field; None if it is missing or not a number.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes and splits them into complete events.

    Takes linear time, however many pieces the bytes arrive in.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(data=b'id: 1\\ndata: a\\n\\n', id=1)]
    >>> splitter.remainder
    b'id: 2\\nda'
    """

    __slots__ = ('_buffer',)

    def __init__(self):
        self._buffer = bytearray()

    @property
    def remainder(self):
        """Received part of the event that is not complete yet."""
        return bytes(self._buffer)

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes-like

        Returns
        -------
        list of Event

        Raises
        ------
        EventTooLong
            If the incomplete event exceeds the buffer limit.
        """
        buffer = self._buffer
        if buffer:
            # A separator may begin with the last byte that is known.
            unsearched = len(buffer) - 1
            buffer += data
            if buffer.find(_SEPARATOR, unsearched) < 0:
                _check_length(buffer)
                return []
            data = bytes(buffer)
            buffer.clear()
        *complete, rest = bytes(data).split(_SEPARATOR)
        if rest:
            buffer += rest
            _check_length(buffer)
        return [
            Event(block + _SEPARATOR, read_event_id(block))
            for block in complete
        ]


def read_event_id(block):
    """Return the numeric value of an event's ``id`` field, or None."""
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return parse_event_id(line[len(_ID_FIELD) :])
    return None


def parse_event_id(value):
    """Return an event id as a number, or None if it is none.

    Parameters
    ----------
    value : bytes

    Examples
    --------
    >>> [parse_event_id(value) for value in (b' 12 ', b'a', b'1' * 99)]
    [12, None, None]
    """
    value = value.strip()
    if not value.isdigit() or len(value) > _MAX_ID_DIGITS:
        return None
    return int(value)


def _check_length(buffer):
    if len(buffer) > _MAX_EVENT_BYTES:
        raise EventTooLong(f'{len(buffer)} bytes')
