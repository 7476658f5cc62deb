"""Writing lines from a background thread."""

import atexit
import collections
import json
import threading
import time

# With a stalled reader, lines beyond this number are dropped, so that the
# log does not block the process.
_MAX_BUFFERED_LINES = 20_000

# Lines of this period are written in one batch: waking the thread for each
# line would cost more than writing it.
_BATCH_DELAY_S = 0.005

_CLOSE_TIMEOUT_S = 5.0


class LineWriter:
    """Writes lines to a stream without blocking the callers.

    Lines are dropped if the buffer is full or writing fails. The next
    batch that can be written ends with a ``log:dropped`` line that gives
    their number.

    Parameters
    ----------
    stream : file
        Text stream.
    max_buffered_lines : int
        Maximum number of lines in the buffer.
    """

    __slots__ = (
        '_dropped',
        '_closing',
        '_lines',
        '_max_buffered_lines',
        '_stream',
        '_thread',
        '_wake_event',
    )

    def __init__(self, stream, max_buffered_lines=_MAX_BUFFERED_LINES):
        self._stream = stream
        self._max_buffered_lines = max_buffered_lines
        self._lines = collections.deque()
        self._wake_event = threading.Event()
        self._dropped = 0
        self._closing = False
        self._thread = threading.Thread(
            target=self._write_lines, name='log', daemon=True
        )
        self._thread.start()
        # Also write the last lines of a process that exits with an error.
        atexit.register(self.close)

    def write_line(self, line):
        """Queue a line for writing; callers must not call it concurrently."""
        if len(self._lines) >= self._max_buffered_lines:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._wake_event.is_set():
            self._wake_event.set()

    def close(self):
        """Flush the buffer and stop; return whether the thread finished."""
        atexit.unregister(self.close)
        self._closing = True
        self._wake_event.set()
        self._thread.join(_CLOSE_TIMEOUT_S)
        return not self._thread.is_alive()

    def _write_lines(self):
        while not self._closing:
            self._wake_event.wait()
            if not self._closing:
                time.sleep(_BATCH_DELAY_S)
            self._wake_event.clear()
            self._write_buffered_lines()
        # Lines queued between the last batch and the call of close.
        self._write_buffered_lines()

    def _write_buffered_lines(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft() + '\n')
        if not lines:
            return
        dropped, self._dropped = self._dropped, 0
        if dropped:
            drop_notice = {'message_type': 'log:dropped', 'lines': dropped}
            lines.append(json.dumps(drop_notice) + '\n')
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # A stream that fails must not stop the process; the lost lines
            # are counted in the next batch that can be written.
            self._dropped += dropped + len(lines)
