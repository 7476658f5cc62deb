"""The lock around the tables, and the way of effects to their senders."""

import queue
import threading

from sniperudder import clocks
from sniperudder import core
from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder.instance import _batches
from sniperudder.systems import configuration

# Time between ticks; arrivals and answers are handled at once.
_TICK_S = 0.05


class Runtime:
    """Feeds inputs to the decision core and routes its effects.

    Parameters
    ----------
    T : Tables
    read_clock : callable
        Returns seconds on a clock that counts suspension.

    Attributes
    ----------
    T : Tables
        Only touched while ``lock`` is held.
    lock : threading.RLock
    routes : dict of type to callable
        Takes each effect of a class; must not block.
    replies : dict of str to queue.SimpleQueue or sink
        Where the caller of a request waits, by request.
    """

    __slots__ = ('T', 'lock', 'read_clock', 'replies', 'routes', '_stopped')

    def __init__(self, T, read_clock):
        self.T = T
        self.lock = threading.RLock()
        self.read_clock = read_clock
        self.replies = {}
        self.routes = {
            effects.CommandDone: self._reply_command,
            effects.EmitToken: self._reply,
            effects.Finish: self._finish,
        }
        self._stopped = threading.Event()

    def submit(self, inp):
        """Give one input to the core and route what it decides."""
        with self.lock:
            now = self.read_clock()
            try:
                result = core.handle_input(self.T, inp, now)
            except errors.InvariantBroken as exc:
                result = [_note_broken(exc)]
            self._route(result)

    def submit_all(self, inps):
        """Give inputs to the core while nothing else comes between."""
        with self.lock:
            for inp in inps:
                # A fault with one must not lose the others.
                _batches.run_logged(self.submit, inp)

    def answer_beat(self, beat):
        """Take in a peer's heartbeat and return the answer to it."""
        with self.lock:
            now = self.read_clock()
            received = inputs.BeatReceived(beat)
            result = core.handle_input(self.T, received, now)
            answers = [e for e in result if type(e) is effects.AnswerBeat]
            self._route([e for e in result if e not in answers])
        return answers[0].beat

    def take_posts(self, sender, messages):
        """Take in messages about slots from another entry."""
        self.submit_all(
            [inputs.PostArrived(sender, message) for message in messages]
        )

    def leave(self):
        """Take this instance out of the members; it gives out no work."""
        with self.lock:
            now = self.read_clock()
            self._route(configuration.leave_members(self.T, now))

    def tick(self):
        """Run what is due."""
        with self.lock:
            try:
                result = core.run_tick(self.T, self.read_clock())
            except errors.InvariantBroken as exc:
                result = [_note_broken(exc)]
            self._route(result)

    def ask(self, function, *args):
        """Call ``function(T, *args)`` while nothing changes the tables."""
        with self.lock:
            return function(self.T, *args)

    def open_reply(self, request):
        """Return the queue on which a request's answer will come."""
        replies = queue.SimpleQueue()
        self.replies[request] = replies
        return replies

    def redirect_reply(self, request, replies, sink):
        """Give what came and what will come for a request to a sink.

        Parameters
        ----------
        request : str
        replies : queue.SimpleQueue
            What ``open_reply`` returned.
        sink : object
            With a method ``put`` that does not block.
        """
        with self.lock:
            while not replies.empty():
                sink.put(replies.get_nowait())
            if request in self.replies:
                self.replies[request] = sink

    def close_reply(self, request):
        """Stop waiting for the answer of a request."""
        self.replies.pop(request, None)

    def run_ticks(self):
        """Tick until stopped."""
        while not self._stopped.wait(_TICK_S):
            _batches.run_logged(self.tick)

    def wait(self, time_s):
        """Wait for a time, seconds; return whether stopped meanwhile."""
        return self._stopped.wait(time_s)

    def stop(self):
        """End ``run_ticks``."""
        self._stopped.set()

    def _route(self, result):
        for effect in result:
            self.routes[type(effect)](effect)

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
    """Return a runtime around the tables of an instance."""
    return Runtime(T, read_clock)


def _note_broken(exc):
    return effects.Note('invariant:break', type(exc).__name__, str(exc))
