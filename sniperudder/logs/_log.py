"""Writing the log of a process as JSON lines."""

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
    """An eliot destination that writes each message as a JSON line."""

    __slots__ = ('_clock', '_instance', '_lock', '_sequence', '_writer')

    def __init__(self, writer, instance, clock):
        self._writer = writer
        self._instance = instance
        self._clock = clock
        self._lock = threading.Lock()
        self._sequence = 0

    def __call__(self, message):
        # One lock, so that lines, sequence numbers and clock values are
        # all in the same order.
        with self._lock:
            self._sequence += 1
            record = {
                'instance': self._instance,
                'sequence': self._sequence,
                'clock': self._clock.advance(),
                **message,
            }
            self._writer.write_line(json.dumps(record, default=str))


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
        The destination registered with eliot.
    owns_stream : bool
        Whether ``close_log`` closes the stream.
    """

    instance: str
    clock: clocks.LamportClock
    stream: typing.TextIO
    writer: _writer.LineWriter
    destination: _Destination
    owns_stream: bool


def create_log(stream_or_path, instance):
    """Write the eliot messages of this process to a stream or file.

    Besides the fields of eliot, each line has ``instance``, ``sequence``
    (from 1; a gap means that lines could not be written), ``clock``
    (Lamport) and ``timestamp`` (wall-clock time, seconds). A background
    thread writes the lines, so that a stalled reader of the log does not
    block the callers.

    Parameters
    ----------
    stream_or_path : file or str
        A text stream, a path to append to, or ``-`` for standard error.
    instance : str
        Name of this process in the log.

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
    >>> write_event(effects.LogEvent('endpoint:down', 'gpu-1'))
    >>> close_log(log)
    >>> json.loads(stream.getvalue())['message_type']
    'endpoint:down'
    """
    stream, owns_stream = _open_stream(stream_or_path)
    clock = clocks.LamportClock(read_minimum=_read_wall_clock_us)
    writer = _writer.LineWriter(stream)
    destination = _Destination(writer, instance, clock)
    eliot.add_destinations(destination)
    return Log(instance, clock, stream, writer, destination, owns_stream)


def close_log(log):
    """Flush buffered lines, for a few seconds at most, and close the log.

    Closing a closed log has no effect.
    """
    with contextlib.suppress(ValueError):
        eliot.remove_destination(log.destination)
    if log.writer.close() and log.owns_stream:
        log.stream.close()


def write_event(event, **fields):
    """Write an event to the log.

    Parameters
    ----------
    event : sniperudder.effects.LogEvent
    **fields
        Additional fields of the line.
    """
    eliot.log_message(
        message_type=event.event,
        subject=event.subject,
        detail=event.detail,
        **fields,
    )


def _read_wall_clock_us():
    return time.time_ns() // _NS_PER_US


def _open_stream(stream_or_path):
    if stream_or_path == '-':
        return sys.stderr, False
    if isinstance(stream_or_path, str):
        return open(stream_or_path, 'a', encoding='utf-8'), True
    return stream_or_path, False
