"""Faults that a stand-in can be told to show while it runs."""

import dataclasses
import os
import threading
import time

__all__ = ['Faults', 'FaultGate', 'UnknownFault']


class UnknownFault(ValueError):
    """A fault has a name or a value that is not known."""


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults in force; the values here mean none.

    Attributes
    ----------
    path : str
        Only calls whose path starts with this are concerned.
    crash : str
        ``now`` ends the process at once, ``before`` at the next call
        before it takes effect, ``after`` at the next one after it did.
    freeze_s : float
        Calls wait this long, counted from the order, and then run.
    refuse : bool
        Calls are answered with 503 and said not to have run.
    hang_up : bool
        Connections are closed with calls neither run nor answered.
    slow_s : float
        Time that each call waits before it runs, seconds.
    delay_s : float
        Time that each answer waits after the call ran, seconds.
    lose_answers : int
        Next calls that run, with the connection closed unanswered.
    cut_answers : int
        Next answers that break off in the middle.
    cross_answers : int
        Next calls that get the answer before theirs once more.
    drop_events : bool
        Cache events are lost.
    ignore_fencing : bool
        Orders with an old fencing number are obeyed.
    lag_s : float
        Age of what reads and reports tell, seconds.
    """

    path: str = ''
    crash: str = ''
    freeze_s: float = 0.0
    refuse: bool = False
    hang_up: bool = False
    slow_s: float = 0.0
    delay_s: float = 0.0
    lose_answers: int = 0
    cut_answers: int = 0
    cross_answers: int = 0
    drop_events: bool = False
    ignore_fencing: bool = False
    lag_s: float = 0.0


_DEFAULTS = dataclasses.asdict(Faults())


def _exit():
    os._exit(1)


class FaultGate:
    """Holds the faults in force and applies the general ones.

    Parameters
    ----------
    crash : callable, optional
        Ends the process; by default with status 1 and no clean-up.
    """

    def __init__(self, crash=None):
        self.faults = Faults()
        self._crash = crash or _exit
        self._changed = threading.Condition()
        self._thaw_at = 0.0
        self._closed = False

    def close(self):
        """End all pauses, as the process stops."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def pause(self, duration_s):
        """Wait, but not for longer than the process lasts."""
        if duration_s > 0:
            with self._changed:
                self._changed.wait_for(lambda: self._closed, duration_s)

    def update(self, wanted):
        """Change the faults in force.

        Parameters
        ----------
        wanted : dict
            Values by the names of the attributes of ``Faults``; those
            not named stay. An empty one clears all faults.

        Raises
        ------
        UnknownFault
        """
        for name, value in wanted.items():
            _check_fault(name, value)
        with self._changed:
            if not wanted:
                self.faults = Faults()
                self._thaw_at = 0.0
            for name, value in wanted.items():
                setattr(self.faults, name, type(_DEFAULTS[name])(value))
            if 'freeze_s' in wanted:
                self._thaw_at = time.monotonic() + self.faults.freeze_s
            self._changed.notify_all()
        if self.faults.crash == 'now':
            self.crash()

    def crash(self):
        """End the process."""
        self._crash()

    def concerns(self, path):
        """Whether the faults concern calls of a path."""
        return path.startswith(self.faults.path)

    def wait(self):
        """Wait for the end of a freeze and for slowness."""
        with self._changed:
            left = self._thaw_at - time.monotonic()
            while left > 0 and not self._closed:
                self._changed.wait(left)
                left = self._thaw_at - time.monotonic()
        self.pause(self.faults.slow_s)

    def pause_answer(self):
        """Wait as long as answers are to be late."""
        self.pause(self.faults.delay_s)

    def crash_if(self, moment):
        """End the process if it is to crash at this moment."""
        if self.faults.crash == moment:
            self.crash()

    def take(self, name):
        """Whether a counted fault hits this call; counts it down."""
        with self._changed:
            left = getattr(self.faults, name)
            if left > 0:
                setattr(self.faults, name, left - 1)
            return left > 0


def _check_fault(name, value):
    if name not in _DEFAULTS:
        known = ', '.join(sorted(_DEFAULTS))
        raise UnknownFault(f'unknown fault {name!r}; known are {known}')
    default = _DEFAULTS[name]
    kinds = (int, float) if isinstance(default, float) else (type(default),)
    if type(value) not in kinds:
        raise UnknownFault(f'{name} must be {type(default).__name__}')
    if name == 'crash' and value not in ('', 'now', 'before', 'after'):
        raise UnknownFault('crash must be now, before or after')
