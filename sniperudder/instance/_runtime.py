"""Serialised access to the tables, and dispatch of effects."""

import queue
import threading

from sniperudder import clocks
from sniperudder import core
from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder.instance import _workers
from sniperudder.systems import configuration

# Arrivals and responses are handled immediately, independent of ticks.
_TICK_PERIOD_S = 0.05


class Runtime:
    """Passes inputs to the decision core and dispatches its effects.

    Parameters
    ----------
    T : Tables
    read_clock : callable
        Returns seconds on a clock that includes time in suspend.

    Attributes
    ----------
    T : Tables
        Modified only while ``lock`` is held; use ``read_tables`` for
        consistent reads.
    lock : threading.RLock
    handlers : dict of type to callable
        Handler of each effect class; must not block.
    replies : dict of str to queue.SimpleQueue or sink
        Destination of the replies to each open request.
    """

    __slots__ = ('T', 'lock', 'read_clock', 'replies', 'handlers', '_stopped')

    def __init__(self, T, read_clock):
        self.T = T
        self.lock = threading.RLock()
        self.read_clock = read_clock
        self.replies = {}
        self.handlers = {
            effects.CommandDone: self._reply_command,
            effects.EmitToken: self._reply,
            effects.SendOutcome: self._finish,
        }
        self._stopped = threading.Event()

    def submit(self, inp):
        """Pass one input to the core and dispatch the resulting effects."""
        with self.lock:
            now = self.read_clock()
            try:
                result = core.handle_input(self.T, inp, now)
            except errors.InvariantBroken as exc:
                result = [_create_violation_event(exc)]
            self._dispatch(result)

    def submit_all(self, inps):
        """Pass inputs to the core without other inputs in between."""
        with self.lock:
            for inp in inps:
                # An exception in one input must not discard the others.
                _workers.run_logged(self.submit, inp)

    def answer_heartbeat(self, beat):
        """Handle a peer's heartbeat and return the response to it."""
        with self.lock:
            now = self.read_clock()
            received = inputs.HeartbeatReceived(beat)
            result = core.handle_input(self.T, received, now)
            answers = [e for e in result if type(e) is effects.AnswerHeartbeat]
            self._dispatch([e for e in result if e not in answers])
        return answers[0].beat

    def receive_messages(self, sender, messages):
        """Handle slot messages from another instance."""
        self.submit_all(
            [
                inputs.SlotMessageArrived(sender, message)
                for message in messages
            ]
        )

    def leave(self):
        """Request the removal of this instance from the members.

        Call it after the last work is done.
        """
        with self.lock:
            now = self.read_clock()
            self._dispatch(configuration.request_leave(self.T, now))

    def tick(self):
        """Run the time-driven part of the core."""
        with self.lock:
            try:
                result = core.run_tick(self.T, self.read_clock())
            except errors.InvariantBroken as exc:
                result = [_create_violation_event(exc)]
            self._dispatch(result)

    def read_tables(self, function, *args):
        """Return ``function(T, *args)``, called with the lock held."""
        with self.lock:
            return function(self.T, *args)

    def open_reply(self, request):
        """Return a queue that receives the replies to a request."""
        replies = queue.SimpleQueue()
        self.replies[request] = replies
        return replies

    def redirect_reply(self, request, replies, sink):
        """Redirect queued and future replies to a request to a sink.

        Parameters
        ----------
        request : str
        replies : queue.SimpleQueue
            Return value of ``open_reply``.
        sink : object
            Has a method ``put`` that does not block.
        """
        with self.lock:
            while not replies.empty():
                sink.put(replies.get_nowait())
            if request in self.replies:
                self.replies[request] = sink

    def close_reply(self, request):
        """Discard later replies to a request."""
        self.replies.pop(request, None)

    def run_ticks(self):
        """Call ``tick`` periodically until ``stop`` is called."""
        while not self._stopped.wait(_TICK_PERIOD_S):
            _workers.run_logged(self.tick)

    def wait(self, time_s):
        """Wait up to ``time_s`` s; return whether ``stop`` was called."""
        return self._stopped.wait(time_s)

    def stop(self):
        """Make ``run_ticks`` and ``wait`` return."""
        self._stopped.set()

    def _dispatch(self, result):
        for effect in result:
            self.handlers[type(effect)](effect)

    def _reply(self, effect):
        replies = self.replies.get(effect.request)
        if replies is not None:
            replies.put(effect)

    def _reply_command(self, effect):
        replies = self.replies.get(effect.request)
        if replies is not None:
            replies.put(effect)

    def _finish(self, effect):
        self._reply(effect)
        self.close_reply(effect.request)


def create_runtime(T, read_clock=clocks.read_clock):
    """Return a runtime for the tables of an instance."""
    return Runtime(T, read_clock)


def _create_violation_event(exc):
    return effects.LogEvent('invariant:break', type(exc).__name__, str(exc))
