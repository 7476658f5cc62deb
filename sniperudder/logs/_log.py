"""Writing the log of one process as JSON lines."""

import dataclasses
import json
import sys
import threading
import typing

import eliot

from sniperudder import clocks


class _Destination:
    """Writes each of eliot's messages as one line of JSON."""

    __slots__ = ('_clock', '_instance', '_lock', '_sequence', '_stream')

    def __init__(self, stream, instance, clock):
        self._stream = stream
        self._instance = instance
        self._clock = clock
        self._lock = threading.Lock()
        self._sequence = 0

    def __call__(self, message):
        # The order of lines, sequence and clock must agree.
        with self._lock:
            self._sequence += 1
            stamped = {
                'instance': self._instance,
                'sequence': self._sequence,
                'clock': self._clock.advance(),
                **message,
            }
            self._stream.write(json.dumps(stamped, default=str) + '\n')
            self._stream.flush()


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """The log of this process.

    Attributes
    ----------
    instance : str
    clock : sniperudder.clocks.LamportClock
    stream : file
    destination : callable
        Where eliot sends its messages.
    owned : bool
        Whether ``close_log`` closes the stream.
    """

    instance: str
    clock: clocks.LamportClock
    stream: typing.TextIO
    destination: _Destination
    owned: bool


def create_log(stream_or_path, instance):
    """Send eliot's messages of this process to a stream or file.

    Each line carries, besides eliot's fields, ``instance``, ``sequence``
    (from 1, without gaps), ``clock`` (Lamport) and ``timestamp`` (wall
    time, seconds).

    Parameters
    ----------
    stream_or_path : file or str
        A text stream, a path to append to, or ``-`` for standard error.
    instance : str

    Returns
    -------
    Log

    Raises
    ------
    OSError
        If the file cannot be opened.

    Examples
    --------
    >>> import io
    >>> from sniperudder import effects
    >>> stream = io.StringIO()
    >>> log = create_log(stream, 'entry-1')
    >>> write_note(effects.Note('endpoint:down', 'gpu-1'))
    >>> close_log(log)
    >>> json.loads(stream.getvalue())['message_type']
    'endpoint:down'
    """
    stream, owned = _open_stream(stream_or_path)
    clock = clocks.LamportClock()
    destination = _Destination(stream, instance, clock)
    eliot.add_destinations(destination)
    return Log(instance, clock, stream, destination, owned)


def close_log(log):
    """Stop writing to a log."""
    eliot.remove_destination(log.destination)
    if log.owned:
        log.stream.close()


def write_note(note, **fields):
    """Write a decision to the log.

    Parameters
    ----------
    note : sniperudder.effects.Note
    **fields
        Further fields of the line.
    """
    eliot.log_message(
        message_type=note.event,
        subject=note.subject,
        detail=note.detail,
        **fields,
    )


def _open_stream(stream_or_path):
    if stream_or_path == '-':
        return sys.stderr, False
    if isinstance(stream_or_path, str):
        return open(stream_or_path, 'a', encoding='utf-8'), True
    return stream_or_path, False
