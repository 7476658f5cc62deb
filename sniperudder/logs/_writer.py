"""Writing lines from a thread of their own."""

import atexit
import collections
import json
import threading
import time

# Beyond this a stalled reader costs lines, and not the work itself.
_MAX_WAITING_LINES = 20_000

# Lines of this time are written together: a wake-up for each would cost
# more than the writing.
_GATHER_S = 0.005

_CLOSE_TIMEOUT_S = 5.0


class LineWriter:
    """Writes lines to a stream without making its callers wait.

    Lines that find the buffer full, or whose writing fails, are dropped;
    a line of its own tells their number once there is room again.

    Parameters
    ----------
    stream : file
        Text stream.
    max_waiting : int
        Largest number of lines in the buffer.
    """

    __slots__ = (
        '_dropped',
        '_ended',
        '_lines',
        '_max_waiting',
        '_stream',
        '_thread',
        '_wake',
    )

    def __init__(self, stream, max_waiting=_MAX_WAITING_LINES):
        self._stream = stream
        self._max_waiting = max_waiting
        self._lines = collections.deque()
        self._wake = threading.Event()
        self._dropped = 0
        self._ended = False
        self._thread = threading.Thread(
            target=self._write_lines, name='log', daemon=True
        )
        self._thread.start()
        # A process that ends by an error writes its last lines too.
        atexit.register(self.close)

    def write_line(self, line):
        """Give a line to the writing thread; for one caller at a time."""
        if len(self._lines) >= self._max_waiting:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._wake.is_set():
            self._wake.set()

    def close(self):
        """Write what waits, and end; return whether all was written."""
        atexit.unregister(self.close)
        self._ended = True
        self._wake.set()
        self._thread.join(_CLOSE_TIMEOUT_S)
        return not self._thread.is_alive()

    def _write_lines(self):
        while not self._ended:
            self._wake.wait()
            if not self._ended:
                time.sleep(_GATHER_S)
            self._wake.clear()
            self._write_waiting()
        # What came between the last look and the end.
        self._write_waiting()

    def _write_waiting(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft() + '\n')
        if not lines:
            return
        dropped, self._dropped = self._dropped, 0
        if dropped:
            told = {'message_type': 'log:dropped', 'lines': dropped}
            lines.append(json.dumps(told) + '\n')
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # A log that is gone must not end the work; what is lost is
            # told with the next lines that can be written.
            self._dropped += dropped + len(lines)
