"""Writing the log of one process as JSON lines."""

import contextlib
import dataclasses
import json
import sys
import threading
import time
import typing

import eliot

from sniperudder import clocks
from sniperudder.logs import _writer

_NS_PER_US = 1000


class _Destination:
    """Writes each of eliot's messages as one line of JSON."""

    __slots__ = ('_clock', '_instance', '_lock', '_sequence', '_writer')

    def __init__(self, writer, instance, clock):
        self._writer = writer
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
            self._writer.write_line(json.dumps(stamped, default=str))


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """The log of this process.

    Attributes
    ----------
    instance : str
    clock : sniperudder.clocks.LamportClock
    stream : file
    writer : sniperudder.logs._writer.LineWriter
    destination : callable
        Where eliot sends its messages.
    owned : bool
        Whether ``close_log`` closes the stream.
    """

    instance: str
    clock: clocks.LamportClock
    stream: typing.TextIO
    writer: _writer.LineWriter
    destination: _Destination
    owned: bool


def create_log(stream_or_path, instance):
    """Send eliot's messages of this process to a stream or file.

    Each line carries, besides eliot's fields, ``instance``, ``sequence``
    (from 1; a gap shows lines that could not be written), ``clock``
    (Lamport) and ``timestamp`` (wall time, seconds). A thread writes the
    lines, so that a stalled reader of the log holds up nobody.

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
    clock = clocks.LamportClock(read_least=_read_wall_us)
    writer = _writer.LineWriter(stream)
    destination = _Destination(writer, instance, clock)
    eliot.add_destinations(destination)
    return Log(instance, clock, stream, writer, destination, owned)


def close_log(log):
    """Write what waits, for a few seconds at most, and end the log.

    Closing it again does nothing.
    """
    with contextlib.suppress(ValueError):
        eliot.remove_destination(log.destination)
    if log.writer.close() and log.owned:
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


def _read_wall_us():
    return time.time_ns() // _NS_PER_US


def _open_stream(stream_or_path):
    if stream_or_path == '-':
        return sys.stderr, False
    if isinstance(stream_or_path, str):
        return open(stream_or_path, 'a', encoding='utf-8'), True
    return stream_or_path, False
